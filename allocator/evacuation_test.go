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

// evacuatedPool returns an allocator with an engine in each of the data centres x and y. The one in x
// has the models used and unused, the other one has room for two.
func evacuatedPool(now time.Duration) *Allocator {
	config := configurer.New()
	config.Restore(&wire.Change{
		Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16, Loads: 1}}},
		Models: []*wire.Model{
			{Name: "used", Pool: "p", Bytes: 50, Remote: 600, Disk: 60, Memory: 60},
			{Name: "unused", Pool: "p", Bytes: 50, Remote: 600, Disk: 60, Memory: 60},
		},
	})
	a := New("home", config, faker.DiscardLogger())
	a.UpdateServer(tracker.Server{ID: "in-x", Address: "in-x", Pool: "p", Centre: "x", Started: 1, Slots: 16})
	a.UpdateServer(tracker.Server{ID: "in-y", Address: "in-y", Pool: "p", Centre: "y", Started: 1, Slots: 16})
	a.UpdateStatus(now, &wire.EngineStatus{Server: "in-x", Born: 1, Models: []string{"unused", "used"}})
	a.UpdateStatus(now, &wire.EngineStatus{Server: "in-y", Born: 1, Free: 100, Disk: []string{"used", "unused"}})
	for range 10 {
		a.AddArrivals(now, "used", 1)
	}
	return a
}

func always(string) bool { return true }

// loads returns the loads that the allocator requests, as SERVER/MODEL.
func loads(a *Allocator, now time.Duration) []string {
	var list []string
	for _, r := range a.Decide(now, always).Loads {
		list = append(list, r.GetServer()+"/"+r.GetModel())
	}
	return list
}

// TestModelsMoveAheadOfRequests guards against a model whose only copy is in an evacuated data centre
// and that is loaded elsewhere only once requests wait for it, and against loads of models that nobody
// uses.
func TestModelsMoveAheadOfRequests(t *testing.T) {
	now := time.Hour
	a := evacuatedPool(now)
	assert.Equal(t, len(loads(a, now)), 0)
	a.SetEvacuated([]string{"x"})
	assert.DeepEqual(t, loads(a, now), []string{"in-y/used"})
	now += time.Second
	a.UpdateStatus(now, &wire.EngineStatus{Server: "in-y", Born: 1, Free: 50, Models: []string{"used"}})
	assert.Equal(t, len(loads(a, now)), 0)
}

// TestOnlyOwnerMovesModels guards against a copy at the request of each relay.
func TestOnlyOwnerMovesModels(t *testing.T) {
	now := time.Hour
	a := evacuatedPool(now)
	a.SetEvacuated([]string{"x"})
	decision := a.Decide(now, func(string) bool { return false })
	assert.Equal(t, len(decision.Loads), 0)
}

// TestNoLoadsInEvacuatedCentre guards against a load for waiting requests that is requested, or still
// requested, in an evacuated data centre, and against one that is requested nowhere afterwards.
func TestNoLoadsInEvacuatedCentre(t *testing.T) {
	now := time.Hour + 2*time.Second
	a := evacuatedPool(time.Hour)
	a.UpdateStatus(now, &wire.EngineStatus{Server: "in-x", Born: 1, Free: 100, Memory: []string{"unused"}, Number: 2})
	a.SetDemand("unused", Demand{Count: 1, Value: 1, TargetTime: now + time.Second, FirstArrival: now})
	a.arrivals = tracker.NewArrivalMeter()
	before := loads(a, now)
	assert.Equal(t, len(before), 1)
	centre := map[string]string{"in-x/unused": "x", "in-y/unused": "y"}[before[0]]
	a.SetEvacuated([]string{centre})
	after := loads(a, now)
	assert.Equal(t, len(after), 1)
	assert.Assert(t, after[0] != before[0])
	a.SetEvacuated([]string{"x", "y"})
	assert.Equal(t, len(loads(a, now)), 0)
	a.SetEvacuated(nil)
	assert.Equal(t, len(loads(a, now)), 1)
}

// emptyEngine returns the status of an engine that has no model in memory, and all on its disk.
func emptyEngine(id string) *wire.EngineStatus {
	return &wire.EngineStatus{Server: id, Born: 1, Free: 100, Number: 3, Disk: []string{"used", "unused"}}
}
