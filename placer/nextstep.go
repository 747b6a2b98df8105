package placer

import (
	"cmp"
	"slices"
	"time"
)

//go:generate stringer -type=Op -linecomment

// Op is an order to an engine.
type Op int

// Orders to an engine.
const (
	None   Op = iota // none
	Load             // load
	Unload           // unload
)

// Limits of the decisions about one engine.
const (
	// settle is how long a model stays after its load, so that the requests that
	// waited for it arrive.
	settle = 400 * time.Millisecond
	// swapTime is added to a load that has to make room first.
	swapTime = 100 * time.Millisecond
	// lateWorth is what a late answer is worth, as a part of one on time.
	lateWorth = 0.25
	// ageWeight makes a want that has waited for a second count as this much more.
	ageWeight = 0.5
)

// LoadedModel is a model in an engine's memory.
type LoadedModel struct {
	Model string
	Bytes uint64
	// Inflight are the requests under way.
	Inflight int
	// Rate is the number of requests a second, to any engine.
	Rate float64
	// Copies is the number of engines that serve the model.
	Copies int
	// Reload is the time to load the model again on this engine.
	Reload time.Duration
	// Last is the instant of the last use, Since that of the load.
	Last  time.Duration
	Since time.Duration
}

// Keep is the number of requests that would miss the model while it was away.
func (h LoadedModel) Keep() float64 {
	return h.Rate / float64(max(1, h.Copies)) * (h.Reload + swapTime).Seconds()
}

// LoadRequest is a model that requests wait for.
type LoadRequest struct {
	Model string
	Bytes uint64
	// Count is the number of requests that wait and Worth what they are worth
	// together, on time.
	Count int
	Worth float64
	// Goal is the instant after which the first of them is late.
	Goal time.Duration
	// Since is the instant of the first request.
	Since time.Duration
	// Time is the duration of the load on this engine.
	Time time.Duration
}

// Step is the next order to an engine. Model is the one it concerns, For the one
// wanted.
type Step struct {
	Op    Op
	Model string
	For   string
}

// NextStep returns the next order to an engine with that much free memory that
// carries out no other one.
func NextStep(now time.Duration, free uint64, held []LoadedModel, wants []LoadRequest) Step {
	for _, w := range rank(now, wants) {
		if has(held, w.Model) {
			continue
		}
		if w.Bytes <= free {
			return Step{Op: Load, Model: w.Model, For: w.Model}
		}
		victims, ok := EvictionFor(now, free, held, wants, w)
		if ok {
			return Step{Op: Unload, Model: victims[0].Model, For: w.Model}
		}
	}
	return Step{}
}

func has(held []LoadedModel, model string) bool {
	return slices.ContainsFunc(held, func(h LoadedModel) bool { return h.Model == model })
}

// rank orders the wants by what their load gains in its time.
func rank(now time.Duration, wants []LoadRequest) []LoadRequest {
	ranked := slices.Clone(wants)
	slices.SortStableFunc(ranked, func(a, b LoadRequest) int {
		return cmp.Or(cmp.Compare(b.gain(now), a.gain(now)), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Model, b.Model))
	})
	return ranked
}

// gain is the worth a second that a load brings.
func (w LoadRequest) gain(now time.Duration) float64 {
	worth := w.Worth
	if now+w.Time+swapTime > w.Goal {
		worth *= lateWorth
	}
	aged := 1 + ageWeight*max(0, now-w.Since).Seconds()
	return worth * aged / (w.Time + swapTime).Seconds()
}

// EvictionFor returns the models to unload so that w fits, the least missed ones. It
// reports false if that would cost more requests than wait for w, or is not
// possible now.
func EvictionFor(now time.Duration, free uint64, held []LoadedModel, wants []LoadRequest, w LoadRequest) ([]LoadedModel, bool) {
	var idle []LoadedModel
	for _, h := range held {
		wanted := slices.ContainsFunc(wants, func(o LoadRequest) bool { return o.Model == h.Model })
		if h.Inflight == 0 && !wanted && now-h.Since >= settle {
			idle = append(idle, h)
		}
	}
	slices.SortStableFunc(idle, func(a, b LoadedModel) int {
		return cmp.Or(cmp.Compare(a.Keep(), b.Keep()), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Model, b.Model))
	})
	return CheapestEviction(free, idle, w.Bytes, float64(w.Count))
}

// CheapestEviction returns the fewest idle models that free need bytes and whose loss
// costs fewer than most requests. The models are sorted, the least missed first.
func CheapestEviction(free uint64, idle []LoadedModel, need uint64, most float64) ([]LoadedModel, bool) {
	for _, h := range idle {
		if free+h.Bytes >= need && h.Keep() < most {
			return []LoadedModel{h}, true
		}
	}
	var chosen []LoadedModel
	cost := 0.0
	for _, h := range idle {
		chosen = append(chosen, h)
		free += h.Bytes
		cost += h.Keep()
		if free >= need {
			return chosen, cost < most
		}
	}
	return nil, false
}
