package tracker

import "time"

// Limits of the silence of a server that has requests of this entry.
const (
	// quietTime is the longest silence that says nothing.
	quietTime = 700 * time.Millisecond
	// stillTime is the further silence after which the server counts as one at which
	// every attempt fails.
	stillTime = 700 * time.Millisecond
	// stoodLife is how long a server that stood still is avoided without a sign of
	// life. After that it is tried again, since it may have no sidecar to speak for it.
	stoodLife = 5 * time.Second
	// doubtTime is the silence after which the server's host is asked for a sign of life.
	doubtTime = 300 * time.Millisecond
	// sureTime is how long after an event or an answer a server counts as one that
	// receives what is sent to it.
	sureTime = 10 * time.Millisecond
)

// RecordActivity takes note of an event or an answer from the server. It may be called at any
// time.
func (b *Backend) RecordActivity(now time.Duration) { b.alive.Store(int64(now)) }

// ActiveSince reports whether an event or an answer has come since an instant.
func (b *Backend) ActiveSince(t time.Duration) bool { return time.Duration(b.alive.Load()) >= t }

// ActiveSince reports whether an event or an answer of any server has come since an
// instant.
func (f *Fleet) ActiveSince(t time.Duration) bool {
	for _, b := range f.backends {
		if b.ActiveSince(t) {
			return true
		}
	}
	return false
}

// RecentlyActive reports whether the server has just given a sign of life itself.
func (b *Backend) RecentlyActive(now time.Duration) bool {
	return now-time.Duration(b.alive.Load()) <= sureTime
}

// quiet is the time since the server gave a sign of life: an event, an answer or its
// sidecar's word.
func (b *Backend) quiet(now time.Duration) time.Duration {
	return now - max(time.Duration(b.alive.Load()), b.told)
}

// MarkStalled takes note that the server stands still: its host did not confirm what was
// sent to it.
func (b *Backend) MarkStalled(now time.Duration) { b.stood = now }

// NeedsProbe reports whether the server has requests of this entry for models and has
// given no sign of life for long, nor has its host since the instant checked.
func (b *Backend) NeedsProbe(now time.Duration) bool {
	return len(b.inflight) > 0 && min(b.SilentFor(now), now-b.checked) > doubtTime
}

// SilentFor is how long the server has had requests of this entry for models without an
// event or an answer.
func (b *Backend) SilentFor(now time.Duration) time.Duration {
	return now - max(b.busy, time.Duration(b.alive.Load()))
}

// RecordProbe takes note that the server's host was asked for a sign of life.
func (b *Backend) RecordProbe(now time.Duration) { b.checked = now }

// stands reports whether the server was found to stand still and has given no sign of
// life since.
func (b *Backend) stands(now time.Duration) bool {
	return b.stood > 0 && now-b.stood <= min(stoodLife, b.quiet(now))
}

// StallScore is how far a server is towards standing still, from 0 to 1: it has
// requests of this entry for models, and no event has come for long. A server whose
// requests have left meanwhile stands still until it gives a sign of life.
func (b *Backend) StallScore(now time.Duration) float64 {
	if b.stands(now) {
		return 1
	}
	if len(b.inflight) == 0 {
		return 0
	}
	return min(1, max(0, float64(b.SilentFor(now)-quietTime)/float64(stillTime)))
}
