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

// backOffEnd returns the earliest end of a back-off among the servers that could run r
// otherwise, or 0 if none is backing off. The caller holds the lock.
func (l *Locator) backOffEnd(r *dispatcher.Request, h *dispatcher.History) time.Duration {
	now, earliest := l.clock(), time.Duration(0)
	for _, b := range l.candidates(r) {
		if !b.BackingOff(now) || h.Tried[b.Server().ID] || !l.canRun(now, b, r) {
			continue
		}
		if earliest == 0 || b.BackOffUntil() < earliest {
			earliest = b.BackOffUntil()
		}
	}
	return earliest
}

// checkServiceInTime refuses r, for which a plain service has no server now, unless the
// back-off of one ends in time. backOffEnd is the earliest such end, or 0 if no server is
// backing off: r then fails as its last attempt did, if there was one.
func (l *Locator) checkServiceInTime(now time.Duration, r *dispatcher.Request, backOffEnd time.Duration, h *dispatcher.History) error {
	switch {
	case backOffEnd > latestSend(r):
		return refuser.New(refuser.Busy, "no backend server of the pool takes requests in time").WithRetryAfter(backOffEnd - now)
	case backOffEnd > 0:
		return nil
	}
	return cmp.Or(h.LastError, error(refuser.New(refuser.Busy, "no backend server of the pool takes requests").WithRetryAfter(time.Second)))
}
