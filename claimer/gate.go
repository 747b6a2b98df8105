package claimer

import (
	"slices"
	"time"

	"oleanderstall/storer"
)

// Times in which lost claims are written again.
const (
	// restoreTime is the shortest time from the first news of an era until calls are claimed in
	// it. A process hears of the era by its polls of the platform, at most 4 s apart, and then
	// writes its claims.
	restoreTime = 6 * time.Second
	// maxRestoreTime is the time after which a listed process that has not confirmed that its
	// claims are written counts as ended.
	maxRestoreTime = 30 * time.Second
	// confirmRetry is when to ask again for confirmations that are missing.
	confirmRetry = time.Second
)

// Gate decides from when on a key without a row in the store is known not to have been claimed.
// Its user guards it against concurrent use.
type Gate struct {
	era     uint64
	since   time.Duration
	settled uint64
}

// RecordEra records the latest era of the store that is known.
func (g *Gate) RecordEra(now time.Duration, era uint64) {
	if era > g.era {
		g.era, g.since = era, now
	}
}

// RecordSettled records that all claims have been written again in an era.
func (g *Gate) RecordSettled(era uint64) { g.settled = max(g.settled, era) }

// Settled reports whether a key without a row in an era is known not to have been claimed. Nothing
// is lost before the second era.
func (g *Gate) Settled(era uint64) bool { return era <= storer.FirstEra || g.settled >= era }

// Wait returns how long the claims of the latest era may still be incomplete, or 0 if they are
// complete: restoreTime has passed, and the listed processes have confirmed that they have
// written theirs, or maxRestoreTime has passed.
func (g *Gate) Wait(now time.Duration, listed, confirmed []string) time.Duration {
	known := now - g.since
	missing := slices.ContainsFunc(listed, func(name string) bool { return !slices.Contains(confirmed, name) })
	switch {
	case known < restoreTime:
		return restoreTime - known
	case missing && known < maxRestoreTime:
		return min(confirmRetry, maxRestoreTime-known)
	}
	return 0
}
