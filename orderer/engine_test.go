package orderer

import (
	"context"
	"errors"
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
	started  int64
	sequence uint64
	loaded   map[string][]string
	// loading is the model that is being loaded until loadEndsAt, or empty.
	loading    string
	loadEndsAt time.Duration
	down       bool
	running    int
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
		loaded: map[string][]string{},
	}
}

// advance completes the load in progress and executes the delayed orders that are due.
func (e *fakeEngine) advance() {
	now := e.clock.Now()
	if e.loading != "" && now >= e.loadEndsAt {
		e.loaded[e.loading] = []string{}
		e.loading = ""
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
	case o.Server != serverID(e.started):
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
		delete(e.loaded, o.Model)
		return Accepted
	}
	e.loading, e.loadEndsAt = o.Model, e.clock.Now()+loadTime
	used := e.sizes[o.Model]
	for m := range e.loaded {
		used += e.sizes[m]
	}
	if used > e.capacity {
		e.overloads++
	}
	return Accepted
}

func (e *fakeEngine) executeAdapter(o Order, loaded bool) Outcome {
	if !loaded {
		return Invalid
	}
	e.sequence++
	_, name, _ := strings.Cut(o.Adapter, "/")
	kept := slices.DeleteFunc(slices.Clone(e.loaded[o.Model]), func(a string) bool { return a == name })
	if o.Op == placer.Load {
		kept = append(kept, name)
	}
	e.loaded[o.Model] = kept
	total := 0
	for _, adapters := range e.loaded {
		total += len(adapters)
	}
	if total > e.slots {
		e.overloads++
	}
	return Accepted
}

func serverID(started int64) string { return "engine-" + time.Duration(started).String() }
