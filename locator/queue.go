package locator

import (
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/tracker"
)

// maxUnreadPrompts is the number of prompts of one entry that an engine may have unread at
// a time. An engine reads prompts between the tokens of running answers, so several at once
// delay all answers there.
const maxUnreadPrompts = 1

// queueFraction is the largest share of the time to its target that a request waits for the
// prompts before it.
const queueFraction = 0.35

// admits reports whether r may be sent to a server now: enough prompts there have been read, r fits
// into the memory, and no queued request for the same model that also fits goes first. Once r has
// waited until queueEnd it may be sent in any case, so that it does not wait without end for memory
// that others take. Calls of plain services may always be sent. The caller holds the lock.
func (l *Locator) admits(now time.Duration, b *tracker.Backend, r *dispatcher.Request) bool {
	if r.Model == "" || now >= queueEnd(r) {
		return true
	}
	if l.promptsPending(now, b) || !l.fits(now, b, r) {
		return false
	}
	for _, other := range l.queued {
		if other != r && other.Model == r.Model && dispatcher.Compare(other, r) < 0 && l.fits(now, b, other) {
			return false
		}
	}
	return true
}

// queueEnd returns the instant until which r waits for the prompts before it.
func queueEnd(r *dispatcher.Request) time.Duration {
	return r.Started + time.Duration(queueFraction*float64(r.TargetTime-r.Started))
}

// enqueue adds r to the queue, unless it is there. The caller holds the lock.
func (l *Locator) enqueue(r *dispatcher.Request) {
	if !slices.Contains(l.queued, r) {
		l.queued = append(l.queued, r)
	}
}

// leaveQueue removes r from the queue, if it is there, and wakes the requests that are queued
// for the same model.
func (l *Locator) leaveQueue(r *dispatcher.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dequeue(r)
}

// dequeue does the work of leaveQueue. The caller holds the lock.
func (l *Locator) dequeue(r *dispatcher.Request) {
	i := slices.Index(l.queued, r)
	if i < 0 {
		return
	}
	l.queued = slices.Delete(l.queued, i, i+1)
	l.notifier.notify(requestedName(r))
	for _, other := range l.queued {
		if other.Model == r.Model {
			l.notifier.notify(requestedName(other))
		}
	}
}
