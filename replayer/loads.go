package replayer

import (
	"slices"
	"time"

	"oleanderstall/evictor"
	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// Sizes of an engine's memory and caches, in GB, and speeds in GB a second.
const (
	engineGB   = 48
	memoryGB   = 32
	diskGB     = 96
	memoryTime = time.Second
	diskSpeed  = 4.0
	storeSpeed = 1.0
	storeFull  = 4
	loadsKeep  = 600 * time.Second
)

// Loads is what one load policy gives over a trace.
type Loads struct {
	Policy string  `json:"policy"`
	P50    float64 `json:"cold_p50_seconds"`
	P99    float64 `json:"cold_p99_seconds"`
	Loads  int     `json:"loads"`
	// Wasted counts loads of a model that was being loaded already.
	Wasted int `json:"wasted"`
	// Refused counts requests for which no engine had room.
	Refused int `json:"refused"`
}

// box is one engine in the replay.
type box struct {
	name   string
	models map[int]*resident
	memory []int
	disk   []int
}

// resident is a model on an engine, or on its way there.
type resident struct {
	ready time.Duration
	last  time.Duration
	entry int
}

// loader replays loads under one policy.
type loader struct {
	boxes  []*box
	active []time.Duration
	slow   float64
	until  time.Duration
	waits  []float64
	result Loads
	// shared is set if all entries' requests meet in one decision.
	shared bool
	ranked bool
}

// ReplayLoads compares the load policies on a trace.
func ReplayLoads(f Fleet, events []Event) []Loads {
	return []Loads{
		replayLoads(f, events, "one decision, ranked", true, true),
		replayLoads(f, events, "one decision, first fit", true, false),
		replayLoads(f, events, "each entry for itself, ranked", false, true),
	}
}

func replayLoads(f Fleet, events []Event, name string, shared, ranked bool) Loads {
	l := &loader{slow: 1, shared: shared, ranked: ranked, result: Loads{Policy: name}}
	for i := range f.Engines {
		l.boxes = append(l.boxes, &box{name: "e" + ModelName(i), models: map[int]*resident{}})
	}
	for _, e := range events {
		switch e.K {
		case "slow":
			l.slow, l.until = e.F, e.At()+time.Duration(e.D)*time.Second
		case "reclaim":
			l.boxes[e.E] = &box{name: l.boxes[e.E].name, models: map[int]*resident{}}
		case "":
			l.request(e)
		}
	}
	slices.Sort(l.waits)
	l.result.P50, l.result.P99 = quantile(l.waits, 0.5), quantile(l.waits, 0.99)
	return l.result
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (l *loader) request(e Event) {
	now, model := e.At(), modelIndex(e.M)
	l.expire(now)
	if r := l.find(now, model, e.E); r != nil {
		if r.ready > now {
			l.waits = append(l.waits, (r.ready - now).Seconds())
		}
		r.last = max(now, r.ready)
		return
	}
	l.load(now, model, e.E)
}

func modelIndex(name string) int {
	i := 0
	for _, c := range name[1:] {
		i = i*10 + int(c-'0')
	}
	return i
}

// find returns the replica that serves the request soonest. An entry for itself
// knows replicas that are ready and its own loads.
func (l *loader) find(now time.Duration, model, entry int) *resident {
	var best *resident
	for _, b := range l.boxes {
		r := b.models[model]
		if r == nil || !l.shared && r.ready > now && r.entry != entry {
			continue
		}
		if best == nil || r.ready < best.ready {
			best = r
		}
	}
	return best
}

// load places a model by the policy.
func (l *loader) load(now time.Duration, model, entry int) {
	var bids []placer.Bid
	for _, b := range l.boxes {
		if b.models[model] != nil {
			continue
		}
		bids = append(bids, l.bid(now, b, model))
	}
	need := uint64(sizeOf(model))
	if l.ranked {
		key := router.Hash(ModelName(model))
		slices.SortStableFunc(bids, func(a, b placer.Bid) int {
			if router.Score(a.Instance, key) > router.Score(b.Instance, key) {
				return -1
			}
			return 1
		})
		bids = placer.RankBids(bids, need)
	} else {
		bids = slices.DeleteFunc(bids, func(b placer.Bid) bool { return b.Free+b.Idle < need })
	}
	if len(bids) == 0 {
		l.result.Refused++
		return
	}
	l.start(now, bids[0], model, entry)
}

func (l *loader) bid(now time.Duration, b *box, model int) placer.Bid {
	bid := placer.Bid{Instance: b.name, Free: engineGB, Queue: uint32(len(b.models))}
	for m, r := range b.models {
		bid.Free -= min(bid.Free, uint64(sizeOf(m)))
		if r.last+time.Second < now {
			bid.Idle += uint64(sizeOf(m))
		}
	}
	switch {
	case slices.Contains(b.memory, model):
		bid.Tier = wire.Tier_TIER_MEMORY
	case slices.Contains(b.disk, model):
		bid.Tier = wire.Tier_TIER_DISK
	}
	return bid
}

func (l *loader) start(now time.Duration, bid placer.Bid, model, entry int) {
	for _, b := range l.boxes {
		if r := b.models[model]; r != nil && r.ready > now {
			l.result.Wasted++
			break
		}
	}
	i := slices.IndexFunc(l.boxes, func(b *box) bool { return b.name == bid.Instance })
	b := l.boxes[i]
	l.makeRoom(now, b, uint64(sizeOf(model)))
	took := l.duration(now, bid.Tier, model)
	l.result.Loads++
	l.waits = append(l.waits, took.Seconds())
	b.models[model] = &resident{ready: now + took, last: now + took, entry: entry}
	b.memory = cached(b.memory, model, memoryGB)
	b.disk = cached(b.disk, model, diskGB)
}

func (l *loader) makeRoom(now time.Duration, b *box, need uint64) {
	free := uint64(engineGB)
	var all []evictor.Resident
	for m, r := range b.models {
		free -= min(free, uint64(sizeOf(m)))
		all = append(all, evictor.Resident{
			Model: ModelName(m), Bytes: uint64(sizeOf(m)), Busy: r.last+time.Second >= now, Last: r.last, Keep: loadsKeep,
		})
	}
	if free >= need {
		return
	}
	slices.SortFunc(all, func(a, b evictor.Resident) int { return modelIndex(a.Model) - modelIndex(b.Model) })
	for _, v := range evictor.Victims(all, need-free) {
		delete(b.models, modelIndex(v.Model))
	}
}

// duration is how long a load takes, and counts it at the weight store.
func (l *loader) duration(now time.Duration, tier wire.Tier, model int) time.Duration {
	size := float64(sizeOf(model))
	switch tier {
	case wire.Tier_TIER_MEMORY:
		return memoryTime
	case wire.Tier_TIER_DISK:
		return time.Duration(size / diskSpeed * float64(time.Second))
	}
	l.active = slices.DeleteFunc(l.active, func(end time.Duration) bool { return end <= now })
	factor := max(1, float64(len(l.active)+1)/storeFull)
	if now < l.until {
		factor *= l.slow
	}
	took := time.Duration(size / storeSpeed * factor * float64(time.Second))
	l.active = append(l.active, now+took)
	return took
}

// cached puts a model at the front of a cache that holds limit GB.
func cached(list []int, model, limit int) []int {
	list = slices.DeleteFunc(list, func(m int) bool { return m == model })
	list = slices.Insert(list, 0, model)
	sum := 0
	for i, m := range list {
		if sum += sizeOf(m); sum > limit {
			return list[:i]
		}
	}
	return list
}

func (l *loader) expire(now time.Duration) {
	for _, b := range l.boxes {
		for m, r := range b.models {
			if now >= r.last+loadsKeep {
				delete(b.models, m)
			}
		}
	}
}
