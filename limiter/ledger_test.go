package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLedgerUsesTheRate sends a workspace's requests through 4 to 390 entries at one
// and a half times its rate, in clumps. Nearly as much is granted as by one bucket
// that sees every request, and no window of 8 s has more than a tenth over the rate
// and burst, and in the larger fleets not more than the users' slack beyond that.
func TestLedgerUsesTheRate(t *testing.T) {
	for _, c := range []struct {
		centres, entries, period int
		slack                    float64
	}{{3, 4, 100, 0}, {3, 26, 250, deskSlack}, {5, 103, 250, deskSlack}, {10, 390, 250, deskSlack}} {
		start := time.Hour
		d := newDesk(start, c.centres, c.entries, c.slack/2)
		r := rand.New(rand.NewPCG(1, 2))
		const seconds = 30
		granted, ideal := 0.0, 0.0
		one := New(start, deskRate, deskBurst)
		for ms := range seconds * 1000 {
			now := start + time.Duration(ms)*time.Millisecond
			if ms%c.period == 0 {
				d.gossip(now)
			}
			// Three requests of 1,500 tokens at one entry, 3.3 times a second.
			if r.Float64() < 15.0/4.5/1000 {
				entry := r.IntN(c.entries)
				for range 3 {
					if d.take(now, entry, 1500) {
						granted += 1500
					}
					if one.Level(now) >= 1500 {
						one.Spend(now, 1500)
						ideal += 1500
					}
				}
			}
		}
		assert.Assert(t, granted >= 0.95*ideal, "%d entries: granted %g of %g", c.entries, granted, ideal)
		most := 1.1*(deskRate*8+deskBurst) + c.slack
		assert.Assert(t, d.most(8*time.Second) <= most, "%d entries: %g of %g", c.entries, d.most(8*time.Second), most)
	}
}

// TestLedgerHotOfMany is a workspace that was idle and then sends at several times its
// rate through all of 26, 103 or 390 entries, which tell each other every 500 ms, twice
// as seldom as they do. No window of 8 s has more than the users allow.
func TestLedgerHotOfMany(t *testing.T) {
	for _, entries := range []int{26, 103, 390} {
		for _, factor := range []float64{1.2, 2, 6} {
			start := time.Hour
			d := newDesk(start, 5, entries, deskSlack/2)
			r := rand.New(rand.NewPCG(3, 4))
			for ms := range 40 * 1000 {
				now := start + time.Duration(ms)*time.Millisecond
				if ms%500 == 0 {
					d.gossip(now)
				}
				idle := ms < 10_000 || ms >= 20_000 && ms < 25_000
				if !idle && r.Float64() < factor*deskRate/1500/1000 {
					d.take(now, r.IntN(entries), 1500)
				}
			}
			most := 1.1*(deskRate*8+deskBurst) + deskSlack
			assert.Assert(t, d.most(8*time.Second) <= most, "%d, %gx: %g of %g", entries, factor, d.most(8*time.Second), most)
		}
	}
}

// TestLedgerMoves lets the callers of a workspace move from one data centre to another
// and back, at its rate and above. No window of 8 s has more than the users allow, and
// at the rate nothing is refused for long.
func TestLedgerMoves(t *testing.T) {
	for _, factor := range []float64{0.9, 3} {
		start := time.Hour
		d := newDesk(start, 5, 103, deskSlack/2)
		r := rand.New(rand.NewPCG(5, 6))
		asked, granted := 0, 0
		for ms := range 30 * 1000 {
			now := start + time.Duration(ms)*time.Millisecond
			if ms%250 == 0 {
				d.gossip(now)
			}
			if r.Float64() < factor*deskRate/1500/1000 {
				asked++
				if d.take(now, ms/5000%5+5*r.IntN(20), 1500) {
					granted++
				}
			}
		}
		most := 1.1*(deskRate*8+deskBurst) + deskSlack
		assert.Assert(t, d.most(8*time.Second) <= most, "%gx: %g of %g", factor, d.most(8*time.Second), most)
		if factor < 1 {
			assert.Assert(t, float64(granted) >= 0.95*float64(asked), "%d of %d", granted, asked)
		}
	}
}

// TestLedgerUnderFaults draws entries that are killed and start again, stand still or
// are cut off, a relay that is lost and comes back, cuts between relays one way, and
// demand at all entries. No window of 8 s has more than the users allow.
func TestLedgerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Hour
		n := rapid.IntRange(1, 5).Draw(t, "entries")
		centres := rapid.IntRange(1, 3).Draw(t, "centres")
		d := newDesk(start, centres, n, 0)
		for i := range 200 {
			now := start + time.Duration(i)*100*time.Millisecond
			if rapid.IntRange(0, 39).Draw(t, "fault") == 0 {
				d.fault(t, now)
			}
			d.gossip(now)
			for e := range n {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					d.take(now, e, 1000)
				}
			}
		}
		most := 1.1*(deskRate*8+deskBurst) + deskSlack
		assert.Assert(t, d.most(8*time.Second) <= most, "%g of %g", d.most(8*time.Second), most)
	})
}

