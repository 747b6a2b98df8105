package reserver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testLimits are limits with room for 1 MB and for 8 callers' connections.
func testLimits() Limits {
	return Limits{
		Bytes: 1e6, Connections: [groups]int{8, 2, 4}, HeadBytes: 1000, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		BodySilence: 10 * time.Second, BodyTimeout: 20 * time.Second, BodyRate: 1000, AnswerSilence: 12 * time.Second,
	}
}

// admit adds a connection that must be admitted without another's end.
func admit(t testing.TB, r *Reserver, now time.Duration) *Holding {
	t.Helper()
	h, victim := r.Admit(now, nil, Callers, false)
	assert.Assert(t, h != nil && victim == nil)
	return h
}

// TestBudgetInvariants guards against a budget that is exceeded or not returned: after random
// operations, what is reserved is the sum of what open connections hold and within the limits.
func TestBudgetInvariants(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := New(testLimits())
		var all []*Holding
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(random.IntN(300)) * time.Millisecond
			step(random, r, now, &all)
			checkInvariants(t, r, seed)
		}
		for _, h := range all {
			r.Remove(h)
			r.Remove(h)
		}
		connections, bytes := r.Held()
		assert.Equal(t, connections, 0)
		assert.Equal(t, bytes, int64(0))
		assert.Equal(t, r.waiting, 0)
	}
}

// step does one random operation.
func step(random *rand.Rand, r *Reserver, now time.Duration, all *[]*Holding) {
	if len(*all) == 0 || random.IntN(4) == 0 {
		if h, _ := r.Admit(now, nil, Group(random.IntN(int(groups))), random.IntN(5) == 0); h != nil {
			*all = append(*all, h)
		}
		return
	}
	h := (*all)[random.IntN(len(*all))]
	switch random.IntN(9) {
	case 0:
		r.Remove(h)
	case 1, 2:
		r.Reserve(now, h, random.Int64N(400_000))
	case 3:
		r.Release(h, random.Int64N(200_000))
	case 4:
		r.Enter(now, h, Phase(random.IntN(4)))
	case 5:
		r.HeadRead(now, h, random.Int64N(500), random.Int64N(20))
	case 6:
		r.BodyRead(now, h, random.Int64N(5000))
	case 7:
		r.Writing(now, h, random.IntN(2) == 0)
	default:
		for _, expired := range r.Expired(now) {
			r.Remove(expired)
		}
	}
}

// checkInvariants fails the test unless the counts agree with the open connections.
func checkInvariants(t testing.TB, r *Reserver, seed uint64) {
	t.Helper()
	bytes, waiting, idle := int64(0), 0, 0
	var counts [groups]int
	for h := range r.open {
		bytes += h.bytes
		counts[h.group]++
		if h.waiting {
			waiting++
		}
		if h.phase == Idle {
			idle++
		}
		assert.Assert(t, h.bytes >= 0, "seed %d", seed)
	}
	assert.Equal(t, r.bytes, bytes, "seed %d", seed)
	assert.Assert(t, r.bytes <= r.limits.Bytes, "seed %d", seed)
	assert.Equal(t, r.counts, counts, "seed %d", seed)
	assert.Equal(t, r.waiting, waiting, "seed %d", seed)
	assert.Equal(t, r.idle[Callers].Len()+r.idle[Control].Len()+r.idle[Peers].Len(), idle, "seed %d", seed)
	for g, count := range counts {
		assert.Assert(t, count <= r.limits.Connections[g], "seed %d", seed)
	}
}

// body admits a connection whose request holds n bytes and has a body in arrival.
func body(t testing.TB, r *Reserver, now time.Duration, n int64) *Holding {
	t.Helper()
	h := admit(t, r, now)
	assert.Assert(t, r.Enter(now, h, Body))
	outcome, _ := r.Reserve(now, h, n)
	assert.Equal(t, outcome, Granted)
	return h
}

// TestLargestStalledEnds guards against an exhausted budget that ends a request that still makes
// progress, or a small one in place of the large one that stalls.
func TestLargestStalledEnds(t *testing.T) {
	r := New(testLimits())
	large := body(t, r, 0, 400_000)
	small := body(t, r, 0, 100_000)
	active := body(t, r, 0, 300_000)
	r.BodyRead(1900*time.Millisecond, active, 1)
	asking := admit(t, r, 1900*time.Millisecond)
	outcome, victim := r.Reserve(2*time.Second, asking, 200_000)
	assert.Equal(t, outcome, Wait)
	assert.Assert(t, victim == large)
	assert.Equal(t, r.Cause(large), Budget)
	// A request whose body was refused must not run.
	assert.Assert(t, !r.Enter(2*time.Second, large, Serving))
	// While the first one is being closed, no other one ends for the same need.
	_, victim = r.Reserve(2100*time.Millisecond, asking, 200_000)
	assert.Assert(t, victim == nil)
	r.Remove(large)
	outcome, _ = r.Reserve(2200*time.Millisecond, asking, 200_000)
	assert.Equal(t, outcome, Granted)
	assert.Equal(t, r.Cause(small), None)
	assert.Equal(t, r.Cause(active), None)
}

