package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// seeds are those with which the simulations run.
var seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// TestFastAndSlowServers guards against servers of one pool that are taken for equally fast, and
// against models or lengths of prompts of which the estimate of one spoils that of another.
func TestFastAndSlowServers(t *testing.T) {
	for _, seed := range seeds {
		fx := newFixture(seed, 0.7, 1, 1.3, 1.7)
		fx.run(10*time.Second, nil)
		for _, s := range fx.servers {
			fx.checkEstimate(t, s, 0.3)
		}
	}
}

// TestServerAddedLater guards against a server without observations that looks far better or worse
// than the others: it has the pool's mean.
func TestServerAddedLater(t *testing.T) {
	fx := newFixture(1, 0.8, 1, 1.25)
	fx.run(10*time.Second, nil)
	added := &server{estimator: New(), speed: 1}
	added.estimator.SetPool(fx.servers[0].estimator.pool)
	fx.checkEstimate(t, added, 0.3)
}

// TestNeighbour guards against a neighbour that slows a server by 2.5 for 600 ms and is seen too
// late, or that is held against the server after it has gone.
func TestNeighbour(t *testing.T) {
	for _, seed := range seeds {
		fx := newFixture(seed, 1, 1, 1)
		fx.run(5*time.Second, nil)
		from := fx.now
		slowed := fx.servers[0]
		slowed.slow = func(now time.Duration) float64 {
			if now-from < 600*time.Millisecond {
				return 2.5
			}
			return 1
		}
		fx.run(1500*time.Millisecond, func(now time.Duration) {
			ratio := fx.ratio(slowed)
			switch since := now - from; {
			case since >= 250*time.Millisecond && since < 600*time.Millisecond:
				assert.Check(t, ratio > 0.7 && ratio < 1.6, "seed %d, %v after it came: %.2f", seed, since, ratio)
			case since >= 900*time.Millisecond:
				assert.Check(t, ratio > 0.7 && ratio < 1.4, "seed %d, %v after it came: %.2f", seed, since, ratio)
			}
			assert.Check(t, fx.ratio(fx.servers[1]) < 1.35, "seed %d: another server looks slow", seed)
		})
	}
}

// TestFault guards against a server slowed by 3.5 for 6 s that gets as many requests as before, or
// none long afterwards, whether it states its own figure or not.
func TestFault(t *testing.T) {
	for _, states := range []bool{true, false} {
		for _, seed := range seeds {
			fx := newFixture(seed, 1, 1, 1, 1)
			slowed := fx.servers[0]
			slowed.states = states
			fx.run(5*time.Second, nil)
			from := fx.now
			slowed.slow = func(now time.Duration) float64 {
				if now-from < 6*time.Second {
					return 3.5
				}
				return 1
			}
			fx.run(10*time.Second, func(now time.Duration) {
				ratio := fx.ratio(slowed)
				switch since := now - from; {
				case since >= 1500*time.Millisecond && since < 6*time.Second:
					assert.Check(t, ratio > 0.6 && ratio < 1.7, "seed %d, states %v, %v after the fault: %.2f", seed, states, since, ratio)
				case since >= 7500*time.Millisecond:
					assert.Check(t, ratio > 0.6 && ratio < 1.7, "seed %d, states %v, %v after the fault: %.2f", seed, states, since, ratio)
				}
				if others := fx.ratio(fx.servers[1]); now-from < 6*time.Second {
					assert.Check(t, others < 1.5, "seed %d: another server looks slow: %.2f", seed, others)
				}
			})
		}
	}
}

// TestGaps guards against a server that becomes slow while it has only long answers, states no
// figure of its own and looks as fast as before until the next first event.
func TestGaps(t *testing.T) {
	fx := newFixture(1, 1, 1)
	fx.run(5*time.Second, nil)
	e, now := fx.servers[0].estimator, fx.now
	before := e.Factor(now)
	for range 15 {
		now += 20 * time.Millisecond
		e.RecordGap(now, 120*time.Millisecond, 8)
	}
	assert.Assert(t, e.Factor(now)/before > 1.5, "%.2f, then %.2f", before, e.Factor(now))
	later := e.Factor(now + 2*time.Second)
	assert.Assert(t, later > 0.85 && later < 1.15, "%.2f, then %.2f", before, later)
}

// TestSlowReader guards against a pool whose servers read prompts at another rate than assumed: the
// estimate for long prompts would be off by as much.
func TestSlowReader(t *testing.T) {
	e := New()
	took := func(w Work) time.Duration {
		return 40*time.Millisecond + time.Duration(w.PromptTokens)*time.Millisecond/12
	}
	random := rand.New(rand.NewPCG(4, 4))
	for i := range 400 {
		w := Work{Model: "m", PromptTokens: int(100 * math.Pow(70, random.Float64()))}
		e.RecordFirst(start+time.Duration(i)*20*time.Millisecond, w, Queue{}, took(w))
	}
	for _, tokens := range []int{100, 1000, 7000} {
		w := Work{Model: "m", PromptTokens: tokens}
		ratio := float64(e.First(start+8*time.Second, w, Queue{})) / float64(took(w))
		assert.Check(t, ratio > 0.8 && ratio < 1.25, "%d tokens: %.2f", tokens, ratio)
	}
}

