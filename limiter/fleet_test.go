package limiter

import (
	"fmt"
	"strings"
	"time"
)

// desk is a fleet of entries that tell each other what they have used, by a relay in
// each data centre.
type desk struct {
	relays  []*relay
	entries []*clerk
	// cut holds the relays that do not hear another one, by from and to.
	cut  map[[2]int]bool
	uses []use
	// slack is what the entries together may use beyond the limit.
	slack  float64
	limits []Limit
	// lag is how long a word is under way to the entries, and words are those that are.
	lag   time.Duration
	words []word
}

// word is what others have used, on its way to an entry until it is due.
type word struct {
	due   time.Duration
	entry *clerk
	used  map[string]float64
}

// relay is the relay of one data centre with what it has to pass on.
type relay struct {
	tally  *RelayLedger
	down   bool
	toPeer []map[string]float64
}

// clerk is one entry with what its relay has to tell it.
type clerk struct {
	ledger *Ledger
	centre int
	// cut off entries neither tell nor hear anything; paused ones take no requests
	// either.
	cut    bool
	paused bool
	inbox  map[string]float64
	// relinked is set once another relay tells.
	relinked bool
	// young is the instant until which the entry counts as one that has just started.
	young time.Duration
}

// crowd is the crowd that an entry is told.
func (d *desk) crowd(now time.Duration, e *clerk, c EntryCount) EntryCount {
	for _, o := range d.entries {
		if o != e && now < o.young {
			c.Absent++
		}
	}
	return c
}

const (
	deskRate  = 10000.0
	deskBurst = 10000.0
	// deskSlack is what the users allow beyond a tenth over rate and burst.
	deskSlack = 17000.0
)

var deskLimits = []Limit{{Workspace: "w", Rate: deskRate, Burst: deskBurst}}

// newDesk returns entries spread over data centres.
func newDesk(now time.Duration, centres, entries int, slack float64) *desk {
	return newDeskOf(now, centres, entries, slack, deskLimits)
}

// newDeskOf returns entries that keep other limits.
func newDeskOf(now time.Duration, centres, entries int, slack float64, limits []Limit) *desk {
	d := &desk{cut: map[[2]int]bool{}, slack: slack, limits: limits}
	for range centres {
		d.relays = append(d.relays, &relay{})
	}
	for i := range entries {
		d.entries = append(d.entries, &clerk{centre: i % centres})
		d.start(now, i)
	}
	for i := range centres {
		d.restart(now, i)
	}
	return d
}

// start starts an entry, once more if it runs.
func (d *desk) start(now time.Duration, entry int) {
	e := d.entries[entry]
	e.ledger = NewLedger(now, d.slack)
	e.ledger.SetLimits(now, d.limits)
	e.inbox = map[string]float64{}
	if r := d.relays[e.centre]; r.tally != nil && !r.down && !e.cut {
		e.ledger.Adopt(now, r.tally.Levels(now))
	}
}

// restart starts a relay, once more if it runs: it knows nothing of before.
func (d *desk) restart(now time.Duration, centre int) {
	r := d.relays[centre]
	r.tally, r.down = NewRelayLedger(), false
	r.tally.SetLimits(now, d.limits)
	r.toPeer = make([]map[string]float64, len(d.relays))
	for i := range d.relays {
		r.toPeer[i] = map[string]float64{}
		if i != centre {
			r.tally.Join(now, peerName(i), EntryCount{Entries: d.count(i)})
		}
	}
	for i, e := range d.entries {
		if e.centre == centre {
			r.tally.Join(now, clerkName(i), EntryCount{Entries: 1})
			e.inbox, e.relinked = map[string]float64{}, true
		}
	}
	for _, o := range d.relays {
		if len(o.toPeer) > centre {
			o.toPeer[centre] = map[string]float64{}
		}
	}
}

// own is the entries of a relay's own data centre.
func (t *RelayLedger) own() EntryCount {
	var c EntryCount
	for name, s := range t.sources {
		if !strings.HasPrefix(name, "entry") {
			continue
		}
		c.Entries++
		if s.Silent() {
			c.Absent++
		}
	}
	return c
}

// count is the number of entries of a data centre.
func (d *desk) count(centre int) int {
	n := 0
	for _, e := range d.entries {
		if e.centre == centre {
			n++
		}
	}
	return n
}

func peerName(centre int) string { return fmt.Sprint("centre ", centre) }

func clerkName(entry int) string { return fmt.Sprint("entry ", entry) }

func add(to, more map[string]float64) {
	for name, tokens := range more {
		to[name] += tokens
	}
}

// gossip lets the entries tell their relays what they have used, the relays each
// other, and the entries hear it.
func (d *desk) gossip(now time.Duration) {
	for len(d.words) > 0 && d.words[0].due <= now {
		add(d.words[0].entry.inbox, d.words[0].used)
		d.words = d.words[1:]
	}
	for i, e := range d.entries {
		if r := d.relays[e.centre]; !e.cut && !e.paused && !r.down {
			r.tally.Join(now, clerkName(i), EntryCount{Entries: 1})
			d.spread(now, e.centre, clerkName(i), r.tally.RecordUsage(now, clerkName(i), e.ledger.Unsent()))
		}
	}
	for i, r := range d.relays {
		if r.down {
			continue
		}
		for name, used := range r.tally.Tick(now) {
			d.spread(now, i, name, used)
		}
		for j, o := range d.relays {
			if i != j && !d.cut[[2]int{i, j}] && !o.down {
				o.tally.Join(now, peerName(i), r.tally.own())
				d.spread(now, j, peerName(i), o.tally.RecordUsage(now, peerName(i), r.toPeer[j]))
				r.toPeer[j] = map[string]float64{}
			}
		}
	}
	for _, e := range d.entries {
		if r := d.relays[e.centre]; !e.cut && !e.paused && !r.down {
			if e.relinked {
				e.ledger.Relink(now)
				e.relinked = false
			}
			e.ledger.AddRemoteUsage(now, e.inbox)
			e.ledger.SetEntryCount(now, d.crowd(now, e, r.tally.EntryCount()))
			e.inbox = map[string]float64{}
		}
		if !e.paused {
			e.ledger.Tick(now)
		}
	}
}

// spread passes what a source has used on to the other entries of a data centre and,
// if it is one of these, to the other relays.
func (d *desk) spread(now time.Duration, centre int, from string, used map[string]float64) {
	own := false
	for i, e := range d.entries {
		switch {
		case e.centre != centre:
		case clerkName(i) == from:
			own = true
		case d.lag > 0:
			d.words = append(d.words, word{due: now + d.lag, entry: e, used: used})
		default:
			add(e.inbox, used)
		}
	}
	for j := range d.relays {
		if own && j != centre {
			add(d.relays[centre].toPeer[j], used)
		}
	}
}

// take charges an entry and records what it granted.
func (d *desk) take(now time.Duration, entry int, tokens float64) bool {
	if d.entries[entry].paused {
		return false
	}
	ok := d.entries[entry].ledger.Charge(now, "w", tokens)
	if ok {
		d.uses = append(d.uses, use{at: now, tokens: tokens})
	}
	return ok
}

// most returns the largest use in any window of a length.
func (d *desk) most(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range d.uses {
		sum += u.tokens
		for u.at-d.uses[first].at >= window {
			sum -= d.uses[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}
