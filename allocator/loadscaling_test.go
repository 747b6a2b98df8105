package allocator

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Load times and the size of a scaledPool: the weight store takes seconds, and what an engine has
// on its disk is loaded at once.
const (
	scaledEngines = 6
	fetchTime     = 8 * time.Second
)

// scaledPool is an allocator with load-based scaling whose engines each hold one model of their
// own. Engine 0 serves the model "hot", and engine 1 has its weights and those of "cold" on disk.
type scaledPool struct {
	now       time.Duration
	allocator *Allocator
	number    uint64
}

func newScaledPool() *scaledPool {
	config := configurer.New()
	pools := []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 32, Adapters: 8}}}
	models := []*wire.Model{{Name: "hot/a1", Base: "hot", Pool: "p", Bytes: 1}}
	for _, name := range append([]string{"hot", "cold", "rare"}, ownModels()...) {
		models = append(models, &wire.Model{Name: name, Pool: "p", Bytes: 90, Remote: uint32(fetchTime.Milliseconds()), Disk: 500, Memory: 400})
	}
	config.Restore(&wire.Change{Version: 1, Pools: pools, Models: models})
	p := &scaledPool{now: time.Hour, allocator: New("home", config, faker.DiscardLogger())}
	for i := range scaledEngines {
		p.allocator.UpdateServer(tracker.Server{ID: engineID(i), Address: engineID(i), Pool: "p", Started: 1, Slots: 32})
	}
	p.allocator.ScaleByLoad("p")
	p.report()
	return p
}

func engineID(i int) string { return fmt.Sprint("engine", i) }

func ownModels() []string {
	var names []string
	for i := range scaledEngines {
		names = append(names, fmt.Sprint("own", i))
	}
	return names
}

// status returns the status of an engine without loads.
func (p *scaledPool) status(i int) *wire.EngineStatus {
	p.number++
	s := &wire.EngineStatus{Server: engineID(i), Born: 1, Started: 1, Number: p.number, Free: 10, Models: []string{ownModels()[i]}}
	if i == 0 {
		s.Models = []string{"hot"}
	}
	if i == 1 {
		s.Disk = []string{"hot", "cold"}
	}
	s.Residents = []*wire.Resident{{Model: s.Models[0], Bytes: 90}}
	return s
}

// report sends the statuses of all engines.
func (p *scaledPool) report() {
	for i := range scaledEngines {
		p.allocator.UpdateStatus(p.now, p.status(i))
	}
	p.now += startupGrace
}

// decide returns the load requests after scaleUpPeriod.
func (p *scaledPool) decide() []*wire.LoadRequest {
	p.now += scaleUpPeriod
	return p.allocator.Decide(p.now, func(string) bool { return true }).Loads
}

// crowd makes the rate of requests for "hot" the given one, in requests a second.
func (p *scaledPool) crowd(rate float64) {
	p.allocator.AddArrivals(p.now, "hot", rate*4)
	p.allocator.RecordLoad(p.now, engineID(0), 30)
	p.allocator.RequestCopies(p.now, "hot")
}

func findLoad(loads []*wire.LoadRequest, model string) *wire.LoadRequest {
	i := slices.IndexFunc(loads, func(r *wire.LoadRequest) bool { return r.GetModel() == model })
	if i < 0 {
		return nil
	}
	return loads[i]
}

// TestCopyOutranksRareModels guards against a busy model that stays on one engine: each time the
// engine near its weights could unload a model, it loaded one that a single request waited for. The
// load is a burst for one model beside a steady flow for many rarely used ones.
func TestCopyOutranksRareModels(t *testing.T) {
	p := newScaledPool()
	p.crowd(30)
	p.allocator.SetDemand("cold", Demand{Count: 1, Value: 0.25, TargetTime: p.now + time.Second, FirstArrival: p.now})
	loads := p.decide()
	hot, cold := findLoad(loads, "hot"), findLoad(loads, "cold")
	assert.Equal(t, hot.GetServer(), engineID(1))
	assert.Assert(t, hot.GetWorth() > 10*cold.GetWorth(), "%v against %v", hot.GetWorth(), cold.GetWorth())
	assert.Assert(t, hot.GetDrain())
}

// TestUnservedModelOutranks guards against models that many impatient callers ask for in vain: their
// callers are refused, so that none waits, and the model was loaded after those with one that does.
func TestUnservedModelOutranks(t *testing.T) {
	p := newScaledPool()
	p.allocator.AddArrivals(p.now, "cold", 40)
	p.allocator.SetDemand("cold", Demand{Value: 0.05, TargetTime: p.now + time.Second, FirstArrival: p.now})
	p.allocator.SetDemand("rare", Demand{Count: 1, Value: 0.25, TargetTime: p.now + time.Second, FirstArrival: p.now})
	loads := p.decide()
	assert.Assert(t, findLoad(loads, "cold").GetWorth() > findLoad(loads, "rare").GetWorth())
}

