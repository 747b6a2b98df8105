// Package evictor decides how long an idle model stays loaded.
//
// It learns the gaps between the requests of each model and keeps the model loaded for the
// time with the lowest expected cost of idle time and cold starts. The operator sets the cost
// of idle time relative to that of cold starts. A maximum bounds the time in every case.
package evictor

import (
	"math"
	"slices"
	"time"
)

// gapClasses is the number of gap classes; class i ends at 2^i seconds.
const gapClasses = 18

// minKeepAlive is the shortest keep-alive time. It keeps a model from being unloaded between
// the requests of one conversation, however cheap its load.
const minKeepAlive = 5 * time.Second

// priorWeight is the weight of the gaps of other models, as a number of gaps.
const priorWeight = 8

// decay is the factor by which the weight of earlier gaps decreases with each new one.
const decay = 0.98

// History is the distribution of the gaps between the requests of one model.
type History struct {
	// counts holds the weighted number of gaps of each class, and total their sum.
	counts [gapClasses]float64
	// sums holds the weighted sum of the gaps of each class, in seconds.
	sums        [gapClasses]float64
	total       float64
	lastRequest time.Duration
	hasRequest  bool
}

// RecordRequest records a request at now.
func (h *History) RecordRequest(now time.Duration) {
	if h.hasRequest && now > h.lastRequest {
		h.add((now - h.lastRequest).Seconds())
	}
	h.hasRequest = true
	h.lastRequest = max(h.lastRequest, now)
}

// AddPrior adds the gaps of other models to h as a prior estimate, with the weight of at most
// priorWeight gaps.
func (h *History) AddPrior(others *History) {
	if others.total == 0 {
		return
	}
	scale := min(1, priorWeight/others.total)
	for i := range h.counts {
		h.counts[i] += others.counts[i] * scale
		h.sums[i] += others.sums[i] * scale
	}
	h.total += others.total * scale
}

// AddGap records one gap that was observed elsewhere.
func (h *History) AddGap(gap time.Duration) { h.add(gap.Seconds()) }

// SinceLastRequest returns the time from the last request to now. It reports false if there
// was no request before now.
func (h *History) SinceLastRequest(now time.Duration) (time.Duration, bool) {
	return now - h.lastRequest, h.hasRequest && now > h.lastRequest
}

// LastRequest returns the instant of the last request.
func (h *History) LastRequest() time.Duration { return h.lastRequest }

func (h *History) add(gap float64) {
	for i := range h.counts {
		h.counts[i] *= decay
		h.sums[i] *= decay
	}
	h.total = h.total*decay + 1
	h.counts[gapClass(gap)]++
	h.sums[gapClass(gap)] += gap
}

// gapClass returns the class of a gap in seconds.
func gapClass(gap float64) int {
	if gap <= 1 {
		return 0
	}
	return min(gapClasses-1, int(math.Ceil(math.Log2(gap))))
}

// Options weigh idle time against cold starts for one model.
type Options struct {
	// ColdStart is the duration of a cold start.
	ColdStart time.Duration
	// IdleCost is the cost of an idle second, relative to a second of a cold start.
	IdleCost float64
	// MaxIdle is the longest idle time in any case.
	MaxIdle time.Duration
}

// KeepAlive returns how long the model should stay loaded after its last request. It
// minimises the expected cost over the gap classes: the idle time, and a cold start for each
// gap that is longer than the keep-alive time.
func (h *History) KeepAlive(o Options) time.Duration {
	if h.total < 2 {
		return min(o.MaxIdle, max(minKeepAlive, breakEven(o)))
	}
	best, lowest := time.Duration(0), h.expectedCost(0, o)
	for i := range gapClasses {
		keepAlive := time.Duration(1<<i) * time.Second
		if keepAlive > o.MaxIdle {
			break
		}
		if cost := h.expectedCost(keepAlive, o); cost < lowest {
			best, lowest = keepAlive, cost
		}
	}
	return min(o.MaxIdle, max(minKeepAlive, best))
}

// breakEven returns the keep-alive time whose idle cost equals one cold start. It is used
// without a history: for any gap it costs at most twice as much as the best time for that gap.
func breakEven(o Options) time.Duration {
	if o.IdleCost <= 0 {
		return o.MaxIdle
	}
	return time.Duration(float64(o.ColdStart) / o.IdleCost)
}

// expectedCost returns the expected cost of one gap with a keep-alive time, in seconds of
// cold start.
func (h *History) expectedCost(keepAlive time.Duration, o Options) float64 {
	sum := 0.0
	for i, count := range h.counts {
		classEnd := time.Duration(1<<i) * time.Second
		if classEnd <= keepAlive {
			sum += h.sums[i] * o.IdleCost
		} else {
			sum += count * (o.IdleCost*keepAlive.Seconds() + o.ColdStart.Seconds())
		}
	}
	return sum / h.total
}

// Resident is a loaded model that may be unloaded.
type Resident struct {
	Model string
	Bytes uint64
	// Busy is set while requests run or wait.
	Busy        bool
	LastRequest time.Duration
	KeepAlive   time.Duration
	ColdStart   time.Duration
}

// Expired returns the idle models whose keep-alive time ended at or before now.
func Expired(now time.Duration, all []Resident) []Resident {
	var expired []Resident
	for _, r := range all {
		if !r.Busy && now >= r.LastRequest+r.KeepAlive {
			expired = append(expired, r)
		}
	}
	return expired
}

// Victims returns the idle models to unload in order to free need bytes, sorted by the end of
// their keep-alive times. It returns nil if unloading all idle models does not free that much.
func Victims(all []Resident, need uint64) []Resident {
	idle := slices.DeleteFunc(slices.Clone(all), func(r Resident) bool { return r.Busy })
	slices.SortStableFunc(idle, func(a, b Resident) int {
		return int((a.LastRequest + a.KeepAlive) - (b.LastRequest + b.KeepAlive))
	})
	var victims []Resident
	var freed uint64
	for _, r := range idle {
		if freed >= need {
			break
		}
		victims = append(victims, r)
		freed += r.Bytes
	}
	if freed < need {
		return nil
	}
	return victims
}
