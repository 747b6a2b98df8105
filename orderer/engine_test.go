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

// errNoAnswer is the fake engine's lost answer.
var errNoAnswer = errors.New("no answer")

// loadTime is the duration of a load at the fake engine.
const loadTime = 700 * time.Millisecond

// fakeEngine carries out orders as the platform's engines do. Orders may be lost,
// or carried out late.
type fakeEngine struct {
	clock    *faker.Clock
	sizes    map[string]uint64
	capacity uint64
	slots    int
	born     int64
	sequence uint64
	held     map[string][]string
	// loading is the model that is being loaded until ready.
	loading string
	ready   time.Duration
	down    bool
	running int
	// fate is what becomes of the next order.
	fate fate
	late []lateOrder

	orders    []Order
	overloads int
}

type fate int

const (
	carriedOut fate = iota
	// lostAnswer orders are carried out, without an answer.
	lostAnswer
	// lostOrder orders never arrive.
	lostOrder
	// delayed orders get no answer and are carried out seconds later.
	delayed
)

type lateOrder struct {
	order Order
	at    time.Duration
}

func newFakeEngine(clock *faker.Clock) *fakeEngine {
	return &fakeEngine{
		clock: clock, sizes: map[string]uint64{"a": 60, "b": 60, "c": 70, "d": 30}, capacity: 130, slots: 2, born: 1,
		held: map[string][]string{},
	}
}

// step completes the load under way and carries out late orders.
func (e *fakeEngine) step() {
	now := e.clock.Now()
	if e.loading != "" && now >= e.ready {
		e.held[e.loading] = []string{}
		e.loading = ""
	}
	due := e.late
	e.late = nil
	for _, l := range due {
		if now >= l.at {
			e.carryOut(l.order)
		} else {
			e.late = append(e.late, l)
		}
	}
}

func (e *fakeEngine) restart() {
	e.born++
	e.sequence = 0
	e.held = map[string][]string{}
	e.loading = ""
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.step()
	if e.down {
		return Report{}, errNoAnswer
	}
	h := tracker.Inventory{Disk: []string{"a", "b", "c", "d"}}
	for m, adapters := range e.held {
		h.Models = append(h.Models, m)
		for _, a := range adapters {
			h.Models = append(h.Models, m+"/"+a)
		}
	}
	slices.Sort(h.Models)
	return Report{Started: e.born, Sequence: e.sequence, Busy: e.loading != "", Inventory: h, Running: e.running}, nil
}

func (e *fakeEngine) Order(_ context.Context, o Order) (Outcome, error) {
	e.step()
	e.orders = append(e.orders, o)
	now := e.fate
	e.fate = carriedOut
	switch now {
	case lostOrder:
		return Unknown, errNoAnswer
	case delayed:
		e.late = append(e.late, lateOrder{order: o, at: e.clock.Now() + 3*time.Second})
		return Unknown, errNoAnswer
	}
	if e.down {
		return Unknown, errNoAnswer
	}
	outcome := e.carryOut(o)
	if now == lostAnswer {
		return Unknown, errNoAnswer
	}
	return outcome, nil
}

func (e *fakeEngine) carryOut(o Order) Outcome {
	_, held := e.held[o.Model]
	switch {
	case o.Server != id(e.born):
		return Elsewhere
	case e.loading != "" || o.Sequence != e.sequence:
		return Busy
	case o.Adapter != "":
		return e.adapter(o, held)
	case (o.Op == placer.Load) == held:
		return Done
	}
	e.sequence++
	if o.Op == placer.Unload {
		delete(e.held, o.Model)
		return Accepted
	}
	e.loading, e.ready = o.Model, e.clock.Now()+loadTime
	used := e.sizes[o.Model]
	for m := range e.held {
		used += e.sizes[m]
	}
	if used > e.capacity {
		e.overloads++
	}
	return Accepted
}

func (e *fakeEngine) adapter(o Order, held bool) Outcome {
	if !held {
		return Invalid
	}
	e.sequence++
	_, name, _ := strings.Cut(o.Adapter, "/")
	kept := slices.DeleteFunc(slices.Clone(e.held[o.Model]), func(a string) bool { return a == name })
	if o.Op == placer.Load {
		kept = append(kept, name)
	}
	e.held[o.Model] = kept
	n := 0
	for _, adapters := range e.held {
		n += len(adapters)
	}
	if n > e.slots {
		e.overloads++
	}
	return Accepted
}

func id(born int64) string { return "engine-" + time.Duration(born).String() }
