package orderer

import (
	"context"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/placer"
	"oleanderstall/wire"
)

func TestMain(m *testing.M) {
	faker.FixRapidSeed()
	os.Exit(m.Run())
}

// fixture is an orderer with a fake engine. It is also the orderer's Directory.
type fixture struct {
	clock   *faker.Clock
	engine  *fakeEngine
	orderer *Orderer
	fence   uint64
}

// ServerID implements Directory.
func (f *fixture) ServerID(_ context.Context, _ string, started int64) (string, error) {
	if f.engine.keepID {
		return serverID(0), nil
	}
	return serverID(started), nil
}

// Fence implements Directory.
func (f *fixture) Fence() uint64 { return f.fence }

func newFixture() *fixture {
	f := &fixture{clock: faker.NewClock(), fence: 1}
	f.engine = newFakeEngine(f.clock)
	f.startSidecar()
	return f
}

// startSidecar creates a new orderer, as a start or restart of the sidecar does.
func (f *fixture) startSidecar() {
	c := configurer.New()
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{
		Name: "p", Engines: &wire.Engines{Bytes: f.engine.capacity, Adapters: uint32(f.engine.slots)},
	}}}
	for name, bytes := range f.engine.sizes {
		change.Models = append(change.Models, &wire.Model{Name: name, Pool: "p", Bytes: bytes, Disk: 700, Remote: 6000})
		for _, a := range []string{"/a1", "/a2", "/a3"} {
			change.Models = append(change.Models, &wire.Model{Name: name + a, Base: name, Pool: "p", Bytes: f.engine.adapterSize})
		}
	}
	c.Restore(change)
	l := faker.DiscardLogger()
	f.orderer = New(Options{Holder: "side", Pool: "p", Address: "x", BusyPollInterval: BusyPollInterval, IdlePollInterval: IdlePollInterval}, f.clock.Now, f.engine, f, c, meter.New(), l)
}

// assign sends the orderer an assignment with the requested models and the requests in
// flight by model.
func (f *fixture) assign(requested []string, inflight map[string]int) {
	assignment := &wire.Assignment{}
	for _, name := range requested {
		assignment.Wants = append(assignment.Wants, &wire.LoadRequest{Model: name, Count: 1, Worth: 1, Goal: 2000})
	}
	for name, n := range inflight {
		assignment.Demands = append(assignment.Demands, &wire.ModelUsage{Model: name, Inflight: uint32(n), Copies: 1})
	}
	f.sendBatch(assignment)
}

// sendBatch sends the orderer a batch of the relay, with an assignment or nil. The batch
// lists the engine.
func (f *fixture) sendBatch(assignment *wire.Assignment) {
	listed := &wire.ListedServer{Id: f.engine.serverID(), Address: "x", Born: f.engine.started}
	f.orderer.Receive(f.clock.Now(), "", &wire.Batch{Relay: "r", Tell: assignment, Items: []*wire.ListedServer{listed}}, false)
}

// run advances the clock by d in steps of 20 ms and polls the engine after each.
func (f *fixture) run(d time.Duration) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += 20 * time.Millisecond {
		f.clock.Advance(20 * time.Millisecond)
		f.orderer.poll(context.Background())
	}
}

// assignRepeatedly advances the clock by d while the relay repeats the load requests
// every 200 ms.
func (f *fixture) assignRepeatedly(d time.Duration, requested ...string) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += 200 * time.Millisecond {
		f.assign(requested, nil)
		f.run(200 * time.Millisecond)
	}
}

func (f *fixture) holds(name string) bool { return f.orderer.report.Has(name) }

// TestLoadEvictsWhenFull checks that each requested model is loaded, after an unload
// where the engine's memory is full.
func TestLoadEvictsWhenFull(t *testing.T) {
	f := newFixture()
	for _, name := range []string{"a", "b", "c", "c/a1"} {
		f.assignRepeatedly(3*time.Second, name)
		assert.Assert(t, f.holds(name), name)
	}
	assert.Equal(t, f.engine.overloads, 0)
}

