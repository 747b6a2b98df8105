package locator

import (
	"context"
	"strconv"
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
	server tracker.Server
	at     time.Duration
	// fingerprints are those of the requests whose attempts ended, while the crash is not
	// confirmed.
	fingerprints [][]quarantiner.Fingerprint
	checking     bool
	confirmed    bool
}

// processOf returns the process that a row of the list describes.
func processOf(s tracker.Server) quarantiner.Process {
	return quarantiner.Process{Server: s.ID, Started: s.Started}
}

// quarantineOf returns the quarantine of a request, or nil if it may be sent. The caller holds
// the lock.
func (l *Locator) quarantineOf(now time.Duration, r *dispatcher.Request) *quarantiner.Quarantine {
	if l.quarantiner.Idle() {
		return nil
	}
	l.updateQuarantines(now)
	return l.quarantiner.Check(now, r.Pool, r.Fingerprints())
}

// recordAnswer records that the first event of an answer to r has arrived.
func (l *Locator) recordAnswer(r *dispatcher.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearFingerprints(r)
}

// clearFingerprints records that r was answered. The caller holds the lock.
func (l *Locator) clearFingerprints(r *dispatcher.Request) {
	if !l.quarantiner.Idle() {
		l.quarantiner.RecordAnswer(r.Pool, r.Fingerprints())
	}
}

// suspectCrash records that an attempt for r at a server ended as it does if the server
// crashes. Servers that are leaving end without a crash. The caller holds the lock.
func (l *Locator) suspectCrash(now time.Duration, s tracker.Server, r *dispatcher.Request) {
	p := processOf(s)
	suspected := l.suspected[p]
	if suspected == nil {
		if l.fleet.Leaving(s) {
			return
		}
		suspected = &suspectedCrash{server: s, at: now}
		l.suspected[p] = suspected
	}
	if suspected.confirmed {
		l.quarantiner.RecordCrash(suspected.at, p, s.Pool, r.Fingerprints())
		l.updateQuarantines(now)
		return
	}
	suspected.fingerprints = append(suspected.fingerprints, r.Fingerprints())
	select {
	case l.crashSuspected <- struct{}{}:
	default:
	}
}

// checkCrashes starts the checks of the processes that may have crashed, and forgets old
// results.
func (l *Locator) checkCrashes(ctx context.Context, prober Prober) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.updateQuarantines(now)
	for p, suspected := range l.suspected {
		switch {
		case !suspected.checking && !suspected.confirmed:
			suspected.checking = true
			go l.checkCrash(ctx, prober, p, suspected.server.Address)
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
	if suspected == nil {
		return
	}
	if !ended {
		delete(l.suspected, p)
		return
	}
	l.log.Info().Str("server", p.Server).Int64("born", p.Started).Str("pool", suspected.server.Pool).
		Int("unanswered", len(suspected.fingerprints)).Msg("server: crashed")
	for _, prints := range suspected.fingerprints {
		l.quarantiner.RecordCrash(suspected.at, p, suspected.server.Pool, prints)
	}
	suspected.confirmed, suspected.checking, suspected.fingerprints = true, false, nil
	l.updateQuarantines(l.clock())
	l.signalReport()
}

// updateQuarantines renews the quarantines and logs those that have started or ended. Waiting
// requests are woken when one starts, so that those that it concerns are refused. The caller
// holds the lock.
func (l *Locator) updateQuarantines(now time.Duration) {
	l.quarantiner.Update(now)
	for _, change := range l.quarantiner.TakeChanges() {
		q := change.Quarantine()
		line := l.log.Info().Str("pool", q.Pool()).Str("part", strconv.FormatUint(q.ID(), 16)).
			Int("crashes", q.Crashes()).Int64("since", (now-q.Since()).Milliseconds()).Int64("left", (q.Until() - now).Milliseconds())
		if change.Ended() {
			line.Msg("part: released")
			continue
		}
		line.Msg("part: quarantined")
		l.notifier.notifyAll()
	}
}

// Quarantines returns the quarantines in force, by pool and part.
func (l *Locator) Quarantines() []*quarantiner.Quarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateQuarantines(l.clock())
	return l.quarantiner.Quarantines()
}
