package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wholePrints returns the fingerprint of a whole request behind that of its one part.
func wholePrints(part, whole uint64) []Fingerprint {
	return append(prints(part), Fingerprint{ID: whole, Depth: 1, Whole: true})
}

// repeatPrints returns the fingerprints of a repeat of one request.
func repeatPrints(request uint32) []Fingerprint {
	return []Fingerprint{{ID: own, Depth: 1, Whole: true, Request: request}}
}

// TestFatalRequestsAtOnce guards against a request on which servers crash that is released when
// another one explains its crashes: two fatal requests were in flight at the first three crashes, and
// each crash of one alone, later, must leave both quarantined.
func TestFatalRequestsAtOnce(t *testing.T) {
	const first, second = own, own + 1
	q := New(0)
	quarantined := func(now time.Duration, part, whole uint64) bool {
		return q.Check(now, "r", "p", wholePrints(part, whole)) != nil
	}
	for i := range 3 {
		at := time.Hour + time.Duration(i)*time.Second
		q.RecordCrash(at, process(i), "p", wholePrints(shared, first))
		q.RecordCrash(at, process(i), "p", wholePrints(middle, second))
	}
	now := time.Hour + 3*time.Second
	assert.Assert(t, quarantined(now, shared, first))
	assert.Assert(t, quarantined(now, middle, second))
	for i := range 6 {
		now += 2 * time.Second
		if i%2 == 0 {
			q.RecordCrash(now, process(10+i), "p", wholePrints(shared, first))
		} else {
			q.RecordCrash(now, process(10+i), "p", wholePrints(middle, second))
		}
		assert.Assert(t, quarantined(now, shared, first), "after crash %d", i)
		assert.Assert(t, quarantined(now, middle, second), "after crash %d", i)
	}
	for _, change := range q.TakeChanges() {
		assert.Assert(t, !change.Ended(), "%x was released: %s", change.Quarantine().ID(), change.Cause())
	}
	q.RecordAnswer(now, "p", prints(shared, middle))
	assert.Assert(t, q.Check(now, "r", "p", prints(shared, middle)) == nil, "other requests with the parts")
}

// TestFatalRequestInOtherCrashes guards against crashes of a fatal request that do not count, because
// servers end for other causes at the same moments, or because two of them are near each other.
func TestFatalRequestInOtherCrashes(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []time.Duration
		others  int
		before  bool
		want    bool
	}{
		{name: "two crashes", crashes: []time.Duration{0, time.Second}},
		{name: "three crashes, many others at the first", crashes: []time.Duration{0, 4 * time.Second, 5 * time.Second}, others: 4, want: true},
		{name: "three crashes, two of them within 60 ms", crashes: []time.Duration{0, 60 * time.Millisecond, 900 * time.Millisecond}, want: true},
		{name: "three servers at one moment", crashes: []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond}},
		{name: "three crashes, answered before", crashes: []time.Duration{0, 600 * time.Millisecond, 1200 * time.Millisecond}, before: true, want: true},
		{name: "three crashes within a second, answered before", crashes: []time.Duration{0, 200 * time.Millisecond, 900 * time.Millisecond}, before: true},
		{name: "two moments, answered before", crashes: []time.Duration{0, 60 * time.Millisecond, 2 * time.Second}, before: true},
	} {
		q := New(0)
		if c.before {
			q.RecordAnswer(time.Hour-time.Second, "p", wholePrints(shared, own))
		}
		for i, at := range c.crashes {
			q.RecordCrash(time.Hour+at, process(i), "p", wholePrints(shared, own))
		}
		for i := range c.others {
			q.RecordCrash(time.Hour+time.Duration(i)*time.Millisecond, process(10+i), "p", wholePrints(middle, uint64(own+1+i)))
		}
		found := q.Check(time.Hour+6*time.Second, "r", "p", wholePrints(middle, own))
		assert.Equal(t, found != nil, c.want, c.name)
	}
}

// TestFatalRequestAmongManySuspects guards against a fatal request that is never quarantined because it
// crashes servers with many other requests in flight: of more suspects than a record keeps, the whole
// requests must not be dropped for the parts.
func TestFatalRequestAmongManySuspects(t *testing.T) {
	const fatalRequest, others = 1 << 40, maxSuspects / 2
	q := New(0)
	for i := range 3 {
		at := time.Hour + time.Duration(i)*time.Second
		for j := range others {
			part, whole := uint64(own+3*(i*others+j)), uint64(own+3*(i*others+j)+1)
			q.RecordCrash(at, process(i), "p", append(prints(shared, part), Fingerprint{ID: whole, Depth: 2, Whole: true}))
		}
		q.RecordCrash(at, process(i), "p", append(prints(shared, middle), Fingerprint{ID: fatalRequest, Depth: 2, Whole: true}))
	}
	now, repeat := time.Hour+3*time.Second, []Fingerprint{{ID: fatalRequest, Whole: true}}
	assert.Assert(t, q.Check(now, "r", "p", repeat) != nil)
	other := New(0)
	for _, message := range q.All(now) {
		other.Merge(now, message)
	}
	assert.Assert(t, other.Check(now, "r", "p", repeat) != nil)
}

// TestRepeatsThroughTheDay guards against a fatal request that is tried for ever: it comes at six
// processes every ten seconds for six hours, and may reach servers three times after its third crash.
func TestRepeatsThroughTheDay(t *testing.T) {
	const hours, maxLate = 6, 3
	var processes []*Quarantiner
	for i := range 6 {
		processes = append(processes, New((float64(i)+0.5)/6))
	}
	sent := 0
	for at := time.Hour; at < (1+hours)*time.Hour; at += 10 * time.Second {
		q := processes[int(at/(10*time.Second))%len(processes)]
		if q.Check(at, fmt.Sprint(at), "p", wholePrints(shared, own)) != nil {
			continue
		}
		sent++
		q.RecordCrash(at, process(sent), "p", wholePrints(shared, own))
		for _, message := range q.TakeUnsent(at, false) {
			for _, other := range processes {
				other.Merge(at, message)
			}
		}
	}
	assert.Assert(t, sent > 3, "%d: no trial", sent)
	assert.Assert(t, sent <= 3+maxLate, "reached servers %d times", sent)
}

