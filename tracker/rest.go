package tracker

import "time"

// BackOff takes note that the server wants nothing from this entry until an instant.
func (b *Backend) BackOff(until time.Duration) { b.rest = max(b.rest, until) }

// BackOffUntil returns the instant until which the server wants nothing from this entry.
func (b *Backend) BackOffUntil() time.Duration { return b.rest }

// BackingOff reports whether the server wants nothing from this entry now.
func (b *Backend) BackingOff(now time.Duration) bool { return now < b.rest }

// maxParted bounds the servers of which it is kept that they leave.
const maxParted = 4096

// MarkLeaving takes note that a server has said itself that it leaves. It gets no new work,
// whatever the list and its sidecar say, until it has started again. Part reports
// whether that was not known.
func (f *Fleet) MarkLeaving(id string, born int64) bool {
	if have, ok := f.parted[id]; ok && have >= born {
		return false
	}
	if len(f.parted) >= maxParted {
		f.forget()
	}
	f.parted[id] = born
	return true
}

// forget drops what is known of leaving servers that are not listed any more.
func (f *Fleet) forget() {
	for id := range f.parted {
		if f.backends[id] == nil {
			delete(f.parted, id)
		}
	}
}

// leaves reports whether a server takes no new work because it leaves.
func (f *Fleet) leaves(b *Backend) bool {
	if born, ok := f.parted[b.server.ID]; ok && born >= b.server.Started {
		return true
	}
	return b.state.GetLeaving() && b.state.GetBorn() == b.server.Started
}