// TestNoOrderWithoutFence checks that no order is sent before the process has a fencing
// number, and that orders then carry it.
func TestNoOrderWithoutFence(t *testing.T) {
	f := newFixture()
	f.fence = 0
	f.assignRepeatedly(2*time.Second, "a")
	assert.Equal(t, len(f.engine.orders), 0)
	f.fence = 4
	f.assignRepeatedly(2*time.Second, "a")
	assert.Assert(t, f.holds("a"))
	for _, o := range f.engine.orders {
		assert.Equal(t, o.Fence, uint64(4))
	}
}

// TestModelInUseNotUnloaded checks that no model is unloaded while an entry has requests
// for it in flight.
func TestModelInUseNotUnloaded(t *testing.T) {
	f := newFixture()
	f.assignRepeatedly(2*time.Second, "a", "b")
	for range 10 {
		f.assign([]string{"c"}, map[string]int{"a": 1, "b": 1})
		f.run(200 * time.Millisecond)
	}
	assert.Assert(t, f.holds("a") && f.holds("b"))
	f.assignRepeatedly(2*time.Second, "c")
	assert.Assert(t, f.holds("c"))
}

// TestAdapterSlots checks that no more adapters are loaded than the engine has slots
// for.
func TestAdapterSlots(t *testing.T) {
	f := newFixture()
	f.assignRepeatedly(2*time.Second, "a")
	for _, name := range []string{"a/a1", "a/a2", "a/a3"} {
		f.assignRepeatedly(time.Second, name)
		assert.Assert(t, f.holds(name), name)
	}
	assert.Equal(t, f.engine.overloads, 0)
}

// newTightFixture returns a fixture whose engine has the models a and b in its memory, which leave
// 10 bytes. An adapter takes size bytes.
func newTightFixture(size uint64) *fixture {
	f := newFixture()
	f.engine.adapterSize, f.engine.slots, f.engine.adapterLoadTime = size, 8, 40*time.Millisecond
	f.startSidecar()
	f.assignRepeatedly(3*time.Second, "a", "b")
	return f
}

// TestAdapterMemory guards against an engine that crashes because adapters are loaded into free
// slots although its memory is full. An adapter that does not fit replaces an idle one.
func TestAdapterMemory(t *testing.T) {
	f := newTightFixture(6)
	for _, name := range []string{"a/a1", "b/a1", "b/a2"} {
		f.assignRepeatedly(time.Second, name)
		assert.Assert(t, f.holds(name), name)
	}
	assert.Assert(t, f.holds("a") && f.holds("b"))
	f.assignRepeatedly(time.Second, "a/a2", "b/a2", "b/a3")
	assert.Assert(t, f.holds("b/a2") && !f.holds("a/a2") && !f.holds("b/a3"))
	assert.Equal(t, f.engine.overloads, 0)
}

// TestAdapterReplacesIdleModel guards against an adapter that waits forever beside an idle model
// whose memory it needs. A model in use stays.
func TestAdapterReplacesIdleModel(t *testing.T) {
	f := newTightFixture(20)
	for range 10 {
		f.assign([]string{"b/a1"}, map[string]int{"a": 1})
		f.run(200 * time.Millisecond)
	}
	assert.Assert(t, f.holds("a") && !f.holds("b/a1"))
	f.assignRepeatedly(2*time.Second, "b/a1")
	assert.Assert(t, f.holds("b") && f.holds("b/a1") && !f.holds("a"))
	assert.Equal(t, f.engine.overloads, 0)
}

// TestModelReplacesIdleAdapters guards against a model that waits forever, or another one that is
// unloaded for it, where unloading idle adapters would make room.
func TestModelReplacesIdleAdapters(t *testing.T) {
	f := newFixture()
	f.engine.adapterSize, f.engine.slots = 6, 8
	f.startSidecar()
	f.assignRepeatedly(2*time.Second, "a")
	f.assignRepeatedly(time.Second, "a/a1", "a/a2", "a/a3")
	f.assign([]string{"b"}, map[string]int{"a": 1, "a/a2": 1})
	f.run(300 * time.Millisecond)
	f.assign([]string{"b"}, map[string]int{"a": 1, "a/a2": 1})
	f.run(time.Second)
	assert.Assert(t, f.holds("a") && f.holds("b") && f.holds("a/a2"))
	assert.Equal(t, f.engine.overloads, 0)
}

