package orderer

import (
	"context"
	"slices"
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

// orderAdapters orders the adapter loads that requests wait for, and the unloads that
// make room for them. It reports whether adapters are missing or being loaded.
func (o *Orderer) orderAdapters(ctx context.Context, now time.Duration) bool {
	o.mu.Lock()
	missing, victims := o.planAdapters(now)
	ready := o.canOrder() && !o.report.Busy
	o.mu.Unlock()
	if !ready {
		return len(missing) > 0 || len(o.report.Loading) > 0
	}
	for _, name := range victims {
		if !o.orderAdapter(ctx, placer.Unload, name) {
			// The other adapters do not fit without this unload.
			return true
		}
	}
	for _, name := range missing {
		if !o.orderAdapter(ctx, placer.Load, name) {
			break
		}
	}
	return len(missing) > 0 || len(o.report.Loading) > 0
}

// orderAdapter orders the load or unload of one adapter and reports whether the engine
// accepted the order or had nothing to do.
func (o *Orderer) orderAdapter(ctx context.Context, op placer.Op, name string) bool {
	o.mu.Lock()
	model := o.config.View().Model(name).GetBase()
	order := o.newOrder(op, model, name)
	o.mu.Unlock()
	outcome := o.sendOrder(ctx, order, name)
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome != Accepted && outcome != Done {
		return false
	}
	// An engine completes the unload of an unused adapter at once: it responds with Done
	// but counts the order.
	if outcome == Accepted || op == placer.Unload {
		o.report.Sequence++
	}
	if op == placer.Load {
		o.report.Loading = append(slices.Clone(o.report.Loading), name)
	}
	return true
}

// maxLoadingAdapters is the maximum number of adapters that an engine loads at once.
const maxLoadingAdapters = 4

// planAdapters returns the adapters to load now and the idle adapters to unload first,
// least recently used first. The caller holds the lock.
func (o *Orderer) planAdapters(now time.Duration) (missing, victims []string) {
	view := o.config.View()
	wanted, inUse := map[string]bool{}, map[string]bool{}
	for _, a := range o.assignments {
		for _, r := range a.assignment.GetWants() {
			m := view.Model(r.GetModel())
			if m.GetBase() != "" && o.report.Has(m.GetBase()) && m.GetPool() == o.options.Pool {
				wanted[m.GetName()] = true
			}
		}
		for _, u := range a.assignment.GetDemands() {
			if u.GetInflight() > 0 {
				inUse[u.GetModel()] = true
			}
		}
	}
	var loaded, idle []string
	for _, name := range o.report.Models {
		if view.Model(name).GetBase() == "" {
			continue
		}
		loaded = append(loaded, name)
		if inUse[name] {
			o.lastUsed[name] = now
		}
		if !wanted[name] && !inUse[name] && now-o.loadedAt[name] >= minAdapterResidence {
			idle = append(idle, name)
		}
	}
	slices.SortStableFunc(idle, func(a, b string) int { return int(o.lastUsed[a] - o.lastUsed[b]) })
	freeSlots := int(view.Pool(o.options.Pool).GetEngines().GetAdapters()) - len(loaded) - len(o.report.Loading)
	for name := range wanted {
		if !o.report.Has(name) && !slices.Contains(o.report.Loading, name) {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	missing = missing[:min(len(missing), max(0, maxLoadingAdapters-len(o.report.Loading)))]
	shortage := len(missing) - freeSlots
	if shortage > 0 {
		victims = idle[:min(shortage, len(idle))]
		missing = missing[:max(0, min(len(missing), freeSlots+len(victims)))]
	}
	return missing, victims
}

// minAdapterResidence is how long an adapter stays in memory after its load, so that the
// requests that waited for it can arrive.
const minAdapterResidence = 150 * time.Millisecond
