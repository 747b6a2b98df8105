package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLedgerUsesTheRate sends a workspace's requests in bursts through 4 to 390 entries, at
// one and a half times its rate. At least 95% of what one bucket for all requests grants
// must be granted, and no window of 8 s may exceed 1.1 times rate and burst, plus the
// allowed slack in the larger fleets.
func TestLedgerUsesTheRate(t *testing.T) {
	for _, c := range []struct {
		centres, entries, period int
		slack                    float64
	}{{3, 4, 100, 0}, {3, 26, 250, allowedSlack}, {5, 103, 250, allowedSlack}, {10, 390, 250, allowedSlack}} {
		start := time.Hour
		f := newFleet(start, c.centres, c.entries, c.slack/2)
		rng := rand.New(rand.NewPCG(1, 2))
		const seconds = 30
		granted, ideal := 0.0, 0.0
		reference := NewBucket(start, fleetRate, fleetBurst)
		for ms := range seconds * 1000 {
			now := start + time.Duration(ms)*time.Millisecond
			if ms%c.period == 0 {
				f.exchange(now)
			}
			// Three requests of 1,500 tokens at one entry, 3.3 times a second.
			if rng.Float64() < 15.0/4.5/1000 {
				entry := rng.IntN(c.entries)
				for range 3 {
					if f.charge(now, entry, 1500) {
						granted += 1500
					}
					if reference.Level(now) >= 1500 {
						reference.Spend(now, 1500)
						ideal += 1500
					}
				}
			}
		}
		assert.Assert(t, granted >= 0.95*ideal, "%d entries: granted %g of %g", c.entries, granted, ideal)
		allowedUsage := 1.1*(fleetRate*8+fleetBurst) + c.slack
		assert.Assert(t, f.maxUsage(8*time.Second) <= allowedUsage, "%d entries: %g of %g", c.entries, f.maxUsage(8*time.Second), allowedUsage)
	}
}

// TestLedgerSuddenLoadAcrossEntries idles a workspace and then sends up to six times its rate
// through all of 26, 103 or 390 entries. They exchange usage every 500 ms, half as often as
// in operation. No window of 8 s may exceed the allowed usage.
func TestLedgerSuddenLoadAcrossEntries(t *testing.T) {
	for _, entries := range []int{26, 103, 390} {
		for _, factor := range []float64{1.2, 2, 6} {
			start := time.Hour
			f := newFleet(start, 5, entries, allowedSlack/2)
			rng := rand.New(rand.NewPCG(3, 4))
			for ms := range 40 * 1000 {
				now := start + time.Duration(ms)*time.Millisecond
				if ms%500 == 0 {
					f.exchange(now)
				}
				idle := ms < 10_000 || ms >= 20_000 && ms < 25_000
				if !idle && rng.Float64() < factor*fleetRate/1500/1000 {
					f.charge(now, rng.IntN(entries), 1500)
				}
			}
			allowedUsage := 1.1*(fleetRate*8+fleetBurst) + allowedSlack
			assert.Assert(t, f.maxUsage(8*time.Second) <= allowedUsage, "%d, %gx: %g of %g", entries, factor, f.maxUsage(8*time.Second), allowedUsage)
		}
	}
}

// TestLedgerCallersChangeCentre moves the callers of a workspace from one data centre to
// another, below and above its rate. No window of 8 s may exceed the allowed usage, and below
// the rate at least 95% of the requests must be granted.
func TestLedgerCallersChangeCentre(t *testing.T) {
	for _, factor := range []float64{0.9, 3} {
		start := time.Hour
		f := newFleet(start, 5, 103, allowedSlack/2)
		rng := rand.New(rand.NewPCG(5, 6))
		requested, granted := 0, 0
		for ms := range 30 * 1000 {
			now := start + time.Duration(ms)*time.Millisecond
			if ms%250 == 0 {
				f.exchange(now)
			}
			if rng.Float64() < factor*fleetRate/1500/1000 {
				requested++
				if f.charge(now, ms/5000%5+5*rng.IntN(20), 1500) {
					granted++
				}
			}
		}
		allowedUsage := 1.1*(fleetRate*8+fleetBurst) + allowedSlack
		assert.Assert(t, f.maxUsage(8*time.Second) <= allowedUsage, "%gx: %g of %g", factor, f.maxUsage(8*time.Second), allowedUsage)
		if factor < 1 {
			assert.Assert(t, float64(granted) >= 0.95*float64(requested), "%d of %d", granted, requested)
		}
	}
}

// TestLedgerUnderFaults draws faults and requests at all entries: entries restart, pause or
// are cut off, a relay fails and restarts, links between relays are cut in one direction. No
// window of 8 s may exceed the allowed usage.
func TestLedgerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Hour
		n := rapid.IntRange(1, 5).Draw(t, "entries")
		centres := rapid.IntRange(1, 3).Draw(t, "centres")
		f := newFleet(start, centres, n, 0)
		for i := range 200 {
			now := start + time.Duration(i)*100*time.Millisecond
			if rapid.IntRange(0, 39).Draw(t, "fault") == 0 {
				f.injectFault(t, now)
			}
			f.exchange(now)
			for e := range n {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					f.charge(now, e, 1000)
				}
			}
		}
		allowedUsage := 1.1*(fleetRate*8+fleetBurst) + allowedSlack
		assert.Assert(t, f.maxUsage(8*time.Second) <= allowedUsage, "%g of %g", f.maxUsage(8*time.Second), allowedUsage)
	})
}

