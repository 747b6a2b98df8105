package allocator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/placer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Sizes of a pool whose models just fit into its engines, each with room for two, and the
// rate of requests for each model, in requests a second.
const (
	engineCount      = 3
	modelsPerEngine  = 2
	modelBytes       = 50
	modelRequestRate = 8
	reloadTime       = 60 * time.Millisecond
)

// evenPool is an allocator with engines that load and unload at once what it requests.
type evenPool struct {
	now       time.Duration
	allocator *Allocator
	models    []string
	// loaded holds the models in the memory of each engine, by the instant of their load.
	loaded  []map[string]time.Duration
	unloads int
}

// newEvenPool returns a pool in which each model is on one engine.
func newEvenPool() *evenPool {
	config := configurer.New()
	pools := []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: modelsPerEngine * modelBytes, Slots: 16}}}
	var models []*wire.Model
	p := &evenPool{now: time.Hour}
	for i := range engineCount * modelsPerEngine {
		name := fmt.Sprint("model", i)
		p.models = append(p.models, name)
		models = append(models, &wire.Model{Name: name, Pool: "p", Bytes: modelBytes, Remote: 60, Disk: 60, Memory: 60})
	}
	config.Restore(&wire.Change{Version: 1, Pools: pools, Models: models})
	p.allocator = New("home", config, faker.DiscardLogger())
	for i := range engineCount {
		id := fmt.Sprint("engine", i)
		p.allocator.UpdateServer(tracker.Server{ID: id, Address: id, Pool: "p", Started: 1, Slots: 16})
		loaded := map[string]time.Duration{}
		for _, name := range p.models[i*modelsPerEngine : (i+1)*modelsPerEngine] {
			loaded[name] = 0
		}
		p.loaded = append(p.loaded, loaded)
	}
	return p
}

// copies returns the number of engines that have a model.
func (p *evenPool) copies(name string) int {
	n := 0
	for _, loaded := range p.loaded {
		if _, ok := loaded[name]; ok {
			n++
		}
	}
	return n
}

// state returns what an engine has in memory, as its sidecar sees it.
func (p *evenPool) state(i int) []placer.LoadedModel {
	var list []placer.LoadedModel
	for name, at := range p.loaded[i] {
		list = append(list, placer.LoadedModel{Model: name, Bytes: modelBytes, Rate: modelRequestRate, Copies: p.copies(name), ReloadTime: reloadTime, LoadedAt: at})
	}
	return list
}

// report sends the statuses of all sidecars and the arrivals of a step.
func (p *evenPool) report(step time.Duration) {
	for i := range p.loaded {
		s := &wire.EngineStatus{Server: fmt.Sprint("engine", i), Born: 1, Started: 1, Number: uint64(p.now / step), Disk: p.models}
		s.Free = uint64(modelBytes * (modelsPerEngine - len(p.loaded[i])))
		for _, m := range p.state(i) {
			s.Models = append(s.Models, m.Model)
			s.Residents = append(s.Residents, &wire.Resident{Model: m.Model, Bytes: m.Bytes, Keep: m.ExpectedMisses(), Rate: m.Rate})
		}
		p.allocator.UpdateStatus(p.now, s)
	}
	for _, name := range p.models {
		p.allocator.AddArrivals(p.now, name, modelRequestRate*step.Seconds())
		p.allocator.RequestCopies(p.now, name)
	}
}

// execute lets an engine execute the next order for the requested loads.
func (p *evenPool) execute(i int, loads []*wire.LoadRequest) {
	var requests []placer.LoadRequest
	for _, r := range loads {
		if r.GetServer() == fmt.Sprint("engine", i) {
			requests = append(requests, placer.LoadRequest{
				Model: r.GetModel(), Bytes: modelBytes, Count: int(r.GetCount()), Value: r.GetWorth(), TargetTime: p.now + time.Hour,
				FirstArrival: p.now, LoadTime: reloadTime, Relief: r.GetRate(),
			})
		}
	}
	free := uint64(modelBytes * (modelsPerEngine - len(p.loaded[i])))
	switch step := placer.NextStep(p.now, free, p.state(i), requests); step.Op {
	case placer.Load:
		p.loaded[i][step.Model] = p.now
	case placer.Unload:
		delete(p.loaded[i], step.Model)
		p.unloads++
	}
}

// TestCopiesKeepOtherModels guards against copies that displace the only copy of another
// model: models that all fit were unloaded in turn without end, and callers were refused.
// The pattern is an even load on as many models as the engines have room for, each with a
// rate above that of one copy.
func TestCopiesKeepOtherModels(t *testing.T) {
	p := newEvenPool()
	const step = 50 * time.Millisecond
	for range 200 {
		p.now += step
		p.report(step)
		loads := p.allocator.Decide(p.now, func(string) bool { return true }).Loads
		for i := range p.loaded {
			p.execute(i, loads)
		}
		missing := slices.ContainsFunc(p.models, func(name string) bool { return p.copies(name) == 0 })
		assert.Assert(t, !missing, "a model has no copy after %v", p.now-time.Hour)
	}
	assert.Equal(t, p.unloads, 0)
}
