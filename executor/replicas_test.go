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

func (e *memoryEngine) has(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.loaded[model]
	return ok
}

// TestLoadMakesRoom loads a second model where only one fits.
func TestLoadMakesRoom(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	_, err = x.load(context.Background(), order1("a", "m2", 1))
	assert.NilError(t, err)
	assert.Assert(t, !e.has("m1") && e.has("m2"))
	assert.Assert(t, e.most <= e.capacity, "%d of %d bytes", e.most, e.capacity)
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// TestBusyModelStays refuses a load that only a model in use could make room for.
func TestBusyModelStays(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	use, err := x.use(context.Background(), &wire.Run{Model: "m1"}, r.clock.Now()+time.Minute)
	assert.NilError(t, err)
	_, err = x.load(context.Background(), order1("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Assert(t, !x.unload(context.Background(), "m1", "test"))
	x.unuse(use)
	_, err = x.load(context.Background(), order1("a", "m2", 1))
	assert.NilError(t, err)
}

// TestCacheAndWeightsShareMemory fills the memory with the KV cache of requests.
func TestCacheAndWeightsShareMemory(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	gate := make(chan struct{})
	e.generate = func(context.Context, engine.Request, func(string) error) (engine.Result, error) {
		<-gate
		return engine.Result{Reason: "stop"}, nil
	}
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { assert.Check(t, r.run(x, "m1", 30)) })
	}
	for x.waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	st := x.Dump()
	assert.Equal(t, st.Used, uint64(90))
	assert.Equal(t, st.Running, 1)
	close(gate)
	wg.Wait()
	idle(x)
	assert.Equal(t, x.Dump().Used, uint64(60))
	assert.Assert(t, refuser.Is(r.run(x, "m1", 41), refuser.TooLarge))
}

// run sends one request through the sidecar's handler.
func (r *rig) run(x *Executor, model string, cost uint32) error {
	call := &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id: "r", Workspace: "w", Key: "k", Config: 1, Model: model, Body: []byte("{}"), Left: 60000, Cost: cost,
	}}}
	s, err := r.network.Open(context.Background(), x.member.Self().Address, call)
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
			return refuser.Parse(reply.GetRefusal())
		case reply.GetFinish() != nil:
			return nil
		}
	}
}

// idle waits until the handlers of finished requests have returned.
func idle(x *Executor) {
	for busy := true; busy; time.Sleep(time.Millisecond) {
		st := x.Dump()
		busy = st.Running > 0
		for _, r := range st.Replicas {
			busy = busy || r.Users > 0
		}
	}
}

// TestOldOrderRefused sends orders with old fencing numbers.
func TestOldOrderRefused(t *testing.T) {
	r, e := newRig(t), newEngine(200)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 5))
	assert.NilError(t, err)
	_, err = x.load(context.Background(), order1("a", "m1", 5))
	assert.NilError(t, err)
	assert.Equal(t, e.loads, 1)
	_, err = x.load(context.Background(), order1("a", "m1", 4))
	assert.Assert(t, refuser.Is(err, refuser.Stale))
	x.bid(&wire.Bid{Model: "m2", Fence: &wire.Slot{Model: "m2", Epoch: 7}})
	_, err = x.load(context.Background(), order1("a", "m2", 7))
	assert.Assert(t, refuser.Is(err, refuser.Stale))
	assert.Assert(t, refuser.Of(err).Never())
	_, err = x.load(context.Background(), order1("a", "m2", 8))
	assert.NilError(t, err)
}

