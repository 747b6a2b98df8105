package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderstall/allocator"
	"oleanderstall/limiter"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// silence is how long a process may be silent before what it told does not count any
// more.
const silence = 1500 * time.Millisecond

// member is a process that is linked to this relay.
type member struct {
	link  *wire.Link
	heard time.Duration
	// number is that of its newest report, and sent that of the newest batch for it.
	number uint64
	sent   uint64
	// server is a sidecar's engine.
	server string
	// uses and needs are an entry's.
	uses  map[pair]uint32
	needs map[string]allocator.Demand
	ready bool
	// young is the instant until which an entry counts as young.
	young time.Duration
	// seen are the stamps up to which it was told.
	seen stamps
	// arrivals, spent and felt are to be told to it, and asked are the models whose
	// outlooks it lacks.
	arrivals map[string]float64
	spent    map[string]float64
	felt     []*wire.Saturation
	asked    map[string]bool
	// stated are the totals used that another relay was told, and statements the batches
	// that told some and are not confirmed.
	stated     map[string]float64
	statements []statement
	// levels is set if an entry is to be told the levels of the buckets.
	levels bool
	// tell is what a sidecar was told last.
	tell *told
	// urgent is set if there is something to tell at once, and told the instant of the
	// latest batch.
	urgent bool
	told   time.Duration
}

// stamps are places in the feeds of a board.
type stamps struct {
	states, traffic, lost, parted, outlooks, items, list, uses, needs, orders, roster uint64
}

// Join links a process and returns the number of its link. An earlier link of the same
// process ends.
func (b *FleetState) Join(now time.Duration, l *wire.Link) uint64 {
	for id, m := range b.members {
		if m.link.GetName() == l.GetName() && m.link.GetRole() == l.GetRole() {
			b.Leave(now, id)
		}
	}
	b.links++
	m := &member{
		link:     l,
		heard:    now,
		young:    youngUntil(now, l),
		uses:     map[pair]uint32{},
		needs:    map[string]allocator.Demand{},
		arrivals: map[string]float64{},
		spent:    map[string]float64{},
		asked:    map[string]bool{},
		levels:   l.GetRole() == Entry,
		urgent:   true,
	}
	b.members[b.links] = m
	if l.GetRole() == Relay {
		m.stated = b.outgo.begin(l.GetCentre())
	} else {
		b.centres[l.GetCentre()]++
	}
	if l.GetRole() == Entry {
		b.tally.Join(now, l.GetName(), limiter.EntryCount{Entries: 1})
		b.roster++
		b.touch(Entry, Relay)
	}
	b.log.Info().Str("process", l.GetName()).Str("role", l.GetRole()).Str("centre", l.GetCentre()).Msg("link: opened")
	return b.links
}

// Leave ends a link. What the process told does not count any more, but for what its
// workspaces may use meanwhile.
func (b *FleetState) Leave(now time.Duration, id uint64) {
	m := b.members[id]
	if m == nil {
		return
	}
	delete(b.members, id)
	if centre := m.link.GetCentre(); m.link.GetRole() != Relay {
		if b.centres[centre]--; b.centres[centre] == 0 {
			delete(b.centres, centre)
		}
	}
	for p := range m.uses {
		b.use(p)
	}
	for name := range m.needs {
		b.need(name)
	}
	b.release(now, m.server)
	b.roster++
	b.touch(Entry, Relay)
	b.log.Info().Str("process", m.link.GetName()).Str("role", m.link.GetRole()).Msg("link: ended")
}

// speaks reports whether a sidecar that is linked speaks for a server.
func (b *FleetState) speaks(server string) bool {
	for _, m := range b.members {
		if m.server == server {
			return true
		}
	}
	return false
}

// Report takes a process's report. It reports false if the link has ended.
func (b *FleetState) Report(now time.Duration, id uint64, r *wire.Report) bool {
	m := b.members[id]
	if m == nil {
		return false
	}
	m.heard, m.number = now, r.GetNumber()
	m.confirm(b.outgo, r.GetHeard(), r.GetReady())
	if c := r.GetCondition(); c != nil {
		b.condition(now, m, c)
	}
	if t := r.GetTraffic(); t != nil && t.GetServer() == m.server {
		b.count(now, t)
	}
	if m.link.GetRole() == Entry {
		b.entry(now, m, r)
	}
	for _, p := range r.GetParted() {
		b.part(p.GetServer(), p.GetBorn())
		b.touch(Entry, Relay)
	}
	return true
}

// condition takes the word of a sidecar that is linked.
func (b *FleetState) condition(now time.Duration, m *member, c *wire.EngineStatus) {
	before := m.server
	m.server = c.GetServer()
	if before != m.server {
		b.release(now, before)
	}
	b.take(now, c, true)
	b.touch(Entry, Relay)
}

