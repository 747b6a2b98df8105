package replayer

import (
	"slices"
	"time"

	"oleanderstall/queuer"
)

// Parameters of the engine that the workspaces share.
const (
	engineSlots    = 2
	requestTimeout = 30 * time.Second
)

// SharingResult holds how one queue policy serves the workspaces during the surge of the
// largest one.
type SharingResult struct {
	Policy string `json:"policy"`
	// WorstP99 is the highest p99 wait of any workspace except the surging one, in
	// seconds. A request that expired counts with its whole timeout.
	WorstP99 float64 `json:"worst_p99_wait_seconds"`
	// WorstServed is the lowest ratio of served to sent requests of any workspace
	// except the surging one.
	WorstServed float64 `json:"worst_served"`
	// LargeServed is that ratio of the surging workspace.
	LargeServed float64 `json:"large_served"`
}

// job is a request at the engine. Jobs of a lower rank go first in a rankedQueue.
type job struct {
	event Event
	rank  int
}

func (j job) serviceTime() time.Duration {
	return 200*time.Millisecond + time.Duration(j.event.OutputTokens)*20*time.Millisecond
}

// requestQueue is a queue of jobs under one policy. pop drops expired jobs, and
// reports false if none is left.
type requestQueue interface {
	push(j job)
	pop(now time.Duration) (job, bool)
}

// fairQueue is the weighted fair queue that the sidecar uses.
type fairQueue struct{ queue *queuer.Queue[job] }

func (f *fairQueue) push(j job) {
	f.queue.Push(queuer.Item[job]{
		Workspace: j.event.Workspace, Weight: 1, Cost: float64(j.event.PromptTokens + j.event.OutputTokens),
		Deadline: j.event.At() + requestTimeout, Value: j,
	})
}

func (f *fairQueue) pop(now time.Duration) (job, bool) {
	f.queue.Expire(now, 0)
	item, ok := f.queue.Pop()
	return item.Value, ok
}

// rankedQueue serves jobs by rank and then by arrival. With equal ranks it is FIFO.
type rankedQueue struct{ jobs []job }

func (s *rankedQueue) push(j job) { s.jobs = append(s.jobs, j) }

func (s *rankedQueue) pop(now time.Duration) (job, bool) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j job) bool { return now >= j.event.At()+requestTimeout })
	first := -1
	for i, j := range s.jobs {
		if first < 0 || j.rank < s.jobs[first].rank {
			first = i
		}
	}
	if first < 0 {
		return job{}, false
	}
	j := s.jobs[first]
	s.jobs = slices.Delete(s.jobs, first, first+1)
	return j, true
}

// ReplaySharing compares queue policies on one engine during the surge of a trace.
// Tests rely on the order of the results.
func ReplaySharing(f Fleet, events []Event) []SharingResult {
	return []SharingResult{
		replaySharing(f, events, "fair by weight, deadlines inside", &fairQueue{queue: queuer.New[job](1 << 20)}, false),
		replaySharing(f, events, "FIFO", &rankedQueue{}, false),
		replaySharing(f, events, "priority to the largest", &rankedQueue{}, true),
	}
}

// replaySharing replays one policy. With ranked, a job's rank is the index of its
// workspace in the fleet, so that the largest workspace goes first.
func replaySharing(f Fleet, events []Event, name string, queue requestQueue, ranked bool) SharingResult {
	waits := map[string][]float64{}
	served := map[string]int{}
	sent := map[string]int{}
	slotsFreeAt := make([]time.Duration, engineSlots)
	serveUntil := func(until time.Duration) {
		for {
			slices.Sort(slotsFreeAt)
			if slotsFreeAt[0] > until {
				return
			}
			j, ok := queue.pop(slotsFreeAt[0])
			if !ok {
				slotsFreeAt[0] = until + 1
				continue
			}
			start := max(slotsFreeAt[0], j.event.At())
			waits[j.event.Workspace] = append(waits[j.event.Workspace], (start - j.event.At()).Seconds())
			served[j.event.Workspace]++
			slotsFreeAt[0] = start + j.serviceTime()
		}
	}
	for _, e := range events {
		if e.Kind != "" || e.Time < surgeAt || e.Time > surgeAt+surgeSeconds {
			continue
		}
		serveUntil(e.At())
		sent[e.Workspace]++
		rank := 0
		if ranked {
			rank = slices.IndexFunc(f.Workspaces, func(w WorkspaceShare) bool { return w.Name == e.Workspace })
		}
		queue.push(job{event: e, rank: rank})
	}
	serveUntil((surgeAt + surgeSeconds + 60) * time.Second)
	return summarizeSharing(f, name, waits, served, sent)
}

func summarizeSharing(f Fleet, name string, waits map[string][]float64, served, sent map[string]int) SharingResult {
	result := SharingResult{Policy: name, WorstServed: 1}
	largest := f.Workspaces[0].Name
	for _, w := range f.Workspaces {
		requests := sent[w.Name]
		if requests == 0 {
			continue
		}
		servedRatio := float64(served[w.Name]) / float64(requests)
		if w.Name == largest {
			result.LargeServed = servedRatio
			continue
		}
		workspaceWaits := waits[w.Name]
		for range requests - served[w.Name] {
			workspaceWaits = append(workspaceWaits, requestTimeout.Seconds())
		}
		slices.Sort(workspaceWaits)
		result.WorstP99 = max(result.WorstP99, quantile(workspaceWaits, 0.99))
		result.WorstServed = min(result.WorstServed, servedRatio)
	}
	return result
}
