package locator

import (
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/tracker"
)

// promptsAtOnce is the number of prompts of one entry that an engine may have to
// read at a time. Prompts are read between the tokens of running answers: several
// at once pause all answers there.
const promptsAtOnce = 1

// queuePart is the part of the time to its goal that a request waits for the
// prompts before it.
const queuePart = 0.35

// admits reports whether r may be sent to the best server now. The caller holds
// the lock.
func (l *Locator) admits(now time.Duration, b *tracker.Backend, r *dispatcher.Request) bool {
	if r.Model == "" || now >= queueEnd(r) {
		return true
	}
	if b.UnreadPrompts() >= promptsAtOnce {
		return false
	}
	for _, o := range l.queued {
		if o != r && o.Model == r.Model && dispatcher.Compare(o, r) < 0 {
			return false
		}
	}
	return true
}

// queueEnd is the instant until which r waits for the prompts before it.
func queueEnd(r *dispatcher.Request) time.Duration {
	return r.Started + time.Duration(queuePart*float64(r.Goal-r.Started))
}

// queue makes r wait for the prompts before it. The caller holds the lock.
func (l *Locator) queue(r *dispatcher.Request) {
	if !slices.Contains(l.queued, r) {
		l.queued = append(l.queued, r)
	}
}

// unqueue ends the wait of r, and lets those behind it look again.
func (l *Locator) unqueue(r *dispatcher.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dequeue(r)
}

// dequeue does what unqueue says. The caller holds the lock.
func (l *Locator) dequeue(r *dispatcher.Request) {
	i := slices.Index(l.queued, r)
	if i < 0 {
		return
	}
	l.queued = slices.Delete(l.queued, i, i+1)
	l.bell.ring(needed(r))
	for _, o := range l.queued {
		if o.Model == r.Model {
			l.bell.ring(needed(o))
		}
	}
}
