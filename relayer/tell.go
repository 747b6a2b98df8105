package relayer

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// order is what an engine is to load for the requests that wait.
type order struct {
	count uint32
	worth float64
	goal  time.Duration
	since time.Duration
}

// orderOf decodes an order, which is none if nobody waits.
func orderOf(now time.Duration, w *wire.LoadRequest) (order, bool) {
	o := order{
		count: w.GetCount(),
		worth: w.GetWorth(),
		goal:  now + time.Duration(w.GetGoal())*time.Millisecond,
		since: now - timer.FromMillis(w.GetAge()),
	}
	return o, o.count > 0 || o.worth > 0
}

// want is the message for an order.
func (o order) want(now time.Duration, key pair) *wire.LoadRequest {
	return &wire.LoadRequest{
		Server: key.server,
		Model:  key.model,
		Count:  o.count,
		Worth:  o.worth,
		Goal:   int32(min(math.MaxInt32, (o.goal - now).Milliseconds())),
		Age:    timer.ToMillis(now - o.since),
	}
}

// add adds an order of another relay for the same model.
func (o order) add(p order) order {
	return order{count: o.count + p.count, worth: o.worth + p.worth, goal: min(o.goal, p.goal), since: min(o.since, p.since)}
}

// demand is the use of a model at an engine.
type demand struct {
	inflight uint32
	rate     float64
	copies   uint32
}

// told is what a sidecar was told.
type told struct {
	orders  map[string]order
	demands map[string]demand
}

// equal reports whether two tellings are the same but for times.
func (t *told) equal(o *told) bool {
	if t == nil || o == nil {
		return false
	}
	same := func(a, b order) bool { return a.count == b.count && a.worth == b.worth }
	return maps.EqualFunc(t.orders, o.orders, same) && maps.Equal(t.demands, o.demands)
}

// forSidecar tells a sidecar what is wanted of its engine, if that has changed.
func (b *FleetState) forSidecar(now time.Duration, m *member, t *wire.Batch) {
	for c := range b.items.since(m.seen.items) {
		if c.value.GetAddress() == m.link.GetBackend() {
			t.Items = append(t.Items, c.value)
		}
	}
	m.seen.items = b.items.stamp
	if m.server == "" {
		return
	}
	next := &told{orders: b.ordersOf(m.server), demands: b.demandsOf(now, m.server)}
	if next.equal(m.tell) {
		return
	}
	m.tell = next
	t.Tell = next.message(now, m.server)
}

// message is the message for what a sidecar is told.
func (t *told) message(now time.Duration, server string) *wire.Assignment {
	tell := &wire.Assignment{}
	for _, model := range slices.Sorted(maps.Keys(t.orders)) {
		tell.Wants = append(tell.Wants, t.orders[model].want(now, pair{server, model}))
	}
	for _, model := range slices.Sorted(maps.Keys(t.demands)) {
		d := t.demands[model]
		tell.Demands = append(tell.Demands, &wire.ModelUsage{Model: model, Inflight: d.inflight, Rate: d.rate, Copies: d.copies})
	}
	return tell
}

// orders are the models that an engine is to load, as this relay and others decided.
func (b *FleetState) ordersOf(server string) map[string]order {
	out := map[string]order{}
	put := func(key pair, o order) {
		if key.server != server {
			return
		}
		if have, ok := out[key.model]; ok {
			o = have.add(o)
		}
		out[key.model] = o
	}
	for key, o := range b.orders.all() {
		put(key, o)
	}
	for _, p := range b.pages {
		for key, o := range p.orders {
			put(key, o)
		}
	}
	return out
}

// demandsOf is the use of the models and adapters that an engine has.
func (b *FleetState) demandsOf(now time.Duration, server string) map[string]demand {
	out := map[string]demand{}
	s, _ := b.states.get(server)
	for _, name := range s.condition.GetModels() {
		d := demand{rate: coarse(b.allocator.RequestRate(now, name)), copies: uint32(b.allocator.Copies(now, name))}
		d.inflight, _ = b.uses.get(pair{server, name})
		for _, p := range b.pages {
			d.inflight += p.uses[pair{server, name}]
		}
		out[name] = d
	}
	return out
}

// Rates are told in steps, so that small changes are not worth a message.
const (
	// rateStep is the ratio of two rates next to each other.
	rateStep = 1.25
	// rateLeast is the least rate told, a second.
	rateLeast = 0.01
)

// coarse rounds a rate to the nearest step.
func coarse(rate float64) float64 {
	if rate < rateLeast {
		return 0
	}
	step := math.Log(rateStep)
	return math.Exp(math.Round(math.Log(rate)/step) * step)
}