// TestRestartInLoad restarts the sidecar in the middle of a load. The new one
// counts the load's memory and takes no order before old ones have arrived.
func TestRestartInLoad(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3, Loading: true}
	x := r.sidecar("a", e, nil)
	_, err := x.load(context.Background(), order1("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	x.Sweep(context.Background())
	_, err = x.load(context.Background(), order1("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Equal(t, x.Dump().Used, uint64(60))
	e.loaded["m2"] = engine.Loaded{Model: "m2", Bytes: 40, Fence: 2}
	x.Sweep(context.Background())
	assert.Equal(t, x.Dump().Used, uint64(100))
	r.clock.Advance(flight)
	_, err = x.load(context.Background(), order1("a", "m1", 3))
	assert.Assert(t, err != nil)
	assert.Equal(t, e.loads, 0)
	assert.Assert(t, e.most <= e.capacity)
}

// TestLateOrderOfDeadSidecar lets an order of an earlier sidecar arrive at the
// engine while the new one is learning the engine's state.
func TestLateOrderOfDeadSidecar(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	x.Sweep(context.Background())
	assert.NilError(t, e.Load(context.Background(), engine.Order{Model: "m1", Bytes: 60, Fence: 1}))
	r.clock.Advance(flight - time.Millisecond)
	x.Sweep(context.Background())
	r.clock.Advance(time.Millisecond)
	_, err := x.load(context.Background(), order1("a", "m2", 1))
	assert.NilError(t, err)
	assert.Assert(t, e.most <= e.capacity, "%d of %d bytes", e.most, e.capacity)
}

// TestIdleModelIsUnloaded lets a model stand idle, with nobody to order anything:
// neither platform nor entries answer.
func TestIdleModelIsUnloaded(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	r.platform.Down(true)
	for range 61 {
		r.clock.Advance(time.Second)
		x.Sweep(context.Background())
	}
	assert.Assert(t, !e.has("m1"))
	assert.Equal(t, x.Dump().Used, uint64(0))
}

// TestSlotReportedFree unloads a model while its shard's holder does not answer.
// The report is repeated until it has arrived.
func TestSlotReportedFree(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	r.hold(x, "m1")
	freed := 0
	r.network.Attach("entry-a", func(_ context.Context, call *wire.Call, s peer.Stream) {
		if call.GetFree().GetSlot().GetEpoch() == 1 {
			freed++
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}})
	})
	r.network.Cut("entry-a", true)
	assert.Assert(t, x.unload(context.Background(), "m1", "test"))
	x.report(context.Background())
	assert.Equal(t, freed, 0)
	r.network.Cut("entry-a", false)
	x.report(context.Background())
	x.report(context.Background())
	assert.Equal(t, freed, 1)
}

// hold makes entry-a the holder of all shards.
func (r *rig) hold(x *Executor, model string) {
	r.t.Helper()
	r.platform.SetInstances(entryA)
	x.member.Poll(context.Background())
	value, err := storer.Encode(&wire.ShardRow{Holder: "entry-a", Epoch: 1})
	assert.NilError(r.t, err)
	for shard := range r.terms.Shards {
		put := storer.Put{Key: storer.ShardKey(shard), Value: value}
		_, err := r.platform.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{put}})
		assert.NilError(r.t, err, model)
	}
}

var entryA = storer.Instance{Name: "entry-a", Role: "entry", Address: "entry-a"}

// TestAdapter loads an adapter beside its base, once for two requests, and
// unloads it before its base.
func TestAdapter(t *testing.T) {
	r, e := newRig(t), newEngine(150)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	assert.Assert(t, refuser.Is(r.run(x, "a1", 1), refuser.Absent))
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { assert.Check(t, r.run(x, "a1", 1)) })
	}
	wg.Wait()
	idle(x)
	assert.Equal(t, e.loads, 2)
	assert.Equal(t, x.Dump().Used, uint64(70))
	assert.Assert(t, x.unload(context.Background(), "m1", "test"))
	assert.Assert(t, !e.has("a1") && !e.has("m1"))
}

// TestFailedLoad fails a load at the engine. The memory is given back only once
// the engine says that nothing is there.
func TestFailedLoad(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	e.loadErr = &faker.OutageError{}
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err, "the engine has the model although its answer was lost")
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// TestDrain stops a sidecar with a request in hand. It gets no new work, the
// request is finished, and nothing stays loaded.
func TestDrain(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	gate := make(chan struct{})
	e.generate = func(_ context.Context, _ engine.Request, token func(string) error) (engine.Result, error) {
		<-gate
		return engine.Result{Reason: "stop"}, token("w ")
	}
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	r.hold(x, "m1")
	told := make(chan string, 1)
	r.network.Attach("entry-a", func(_ context.Context, call *wire.Call, s peer.Stream) {
		if l := call.GetLeave(); l != nil {
			told <- l.GetInstance()
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}})
	})
	served := make(chan error, 1)
	go func() { served <- r.run(x, "m1", 1) }()
	for x.waiting() < 1 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() {
		x.Drain(context.Background())
		close(drained)
	}()
	assert.Equal(t, <-told, "a")
	err = r.run(x, "m1", 1)
	assert.Assert(t, refuser.Is(err, refuser.Leaving))
	assert.Assert(t, refuser.Of(err).Never())
	select {
	case <-drained:
		t.Fatal("drained with a request in hand")
	default:
	}
	close(gate)
	assert.NilError(t, <-served)
	<-drained
	assert.Assert(t, !e.has("m1"))
}