// TestFetchesStayWithinCapacity guards against more loads from the weight store than run at full speed:
// those that had to wait at their engines were not counted, so that each took three times as long.
// The load is a burst of rarely used models that no engine is near.
func TestFetchesStayWithinCapacity(t *testing.T) {
	p := newScaledPool()
	for i, name := range ownModels()[1:] {
		p.allocator.SetDemand(name, Demand{Count: 3, Value: 3, TargetTime: p.now + time.Second, FirstArrival: p.now, Avoid: []string{engineID(i + 1)}})
	}
	for range 20 {
		loads := p.decide()
		assert.Assert(t, len(loads) <= 2, "%d loads at once", len(loads))
		for _, l := range loads {
			i := slices.Index([]string{engineID(0), engineID(1), engineID(2), engineID(3), engineID(4), engineID(5)}, l.GetServer())
			s := p.status(i)
			s.Tasks = []*wire.PendingLoad{{Model: l.GetModel(), Left: 9000, Blocked: true}}
			p.allocator.UpdateStatus(p.now, s)
		}
	}
}

// TestReservedFetch guards against a weight store that is busy with models that one late caller each
// waits for while a model in heavy use needs another copy: a load cannot be interrupted.
func TestReservedFetch(t *testing.T) {
	p := newScaledPool()
	for i, name := range ownModels()[2:] {
		p.allocator.SetDemand(name, Demand{Count: 1, Value: 0.25, TargetTime: p.now + time.Second, FirstArrival: p.now, Avoid: []string{engineID(i + 2)}})
	}
	assert.Equal(t, len(p.decide()), 1)
}

// TestSlowStoreStarvesNoModel guards against a model that is never loaded because the only load that the
// weight store runs at full speed is kept for models of more value.
func TestSlowStoreStarvesNoModel(t *testing.T) {
	p := newScaledPool()
	late := func(engine, model string) {
		p.allocator.fetchQueue.RecordFetch(p.now, engine, model, fetchTime)
	}
	for range 100 {
		late(engineID(4), "x")
		late(engineID(5), "y")
		p.now += 500 * time.Millisecond
	}
	for _, i := range []int{4, 5} {
		p.allocator.fetchQueue.RemoveEngine(p.now, engineID(i))
	}
	assert.Equal(t, p.allocator.fetchQueue.Capacity(), 1)
	p.report()
	p.allocator.SetDemand("rare", Demand{Count: 1, Value: 0.25, TargetTime: p.now + time.Second, FirstArrival: p.now})
	assert.Assert(t, findLoad(p.decide(), "rare") != nil)
}

// TestAdapterCopyJoinsItsModel guards against a copy of an adapter that loads its model on another
// engine, which takes seconds, though an engine that has the model could load the adapter at once.
func TestAdapterCopyJoinsItsModel(t *testing.T) {
	p := newScaledPool()
	s := p.status(2)
	s.Models, s.Free = []string{"hot", "hot/a1"}, 9
	s.Residents = []*wire.Resident{{Model: "hot", Bytes: 90}}
	p.allocator.UpdateStatus(p.now, s)
	p.allocator.AddArrivals(p.now, "hot/a1", 100)
	p.allocator.RecordLoad(p.now, engineID(2), 30)
	p.allocator.RequestCopies(p.now, "hot/a1")
	assert.Equal(t, findLoad(p.decide(), "hot/a1").GetServer(), engineID(0))
}

// TestLoadsPreferFastEngines guards against a copy of a busy model on an engine at which all of its
// answers are slow, while another one as near to the weights is fast. A figure that cannot be right, or
// a server that is not listed, changes nothing.
func TestLoadsPreferFastEngines(t *testing.T) {
	for _, fast := range []int{2, 3} {
		p := newScaledPool()
		for _, i := range []int{2, 3} {
			s := p.status(i)
			s.Disk = []string{"cold"}
			p.allocator.UpdateStatus(p.now, s)
			speed := uint32(170)
			if i == fast {
				speed = 70
			}
			p.allocator.RecordSpeed(p.now, &wire.ServerSpeed{Server: engineID(i), Speed: speed, Count: 1, Pace: 100})
		}
		p.allocator.RecordSpeed(p.now, &wire.ServerSpeed{Server: "unknown", Speed: 1, Count: 1})
		p.allocator.RecordSpeed(p.now, &wire.ServerSpeed{Server: engineID(fast), Speed: math.MaxUint32, Count: 1})
		p.allocator.SetDemand("cold", Demand{Count: 1, Value: 1, TargetTime: p.now + time.Second, FirstArrival: p.now, Avoid: []string{engineID(1)}})
		assert.Equal(t, findLoad(p.decide(), "cold").GetServer(), engineID(fast))
	}
}

// TestScalingIsOffByDefault guards against pools that are scaled by load though neither the settings
// nor a server call for it.
func TestScalingIsOffByDefault(t *testing.T) {
	f := newFixture()
	assert.Assert(t, !f.allocator.loadScaled("p"))
	assert.Equal(t, f.allocator.limitsOf("p").ratePerCopy, 6.0)
	f.allocator.ScaleByLoad("other")
	assert.Assert(t, !f.allocator.loadScaled("p"))
	f.allocator.ScaleByLoad("")
	assert.Assert(t, f.allocator.loadScaled("p"))
}

// TestRoundToPowerOfTwo checks that values that differ little are the same, so that they cause no messages.
func TestRoundToPowerOfTwo(t *testing.T) {
	assert.Equal(t, roundToPowerOfTwo(0), 0.0)
	assert.Equal(t, roundToPowerOfTwo(5), 4.0)
	assert.Equal(t, roundToPowerOfTwo(5.3), 4.0)
	assert.Assert(t, !math.IsNaN(roundToPowerOfTwo(math.MaxFloat64)))
}
