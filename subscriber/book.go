package subscriber

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"oleanderstall/router"
	"oleanderstall/wire"
)

// Limits of the time for which a process that did not answer is passed over.
const (
	suspectLeast = 400 * time.Millisecond
	suspectMost  = 10 * time.Second
)

// Membership knows the processes of the fleet, and which of them did not answer of late. It
// is safe for concurrent use.
type Membership struct {
	mu      sync.Mutex
	members map[string]*wire.Member
	doubts  map[string]doubt
}

// doubt is a process that is passed over until an instant.
type doubt struct {
	until time.Duration
	pause time.Duration
}

// NewMembership returns an empty book.
func NewMembership() *Membership {
	return &Membership{members: map[string]*wire.Member{}, doubts: map[string]doubt{}}
}

// Update takes processes as their rows tell. A row that is older than the one known does
// not count.
func (b *Membership) Update(members ...*wire.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range members {
		have := b.members[m.GetName()]
		if have.GetRow() >= m.GetRow() && have != nil {
			continue
		}
		if have.GetStarted() != m.GetStarted() {
			delete(b.doubts, m.GetName())
		}
		b.members[m.GetName()] = m
	}
}

// All returns the processes, by name.
func (b *Membership) All() []*wire.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.living()
	slices.SortFunc(list, func(x, y *wire.Member) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return list
}

// Has reports whether a process of that role is known.
func (b *Membership) Has(role string) bool {
	return slices.ContainsFunc(b.All(), func(m *wire.Member) bool { return m.GetRole() == role })
}

// SidecarOf returns the sidecar of the engine at an address, or nil.
func (b *Membership) SidecarOf(backend string) *wire.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.members {
		if m.GetBackend() == backend && !m.GetGone() {
			return m
		}
	}
	return nil
}

// Centres returns the data centres with processes that may be relays, by name.
func (b *Membership) Centres() []string {
	var centres []string
	for _, m := range b.All() {
		centres = append(centres, m.GetCentre())
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// MarkUnresponsive passes a process over for a while, each time for longer.
func (b *Membership) MarkUnresponsive(now time.Duration, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := min(suspectMost, max(suspectLeast, 2*b.doubts[name].pause))
	b.doubts[name] = doubt{until: now + pause, pause: pause}
}

// MarkResponsive takes note that a process answers. The next doubt about it lasts about as long
// as the last one, so that one which comes and goes is not used again and again.
func (b *Membership) MarkResponsive(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.doubts[name]
	if d.pause > 0 {
		b.doubts[name] = doubt{pause: d.pause / 2}
	}
}

// living are the processes that are not gone. The caller holds the lock.
func (b *Membership) living() []*wire.Member {
	var list []*wire.Member
	for _, m := range b.members {
		if !m.GetGone() {
			list = append(list, m)
		}
	}
	return list
}

// RelayCandidates returns the processes that may be the relay of a data centre, in the order in
// which all processes prefer them: sidecars go before entries, and the centre's own
// processes before those of the others. Those that are passed over are left out. With
// before, only those that go before that one are returned.
func (b *Membership) RelayCandidates(now time.Duration, centre, before string) []*wire.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.living()
	key := router.Hash(centre)
	slices.SortFunc(list, func(x, y *wire.Member) int {
		return cmp.Or(
			cmp.Compare(rank(x, centre), rank(y, centre)),
			cmp.Compare(router.Score(y.GetName(), key), router.Score(x.GetName(), key)),
			cmp.Compare(x.GetName(), y.GetName()),
		)
	})
	if i := slices.IndexFunc(list, func(m *wire.Member) bool { return m.GetName() == before }); i >= 0 {
		list = list[:i]
	}
	return slices.DeleteFunc(list, func(m *wire.Member) bool { return now < b.doubts[m.GetName()].until })
}

// rank orders the groups of processes that may be relays.
func rank(m *wire.Member, centre string) int {
	switch {
	case m.GetRole() == "sidecar" && m.GetCentre() == centre:
		return 0
	case m.GetRole() == "sidecar":
		return 1
	case m.GetCentre() == centre:
		return 2
	}
	return 3
}
