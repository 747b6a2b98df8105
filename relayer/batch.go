package relayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/allocator"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Longest times between two batches for a process. What may wait waits for them: loads
// of engines and use of limits.
const (
	beat        = 120 * time.Millisecond
	sidecarBeat = 300 * time.Millisecond
)

// decidePeriod is the longest time between two decisions while anything is needed.
const decidePeriod = 50 * time.Millisecond

// beat is the longest time between two batches for a process.
func (m *member) beat() time.Duration {
	if m.link.GetRole() == Sidecar {
		return sidecarBeat
	}
	return beat
}

// Due returns the links to which something is to be told at now.
func (b *FleetState) Due(now time.Duration) []uint64 {
	if b.stale || b.allocator.Pending() && now-b.decided >= decidePeriod {
		b.decide(now)
	}
	var due []uint64
	for id, m := range b.members {
		if m.urgent || now-m.told >= m.beat() {
			due = append(due, id)
		}
	}
	return due
}

// Batch returns what is to be told on a link, or nil if it has ended.
func (b *FleetState) Batch(now time.Duration, id uint64) *wire.Batch {
	m := b.members[id]
	if m == nil {
		return nil
	}
	m.urgent, m.told = false, now
	m.sent++
	t := &wire.Batch{
		Number: m.sent,
		Heard:  m.number,
		Relay:  b.name,
		Links:  uint32(b.Links()),
		Config: b.copy.View().Version(),
		Age:    timer.ToMillis(now - b.proven),
	}
	switch m.link.GetRole() {
	case Entry:
		b.forEntry(now, m, t)
	case Sidecar:
		b.forSidecar(now, m, t)
	case Relay:
		b.forRelay(now, m, t)
	}
	b.news(m, t)
	return t
}

// forEntry tells an entry what it needs to send its requests.
func (b *FleetState) forEntry(now time.Duration, m *member, t *wire.Batch) {
	for c := range b.states.since(m.seen.states) {
		if !c.gone {
			t.Conditions = append(t.Conditions, brief(c.value.condition))
		}
	}
	b.loads(m, t, false)
	for c := range b.items.since(m.seen.items) {
		t.Items = append(t.Items, c.value)
	}
	m.seen.items = b.items.stamp
	b.promise(now, m, t)
	if m.levels {
		t.Levels, m.levels = b.tally.Levels(now), false
	}
	t.Entries, t.Absent, t.Ready = b.crowdOf(now, m)
	t.Spent, m.spent = m.spent, map[string]float64{}
}

// brief is a sidecar's word without what only relays need.
func brief(c *wire.EngineStatus) *wire.EngineStatus {
	out := &wire.EngineStatus{
		Server:  c.GetServer(),
		Born:    c.GetBorn(),
		Started: c.GetStarted(),
		Number:  c.GetNumber(),
		Models:  c.GetModels(),
		Leaving: c.GetLeaving(),
		Running: c.GetRunning(),
		Waiting: c.GetWaiting(),
	}
	for _, r := range c.GetResidents() {
		if r.GetClosing() {
			out.Residents = append(out.Residents, &wire.Resident{Model: r.GetModel(), Closing: true})
		}
	}
	return out
}

// promise tells an entry when the models that its requests wait for are expected.
func (b *FleetState) promise(now time.Duration, m *member, t *wire.Batch) {
	for c := range b.outlooks.since(m.seen.outlooks) {
		if _, ok := m.needs[c.key]; ok {
			m.asked[c.key] = true
		}
	}
	m.seen.outlooks = b.outlooks.stamp
	for name := range m.asked {
		o, ok := b.outlooks.get(name)
		t.Outlooks = append(t.Outlooks, &wire.ReadyEstimate{Model: name, Left: timer.ToMillis(o.ready - now), Gone: !ok})
	}
	clear(m.asked)
}

