package locator

import (
	"cmp"
	"context"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/timer"
)

// lookLeast is the shortest time after which a request looks again by itself.
const lookLeast = time.Millisecond

// pause is the time between two looks of a request that waits.
type pause struct {
	// changed is closed when the request may have got a place.
	changed <-chan struct{}
	limit   time.Duration
}

// pause returns the pause of r until an instant. The caller holds the lock.
func (l *Locator) pause(now, until time.Duration, r *dispatcher.Request) pause {
	name := needed(r)
	if name == "" {
		name = r.Pool
	}
	return pause{changed: l.bell.wait(name), limit: max(lookLeast, until-now)}
}

// wait waits for the next look and reports false if ctx has ended.
func (p pause) wait(ctx context.Context) bool {
	return timer.Wait(ctx, p.limit, p.changed)
}

// rests returns the first instant at which a server that could run r, but wants no
// requests for a while, takes them again, or 0 if there is none. The caller holds the
// lock.
func (l *Locator) rests(r *dispatcher.Request, h *dispatcher.History) time.Duration {
	now, first := l.clock(), time.Duration(0)
	for _, b := range l.candidates(r) {
		if !b.BackingOff(now) || h.Tried[b.Server().ID] || !l.holds(now, b, r) {
			continue
		}
		if first == 0 || b.BackOffUntil() < first {
			first = b.BackOffUntil()
		}
	}
	return first
}

// reopens lets r, for which a plain service has no server now, wait until one takes
// requests again, if that is in time.
func (l *Locator) reopens(now time.Duration, r *dispatcher.Request, rests time.Duration, h *dispatcher.History) error {
	switch {
	case rests > last(r):
		return refuser.New(refuser.Busy, "no backend server of the pool takes requests in time").After(rests - now)
	case rests > 0:
		return nil
	}
	return cmp.Or(h.Last, error(refuser.New(refuser.Busy, "no backend server of the pool takes requests").After(time.Second)))
}
