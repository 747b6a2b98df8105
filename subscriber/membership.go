package subscriber

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Limits of the back-off from a process that did not answer.
const (
	minBackOff = 400 * time.Millisecond
	maxBackOff = 10 * time.Second
)

// Membership holds the processes of the fleet and the back-off from those that recently did
// not answer. It is safe for concurrent use.
type Membership struct {
	mu       sync.Mutex
	members  map[string]*wire.Member
	backOffs map[string]backOff
}

// backOff is the back-off from a process: it is skipped until an instant. The next back-off
// lasts twice the duration, within the limits.
type backOff struct {
	until    time.Duration
	duration time.Duration
}

// NewMembership returns a membership without processes.
func NewMembership() *Membership {
	return &Membership{members: map[string]*wire.Member{}, backOffs: map[string]backOff{}}
}

// Update applies rows of the list of processes. It ignores a row that is not newer than the
// one known, or that has no name. A process that was restarted has no back-off.
func (ms *Membership) Update(members ...*wire.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range members {
		known := ms.members[m.GetName()]
		if m.GetName() == "" || RowOutdated(m, known) {
			continue
		}
		if known.GetStarted() != m.GetStarted() {
			delete(ms.backOffs, m.GetName())
		}
		ms.members[m.GetName()] = m
	}
}

// RowOutdated reports whether a row of the list of processes says nothing that is newer than the
// known one, which may be nil: its version is not higher, or the store has come back from an
// earlier copy of itself that holds the row of an earlier start.
func RowOutdated(row, known *wire.Member) bool {
	if known == nil {
		return false
	}
	earlierStart := !row.GetGone() && row.GetStarted() < known.GetStarted()
	return known.GetRow() >= row.GetRow() || earlierStart && storer.Era(known.GetRow()) < storer.Era(row.GetRow())
}

// All returns the processes, sorted by name.
func (ms *Membership) All() []*wire.Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	list := ms.present()
	slices.SortFunc(list, func(x, y *wire.Member) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return list
}

// Find returns the process with the given name, or nil.
func (ms *Membership) Find(name string) *wire.Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m := ms.members[name]; !m.GetGone() {
		return m
	}
	return nil
}

// HasRole reports whether there is a process of that role.
func (ms *Membership) HasRole(role string) bool {
	return slices.ContainsFunc(ms.All(), func(m *wire.Member) bool { return m.GetRole() == role })
}

// SidecarOf returns the sidecar of the engine at the address backend, or nil.
func (ms *Membership) SidecarOf(backend string) *wire.Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.members {
		if m.GetBackend() == backend && !m.GetGone() {
			return m
		}
	}
	return nil
}

// Centres returns the names of the data centres with processes, sorted.
func (ms *Membership) Centres() []string {
	var centres []string
	for _, m := range ms.All() {
		centres = append(centres, m.GetCentre())
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// MarkUnresponsive starts the back-off from a process that did not answer. Each back-off
// lasts twice as long as the one before, within the limits.
func (ms *Membership) MarkUnresponsive(now time.Duration, name string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	duration := min(maxBackOff, max(minBackOff, 2*ms.backOffs[name].duration))
	ms.backOffs[name] = backOff{until: now + duration, duration: duration}
}

// MarkResponsive ends the back-off from a process. The next one lasts about as long as the
// last one, so that a process that answers only now and then is not chosen again and again.
func (ms *Membership) MarkResponsive(name string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	last := ms.backOffs[name]
	if last.duration > 0 {
		ms.backOffs[name] = backOff{duration: last.duration / 2}
	}
}

// present returns the processes whose rows were not removed. The caller holds the lock.
func (ms *Membership) present() []*wire.Member {
	var list []*wire.Member
	for _, m := range ms.members {
		if !m.GetGone() {
			list = append(list, m)
		}
	}
	return list
}

// RelayCandidates returns the processes that may be the relay of a data centre, in the order
// of preference that all processes share: sidecars before entries, then the centre's own
// processes before those of others, then by rendezvous hashing. Processes with a back-off
// are left out. If before names a process, only those preferred to it are returned.
func (ms *Membership) RelayCandidates(now time.Duration, centre, before string) []*wire.Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	list := ms.present()
	key := router.Hash(centre)
	slices.SortFunc(list, func(x, y *wire.Member) int {
		return cmp.Or(
			cmp.Compare(relayRank(x, centre), relayRank(y, centre)),
			cmp.Compare(router.Score(y.GetName(), key), router.Score(x.GetName(), key)),
			cmp.Compare(x.GetName(), y.GetName()),
		)
	})
	if i := slices.IndexFunc(list, func(m *wire.Member) bool { return m.GetName() == before }); i >= 0 {
		list = list[:i]
	}
	return slices.DeleteFunc(list, func(m *wire.Member) bool { return now < ms.backOffs[m.GetName()].until })
}

// relayRank returns the rank of a process as a relay of the data centre, by its role and its
// own data centre. Lower ranks are preferred.
func relayRank(m *wire.Member, centre string) int {
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
