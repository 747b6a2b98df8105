package locator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/relayer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Times of the decisions about loads that tests wait for.
const (
	turnDelay   = 300 * time.Millisecond
	movePeriod  = 100 * time.Millisecond
	growthDelay = 100 * time.Millisecond
	// pumpPeriod is between two exchanges with the relay.
	pumpPeriod = 50 * time.Millisecond
)

// rig is a locator linked to a relay, before engines that the test speaks for.
type rig struct {
	t       *testing.T
	locator *Locator
	board   *relayer.FleetState
	clock   func() time.Duration
	copy    *configurer.Configurer
	number  int
	rows    uint64
	// entry is the link of the locator's entry, others that of all other entries, and
	// engines are those of the sidecars, by number.
	entry   uint64
	others  uint64
	engines map[int]*sidecar
	// rates are the requests a second through other entries, by model.
	rates map[string]float64
	first bool
	// mu guards the relay and what follows from it.
	mu sync.Mutex
}

// sidecar is one sidecar's link.
type sidecar struct {
	link   uint64
	number uint64
	silent bool
	tell   *wire.Assignment
}

func newRig(t *testing.T, engines int) *rig {
	begun := time.Now()
	r := &rig{
		t: t, clock: func() time.Duration { return time.Hour + time.Since(begun) }, copy: configurer.New(),
		engines: map[int]*sidecar{}, rates: map[string]float64{}, first: true,
	}
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 32}}}}
	for _, name := range []string{"m", "n", "o"} {
		change.Models = append(change.Models, &wire.Model{Name: name, Pool: "p", Bytes: 40, Remote: 6000, Disk: 800, Memory: 400})
		change.Models = append(change.Models, &wire.Model{Name: name + "/a1", Base: name, Pool: "p"})
	}
	r.copy.Restore(change)
	l := faker.Silent()
	r.locator = New("z", r.clock, r.copy, l)
	r.board = relayer.NewFleetState("relay", "z", r.copy, l)
	r.entry = r.board.Join(r.clock(), &wire.Link{Name: "entry", Role: relayer.Entry, Centre: "z"})
	r.others = r.board.Join(r.clock(), &wire.Link{Name: "others", Role: relayer.Entry, Centre: "z"})
	r.list(engines)
	for i := range engines {
		r.state(i, nil)
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go r.pump(done)
	return r
}

// pump exchanges reports and batches until done is closed.
func (r *rig) pump(done <-chan struct{}) {
	tick := time.NewTicker(pumpPeriod)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			r.report(r.others, &wire.Report{Arrivals: r.arrivals()})
			r.sync()
		}
	}
}

// report reports to the relay.
func (r *rig) report(link uint64, report *wire.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.Report(r.clock(), link, report)
}

// sync carries the locator's report to the relay and the answer back, twice, so that
// what follows from the report is known.
func (r *rig) sync() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2 {
		now := r.clock()
		report := &wire.Report{}
		r.locator.Report(now, r.first, report)
		for name := range report.GetArrivals() {
			// What the test's own requests add to the rates is left out.
			report.Arrivals[name] = 0
		}
		r.board.Report(now, r.entry, report)
		r.board.Report(now, r.others, &wire.Report{})
		for _, e := range r.engines {
			if !e.silent {
				r.board.Report(now, e.link, &wire.Report{})
			}
		}
		r.board.Tick(now)
		r.board.Due(now)
		r.locator.Receive(now, r.board.Batch(now, r.entry), r.first)
		for _, e := range r.engines {
			if t := r.board.Batch(now, e.link); t.GetTell() != nil {
				e.tell = t.GetTell()
			}
		}
		r.first = false
	}
}

// arrivals are the requests through other entries in a period.
func (r *rig) arrivals() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for name, rate := range r.rates {
		out[name] = rate * pumpPeriod.Seconds()
	}
	return out
}

