package locator

import (
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// recordStream records which version began the stream that is the answer to a request, also while the
// pool has one version: a second one may come before the stream is taken up.
func (l *Locator) recordStream(r *dispatcher.Request, s tracker.Server) {
	if r.Kind != dispatcher.Resumable || r.StreamID() == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams.Record(l.clock(), router.Hash(r.StreamID()), s.Software)
}

// FindSoftware returns the version that began the stream that a request takes up, as far as this
// process knows. It returns false if several versions may have.
func (l *Locator) FindSoftware(r *dispatcher.Request) (version string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams.Find(l.clock(), r.Pool, router.Hash(r.StreamID()))
}

// RestoreSoftware adds the versions that servers have had, from a row of the store. An error is a
// *storer.FormatError.
func (l *Locator) RestoreSoftware(value []byte, at time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams.Restore(l.clock(), value, at)
}

// reportStreams adds to a report the streams that were begun while a pool had several versions: those
// that were not reported yet, or all. The caller holds the lock.
func (l *Locator) reportStreams(now time.Duration, full bool, report *wire.Report) {
	l.streams.Expire(now)
	mixed := l.streams.AnyMixed(now)
	if mixed {
		report.Origins = l.streams.TakeUnsent(now, full || !l.reportsStreams)
	} else {
		l.streams.DropUnsent()
	}
	l.reportsStreams = mixed
}

// checkSoftware refuses the rest of a stream if no server has the version that began it. The caller
// holds the lock.
func (l *Locator) checkSoftware(r *dispatcher.Request) error {
	version, restricted := r.Software.Version()
	if !restricted || slices.ContainsFunc(l.fleet.Pool(r.Pool), func(b *tracker.Backend) bool { return b.Server().Software == version }) {
		return nil
	}
	return refuser.New(refuser.OtherSoftware, "no backend server has the version "+version+" that began the stream").WithRetryAfter(maxRetryAfter)
}

// updateSoftware finds the versions at which waiting requests may run that may not run at all. The model
// is loaded at one of these, where the other requests may run as well. Without a waiting request it
// keeps those known.
func (d *demand) updateSoftware() {
	if len(d.waiting) == 0 {
		return
	}
	d.software = nil
	for r := range d.waiting {
		if version, restricted := r.Software.Version(); restricted && !slices.Contains(d.software, version) {
			d.software = append(d.software, version)
		}
	}
	slices.Sort(d.software)
}