// entry takes the report of an entry.
func (b *FleetState) entry(now time.Duration, m *member, r *wire.Report) {
	for _, u := range r.GetUses() {
		p := pair{u.GetServer(), u.GetModel()}
		if u.GetInflight() == 0 {
			delete(m.uses, p)
		} else {
			m.uses[p] = u.GetInflight()
		}
		b.use(p)
	}
	if r.GetWaiting() {
		b.waiting(now, m, r.GetNeeds())
	}
	if m.ready != r.GetReady() {
		m.ready = r.GetReady()
		b.touch(Entry, Relay)
	}
	b.arrive(now, r.GetArrivals())
	b.feel(now, r.GetFelt())
	for _, o := range b.members {
		if o.link.GetRole() == Relay {
			sum(o.arrivals, r.GetArrivals())
			o.felt = append(o.felt, r.GetFelt()...)
		}
	}
	b.spend(m.link.GetName(), b.tally.RecordUsage(now, m.link.GetName(), r.GetSpent()))
	if r.GetLast() {
		b.tally.Leave(m.link.GetName())
	}
}

// waiting replaces what an entry's requests wait for.
func (b *FleetState) waiting(now time.Duration, m *member, wants []*wire.LoadRequest) {
	before := m.needs
	m.needs = map[string]allocator.Demand{}
	for _, w := range wants {
		m.needs[w.GetModel()] = need(now, w)
		if _, ok := before[w.GetModel()]; !ok {
			m.asked[w.GetModel()] = true
		}
		b.need(w.GetModel())
	}
	for name := range before {
		if _, ok := m.needs[name]; !ok {
			b.need(name)
		}
	}
}

// need converts what requests wait for.
func need(now time.Duration, w *wire.LoadRequest) allocator.Demand {
	return allocator.Demand{
		Count: w.GetCount(),
		Worth: w.GetWorth(),
		Goal:  now + time.Duration(w.GetGoal())*time.Millisecond,
		Since: now - timer.FromMillis(w.GetAge()),
		Avoid: w.GetAvoid(),
	}
}

// use adds up the requests for a model at a server.
func (b *FleetState) use(p pair) {
	total := uint32(0)
	for _, m := range b.members {
		total += m.uses[p]
	}
	have, _ := b.uses.get(p)
	switch {
	case total == have:
		return
	case total == 0:
		b.uses.drop(p)
	default:
		b.uses.set(p, total)
	}
	if total == 0 || have == 0 {
		b.touch(Relay)
		b.touchServer(p.server)
	}
}

// need adds up what requests wait for under a name.
func (b *FleetState) need(name string) {
	var total allocator.Demand
	found := false
	for _, m := range b.members {
		if n, ok := m.needs[name]; ok {
			total = merge(total, n, !found)
			found = true
		}
	}
	have, ok := b.needs.get(name)
	switch {
	case found && ok && same(have, total):
		return
	case found:
		b.needs.set(name, total)
	default:
		b.needs.drop(name)
	}
	b.weigh(name)
	b.touch(Relay)
}

// same reports whether two needs are the same but for times.
func same(a, b allocator.Demand) bool {
	return a.Count == b.Count && a.Worth == b.Worth && slices.Equal(a.Avoid, b.Avoid)
}

// merge adds what is needed elsewhere to what is needed, which is nothing at first.
func merge(a, n allocator.Demand, first bool) allocator.Demand {
	if first {
		return n
	}
	return allocator.Demand{
		Count: a.Count + n.Count,
		Worth: a.Worth + n.Worth,
		Goal:  min(a.Goal, n.Goal),
		Since: min(a.Since, n.Since),
		Avoid: append(a.Avoid[:len(a.Avoid):len(a.Avoid)], n.Avoid...),
	}
}

// spend passes on what a source has used: to all entries here but itself, and to the
// other relays if it is an entry here.
func (b *FleetState) spend(source string, used map[string]float64) {
	if !strings.HasPrefix(source, centrePrefix) {
		b.outgo.add(used)
	}
	for _, m := range b.members {
		if m.link.GetRole() == Entry && m.link.GetName() != source {
			sum(m.spent, used)
		}
	}
}

// sum adds one map to another.
func sum(to, more map[string]float64) {
	for name, n := range more {
		to[name] += n
	}
}

// touch makes the processes of some roles be told at once.
func (b *FleetState) touch(roles ...string) {
	for _, m := range b.members {
		for _, role := range roles {
			m.urgent = m.urgent || m.link.GetRole() == role
		}
	}
}

// touchServer makes the sidecar of a server be told at once, and the other relays if
// it is linked to one of them.
func (b *FleetState) touchServer(server string) {
	for _, m := range b.members {
		if m.server == server {
			m.urgent = true
			return
		}
	}
	b.touch(Relay)
}

// Tick drops what processes and relays told that are silent.
func (b *FleetState) Tick(now time.Duration) {
	for id, m := range maps.Clone(b.members) {
		if now-m.heard > silence {
			b.Leave(now, id)
		}
	}
	for centre, p := range maps.Clone(b.pages) {
		if now-p.heard > silence {
			b.CloseFeed(now, centre, p.relay)
		}
	}
	b.outgo.rotate(now)
	for source, used := range b.tally.Tick(now) {
		b.spend(source, used)
	}
}
