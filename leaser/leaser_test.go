package leaser

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tests explore a model that runs the code of this package: several processes, each
// with a Tenure and a Watch, and one row in the platform's table. Every process may
// read, write and respond at any time or not at all. Messages may be delayed or lost,
// and processes may pause, restart or lose the platform.

// writeKind is the purpose of a write.
type writeKind byte

const (
	noWrite writeKind = iota
	renewal
	marking
	takeover
)

// write is a conditional write of the row, from its start until its response arrives.
type write struct {
	kind        writeKind
	sentAt      time.Duration
	row         Row
	baseVersion uint64
	// handled is set once the platform has handled the write, and applied if the write
	// succeeded.
	handled, applied bool
	// abandoned is set if no process waits for the response.
	abandoned bool
}

// process is the state of one process.
type process struct {
	holds          bool
	tenure         Tenure
	watch          Watch
	row            Row
	write          write
	abandonedWrite write
	gathering      bool
	gatheringSince time.Duration
	pledged        []string
}

// model is one state of all processes, their clocks and the row.
type model struct {
	options   Options
	row       Row
	clocks    []time.Duration
	processes []process
	ticks     int
	// disconnected is set for processes that cannot reach the platform.
	disconnected []bool
	// revived is set if pledges extended a tenure that had expired.
	revived bool
	// requireAll is set if a tenure is extended only with the pledges of all candidates,
	// which is the correct behaviour.
	requireAll bool
	// candidateSets returns the sets of candidates from which a holder may choose.
	candidateSets func(m *model, holder int) [][]string
}

var processNames = []string{"a", "b", "c"}

func otherProcesses(m *model, self int) [][]string {
	var names []string
	for i := range m.processes {
		if i != self {
			names = append(names, processNames[i])
		}
	}
	return [][]string{names}
}

// newModel returns a model in which the first process has just taken the shard.
func newModel(processes int, options Options) *model {
	m := &model{
		options:       options,
		clocks:        make([]time.Duration, processes),
		processes:     make([]process, processes),
		disconnected:  make([]bool, processes),
		requireAll:    true,
		candidateSets: otherProcesses,
	}
	m.row = Row{Version: 1, Epoch: 1, Holder: "a", Candidates: otherProcesses(m, 0)[0]}
	for i := range processes {
		m.clocks[i] = 1
		m.processes[i] = process{watch: *NewWatch(options), row: m.row}
		m.processes[i].watch.Observe(1, processNames[i], m.row)
	}
	m.processes[0].holds = true
	m.processes[0].tenure = *NewTenure(1, options, m.row)
	return m
}

func (m *model) clone() *model {
	c := *m
	c.clocks = slices.Clone(m.clocks)
	c.processes = slices.Clone(m.processes)
	for i := range c.processes {
		c.processes[i].pledged = slices.Clone(c.processes[i].pledged)
		c.processes[i].tenure.candidates = slices.Clone(c.processes[i].tenure.candidates)
	}
	return &c
}

// event is one step of a process or the platform. It changes the model in place.
type event func(m *model)

// events returns all events that can happen next, except clock ticks and restarts.
func (m *model) events() []event {
	var events []event
	for i := range m.processes {
		if !m.disconnected[i] {
			events = m.addReads(events, i)
			events = m.addWrites(events, i)
		}
		events = m.addDeliveries(events, i)
		events = m.addPledges(events, i)
	}
	return events
}

// restarts returns the restarts of all processes.
func (m *model) restarts() []event {
	var events []event
	for i := range m.processes {
		events = append(events, func(m *model) { m.restart(i) })
	}
	return events
}

func (m *model) addReads(events []event, i int) []event {
	if m.processes[i].row.Version == m.row.Version && m.processes[i].watch.version == m.row.Version {
		return events
	}
	return append(events, func(m *model) {
		p := &m.processes[i]
		p.row = m.row
		p.watch.Observe(m.clocks[i], processNames[i], m.row)
		switch {
		case !p.holds:
		case m.row.Holder != processNames[i] || m.row.Epoch != p.tenure.Epoch():
			p.holds = false
		default:
			p.tenure.Observe(m.row)
		}
	})
}

// addWrites adds the start of a renewal, a mark or a takeover, where the process may
// write one.
func (m *model) addWrites(events []event, i int) []event {
	p := &m.processes[i]
	if p.write.kind != noWrite {
		return events
	}
	now := m.clocks[i]
	if p.holds && p.tenure.Held(now) && (now+m.options.Lease > p.tenure.ExpiresAt() || p.row.Mark != "") {
		for _, set := range m.candidateSets(m, i) {
			events = append(events, func(m *model) {
				p := &m.processes[i]
				p.tenure.AddCandidates(set)
				m.startWrite(i, renewal, p.row.WithRenewal(set))
			})
		}
	}
	if !p.holds && slices.Contains(p.row.Candidates, processNames[i]) {
		if p.watch.MayMark(now, p.row) {
			events = append(events, func(m *model) {
				m.processes[i].watch.StartMark()
				m.startWrite(i, marking, m.processes[i].row.WithMark(processNames[i]))
			})
		}
		if p.watch.MayTake(now, processNames[i], p.row) {
			for _, set := range m.candidateSets(m, i) {
				events = append(events, func(m *model) { m.startWrite(i, takeover, m.processes[i].row.WithTakeover(processNames[i], set)) })
			}
		}
	}
	return events
}

