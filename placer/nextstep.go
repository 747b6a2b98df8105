package placer

import (
	"cmp"
	"slices"
	"time"
)

//go:generate stringer -type=Op -linecomment

// Op is what is done next with an engine: an order to it or, for Drain, that no further
// requests are sent to it for a model.
type Op int

// Steps. The comments are the written names.
const (
	None   Op = iota // none
	Load             // load
	Unload           // unload
	Drain            // drain
)

// Limits of the decisions about one engine.
const (
	// minResidence is how long a model stays loaded at least, so that the requests that
	// waited for it arrive.
	minResidence = 400 * time.Millisecond
	// unloadTime is added to a load that needs an unload first.
	unloadTime = 100 * time.Millisecond
	// lateValueFactor is the value of a late answer relative to one on time.
	lateValueFactor = 0.25
	// agingPerSecond is the relative increase of a request's value per second of waiting.
	agingPerSecond = 0.5
)

// LoadedModel is a model in an engine's memory.
type LoadedModel struct {
	Model string
	Bytes uint64
	// Inflight is the number of active requests for the model there.
	Inflight int
	// Rate is the rate of requests for the model to all engines, in requests a second.
	Rate float64
	// Copies is the number of engines that serve the model.
	Copies int
	// ReloadTime is the time to load the model again on this engine.
	ReloadTime time.Duration
	// LastUsed is the instant of the last use, and LoadedAt that of the load.
	LastUsed time.Duration
	LoadedAt time.Duration
}

// ExpectedMisses returns the number of requests expected to miss the model while it is
// unloaded and loaded again.
func (m LoadedModel) ExpectedMisses() float64 {
	return m.RatePerCopy() * (m.ReloadTime + unloadTime).Seconds()
}

// RatePerCopy returns the requests per second that each copy of the model serves.
func (m LoadedModel) RatePerCopy() float64 { return m.Rate / float64(max(1, m.Copies)) }

// LoadRequest is a model that requests wait for, with its load on one engine.
type LoadRequest struct {
	Model string
	Bytes uint64
	// Count is the number of waiting requests, and Value their total value if answered
	// on time.
	Count int
	Value float64
	// TargetTime is the instant after which the first of them is late.
	TargetTime time.Duration
	// FirstArrival is the instant at which the first of them arrived.
	FirstArrival time.Duration
	// LoadTime is the duration of the load on this engine.
	LoadTime time.Duration
	// Relief is the rate of requests that another copy would take over from those that
	// serve, in requests a second, or 0 if requests wait.
	Relief float64
	// Drain is set if a model in use may be drained for another copy.
	Drain bool
}

// Step is the next order to an engine. Model is the model to load or unload, and Requested
// the model for which this is done.
type Step struct {
	Op        Op
	Model     string
	Requested string
}

// NextStep returns the next order to an engine that is not executing one; free is its free
// memory for weights, in bytes. The Op is None if there is nothing to do.
func NextStep(now time.Duration, free uint64, loaded []LoadedModel, requests []LoadRequest) Step {
	for _, r := range rankRequests(now, requests) {
		if containsModel(loaded, r.Model) {
			continue
		}
		if r.Bytes <= free {
			return Step{Op: Load, Model: r.Model, Requested: r.Model}
		}
		victims, ok := EvictionFor(now, free, loaded, requests, r)
		if ok {
			return Step{Op: Unload, Model: victims[0].Model, Requested: r.Model}
		}
	}
	return drainStep(now, free, loaded, requests)
}

// minDrainGain is how many times as many requests another copy has to serve as the model that
// is drained for it, whose requests have to go elsewhere meanwhile.
const minDrainGain = 4.0

// drainStep returns the step that drains a model in use so that another copy of a much busier
// one can be loaded in its place. Without it, a steady flow of requests for rarely used models
// would keep the engine from ever having an idle one. A model that is idle is unloaded, also if more
// requests are expected to miss it than wait for the copy; its drain would never end otherwise. A model
// that requests wait for stays, since a drain would keep them waiting.
func drainStep(now time.Duration, free uint64, loaded []LoadedModel, requests []LoadRequest) Step {
	for _, r := range rankRequests(now, requests) {
		if !r.Drain || r.Relief == 0 || containsModel(loaded, r.Model) {
			continue
		}
		victim := -1
		for i, m := range loaded {
			enough := free+m.Bytes >= r.Bytes && m.RatePerCopy()*minDrainGain <= r.Relief
			if enough && !isRequested(requests, m.Model) && now-m.LoadedAt >= minResidence && (victim < 0 || lessBusy(m, loaded[victim])) {
				victim = i
			}
		}
		if victim >= 0 && loaded[victim].Inflight == 0 {
			return Step{Op: Unload, Model: loaded[victim].Model, Requested: r.Model}
		}
		if victim >= 0 {
			return Step{Op: Drain, Model: loaded[victim].Model, Requested: r.Model}
		}
	}
	return Step{}
}

