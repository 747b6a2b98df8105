package locator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/dispatcher"
	"oleanderstall/wire"
)

// reportMemory reports the memory in use of an engine and its size, as its sidecar does.
func (fx *estimateFixture) reportMemory(i int, used, total uint32) {
	fx.locator.Receive(fx.now, &wire.Batch{Conditions: []*wire.EngineStatus{{Server: engineName(i), Born: 1, Models: []string{"m", "n"}, Used: used, Cache: total}}}, false)
}

// try makes one attempt to reserve a server for a request and reports whether there is one now.
func (fx *estimateFixture) try(t *testing.T, r *dispatcher.Request) *dispatcher.Reservation {
	t.Helper()
	next, err := fx.locator.tryReserve(fx.now, newSearch(r))
	assert.NilError(t, err)
	if next.reservation == nil {
		assert.Assert(t, next.wait.changed != nil)
	}
	return next.reservation
}

// TestRequestThatDoesNotFit guards against a request that is sent where the memory is full, which
// would preempt another one there in the middle of its stream.
func TestRequestThatDoesNotFit(t *testing.T) {
	fx := newEstimateFixture(2)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	fx.reportMemory(0, 9000, 10000)
	fx.reportMemory(1, 1000, 10000)
	fx.feed(1, dispatcher.Load{Running: 20, Slots: 32, Pace: 100})
	assert.Equal(t, fx.pick(fx.request("m")), engineName(0))
	assert.Equal(t, fx.pick(fx.request("m", 1, 2)), engineName(1))
	hinted := fx.request("m")
	hinted.InputTokens, hinted.MaxOutputTokens, hinted.OutputHint = 700, 4000, 200
	assert.Equal(t, fx.pick(hinted), engineName(0))
	hinted.OutputHint = 201
	assert.Equal(t, fx.pick(hinted), engineName(1))
}

// TestFullPoolWithThreeFigures guards against memory that changes what a pool without a fourth
// figure is sent.
func TestFullPoolWithThreeFigures(t *testing.T) {
	fx := newEstimateFixture(2)
	fx.feed(1, dispatcher.Load{Running: 5, Slots: 32})
	fx.reportMemory(0, 9999, 10000)
	fx.reportMemory(1, 0, 10000)
	fx.feed(1, dispatcher.Load{Running: 5, Slots: 32})
	assert.Assert(t, fx.try(t, fx.request("m", 1, 2)).Name == engineName(0))
}

// TestWaitForMemory guards against a request that fits nowhere and is sent at once, waits without
// end, is not woken once there is memory, or keeps others waiting that fit.
func TestWaitForMemory(t *testing.T) {
	fx := newEstimateFixture(1)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	fx.reportMemory(0, 0, 10000)
	large := fx.send(fx.request("m", 1, 2, 3, 4, 5, 6, 7))
	fx.now += 300 * time.Millisecond
	waiting := fx.request("m", 11, 12, 13)
	assert.Assert(t, fx.try(t, waiting) == nil)
	// One that fits doesn't wait for it, one that does not waits for both.
	assert.Assert(t, fx.try(t, fx.request("m")) != nil)
	fx.now += 50 * time.Millisecond
	assert.Assert(t, fx.try(t, fx.request("m", 21, 22, 23)) == nil)
	// The end of the large one wakes it.
	next, err := fx.locator.tryReserve(fx.now, newSearch(waiting))
	assert.NilError(t, err)
	large.OnPromptRead()
	large.Release(dispatcher.AttemptResult{Answered: true})
	select {
	case <-next.wait.changed:
	default:
		t.Fatal("the end of a request wakes none that waits for its memory")
	}
	assert.Assert(t, fx.try(t, waiting) != nil)
}

// TestWaitForMemoryEnds guards against a request that starves because others fill the memory: after
// a bounded time it is sent all the same.
func TestWaitForMemoryEnds(t *testing.T) {
	fx := newEstimateFixture(2)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	fx.reportMemory(0, 9500, 10000)
	fx.reportMemory(1, 9500, 10000)
	r := fx.request("m", 1, 2, 3)
	started := fx.now
	for fx.try(t, r) == nil {
		fx.now += 10 * time.Millisecond
		assert.Assert(t, fx.now-started < 200*time.Millisecond)
	}
	assert.Assert(t, fx.now-started > 100*time.Millisecond)
	// One that never fits does not wait for memory.
	huge := fx.request("m", 31, 32, 33, 34, 35, 36, 37, 38, 39, 40)
	fx.now += time.Second
	assert.Assert(t, fx.try(t, huge) != nil)
}

// TestMemoryFigureWakes guards against a request that waits for memory until its time is over
// although a load that the relay sends says that there is room.
func TestMemoryFigureWakes(t *testing.T) {
	fx := newEstimateFixture(1)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	fx.reportMemory(0, 9500, 10000)
	r := fx.request("m", 1, 2, 3)
	next, err := fx.locator.tryReserve(fx.now, newSearch(r))
	assert.NilError(t, err)
	fx.locator.enqueue(r)
	fx.locator.Receive(fx.now, &wire.Batch{Traffic: []*wire.EngineLoad{{Server: engineName(0), Full: 96}}}, false)
	select {
	case <-next.wait.changed:
		t.Fatal("a fuller memory wakes a request")
	default:
	}
	fx.locator.Receive(fx.now, &wire.Batch{Traffic: []*wire.EngineLoad{{Server: engineName(0), Full: 20}}}, false)
	select {
	case <-next.wait.changed:
	default:
		t.Fatal("memory that became free wakes no request")
	}
	assert.Assert(t, fx.try(t, r) != nil)
}

// TestPoolSpeeds guards against metrics that are not there for a pool whose times are estimated, are
// there for another one, or count a request that waits for memory each time that it is tried.
func TestPoolSpeeds(t *testing.T) {
	fx := newEstimateFixture(2)
	fx.feed(0, dispatcher.Load{Slots: 32})
	assert.Equal(t, len(fx.locator.PoolSpeeds()), 0)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 300})
	fx.reportMemory(0, 9500, 10000)
	fx.reportMemory(1, 9500, 10000)
	r := fx.request("m", 1, 2, 3)
	for range 3 {
		assert.Assert(t, fx.try(t, r) == nil)
	}
	speeds := fx.locator.PoolSpeeds()
	assert.Equal(t, len(speeds), 1)
	p := speeds[0]
	assert.Assert(t, p.Pool == "p" && p.Slowest > 2 && p.Fastest == 1 && p.MemoryWaits == 1 && p.MemoryOverfull == 0, "%+v", p)
	fx.now += 150 * time.Millisecond
	assert.Assert(t, fx.try(t, r) != nil)
	assert.Equal(t, fx.locator.PoolSpeeds()[0].MemoryOverfull, uint64(1))
}
