// Package evacuator keeps the data centres that the operator has evacuated: their backend servers get
// no new requests and no loads.
//
// Each process has a copy of the set, which it reads from the store or gets from its relay. A set is
// complete as of a version of the store's table, so that an older one never replaces a newer one.
package evacuator

import (
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Bounds of a set of another process or of the store.
const (
	maxCentres   = 256
	maxNameBytes = 200
)

// lostRowHold is how long a data centre stays evacuated whose row the store has lost by coming back
// from an earlier copy of itself. The operator writes it again within that time.
const lostRowHold = 10 * time.Second

// Evacuator is the set as one process knows it. It is not safe for concurrent use.
type Evacuator struct {
	version uint64
	centres []string
	// held holds the data centres whose rows the store has lost, with the ends of their evacuation.
	held map[string]time.Duration
}

// New returns the empty set of a process that has not heard of the store yet.
func New() *Evacuator { return &Evacuator{held: map[string]time.Duration{}} }

// ValidName reports whether a text can be the name of a data centre.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unicode.IsControl)
}

// Update replaces the set by one that is complete as of a version, unless a newer one is known. Names
// that cannot be right, and those beyond maxCentres, are left out. It reports whether the evacuated
// data centres have changed.
func (e *Evacuator) Update(now time.Duration, version uint64, centres []string) bool {
	if version <= e.version {
		return false
	}
	before := e.Centres()
	next := slices.DeleteFunc(slices.Sorted(slices.Values(centres)), func(name string) bool { return !ValidName(name) })
	next = slices.Compact(next)
	next = next[:min(len(next), maxCentres)]
	if e.version > 0 && storer.Era(version) > storer.Era(e.version) {
		for _, centre := range e.centres {
			e.held[centre] = now + lostRowHold
		}
	}
	e.version, e.centres = version, next
	for _, centre := range next {
		delete(e.held, centre)
	}
	return !slices.Equal(before, e.Centres())
}

// Tick ends the evacuation of data centres whose lost rows were not written again. It reports whether
// there are any.
func (e *Evacuator) Tick(now time.Duration) bool {
	held := len(e.held)
	maps.DeleteFunc(e.held, func(_ string, until time.Duration) bool { return now >= until })
	return len(e.held) < held
}

// Centres returns the evacuated data centres, sorted.
func (e *Evacuator) Centres() []string {
	all := slices.Concat(e.centres, slices.Collect(maps.Keys(e.held)))
	slices.Sort(all)
	return all
}

// Evacuated reports whether a data centre is evacuated.
func (e *Evacuator) Evacuated(centre string) bool {
	_, held := e.held[centre]
	return held || slices.Contains(e.centres, centre)
}

// Message returns the set for another process, or nil if none is known.
func (e *Evacuator) Message() *wire.Evacuations {
	if e.version == 0 {
		return nil
	}
	return &wire.Evacuations{Version: e.version, Centres: e.centres}
}
