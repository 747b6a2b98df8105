package limiter

import (
	"fmt"
	"strings"
	"time"
)

// simFleet simulates a fleet of entries that report their usage to each other through one
// relay in each data centre.
type simFleet struct {
	relays  []*simRelay
	entries []*simEntry
	// cutLinks holds the links between relays on which reports are lost, by sender and
	// receiver.
	cutLinks map[[2]int]bool
	usages   []usage
	// slack is the number of tokens that the entries together may use beyond the limit.
	slack  float64
	limits []Limit
	// delay is the time that usage takes from a relay to the entries, and delayed is the
	// usage that is under way.
	delay   time.Duration
	delayed []delayedUsage
}

// delayedUsage is usage by others that reaches an entry when it is due.
type delayedUsage struct {
	due   time.Duration
	entry *simEntry
	used  map[string]float64
}

// simRelay is the relay of one data centre, with the usage to pass on to each other relay.
type simRelay struct {
	ledger       *RelayLedger
	down         bool
	peerOutboxes []map[string]float64
}

// simEntry is one entry, with the usage that its relay has to report to it.
type simEntry struct {
	ledger *Ledger
	centre int
	// An entry that is cutOff neither sends nor receives reports; one that is paused takes
	// no requests either.
	cutOff bool
	paused bool
	inbox  map[string]float64
	// relayChanged is set until the first exchange with another relay.
	relayChanged bool
	// youngUntil is the instant until which the entry counts as just started.
	youngUntil time.Duration
}

// entryCountFor returns the entry count that an entry receives: others that have just
// started count as absent.
func (f *simFleet) entryCountFor(now time.Duration, e *simEntry, c EntryCount) EntryCount {
	for _, o := range f.entries {
		if o != e && now < o.youngUntil {
			c.Absent++
		}
	}
	return c
}

const (
	fleetRate  = 10000.0
	fleetBurst = 10000.0
	// allowedSlack is the number of tokens that the users allow beyond 1.1 times rate and
	// burst.
	allowedSlack = 17000.0
)

var fleetLimits = []Limit{{Workspace: "w", Rate: fleetRate, Burst: fleetBurst}}

// newFleet returns a fleet with entries spread over data centres.
func newFleet(now time.Duration, centres, entries int, slack float64) *simFleet {
	return newFleetWithLimits(now, centres, entries, slack, fleetLimits)
}

// newFleetWithLimits returns a fleet with other limits than fleetLimits.
func newFleetWithLimits(now time.Duration, centres, entries int, slack float64, limits []Limit) *simFleet {
	f := &simFleet{cutLinks: map[[2]int]bool{}, slack: slack, limits: limits}
	for range centres {
		f.relays = append(f.relays, &simRelay{})
	}
	for i := range entries {
		f.entries = append(f.entries, &simEntry{centre: i % centres})
		f.startEntry(now, i)
	}
	for i := range centres {
		f.startRelay(now, i)
	}
	return f
}

// startEntry starts or restarts an entry.
func (f *simFleet) startEntry(now time.Duration, entry int) {
	e := f.entries[entry]
	e.ledger = NewLedger(now, f.slack)
	e.ledger.SetLimits(now, f.limits)
	e.inbox = map[string]float64{}
	if r := f.relays[e.centre]; r.ledger != nil && !r.down && !e.cutOff {
		e.ledger.AdoptLevels(now, r.ledger.Levels(now))
	}
}

// startRelay starts or restarts a relay. A restarted relay has lost its state.
func (f *simFleet) startRelay(now time.Duration, centre int) {
	r := f.relays[centre]
	r.ledger, r.down = NewRelayLedger(), false
	r.ledger.SetLimits(now, f.limits)
	r.peerOutboxes = make([]map[string]float64, len(f.relays))
	for i := range f.relays {
		r.peerOutboxes[i] = map[string]float64{}
		if i != centre {
			r.ledger.SetSource(now, peerName(i), EntryCount{Entries: f.entriesIn(i)})
		}
	}
	for i, e := range f.entries {
		if e.centre == centre {
			r.ledger.SetSource(now, entryName(i), EntryCount{Entries: 1})
			e.inbox, e.relayChanged = map[string]float64{}, true
		}
	}
	for _, o := range f.relays {
		if len(o.peerOutboxes) > centre {
			o.peerOutboxes[centre] = map[string]float64{}
		}
	}
}

