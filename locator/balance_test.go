package locator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/estimator"
	"oleanderstall/faker"
	"oleanderstall/tracker"
)

// serviceLoad is a simulated load of plain services. It comes from many entries, each of
// which sees a small part of the requests and learns the load of a service only from the
// answers to its own requests.
type serviceLoad struct {
	entries, services, slots int
	// rate is the number of requests per second through all entries, and serviceTime the
	// mean time that one takes.
	rate        float64
	serviceTime time.Duration
	// centres is the number of data centres over which entries and services are spread.
	centres int
	// slowService is the service that takes twice as long for a request, or -1.
	slowService int
	// states is set if the services state their own figures, so that expected times decide.
	states bool
}

// simulatedSeconds is the length of a simulation, in seconds of its own clock.
const simulatedSeconds = 60

// completion is the end of a request at a service, which the heap orders by time.
type completion struct {
	started, endsAt time.Duration
	entry, service  int
	work            *tracker.SentWork
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// chooser chooses a service for a request, from what the entry knows or from the true loads.
type chooser func(now time.Duration, l *Locator, id string, loads []int) int

// chooseByLocator sends to the service that the locator picks.
func chooseByLocator(now time.Duration, l *Locator, id string, _ []int) int {
	b := l.pick(now, &search{request: &dispatcher.Request{ID: id, Pool: "plain"}, history: &dispatcher.History{}}, 0)
	return int(b.Server().ID[1] - '0')
}

// chooseLeastLoaded sends to the service that truly has the fewest requests, for comparison.
func chooseLeastLoaded(_ time.Duration, _ *Locator, _ string, loads []int) int {
	return slices.Index(loads, slices.Min(loads))
}

// locators returns the locators of the entries.
func (sl serviceLoad) locators() []*Locator {
	entries := make([]*Locator, sl.entries)
	for i := range entries {
		entries[i] = New(fmt.Sprint("c", i%sl.centres), func() time.Duration { return 0 }, configurer.New(), newQuarantine(), noPermits{}, faker.DiscardLogger())
		for s := range sl.services {
			name := engineName(s)
			entries[i].UpdateServer(tracker.Server{ID: name, Pool: "plain", Address: name, Centre: fmt.Sprint("c", s%sl.centres), Slots: sl.slots, Started: 1}.ListedServer(1))
		}
	}
	return entries
}

// outcome is the outcome of a simulation: the times that requests waited at a service before
// they ran, sorted, the highest number of requests at one service, and the number of requests
// that were sent to another data centre.
type outcome struct {
	waits           []time.Duration
	maxLoad, remote int
}

func (o outcome) String() string {
	n := len(o.waits)
	return fmt.Sprintf("%d requests, waits p95 %v, p99 %v, max %v, highest load of a service %d, to another data centre %d",
		n, o.waits[n*95/100], o.waits[n*99/100], o.waits[n-1], o.maxLoad, o.remote)
}

// simulate runs the load with a random seed and returns the outcome.
func (sl serviceLoad) simulate(seed uint64, choose chooser) outcome {
	var result outcome
	random := rand.New(rand.NewPCG(seed, 1))
	entries := sl.locators()
	freeAt := make([][]time.Duration, sl.services)
	for s := range freeAt {
		freeAt[s] = make([]time.Duration, sl.slots)
	}
	loads := make([]int, sl.services)
	running := &completionHeap{}
	now := time.Hour
	for n := 0; now < time.Hour+simulatedSeconds*time.Second; n++ {
		now += time.Duration(random.ExpFloat64() / sl.rate * float64(time.Second))
		for running.Len() > 0 && (*running)[0].endsAt <= now {
			done := heap.Pop(running).(completion)
			loads[done.service]--
			l := entries[done.entry]
			l.fleet.EndRequest(done.endsAt, engineName(done.service), false)
			l.fleet.RecordLoad(done.endsAt, engineName(done.service), loads[done.service])
			if sl.states {
				b := l.fleet.Get(engineName(done.service))
				b.RecordPace(done.endsAt, 100)
				b.RecordWaiting(done.endsAt, max(0, loads[done.service]-sl.slots))
				done.work.RecordFirst(done.endsAt)
				done.work.End(done.endsAt)
			}
			l.fleet.Get(engineName(done.service)).RecordSaturation(done.endsAt, float64(done.endsAt-done.started)/float64(2*sl.serviceTime))
		}
		e := random.IntN(sl.entries)
		s := choose(now, entries[e], fmt.Sprint(seed, "-", n), loads)
		if s%sl.centres != e%sl.centres {
			result.remote++
		}
		work := entries[e].fleet.Get(engineName(s)).StartWork(now, estimator.Work{}, nil, tracker.Tokens{})
		entries[e].fleet.StartRequest(now, engineName(s))
		slot := slices.Index(freeAt[s], slices.Min(freeAt[s]))
		start := max(now, freeAt[s][slot])
		duration := time.Duration(float64(sl.serviceTime) * (0.5 + random.Float64()))
		if s == sl.slowService {
			duration *= 2
		}
		freeAt[s][slot] = start + duration
		heap.Push(running, completion{started: now, endsAt: start + duration, entry: e, service: s, work: work})
		loads[s]++
		result.maxLoad = max(result.maxLoad, loads[s])
		result.waits = append(result.waits, start-now)
	}
	slices.Sort(result.waits)
	return result
}

// Required outcomes: a request waits at most half of its deadline of a second, and most
// requests stay in their data centre.
const (
	maxServiceWait = 500 * time.Millisecond
	maxRemoteShare = 0.5
)

// TestManyEntriesShareServices checks that the waits stay short and most requests in their
// data centre when a hundred entries, each of which learns the load of a service only once
// every few seconds, share a few services, as well as with four entries that learn it all the
// time.
func TestManyEntriesShareServices(t *testing.T) {
	for _, c := range []struct {
		name string
		load serviceLoad
	}{
		{"light", serviceLoad{103, 5, 6, 140, 60 * time.Millisecond, 3, -1, false}},
		{"heavy", serviceLoad{103, 5, 6, 140, 150 * time.Millisecond, 3, -1, false}},
		{"one is slow", serviceLoad{103, 5, 6, 140, 120 * time.Millisecond, 3, 0, false}},
		{"few entries", serviceLoad{4, 5, 6, 140, 150 * time.Millisecond, 1, -1, false}},
		{"light, by expected time", serviceLoad{103, 5, 6, 140, 60 * time.Millisecond, 3, -1, true}},
		{"heavy, by expected time", serviceLoad{103, 5, 6, 140, 150 * time.Millisecond, 3, -1, true}},
		{"one is slow, by expected time", serviceLoad{103, 5, 6, 140, 120 * time.Millisecond, 3, 0, true}},
		{"few entries, by expected time", serviceLoad{4, 5, 6, 140, 150 * time.Millisecond, 1, -1, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				result := c.load.simulate(seed, chooseByLocator)
				best := c.load.simulate(seed, chooseLeastLoaded)
				t.Logf("seed %d: %v; with true loads %v", seed, result, best)
				assert.Assert(t, result.waits[len(result.waits)-1] <= maxServiceWait, "seed %d: %v", seed, result)
				assert.Assert(t, float64(result.remote) < maxRemoteShare*float64(len(result.waits)), "seed %d: %v", seed, result)
			}
		})
	}
}
