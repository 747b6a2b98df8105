package replayer

import (
	"slices"
	"time"

	"oleanderstall/evictor"
	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// Sizes and speeds of the simulated engines and weight store.
const (
	engineMemoryGB   = 48
	memoryCacheGB    = 32
	diskCacheGB      = 96
	memoryLoadTime   = time.Second
	diskGBPerSecond  = 4.0
	storeGBPerSecond = 1.0
	// storeParallelLoads is the number of loads that the weight store serves at full
	// speed; more of them share its bandwidth.
	storeParallelLoads = 4
	idleTimeout        = 600 * time.Second
)

// LoadingResult is the outcome of one model loading policy over a trace. ColdStartP50 and
// ColdStartP99 are quantiles of the time that requests waited for a model to load, in
// seconds, without the requests that found it ready.
type LoadingResult struct {
	Policy       string  `json:"policy"`
	ColdStartP50 float64 `json:"cold_p50_seconds"`
	ColdStartP99 float64 `json:"cold_p99_seconds"`
	Loads        int     `json:"loads"`
	// Wasted counts the loads of a model that was already being loaded elsewhere.
	Wasted int `json:"wasted"`
	// Refused counts requests for which no engine had room.
	Refused int `json:"refused"`
}

// engineState is the state of one engine during a replay. The caches list models, the
// most recently loaded one first.
type engineState struct {
	name        string
	models      map[int]*replica
	memoryCache []int
	diskCache   []int
}

// replica is a model that is loaded on an engine or will be at readyAt. loadedBy is
// the entry whose request caused the load.
type replica struct {
	readyAt  time.Duration
	lastUse  time.Duration
	loadedBy int
}

// loadReplay is the state of one model loading policy during a replay.
type loadReplay struct {
	engines       []*engineState
	storeLoadEnds []time.Duration
	storeSlowdown float64
	slowUntil     time.Duration
	waits         []float64
	result        LoadingResult
	// jointDecision is set if one process decides for the requests of all entries
	// and so knows all loads in progress; otherwise each entry knows only its own.
	jointDecision bool
	// ranked is set if the engines are ranked by cost, otherwise the first engine
	// with room is used.
	ranked bool
}

// ReplayLoads compares the model loading policies on a trace. Tests rely on the order
// of the results.
func ReplayLoads(f Fleet, events []Event) []LoadingResult {
	return []LoadingResult{
		replayLoads(f, events, "one decision, ranked", true, true),
		replayLoads(f, events, "one decision, first fit", true, false),
		replayLoads(f, events, "each entry for itself, ranked", false, true),
	}
}

func replayLoads(f Fleet, events []Event, name string, jointDecision, ranked bool) LoadingResult {
	l := &loadReplay{storeSlowdown: 1, jointDecision: jointDecision, ranked: ranked, result: LoadingResult{Policy: name}}
	for i := range f.Engines {
		l.engines = append(l.engines, &engineState{name: "e" + ModelName(i), models: map[int]*replica{}})
	}
	for _, e := range events {
		switch e.Kind {
		case "slow":
			l.storeSlowdown, l.slowUntil = e.Factor, e.At()+time.Duration(e.Duration)*time.Second
		case "reclaim":
			l.engines[e.Index] = &engineState{name: l.engines[e.Index].name, models: map[int]*replica{}}
		case "":
			l.request(e)
		}
	}
	slices.Sort(l.waits)
	l.result.ColdStartP50, l.result.ColdStartP99 = quantile(l.waits, 0.5), quantile(l.waits, 0.99)
	return l.result
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (l *loadReplay) request(e Event) {
	now, model := e.At(), modelIndex(e.Model)
	l.unloadExpired(now)
	if r := l.findReplica(now, model, e.Index); r != nil {
		if r.readyAt > now {
			l.waits = append(l.waits, (r.readyAt - now).Seconds())
		}
		r.lastUse = max(now, r.readyAt)
		return
	}
	l.placeReplica(now, model, e.Index)
}

// modelIndex returns the index of the model with a name, the inverse of ModelName.
func modelIndex(name string) int {
	i := 0
	for _, c := range name[1:] {
		i = i*10 + int(c-'0')
	}
	return i
}

// findReplica returns the replica that is ready first, or nil. Without a joint
// decision, an entry does not see loads that another entry started and that are not
// finished.
func (l *loadReplay) findReplica(now time.Duration, model, entry int) *replica {
	var best *replica
	for _, engine := range l.engines {
		r := engine.models[model]
		if r == nil || !l.jointDecision && r.readyAt > now && r.loadedBy != entry {
			continue
		}
		if best == nil || r.readyAt < best.readyAt {
			best = r
		}
	}
	return best
}

// placeReplica loads a model on the engine that the policy selects, or counts a
// refusal if no engine has room.
func (l *loadReplay) placeReplica(now time.Duration, model, entry int) {
	var bids []placer.Bid
	for _, engine := range l.engines {
		if engine.models[model] != nil {
			continue
		}
		bids = append(bids, l.bid(now, engine, model))
	}
	sizeGB := uint64(modelSizeGB(model))
	if l.ranked {
		key := router.Hash(ModelName(model))
		slices.SortStableFunc(bids, func(a, b placer.Bid) int {
			if router.Score(a.Instance, key) > router.Score(b.Instance, key) {
				return -1
			}
			return 1
		})
		bids = placer.RankBids(bids, sizeGB)
	} else {
		bids = slices.DeleteFunc(bids, func(b placer.Bid) bool { return b.Free+b.Idle < sizeGB })
	}
	if len(bids) == 0 {
		l.result.Refused++
		return
	}
	l.startLoad(now, bids[0], model, entry)
}

// bid returns the bid of an engine for a load. Models that were not used within the
// last second count as idle.
func (l *loadReplay) bid(now time.Duration, engine *engineState, model int) placer.Bid {
	bid := placer.Bid{Instance: engine.name, Free: engineMemoryGB, Queue: uint32(len(engine.models))}
	for m, r := range engine.models {
		bid.Free -= min(bid.Free, uint64(modelSizeGB(m)))
		if r.lastUse+time.Second < now {
			bid.Idle += uint64(modelSizeGB(m))
		}
	}
	switch {
	case slices.Contains(engine.memoryCache, model):
		bid.Tier = wire.Tier_TIER_MEMORY
	case slices.Contains(engine.diskCache, model):
		bid.Tier = wire.Tier_TIER_DISK
	}
	return bid
}

// startLoad loads a model on the engine of the bid, after unloading idle models there
// if memory is short.
func (l *loadReplay) startLoad(now time.Duration, bid placer.Bid, model, entry int) {
	for _, engine := range l.engines {
		if r := engine.models[model]; r != nil && r.readyAt > now {
			l.result.Wasted++
			break
		}
	}
	index := slices.IndexFunc(l.engines, func(engine *engineState) bool { return engine.name == bid.Instance })
	engine := l.engines[index]
	l.makeRoom(now, engine, uint64(modelSizeGB(model)))
	loadTime := l.loadTime(now, bid.Tier, model)
	l.result.Loads++
	l.waits = append(l.waits, loadTime.Seconds())
	engine.models[model] = &replica{readyAt: now + loadTime, lastUse: now + loadTime, loadedBy: entry}
	engine.memoryCache = addToCache(engine.memoryCache, model, memoryCacheGB)
	engine.diskCache = addToCache(engine.diskCache, model, diskCacheGB)
}

// makeRoom unloads idle models of an engine until needGB of its memory are free.
func (l *loadReplay) makeRoom(now time.Duration, engine *engineState, needGB uint64) {
	free := uint64(engineMemoryGB)
	var residents []evictor.Resident
	for m, r := range engine.models {
		free -= min(free, uint64(modelSizeGB(m)))
		residents = append(residents, evictor.Resident{
			Model: ModelName(m), Bytes: uint64(modelSizeGB(m)), Busy: r.lastUse+time.Second >= now, LastRequest: r.lastUse, KeepAlive: idleTimeout,
		})
	}
	if free >= needGB {
		return
	}
	slices.SortFunc(residents, func(a, b evictor.Resident) int { return modelIndex(a.Model) - modelIndex(b.Model) })
	for _, victim := range evictor.Victims(residents, needGB-free) {
		delete(engine.models, modelIndex(victim.Model))
	}
}

// loadTime returns how long a load takes. A load from the weight store is slowed in
// proportion once more than storeParallelLoads run, and is recorded as one of them.
func (l *loadReplay) loadTime(now time.Duration, tier wire.Tier, model int) time.Duration {
	sizeGB := float64(modelSizeGB(model))
	switch tier {
	case wire.Tier_TIER_MEMORY:
		return memoryLoadTime
	case wire.Tier_TIER_DISK:
		return time.Duration(sizeGB / diskGBPerSecond * float64(time.Second))
	}
	l.storeLoadEnds = slices.DeleteFunc(l.storeLoadEnds, func(end time.Duration) bool { return end <= now })
	factor := max(1, float64(len(l.storeLoadEnds)+1)/storeParallelLoads)
	if now < l.slowUntil {
		factor *= l.storeSlowdown
	}
	loadTime := time.Duration(sizeGB / storeGBPerSecond * factor * float64(time.Second))
	l.storeLoadEnds = append(l.storeLoadEnds, now+loadTime)
	return loadTime
}

// addToCache puts a model at the front of a cache and drops the models at its end
// that exceed limitGB.
func addToCache(models []int, model, limitGB int) []int {
	models = slices.DeleteFunc(models, func(m int) bool { return m == model })
	models = slices.Insert(models, 0, model)
	totalGB := 0
	for i, m := range models {
		if totalGB += modelSizeGB(m); totalGB > limitGB {
			return models[:i]
		}
	}
	return models
}

// unloadExpired unloads the models that have been idle for idleTimeout.
func (l *loadReplay) unloadExpired(now time.Duration) {
	for _, engine := range l.engines {
		for m, r := range engine.models {
			if now >= r.lastUse+idleTimeout {
				delete(engine.models, m)
			}
		}
	}
}