func (m *model) startWrite(i int, k writeKind, next Row) {
	p := &m.processes[i]
	p.write = write{kind: k, sentAt: m.clocks[i], row: next, baseVersion: p.row.Version}
}

// addDeliveries adds the handling of pending writes, and the delivery or loss of their
// responses.
func (m *model) addDeliveries(events []event, i int) []event {
	p := &m.processes[i]
	if p.write.kind != noWrite && !p.write.handled {
		events = append(events, func(m *model) { m.handleWrite(&m.processes[i].write) })
	}
	if p.abandonedWrite.kind != noWrite {
		events = append(events, func(m *model) {
			m.handleWrite(&m.processes[i].abandonedWrite)
			m.processes[i].abandonedWrite = write{}
		})
	}
	if p.write.kind != noWrite {
		events = append(events, func(m *model) { m.abandonWrite(i) })
	}
	if p.write.handled {
		events = append(events, func(m *model) { m.deliverResponse(i) })
	}
	return events
}

func (m *model) handleWrite(x *write) {
	x.handled = true
	if m.row.Version != x.baseVersion {
		return
	}
	x.applied = true
	m.row = x.row
	m.row.Version = x.baseVersion + 1
}

// abandonWrite stops waiting for the response. The write may still be applied.
func (m *model) abandonWrite(i int) {
	p := &m.processes[i]
	if !p.write.handled {
		p.abandonedWrite = p.write
	}
	p.write = write{}
}

func (m *model) deliverResponse(i int) {
	p := &m.processes[i]
	x := p.write
	p.write = write{}
	if !x.applied {
		return
	}
	row := x.row
	row.Version = x.baseVersion + 1
	switch x.kind {
	case renewal:
		if p.holds {
			p.row = row
			p.tenure.Renew(x.sentAt, row)
		}
	case marking:
		p.row = row
		p.watch.MarkWritten(m.clocks[i], row.Version)
	case takeover:
		p.row = row
		p.holds = true
		p.tenure = *NewTenure(x.sentAt, m.options, row)
	}
}

// addPledges adds the steps in which a holder starts to gather pledges, receives one,
// and extends its tenure by them.
func (m *model) addPledges(events []event, i int) []event {
	p := &m.processes[i]
	if !p.holds {
		return events
	}
	if !p.gathering {
		if m.clocks[i]+m.options.Lease <= p.tenure.ExpiresAt() {
			return events
		}
		return append(events, func(m *model) {
			p := &m.processes[i]
			p.gathering, p.gatheringSince, p.pledged = true, m.clocks[i], nil
		})
	}
	for j := range m.processes {
		if j != i && !slices.Contains(p.pledged, processNames[j]) && !m.processes[j].holds {
			events = append(events, func(m *model) {
				if m.processes[j].watch.Pledge() {
					m.processes[i].pledged = append(m.processes[i].pledged, processNames[j])
				}
			})
		}
	}
	return append(events, func(m *model) {
		p := &m.processes[i]
		pledged := p.pledged
		if !m.requireAll && len(pledged) > 0 {
			pledged = p.tenure.candidates
		}
		held := p.tenure.Held(m.clocks[i])
		p.tenure.RenewByPledges(m.clocks[i], p.gatheringSince, pledged)
		m.revived = m.revived || !held && p.tenure.Held(m.clocks[i])
		p.gathering, p.gatheringSince, p.pledged = false, 0, nil
	})
}

// restart discards the state of process i. A write that was sent may still be applied.
func (m *model) restart(i int) {
	p := &m.processes[i]
	abandoned := p.abandonedWrite
	if p.write.kind != noWrite && !p.write.handled {
		abandoned = p.write
	}
	*p = process{watch: *NewWatch(m.options), abandonedWrite: abandoned}
}

// violated reports whether two processes hold the shard or an expired tenure was
// extended.
func (m *model) violated() bool { return m.revived || m.holderCount() > 1 }

func (m *model) holderCount() int {
	count := 0
	for i, p := range m.processes {
		if p.holds && p.tenure.Held(m.clocks[i]) {
			count++
		}
	}
	return count
}

