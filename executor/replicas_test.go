package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/engine"
	"oleanderstall/faker"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

func newEngine(capacity uint64) *memoryEngine {
	return &memoryEngine{capacity: capacity, loaded: map[string]engine.Loaded{}}
}

func (e *memoryEngine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.loaded[model]
	return ok
}

// TestLoadEvictsIdleModel loads a second model where the memory suffices for one. The
// idle model must be unloaded first, so that the memory is never overcommitted.
func TestLoadEvictsIdleModel(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	_, err = x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.NilError(t, err)
	assert.Assert(t, !e.hasModel("m1") && e.hasModel("m2"))
	assert.Assert(t, e.peakBytes <= e.capacity, "%d of %d bytes", e.peakBytes, e.capacity)
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// TestBusyModelIsNotEvicted orders a load that fits only if a model in use is
// unloaded. It must be refused until that model is idle.
func TestBusyModelIsNotEvicted(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	replica, err := x.acquireReplica(context.Background(), &wire.Run{Model: "m1"}, f.clock.Now()+time.Minute)
	assert.NilError(t, err)
	_, err = x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, !x.unload(context.Background(), "m1", "test"))
	x.releaseReplica(replica)
	_, err = x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.NilError(t, err)
}

// TestCacheAndWeightsShareMemory sends two requests whose KV caches don't fit beside
// the weights at the same time. The second must wait for the first, and a request
// that could never fit must be refused.
func TestCacheAndWeightsShareMemory(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	gate := make(chan struct{})
	e.generate = func(context.Context, engine.Request, func(string) error) (engine.Result, error) {
		<-gate
		return engine.Result{FinishReason: "stop"}, nil
	}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { assert.Check(t, f.run(x, "m1", 30)) })
	}
	for x.pendingRequests() < 2 {
		time.Sleep(time.Millisecond)
	}
	state := x.Dump()
	assert.Equal(t, state.Used, uint64(90))
	assert.Equal(t, state.Running, 1)
	close(gate)
	wg.Wait()
	awaitIdle(x)
	assert.Equal(t, x.Dump().Used, uint64(60))
	assert.Assert(t, refuser.Is(f.run(x, "m1", 41), refuser.TooLarge))
}

// run sends one request through the sidecar's handler.
func (f *fixture) run(x *Executor, model string, cost uint32) error {
	call := &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id: "r", Workspace: "w", Key: "k", Config: 1, Model: model, Body: []byte("{}"), Left: 60000, Cost: cost,
	}}}
	s, err := f.network.Open(context.Background(), x.member.Self().Address, call)
	if err != nil {
		return err
	}
	defer s.Cancel()
	for {
		reply, err := s.Recv()
		switch {
		case err != nil:
			return err
		case reply.GetRefusal() != nil:
			return refuser.FromWire(reply.GetRefusal())
		case reply.GetFinish() != nil:
			return nil
		}
	}
}

// awaitIdle waits until the sidecar has released the finished requests.
func awaitIdle(x *Executor) {
	for busy := true; busy; time.Sleep(time.Millisecond) {
		state := x.Dump()
		busy = state.Running > 0
		for _, r := range state.Replicas {
			busy = busy || r.Users > 0
		}
	}
}

// TestOldFencingNumberRefused sends load orders with a lower fencing number than that
// of the loaded replica, and with one that is not above the fence of a query. Both
// must be refused. The repetition of an admitted order must succeed without a second
// load.
func TestOldFencingNumberRefused(t *testing.T) {
	f, e := newFixture(t), newEngine(200)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 5))
	assert.NilError(t, err)
	_, err = x.load(context.Background(), loadOrder("a", "m1", 5))
	assert.NilError(t, err)
	assert.Equal(t, e.loads, 1)
	_, err = x.load(context.Background(), loadOrder("a", "m1", 4))
	assert.Assert(t, refuser.Is(err, refuser.StaleConfiguration))
	x.bid(&wire.Bid{Model: "m2", Fence: &wire.Slot{Model: "m2", Epoch: 7}})
	_, err = x.load(context.Background(), loadOrder("a", "m2", 7))
	assert.Assert(t, refuser.Is(err, refuser.StaleConfiguration))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	_, err = x.load(context.Background(), loadOrder("a", "m2", 8))
	assert.NilError(t, err)
}