// TestLateOrderAfterRestart guards against an order without an answer that an engine carries out
// after it has restarted under its ID: loads ordered since leave room for it.
func TestLateOrderAfterRestart(t *testing.T) {
	f := newFixture()
	f.engine.keepID = true
	f.startSidecar()
	f.assignRepeatedly(2*time.Second, "d")
	f.assignRepeatedly(400*time.Millisecond, "d/a1")
	assert.Equal(t, f.engine.sequence, uint64(2))
	f.engine.nextFault = orderDelayed
	f.assign([]string{"c"}, nil)
	f.run(40 * time.Millisecond)
	f.engine.restart()
	f.assignRepeatedly(7*time.Second, "a", "b")
	assert.Equal(t, f.engine.overloads, 0)
	assert.Assert(t, f.holds("a") && f.holds("b"))
}

// TestAdapterLoadWaitsForUnload checks that an adapter is not loaded before the engine
// has executed the unload that makes room for it. Otherwise, an engine that refuses the
// unload while it loads a model but accepts the adapter load afterwards exceeds its
// slots and crashes.
func TestAdapterLoadWaitsForUnload(t *testing.T) {
	f := newFixture()
	f.assignRepeatedly(2*time.Second, "a")
	f.assignRepeatedly(time.Second, "a/a1", "a/a2")
	for range 30 {
		f.engine.nextFault = orderLost
		f.assign([]string{"a/a3", "b"}, nil)
		f.run(60 * time.Millisecond)
	}
	assert.Equal(t, f.engine.overloads, 0)
}

// TestOrders draws orders that are lost or executed late, restarts of the engine and of
// the sidecar, and changing load requests. The engine must never be ordered to hold more
// than fits, fencing numbers must never decrease, and once the faults have ended the
// requested model must be loaded.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.engine.adapterSize = rapid.Uint64Range(0, 25).Draw(t, "adapter size")
		f.engine.adapterLoadTime = time.Duration(rapid.IntRange(0, 60).Draw(t, "adapter load time")) * time.Millisecond
		f.engine.keepID = rapid.Bool().Draw(t, "restarts keep the ID")
		f.startSidecar()
		names := []string{"a", "b", "c", "d", "a/a1", "b/a1", "b/a2", "c/a3"}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				f.engine.nextFault = orderFault(rapid.IntRange(1, 3).Draw(t, "order fault"))
			case 1:
				f.engine.restart()
			case 2:
				f.fence += 3
				f.startSidecar()
			case 3:
				f.engine.down = !f.engine.down
			}
			requested := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "requested")
			inflight := map[string]int{rapid.SampledFrom(names).Draw(t, "busy"): rapid.IntRange(0, 1).Draw(t, "inflight")}
			f.assign(requested, inflight)
			f.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * 20 * time.Millisecond)
		}
		f.engine.down = false
		last := rapid.SampledFrom(names).Draw(t, "last")
		f.assignRepeatedly(6*time.Second, last)
		assert.Assert(t, f.holds(last), last)
		assert.Equal(t, f.engine.overloads, 0)
		assert.Equal(t, f.engine.orphanedLoads, 0)
		fence := uint64(0)
		for _, o := range f.engine.orders {
			assert.Assert(t, o.Fence >= fence)
			fence = o.Fence
			assert.Assert(t, o.Op != placer.None && o.Server != "")
		}
	})
}

// TestRepeatedReports draws reports that are written once more for the next poll, so that a
// report is as old as the poll before. The engine refuses an order that rests on one, so it
// must never be ordered to hold more than fits, and requested models must be loaded all the
// same.
func TestRepeatedReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		names := []string{"a", "b", "c", "d", "a/a1", "b/a1", "b/a2", "c/a3"}
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			f.engine.behind = rapid.Bool().Draw(t, "behind")
			if rapid.IntRange(0, 7).Draw(t, "fault") == 0 {
				f.engine.nextFault = orderFault(rapid.IntRange(1, 3).Draw(t, "order fault"))
			}
			f.assign(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "requested"), nil)
			f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * 20 * time.Millisecond)
		}
		last := rapid.SampledFrom(names).Draw(t, "last")
		f.assignRepeatedly(2*time.Second, last)
		assert.Assert(t, f.holds(last), last)
		assert.Equal(t, f.engine.overloads, 0)
	})
}

