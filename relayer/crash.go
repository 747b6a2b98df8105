package relayer

import (
	"time"

	"oleanderstall/quarantiner"
	"oleanderstall/wire"
)

// mergeCrashes adds the records of crashes that an entry or another relay has sent.
func (fs *FleetState) mergeCrashes(now time.Duration, crashes []*wire.Crash) (changed bool) {
	return fs.mergeCrashesBy(fs.quarantiner.Merge, now, crashes)
}

// MergeSavedCrashes adds the records of crashes that were read from the store.
func (fs *FleetState) MergeSavedCrashes(now time.Duration, crashes []*wire.Crash) {
	fs.mergeCrashesBy(fs.quarantiner.MergeSaved, now, crashes)
}

// mergeReportedCrashes adds the records of crashes that a process linked to this relay has sent. This
// relay writes them to the store.
func (fs *FleetState) mergeReportedCrashes(now time.Duration, lp *linkedProcess, crashes []*wire.Crash) {
	if fs.mergeCrashes(now, crashes) && lp.link.GetRole() != Relay {
		fs.crashRevision++
	}
}

// mergeCrashesBy adds records of crashes by a method of the quarantiner, and reports whether one has
// changed. A crash that is new here is sent on at once, so that all entries count it before they
// send more of the same requests.
func (fs *FleetState) mergeCrashesBy(merge func(time.Duration, *wire.Crash) (quarantiner.Process, bool), now time.Duration, crashes []*wire.Crash) (changed bool) {
	for _, message := range quarantiner.Limit(crashes) {
		p, ok := merge(now, message)
		if !ok {
			continue
		}
		changed = true
		if _, known := fs.crashes.get(p); !known {
			fs.markUrgent(Entry, Relay)
		}
		fs.crashes.set(p, struct{}{})
	}
	return changed
}

// Crashes returns all records of crashes.
func (fs *FleetState) Crashes(now time.Duration) []*wire.Crash { return fs.quarantiner.All(now) }

// CrashRevision returns how often records of crashes have changed that processes linked to this
// relay reported.
func (fs *FleetState) CrashRevision() uint64 { return fs.crashRevision }

// addCrashes adds the changed records of crashes to a batch.
func (fs *FleetState) addCrashes(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.crashes.since(lp.sentVersions.crashes) {
		if message := fs.quarantiner.Message(now, c.key); message != nil {
			batch.Crashes = append(batch.Crashes, message)
		}
	}
	lp.sentVersions.crashes = fs.crashes.version
}

// expireCrashes drops the records of crashes that have expired.
func (fs *FleetState) expireCrashes(now time.Duration) {
	fs.quarantiner.Update(now)
	// The relay sends the records only; the entries log the quarantines.
	fs.quarantiner.TakeChanges()
	for p := range fs.crashes.all() {
		if !fs.quarantiner.Has(p) {
			fs.crashes.remove(p)
		}
	}
}
