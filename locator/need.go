package locator

import (
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

const (
	// promisedWorth is what requests that are expected back are worth together, as a
	// part of one that waits. They count as none, so that no model is unloaded for them.
	promisedWorth = 0.05
	// lateWorth is what a late answer is worth, as a part of one on time.
	lateWorth = 0.25
	// backTime is how long after the time told a caller may come back.
	backTime = time.Second
	// lonelyTime is how long an entry may be without a relay before what its requests
	// wait for is hopeless.
	lonelyTime = 2 * time.Second
)

// need is a model or an adapter that requests wait for.
type need struct {
	name    string
	waiting map[*dispatcher.Request]struct{}
	// ready is the instant at which it is expected, if that is known.
	ready time.Duration
	known bool
	// promised is the instant until which requests that were refused are expected
	// back.
	promised time.Duration
	// avoid names the engines that have it but that a request could not use.
	avoid []string
}

// over reports whether nobody waits for what is needed, nor is expected back.
func (n *need) over(now time.Duration) bool { return len(n.waiting) == 0 && now >= n.promised }

// join makes r wait for its model. The caller holds the lock.
func (l *Locator) join(now time.Duration, r *dispatcher.Request) (*need, error) {
	name := needed(r)
	if l.copy.View().Model(name) == nil {
		return nil, refuser.New(refuser.Absent, "no engine of the pool knows the model").After(retryMost)
	}
	n := l.needs[name]
	if n == nil {
		n = &need{name: name, waiting: map[*dispatcher.Request]struct{}{}}
		l.needs[name] = n
	}
	n.waiting[r] = struct{}{}
	for _, b := range l.fleet.Holders(name) {
		if id := b.Server().ID; b.Inventory(now).Has(name) && !slices.Contains(n.avoid, id) {
			n.avoid = append(n.avoid, id)
		}
	}
	l.news.needs = true
	l.changed()
	return n, nil
}

// leave ends the wait of r, if it waits.
func (l *Locator) leave(r *dispatcher.Request, n *need) {
	if n == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(n.waiting, r)
	if len(n.waiting) == 0 {
		n.avoid = nil
	}
	if n.over(l.clock()) && l.needs[n.name] == n {
		delete(l.needs, n.name)
	}
	l.news.needs = true
	l.changed()
}

// expect refuses r if the model that it waits for cannot be there in time. The caller
// holds the lock.
func (l *Locator) expect(now time.Duration, r *dispatcher.Request, n *need) error {
	last := last(r)
	switch {
	case l.stopping:
		return refuser.New(refuser.Leaving, "the entry stops before the model can be there").After(retryLeast)
	case now >= last:
		return n.refuse(now, "the model was not there in time")
	case n.known && n.ready > last:
		return n.refuse(now, "the model cannot be there in time")
	case now-l.linked > lonelyTime:
		return refuser.New(refuser.Outage, "no relay can be asked for the model").After(time.Second)
	}
	return nil
}

// refuse tells a caller to come back when the model is expected. The model stays
// wanted until then.
func (n *need) refuse(now time.Duration, text string) error {
	retry := min(max(n.ready-now, retryLeast), retryMost)
	n.promised = max(n.promised, now+retry+backTime)
	return refuser.New(refuser.Late, text).After(retry)
}

// outlook takes when a model that requests wait for is expected. The caller holds the
// lock.
func (l *Locator) outlook(now time.Duration, o *wire.ReadyEstimate) {
	n := l.needs[o.GetModel()]
	if n == nil {
		return
	}
	n.known = !o.GetGone()
	n.ready = now + timer.FromMillis(o.GetLeft())
	l.bell.ring(n.name)
}

// want is the message for what is needed.
func (n *need) want(now time.Duration) *wire.LoadRequest {
	w := &wire.LoadRequest{Model: n.name, Count: uint32(len(n.waiting)), Goal: 1 << 30, Avoid: n.avoid}
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
		w.Age = max(w.Age, uint32((now - r.Started).Milliseconds()))
	}
	return w
}

// worth weighs a request against others: each rank counts half of the one before
// it.
func worth(r *dispatcher.Request) float64 {
	w := 1.0
	for range min(r.Priority, lastUrgency) {
		w /= 2
	}
	return w
}