func (r *rig) sweep(x *Executor, d time.Duration) {
	r.clock.Advance(d)
	x.Sweep(context.Background())
}

func stateOf(x *Executor, model string) string {
	for _, r := range x.Dump().Replicas {
		if r.Model == model {
			return r.State
		}
	}
	return "none"
}

// TestAdoptedLoadCompletes lets a load that an earlier sidecar ordered end long
// after the restart.
func TestAdoptedLoadCompletes(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3, Loading: true}
	x := r.sidecar("a", e, nil)
	r.ready(x)
	r.sweep(x, 3*flight)
	assert.Equal(t, stateOf(x, "m1"), "STATE_LOADING")
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3}
	r.sweep(x, time.Second)
	assert.Equal(t, stateOf(x, "m1"), "STATE_RESIDENT")
	assert.NilError(t, r.run(x, "m1", 1))
}

// TestAdoptedLoadFails lets such a load end without a model.
func TestAdoptedLoadFails(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60, Fence: 3, Loading: true}
	x := r.sidecar("a", e, nil)
	r.ready(x)
	delete(e.loaded, "m1")
	r.sweep(x, time.Second)
	assert.Equal(t, stateOf(x, "m1"), "none")
	assert.Equal(t, x.Dump().Used, uint64(0))
}

// TestEngineRestart empties the engine under the sidecar. The model is not offered
// any more, and its slot is reported free.
func TestEngineRestart(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	assert.NilError(t, e.Unload(context.Background(), engine.Order{Model: "m1"}))
	r.sweep(x, time.Second)
	assert.Equal(t, stateOf(x, "m1"), "STATE_RESIDENT", "an order may still be on its way")
	r.sweep(x, flight)
	assert.Equal(t, stateOf(x, "m1"), "none")
	assert.Equal(t, len(x.frees), 1)
}

// TestOldStateArrivesLate delivers a state from before a load long after it. The
// replica stays in the ledger.
func TestOldStateArrivesLate(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", e, nil)
	r.ready(x)
	e.slow = func() {
		e.slow = nil
		_, err := x.load(context.Background(), order1("a", "m1", 1))
		assert.NilError(t, err)
		r.clock.Advance(2 * flight)
	}
	x.Sweep(context.Background())
	assert.Equal(t, stateOf(x, "m1"), "STATE_RESIDENT")
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// TestLostOrderLandsLate loses the connection of an order that reaches the engine
// later. The memory stays reserved for as long as it may be on its way, and the
// replica is found.
func TestLostOrderLandsLate(t *testing.T) {
	r, e := newRig(t), newEngine(100)
	x := r.sidecar("a", &losing{memoryEngine: e}, nil)
	r.ready(x)
	loaded := make(chan error, 1)
	go func() {
		_, err := x.load(context.Background(), order1("a", "m1", 1))
		loaded <- err
	}()
	for x.Dump().Used == 0 {
		time.Sleep(time.Millisecond)
	}
	r.clock.Advance(flight / 2)
	time.Sleep(2 * outcomePoll)
	assert.Equal(t, x.Dump().Used, uint64(60))
	assert.NilError(t, e.Load(context.Background(), engine.Order{Model: "m1", Bytes: 60, Fence: 1}))
	assert.NilError(t, <-loaded)
	assert.Equal(t, x.Dump().Used, uint64(60))
}

// losing is an engine whose orders to load get lost on the way.
type losing struct{ *memoryEngine }

func (l *losing) Load(context.Context, engine.Order) error { return &faker.OutageError{} }