// rate lets other entries get that many requests a second for a model, as they have for
// long.
func (r *rig) rate(model string, rate float64) {
	const measured = 4
	r.mu.Lock()
	r.rates[model] = rate
	r.mu.Unlock()
	r.report(r.others, &wire.Report{Arrivals: map[string]float64{model: measured * rate}})
}

// list lists the first engines.
func (r *rig) list(engines int) {
	for i := range engines {
		r.item(tracker.Server{ID: engine(i), Pool: "p", Address: engine(i), Centre: "z", Slots: 32, Started: 1})
	}
}

// item lists a server, for the locator and for the relay.
func (r *rig) item(s tracker.Server) {
	r.rows++
	it := s.ListedServer(r.rows)
	r.locator.UpdateServer(it)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.UpdateServers(r.clock(), []*wire.ListedServer{it})
}

// drop takes a server off the list.
func (r *rig) drop(id string) {
	r.rows++
	it := &wire.ListedServer{Id: id, Row: r.rows, Gone: true}
	r.locator.UpdateServer(it)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.UpdateServers(r.clock(), []*wire.ListedServer{it})
}

func engine(i int) string { return fmt.Sprint("e", i) }

// state is a sidecar's word: the engine serves those models, and has all models on
// its disk.
func (r *rig) state(i int, change func(*wire.EngineStatus), models ...string) {
	link, number := r.sidecar(i)
	s := &wire.EngineStatus{Server: engine(i), Born: 1, Started: 1, Number: number, Free: 100, Models: models, Disk: []string{"m", "n", "o"}}
	for _, m := range models {
		s.Free -= 40
		s.Residents = append(s.Residents, &wire.Resident{Model: m, Bytes: 40})
	}
	if change != nil {
		change(s)
	}
	r.report(link, &wire.Report{Condition: s})
	r.sync()
}

// sidecar links an engine's sidecar and returns its link and the number of its next
// word.
func (r *rig) sidecar(i int) (link, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[i]
	if e == nil {
		e = &sidecar{link: r.board.Join(r.clock(), &wire.Link{Name: fmt.Sprint("sidecar ", i), Role: relayer.Sidecar, Centre: "z"})}
		r.engines[i] = e
	}
	e.number++
	return e.link, e.number
}

func (r *rig) request(model string, deadline time.Duration) *dispatcher.Request {
	r.number++
	now := r.clock()
	return &dispatcher.Request{
		ID: fmt.Sprint(r.number), Pool: "p", Model: model, Started: now, Goal: now + 400*time.Millisecond, Deadline: now + deadline,
		First: now + deadline,
		Gap:   250 * time.Millisecond, Input: 800,
	}
}

// found is the outcome of a search.
type found struct {
	place *dispatcher.Reservation
	err   error
	at    time.Duration
}

// find looks for a place in a task of its own.
func (r *rig) find(ctx context.Context, q *dispatcher.Request) <-chan found {
	out := make(chan found, 1)
	go func() {
		p, err := r.locator.Find(ctx, q, &dispatcher.History{Tried: map[string]bool{}})
		out <- found{p, err, r.clock()}
	}()
	synctest.Wait()
	r.sync()
	synctest.Wait()
	return out
}

// wants returns what the sidecar of an engine is told to load.
func (r *rig) wants(i int) []string {
	synctest.Wait()
	r.sync()
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	if e := r.engines[i]; e != nil {
		for _, w := range e.tell.GetWants() {
			names = append(names, w.GetModel())
		}
	}
	return names
}

// count is the number of requests for which an engine is told to load its first model.
func (r *rig) count(i int) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[i].tell.GetWants()[0].GetCount()
}

// silence makes the sidecar of an engine fall silent.
func (r *rig) silence(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[i].silent = true
}

// wanted returns the engine that is told to load a model, or -1.
func (r *rig) wanted(model string, engines int) int {
	for i := range engines {
		if slices.Contains(r.wants(i), model) {
			return i
		}
	}
	return -1
}