// injectFault draws one fault, or the end of one.
func (f *simFleet) injectFault(t *rapid.T, now time.Duration) {
	e := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
	a := rapid.IntRange(0, len(f.relays)-1).Draw(t, "relay")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		f.startEntry(now, e)
	case 1:
		f.entries[e].paused = !f.entries[e].paused
	case 2:
		f.entries[e].cutOff = !f.entries[e].cutOff
	case 3:
		b := rapid.IntRange(0, len(f.relays)-1).Draw(t, "to")
		f.cutLinks[[2]int{a, b}] = !f.cutLinks[[2]int{a, b}]
	case 4:
		f.toggleRelay(now, a)
	}
}

// toggleRelay stops a relay, or restarts it if it is down.
func (f *simFleet) toggleRelay(now time.Duration, relay int) {
	if f.relays[relay].down {
		f.startRelay(now, relay)
		return
	}
	f.relays[relay].down = true
}

// TestLedgerUnderPartitions draws a few cuts of entries and of links between data centres, in
// one or both directions, and requests at all entries. No window of 8 s may exceed the
// allowed usage, because entries that are cut off keep to their share.
func TestLedgerUnderPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Hour
		n := rapid.IntRange(1, 9).Draw(t, "entries")
		centres := rapid.IntRange(1, 3).Draw(t, "centres")
		f := newFleet(start, centres, n, 0)
		cuts := 4
		for i := range 120 {
			now := start + time.Duration(i)*100*time.Millisecond
			if cuts > 0 && rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				cuts--
				e := rapid.IntRange(0, n-1).Draw(t, "entry")
				a := rapid.IntRange(0, centres-1).Draw(t, "from")
				b := rapid.IntRange(0, centres-1).Draw(t, "to")
				if rapid.Bool().Draw(t, "whole") {
					f.cutLinks[[2]int{a, b}] = !f.cutLinks[[2]int{a, b}]
				} else {
					f.entries[e].cutOff = !f.entries[e].cutOff
				}
			}
			f.exchange(now)
			for e := range n {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					f.charge(now, e, 1000)
				}
			}
		}
		allowedUsage := 1.1*(fleetRate*8+fleetBurst) + allowedSlack
		assert.Assert(t, f.maxUsage(8*time.Second) <= allowedUsage, "%g of %g", f.maxUsage(8*time.Second), allowedUsage)
	})
}

// TestLedgerReturnsReservedTokens guards against losing tokens: what was reserved for an
// absent entry must return to the bucket when the entry reports that it used nothing.
func TestLedgerReturnsReservedTokens(t *testing.T) {
	start := time.Hour
	f := newFleet(start, 1, 2, 0)
	now := start
	for range 30 {
		now += 100 * time.Millisecond
		f.exchange(now)
	}
	f.entries[1].cutOff = true
	for range 30 {
		now += 100 * time.Millisecond
		f.exchange(now)
	}
	assert.Assert(t, f.charge(now, 0, 5000))
	assert.Assert(t, !f.charge(now, 0, 1000))
	f.entries[1].cutOff = false
	f.exchange(now)
	assert.Assert(t, f.charge(now, 0, 4000))
}

// TestLedgerAfterRestart guards against refusals within the limit after a restart: an entry
// that has started must adopt the levels that its relay has.
func TestLedgerAfterRestart(t *testing.T) {
	start := time.Hour
	f := newFleet(start, 1, 2, 0)
	now := start + 5*time.Second
	f.exchange(now)
	f.exchange(now)
	f.startEntry(now, 1)
	assert.Assert(t, f.charge(now, 1, 9000))
	f.startEntry(now, 0)
	f.exchange(now)
	assert.Assert(t, !f.charge(now, 0, 2000))
}

// TestSpreadBurst checks that no window allows more than before, and that the rate is higher.
func TestSpreadBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Workspace: "w", Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 4000).Draw(t, "burst")}
		const window = 8 * time.Second
		spread := limit.SpreadBurst(window)
		start := time.Hour
		l := NewLedger(start, 0)
		l.SetLimits(start, []Limit{spread})
		f := &simFleet{entries: []*simEntry{{ledger: l}}}
		now := start + time.Minute
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			f.charge(now, 0, rapid.Float64Range(0, spread.Burst).Draw(t, "tokens"))
		}
		assert.Assert(t, f.maxUsage(window) <= (limit.Rate*window.Seconds()+limit.Burst)*(1+1e-9))
		assert.Assert(t, spread.Rate > limit.Rate)
	})
}

// TestLedgerRetryAfter checks that refused requests get retry times one after another, as
// their tokens accrue.
func TestLedgerRetryAfter(t *testing.T) {
	start := time.Hour
	f := newFleet(start, 1, 1, 0)
	assert.Assert(t, !f.charge(start, 0, 1000))
	l := f.entries[0].ledger
	var waits []time.Duration
	for range 3 {
		waits = append(waits, l.RetryAfter(start, "w", 1000))
	}
	assert.DeepEqual(t, waits, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond})
}
