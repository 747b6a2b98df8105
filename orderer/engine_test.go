package orderer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderstall/faker"
	"oleanderstall/placer"
	"oleanderstall/tracker"
)

// errNoAnswer is the fake engine's error for a lost response.
var errNoAnswer = errors.New("no answer")

// loadTime is the duration of a model load on the fake engine.
const loadTime = 700 * time.Millisecond

// fakeEngine executes orders as the platform's engines do. It can lose an order or its
// response, or execute an order late, and counts the orders that exceed its capacity.
type fakeEngine struct {
	clock    *faker.Clock
	sizes    map[string]uint64
	capacity uint64
	slots    int
	// adapterSize is the memory that each adapter takes, and adapterLoadTime the duration of its load.
	adapterSize     uint64
	adapterLoadTime time.Duration
	started         int64
	// keepID makes an engine that restarts keep its ID.
	keepID   bool
	sequence uint64
	loaded   map[string][]string
	// loading is the model that is being loaded until loadEndsAt, or empty.
	loading    string
	loadEndsAt time.Duration
	// comingAdapters holds the adapters that are being loaded, with the end of the load.
	comingAdapters map[string]time.Duration
	down           bool
	running        int
	// behind makes the engine answer a request for a report with the report before.
	behind     bool
	lastReport Report
	// nextFault is the fault that the next order meets.
	nextFault     orderFault
	delayedOrders []delayedOrder

	orders []Order
	// overloads is the number of orders after which the engine's memory or its adapter
	// slots were exceeded.
	overloads int
	// orphanedLoads is the number of unloads of a model while one of its adapters was being loaded.
	orphanedLoads int
}

// orderFault is the fault that an order meets.
type orderFault int

const (
	noFault orderFault = iota
	// answerLost makes the engine execute the order without a response.
	answerLost
	// orderLost keeps the order from reaching the engine.
	orderLost
	// orderDelayed makes the engine execute the order 3 s later without a response.
	orderDelayed
)

// delayedOrder is an order that the engine executes at dueAt.
type delayedOrder struct {
	order Order
	dueAt time.Duration
}

func newFakeEngine(clock *faker.Clock) *fakeEngine {
	return &fakeEngine{
		clock: clock, sizes: map[string]uint64{"a": 60, "b": 60, "c": 70, "d": 30}, capacity: 130, slots: 2, started: 1,
		loaded: map[string][]string{}, comingAdapters: map[string]time.Duration{},
	}
}

// advance completes the load in progress and executes the delayed orders that are due.
func (e *fakeEngine) advance() {
	now := e.clock.Now()
	if e.loading != "" && now >= e.loadEndsAt {
		e.loaded[e.loading] = []string{}
		e.loading = ""
	}
	for name, endsAt := range e.comingAdapters {
		if base, adapter, _ := strings.Cut(name, "/"); now >= endsAt {
			e.loaded[base] = append(e.loaded[base], adapter)
			delete(e.comingAdapters, name)
		}
	}
	pending := e.delayedOrders
	e.delayedOrders = nil
	for _, d := range pending {
		if now >= d.dueAt {
			e.execute(d.order)
		} else {
			e.delayedOrders = append(e.delayedOrders, d)
		}
	}
}

func (e *fakeEngine) restart() {
	e.started++
	e.sequence = 0
	e.loaded = map[string][]string{}
	e.comingAdapters = map[string]time.Duration{}
	e.loading = ""
	e.lastReport = Report{}
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.advance()
	if e.down {
		return Report{}, errNoAnswer
	}
	inventory := tracker.Inventory{Disk: []string{"a", "b", "c", "d"}}
	for m, adapters := range e.loaded {
		inventory.Models = append(inventory.Models, m)
		for _, a := range adapters {
			inventory.Models = append(inventory.Models, m+"/"+a)
		}
	}
	slices.Sort(inventory.Models)
	inventory.Loading = slices.Sorted(maps.Keys(e.comingAdapters))
	report := Report{Started: e.started, Sequence: e.sequence, Busy: e.loading != "", Inventory: inventory, Running: e.running}
	earlier := e.lastReport
	e.lastReport = report
	if e.behind && earlier.Started != 0 {
		return earlier, nil
	}
	return report, nil
}

func (e *fakeEngine) Order(_ context.Context, o Order) (Outcome, error) {
	e.advance()
	e.orders = append(e.orders, o)
	fault := e.nextFault
	e.nextFault = noFault
	switch fault {
	case orderLost:
		return Unknown, errNoAnswer
	case orderDelayed:
		e.delayedOrders = append(e.delayedOrders, delayedOrder{order: o, dueAt: e.clock.Now() + 3*time.Second})
		return Unknown, errNoAnswer
	}
	if e.down {
		return Unknown, errNoAnswer
	}
	outcome := e.execute(o)
	if fault == answerLost {
		return Unknown, errNoAnswer
	}
	return outcome, nil
}

func (e *fakeEngine) execute(o Order) Outcome {
	_, loaded := e.loaded[o.Model]
	switch {
	case o.Server != e.serverID():
		return WrongServer
	case e.loading != "" || o.Sequence != e.sequence:
		return Busy
	case o.Adapter != "":
		return e.executeAdapter(o, loaded)
	case (o.Op == placer.Load) == loaded:
		return Done
	}
	e.sequence++
	if o.Op == placer.Unload {
		for name := range e.comingAdapters {
			if strings.HasPrefix(name, o.Model+"/") {
				e.orphanedLoads++
			}
		}
		delete(e.loaded, o.Model)
		return Accepted
	}
	e.loading, e.loadEndsAt = o.Model, e.clock.Now()+loadTime
	e.countOverload()
	return Accepted
}

// countOverload counts an order to load that exceeds the memory or the adapter slots.
func (e *fakeEngine) countOverload() {
	used, adapters := e.sizes[e.loading], len(e.comingAdapters)
	for m, list := range e.loaded {
		used += e.sizes[m]
		adapters += len(list)
	}
	if used+uint64(adapters)*e.adapterSize > e.capacity || adapters > e.slots {
		e.overloads++
	}
}

func (e *fakeEngine) executeAdapter(o Order, loaded bool) Outcome {
	if !loaded {
		return Invalid
	}
	_, name, _ := strings.Cut(o.Adapter, "/")
	_, coming := e.comingAdapters[o.Adapter]
	if o.Op == placer.Load && (coming || slices.Contains(e.loaded[o.Model], name)) {
		return Done
	}
	e.sequence++
	if o.Op == placer.Unload {
		e.loaded[o.Model] = slices.DeleteFunc(slices.Clone(e.loaded[o.Model]), func(a string) bool { return a == name })
		return Done
	}
	if e.adapterLoadTime > 0 {
		e.comingAdapters[o.Adapter] = e.clock.Now() + e.adapterLoadTime
	} else {
		e.loaded[o.Model] = append(slices.Clone(e.loaded[o.Model]), name)
	}
	e.countOverload()
	return Accepted
}

// serverID returns the ID of the engine's process.
func (e *fakeEngine) serverID() string {
	if e.keepID {
		return serverID(0)
	}
	return serverID(e.started)
}

func serverID(started int64) string { return "engine-" + time.Duration(started).String() }
