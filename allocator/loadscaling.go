package allocator

import (
	"math"
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Values of loads with load-based scaling.
const (
	// excessValue is the value, in waiting requests, of serving a request beyond what the copies
	// should serve: without another copy it is likely to be late.
	excessValue = 0.25
	// servedTime is the time for which the requests that a load serves are counted. Loads from the
	// weight store take longer, but demand moves on within tens of seconds.
	servedTime = 5 * time.Second
	// reservedFetches is the number of concurrent loads from the weight store that are kept for
	// loads with a value of reservedFetchValue or more. A load takes seconds and cannot be
	// interrupted. None is kept if the weight store runs no more than that at full speed, so
	// that no model waits without end.
	reservedFetches    = 1
	reservedFetchValue = 2.0
	// nearbyDetour is added to the time of a load from the weight store at an engine that is near the
	// weights of a model that needs more copies. An engine does one load at a time, so another engine
	// is preferred if the load ends there less than nearbyDetour later.
	nearbyDetour = time.Second
)

// ScaleByLoad turns on load-based scaling for a pool, or for all if it is empty. Models then get
// more copies at a lower load, loads are ordered by the requests that they serve instead of by
// those that wait, and copies compete for the weight store.
func (a *Allocator) ScaleByLoad(pool string) {
	if a.loadScaled(pool) {
		return
	}
	if pool == "" {
		a.allLoadScaled = true
	}
	a.loadScaledPools[pool] = true
	a.fetchQueue.LearnEarly()
	a.log.Info().Str("pool", pool).Msg("pool: scaled by load from now on")
}

// loadScaled reports whether load-based scaling is on for a pool.
func (a *Allocator) loadScaled(pool string) bool { return a.allLoadScaled || a.loadScaledPools[pool] }

// copyValue returns the value of another copy of a model in addition to current ones, in waiting
// requests that are on time.
func (a *Allocator) copyValue(now time.Duration, model string, current int) float64 {
	served := a.limitsOf(a.config.View().Model(model).GetPool()).ratePerCopy * float64(current)
	excess := max(1, a.arrivals.Rate(now, model)-served)
	return max(scaleUpValue, roundToPowerOfTwo(excessValue*excess*servedTime.Seconds()))
}

// roundToPowerOfTwo rounds a value to a power of two, so that small changes cause no messages.
func roundToPowerOfTwo(value float64) float64 {
	if value <= 0 {
		return 0
	}
	return math.Exp2(math.Round(math.Log2(value)))
}

// rankDemands sets the values by which the models with demand are loaded: that of the requests
// that wait and, with load-based scaling, that of the requests expected for a model that no
// engine serves. Callers that cannot wait for the load are refused, so they are not counted.
func (a *Allocator) rankDemands(now time.Duration) {
	for _, p := range a.demands {
		p.rank = p.Value
		if a.loadScaled(a.baseModel(p.name).GetPool()) && a.Copies(now, p.name) == 0 {
			p.rank += roundToPowerOfTwo(a.arrivals.Rate(now, p.name) * servedTime.Seconds())
		}
	}
}

// copyCandidates lists the engines that may get another copy of a model or an adapter. With
// load-based scaling a copy of an adapter goes to an engine that has its model, where it
// takes milliseconds.
func (a *Allocator) copyCandidates(now time.Duration, m *wire.Model, holders []string) []placer.Candidate {
	candidates := a.candidates(now, m.GetName(), m, holders)
	if m.GetBase() == "" || !a.loadScaled(m.GetPool()) {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(c placer.Candidate) bool {
		b := a.fleet.Get(c.ID)
		return !b.Inventory(now).Has(m.GetBase()) || b.Unloading(now, m.GetBase())
	})
	for i := range candidates {
		candidates[i].Fetch = false
	}
	return candidates
}

// mayRequestCopy reports whether another copy may be requested from the engine that was chosen for it.
// It would serve there after cost, and fetch is set if it is loaded from the weight store. planned is the
// number of copies that other engines plan.
func (a *Allocator) mayRequestCopy(now time.Duration, s *scaleUp, m *wire.Model, planned int, fetch bool, cost time.Duration) bool {
	if a.loadScaled(m.GetPool()) {
		if planned >= s.missing {
			return false
		}
		s.queued = fetch && !a.mayFetchCopy(now, s)
		return !s.queued
	}
	if spare, _ := a.fetchQueue.SpareCapacity(now); fetch && spare <= 0 {
		return false
	}
	// Only one copy at a time is fetched; meanwhile others may be loaded from a nearer tier.
	return planned == 0 || !fetch && cost <= moveThreshold
}

// mayFetchCopy reports whether another copy may be loaded from the weight store now: there
// is capacity beyond that for the demands and the copies of a higher value.
func (a *Allocator) mayFetchCopy(now time.Duration, s *scaleUp) bool {
	spare, _ := a.spareFetches(now)
	for _, p := range a.demands {
		if p.queued && p.rank >= s.value {
			spare--
		}
	}
	for _, o := range a.scaleUps {
		if o != s && o.queued && o.value > s.value {
			spare--
		}
	}
	return spare > 0
}

// fetchesAhead returns the number of loads from the weight store that go before that of a model.
func (a *Allocator) fetchesAhead(p *pendingDemand, pool string) int {
	ahead := 0
	for _, o := range a.demands {
		if o != p && o.queued && loadsBefore(o, p) {
			ahead++
		}
	}
	if !a.loadScaled(pool) {
		return ahead
	}
	for _, s := range a.scaleUps {
		if s.queued && s.value > p.rank {
			ahead++
		}
	}
	if p.rank < reservedFetchValue && a.fetchQueue.Capacity() > reservedFetches {
		ahead += reservedFetches
	}
	return ahead
}

// spareFetches returns the number of further loads from the weight store that would run at
// full speed, and the instant since which there is capacity for one. Loads that engines
// have announced or were asked for, but that have not started, count as running.
func (a *Allocator) spareFetches(now time.Duration) (int, time.Duration) {
	spare, availableSince := a.fetchQueue.SpareCapacity(now)
	asked := a.askedFetches(now)
	for _, b := range a.fleet.All() {
		pending := max(asked[b.Server().ID], a.announcedFetches(now, b))
		if a.fetchQueue.Fetching(b.Server().ID) {
			pending--
		}
		spare -= max(0, pending)
	}
	return spare, availableSince
}

// askedFetches returns the number of loads from the weight store that engines were asked for and
// still have time to announce, by engine.
func (a *Allocator) askedFetches(now time.Duration) map[string]int {
	asked := map[string]int{}
	for _, p := range a.demands {
		if p.fetches && p.server != "" && now-p.requestedAt < announceTimeout {
			asked[p.server]++
		}
	}
	for _, s := range a.scaleUps {
		for id, r := range s.requested {
			if r.fetches && now-r.at < announceTimeout {
				asked[id]++
			}
		}
	}
	return asked
}

// announcedFetches returns the number of loads from the weight store that an engine has announced,
// including the one that it executes.
func (a *Allocator) announcedFetches(now time.Duration, b *tracker.Backend) int {
	tasks := b.Status(now).GetTasks()
	if len(tasks) == 0 {
		return 0
	}
	inventory, announced := b.Inventory(now), 0
	for _, t := range tasks {
		if m := a.config.View().Model(t.GetModel()); m != nil && m.GetBase() == "" {
			if _, fetch := inventory.LoadTime(m); fetch {
				announced++
			}
		}
	}
	return announced
}

// slowEngineDelay is by how much a model may serve later on an engine of the usual speed than on one
// at which work takes twice as long, and maxSlowdown the slowdown from which it does not grow further.
// All answers of the model are slower there, not only those that wait for it.
const (
	slowEngineDelay = 500 * time.Millisecond
	maxSlowdown     = 4.0
)

// slowDelay returns what the speed of an engine counts as in the choice of an engine for a load. speed
// is how long work takes there, relative to the mean of its pool.
func slowDelay(speed float64) time.Duration {
	return time.Duration(min(speed, maxSlowdown) * float64(slowEngineDelay))
}

// RecordSpeed records the speed of a server, as its entries have observed it.
func (a *Allocator) RecordSpeed(now time.Duration, speed *wire.ServerSpeed) {
	if b := a.fleet.Get(speed.GetServer()); b != nil {
		b.RecordSharedSpeed(now, speed)
	}
}

// nearCrowdedModel reports whether the instance of an engine has the weights of a model that
// needs more copies, which the engine does not serve.
func (a *Allocator) nearCrowdedModel(i tracker.Inventory) bool {
	for name := range a.scaleUps {
		if !i.Has(name) && (slices.Contains(i.Memory, name) || slices.Contains(i.Disk, name)) {
			return true
		}
	}
	return false
}
