package orderer

import (
	"time"

	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// buildStatus returns the engine's status as of its last report. The caller holds the
// lock.
func (o *Orderer) buildStatus(now time.Duration) *wire.EngineStatus {
	r := o.report
	s := &wire.EngineStatus{Address: o.options.Address, Started: o.options.Started, Born: r.Started}
	// Without a configuration the sizes of the models are unknown.
	if r.Started == 0 || o.serverStarted != r.Started || o.config.View().Version() == 0 {
		return s
	}
	s.Server = o.serverID
	s.Sequence = r.Sequence
	s.Models = r.Models
	s.Coming = r.Loading
	s.Memory, s.Disk = r.Memory, r.Disk
	s.Leaving = r.Leaving
	s.Running, s.Waiting = uint32(r.Running), uint32(r.Waiting)
	s.Used, s.Cache = uint32(r.UsedTokens), uint32(r.CacheTokens)
	s.Free = o.freeMemory()
	for _, loaded := range o.loadedModels(now) {
		s.Residents = append(s.Residents, &wire.Resident{
			Model:    loaded.Model,
			Bytes:    loaded.Bytes,
			Inflight: uint32(loaded.Inflight),
			Keep:     loaded.ExpectedMisses(),
			Rate:     loaded.Rate,
			Closing:  loaded.Model == o.announcedUnload || o.current.Op == placer.Unload && o.current.Model == loaded.Model,
		})
	}
	o.addPendingLoads(now, s)
	return s
}

// addPendingLoads adds the load in progress and the requested loads to s, with the
// estimated time until each model is ready. The caller holds the lock.
func (o *Orderer) addPendingLoads(now time.Duration, s *wire.EngineStatus) {
	view := o.config.View()
	remaining := time.Duration(0)
	if o.current.Op == placer.Load {
		m := view.Model(o.current.Model)
		remaining = max(0, o.currentSince+o.loadTime(m)-now)
		s.Tasks = append(s.Tasks, &wire.PendingLoad{Model: o.current.Model, Left: timer.ToMillis(remaining)})
		_, s.Fetching = o.report.LoadTime(m)
	}
	requests, loaded, free := o.loadRequests(), o.loadedModels(now), o.freeMemory()
	for _, r := range requests {
		if o.report.Has(r.Model) || r.Model == o.current.Model && o.current.Op == placer.Load {
			continue
		}
		remaining += r.LoadTime
		blocked := false
		if free < r.Bytes {
			_, possible := placer.EvictionFor(now, free, loaded, requests, r)
			blocked = !possible
		}
		s.Tasks = append(s.Tasks, &wire.PendingLoad{Model: r.Model, Left: timer.ToMillis(remaining), Blocked: blocked})
	}
}
