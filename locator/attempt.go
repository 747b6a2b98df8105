package locator

import (
	"context"
	"sync/atomic"
	"time"

	"oleanderstall/dispatcher"
)

// attempt is a request under way at a server.
type attempt struct {
	server  string
	request *dispatcher.Request
	// held ends, by abandon, when the attempt is given up.
	held    context.Context
	abandon context.CancelFunc
	// last is the instant of the latest event, or of the arrival, in nanoseconds.
	last atomic.Int64
}

// send takes note of an attempt. The caller holds the lock.
func (l *Locator) send(server string, r *dispatcher.Request) *attempt {
	a := &attempt{server: server, request: r}
	a.held, a.abandon = context.WithCancel(context.Background())
	a.last.Store(int64(r.Started))
	if l.sent[server] == nil {
		l.sent[server] = map[*attempt]struct{}{}
	}
	l.sent[server][a] = struct{}{}
	return a
}

// end takes note of the end of an attempt. The caller holds the lock.
func (l *Locator) end(a *attempt) {
	a.abandon()
	delete(l.sent[a.server], a)
	if len(l.sent[a.server]) == 0 {
		delete(l.sent, a.server)
	}
}

// abandon gives up the attempts at a server whose host has not answered for some time:
// those that may go elsewhere, and those whose callers will have left before the host
// answers, if it stays silent as long again. The caller holds the lock.
func (l *Locator) abandon(now time.Duration, server string, quiet time.Duration) {
	for a := range l.sent[server] {
		if a.request.Kind != dispatcher.Single || a.patience() < now+quiet {
			a.abandon()
		}
	}
}

// patience is the instant at which the caller gives up if no event comes.
func (a *attempt) patience() time.Duration {
	r := a.request
	return min(r.Deadline, time.Duration(a.last.Load())+r.First-r.Started)
}