// TestRestartDuringLoad starts a sidecar while the engine executes a load of an
// earlier one. The new sidecar must count that memory and accept no order before
// those of the earlier sidecar can no longer be in transit.
func TestRestartDuringLoad(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3, Loading: true}
	x := f.sidecar("a", e, nil)
	_, err := x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	x.Sweep(context.Background())
	_, err = x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Equal(t, x.Dump().Used, uint64(60))
	e.loaded["m2"] = engine.Loaded{Model: "m2", Bytes: 40, Fence: 2}
	x.Sweep(context.Background())
	assert.Equal(t, x.Dump().Used, uint64(100))
	f.clock.Advance(maxOrderTransit)
	_, err = x.load(context.Background(), loadOrder("a", "m1", 3))
	assert.Assert(t, err != nil)
	assert.Equal(t, e.loads, 0)
	assert.Assert(t, e.peakBytes <= e.capacity)
}

// TestOrderOfEarlierSidecarArrivesLate delivers an order of an earlier sidecar to the
// engine after the new one has read its first status. The new sidecar must still
// count that memory before it loads a model.
func TestOrderOfEarlierSidecarArrivesLate(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	x.Sweep(context.Background())
	assert.NilError(t, e.Load(context.Background(), engine.Order{Model: "m1", Bytes: 60, Fence: 1}))
	f.clock.Advance(maxOrderTransit - time.Millisecond)
	x.Sweep(context.Background())
	f.clock.Advance(time.Millisecond)
	_, err := x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.NilError(t, err)
	assert.Assert(t, e.peakBytes <= e.capacity, "%d of %d bytes", e.peakBytes, e.capacity)
}

// TestIdleModelIsUnloaded leaves a model idle while neither the platform nor an entry
// answers. The sidecar must unload it without an order.
func TestIdleModelIsUnloaded(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	f.platform.SetDown(true)
	for range 61 {
		f.clock.Advance(time.Second)
		x.Sweep(context.Background())
	}
	assert.Assert(t, !e.hasModel("m1"))
	assert.Equal(t, x.Dump().Used, uint64(0))
}

// TestFreedSlotReportIsRepeated unloads a model while its shard's holder does not
// answer. The report must be repeated until it is confirmed, and not after that.
func TestFreedSlotReportIsRepeated(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	f.makeHolder(x, "m1")
	freed := 0
	f.network.Attach("entry-a", func(_ context.Context, call *wire.Call, s peer.Stream) {
		if call.GetFree().GetSlot().GetEpoch() == 1 {
			freed++
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}})
	})
	f.network.SetUnreachable("entry-a", true)
	assert.Assert(t, x.unload(context.Background(), "m1", "test"))
	x.reportFreedSlots(context.Background())
	assert.Equal(t, freed, 0)
	f.network.SetUnreachable("entry-a", false)
	x.reportFreedSlots(context.Background())
	x.reportFreedSlots(context.Background())
	assert.Equal(t, freed, 1)
}

// makeHolder lists entry-a and makes it the holder of all shards.
func (f *fixture) makeHolder(x *Executor, model string) {
	f.t.Helper()
	f.platform.SetInstances(holderInstance)
	x.member.Poll(context.Background())
	value, err := storer.Encode(&wire.ShardRow{Holder: "entry-a", Epoch: 1})
	assert.NilError(f.t, err)
	for shard := range f.options.Shards {
		put := storer.Put{Key: storer.ShardKey(shard), Value: value}
		_, err := f.platform.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{put}})
		assert.NilError(f.t, err, model)
	}
}

var holderInstance = storer.Instance{Name: "entry-a", Role: "entry", Address: "entry-a"}

// TestAdapter sends two requests for an adapter. It must be refused without its base,
// loaded once for both requests, and unloaded with its base.
func TestAdapter(t *testing.T) {
	f, e := newFixture(t), newEngine(150)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	assert.Assert(t, refuser.Is(f.run(x, "a1", 1), refuser.NotResident))
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { assert.Check(t, f.run(x, "a1", 1)) })
	}
	wg.Wait()
	awaitIdle(x)
	assert.Equal(t, e.loads, 2)
	assert.Equal(t, x.Dump().Used, uint64(70))
	assert.Assert(t, x.unload(context.Background(), "m1", "test"))
	assert.Assert(t, !e.hasModel("a1") && !e.hasModel("m1"))
}

