package replayer

import (
	"slices"
	"time"

	"oleanderstall/queuer"
)

// Terms of the engine on which workspaces meet.
const (
	shareSlots    = 2
	shareDeadline = 30 * time.Second
)

// Sharing is what one queue policy gives the workspaces during the surge.
type Sharing struct {
	Policy string `json:"policy"`
	// WorstP99 is the p99 wait of the worst-served workspace but the surging one,
	// in seconds; a request that expired counts as its whole deadline.
	WorstP99 float64 `json:"worst_p99_wait_seconds"`
	// WorstServed is the part of its requests served for the worst-served one.
	WorstServed float64 `json:"worst_served"`
	// LargeServed is the same for the surging workspace.
	LargeServed float64 `json:"large_served"`
}

// job is a request at the engine.
type job struct {
	event Event
	rank  int
}

func (j job) service() time.Duration {
	return 200*time.Millisecond + time.Duration(j.event.O)*20*time.Millisecond
}

// line is a queue under one policy.
type line interface {
	push(j job)
	pop(now time.Duration) (job, bool)
}

// fair is the queue of the sidecar.
type fair struct{ q *queuer.Queue[job] }

func (f *fair) push(j job) {
	f.q.Push(queuer.Item[job]{
		Workspace: j.event.W, Weight: 1, Cost: float64(j.event.P + j.event.O),
		Deadline: j.event.At() + shareDeadline, Value: j,
	})
}

func (f *fair) pop(now time.Duration) (job, bool) {
	f.q.Expire(now, 0)
	it, ok := f.q.Pop()
	return it.Value, ok
}

// sorted serves by rank and then by arrival; with equal ranks it is FIFO.
type sorted struct{ jobs []job }

func (s *sorted) push(j job) { s.jobs = append(s.jobs, j) }

func (s *sorted) pop(now time.Duration) (job, bool) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j job) bool { return now >= j.event.At()+shareDeadline })
	best := -1
	for i, j := range s.jobs {
		if best < 0 || j.rank < s.jobs[best].rank {
			best = i
		}
	}
	if best < 0 {
		return job{}, false
	}
	j := s.jobs[best]
	s.jobs = slices.Delete(s.jobs, best, best+1)
	return j, true
}

// ReplayShare compares queue policies on one engine through the surge of a trace.
func ReplayShare(f Fleet, events []Event) []Sharing {
	return []Sharing{
		replayShare(f, events, "fair by weight, deadlines inside", &fair{q: queuer.New[job](1 << 20)}, false),
		replayShare(f, events, "FIFO", &sorted{}, false),
		replayShare(f, events, "priority to the largest", &sorted{}, true),
	}
}

func replayShare(f Fleet, events []Event, name string, q line, ranked bool) Sharing {
	waits := map[string][]float64{}
	served := map[string]int{}
	sent := map[string]int{}
	busy := make([]time.Duration, shareSlots)
	serve := func(until time.Duration) {
		for {
			slices.Sort(busy)
			if busy[0] > until {
				return
			}
			j, ok := q.pop(busy[0])
			if !ok {
				busy[0] = until + 1
				continue
			}
			start := max(busy[0], j.event.At())
			waits[j.event.W] = append(waits[j.event.W], (start - j.event.At()).Seconds())
			served[j.event.W]++
			busy[0] = start + j.service()
		}
	}
	for _, e := range events {
		if e.K != "" || e.T < surgeAt || e.T > surgeAt+surgeSeconds {
			continue
		}
		serve(e.At())
		sent[e.W]++
		rank := 0
		if ranked {
			rank = slices.IndexFunc(f.Workspaces, func(w Share) bool { return w.Name == e.W })
		}
		q.push(job{event: e, rank: rank})
	}
	serve((surgeAt + surgeSeconds + 60) * time.Second)
	return summarise(f, name, waits, served, sent)
}

func summarise(f Fleet, name string, waits map[string][]float64, served, sent map[string]int) Sharing {
	r := Sharing{Policy: name, WorstServed: 1}
	large := f.Workspaces[0].Name
	for _, w := range f.Workspaces {
		n := sent[w.Name]
		if n == 0 {
			continue
		}
		part := float64(served[w.Name]) / float64(n)
		if w.Name == large {
			r.LargeServed = part
			continue
		}
		all := waits[w.Name]
		for range n - served[w.Name] {
			all = append(all, shareDeadline.Seconds())
		}
		slices.Sort(all)
		r.WorstP99 = max(r.WorstP99, quantile(all, 0.99))
		r.WorstServed = min(r.WorstServed, part)
	}
	return r
}
