package placer

import (
	"cmp"
	"slices"
	"time"
)

// Weights of the choice of an engine.
const (
	// missPenalty is the cost of one expected miss of an unloaded model.
	missPenalty = 500 * time.Millisecond
	// drainTimePerRequest is the expected wait for a model in use per active request, and
	// maxDrainTime the longest wait assumed.
	drainTimePerRequest = 700 * time.Millisecond
	maxDrainTime        = 6 * time.Second
)

// Candidate is an engine that may load a model.
type Candidate struct {
	ID string
	// Free is the free memory for weights. Idle are the models that may be unloaded now,
	// Busy those that may be unloaded once their requests have ended.
	Free uint64
	Idle []LoadedModel
	Busy []LoadedModel
	// LoadTime is the duration of the load on this engine.
	LoadTime time.Duration
	// Fetch is set if the load is from the weight store.
	Fetch bool
	// QueueTime is the duration of the loads ahead of it.
	QueueTime time.Duration
	// Blocked is set if the engine was asked for the model but can unload none for it now.
	Blocked bool
	// Planned is set if the engine will load the model anyway; it then serves after
	// QueueTime.
	Planned bool
	// Score decides between engines of equal cost, highest first.
	Score uint64
}

// Cost returns the time until a model of need bytes serves on the engine, plus a penalty for
// the requests that would miss the models unloaded for it.
func (c Candidate) Cost(need uint64) time.Duration {
	if c.Planned {
		return c.QueueTime
	}
	cost := c.QueueTime + c.LoadTime
	if c.Free >= need {
		return cost
	}
	idle := slices.Clone(c.Idle)
	slices.SortStableFunc(idle, func(a, b LoadedModel) int { return cmp.Compare(a.ExpectedMisses(), b.ExpectedMisses()) })
	victims, ok := CheapestEviction(c.Free, idle, need, 1e18)
	if !ok {
		return cost + c.drain(need)
	}
	for _, m := range victims {
		cost += unloadTime + time.Duration(m.ExpectedMisses()*float64(missPenalty))
	}
	return cost
}

// drain estimates the wait until the requests of enough busy models have ended to free need
// bytes, at most maxDrainTime.
func (c Candidate) drain(need uint64) time.Duration {
	busy := slices.Clone(c.Busy)
	slices.SortStableFunc(busy, func(a, b LoadedModel) int { return cmp.Compare(a.Inflight, b.Inflight) })
	free := c.Free
	for _, m := range c.Idle {
		free += m.Bytes
	}
	for _, m := range busy {
		free += m.Bytes
		if free >= need {
			return min(time.Duration(m.Inflight)*drainTimePerRequest, maxDrainTime)
		}
	}
	return maxDrainTime
}

// ChooseEngine returns the index of the candidate with the lowest cost for a model of need
// bytes, and that cost. The index is -1 if there are no candidates.
func ChooseEngine(candidates []Candidate, need uint64) (int, time.Duration) {
	best, lowest := -1, time.Duration(0)
	for i, c := range candidates {
		cost := c.Cost(need)
		if best < 0 || cost < lowest || cost == lowest && c.Score > candidates[best].Score {
			best, lowest = i, cost
		}
	}
	return best, lowest
}
