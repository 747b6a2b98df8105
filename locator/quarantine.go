package locator

import (
	"context"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/quarantiner"
	"oleanderstall/timer"
	"oleanderstall/tracker"
)

// Limits of the checks whether a server has crashed.
const (
	// crashChecks is the number of checks, crashCheckGap the time between two of them. A
	// process that ends may close its connections before its listener.
	crashChecks   = 3
	crashCheckGap = 40 * time.Millisecond
	// crashCheckTimeout bounds one check.
	crashCheckTimeout = 250 * time.Millisecond
	// crashMemory is how long the result of the checks holds for further attempts that end
	// at the same process.
	crashMemory = 10 * time.Second
)

// suspectedCrash is a process of a server at which an attempt ended as in a crash.
type suspectedCrash struct {
	address string
	at      time.Duration
	// requests are those whose attempts ended, while the crash is not confirmed.
	requests  []*dispatcher.Request
	checking  bool
	confirmed bool
}

// suspectCrash records that an attempt for r at a server ended as it does if the server
// crashes. Servers that are leaving end without a crash. The caller holds the lock.
func (l *Locator) suspectCrash(now time.Duration, s tracker.Server, r *dispatcher.Request) {
	p := quarantiner.Process{Server: s.ID, Started: s.Started}
	suspected := l.suspected[p]
	if suspected == nil {
		if l.fleet.Leaving(s) {
			return
		}
		suspected = &suspectedCrash{address: s.Address, at: now}
		l.suspected[p] = suspected
	}
	if suspected.confirmed {
		l.recordCrash(p, suspected.at, r)
		return
	}
	suspected.requests = append(suspected.requests, r)
	select {
	case l.crashSuspected <- struct{}{}:
	default:
	}
}

// recordCrash records a crash with requests that had no answer. The caller holds the lock.
func (l *Locator) recordCrash(p quarantiner.Process, at time.Duration, requests ...*dispatcher.Request) {
	l.quarantine.RecordCrash(at, p, requests...)
	l.markCrashed(l.clock(), p)
	l.wakeQuarantined()
	l.signalReport()
}

// wakeQuarantined wakes the waiting requests if a quarantine has started, so that those which
// it concerns are refused. The caller holds the lock.
func (l *Locator) wakeQuarantined() {
	if l.quarantine.TakeStarted() {
		l.notifier.notifyAll()
	}
}

// checkCrashes starts the checks of the processes that may have crashed, and forgets old
// results.
func (l *Locator) checkCrashes(ctx context.Context, prober Prober) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for p, suspected := range l.suspected {
		switch {
		case !suspected.checking && !suspected.confirmed:
			suspected.checking = true
			go l.checkCrash(ctx, prober, p, suspected.address)
		case suspected.confirmed && now-suspected.at > crashMemory:
			delete(l.suspected, p)
		}
	}
}

// checkCrash checks whether a process has ended: its host answers that nobody listens at the
// address. A host that does not answer may be cut off.
func (l *Locator) checkCrash(ctx context.Context, prober Prober, p quarantiner.Process, address string) {
	ended := false
	for i := 0; i < crashChecks && !ended; i++ {
		if i > 0 && !timer.Wait(ctx, crashCheckGap, nil) {
			break
		}
		checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		ended = prober.Refuses(checkCtx, address)
		cancel()
	}
	l.recordCrashCheck(p, ended)
}

// recordCrashCheck records whether a process has ended. If so, the requests that it had not
// answered are the suspects of the crash.
func (l *Locator) recordCrashCheck(p quarantiner.Process, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	suspected := l.suspected[p]
	if !ended {
		delete(l.suspected, p)
		return
	}
	l.recordCrash(p, suspected.at, suspected.requests...)
	suspected.confirmed, suspected.checking, suspected.requests = true, false, nil
}

// earliestSend returns the earliest instant at which the request of a search, which a server can run
// now, is sent. It is decided when the request becomes ready. The caller holds the lock.
func (l *Locator) earliestSend(now time.Duration, s *search) time.Duration {
	if !s.ready {
		s.ready = true
		s.sendAt = min(now+l.quarantine.SendDelay(s.request), max(now, latestSend(s.request)))
	}
	return s.sendAt
}
