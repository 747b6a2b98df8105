package relayer

import (
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// newEntryTime is how long after its first link an entry counts as new: the others do not
// yet know how many tokens its workspaces use, nor does it know their usage. A process that
// has run for newProcessAge was linked before, so a further link does not make it new.
const (
	newEntryTime  = 800 * time.Millisecond
	newProcessAge = 3 * time.Second
)

// newEntryUntil returns the instant until which a process that links counts as new, or 0 if
// it was linked before.
func newEntryUntil(now time.Duration, link *wire.Link) time.Duration {
	if timer.FromMillis(link.GetAge()) >= newProcessAge {
		return 0
	}
	return now + newEntryTime
}

// newEntries returns the number of new entries that are linked to this relay.
func (fs *FleetState) newEntries(now time.Duration) uint32 {
	n := uint32(0)
	for _, lp := range fs.processes {
		if lp.link.GetRole() == Entry && now < lp.newUntil {
			n++
		}
	}
	return n
}

// entryCountsFor returns the counts for one entry: all entries, those whose reports of usage
// it cannot rely on because they are absent or new, and those that accept new connections.
// A new entry does not count itself as absent.
func (fs *FleetState) entryCountsFor(now time.Duration, lp *linkedProcess) (entries, absent, ready uint32) {
	counts := fs.ledger.EntryCount()
	newEntries := fs.newEntries(now)
	if now < lp.newUntil {
		newEntries--
	}
	for _, rf := range fs.remoteFeeds {
		newEntries += rf.newEntries
	}
	return uint32(counts.Entries), uint32(counts.Absent) + newEntries, fs.readyEntries(true)
}

// addEntryCounts adds to another relay's batch the counts of the entries linked to this one
// and, after a change, their names.
func (fs *FleetState) addEntryCounts(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	batch.Entries, batch.Absent = fs.localEntries()
	batch.Ready, batch.Young = fs.readyEntries(false), fs.newEntries(now)
	if lp.sentVersions.entries == fs.entriesVersion {
		return
	}
	lp.sentVersions.entries = fs.entriesVersion
	for _, other := range fs.processes {
		if other.link.GetRole() == Entry {
			batch.Names = append(batch.Names, other.link.GetName())
		}
	}
}

// localEntries returns the number of entries in the ledger apart from those of other data
// centres, and how many of them are absent.
func (fs *FleetState) localEntries() (entries, absent uint32) {
	counts := fs.ledger.EntryCount()
	for _, rf := range fs.remoteFeeds {
		counts.Entries -= int(rf.entries)
		counts.Absent -= int(rf.absent)
	}
	return uint32(max(0, counts.Entries)), uint32(max(0, counts.Absent))
}

// readyEntries returns the number of entries that accept new connections: those linked to
// this relay or, if everywhere is set, those of all data centres.
func (fs *FleetState) readyEntries(everywhere bool) uint32 {
	n := uint32(0)
	for _, lp := range fs.processes {
		if lp.ready {
			n++
		}
	}
	for _, rf := range fs.remoteFeeds {
		if everywhere {
			n += rf.readyEntries
		}
	}
	return n
}
