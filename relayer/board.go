// Package relayer passes knowledge on between the processes of a fleet. One process of
// each data centre, its relay, is linked to the others there and to the relays of the
// other data centres, so that no process keeps a connection to all others.
//
// A relay publishes what its own processes tell it and what it decides; other relays
// take that and pass it on to their processes, but not to further relays. All of it is
// soft state: a relay that starts knows nothing, and the processes that link to it tell
// it all again.
package relayer

import (
	"time"

	"github.com/phuslu/log"

	"oleanderstall/allocator"
	"oleanderstall/configurer"
	"oleanderstall/limiter"
	"oleanderstall/wire"
)

// Roles of the processes that link to a relay.
const (
	Entry   = "entry"
	Sidecar = "sidecar"
	Relay   = "relay"
)

// pair is a model or an adapter at a server.
type pair struct{ server, model string }

// state is a sidecar's word on its engine.
type state struct {
	condition *wire.EngineStatus
	at        time.Duration
	// own is set if the sidecar is linked to this relay.
	own bool
}

// outlook is when a model is expected to serve.
type outlook struct {
	ready time.Duration
	own   bool
}

// FleetState is what a relay knows. It is not safe for concurrent use.
type FleetState struct {
	name      string
	centre    string
	copy      *configurer.Configurer
	log       *log.Logger
	allocator *allocator.Allocator
	tally     *limiter.RelayLedger
	outgo     *outgo

	// members are the processes linked to this relay, by the numbers of their links,
	// and pages what the other relays publish, by data centre.
	members map[uint64]*member
	pages   map[string]*page
	links   uint64
	// centres counts the processes other than relays that are linked, by data centre.
	centres map[string]int

	// lost are the servers whose sidecars are not heard any more, and whether they were
	// linked to this relay.
	states   *feed[string, state]
	traffic  *feed[string, *wire.EngineLoad]
	lost     *feed[string, bool]
	parted   *feed[string, int64]
	outlooks *feed[string, outlook]
	items    *feed[string, *wire.ListedServer]
	list     *feed[string, *wire.Member]
	// uses and needs are the sums over the entries linked to this relay, orders what
	// this relay decided.
	uses   *feed[pair, uint32]
	needs  *feed[string, allocator.Demand]
	orders *feed[pair, order]

	// roster counts the changes of the entries linked here.
	roster uint64
	// proven is the instant as of which the items were complete.
	proven time.Duration
	// stale is set if what was decided, at the instant decided, may not hold any more.
	stale   bool
	decided time.Duration
}

// NewFleetState returns the empty board of the relay with that name in a data centre.
func NewFleetState(name, centre string, c *configurer.Configurer, l *log.Logger) *FleetState {
	return &FleetState{
		name:      name,
		centre:    centre,
		copy:      c,
		log:       l,
		allocator: allocator.New(name, c, l),
		tally:     limiter.NewRelayLedger(),
		outgo:     newOutgo(),
		members:   map[uint64]*member{},
		centres:   map[string]int{},
		pages:     map[string]*page{},
		states:    newFeed[string, state](),
		traffic:   newFeed[string, *wire.EngineLoad](),
		lost:      newFeed[string, bool](),
		parted:    newFeed[string, int64](),
		outlooks:  newFeed[string, outlook](),
		items:     newFeed[string, *wire.ListedServer](),
		list:      newFeed[string, *wire.Member](),
		uses:      newFeed[pair, uint32](),
		needs:     newFeed[string, allocator.Demand](),
		orders:    newFeed[pair, order](),
	}
}

// SetLimits brings limits into force.
func (b *FleetState) SetLimits(now time.Duration, limits []limiter.Limit) {
	b.tally.SetLimits(now, limits)
}

// Links is the number of processes linked to this relay, other relays included.
func (b *FleetState) Links() int { return len(b.members) }

// Serving reports whether processes other than relays are linked to this relay.
func (b *FleetState) Serving() bool { return len(b.centres) > 0 }

// ReportingSidecars is the number of engines whose sidecars are heard.
func (b *FleetState) ReportingSidecars(now time.Duration) int {
	return b.allocator.ReportingSidecars(now)
}

// take takes a sidecar's word, unless a later one is known, or the same one from the
// sidecar itself.
func (b *FleetState) take(now time.Duration, c *wire.EngineStatus, own bool) {
	id := c.GetServer()
	if id == "" {
		return
	}
	have, ok := b.states.get(id)
	if ok && (older(c, have.condition) || have.own && !own && !older(have.condition, c)) {
		return
	}
	b.lost.drop(id)
	b.traffic.drop(id)
	b.states.set(id, state{condition: c, at: now, own: own})
	b.allocator.UpdateStatus(now, c)
	b.stale = true
}

// older reports whether c was told before the word have.
func older(c, have *wire.EngineStatus) bool {
	if c.GetStarted() != have.GetStarted() {
		return c.GetStarted() < have.GetStarted()
	}
	return c.GetNumber() < have.GetNumber()
}

// count takes the load of an engine.
func (b *FleetState) count(now time.Duration, t *wire.EngineLoad) {
	if _, ok := b.states.get(t.GetServer()); !ok {
		return
	}
	b.traffic.set(t.GetServer(), t)
	b.allocator.RecordLoad(now, t.GetServer(), int(t.GetRunning()+t.GetWaiting()))
}

// release takes note that a link or the relay of another data centre speaks for a server
// no longer. Others may do so still.
func (b *FleetState) release(now time.Duration, id string) {
	s, ok := b.states.get(id)
	if !ok || b.speaks(id) {
		return
	}
	if !b.published(id) {
		b.lose(now, id)
		return
	}
	if s.own {
		s.own = false
		b.states.set(id, s)
	}
}

// published reports whether the relay of another data centre speaks for a server.
func (b *FleetState) published(id string) bool {
	for _, p := range b.pages {
		if p.servers[id] {
			return true
		}
	}
	return false
}

// lose takes note that a sidecar is not heard any more.
func (b *FleetState) lose(now time.Duration, id string) {
	s, ok := b.states.get(id)
	if !ok {
		return
	}
	b.states.drop(id)
	b.traffic.drop(id)
	b.lost.set(id, s.own)
	b.allocator.MarkSidecarLost(now, id)
	b.stale = true
	b.log.Info().Str("server", id).Msg("sidecar: not heard")
}

// part takes note that a server has said itself that it leaves.
func (b *FleetState) part(id string, born int64) {
	if have, ok := b.parted.get(id); ok && have >= born {
		return
	}
	b.parted.set(id, born)
	b.allocator.MarkLeaving(id, born)
	b.stale = true
}

// feel passes on how near answers came to being late.
func (b *FleetState) feel(now time.Duration, felt []*wire.Saturation) {
	for _, f := range felt {
		b.allocator.RecordSaturation(now, f.GetServer(), float64(f.GetStrain()))
	}
}

// arrive counts requests by model or adapter.
func (b *FleetState) arrive(now time.Duration, arrivals map[string]float64) {
	for name, count := range arrivals {
		b.allocator.AddArrivals(now, name, count)
		if b.home(name) {
			b.allocator.RequestCopies(now, name)
		}
	}
}
