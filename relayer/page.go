package relayer

import (
	"time"

	"oleanderstall/allocator"
	"oleanderstall/limiter"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// centrePrefix begins the names under which other data centres use tokens.
const centrePrefix = "centre/"

// page is what the relay of another data centre publishes.
type page struct {
	relay   string
	heard   time.Duration
	servers map[string]bool
	uses    map[pair]uint32
	needs   map[string]allocator.Demand
	orders  map[pair]order
	entries uint32
	absent  uint32
	young   uint32
	ready   uint32
}

// OpenFeed begins the page of another data centre, as published by a relay. The page of
// the relay before it ends.
func (b *FleetState) OpenFeed(now time.Duration, centre, relay string) {
	if p := b.pages[centre]; p != nil {
		b.CloseFeed(now, centre, p.relay)
	}
	b.pages[centre] = &page{
		relay:   relay,
		heard:   now,
		servers: map[string]bool{},
		uses:    map[pair]uint32{},
		needs:   map[string]allocator.Demand{},
		orders:  map[pair]order{},
	}
	b.log.Info().Str("centre", centre).Str("relay", relay).Msg("relay: answers")
}

// CloseFeed ends the page of another data centre, if that relay publishes it. What its
// workspaces may use meanwhile counts on.
func (b *FleetState) CloseFeed(now time.Duration, centre, relay string) {
	p := b.pages[centre]
	if p == nil || p.relay != relay {
		return
	}
	delete(b.pages, centre)
	for id := range p.servers {
		b.release(now, id)
	}
	for name := range p.needs {
		b.weigh(name)
	}
	b.stale = true
	b.touch(Entry)
	b.log.Info().Str("centre", centre).Str("relay", relay).Msg("relay: lost")
}

// ApplyFeed takes a batch of another data centre's relay.
func (b *FleetState) ApplyFeed(now time.Duration, centre string, t *wire.Batch) {
	p := b.pages[centre]
	if p == nil {
		return
	}
	p.heard = now
	for _, c := range t.GetConditions() {
		p.servers[c.GetServer()] = true
		b.take(now, c, false)
	}
	for _, c := range t.GetTraffic() {
		b.count(now, c)
	}
	for _, id := range t.GetLost() {
		if p.servers[id] {
			delete(p.servers, id)
			b.release(now, id)
		}
	}
	for _, q := range t.GetParted() {
		b.part(q.GetServer(), q.GetBorn())
	}
	b.UpdateServers(now-timer.FromMillis(t.GetAge()), t.GetItems())
	b.demands(now, p, t)
	b.decisions(now, p, t)
	b.crowd(now, centre, p, t)
	if len(t.GetConditions())+len(t.GetLost())+len(t.GetParted())+len(t.GetOutlooks()) > 0 {
		b.touch(Entry)
	}
}

// demands takes what the entries of another data centre use and need.
func (b *FleetState) demands(now time.Duration, p *page, t *wire.Batch) {
	for _, u := range t.GetUses() {
		key := pair{u.GetServer(), u.GetModel()}
		before := p.uses[key]
		p.uses[key] = u.GetInflight()
		if u.GetInflight() == 0 {
			delete(p.uses, key)
		}
		if (before == 0) != (u.GetInflight() == 0) {
			b.touchServer(key.server)
		}
	}
	for _, w := range t.GetNeeds() {
		if w.GetCount() == 0 && w.GetWorth() == 0 {
			delete(p.needs, w.GetModel())
		} else {
			p.needs[w.GetModel()] = need(now, w)
		}
		b.weigh(w.GetModel())
	}
	b.arrive(now, t.GetArrivals())
	b.feel(now, t.GetFelt())
}

// decisions takes what another relay decided.
func (b *FleetState) decisions(now time.Duration, p *page, t *wire.Batch) {
	for _, w := range t.GetWants() {
		key := pair{w.GetServer(), w.GetModel()}
		if o, ok := orderOf(now, w); ok {
			p.orders[key] = o
		} else {
			delete(p.orders, key)
		}
		b.touchServer(key.server)
	}
	for _, o := range t.GetOutlooks() {
		if o.GetGone() {
			b.outlooks.drop(o.GetModel())
		} else {
			b.outlooks.set(o.GetModel(), outlook{ready: now + timer.FromMillis(o.GetLeft())})
		}
	}
}

// crowd takes how many entries another data centre has and what they used. Entries that
// have moved there are not waited for here.
func (b *FleetState) crowd(now time.Duration, centre string, p *page, t *wire.Batch) {
	p.entries, p.absent, p.young, p.ready = t.GetEntries(), t.GetAbsent(), t.GetYoung(), t.GetReady()
	source := centrePrefix + centre
	b.tally.Join(now, source, limiter.EntryCount{Entries: int(p.entries), Absent: int(p.absent)})
	for _, name := range t.GetNames() {
		if !b.linked(name) {
			b.tally.Leave(name)
		}
	}
	b.spend(source, b.tally.RecordUsage(now, source, t.GetSpent()))
}

// linked reports whether a process is linked to this relay.
func (b *FleetState) linked(name string) bool {
	for _, m := range b.members {
		if m.link.GetName() == name {
			return true
		}
	}
	return false
}

// home reports whether this relay decides about a model or an adapter. Adapters go
// with their base model.
func (b *FleetState) home(name string) bool {
	if m := b.copy.View().Model(name); m.GetBase() != "" {
		name = m.GetBase()
	}
	return b.first(name)
}

// listDuty names the duty of the one relay that reads the list of backend servers for
// all.
const listDuty = "list of backend servers"

// ReadsServerList reports whether this relay is to read the list of backend servers, and the age
// of the proof that the list known is complete.
func (b *FleetState) ReadsServerList(now time.Duration) (lists bool, age time.Duration) {
	return b.first(listDuty), now - b.proven
}

// first reports whether this relay comes first for a name among the relays of all data
// centres.
func (b *FleetState) first(name string) bool {
	key, first := router.Hash(name), b.centre
	for centre := range b.centres {
		first = prior(first, centre, key)
	}
	for centre := range b.pages {
		first = prior(first, centre, key)
	}
	return b.serves(first)
}

// prior returns the data centre of two whose relay decides about a key.
func prior(a, b string, key uint64) string {
	x, y := router.Score(a, key), router.Score(b, key)
	if y > x || y == x && b > a {
		return b
	}
	return a
}

// serves reports whether a data centre's processes are linked to this relay, or it is the
// relay's own.
func (b *FleetState) serves(centre string) bool { return centre == b.centre || b.centres[centre] > 0 }

// weigh adds up what is needed under a name in all data centres.
func (b *FleetState) weigh(name string) {
	total, found := b.needs.get(name)
	for _, p := range b.pages {
		if n, ok := p.needs[name]; ok {
			total = merge(total, n, !found)
			found = true
		}
	}
	if found {
		b.allocator.SetDemand(name, total)
	} else {
		b.allocator.RemoveDemand(name)
	}
	b.stale = true
}

// decide decides anew about the models of which this relay is the home.
func (b *FleetState) decide(now time.Duration) {
	b.stale = false
	b.decided = now
	d := b.allocator.Decide(now, b.home)
	orders := map[pair]order{}
	for _, w := range d.Loads {
		orders[pair{w.GetServer(), w.GetModel()}], _ = orderOf(now, w)
	}
	for key, o := range orders {
		have, ok := b.orders.get(key)
		if !ok || have.count != o.count || have.worth != o.worth {
			b.orders.set(key, o)
			b.touchServer(key.server)
		}
	}
	for key := range b.orders.all() {
		if _, ok := orders[key]; !ok {
			b.orders.drop(key)
			b.touchServer(key.server)
		}
	}
	b.outlook(d.Estimates)
}

// outlookStep is the change of an expected instant that is worth telling.
const outlookStep = 100 * time.Millisecond

// outlook publishes when models are expected to serve.
func (b *FleetState) outlook(list []allocator.ReadyEstimate) {
	ready := map[string]bool{}
	for _, o := range list {
		ready[o.Model] = true
		have, ok := b.outlooks.get(o.Model)
		if !ok || !have.own || (o.Ready-have.ready).Abs() > outlookStep {
			b.outlooks.set(o.Model, outlook{ready: o.Ready, own: true})
			b.touch(Relay, Entry)
		}
	}
	for name, o := range b.outlooks.all() {
		if o.own && !ready[name] {
			b.outlooks.drop(name)
			b.touch(Relay, Entry)
		}
	}
}