// TestNoObservations guards against an estimate of zero, or one that doesn't rise with the work,
// before anything was observed.
func TestNoObservations(t *testing.T) {
	e := New()
	short := e.First(start, Work{PromptTokens: 100}, Queue{})
	long := e.First(start, Work{PromptTokens: 7000}, Queue{})
	behind := e.First(start, Work{PromptTokens: 100}, Queue{PromptTokens: 7000})
	busy := e.First(start, Work{PromptTokens: 100}, Queue{Running: 16})
	full := e.First(start, Work{PromptTokens: 100, OutputTokens: 100}, Queue{Running: 16, Slots: 16})
	assert.Assert(t, short > 20*time.Millisecond && short < 80*time.Millisecond, "%v", short)
	assert.Assert(t, long > 150*time.Millisecond && long < 400*time.Millisecond, "%v", long)
	assert.Assert(t, behind > long && busy > short && full > busy+20*time.Millisecond, "%v %v %v", behind, busy, full)
	assert.Equal(t, e.Factor(start), 1.0)
}

// TestStaleObservations guards against a server that gets no requests for ever since it was slow
// once: without observations it goes back to the pool's mean.
func TestStaleObservations(t *testing.T) {
	fx := newFixture(1, 1, 1, 1)
	fx.servers[0].slow, fx.servers[0].states = func(time.Duration) float64 { return 3 }, false
	fx.run(8*time.Second, nil)
	e := fx.servers[0].estimator
	assert.Assert(t, e.Factor(fx.now) > 2, "%.2f", e.Factor(fx.now))
	later := e.Factor(fx.now + time.Minute)
	assert.Assert(t, later < 1.1 && later > 0.9, "%.2f", later)
	// The own figure alone counts for less than a second.
	fresh := New()
	fresh.RecordPace(start, 400)
	assert.Assert(t, fresh.Factor(start) > 3.5)
	assert.Assert(t, fresh.Factor(start+2*time.Second) < 1.5, "%.2f", fresh.Factor(start+2*time.Second))
}

// TestOutlier guards against one observation that changes the estimate of a server: one that was
// held up elsewhere, or an answer from a cache.
func TestOutlier(t *testing.T) {
	w, q := Work{Model: "large", PromptTokens: 800}, Queue{Running: 8}
	for _, factor := range []float64{1000, 0.001} {
		for _, record := range []func(s *server, now time.Duration){
			func(s *server, now time.Duration) {
				s.estimator.RecordFirst(now, w, q, time.Duration(float64(s.first(now, w, q))*factor))
			},
			func(s *server, now time.Duration) {
				s.estimator.RecordGap(now, time.Duration(50*factor*float64(time.Millisecond)), 8)
			},
		} {
			fx := newFixture(1, 1, 1)
			fx.run(5*time.Second, nil)
			fx.now += 500 * time.Millisecond
			s := fx.servers[0]
			before := fx.ratio(s)
			record(s, fx.now)
			after := fx.ratio(s)
			assert.Assert(t, after/before < 1.3 && before/after < 1.3, "%.2f, then %.2f", before, after)
		}
	}
}

// TestAbsurdFigures guards against figures that can't be right and make an estimate infinite,
// negative or not a number.
func TestAbsurdFigures(t *testing.T) {
	fx := newFixture(1, 1, 1)
	fx.run(3*time.Second, nil)
	e := fx.servers[0].estimator
	pool, before := *e.pool.scaleOf("large"), *e
	for _, percent := range []int{0, -1, 10001, math.MaxInt, math.MinInt} {
		e.RecordPace(fx.now, percent)
	}
	for _, took := range []time.Duration{0, -1, math.MinInt64, math.MaxInt64, 11 * time.Minute} {
		e.RecordFirst(fx.now, Work{Model: "large", PromptTokens: 100}, Queue{}, took)
		e.RecordGap(fx.now, took, 1)
	}
	e.RecordGap(fx.now, time.Millisecond, -1)
	assert.Assert(t, *e == before && *e.pool.scaleOf("large") == pool)
	// Any figure that is taken leaves the estimate in range.
	random := rand.New(rand.NewPCG(3, 3))
	for range 20000 {
		now := time.Duration(random.Int64() >> random.IntN(63))
		count := func() int { return int(random.Int64()>>random.IntN(63)) - 5 }
		w := Work{Model: fmt.Sprint(random.IntN(300)), PromptTokens: count(), OutputTokens: count()}
		q := Queue{PromptTokens: count(), Waiting: count(), Running: count(), Slots: count()}
		e.RecordPace(now, count())
		e.RecordFirst(now, w, q, time.Duration(count()))
		e.RecordGap(now, time.Duration(count()), count())
		first, factor := e.First(now, w, q), e.Factor(now)
		assert.Assert(t, first >= 0 && first <= maxFirst && factor > 0.001 && factor < 1000, "%v %v", first, factor)
	}
	assert.Assert(t, len(e.pool.models) <= maxModels)
}

