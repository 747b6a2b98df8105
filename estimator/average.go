package estimator

import (
	"math"
	"time"
)

// average is an exponentially weighted average over time. The first observations weigh equally,
// together with some that are assumed at 0.
type average struct {
	value     float64
	count     int
	updatedAt time.Duration
}

// maxCounted bounds the count of observations, of which only the first few matter.
const maxCounted = 1 << 20

// weight returns the weight of an observation at an instant, for a time constant and a number of
// observations assumed at 0. Since an observation after a long pause would replace the average,
// its weight is bounded by most, except among the first ones.
func (a *average) weight(now, constant time.Duration, assumed int, most float64) float64 {
	byTime := 1 - math.Exp(-float64(max(0, now-a.updatedAt))/float64(constant))
	return max(1/float64(a.count+1+assumed), min(byTime, most))
}

// add moves the average towards an observation by a weight.
func (a *average) add(now time.Duration, observed, weight float64) {
	a.value += weight * (observed - a.value)
	a.count = min(a.count+1, maxCounted)
	a.updatedAt = max(a.updatedAt, now)
}

// decayed returns the average at a later instant, decayed towards 0 with a time constant.
func (a *average) decayed(now, constant time.Duration) float64 {
	return a.value * math.Exp(-float64(max(0, now-a.updatedAt))/float64(constant))
}

// clamp limits x to a distance from 0.
func clamp(x, distance float64) float64 { return max(-distance, min(x, distance)) }
