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
	"oleanderstall/faker"
	"oleanderstall/tracker"
)

// herd is a load of plain services from many entries, of which each sees a hundredth
// of the requests and hears of a service only with its own answers.
type herd struct {
	entries, services, places int
	// rate is that of all requests a second, work the time that one takes.
	rate float64
	work time.Duration
	// centres is the number of data centres, over which entries and services are spread.
	centres int
	// slow is the service that works at half of the speed, or -1.
	slow int
}

// herdSeconds is the length of a play, in seconds of its own clock.
const herdSeconds = 60

// done is the end of a request at a service.
type done struct {
	begun, at      time.Duration
	entry, service int
}

type ends []done

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(done)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// choice picks a service for a request, by the loads in truth or by what the entry knows.
type choice func(now time.Duration, l *Locator, id string, loads []int) int

// byEntry is the choice in use.
func byEntry(now time.Duration, l *Locator, id string, _ []int) int {
	b := l.pick(now, &dispatcher.Request{ID: id, Pool: "plain"}, &dispatcher.History{})
	return int(b.Server().ID[1] - '0')
}

// byTruth sends to the service with the fewest requests, as one that knew all would.
func byTruth(_ time.Duration, _ *Locator, _ string, loads []int) int {
	return slices.Index(loads, slices.Min(loads))
}

// locators are those of the entries.
func (h herd) locators() []*Locator {
	entries := make([]*Locator, h.entries)
	for i := range entries {
		entries[i] = New(fmt.Sprint("c", i%h.centres), func() time.Duration { return 0 }, configurer.New(), faker.Silent())
		for s := range h.services {
			name := engine(s)
			entries[i].UpdateServer(tracker.Server{ID: name, Pool: "plain", Address: name, Centre: fmt.Sprint("c", s%h.centres), Slots: h.places, Started: 1}.ListedServer(1))
		}
	}
	return entries
}

// played is what came of a play: the waits before the work of each request, sorted, the
// most requests at one service, and the requests to another data centre.
type played struct {
	waits     []time.Duration
	most, far int
}

func (p played) String() string {
	n := len(p.waits)
	return fmt.Sprintf("%d requests, waits p95 %v, p99 %v, most %v, at once at one service %d, far %d",
		n, p.waits[n*95/100], p.waits[n*99/100], p.waits[n-1], p.most, p.far)
}

// play plays the load.
func (h herd) play(seed uint64, choose choice) played {
	var p played
	random := rand.New(rand.NewPCG(seed, 1))
	entries := h.locators()
	free := make([][]time.Duration, h.services)
	for s := range free {
		free[s] = make([]time.Duration, h.places)
	}
	loads := make([]int, h.services)
	under := &ends{}
	now := time.Hour
	for n := 0; now < time.Hour+herdSeconds*time.Second; n++ {
		now += time.Duration(random.ExpFloat64() / h.rate * float64(time.Second))
		for under.Len() > 0 && (*under)[0].at <= now {
			d := heap.Pop(under).(done)
			loads[d.service]--
			l := entries[d.entry]
			l.fleet.EndRequest(d.at, engine(d.service), false)
			l.fleet.RecordLoad(d.at, engine(d.service), loads[d.service])
			l.fleet.Get(engine(d.service)).RecordSaturation(d.at, float64(d.at-d.begun)/float64(2*h.work))
		}
		e := random.IntN(h.entries)
		s := choose(now, entries[e], fmt.Sprint(seed, "-", n), loads)
		if s%h.centres != e%h.centres {
			p.far++
		}
		entries[e].fleet.StartRequest(now, engine(s))
		place := slices.Index(free[s], slices.Min(free[s]))
		begin := max(now, free[s][place])
		work := time.Duration(float64(h.work) * (0.5 + random.Float64()))
		if s == h.slow {
			work *= 2
		}
		free[s][place] = begin + work
		heap.Push(under, done{begun: now, at: begin + work, entry: e, service: s})
		loads[s]++
		p.most = max(p.most, loads[s])
		p.waits = append(p.waits, begin-now)
	}
	slices.Sort(p.waits)
	return p
}

// The outcomes that are to hold: a request waits for a half of its deadline of a second
// at most, and most requests stay in their data centre.
const (
	herdWait = 500 * time.Millisecond
	herdFar  = 0.5
)

// TestHerd lets a hundred entries, of which each hears of a service once in seconds,
// share a few of them, as well as four entries that hear of them all the time.
func TestHerd(t *testing.T) {
	for _, c := range []struct {
		name string
		load herd
	}{
		{"light", herd{103, 5, 6, 140, 60 * time.Millisecond, 3, -1}},
		{"heavy", herd{103, 5, 6, 140, 150 * time.Millisecond, 3, -1}},
		{"one is slow", herd{103, 5, 6, 140, 120 * time.Millisecond, 3, 0}},
		{"few entries", herd{4, 5, 6, 140, 150 * time.Millisecond, 1, -1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				p := c.load.play(seed, byEntry)
				best := c.load.play(seed, byTruth)
				t.Logf("seed %d: %v; by truth %v", seed, p, best)
				assert.Assert(t, p.waits[len(p.waits)-1] <= herdWait, "seed %d: %v", seed, p)
				assert.Assert(t, float64(p.far) < herdFar*float64(len(p.waits)), "seed %d: %v", seed, p)
			}
		})
	}
}