// TestDifferentModels guards against a model whose first request is estimated by what the others
// take for ever, and a pool's memory that grows with the names of models.
func TestDifferentModels(t *testing.T) {
	e := New()
	for i := range 1000 {
		e.RecordFirst(start+time.Duration(i)*time.Millisecond, Work{Model: fmt.Sprint(i), PromptTokens: 500}, Queue{}, 60*time.Millisecond)
	}
	assert.Equal(t, len(e.pool.models), maxModels)
	_, latest := e.pool.models["999"]
	_, first := e.pool.models["0"]
	assert.Assert(t, latest && !first)
}

// TestSize guards against state that grows: an estimator has no slices or maps of its own.
func TestSize(t *testing.T) {
	assert.Assert(t, unsafe.Sizeof(Estimator{}) <= 256)
	e, now := New(), start
	e.RecordFirst(now, Work{Model: "m"}, Queue{}, time.Millisecond)
	allocations := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		e.RecordFirst(now, Work{Model: "m", PromptTokens: 100}, Queue{}, 50*time.Millisecond)
		e.RecordGap(now, 40*time.Millisecond, 8)
		e.RecordPace(now, 120)
		e.First(now, Work{Model: "m", PromptTokens: 100}, Queue{Running: 3})
	})
	assert.Equal(t, allocations, 0.0)
}

// BenchmarkSlopeFirst measures one estimate, of which a decision makes one for each server.
func BenchmarkSlopeFirst(b *testing.B) {
	e := New()
	e.RecordFirst(start, Work{Model: "m", PromptTokens: 100}, Queue{}, 50*time.Millisecond)
	e.RecordPace(start, 150)
	for b.Loop() {
		e.First(start+time.Millisecond, Work{Model: "m", PromptTokens: 100}, Queue{Running: 3})
	}
}

// TestFullService guards against a plain service, whose answers have no tokens, that looks as fast
// with many calls waiting for its slots as with none.
func TestFullService(t *testing.T) {
	e := New()
	for i := range 50 {
		e.RecordFirst(start+time.Duration(i)*20*time.Millisecond, Work{}, Queue{}, 60*time.Millisecond)
	}
	now := start + time.Second
	free, full := e.First(now, Work{}, Queue{Running: 5, Slots: 6}), e.First(now, Work{}, Queue{Running: 6, Waiting: 12, Slots: 6})
	assert.Assert(t, full > free+100*time.Millisecond, "%v %v", free, full)
}

// TestSharedSpeed guards against what others have observed that doesn't count without observations of
// one's own, counts against newer ones, or counts for ever.
func TestSharedSpeed(t *testing.T) {
	e := New()
	e.RecordShared(start, 250)
	assert.Assert(t, e.Factor(start) > 2.4 && e.Factor(start) < 2.6)
	assert.Assert(t, e.Factor(start+time.Minute) < 1.2)
	for _, percent := range []int{0, -1, math.MaxInt, math.MinInt} {
		e.RecordShared(start, percent)
	}
	assert.Assert(t, e.Factor(start) > 2.4)
	fx := newFixture(1, 1, 1)
	fx.run(5*time.Second, nil)
	own := fx.servers[0].estimator
	own.RecordShared(fx.now, 300)
	assert.Assert(t, own.Factor(fx.now) < 1.2, "%.2f", own.Factor(fx.now))
	assert.Assert(t, own.Factor(fx.now+6*time.Second) > 1.5, "%.2f", own.Factor(fx.now+6*time.Second))
}

// TestUnshared guards against observations that are told twice, or that others are told before the
// pool's mean is known.
func TestUnshared(t *testing.T) {
	fx := newFixture(1, 1, 2)
	fx.run(200*time.Millisecond, nil)
	_, count := fx.servers[1].estimator.TakeUnshared()
	assert.Equal(t, count, 0)
	fx.run(5*time.Second, nil)
	slow, count := fx.servers[1].estimator.TakeUnshared()
	assert.Assert(t, count > 50)
	fast, _ := fx.servers[0].estimator.TakeUnshared()
	ratio := float64(slow) / float64(fast)
	assert.Assert(t, ratio > 1.6 && ratio < 2.4, "%d %d", fast, slow)
	_, count = fx.servers[1].estimator.TakeUnshared()
	assert.Equal(t, count, 0)
}
