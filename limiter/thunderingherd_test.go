package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLedgerHerd is a busy workspace of a large fleet, whose words are under way for
// some time. All entries are killed together, with what they have not told; they start
// again half a second later, and all callers come back at once. No window of 8 s has
// more than the users allow, and what is inside the limit is used.
func TestLedgerHerd(t *testing.T) {
	const (
		rate    = 110_000.0
		burst   = 260_000.0
		tokens  = 1500.0
		entries = 103
		seconds = 30
	)
	for _, c := range []struct {
		name  string
		peak  float64
		kills []int
	}{
		{"busy", 1.5, nil},
		{"peaks", 4, nil},
		{"killed", 3, []int{9_500}},
		{"killed twice", 3, []int{7_500, 9_500}},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Hour
			limit := Limit{Workspace: "w", Rate: rate, Burst: burst}.Even(8 * time.Second)
			d := newDeskOf(start, 5, entries, deskSlack/2, []Limit{limit})
			d.lag = 250 * time.Millisecond
			r := rand.New(rand.NewPCG(7, 8))
			granted, ideal := 0.0, 0.0
			one := New(start, limit.Rate, limit.Burst)
			for ms := range seconds * 1000 {
				now := start + time.Duration(ms)*time.Millisecond
				down, herd := d.herd(now, ms, c.kills)
				if ms%100 == 0 {
					d.gossip(now)
				}
				factor := 0.7
				if ms%10_000 >= 5000 {
					factor = c.peak
				}
				if herd {
					factor = 4 * c.peak
				}
				for want := factor * rate / tokens / 1000; r.Float64() < want; want-- {
					if !down && d.take(now, r.IntN(entries), tokens) {
						granted += tokens
					}
					if one.Level(now) >= tokens {
						one.Spend(now, tokens)
						ideal += tokens
					}
				}
			}
			most := 1.1*(rate*8+burst) + deskSlack
			assert.Assert(t, d.most(8*time.Second) <= most, "%g of %g", d.most(8*time.Second), most)
			t.Logf("%s: most %.0f of %.0f, granted %.3f", c.name, d.most(8*time.Second), most, granted/ideal)
			if c.kills == nil {
				assert.Assert(t, granted >= 0.95*ideal, "granted %g of %g", granted, ideal)
			}
		})
	}
}

// herd kills all entries at some instants and starts them half a second later. It
// reports whether they are down, and whether their callers are coming back.
func (d *desk) herd(now time.Duration, ms int, kills []int) (down, herd bool) {
	const dead, meet, back = 510, 900, 1000
	const youngTime = 800 * time.Millisecond
	for _, at := range kills {
		for i, e := range d.entries {
			if ms == at {
				e.paused = true
			}
			if ms == at+dead {
				e.paused, e.cut = false, true
				d.start(now, i)
				e.young = now + meet*time.Millisecond - dead*time.Millisecond + youngTime
				e.ledger.AssumeEntries(now, len(d.entries))
			}
			if ms == at+meet {
				e.cut = false
				e.ledger.Relink(now)
				e.ledger.Adopt(now, d.relays[e.centre].tally.Levels(now))
			}
		}
		down = down || ms >= at && ms < at+dead
		herd = herd || ms >= at+dead && ms < at+dead+back
	}
	return down, herd
}
