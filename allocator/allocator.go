// Package allocator decides which engine loads a model that requests wait for, and
// which models get another copy. It uses the combined demand of all entries.
//
// While processes disagree on which of them owns a model, several may decide about it.
// Each engine takes orders from its own sidecar only, so the worst result is a
// superfluous copy.
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

// Allocator decides about the models that its process owns. It is not safe for
// concurrent use.
type Allocator struct {
	name   string
	config *configurer.Configurer
	log    *log.Logger

	fleet    *tracker.Fleet
	arrivals *tracker.ArrivalMeter
	demands  map[string]*pendingDemand
	// scaleUps holds the models that should have more copies, by name.
	scaleUps map[string]*scaleUp
	// fetchQueue tracks the loads from the weight store.
	fetchQueue *placer.FetchQueue
	// loadScaledPools are the pools with load-based scaling, and allLoadScaled is set if all have it.
	loadScaledPools map[string]bool
	allLoadScaled   bool
	// firstReportAt is the instant of the first status from a sidecar, or 0 if there was
	// none.
	firstReportAt time.Duration
	// moveSearchedAt is the instant of the latest search for models whose copies are all evacuated.
	moveSearchedAt time.Duration
}

// New returns an allocator for the process with that name.
func New(name string, c *configurer.Configurer, l *log.Logger) *Allocator {
	return &Allocator{
		name:       name,
		config:     c,
		log:        l,
		fleet:      tracker.New(),
		arrivals:   tracker.NewArrivalMeter(),
		demands:    map[string]*pendingDemand{},
		scaleUps:   map[string]*scaleUp{},
		fetchQueue: placer.NewFetchQueue(),

		loadScaledPools: map[string]bool{},
	}
}

// UpdateServer adds or updates a server as the platform lists it now.
func (a *Allocator) UpdateServer(s tracker.Server) { a.fleet.UpdateServer(s) }

// RemoveServer removes a server that is no longer listed.
func (a *Allocator) RemoveServer(now time.Duration, id string) {
	a.fleet.RemoveServer(id)
	a.fetchQueue.RemoveEngine(now, id)
}

// MarkLeaving records that a server has said itself that it is leaving; started is the start
// of its process, in Unix milliseconds.
func (a *Allocator) MarkLeaving(id string, started int64) { a.fleet.MarkLeaving(id, started) }

// UpdateStatus records a sidecar's status report about its engine.
func (a *Allocator) UpdateStatus(now time.Duration, s *wire.EngineStatus) {
	if a.firstReportAt == 0 {
		a.firstReportAt = now
	}
	a.recordFetch(now, s)
	b := a.fleet.Get(s.GetServer())
	hadStatus := b != nil && b.Status(now) != nil
	a.fleet.UpdateStatus(now, s)
	if !hadStatus {
		a.resetSearches()
	}
}

// resetSearches makes all demands search again for an engine, because one has become
// available.
func (a *Allocator) resetSearches() {
	for _, p := range a.demands {
		p.searchedAt = 0
	}
}

// MarkSidecarLost records that the sidecar of a server no longer reports.
func (a *Allocator) MarkSidecarLost(now time.Duration, id string) {
	a.fleet.MarkSidecarLost(now, id)
	a.fetchQueue.RemoveEngine(now, id)
}

// RecordLoad records the number of requests at an engine.
func (a *Allocator) RecordLoad(now time.Duration, id string, requests int) {
	a.fleet.RecordLoad(now, id, requests)
}

// recordFetch updates the fetch queue from an engine's status: a load from the weight
// store that is under way, or that there is none.
func (a *Allocator) recordFetch(now time.Duration, s *wire.EngineStatus) {
	if !s.GetFetching() || len(s.GetTasks()) == 0 {
		a.fetchQueue.RecordIdle(now, s.GetServer())
		return
	}
	name := s.GetTasks()[0].GetModel()
	a.fetchQueue.RecordFetch(now, s.GetServer(), name, timer.FromMillis(a.config.View().Model(name).GetRemote()))
}

// RecordSaturation records the saturation of an answer of an engine; 1 is exactly at
// the latency limit.
func (a *Allocator) RecordSaturation(now time.Duration, id string, saturation float64) {
	if b := a.fleet.Get(id); b != nil {
		b.RecordSaturation(now, saturation)
	}
}

// AddArrivals counts requests that arrived for a model or an adapter.
func (a *Allocator) AddArrivals(now time.Duration, name string, count float64) {
	a.arrivals.Add(now, name, count)
}

// RequestRate returns the recent rate of requests for a model or an adapter, in
// requests a second.
func (a *Allocator) RequestRate(now time.Duration, name string) float64 {
	return a.arrivals.Rate(now, name)
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

// ReportingSidecars returns the number of engines whose sidecars report.
func (a *Allocator) ReportingSidecars(now time.Duration) int { return a.fleet.ReportingSidecars(now) }

// baseModel returns the base model of an adapter, the model itself if it is none, or
// nil if it is not configured.
func (a *Allocator) baseModel(name string) *wire.Model {
	m := a.config.View().Model(name)
	if m.GetBase() != "" {
		return a.config.View().Model(m.GetBase())
	}
	return m
}
