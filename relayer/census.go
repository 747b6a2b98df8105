package relayer

import (
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// youngTime is how long after its first link an entry counts as young: the others do not
// know yet how much its workspaces use, nor does it know that of the others. A process
// that has run for startTime has been linked before.
const (
	youngTime = 800 * time.Millisecond
	startTime = 3 * time.Second
)

// youngUntil is the instant until which a process that links counts as young.
func youngUntil(now time.Duration, l *wire.Link) time.Duration {
	if timer.FromMillis(l.GetAge()) >= startTime {
		return 0
	}
	return now + youngTime
}

// young is the number of young entries that are linked here.
func (b *FleetState) young(now time.Duration) uint32 {
	n := uint32(0)
	for _, m := range b.members {
		if m.link.GetRole() == Entry && now < m.young {
			n++
		}
	}
	return n
}

// crowdOf is the number of all entries, of those among them that an entry cannot count
// on to tell what they use, and of those that take new connections.
func (b *FleetState) crowdOf(now time.Duration, m *member) (entries, absent, ready uint32) {
	crowd := b.tally.EntryCount()
	young := b.young(now)
	if now < m.young {
		young--
	}
	for _, p := range b.pages {
		young += p.young
	}
	return uint32(crowd.Entries), uint32(crowd.Absent) + young, b.ready(true)
}

// census tells another relay of the entries that are linked here.
func (b *FleetState) census(now time.Duration, m *member, t *wire.Batch) {
	t.Entries, t.Absent = b.own()
	t.Ready, t.Young = b.ready(false), b.young(now)
	if m.seen.roster == b.roster {
		return
	}
	m.seen.roster = b.roster
	for _, o := range b.members {
		if o.link.GetRole() == Entry {
			t.Names = append(t.Names, o.link.GetName())
		}
	}
}

// own is the number of entries of which this relay keeps account itself, and that of
// those among them that are not heard.
func (b *FleetState) own() (entries, absent uint32) {
	crowd := b.tally.EntryCount()
	for _, p := range b.pages {
		crowd.Entries -= int(p.entries)
		crowd.Absent -= int(p.absent)
	}
	return uint32(max(0, crowd.Entries)), uint32(max(0, crowd.Absent))
}

// ready is the number of entries that take new connections, here or everywhere.
func (b *FleetState) ready(everywhere bool) uint32 {
	n := uint32(0)
	for _, m := range b.members {
		if m.ready {
			n++
		}
	}
	for _, p := range b.pages {
		if everywhere {
			n += p.ready
		}
	}
	return n
}
