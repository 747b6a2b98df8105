package tracker

import "time"

// Limits for detecting that a server that has requests of this process has stalled.
const (
	// stallGrace is the longest silence that does not raise the stall score.
	stallGrace = 700 * time.Millisecond
	// stallRamp is the further silence over which the stall score rises to 1, which
	// counts as much as a server at which every attempt fails.
	stallRamp = 700 * time.Millisecond
	// stallExpiry is how long a server marked stalled is avoided if there is neither
	// activity of it nor a report. After that it is tried again, since it may have no
	// sidecar that could report its recovery.
	stallExpiry = 5 * time.Second
	// probeSilence is the silence after which the server's host is probed.
	probeSilence = 300 * time.Millisecond
	// activityWindow is how long after an event or an answer a server is assumed to
	// receive what is sent to it.
	activityWindow = 10 * time.Millisecond
)

// RecordActivity records an event or an answer from the server. Unlike the other methods,
// it is safe for concurrent use.
func (b *Backend) RecordActivity(now time.Duration) { b.activeAt.Store(int64(now)) }

// ActiveSince reports whether the server has sent an event or an answer since an instant.
func (b *Backend) ActiveSince(t time.Duration) bool { return time.Duration(b.activeAt.Load()) >= t }

// ActiveSince reports whether any server has sent an event or an answer since an instant.
func (f *Fleet) ActiveSince(t time.Duration) bool {
	for _, b := range f.backends {
		if b.ActiveSince(t) {
			return true
		}
	}
	return false
}

// RecentlyActive reports whether the server has sent an event or an answer within
// activityWindow. Reports of its sidecar do not count, since they may have been under way
// for longer than that.
func (b *Backend) RecentlyActive(now time.Duration) bool {
	return now-time.Duration(b.activeAt.Load()) <= activityWindow
}

// sinceActivityOrReport returns the time since the latest event or answer from the server
// or status from its sidecar.
func (b *Backend) sinceActivityOrReport(now time.Duration) time.Duration {
	return now - max(time.Duration(b.activeAt.Load()), b.statusAt)
}

// MarkStalled records that the server has stalled: its host did not confirm what was sent
// to it or did not answer a probe, or its last requests ended during a silence.
func (b *Backend) MarkStalled(now time.Duration) { b.stalledAt = now }

// NeedsProbe reports whether the server has requests of this process for models, has been
// silent for longer than probeSilence, and its host was not probed within that time.
func (b *Backend) NeedsProbe(now time.Duration) bool {
	return len(b.inflightByModel) > 0 && min(b.SilentFor(now), now-b.probedAt) > probeSilence
}

// SilentFor returns how long the server has had requests of this process for models
// without sending an event or an answer.
func (b *Backend) SilentFor(now time.Duration) time.Duration {
	return now - max(b.busySince, time.Duration(b.activeAt.Load()))
}

// RecordProbe records the end of a probe of the server's host.
func (b *Backend) RecordProbe(now time.Duration) { b.probedAt = now }

// stalled reports whether the server was marked stalled within stallExpiry and there was
// neither activity of it nor a report of its sidecar since.
func (b *Backend) stalled(now time.Duration) bool {
	return b.stalledAt > 0 && now-b.stalledAt <= min(stallExpiry, b.sinceActivityOrReport(now))
}

// StallScore returns how likely the server has stalled, from 0 to 1. It rises with the
// silence of a server that has requests of this process for models. It is 1 for a server
// marked stalled, also once its requests have ended, until there is activity of it or a
// report, or stallExpiry has passed.
func (b *Backend) StallScore(now time.Duration) float64 {
	if b.stalled(now) {
		return 1
	}
	if len(b.inflightByModel) == 0 {
		return 0
	}
	return min(1, max(0, float64(b.SilentFor(now)-stallGrace)/float64(stallRamp)))
}