// fault draws one fault or the end of one.
func (d *desk) fault(t *rapid.T, now time.Duration) {
	e := rapid.IntRange(0, len(d.entries)-1).Draw(t, "entry")
	a := rapid.IntRange(0, len(d.relays)-1).Draw(t, "relay")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		d.start(now, e)
	case 1:
		d.entries[e].paused = !d.entries[e].paused
	case 2:
		d.entries[e].cut = !d.entries[e].cut
	case 3:
		b := rapid.IntRange(0, len(d.relays)-1).Draw(t, "to")
		d.cut[[2]int{a, b}] = !d.cut[[2]int{a, b}]
	case 4:
		d.fail(now, a)
	}
}

// fail loses a relay, or brings one back that is lost.
func (d *desk) fail(now time.Duration, relay int) {
	if d.relays[relay].down {
		d.restart(now, relay)
		return
	}
	d.relays[relay].down = true
}

// TestLedgerUnderCuts draws a few cuts of entries and of whole data centres, one way or
// both, and demand at all entries. No window of 8 s has more than the users allow: the
// entries that are cut off keep their parts.
func TestLedgerUnderCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Hour
		n := rapid.IntRange(1, 9).Draw(t, "entries")
		centres := rapid.IntRange(1, 3).Draw(t, "centres")
		d := newDesk(start, centres, n, 0)
		cuts := 4
		for i := range 120 {
			now := start + time.Duration(i)*100*time.Millisecond
			if cuts > 0 && rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				cuts--
				e := rapid.IntRange(0, n-1).Draw(t, "entry")
				a := rapid.IntRange(0, centres-1).Draw(t, "from")
				b := rapid.IntRange(0, centres-1).Draw(t, "to")
				if rapid.Bool().Draw(t, "whole") {
					d.cut[[2]int{a, b}] = !d.cut[[2]int{a, b}]
				} else {
					d.entries[e].cut = !d.entries[e].cut
				}
			}
			d.gossip(now)
			for e := range n {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					d.take(now, e, 1000)
				}
			}
		}
		most := 1.1*(deskRate*8+deskBurst) + deskSlack
		assert.Assert(t, d.most(8*time.Second) <= most, "%g of %g", d.most(8*time.Second), most)
	})
}

// TestLedgerAfterSilence gives back what was set aside for an entry that was
// silent and had used nothing.
func TestLedgerAfterSilence(t *testing.T) {
	start := time.Hour
	d := newDesk(start, 1, 2, 0)
	now := start
	for range 30 {
		now += 100 * time.Millisecond
		d.gossip(now)
	}
	d.entries[1].cut = true
	for range 30 {
		now += 100 * time.Millisecond
		d.gossip(now)
	}
	assert.Assert(t, d.take(now, 0, 5000))
	assert.Assert(t, !d.take(now, 0, 1000))
	d.entries[1].cut = false
	d.gossip(now)
	assert.Assert(t, d.take(now, 0, 4000))
}

// TestLedgerAfterRestart lets an entry that has started use what its relay knows to be
// in the buckets, so that a restart refuses nothing that is inside the limit.
func TestLedgerAfterRestart(t *testing.T) {
	start := time.Hour
	d := newDesk(start, 1, 2, 0)
	now := start + 5*time.Second
	d.gossip(now)
	d.gossip(now)
	d.start(now, 1)
	assert.Assert(t, d.take(now, 1, 9000))
	d.start(now, 0)
	d.gossip(now)
	assert.Assert(t, !d.take(now, 0, 2000))
}

// TestEvenLimit allows no more in a window than before, and more in the long run.
func TestEvenLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Workspace: "w", Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 4000).Draw(t, "burst")}
		const window = 8 * time.Second
		even := limit.Even(window)
		start := time.Hour
		l := NewLedger(start, 0)
		l.SetLimits(start, []Limit{even})
		d := &desk{entries: []*clerk{{ledger: l}}}
		now := start + time.Minute
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			d.take(now, 0, rapid.Float64Range(0, even.Burst).Draw(t, "tokens"))
		}
		assert.Assert(t, d.most(window) <= (limit.Rate*window.Seconds()+limit.Burst)*(1+1e-9))
		assert.Assert(t, even.Rate > limit.Rate)
	})
}

// TestLedgerTellsWhen spreads the requests that were refused over the time in
// which their tokens come in.
func TestLedgerTellsWhen(t *testing.T) {
	start := time.Hour
	d := newDesk(start, 1, 1, 0)
	assert.Assert(t, !d.take(start, 0, 1000))
	l := d.entries[0].ledger
	var waits []time.Duration
	for range 3 {
		waits = append(waits, l.RetryAfter(start, "w", 1000))
	}
	assert.DeepEqual(t, waits, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond})
}