// key encodes the state, without the parts that follow from the others.
func (m *model) key() string {
	encoded := make([]byte, 0, 160)
	put := func(vs ...uint64) {
		for _, v := range vs {
			encoded = append(encoded, byte(v))
		}
	}
	row := func(r Row) {
		put(r.Version, r.Epoch)
		encoded = append(encoded, r.Holder...)
		encoded = append(encoded, '/')
		encoded = append(encoded, r.Mark...)
		encoded = append(encoded, '/')
	}
	flag := func(vs ...bool) {
		for _, v := range vs {
			if v {
				encoded = append(encoded, 1)
			} else {
				encoded = append(encoded, 0)
			}
		}
	}
	pending := func(x write) {
		put(uint64(x.kind), uint64(x.sentAt), x.baseVersion)
		flag(x.handled, x.applied)
	}
	put(uint64(m.ticks))
	row(m.row)
	for i := range m.processes {
		p := &m.processes[i]
		flag(p.holds, p.gathering, p.watch.mayHaveMarked)
		row(p.row)
		if p.holds {
			put(p.tenure.epoch, p.tenure.version, uint64(p.tenure.expiresAt))
		}
		put(p.watch.version, uint64(p.watch.unchangedSince), p.watch.markVersion, uint64(p.watch.markedAt))
		put(uint64(p.gatheringSince))
		for _, name := range p.pledged {
			encoded = append(encoded, name...)
		}
		pending(p.write)
		pending(p.abandonedWrite)
	}
	return string(encoded)
}

// explore visits every state that can be reached from m, breadth first, until it has
// seen limit states. It returns the number of steps up to which it has seen every state,
// and whether it found a violation.
func explore(m *model, limit int) (depth int, violated bool) {
	seen := map[string]bool{m.key(): true}
	layer := []*model{m}
	for ; len(layer) > 0; depth++ {
		var nextLayer []*model
		for _, state := range layer {
			for _, apply := range append(append(state.events(), state.restarts()...), tick) {
				next := state.clone()
				apply(next)
				if next.violated() {
					return depth, true
				}
				if k := next.key(); !seen[k] {
					seen[k] = true
					nextLayer = append(nextLayer, next)
				}
				if len(seen) >= limit {
					return depth, false
				}
			}
		}
		layer = nextLayer
	}
	return depth, false
}

func tick(m *model) {
	m.ticks++
	for i := range m.clocks {
		m.clocks[i]++
	}
}

// maxStates bounds each exploration, so that it ends in reasonable time in CI.
const maxStates = 60_000

// TestOneHolderAllInterleavings explores all interleavings up to a depth, with one
// candidate and with two, starting when the shard has just been taken and up to three
// ticks later.
func TestOneHolderAllInterleavings(t *testing.T) {
	for processes := 2; processes <= 3; processes++ {
		for ticks := range 4 {
			m := newModel(processes, Options{Lease: 2})
			for range ticks {
				tick(m)
			}
			depth, violated := explore(m, maxStates)
			t.Logf("%d processes, %d ticks late: all states of up to %d steps", processes, ticks, depth)
			assert.Assert(t, !violated)
		}
	}
}

// walkOptions has a margin for clocks that drift by 5% in either direction.
var walkOptions = Options{Lease: 100, Margin: 15}

// Number and length of the random walks, and the clock units of one tick.
const (
	walks      = 12000
	walkSteps  = 400
	tickLength = 20
)

// TestTwoHoldersWithPartialPledges checks that the random walks are able to find a
// violation: two holders, if the pledges of some candidates are enough to extend a
// tenure.
func TestTwoHoldersWithPartialPledges(t *testing.T) {
	violated := false
	for seed := uint64(0); seed < walks && !violated; seed++ {
		m := newModel(3, walkOptions)
		m.requireAll = false
		violated = walk(m, seed)
	}
	assert.Assert(t, violated)
}

// TestOneHolderWithDrift takes random walks in which clocks drift by 5% in either
// direction and the sets of candidates change.
func TestOneHolderWithDrift(t *testing.T) {
	for seed := range uint64(walks) {
		m := newModel(3, walkOptions)
		m.candidateSets = func(m *model, holder int) [][]string {
			all := otherProcesses(m, holder)[0]
			return [][]string{all, all[:1], all[1:]}
		}
		assert.Assert(t, !walk(m, seed), "seed %d", seed)
	}
}

// walk takes random steps and reports whether it found a violation. At random, processes
// lose and regain the connection to the platform.
func walk(m *model, seed uint64) bool {
	r := rand.New(rand.NewPCG(seed, 1))
	drift := make([]time.Duration, len(m.processes))
	for i := range drift {
		drift[i] = time.Duration(r.IntN(3) - 1)
	}
	tickOdds := 3 + r.IntN(25)
	m.disconnected[0] = r.IntN(2) == 0
	for range walkSteps {
		if r.IntN(tickOdds) == 0 {
			for i := range m.clocks {
				m.clocks[i] += tickLength + drift[i]
			}
		}
		if r.IntN(60) == 0 {
			m.disconnected[r.IntN(len(m.disconnected))] = r.IntN(2) == 0
		}
		events := m.events()
		if r.IntN(200) == 0 {
			events = m.restarts()
		}
		if len(events) > 0 {
			events[r.IntN(len(events))](m)
		}
		if m.violated() {
			return true
		}
	}
	return false
}
