package locator

import (
	"cmp"
	"context"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/timer"
)

// minRetryInterval is the shortest timeout after which a waiting request is tried again.
const minRetryInterval = time.Millisecond

// waiter waits for a change that may concern a request, or for a timeout.
type waiter struct {
	// changed is closed when a server may have become able to run the request.
	changed <-chan struct{}
	timeout time.Duration
}

// newWaiter returns a waiter for r that times out at an instant. The caller holds the lock.
func (l *Locator) newWaiter(now, until time.Duration, r *dispatcher.Request) waiter {
	name := requestedName(r)
	if name == "" {
		name = r.Pool
	}
	return waiter{changed: l.notifier.subscribe(name), timeout: max(minRetryInterval, until-now)}
}

// wait waits for the change or the timeout, and reports false if ctx has ended.
func (w waiter) wait(ctx context.Context) bool {
	return timer.Wait(ctx, w.timeout, w.changed)
}

// closure is why servers that could run a request otherwise may not be sent it now.
type closure struct {
	// until is the earliest instant at which one of them may be, after a back-off or with a
	// permit, or 0 if none is known.
	until time.Duration
	// beyondLimit is set if that is a permit for which the request does not wait.
	beyondLimit bool
}

// closed returns why no server may be sent the request of a search now. The caller holds the lock.
func (l *Locator) closed(now time.Duration, s *search) closure {
	var earliest closure
	for _, b := range l.candidates(s.request) {
		if s.history.Tried[b.Server().ID] || !l.canRun(now, b, s.request) {
			continue
		}
		var c closure
		if l.needsPermit(now, b, s) {
			if c = l.closedByLimit(now, b, s); c.until == 0 {
				continue
			}
		}
		if b.BackingOff(now) {
			c.until = max(c.until, b.BackOffUntil())
		}
		if c.until > 0 && (earliest.until == 0 || c.until < earliest.until) {
			earliest = c
		}
	}
	return earliest
}

// checkServiceInTime refuses r, for which a plain service has no server now, unless it waits for
// one that may be sent a request in time. If none is known, r fails as its last attempt did, if
// there was one.
func (l *Locator) checkServiceInTime(now time.Duration, r *dispatcher.Request, c closure, h *dispatcher.History) error {
	switch {
	case c.beyondLimit:
		return refuser.New(refuser.Busy, "the backend servers of the pool get as many requests as they take").WithRetryAfter(c.until - now)
	case c.until > latestSend(r):
		return refuser.New(refuser.Busy, "no backend server of the pool takes requests in time").WithRetryAfter(c.until - now)
	case c.until > 0:
		return nil
	}
	return cmp.Or(h.LastError, error(refuser.New(refuser.Busy, "no backend server of the pool takes requests").WithRetryAfter(time.Second)))
}
