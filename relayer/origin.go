package relayer

import (
	"slices"
	"time"

	"oleanderstall/pinner"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// originExpiryInterval is the time between two searches for streams that are no longer remembered.
const originExpiryInterval = time.Second

// recordOrigins adds the streams that a linked entry has reported, which are sent to other relays.
func (fs *FleetState) recordOrigins(now time.Duration, origins []*wire.Origin) {
	for _, o := range origins {
		if fs.streams.Merge(now, o.GetStream(), o.GetSoftware(), timer.FromMillis(o.GetAge())) {
			fs.origins.set(o.GetStream(), now-timer.FromMillis(o.GetAge()))
			fs.markUrgent(Relay)
		}
	}
}

// mergeOrigins adds the streams that another relay has sent.
func (fs *FleetState) mergeOrigins(now time.Duration, origins []*wire.Origin) {
	for _, o := range origins {
		fs.streams.Merge(now, o.GetStream(), o.GetSoftware(), timer.FromMillis(o.GetAge()))
	}
}

// addOrigins adds the streams that linked entries have reported since the latest batch to a relay. The
// first batch has all that are known: the relay may be the successor of one that had reported them.
func (fs *FleetState) addOrigins(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	if batch.GetNumber() == 1 {
		batch.Origins = fs.streams.TakeUnsent(now, true)
	} else {
		for c := range fs.origins.since(lp.sentVersions.origins) {
			if software, ok := fs.streams.Stream(c.key); ok && !c.removed {
				batch.Origins = append(batch.Origins, &wire.Origin{Stream: c.key, Software: software, Age: timer.ToMillis(now - c.value)})
			}
		}
	}
	lp.sentVersions.origins = fs.origins.version
}

// expireOrigins drops the streams that are no longer remembered.
func (fs *FleetState) expireOrigins(now time.Duration) {
	if now-fs.originsExpiredAt < originExpiryInterval {
		return
	}
	fs.originsExpiredAt = now
	fs.streams.Expire(now)
	for stream, at := range fs.origins.all() {
		if now-at > pinner.Lifetime {
			fs.origins.remove(stream)
		}
	}
}

// FindSoftware returns the version that began a stream in a pool. It returns false if several may
// have.
func (r *Relayer) FindSoftware(query *wire.OriginQuery) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.streams.Find(r.clock(), query.GetPool(), query.GetStream())
}

// SoftwareRevision returns how often the versions have changed that listed servers have.
func (r *Relayer) SoftwareRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.streams.Revision()
}

// EncodeSoftware returns the value of the row of the versions that servers have had, at a time of day.
// An error is a *storer.FormatError.
func (r *Relayer) EncodeSoftware(at time.Time) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.streams.Encode(r.clock(), at)
}

// RestoreSoftware adds the versions in such a row. An error is a *storer.FormatError.
func (r *Relayer) RestoreSoftware(value []byte, at time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.streams.Restore(r.clock(), value, at)
}

// mergeSoftware returns the versions of two demands.
func mergeSoftware(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}
