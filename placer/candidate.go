package placer

import (
	"cmp"
	"slices"
	"time"
)

// Weights of the choice of an engine.
const (
	// missTime is what a request that would miss an unloaded model counts.
	missTime = 500 * time.Millisecond
	// drainTime is the wait for a model in use, for each request under way there,
	// and drainMost the longest.
	drainTime = 700 * time.Millisecond
	drainMost = 6 * time.Second
)

// Candidate is an engine that may load a model.
type Candidate struct {
	ID string
	// Free is the memory for weights that is free. Idle are the models that may be
	// unloaded, Busy those that may once their requests have ended.
	Free uint64
	Idle []LoadedModel
	Busy []LoadedModel
	// Load is the duration of the load there.
	Load time.Duration
	// Fetch is set if the load is from the weight store.
	Fetch bool
	// Queue is the duration of the loads before it.
	Queue time.Duration
	// Waits is set if the engine was asked for the model, and has none to unload.
	Waits bool
	// Planned is set if the engine is going to load the model anyway, in Queue.
	Planned bool
	// Score orders engines that are alike.
	Score uint64
}

// Cost is the time until the model serves and what the load displaces, in time.
func (s Candidate) Cost(need uint64) time.Duration {
	if s.Planned {
		return s.Queue
	}
	sum := s.Queue + s.Load
	if s.Free >= need {
		return sum
	}
	idle := slices.Clone(s.Idle)
	slices.SortStableFunc(idle, func(a, b LoadedModel) int { return cmp.Compare(a.Keep(), b.Keep()) })
	chosen, ok := CheapestEviction(s.Free, idle, need, 1e18)
	if !ok {
		return sum + s.drain(need)
	}
	for _, h := range chosen {
		sum += swapTime + time.Duration(h.Keep()*float64(missTime))
	}
	return sum
}

// drain estimates the wait until enough models have no requests any more.
func (s Candidate) drain(need uint64) time.Duration {
	busy := slices.Clone(s.Busy)
	slices.SortStableFunc(busy, func(a, b LoadedModel) int { return cmp.Compare(a.Inflight, b.Inflight) })
	free := s.Free
	for _, h := range s.Idle {
		free += h.Bytes
	}
	for _, h := range busy {
		free += h.Bytes
		if free >= need {
			return min(time.Duration(h.Inflight)*drainTime, drainMost)
		}
	}
	return drainMost
}

// ChooseEngine returns the engine that should load a model of need bytes and the time
// until it serves there, or -1 if there is none.
func ChooseEngine(sites []Candidate, need uint64) (int, time.Duration) {
	best, least := -1, time.Duration(0)
	for i, s := range sites {
		c := s.Cost(need)
		if best < 0 || c < least || c == least && s.Score > sites[best].Score {
			best, least = i, c
		}
	}
	return best, least
}