// loads tells the loads of engines, and which sidecars are not heard any more: all of
// them or those linked to this relay.
func (b *FleetState) loads(m *member, t *wire.Batch, own bool) {
	for c := range b.traffic.since(m.seen.traffic) {
		if s, ok := b.states.get(c.key); !c.gone && ok && (s.own || !own) {
			t.Traffic = append(t.Traffic, c.value)
		}
	}
	for c := range b.lost.since(m.seen.lost) {
		if !c.gone && (c.value || !own) {
			t.Lost = append(t.Lost, c.key)
		}
	}
	m.seen.states, m.seen.traffic, m.seen.lost = b.states.stamp, b.traffic.stamp, b.lost.stamp
}

// forRelay tells another relay what the processes here tell and what was decided here.
func (b *FleetState) forRelay(now time.Duration, m *member, t *wire.Batch) {
	for c := range b.states.since(m.seen.states) {
		if !c.gone && c.value.own {
			t.Conditions = append(t.Conditions, later(now, c.value))
		}
	}
	b.loads(m, t, true)
	for c := range b.uses.since(m.seen.uses) {
		t.Uses = append(t.Uses, &wire.EngineUsage{Server: c.key.server, Model: c.key.model, Inflight: c.value})
	}
	for c := range b.needs.since(m.seen.needs) {
		t.Needs = append(t.Needs, needed(now, c))
	}
	for c := range b.orders.since(m.seen.orders) {
		w := &wire.LoadRequest{Server: c.key.server, Model: c.key.model}
		if !c.gone {
			w = c.value.want(now, c.key)
		}
		t.Wants = append(t.Wants, w)
	}
	for c := range b.outlooks.since(m.seen.outlooks) {
		if c.gone || c.value.own {
			t.Outlooks = append(t.Outlooks, &wire.ReadyEstimate{Model: c.key, Left: timer.ToMillis(c.value.ready - now), Gone: c.gone})
		}
	}
	m.seen.uses, m.seen.needs, m.seen.orders, m.seen.outlooks = b.uses.stamp, b.needs.stamp, b.orders.stamp, b.outlooks.stamp
	t.Arrivals, m.arrivals = m.arrivals, map[string]float64{}
	t.Spent = m.state(b.outgo, t.GetNumber())
	t.Felt, m.felt = m.felt, nil
	if lists, _ := b.ReadsServerList(now); lists {
		for c := range b.items.since(m.seen.items) {
			t.Items = append(t.Items, c.value)
		}
		m.seen.items = b.items.stamp
	}
	b.census(now, m, t)
}

// later is a sidecar's word with the times to its loads as of now.
func later(now time.Duration, s state) *wire.EngineStatus {
	passed := now - s.at
	if len(s.condition.GetTasks()) == 0 || passed < time.Millisecond {
		return s.condition
	}
	c := proto.Clone(s.condition).(*wire.EngineStatus)
	for _, t := range c.GetTasks() {
		t.Left = timer.ToMillis(timer.FromMillis(t.GetLeft()) - passed)
	}
	return c
}

// needed is the message for what entries need. Without a count and a worth it says that
// they need it no more.
func needed(now time.Duration, c *change[string, allocator.Demand]) *wire.LoadRequest {
	if c.gone {
		return &wire.LoadRequest{Model: c.key}
	}
	n := c.value
	return &wire.LoadRequest{
		Model: c.key,
		Count: n.Count,
		Worth: n.Worth,
		Goal:  int32((n.Goal - now).Milliseconds()),
		Age:   timer.ToMillis(now - n.Since),
		Avoid: n.Avoid,
	}
}

// news tells what all processes are to know.
func (b *FleetState) news(m *member, t *wire.Batch) {
	for c := range b.parted.since(m.seen.parted) {
		t.Parted = append(t.Parted, &wire.Departure{Server: c.key, Born: c.value})
	}
	for c := range b.list.since(m.seen.list) {
		t.Members = append(t.Members, c.value)
	}
	m.seen.parted, m.seen.list = b.parted.stamp, b.list.stamp
}
