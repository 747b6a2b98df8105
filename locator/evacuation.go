package locator

import (
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
)

// SetEvacuated replaces the data centres whose servers get no new requests. Requests that run there
// go on; those that wait look for another server.
func (l *Locator) SetEvacuated(centres []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.SetEvacuated(centres)
	l.notifier.notifyAll()
	l.signalReport()
}

// InflightAtEvacuated returns the number of requests that still run in evacuated data centres.
func (l *Locator) InflightAtEvacuated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.InflightAtEvacuated()
}

// checkNotEvacuated refuses r if the servers that could run it are all in evacuated data centres. The
// caller holds the lock.
func (l *Locator) checkNotEvacuated(r *dispatcher.Request) error {
	if !l.fleet.EvacuatedPool(r.Pool) {
		return nil
	}
	return refuser.New(refuser.Busy, "the data centres of all backend servers of the pool are evacuated").WithRetryAfter(maxRetryAfter)
}
