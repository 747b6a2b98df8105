package locator

import (
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/wire"
)

// promisedWorth is what requests that are expected back are worth together, as a
// part of one that waits. They count as none, so that no model is unloaded for them.
const promisedWorth = 0.05

// lateWorth is what a late answer is worth, as a part of one on time.
const lateWorth = 0.25

// Wanted returns a channel that is signalled when the sidecar of a server is to
// be told something new.
func (l *Locator) Wanted(server string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signal(server)
}

// signal returns the channel of a server. The caller holds the lock.
func (l *Locator) signal(server string) chan struct{} {
	ch := l.wanted[server]
	if ch == nil {
		ch = make(chan struct{}, 1)
		l.wanted[server] = ch
	}
	return ch
}

// tell signals that the sidecar of a server is to be told something new. The
// caller holds the lock.
func (l *Locator) tell(server string) {
	if server == "" {
		return
	}
	select {
	case l.signal(server) <- struct{}{}:
	default:
	}
}

// Tell returns what the sidecar of a server is to know.
func (l *Locator) Tell(server string) *wire.Tell {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.number++
	t := &wire.Tell{Entry: l.name, Started: l.started, Number: l.number}
	for name, n := range l.needs {
		if n.over(now) {
			delete(l.needs, name)
			continue
		}
		l.ask(now, n, nil)
		if n.server == server {
			t.Wants = append(t.Wants, n.want(now))
		}
	}
	t.Wants = l.growthWants(now, server, t.Wants)
	b := l.fleet.Get(server)
	t.Idle = len(t.Wants) == 0 && (b == nil || b.Inflight() == 0)
	if b == nil {
		return t
	}
	pool := l.fleet.Pool(b.Server().Pool)
	for _, name := range b.Holding(now).Models {
		u := &wire.Use{Model: name, Inflight: uint32(b.InflightOf(name)), Rate: l.demand.Rate(now, name)}
		for _, o := range pool {
			if o.Holding(now).Has(name) {
				u.Copies++
			}
		}
		t.Uses = append(t.Uses, u)
	}
	return t
}

// want is the message for what is needed.
func (n *need) want(now time.Duration) *wire.Want {
	w := &wire.Want{Model: n.name, Count: uint32(len(n.waiting)), Goal: 1 << 30}
	if now < n.promised {
		w.Worth += promisedWorth
	}
	for r := range n.waiting {
		worth := worth(r)
		if now > r.Goal {
			worth *= lateWorth
		}
		w.Worth += worth
		w.Goal = min(w.Goal, int32((r.Goal - now).Milliseconds()))
		w.Age = max(w.Age, uint32((now - r.Begun).Milliseconds()))
	}
	return w
}

// worth weighs a request against others: each rank counts half of the one before
// it, and a long answer more than a short one.
func worth(r *dispatcher.Request) float64 {
	w := 1.0
	for range min(r.Priority, lastUrgency) {
		w /= 2
	}
	return w
}

// Serving returns the number of servers of a pool that take new work.
func (l *Locator) Serving(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.Pool(pool))
}

// Watched returns the number of engines whose sidecars are heard.
func (l *Locator) Watched() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Watched(l.clock())
}
