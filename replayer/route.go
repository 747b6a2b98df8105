package replayer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"oleanderstall/router"
)

// Sizes of the routing replay: 600 replicas at 70% load behind 50 entries.
const (
	routeReplicas = 600
	routeEntries  = 50
	routeRate     = 4500
	routeSeconds  = 20
	routeLoad     = 0.7
	// routeSubset is the number of replicas that an entry sends to.
	routeSubset = 24
)

// Routing is what one routing policy gives.
type Routing struct {
	Policy string `json:"policy"`
	// Worst is the longest queue seen, Mean the mean wait in milliseconds.
	Worst int     `json:"worst_queue"`
	Mean  float64 `json:"mean_wait_ms"`
	P99   float64 `json:"p99_wait_ms"`
}

// leaveAt is the end of one request at a replica, the target of that index at an
// entry.
type leaveAt struct {
	at      float64
	replica int
	entry   int
	target  int
}

type leaves []leaveAt

func (l leaves) Len() int           { return len(l) }
func (l leaves) Less(i, j int) bool { return l[i].at < l[j].at }
func (l leaves) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push appends x, a leaveAt, for container/heap.
func (l *leaves) Push(x any) { *l = append(*l, x.(leaveAt)) }

// Pop removes the last element, for container/heap.
func (l *leaves) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

// routing replays one policy.
type routing struct {
	random  *rand.Rand
	queue   []int
	free    []float64
	targets [][]router.Target
	homes   [][]int
	reports []int
	heap    leaves
}

// ReplayRouting compares routing policies on requests drawn from a seed.
func ReplayRouting(seed uint64) []Routing {
	list := []Routing{
		replayRouting(seed, "two choices of a subset of 24", routeSubset, 0, chooseTwo),
		replayRouting(seed, "random", routeReplicas, 0, chooseRandom),
		replayRouting(seed, "two choices of all", routeReplicas, 0, chooseTwo),
	}
	for _, age := range []float64{0.1, 1, 5} {
		name := "least reported, reports every " + time.Duration(age*float64(time.Second)).String()
		list = append(list, replayRouting(seed, name, routeReplicas, age, chooseLeast))
	}
	return list
}

type chooser func(r *routing, pick *router.Router, now float64, entry int) int

func chooseTwo(r *routing, pick *router.Router, now float64, entry int) int {
	return pick.Pick(time.Duration(now*float64(time.Second)), r.targets[entry], 0)
}

func chooseRandom(r *routing, _ *router.Router, _ float64, _ int) int {
	return r.random.IntN(routeReplicas)
}

func chooseLeast(r *routing, _ *router.Router, _ float64, _ int) int {
	best := r.random.IntN(routeReplicas)
	for i, q := range r.reports {
		if q < r.reports[best] {
			best = i
		}
	}
	return best
}

func replayRouting(seed uint64, name string, subset int, age float64, choose chooser) Routing {
	r := &routing{
		random:  rand.New(rand.NewPCG(seed, 3)),
		queue:   make([]int, routeReplicas),
		free:    make([]float64, routeReplicas),
		reports: make([]int, routeReplicas),
	}
	pick := router.New(seed)
	r.know(subset)
	result := Routing{Policy: name}
	var waits []float64
	reported := 0.0
	for now := 0.0; now < routeSeconds; now += r.random.ExpFloat64() / routeRate {
		r.finish(now)
		if age > 0 && now >= reported+age {
			reported = now
			copy(r.reports, r.queue)
		}
		entry := r.random.IntN(routeEntries)
		target := choose(r, pick, now, entry)
		i := r.homes[entry][target]
		waits = append(waits, 1000*r.enter(now, entry, target))
		result.Worst = max(result.Worst, r.queue[i])
	}
	for _, w := range waits {
		result.Mean += w / float64(len(waits))
	}
	result.P99 = quantile(sortedCopy(waits), 0.99)
	return result
}

// know gives each entry its targets.
func (r *routing) know(subset int) {
	names := make([]string, routeReplicas)
	for i := range names {
		names[i] = ModelName(i)
	}
	for entry := range routeEntries {
		targets, homes := []router.Target{}, []int{}
		for _, name := range router.Subset(names, entry, subset) {
			targets = append(targets, router.Target{Name: name})
			homes = append(homes, modelIndex(name))
		}
		r.targets, r.homes = append(r.targets, targets), append(r.homes, homes)
	}
}

// enter queues a request at an entry's target and returns its wait in seconds.
func (r *routing) enter(now float64, entry, target int) float64 {
	i := r.homes[entry][target]
	mean := routeLoad * routeReplicas / routeRate
	start := max(now, r.free[i])
	r.free[i] = start + mean*r.random.ExpFloat64()
	r.queue[i]++
	r.targets[entry][target].Inflight++
	heap.Push(&r.heap, leaveAt{at: r.free[i], replica: i, entry: entry, target: target})
	return start - now
}

// finish ends the requests that are done by now. Each answer reports the queue.
func (r *routing) finish(now float64) {
	for len(r.heap) > 0 && r.heap[0].at <= now {
		x := heap.Pop(&r.heap).(leaveAt)
		r.queue[x.replica]--
		t := &r.targets[x.entry][x.target]
		t.Inflight--
		t.Queue = r.queue[x.replica]
		t.At = time.Duration(x.at * float64(time.Second))
	}
}