// TestServedRequestsStay guards against the end of a request that the process works on.
func TestServedRequestsStay(t *testing.T) {
	r := New(testLimits())
	served := body(t, r, 0, 800_000)
	assert.Assert(t, r.Enter(0, served, Serving))
	asking := admit(t, r, time.Minute)
	outcome, victim := r.Reserve(time.Minute, asking, 500_000)
	assert.Equal(t, outcome, Wait)
	assert.Assert(t, victim == nil)
	assert.Equal(t, len(r.Expired(time.Hour)), 0)
	// Its answer is not taken: then it stalls.
	r.Writing(time.Hour, served, true)
	_, victim = r.Reserve(time.Hour+2*time.Second, admit(t, r, time.Hour), 500_000)
	assert.Assert(t, victim == served)
}

// TestSmallRequestsFindRoom guards against large requests that take the room of ordinary ones: with
// one large request the rest of the budget is left, and with many one of them ends.
func TestSmallRequestsFindRoom(t *testing.T) {
	fill := func(r *Reserver) {
		h := body(t, r, 0, 10_000)
		for range 1000 {
			if outcome, _ := r.Reserve(0, h, 10_000); outcome != Granted {
				return
			}
		}
		t.Fatal("the budget has no end")
	}
	r := New(testLimits())
	fill(r)
	outcome, _ := r.Reserve(0, admit(t, r, 0), 20_000)
	assert.Equal(t, outcome, Granted)

	r = New(testLimits())
	ordinary := admit(t, r, 0)
	for range 3 {
		fill(r)
	}
	_, victim := r.Reserve(10*time.Millisecond, ordinary, 20_000)
	assert.Assert(t, victim != nil && victim.bytes > 800_000)
	r.Remove(victim)
	outcome, _ = r.Reserve(20*time.Millisecond, ordinary, 20_000)
	assert.Equal(t, outcome, Granted)
}

// TestWaitersAreBounded guards against a crowd that waits for budget without end.
func TestWaitersAreBounded(t *testing.T) {
	limits := testLimits()
	limits.Bytes, limits.Connections[Callers] = 100e6, 1000
	r := New(limits)
	waiting := 0
	for range 1000 {
		if outcome, _ := r.Reserve(0, admit(t, r, 0), 95e6); outcome == Wait {
			waiting++
		}
	}
	assert.Equal(t, waiting, maxLargeWaiting)
}

// TestConnectionsMakeRoom guards against connections that send nothing and keep others out, and
// against a crowd at one group that keeps out the connections of another.
func TestConnectionsMakeRoom(t *testing.T) {
	r := New(testLimits())
	var silent []*Holding
	for i := range 8 {
		silent = append(silent, admit(t, r, time.Duration(i)*time.Millisecond))
	}
	h, victim := r.Admit(50*time.Millisecond, nil, Callers, false)
	assert.Assert(t, h == nil && victim == nil, "none has been silent for long")
	h, victim = r.Admit(50*time.Millisecond, nil, Control, false)
	assert.Assert(t, h != nil && victim == nil)
	// One that has a request stays.
	assert.Assert(t, r.Enter(60*time.Millisecond, silent[0], Serving))
	h, victim = r.Admit(time.Second, nil, Callers, false)
	assert.Assert(t, h != nil && victim == silent[1])
	assert.Equal(t, r.Cause(silent[1]), Connections)
}

// TestTimeLimits guards against a phase that lasts beyond its limit, and against the end of one
// that is inside it.
func TestTimeLimits(t *testing.T) {
	for i, c := range []struct {
		prepare func(r *Reserver, h *Holding)
		last    time.Duration
		cause   Cause
	}{
		{func(*Reserver, *Holding) {}, 15 * time.Second, IdleTimeout},
		{func(r *Reserver, h *Holding) { r.HeadRead(0, h, 10, 1) }, 3 * time.Second, HeadTimeout},
		{func(r *Reserver, h *Holding) { r.HeadRead(0, h, 10, 1); r.HeadRead(2*time.Second, h, 10, 1) }, 3 * time.Second, HeadTimeout},
		{func(r *Reserver, h *Holding) { r.Enter(0, h, Body) }, 10 * time.Second, BodyTimeout},
		{func(r *Reserver, h *Holding) { r.Enter(0, h, Body); r.BodyRead(15*time.Second, h, 5000) }, 25 * time.Second, BodyTimeout},
		{func(r *Reserver, h *Holding) { r.Enter(0, h, Serving); r.Writing(0, h, true) }, 12 * time.Second, AnswerUnread},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			r := New(testLimits())
			h := admit(t, r, 0)
			c.prepare(r, h)
			assert.Equal(t, len(r.Expired(c.last-time.Millisecond)), 0)
			assert.Equal(t, len(r.Expired(c.last)), 1)
			assert.Equal(t, r.Cause(h), c.cause)
		})
	}
}

// TestOrdinaryCallers guards against limits that ordinary callers meet: 50 bodies of 4 MiB that
// share a link of 10 Mbit/s, in an instance that has room for them.
func TestOrdinaryCallers(t *testing.T) {
	limits := testLimits()
	limits.Bytes, limits.Connections[Callers] = 500e6, 100
	limits.BodySilence, limits.BodyTimeout, limits.BodyRate = 15*time.Second, 30*time.Second, 16<<10
	r := New(limits)
	const bodies, size, linkBytesPerSecond = 50, 4 << 20, 10_000_000 / 8
	var open []*Holding
	for range bodies {
		open = append(open, body(t, r, 0, size))
	}
	for now := time.Second; now < bodies*size/linkBytesPerSecond*time.Second; now += time.Second {
		for _, h := range open {
			r.BodyRead(now, h, linkBytesPerSecond/bodies)
		}
		assert.Equal(t, len(r.Expired(now)), 0)
	}
}
