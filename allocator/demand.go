package allocator

import (
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// announceTimeout is the time in which an engine has to announce a requested load before
// another engine may be asked.
const announceTimeout = 600 * time.Millisecond

// Limits of the search for another engine while the assigned one has no model to unload
// or has other loads to do first.
const (
	// moveThreshold is the time until the load ends above which other engines are
	// considered.
	moveThreshold = 1200 * time.Millisecond
	// searchPeriod is the least time between two searches.
	searchPeriod = 100 * time.Millisecond
	// minMoveGain is how much earlier the model has to be ready on another engine.
	minMoveGain = 300 * time.Millisecond
)

// maxFetchDelay bounds the delay between the end of a load from the weight store and the
// next one that a process requests. The delay depends on the process and the model, so
// that usually only one process requests a load.
const maxFetchDelay = 300 * time.Millisecond

// Demand describes the waiting requests of all entries for a model or an adapter.
type Demand struct {
	// Count is the number of waiting requests, and Value their total value if answered
	// on time.
	Count uint32
	Value float64
	// TargetTime is the instant after which the first of them is late, and FirstArrival the
	// instant at which it arrived.
	TargetTime   time.Duration
	FirstArrival time.Duration
	// Avoid names the engines that have the model but that the requests cannot use.
	Avoid []string
	// Centres are the data centres in which the requests may run, or none if all are.
	Centres []string
	// Software are the versions at which those of the requests may run that may not run at all.
	Software []string
}

// pendingDemand is the demand for a model, with the engine that is assigned to load it.
type pendingDemand struct {
	Demand
	name string
	// rank is the value by which the model is loaded before or after others.
	rank float64
	// server is the assigned engine, or empty. requestedAt is the instant of the
	// assignment and readyAt the instant at which the model is expected to serve there.
	server      string
	requestedAt time.Duration
	readyAt     time.Duration
	// fetches is set if the assigned engine loads from the weight store, and queued if
	// the load waits for capacity of the weight store.
	fetches bool
	queued  bool
	// searchedAt is the instant of the latest search for an engine.
	searchedAt time.Duration
}

// SetDemand sets the demand for a model or an adapter.
func (a *Allocator) SetDemand(name string, d Demand) {
	p := a.demands[name]
	if p == nil {
		p = &pendingDemand{name: name}
		a.demands[name] = p
	}
	p.Demand = d
}

// RemoveDemand removes the demand for a model or an adapter.
func (a *Allocator) RemoveDemand(name string) { delete(a.demands, name) }

// assign chooses the engine that should load the model. It keeps the engine assigned before
// while that is expected to load the model soon, and moves a load that an engine already
// announced only if the model is ready at least minMoveGain earlier on another engine. No
// engine is assigned if there is none to choose, if it is too early to load from the weight
// store, or while the load waits for capacity of the weight store.
func (a *Allocator) assign(now time.Duration, p *pendingDemand) {
	m := a.baseModel(p.name)
	if m == nil {
		return
	}
	if p.queued && now-p.searchedAt < searchPeriod || !slices.Contains(p.Avoid, p.server) && a.usable(p.Demand, p.server) && a.hasSoftware(p.Demand, p.server) && a.expectsLoad(now, p, m) {
		return
	}
	p.searchedAt, p.queued = now, false
	candidates := a.candidates(now, p.name, m, p.Avoid)
	candidates = slices.DeleteFunc(candidates, func(c placer.Candidate) bool { return !a.usable(p.Demand, c.ID) })
	candidates = a.withSoftware(p.Demand, candidates)
	chosen, cost := placer.ChooseEngine(candidates, m.GetBytes())
	if chosen < 0 || a.fetchesTooEarly(now, m.GetPool(), candidates[chosen]) {
		p.server = ""
		return
	}
	current := slices.IndexFunc(candidates, func(c placer.Candidate) bool { return c.ID == p.server })
	if current >= 0 && (candidates[current].Blocked || candidates[current].Planned) {
		if currentCost := candidates[current].Cost(m.GetBytes()); current == chosen || currentCost < cost+minMoveGain {
			p.readyAt = now + currentCost
			return
		}
	}
	p.fetches = candidates[chosen].Fetch && !candidates[chosen].Planned
	if p.fetches && !a.mayFetch(now, p, m) {
		return
	}
	p.server, p.requestedAt, p.readyAt = candidates[chosen].ID, now, now+cost
	a.log.Info().Str("model", p.name).Str("server", p.server).Uint32("waiting", p.Count).Int("sites", len(candidates)).
		Int64("left", cost.Milliseconds()).Int64("load", candidates[chosen].LoadTime.Milliseconds()).
		Int64("queue", candidates[chosen].QueueTime.Milliseconds()).Msg("want")
}

// expectsLoad reports whether to keep the assigned engine: it will load the model soon,
// it still has time to announce the load, or it was compared with the others less than
// searchPeriod ago.
func (a *Allocator) expectsLoad(now time.Duration, p *pendingDemand, m *wire.Model) bool {
	b := a.fleet.Get(p.server)
	if b == nil {
		return false
	}
	status := b.Status(now)
	i := slices.IndexFunc(status.GetTasks(), func(t *wire.PendingLoad) bool { return t.GetModel() == m.GetName() })
	if i < 0 {
		return status != nil && !status.GetLeaving() && now-p.requestedAt < announceTimeout
	}
	pending := status.GetTasks()[i]
	left := b.TimeToReady(now, pending) + a.fetchDelay(now, status)
	if pending.GetBlocked() || left > moveThreshold {
		return now-p.searchedAt < searchPeriod
	}
	p.readyAt = now + left
	return true
}

// mayFetch reports whether the model may be loaded from the weight store now. If not, the
// demand is queued, and readyAt is set to when the model is expected to serve.
func (a *Allocator) mayFetch(now time.Duration, p *pendingDemand, m *wire.Model) bool {
	spare, availableSince := a.spareForDemand(now, p, m.GetPool())
	ahead := a.fetchesAhead(p, m.GetPool())
	delay := time.Duration(router.Score(a.name, router.Hash(m.GetName())) % uint64(maxFetchDelay))
	if ahead < spare && now >= availableSince+delay {
		return true
	}
	p.server, p.queued = "", true
	p.readyAt = now + a.fetchQueue.WaitTime(now, timer.FromMillis(m.GetRemote()), ahead)
	return false
}

// spareForDemand returns the number of further loads from the weight store that would run at full
// speed, without the one for a demand, and the instant since which there is capacity for one.
func (a *Allocator) spareForDemand(now time.Duration, p *pendingDemand, pool string) (int, time.Duration) {
	if a.loadScaled(pool) {
		return a.spareFetches(now)
	}
	spare, availableSince := a.fetchQueue.SpareCapacity(now)
	for _, o := range a.demands {
		if o != p && !o.queued && o.fetches && o.server != "" && now-o.requestedAt < announceTimeout && !a.fetchQueue.Fetching(o.server) {
			spare--
		}
	}
	return spare, availableSince
}

// loadsBefore reports whether x is loaded before y: by value, then by name.
func loadsBefore(x, y *pendingDemand) bool {
	if x.rank != y.rank {
		return x.rank > y.rank
	}
	return x.name < y.name
}
