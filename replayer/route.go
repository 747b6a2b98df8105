package replayer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"oleanderstall/router"
)

// Parameters of the routing replay: 600 replicas at 70% load behind 50 entries.
const (
	routingReplicas   = 600
	routingEntries    = 50
	requestsPerSecond = 4500
	routingSeconds    = 20
	replicaLoad       = 0.7
	// subsetSize is the number of replicas to which one entry sends requests.
	subsetSize = 24
)

// RoutingResult holds the waiting times and queue lengths under one routing policy.
type RoutingResult struct {
	Policy string `json:"policy"`
	// LongestQueue is the most requests that one replica had at once. MeanWait and P99Wait
	// describe the time that requests waited in queues, in milliseconds.
	LongestQueue int     `json:"worst_queue"`
	MeanWait     float64 `json:"mean_wait_ms"`
	P99Wait      float64 `json:"p99_wait_ms"`
}

// completion is the end of a request at a replica. The entry that sent it knows the
// replica as the target of that index.
type completion struct {
	at      float64
	replica int
	entry   int
	target  int
}

// completionHeap is a min-heap of completions by time.
type completionHeap []completion

func (l completionHeap) Len() int           { return len(l) }
func (l completionHeap) Less(i, j int) bool { return l[i].at < l[j].at }
func (l completionHeap) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push appends x, a completion, for container/heap.
func (l *completionHeap) Push(x any) { *l = append(*l, x.(completion)) }

// Pop removes the last element, for container/heap.
func (l *completionHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// routingReplay is the state of one routing policy during a replay. Times are in
// seconds.
type routingReplay struct {
	random *rand.Rand
	// queueLengths and freeAt hold the number of requests at each replica, running
	// and waiting, and the time at which it will have finished them.
	queueLengths []int
	freeAt       []float64
	// targets holds the targets of each entry, targetReplicas the replica behind each
	// of them.
	targets        [][]router.Target
	targetReplicas [][]int
	// reportedQueues are the queue lengths at the last report.
	reportedQueues []int
	completions    completionHeap
}

// ReplayRouting compares routing policies on random requests that are drawn from a
// seed, not taken from a trace. Tests rely on the order of the first two results.
func ReplayRouting(seed uint64) []RoutingResult {
	results := []RoutingResult{
		replayRouting(seed, "two choices of a subset of 24", subsetSize, 0, pickOfTwo),
		replayRouting(seed, "random", routingReplicas, 0, pickRandom),
		replayRouting(seed, "two choices of all", routingReplicas, 0, pickOfTwo),
	}
	for _, reportInterval := range []float64{0.1, 1, 5} {
		name := "least reported, reports every " + time.Duration(reportInterval*float64(time.Second)).String()
		results = append(results, replayRouting(seed, name, routingReplicas, reportInterval, pickLeastReported))
	}
	return results
}

// routingPolicy returns the index of the target to which an entry sends a request.
type routingPolicy func(r *routingReplay, picker *router.Router, now float64, entry int) int

// pickOfTwo is the router's policy, which compares two random targets of the entry.
func pickOfTwo(r *routingReplay, picker *router.Router, now float64, entry int) int {
	return picker.Pick(time.Duration(now*float64(time.Second)), r.targets[entry], 0)
}

func pickRandom(r *routingReplay, _ *router.Router, _ float64, _ int) int {
	return r.random.IntN(routingReplicas)
}

// pickLeastReported picks a replica with the shortest queue at the last report.
func pickLeastReported(r *routingReplay, _ *router.Router, _ float64, _ int) int {
	best := r.random.IntN(routingReplicas)
	for i, q := range r.reportedQueues {
		if q < r.reportedQueues[best] {
			best = i
		}
	}
	return best
}

// replayRouting replays one policy. Queue lengths are reported every reportInterval
// seconds, or never if that is 0.
func replayRouting(seed uint64, name string, subsetSize int, reportInterval float64, policy routingPolicy) RoutingResult {
	r := &routingReplay{
		random:         rand.New(rand.NewPCG(seed, 3)),
		queueLengths:   make([]int, routingReplicas),
		freeAt:         make([]float64, routingReplicas),
		reportedQueues: make([]int, routingReplicas),
	}
	picker := router.New(seed)
	r.assignTargets(subsetSize)
	result := RoutingResult{Policy: name}
	var waits []float64
	lastReport := 0.0
	for now := 0.0; now < routingSeconds; now += r.random.ExpFloat64() / requestsPerSecond {
		r.completeUntil(now)
		if reportInterval > 0 && now >= lastReport+reportInterval {
			lastReport = now
			copy(r.reportedQueues, r.queueLengths)
		}
		entry := r.random.IntN(routingEntries)
		target := policy(r, picker, now, entry)
		replica := r.targetReplicas[entry][target]
		waits = append(waits, 1000*r.enqueue(now, entry, target))
		result.LongestQueue = max(result.LongestQueue, r.queueLengths[replica])
	}
	for _, w := range waits {
		result.MeanWait += w / float64(len(waits))
	}
	result.P99Wait = quantile(sortedCopy(waits), 0.99)
	return result
}

// assignTargets sets the targets of each entry, subsetSize replicas for each.
func (r *routingReplay) assignTargets(subsetSize int) {
	names := make([]string, routingReplicas)
	for i := range names {
		names[i] = ModelName(i)
	}
	for entry := range routingEntries {
		targets, replicas := []router.Target{}, []int{}
		for _, name := range router.Subset(names, entry, subsetSize) {
			targets = append(targets, router.Target{Name: name})
			replicas = append(replicas, modelIndex(name))
		}
		r.targets, r.targetReplicas = append(r.targets, targets), append(r.targetReplicas, replicas)
	}
}

// enqueue adds a request to the queue of an entry's target and returns how long it
// will wait, in seconds. Service times are exponentially distributed.
func (r *routingReplay) enqueue(now float64, entry, target int) float64 {
	replica := r.targetReplicas[entry][target]
	meanServiceTime := replicaLoad * routingReplicas / requestsPerSecond
	start := max(now, r.freeAt[replica])
	r.freeAt[replica] = start + meanServiceTime*r.random.ExpFloat64()
	r.queueLengths[replica]++
	r.targets[entry][target].Inflight++
	heap.Push(&r.completions, completion{at: r.freeAt[replica], replica: replica, entry: entry, target: target})
	return start - now
}

// completeUntil ends the requests that finish by now. Each answer reports the queue
// length of its replica to the entry that sent the request.
func (r *routingReplay) completeUntil(now float64) {
	for len(r.completions) > 0 && r.completions[0].at <= now {
		done := heap.Pop(&r.completions).(completion)
		r.queueLengths[done.replica]--
		target := &r.targets[done.entry][done.target]
		target.Inflight--
		target.QueueLength = r.queueLengths[done.replica]
		target.ReportedAt = time.Duration(done.at * float64(time.Second))
	}
}
