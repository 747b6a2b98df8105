package replayer

import (
	"time"

	"oleanderstall/evictor"
)

// maxKeep is the hard end of a hold.
const maxKeep = 900 * time.Second

// Keep is what one keep-alive policy costs over a trace.
type Keep struct {
	Policy string  `json:"policy"`
	Hours  float64 `json:"idle_hours"`
	Colds  int     `json:"cold_starts"`
	// Cost is idle seconds by the operator's weight plus seconds of cold start.
	Cost float64 `json:"cost"`
	// Longest is the longest idle time of any model, in seconds.
	Longest float64 `json:"longest_idle_seconds"`
}

// sizeOf returns the size of model i in GB.
func sizeOf(i int) int { return 4 + i*7%12 }

// coldOf returns the time of a load of model i from the weight store.
func coldOf(i int) time.Duration { return time.Duration(sizeOf(i)) * time.Second }

// hold decides how long a model stays after a request, given the gap that will
// follow, which only the optimum looks at.
type hold func(h *evictor.History, t evictor.Terms, gap time.Duration) time.Duration

func fixed(d time.Duration) hold {
	return func(*evictor.History, evictor.Terms, time.Duration) time.Duration { return d }
}

func byHistory(h *evictor.History, t evictor.Terms, _ time.Duration) time.Duration { return h.Keep(t) }

// optimum knows the gap: it holds through it if that is cheaper than a load.
func optimum(_ *evictor.History, t evictor.Terms, gap time.Duration) time.Duration {
	if t.Idle*gap.Seconds() < t.Cold.Seconds() {
		return gap
	}
	return 0
}

// ReplayKeep compares the keep-alive policies on a trace.
func ReplayKeep(f Fleet, events []Event) []Keep {
	policies := []struct {
		name string
		hold hold
	}{
		{"by history", byHistory},
		{"fixed 1 min", fixed(time.Minute)},
		{"fixed 10 min", fixed(10 * time.Minute)},
		{"fixed 60 min", fixed(time.Hour)},
		{"offline optimum", optimum},
	}
	var results []Keep
	for _, p := range policies {
		sum := Keep{Policy: p.name}
		for i := range f.Models {
			sum.add(f, i, arrivals(events, ModelName(i)), p.hold)
		}
		results = append(results, sum)
	}
	return results
}

func arrivals(events []Event, model string) []time.Duration {
	var at []time.Duration
	for _, e := range events {
		if e.K == "" && e.M == model {
			at = append(at, e.At())
		}
	}
	return at
}

// add replays one model's requests.
func (k *Keep) add(f Fleet, i int, at []time.Duration, decide hold) {
	terms := evictor.Terms{Cold: coldOf(i), Idle: f.Idle, End: maxKeep}
	h := &evictor.History{}
	const end = (daySeconds + nightSeconds) * time.Second
	loaded := false
	for n, now := range at {
		h.Arrive(now)
		if !loaded {
			k.Colds++
			k.Cost += terms.Cold.Seconds()
		}
		gap, last := end-now, n+1 == len(at)
		if !last {
			gap = at[n+1] - now
		}
		keep := decide(h, terms, gap)
		if last && keep == gap {
			keep = 0
		}
		idle := min(gap, keep).Seconds()
		k.Hours += idle / 3600
		k.Cost += f.Idle * idle
		k.Longest = max(k.Longest, idle)
		loaded = keep >= gap
	}
}
