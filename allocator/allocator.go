// Package allocator decides which engine loads a model that requests wait for, and
// which models get another copy. It sees the demand of all entries together.
//
// Several processes may decide about the same model for a while, when they disagree
// on which of them is to. Each engine obeys its own sidecar only, so the worst of it
// is a copy that nobody needs.
package allocator

import (
	"iter"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Allocator decides about the models of which it is the home. It is not safe for
// concurrent use.
type Allocator struct {
	name string
	copy *configurer.Configurer
	log  *log.Logger

	fleet  *tracker.Fleet
	demand *tracker.ArrivalMeter
	needs  map[string]*need
	// growing holds the models that want more copies.
	growing map[string]*growth
	// line knows the loads from the weight store.
	line *placer.FetchQueue
	// met is the instant of a sidecar's first word.
	met time.Duration
}

// New returns an allocator of the process with that name.
func New(name string, c *configurer.Configurer, l *log.Logger) *Allocator {
	return &Allocator{
		name:    name,
		copy:    c,
		log:     l,
		fleet:   tracker.New(),
		demand:  tracker.NewArrivalMeter(),
		needs:   map[string]*need{},
		growing: map[string]*growth{},
		line:    placer.NewFetchQueue(),
	}
}

// UpdateServer takes a server as the platform lists it now.
func (a *Allocator) UpdateServer(s tracker.Server) { a.fleet.UpdateServer(s) }

// RemoveServer removes a server that is listed no more.
func (a *Allocator) RemoveServer(now time.Duration, id string) {
	a.fleet.RemoveServer(id)
	a.line.Drop(now, id)
}

// MarkLeaving takes note that a server has said itself that it leaves.
func (a *Allocator) MarkLeaving(id string, born int64) { a.fleet.MarkLeaving(id, born) }

// UpdateStatus takes a sidecar's word on its engine.
func (a *Allocator) UpdateStatus(now time.Duration, s *wire.EngineStatus) {
	if a.met == 0 {
		a.met = now
	}
	a.heard(now, s)
	b := a.fleet.Get(s.GetServer())
	known := b != nil && b.Status(now) != nil
	a.fleet.UpdateStatus(now, s)
	if !known {
		a.search()
	}
}

// search makes all needs look for an engine anew, since there is another one.
func (a *Allocator) search() {
	for _, n := range a.needs {
		n.searched = 0
	}
}

// MarkSidecarLost takes note that the sidecar of a server is not heard any more.
func (a *Allocator) MarkSidecarLost(now time.Duration, id string) {
	a.fleet.MarkSidecarLost(now, id)
	a.line.Drop(now, id)
}

// RecordLoad takes the number of requests at an engine.
func (a *Allocator) RecordLoad(now time.Duration, id string, requests int) {
	a.fleet.RecordLoad(now, id, requests)
}

// heard takes note of an engine's load from the weight store.
func (a *Allocator) heard(now time.Duration, s *wire.EngineStatus) {
	if !s.GetFetching() || len(s.GetTasks()) == 0 {
		a.line.Ends(now, s.GetServer())
		return
	}
	name := s.GetTasks()[0].GetModel()
	a.line.Fetches(now, s.GetServer(), name, timer.FromMillis(a.copy.View().Model(name).GetRemote()))
}

// RecordSaturation takes note of how near an answer of an engine came to being late.
func (a *Allocator) RecordSaturation(now time.Duration, id string, strain float64) {
	if b := a.fleet.Get(id); b != nil {
		b.RecordSaturation(now, strain)
	}
}

// AddArrivals counts requests for a model or an adapter.
func (a *Allocator) AddArrivals(now time.Duration, name string, count float64) {
	a.demand.Add(now, name, count)
}

// RequestRate returns the requests a second for a model or an adapter of late.
func (a *Allocator) RequestRate(now time.Duration, name string) float64 {
	return a.demand.Rate(now, name)
}

// Copies returns the number of engines that serve a model or an adapter.
func (a *Allocator) Copies(now time.Duration, name string) int {
	copies := 0
	for range a.serving(now, name) {
		copies++
	}
	return copies
}

// serving yields the engines that serve a model or an adapter.
func (a *Allocator) serving(now time.Duration, name string) iter.Seq[*tracker.Backend] {
	return func(yield func(*tracker.Backend) bool) {
		for _, b := range a.fleet.Holders(name) {
			if b.Inventory(now).Has(name) && !yield(b) {
				return
			}
		}
	}
}

// ReportingSidecars returns the number of engines whose sidecars are heard.
func (a *Allocator) ReportingSidecars(now time.Duration) int { return a.fleet.ReportingSidecars(now) }

// base returns the base model of a model or an adapter, or nil.
func (a *Allocator) base(name string) *wire.Model {
	m := a.copy.View().Model(name)
	if m.GetBase() != "" {
		return a.copy.View().Model(m.GetBase())
	}
	return m
}