// isRequested reports whether requests wait for a model.
func isRequested(requests []LoadRequest, model string) bool {
	return slices.ContainsFunc(requests, func(r LoadRequest) bool { return r.Model == model && r.Count > 0 })
}

// lessBusy reports whether x costs less to drain than y. An idle model costs least, so that a model
// that has been drained goes before others.
func lessBusy(x, y LoadedModel) bool {
	return cmp.Or(cmp.Compare(min(x.Inflight, 1), min(y.Inflight, 1)), cmp.Compare(x.RatePerCopy(), y.RatePerCopy()), cmp.Compare(x.Inflight, y.Inflight), cmp.Compare(x.Model, y.Model)) < 0
}

func containsModel(loaded []LoadedModel, model string) bool {
	return slices.ContainsFunc(loaded, func(m LoadedModel) bool { return m.Model == model })
}

// rankRequests orders requests by the value per second of load time, highest first.
func rankRequests(now time.Duration, requests []LoadRequest) []LoadRequest {
	ranked := slices.Clone(requests)
	slices.SortStableFunc(ranked, func(a, b LoadRequest) int {
		return cmp.Or(cmp.Compare(b.valuePerSecond(now), a.valuePerSecond(now)), cmp.Compare(a.FirstArrival, b.FirstArrival), cmp.Compare(a.Model, b.Model))
	})
	return ranked
}

// valuePerSecond returns the value that a load yields per second of its duration. It grows
// with the waiting time, so that a request of low value is served eventually.
func (r LoadRequest) valuePerSecond(now time.Duration) float64 {
	value := r.Value
	if now+r.LoadTime+unloadTime > r.TargetTime {
		value *= lateValueFactor
	}
	aging := 1 + agingPerSecond*max(0, now-r.FirstArrival).Seconds()
	return value * aging / (r.LoadTime + unloadTime).Seconds()
}

// mayDisplace reports whether a model may be unloaded for r. Another copy does not displace
// one that serves as many requests itself, or the two models would displace each other.
func (r LoadRequest) mayDisplace(m LoadedModel) bool {
	return r.Relief == 0 || m.RatePerCopy() < r.Relief
}

// EvictionFor returns the models to unload so that r fits, those with the fewest expected
// misses first. Models in use, or that requests wait for, or loaded less than minResidence
// ago stay, and so do those that r may not displace. It reports false if the requests expected to miss them
// are at least as many as those that wait for r, or if not enough memory can be freed now.
func EvictionFor(now time.Duration, free uint64, loaded []LoadedModel, requests []LoadRequest, r LoadRequest) ([]LoadedModel, bool) {
	var idle []LoadedModel
	for _, m := range loaded {
		if m.Inflight == 0 && !isRequested(requests, m.Model) && now-m.LoadedAt >= minResidence && r.mayDisplace(m) {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b LoadedModel) int {
		return cmp.Or(cmp.Compare(a.ExpectedMisses(), b.ExpectedMisses()), cmp.Compare(a.LastUsed, b.LastUsed), cmp.Compare(a.Model, b.Model))
	})
	return CheapestEviction(free, idle, r.Bytes, float64(r.Count))
}

// CheapestEviction returns the idle models to unload so that need bytes are free: one model
// if that suffices, else those with the fewest expected misses. It reports false if that
// costs maxMisses expected misses or more, or does not free enough. The models must be
// sorted by expected misses, fewest first.
func CheapestEviction(free uint64, idle []LoadedModel, need uint64, maxMisses float64) ([]LoadedModel, bool) {
	for _, m := range idle {
		if free+m.Bytes >= need && m.ExpectedMisses() < maxMisses {
			return []LoadedModel{m}, true
		}
	}
	var victims []LoadedModel
	misses := 0.0
	for _, m := range idle {
		victims = append(victims, m)
		free += m.Bytes
		misses += m.ExpectedMisses()
		if free >= need {
			return victims, misses < maxMisses
		}
	}
	return nil, false
}
