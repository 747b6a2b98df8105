package locator

import (
	"context"
	"sync/atomic"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/tracker"
)

// attempt is a request in flight at a server.
type attempt struct {
	server  tracker.Server
	request *dispatcher.Request
	// ctx ends, by cancel, when the attempt is abandoned or has ended.
	ctx    context.Context
	cancel context.CancelFunc
	// lastEventAt is the instant of the latest event or, before the first one, of the
	// arrival of the request, in nanoseconds.
	lastEventAt atomic.Int64
}

// startAttempt adds an attempt to those in flight. The caller holds the lock.
func (l *Locator) startAttempt(server tracker.Server, r *dispatcher.Request) *attempt {
	a := &attempt{server: server, request: r}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.lastEventAt.Store(int64(r.Started))
	if l.attempts[server.ID] == nil {
		l.attempts[server.ID] = map[*attempt]struct{}{}
	}
	l.attempts[server.ID][a] = struct{}{}
	return a
}

// endAttempt removes an attempt from those in flight. The caller holds the lock.
func (l *Locator) endAttempt(a *attempt) {
	a.cancel()
	id := a.server.ID
	delete(l.attempts[id], a)
	if len(l.attempts[id]) == 0 {
		delete(l.attempts, id)
	}
}

// abandonAttempts cancels attempts at a server that has been silent for some time and whose
// host does not answer: those that may run again elsewhere, and of the others those whose
// callers would time out if the silence lasted as long again. The caller of the method holds
// the lock.
func (l *Locator) abandonAttempts(now time.Duration, server string, silentFor time.Duration) {
	for a := range l.attempts[server] {
		if a.request.Kind != dispatcher.AtMostOnce || a.timesOutAt() < now+silentFor {
			a.cancel()
		}
	}
}

// timesOutAt returns the instant at which the caller times out if no event comes before.
func (a *attempt) timesOutAt() time.Duration {
	r := a.request
	return min(r.Deadline, time.Duration(a.lastEventAt.Load())+r.FirstEventDeadline-r.Started)
}
