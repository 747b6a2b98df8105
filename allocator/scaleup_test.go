package allocator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// fixture is an allocator with two models and two engines, each with room for one model.
type fixture struct {
	now       time.Duration
	allocator *Allocator
}

func newFixture() *fixture {
	config := configurer.New()
	pools := []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}}
	model := func(name string) *wire.Model {
		return &wire.Model{Name: name, Pool: "p", Bytes: 90, Remote: 6000, Disk: 500, Memory: 400}
	}
	config.Restore(&wire.Change{Version: 1, Pools: pools, Models: []*wire.Model{model("busy"), model("rare")}})
	f := &fixture{now: time.Hour, allocator: New("home", config, faker.DiscardLogger())}
	for _, id := range []string{"x", "y"} {
		f.allocator.UpdateServer(tracker.Server{ID: id, Address: id, Pool: "p", Started: 1, Slots: 16})
	}
	return f
}

// report sends a sidecar's status with the model in its engine's memory, if any.
func (f *fixture) report(id, model string, number uint64) {
	s := &wire.EngineStatus{Server: id, Born: 1, Started: 1, Number: number, Disk: []string{"busy", "rare"}, Free: 100}
	if model != "" {
		s.Free, s.Models = 10, []string{model}
		s.Residents = []*wire.Resident{{Model: model, Bytes: 90}}
	}
	f.allocator.UpdateStatus(f.now, s)
}

// decide returns the models that engines are asked to load after some time, by engine.
func (f *fixture) decide(elapsed time.Duration) map[string]string {
	f.now += elapsed
	loads := map[string]string{}
	for _, l := range f.allocator.Decide(f.now, func(string) bool { return true }).Loads {
		loads[l.GetServer()] += l.GetModel()
	}
	return loads
}

// TestScaleUpEndsWhenLoaded requests another copy of a busy model. The request must end
// once the engine has the copy, and must not return when the engine unloads the copy for a
// model with waiting requests.
func TestScaleUpEndsWhenLoaded(t *testing.T) {
	f := newFixture()
	f.report("x", "busy", 1)
	f.report("y", "", 1)
	f.allocator.RecordLoad(f.now, "x", 12)
	f.allocator.RequestCopies(f.now, "busy")
	assert.DeepEqual(t, f.decide(scaleUpPeriod), map[string]string{"y": "busy"})
	f.report("y", "busy", 2)
	assert.DeepEqual(t, f.decide(scaleUpPeriod), map[string]string{})
	f.report("y", "", 3)
	assert.DeepEqual(t, f.decide(scaleUpPeriod/2), map[string]string{})
}

// TestRefusedDemandKeepsNoModel guards against models that are missing for seconds although
// others could be unloaded: the residents of all engines counted as in demand because callers
// who were refused may come back, so that each request for a missing model was refused too.
func TestRefusedDemandKeepsNoModel(t *testing.T) {
	f := newFixture()
	f.report("x", "busy", 1)
	f.report("y", "busy", 1)
	f.allocator.SetDemand("busy", Demand{Value: 0.05, TargetTime: f.now + time.Hour, FirstArrival: f.now})
	f.allocator.SetDemand("rare", Demand{Count: 1, Value: 1, TargetTime: f.now + time.Second, FirstArrival: f.now})
	for _, e := range f.allocator.Decide(f.now, func(string) bool { return true }).Estimates {
		if e.Model == "rare" {
			assert.Assert(t, e.Ready-f.now < 2*time.Second, "the model is expected in %v", e.Ready-f.now)
			return
		}
	}
	t.Fatal("there is no estimate for the missing model")
}