// localEntries returns the entries of the relay's own data centre.
func (l *RelayLedger) localEntries() EntryCount {
	var c EntryCount
	for name, s := range l.sources {
		if !strings.HasPrefix(name, "entry") {
			continue
		}
		c.Entries++
		if s.Absent() {
			c.Absent++
		}
	}
	return c
}

// entriesIn returns the number of entries of a data centre.
func (f *simFleet) entriesIn(centre int) int {
	n := 0
	for _, e := range f.entries {
		if e.centre == centre {
			n++
		}
	}
	return n
}

func peerName(centre int) string { return fmt.Sprint("centre ", centre) }

func entryName(entry int) string { return fmt.Sprint("entry ", entry) }

func addUsage(to, more map[string]float64) {
	for name, tokens := range more {
		to[name] += tokens
	}
}

// exchange makes the entries report their usage to their relays, the relays to each other,
// and the relays to the entries.
func (f *simFleet) exchange(now time.Duration) {
	for len(f.delayed) > 0 && f.delayed[0].due <= now {
		addUsage(f.delayed[0].entry.inbox, f.delayed[0].used)
		f.delayed = f.delayed[1:]
	}
	for i, e := range f.entries {
		if r := f.relays[e.centre]; !e.cutOff && !e.paused && !r.down {
			r.ledger.SetSource(now, entryName(i), EntryCount{Entries: 1})
			f.forward(now, e.centre, entryName(i), r.ledger.RecordUsage(now, entryName(i), e.ledger.TakeUnsent()))
		}
	}
	for i, r := range f.relays {
		if r.down {
			continue
		}
		for name, used := range r.ledger.Tick(now) {
			f.forward(now, i, name, used)
		}
		for j, o := range f.relays {
			if i != j && !f.cutLinks[[2]int{i, j}] && !o.down {
				o.ledger.SetSource(now, peerName(i), r.ledger.localEntries())
				f.forward(now, j, peerName(i), o.ledger.RecordUsage(now, peerName(i), r.peerOutboxes[j]))
				r.peerOutboxes[j] = map[string]float64{}
			}
		}
	}
	for _, e := range f.entries {
		if r := f.relays[e.centre]; !e.cutOff && !e.paused && !r.down {
			if e.relayChanged {
				e.ledger.SwitchRelay(now)
				e.relayChanged = false
			}
			e.ledger.AddRemoteUsage(now, e.inbox)
			e.ledger.SetEntryCount(now, f.entryCountFor(now, e, r.ledger.EntryCount()))
			e.inbox = map[string]float64{}
		}
		if !e.paused {
			e.ledger.Tick(now)
		}
	}
}

// forward passes the usage of a source on to the other entries of a data centre and, if the
// source is an entry of it, to the other relays.
func (f *simFleet) forward(now time.Duration, centre int, from string, used map[string]float64) {
	local := false
	for i, e := range f.entries {
		switch {
		case e.centre != centre:
		case entryName(i) == from:
			local = true
		case f.delay > 0:
			f.delayed = append(f.delayed, delayedUsage{due: now + f.delay, entry: e, used: used})
		default:
			addUsage(e.inbox, used)
		}
	}
	for j := range f.relays {
		if local && j != centre {
			addUsage(f.relays[centre].peerOutboxes[j], used)
		}
	}
}

// charge charges a request at an entry and records its usage if it was granted.
func (f *simFleet) charge(now time.Duration, entry int, tokens float64) bool {
	if f.entries[entry].paused {
		return false
	}
	ok := f.entries[entry].ledger.Charge(now, "w", tokens)
	if ok {
		f.usages = append(f.usages, usage{at: now, tokens: tokens})
	}
	return ok
}

// maxUsage returns the largest usage in any window of a length.
func (f *simFleet) maxUsage(window time.Duration) float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, u := range f.usages {
		sum += u.tokens
		for u.at-f.usages[first].at >= window {
			sum -= f.usages[first].tokens
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}
