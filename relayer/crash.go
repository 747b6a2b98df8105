package relayer

import (
	"time"

	"oleanderstall/quarantiner"
	"oleanderstall/wire"
)

// mergeCrashes adds the records of crashes that an entry or another relay has sent. A crash
// that is new here is sent on at once, so that all entries count it before they send more of
// the same requests.
func (fs *FleetState) mergeCrashes(now time.Duration, crashes []*wire.Crash) {
	for _, message := range quarantiner.Limit(crashes) {
		p, changed := fs.quarantiner.Merge(now, message)
		if !changed {
			continue
		}
		if _, known := fs.crashes.get(p); !known {
			fs.markUrgent(Entry, Relay)
		}
		fs.crashes.set(p, struct{}{})
	}
}

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