// TestRepeatsInFlightTogether guards against a fatal request of which many repeats wait for a model and
// are sent at once: two crashes that ended three of them suffice, also if no process saw more than one.
func TestRepeatsInFlightTogether(t *testing.T) {
	first, second := New(0), New(0)
	first.RecordCrash(time.Hour, process(0), "p", repeatPrints(11))
	second.RecordCrash(time.Hour, process(0), "p", repeatPrints(12))
	merge := func(now time.Duration) {
		for _, q := range []*Quarantiner{first, second} {
			for _, message := range q.All(now) {
				first.Merge(now, message)
				second.Merge(now, message)
			}
		}
	}
	merge(time.Hour + time.Second)
	assert.Assert(t, first.Check(time.Hour+time.Second, "r", "p", repeatPrints(13)) == nil, "one crash")
	second.RecordCrash(time.Hour+time.Second, process(1), "p", repeatPrints(13))
	merge(time.Hour + 2*time.Second)
	for _, q := range []*Quarantiner{first, second} {
		assert.Assert(t, q.Check(time.Hour+2*time.Second, "r", "p", repeatPrints(14)) != nil)
	}

	alone := New(0)
	for i := range 2 {
		alone.RecordCrash(time.Hour+time.Duration(i)*time.Second, process(i), "p", repeatPrints(11))
	}
	assert.Assert(t, alone.Check(time.Hour+2*time.Second, "r", "p", repeatPrints(12)) == nil, "one request at two servers")

	together := New(0)
	for request := range uint32(9) {
		together.RecordCrash(time.Hour, process(0), "p", repeatPrints(20+request))
	}
	assert.Assert(t, together.Check(time.Hour+time.Second, "r", "p", repeatPrints(12)) == nil, "one server")
	assert.Assert(t, len(together.All(time.Hour)[0].GetSuspects()[0].GetRequests()) <= minCrashes)
}

// TestRepeatsReadyTogether guards against a fatal request of which one crash ended several repeats, and
// whose others are ready at the same instant when a model is loaded: few are sent before a crash on the
// first of them is known, however many there are.
func TestRepeatsReadyTogether(t *testing.T) {
	const (
		crashKnown = 100 * time.Millisecond
		plays      = 1000
		maxMean    = 3
	)
	r := rand.New(rand.NewPCG(1, 2))
	for _, repeats := range []int{6, 40, 300} {
		total := 0
		for range plays {
			q := New(0)
			for request := range uint32(minCrashes) {
				q.RecordCrash(time.Hour, process(0), "p", repeatPrints(request+1))
			}
			var delays []time.Duration
			for range repeats {
				delays = append(delays, q.SendDelay(time.Hour+time.Second, "p", repeatPrints(100), r.Float64()))
			}
			first := slices.Min(delays)
			for _, delay := range delays {
				assert.Assert(t, delay <= sendSpread)
				if delay <= first+crashKnown {
					total++
				}
			}
		}
		assert.Assert(t, total <= maxMean*plays, "%d repeats: %d sent in %d plays", repeats, total, plays)
	}
}

// TestSendDelay checks which requests are delayed after a crash.
func TestSendDelay(t *testing.T) {
	lose := func(at time.Duration, server int, requests ...uint32) func(*Quarantiner) {
		return func(q *Quarantiner) {
			for _, request := range requests {
				q.RecordCrash(at, process(server), "p", repeatPrints(request))
			}
		}
	}
	answer := func(at time.Duration) func(*Quarantiner) {
		return func(q *Quarantiner) { q.RecordAnswer(at, "p", repeatPrints(9)) }
	}
	for _, c := range []struct {
		name  string
		steps []func(*Quarantiner)
		want  bool
	}{
		{name: "no crash"},
		{name: "two repeats", steps: []func(*Quarantiner){lose(time.Hour, 0, 1, 2)}},
		{name: "three repeats", steps: []func(*Quarantiner){lose(time.Hour, 0, 1, 2, 3)}, want: true},
		{name: "one request three times", steps: []func(*Quarantiner){lose(time.Hour, 0, 1, 1, 1)}},
		{name: "two servers at one instant", steps: []func(*Quarantiner){lose(time.Hour, 0, 1, 2), lose(time.Hour, 1, 3)}},
		{name: "answered before", steps: []func(*Quarantiner){answer(time.Minute), lose(time.Hour, 0, 1, 2, 3)}},
		{name: "answered since", steps: []func(*Quarantiner){lose(time.Hour, 0, 1, 2, 3), answer(time.Hour + time.Second)}},
		{name: "quarantined", steps: []func(*Quarantiner){lose(time.Hour, 0, 1, 2), lose(time.Hour+time.Second, 1, 3)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New(0)
			for _, step := range c.steps {
				step(q)
			}
			now := time.Hour + 2*time.Second
			delay := q.SendDelay(now, "p", repeatPrints(10), 1)
			assert.Equal(t, delay > 0, c.want, "%v", delay)
			assert.Equal(t, q.SendDelay(now, "other", repeatPrints(10), 1), time.Duration(0))
			assert.Equal(t, q.SendDelay(now, "p", wholePrints(shared, own+1), 1), time.Duration(0))
		})
	}
}
