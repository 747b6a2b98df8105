// Package evictor decides how long an idle model stays loaded.
//
// It learns each model's gaps between requests and keeps the model for the time
// at which another idle second costs more than it saves in cold starts, by the
// operator's weight. A hard end bounds the time in every case.
package evictor

import (
	"math"
	"slices"
	"time"
)

// buckets is the number of gap classes; class i ends at 2^i seconds.
const buckets = 18

// floor is the shortest hold. It keeps a model from being unloaded between the
// requests of one conversation, however cheap its load.
const floor = 5 * time.Second

// guessWeight is the weight of a first guess, in gaps.
const guessWeight = 8

// decay is the factor by which older gaps count less at each new one.
const decay = 0.98

// History holds the gaps between the requests of one model.
type History struct {
	counts [buckets]float64
	// sums are the gaps of each class added up, in seconds.
	sums  [buckets]float64
	total float64
	last  time.Duration
	begun bool
}

// Arrive records a request at now.
func (h *History) Arrive(now time.Duration) {
	if h.begun && now > h.last {
		h.add((now - h.last).Seconds())
	}
	h.begun = true
	h.last = max(h.last, now)
}

// Learn takes the gaps of other models as a first guess for h, with the weight of
// a few gaps of its own.
func (h *History) Learn(others *History) {
	if others.total == 0 {
		return
	}
	part := min(1, guessWeight/others.total)
	for i := range h.counts {
		h.counts[i] += others.counts[i] * part
		h.sums[i] += others.sums[i] * part
	}
	h.total += others.total * part
}

// Add counts one gap that was seen elsewhere.
func (h *History) Add(gap time.Duration) { h.add(gap.Seconds()) }

// Gap returns the time from the last request to now, and false if there was none.
func (h *History) Gap(now time.Duration) (time.Duration, bool) {
	return now - h.last, h.begun && now > h.last
}

// Last returns the instant of the last request.
func (h *History) Last() time.Duration { return h.last }

func (h *History) add(gap float64) {
	for i := range h.counts {
		h.counts[i] *= decay
		h.sums[i] *= decay
	}
	h.total = h.total*decay + 1
	h.counts[class(gap)]++
	h.sums[class(gap)] += gap
}

// class returns the gap class of a gap in seconds.
func class(gap float64) int {
	if gap <= 1 {
		return 0
	}
	return min(buckets-1, int(math.Ceil(math.Log2(gap))))
}

// Options weigh idle time against cold starts for one model.
type Options struct {
	// Cold is the duration of a load.
	Cold time.Duration
	// Idle is the cost of an idle second, as a part of a cold second.
	Idle float64
	// End is the longest idle time in any case.
	End time.Duration
}

// Keep returns how long the model is to stay loaded after its last request. It
// minimises the expected cost over the gap classes: the idle seconds held, and a
// cold start for each gap that is longer than the hold.
func (h *History) Keep(t Options) time.Duration {
	if h.total < 2 {
		return min(t.End, max(floor, breakEven(t)))
	}
	best, least := time.Duration(0), h.cost(0, t)
	for i := range buckets {
		hold := time.Duration(1<<i) * time.Second
		if hold > t.End {
			break
		}
		if c := h.cost(hold, t); c < least {
			best, least = hold, c
		}
	}
	return min(t.End, max(floor, best))
}

// breakEven is the hold whose idle cost equals one cold start. Without history
// it costs at most twice what the best hold would have cost.
func breakEven(t Options) time.Duration {
	if t.Idle <= 0 {
		return t.End
	}
	return time.Duration(float64(t.Cold) / t.Idle)
}

// cost returns the expected cost of one gap under a hold.
func (h *History) cost(hold time.Duration, t Options) float64 {
	sum := 0.0
	for i, n := range h.counts {
		gap := time.Duration(1<<i) * time.Second
		if gap <= hold {
			sum += h.sums[i] * t.Idle
		} else {
			sum += n * (t.Idle*hold.Seconds() + t.Cold.Seconds())
		}
	}
	return sum / h.total
}

// Resident is a loaded model that may be unloaded.
type Resident struct {
	Model string
	Bytes uint64
	// Busy is set while requests run or wait.
	Busy bool
	Last time.Duration
	Keep time.Duration
	Cold time.Duration
}

// Expired returns the idle models whose time has ended at now.
func Expired(now time.Duration, all []Resident) []Resident {
	var ended []Resident
	for _, r := range all {
		if !r.Busy && now >= r.Last+r.Keep {
			ended = append(ended, r)
		}
	}
	return ended
}

// Victims returns the idle models to unload so that need more bytes are free,
// those first whose time ends soonest. It returns nil if all of them together
// do not free that much.
func Victims(all []Resident, need uint64) []Resident {
	idle := slices.DeleteFunc(slices.Clone(all), func(r Resident) bool { return r.Busy })
	slices.SortStableFunc(idle, func(a, b Resident) int {
		return int((a.Last + a.Keep) - (b.Last + b.Keep))
	})
	var chosen []Resident
	var freed uint64
	for _, r := range idle {
		if freed >= need {
			break
		}
		chosen = append(chosen, r)
		freed += r.Bytes
	}
	if freed < need {
		return nil
	}
	return chosen
}
