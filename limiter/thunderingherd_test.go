package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLedgerThunderingHerd runs a busy workspace in a large fleet whose reports are delayed.
// All entries are killed at once and lose their unsent usage; they restart half a second
// later, and all callers return at the same time. No window of 8 s may exceed the allowed
// usage. Without kills, at least 95% of what one bucket grants must be granted.
func TestLedgerThunderingHerd(t *testing.T) {
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
			limit := Limit{Workspace: "w", Rate: rate, Burst: burst}.SpreadBurst(8 * time.Second)
			f := newFleetWithLimits(start, 5, entries, allowedSlack/2, []Limit{limit})
			f.delay = 250 * time.Millisecond
			rng := rand.New(rand.NewPCG(7, 8))
			granted, ideal := 0.0, 0.0
			reference := NewBucket(start, limit.Rate, limit.Burst)
			for ms := range seconds * 1000 {
				now := start + time.Duration(ms)*time.Millisecond
				down, returning := f.applyKills(now, ms, c.kills)
				if ms%100 == 0 {
					f.exchange(now)
				}
				factor := 0.7
				if ms%10_000 >= 5000 {
					factor = c.peak
				}
				if returning {
					factor = 4 * c.peak
				}
				for requests := factor * rate / tokens / 1000; rng.Float64() < requests; requests-- {
					if !down && f.charge(now, rng.IntN(entries), tokens) {
						granted += tokens
					}
					if reference.Level(now) >= tokens {
						reference.Spend(now, tokens)
						ideal += tokens
					}
				}
			}
			allowedUsage := 1.1*(rate*8+burst) + allowedSlack
			assert.Assert(t, f.maxUsage(8*time.Second) <= allowedUsage, "%g of %g", f.maxUsage(8*time.Second), allowedUsage)
			t.Logf("%s: highest usage %.0f of %.0f, granted %.3f", c.name, f.maxUsage(8*time.Second), allowedUsage, granted/ideal)
			if c.kills == nil {
				assert.Assert(t, granted >= 0.95*ideal, "granted %g of %g", granted, ideal)
			}
		})
	}
}

// applyKills kills all entries at some instants and restarts them half a second later. It
// reports whether they are down, and whether their callers are returning.
func (f *simFleet) applyKills(now time.Duration, ms int, kills []int) (down, returning bool) {
	// In milliseconds: entries restart downTime after the kill and are linked to their relays
	// linkTime after it. The callers return during returnTime after the restart.
	const downTime, linkTime, returnTime = 510, 900, 1000
	// youngTime is how long after that link an entry counts as just started.
	const youngTime = 800 * time.Millisecond
	for _, at := range kills {
		for i, e := range f.entries {
			if ms == at {
				e.paused = true
			}
			if ms == at+downTime {
				e.paused, e.cutOff = false, true
				f.startEntry(now, i)
				e.youngUntil = now + linkTime*time.Millisecond - downTime*time.Millisecond + youngTime
				e.ledger.AssumeEntries(now, len(f.entries))
			}
			if ms == at+linkTime {
				e.cutOff = false
				e.ledger.SwitchRelay(now)
				e.ledger.AdoptLevels(now, f.relays[e.centre].ledger.Levels(now))
			}
		}
		down = down || ms >= at && ms < at+downTime
		returning = returning || ms >= at+downTime && ms < at+downTime+returnTime
	}
	return down, returning
}
