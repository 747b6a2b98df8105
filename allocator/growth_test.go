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

// rig is an allocator of two models and two engines, of which each has room for one.
type rig struct {
	now       time.Duration
	allocator *Allocator
}

func newRig() *rig {
	c := configurer.New()
	pools := []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}}
	model := func(name string) *wire.Model {
		return &wire.Model{Name: name, Pool: "p", Bytes: 90, Remote: 6000, Disk: 500, Memory: 400}
	}
	c.Restore(&wire.Change{Version: 1, Pools: pools, Models: []*wire.Model{model("busy"), model("rare")}})
	r := &rig{now: time.Hour, allocator: New("home", c, faker.Silent())}
	for _, id := range []string{"x", "y"} {
		r.allocator.UpdateServer(tracker.Server{ID: id, Address: id, Pool: "p", Started: 1, Slots: 16})
	}
	return r
}

// tell is a sidecar's word on the model in its engine's memory.
func (r *rig) tell(id, model string, number uint64) {
	s := &wire.EngineStatus{Server: id, Born: 1, Started: 1, Number: number, Disk: []string{"busy", "rare"}, Free: 100}
	if model != "" {
		s.Free, s.Models = 10, []string{model}
		s.Residents = []*wire.Resident{{Model: model, Bytes: 90}}
	}
	r.allocator.UpdateStatus(r.now, s)
}

// decide returns what the engines are to load, by engine, once time has passed.
func (r *rig) decide(passed time.Duration) map[string]string {
	r.now += passed
	wants := map[string]string{}
	for _, w := range r.allocator.Decide(r.now, func(string) bool { return true }).Loads {
		wants[w.GetServer()] += w.GetModel()
	}
	return wants
}

// TestGrowthEnds asks an engine for another copy of a busy model until the engine has
// it. The ask is not there any more when the engine gives the copy up for a model that
// requests wait for.
func TestGrowthEnds(t *testing.T) {
	r := newRig()
	r.tell("x", "busy", 1)
	r.tell("y", "", 1)
	r.allocator.RecordLoad(r.now, "x", 12)
	r.allocator.RequestCopies(r.now, "busy")
	assert.DeepEqual(t, r.decide(growthPeriod), map[string]string{"y": "busy"})
	r.tell("y", "busy", 2)
	assert.DeepEqual(t, r.decide(growthPeriod), map[string]string{})
	r.tell("y", "", 3)
	assert.DeepEqual(t, r.decide(growthPeriod/2), map[string]string{})
}