// TestRequestedModelNotEvicted checks that a model that is still requested is not
// unloaded for another requested one. An engine with room for one model would otherwise
// load the two in turn.
func TestRequestedModelNotEvicted(t *testing.T) {
	f := newFixture()
	f.engine.capacity = f.engine.sizes["a"]
	f.startSidecar()
	f.assignRepeatedly(2*time.Second, "a")
	assert.Assert(t, f.holds("a"))
	orders := len(f.engine.orders)
	f.assignRepeatedly(5*time.Second, "a", "b")
	assert.Equal(t, len(f.engine.orders), orders)
	f.assignRepeatedly(3*time.Second, "b")
	assert.Assert(t, f.holds("b"))
}

// TestOddAssignment guards against an engine that neither loads nor unloads a model any more
// because one entry of its relay's lists has an odd number.
func TestOddAssignment(t *testing.T) {
	for _, odd := range []*wire.LoadRequest{
		{Model: "c", Count: 1, Worth: math.NaN()},
		{Model: "c", Count: 1, Worth: math.Inf(1)},
		{Model: "c", Count: 1, Worth: 1, Rate: math.NaN()},
		{Model: "c", Count: math.MaxUint32, Worth: 1},
	} {
		f := newFixture()
		f.engine.loaded["a"], f.engine.loaded["b"] = []string{}, []string{}
		f.run(time.Second)
		f.sendBatch(&wire.Assignment{
			Wants:   []*wire.LoadRequest{odd, {Model: "d", Count: 1, Worth: 1, Goal: 2000}},
			Demands: []*wire.ModelUsage{{Model: "a", Rate: math.NaN()}, {Model: "b", Rate: math.Inf(1)}},
		})
		f.run(loadTime + time.Second)
		assert.Assert(t, f.engine.loaded["d"] != nil, "%v", odd)
		assert.Assert(t, f.engine.loaded["c"] == nil, "%v", odd)
		for _, r := range f.orderer.status.GetResidents() {
			assert.Assert(t, r.GetKeep() >= 0 && r.GetKeep() < 1e6, "%v", r)
		}
	}
}

// TestOddReport guards against an engine that looks idle or overloaded because a number of its
// report does not fit into the status, and against memory that is counted twice for a model
// that is named twice.
func TestOddReport(t *testing.T) {
	f := newFixture()
	f.run(time.Second)
	r := Report{Started: 1, Running: -1, Waiting: 1 << 40, UsedTokens: -1, CacheTokens: 1 << 40}
	r.Models, r.Loading = []string{"a", "a"}, []string{"d", "d"}
	f.orderer.observe(f.clock.Now(), r)
	f.orderer.updateStatus(f.clock.Now())
	status := f.orderer.status
	assert.Equal(t, status.GetRunning(), uint32(0))
	assert.Equal(t, status.GetWaiting(), uint32(math.MaxUint32))
	assert.Equal(t, status.GetUsed(), uint32(0))
	assert.Equal(t, status.GetCache(), uint32(math.MaxUint32))
	assert.Equal(t, status.GetFree(), uint64(130-60-30))
	assert.Equal(t, len(status.GetResidents()), 1)
	load := f.orderer.Report(f.clock.Now(), true).GetCondition()
	assert.Equal(t, load.GetRunning(), uint32(0))
}

// TestEqualRequestsKeepOrder guards against pending loads that change their order, and with it
// the status, from one poll to the next because their first requests arrived together.
func TestEqualRequestsKeepOrder(t *testing.T) {
	f := newFixture()
	f.run(time.Second)
	f.assign([]string{"d", "c", "b", "a"}, nil)
	for range 50 {
		var names []string
		for _, r := range f.orderer.loadRequests() {
			names = append(names, r.Model)
		}
		assert.DeepEqual(t, names, []string{"a", "b", "c", "d"})
	}
}
