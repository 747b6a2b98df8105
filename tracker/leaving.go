package tracker

import "time"

// BackOff records that the server wants no requests from this process until an instant. It
// never shortens a back-off.
func (b *Backend) BackOff(until time.Duration) { b.backOffUntil = max(b.backOffUntil, until) }

// BackOffUntil returns the instant until which the server wants no requests from this
// process, or 0 if it has not asked for a back-off since it started.
func (b *Backend) BackOffUntil() time.Duration { return b.backOffUntil }

// BackingOff reports whether the server wants no requests from this process now.
func (b *Backend) BackingOff(now time.Duration) bool { return now < b.backOffUntil }

// maxLeaving is the number of known departures at which those of unlisted servers are
// dropped.
const maxLeaving = 4096

// MarkLeaving records that a server has said itself that it is leaving; started is the
// start of its process, in Unix milliseconds. It gets no new work, whatever the list and
// its sidecar say, until it has started again. MarkLeaving reports whether the departure
// was not known before.
func (f *Fleet) MarkLeaving(id string, started int64) bool {
	if known, ok := f.leavingStarts[id]; ok && known >= started {
		return false
	}
	if len(f.leavingStarts) >= maxLeaving {
		f.pruneLeaving()
	}
	f.leavingStarts[id] = started
	return true
}

// Leaving reports whether a process of a server is known to be leaving: it is no longer
// listed, or the list, its sidecar or the server itself says so.
func (f *Fleet) Leaving(s Server) bool {
	b := f.backends[s.ID]
	return b == nil || b.server.Started == s.Started && (b.server.Leaving || f.isLeaving(b))
}

// pruneLeaving drops the departures of servers that are not listed.
func (f *Fleet) pruneLeaving() {
	for id := range f.leavingStarts {
		if f.backends[id] == nil {
			delete(f.leavingStarts, id)
		}
	}
}

// isLeaving reports whether the listed process of a server has said that it is leaving,
// itself or through its sidecar.
func (f *Fleet) isLeaving(b *Backend) bool {
	if started, ok := f.leavingStarts[b.server.ID]; ok && started >= b.server.Started {
		return true
	}
	return b.status.GetLeaving() && b.status.GetBorn() == b.server.Started
}