// TestLoadResponseLost loses the engine's response to a load. The model is loaded, so
// the order must succeed by the engine's status and its memory must stay reserved.
func TestLoadResponseLost(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	e.loadErr = &faker.OutageError{}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err, "the engine has the model although its answer was lost")
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// TestDrain drains a sidecar with a request in flight. It must notify the entry and
// refuse new work, finish the request, and leave no model loaded.
func TestDrain(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	gate := make(chan struct{})
	e.generate = func(_ context.Context, _ engine.Request, onToken func(string) error) (engine.Result, error) {
		<-gate
		return engine.Result{FinishReason: "stop"}, onToken("w ")
	}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	f.makeHolder(x, "m1")
	notified := make(chan string, 1)
	f.network.Attach("entry-a", func(_ context.Context, call *wire.Call, s peer.Stream) {
		if l := call.GetLeave(); l != nil {
			notified <- l.GetInstance()
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}})
	})
	served := make(chan error, 1)
	go func() { served <- f.run(x, "m1", 1) }()
	for x.pendingRequests() < 1 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() {
		x.Drain(context.Background())
		close(drained)
	}()
	assert.Equal(t, <-notified, "a")
	err = f.run(x, "m1", 1)
	assert.Assert(t, refuser.Is(err, refuser.Leaving))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	select {
	case <-drained:
		t.Fatal("drained with a request in flight")
	default:
	}
	close(gate)
	assert.NilError(t, <-served)
	<-drained
	assert.Assert(t, !e.hasModel("m1"))
}

// sweep advances the clock by d and runs one sweep.
func (f *fixture) sweep(x *Executor, d time.Duration) {
	f.clock.Advance(d)
	x.Sweep(context.Background())
}

// stateOf returns the state of a replica in the dump, or "none".
func stateOf(x *Executor, model string) string {
	for _, r := range x.Dump().Replicas {
		if r.Model == model {
			return r.State
		}
	}
	return "none"
}

// TestAdoptedLoadCompletes completes a load of an earlier sidecar long after the
// restart. The replica must then serve requests.
func TestAdoptedLoadCompletes(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3, Loading: true}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	f.sweep(x, 3*maxOrderTransit)
	assert.Equal(t, stateOf(x, "m1"), "STATE_LOADING")
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3}
	f.sweep(x, time.Second)
	assert.Equal(t, stateOf(x, "m1"), "STATE_RESIDENT")
	assert.NilError(t, f.run(x, "m1", 1))
}

// TestAdoptedLoadFails lets a load of an earlier sidecar fail after the restart. The
// replica must be removed and its memory released.
func TestAdoptedLoadFails(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3, Loading: true}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	delete(e.loaded, "m1")
	f.sweep(x, time.Second)
	assert.Equal(t, stateOf(x, "m1"), "none")
	assert.Equal(t, x.Dump().Used, uint64(0))
}

// TestEngineRestart removes a loaded model from the engine without an order of the
// sidecar. Once no order can be in transit, the replica must be removed and its slot
// listed to be reported free.
func TestEngineRestart(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	assert.NilError(t, e.Unload(context.Background(), engine.Order{Model: "m1"}))
	f.sweep(x, time.Second)
	assert.Equal(t, stateOf(x, "m1"), "STATE_RESIDENT", "an order may still be in transit")
	f.sweep(x, maxOrderTransit)
	assert.Equal(t, stateOf(x, "m1"), "none")
	assert.Equal(t, len(x.freedSlots), 1)
}

// TestOldStatusArrivesLate delivers a status that was taken before a load long after
// the load. The loaded replica must not be removed, nor its memory released.
func TestOldStatusArrivesLate(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	e.beforeStatusReturn = func() {
		e.beforeStatusReturn = nil
		_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
		assert.NilError(t, err)
		f.clock.Advance(2 * maxOrderTransit)
	}
	x.Sweep(context.Background())
	assert.Equal(t, stateOf(x, "m1"), "STATE_RESIDENT")
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// TestLoadArrivesAfterConnectionLoss loses the connection of a load order that reaches
// the engine later. The memory must stay reserved while the order may be in transit,
// and the loaded replica must be found.
func TestLoadArrivesAfterConnectionLoss(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", &lossyEngine{memoryEngine: e}, nil)
	f.makeReady(x)
	loaded := make(chan error, 1)
	go func() {
		_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
		loaded <- err
	}()
	for x.Dump().Used == 0 {
		time.Sleep(time.Millisecond)
	}
	f.clock.Advance(maxOrderTransit / 2)
	time.Sleep(2 * outcomePollInterval)
	assert.Equal(t, x.Dump().Used, uint64(60))
	assert.NilError(t, e.Load(context.Background(), engine.Order{Model: "m1", Bytes: 60, Fence: 1}))
	assert.NilError(t, <-loaded)
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// lossyEngine is an engine whose load orders are lost with their connection.
type lossyEngine struct{ *memoryEngine }

func (l *lossyEngine) Load(context.Context, engine.Order) error { return &faker.OutageError{} }
