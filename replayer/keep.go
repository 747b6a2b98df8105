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
type hold func(h *evictor.History, t evictor.Options, gap time.Duration) time.Duration

func fixed(d time.Duration) hold {
	return func(*evictor.History, evictor.Options, time.Duration) time.Duration { return d }
}

func byHistory(h *evictor.History, t evictor.Options, _ time.Duration) time.Duration {
	return h.Keep(t)
}

// optimum knows the gap: it holds through it if that is cheaper than a load.
func optimum(_ *evictor.History, t evictor.Options, gap time.Duration) time.Duration {
	if t.Idle*gap.Seconds() < t.Cold.Seconds() {
		return gap
	}
	return 0
}

// ReplayKeep compares the keep-alive policies on a trace.
func ReplayKeep(f Fleet, events []Event) []Keep {
	return []Keep{
		replayKeep(f, events, "by history, with a first guess", byHistory, true),
		replayKeep(f, events, "fixed 1 min", fixed(time.Minute), false),
		replayKeep(f, events, "fixed 10 min", fixed(10*time.Minute), false),
		replayKeep(f, events, "fixed 60 min", fixed(time.Hour), false),
		replayKeep(f, events, "offline optimum", optimum, false),
		replayKeep(f, events, "by history alone", byHistory, false),
	}
}

// kept is one model in the replay.
type kept struct {
	history evictor.History
	at      []time.Duration
	next    int
	loaded  bool
}

// replayKeep replays all requests in their order. Model i is on engine i modulo
// the number of engines, whose models share a first guess.
func replayKeep(f Fleet, events []Event, name string, decide hold, guess bool) Keep {
	sum := Keep{Policy: name}
	models := make([]kept, f.Models)
	guesses := make([]evictor.History, f.Engines)
	for i := range models {
		models[i].at = arrivals(events, ModelName(i))
	}
	for _, e := range events {
		if e.K != "" {
			continue
		}
		i := modelIndex(e.M)
		m := &models[i]
		if guess {
			m.learn(&guesses[i%f.Engines], e.At())
		}
		m.history.Arrive(e.At())
		sum.add(f, i, m, decide)
	}
	return sum
}

// learn exchanges gaps with the engine's other models.
func (m *kept) learn(others *evictor.History, now time.Duration) {
	if m.next == 0 {
		m.history.Learn(others)
	}
	if gap, ok := m.history.Gap(now); ok {
		others.Add(gap)
	}
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

// add replays the next request of model i.
func (k *Keep) add(f Fleet, i int, m *kept, decide hold) {
	const end = (daySeconds + nightSeconds) * time.Second
	terms := evictor.Options{Cold: coldOf(i), Idle: f.Idle, End: maxKeep}
	if !m.loaded {
		k.Colds++
		k.Cost += terms.Cold.Seconds()
	}
	now := m.at[m.next]
	m.next++
	gap, last := end-now, m.next == len(m.at)
	if !last {
		gap = m.at[m.next] - now
	}
	keep := decide(&m.history, terms, gap)
	if last && keep == gap {
		keep = 0
	}
	idle := min(gap, keep).Seconds()
	k.Hours += idle / 3600
	k.Cost += f.Idle * idle
	k.Longest = max(k.Longest, idle)
	m.loaded = keep >= gap
}
