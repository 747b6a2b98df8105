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
)

// Routing is what one routing policy gives.
type Routing struct {
	Policy string `json:"policy"`
	// Worst is the longest queue seen, Mean the mean wait in milliseconds.
	Worst int     `json:"worst_queue"`
	Mean  float64 `json:"mean_wait_ms"`
	P99   float64 `json:"p99_wait_ms"`
}

// leaveAt is the end of one request at a replica.
type leaveAt struct {
	at      float64
	replica int
	entry   int
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
	reports []int
	heap    leaves
}

// ReplayRouting compares routing policies on requests drawn from a seed.
func ReplayRouting(seed uint64) []Routing {
	list := []Routing{
		replayRouting(seed, "two choices, own counts and queue with each answer", 0, chooseTwo),
		replayRouting(seed, "random", 0, chooseRandom),
	}
	for _, age := range []float64{0.1, 1, 5} {
		name := "least reported, reports every " + time.Duration(age*float64(time.Second)).String()
		list = append(list, replayRouting(seed, name, age, chooseLeast))
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

func replayRouting(seed uint64, name string, age float64, choose chooser) Routing {
	r := &routing{
		random:  rand.New(rand.NewPCG(seed, 3)),
		queue:   make([]int, routeReplicas),
		free:    make([]float64, routeReplicas),
		reports: make([]int, routeReplicas),
	}
	pick := router.New(seed)
	for range routeEntries {
		targets := make([]router.Target, routeReplicas)
		for i := range targets {
			targets[i].Name = ModelName(i)
		}
		r.targets = append(r.targets, targets)
	}
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
		i := choose(r, pick, now, entry)
		waits = append(waits, 1000*r.enter(now, entry, i))
		result.Worst = max(result.Worst, r.queue[i])
	}
	for _, w := range waits {
		result.Mean += w / float64(len(waits))
	}
	result.P99 = quantile(sortedCopy(waits), 0.99)
	return result
}

// enter queues a request at a replica and returns its wait in seconds.
func (r *routing) enter(now float64, entry, i int) float64 {
	mean := routeLoad * routeReplicas / routeRate
	start := max(now, r.free[i])
	r.free[i] = start + mean*r.random.ExpFloat64()
	r.queue[i]++
	r.targets[entry][i].Inflight++
	heap.Push(&r.heap, leaveAt{at: r.free[i], replica: i, entry: entry})
	return start - now
}

// finish ends the requests that are done by now. Each answer reports the queue.
func (r *routing) finish(now float64) {
	for len(r.heap) > 0 && r.heap[0].at <= now {
		x := heap.Pop(&r.heap).(leaveAt)
		r.queue[x.replica]--
		t := &r.targets[x.entry][x.replica]
		t.Inflight--
		t.Queue = r.queue[x.replica]
		t.At = time.Duration(x.at * float64(time.Second))
	}
}
