package runner

import (
	"context"
	"sync/atomic"
	"time"

	"oleanderstall/dispatcher"
)

// drainPhase is how a draining entry handles new requests.
type drainPhase int32

// Phases of a drain.
const (
	// phaseServing accepts requests as before, and closes each connection after an
	// answer.
	phaseServing drainPhase = iota
	// phaseNonStreaming accepts only requests whose answers are not streams, since a
	// stream could be cut in the middle, and of those that may run only once only the ones whose
	// deadlines end before the drain, since the outcome of others could stay unknown.
	phaseNonStreaming
	// phaseRefusing refuses requests and asks callers to retry.
	phaseRefusing
	// phaseClosing closes the listener and finishes the active requests.
	phaseClosing
)

// Fractions of the grace period.
const (
	// finishFraction is the fraction at the end in which no request is active any more.
	finishFraction = 0.1
	// answerFraction is the fraction before that in which no request is accepted, so
	// that those accepted earlier can be answered.
	answerFraction = 0.3
)

// Times of a drain.
const (
	// minIdleTime is the shortest time without active requests, since the drain began, after
	// which an entry counts as unused. A request sent before its caller learned of the drain
	// arrives within it.
	minIdleTime = 300 * time.Millisecond
	// drainPollInterval is the time between two checks of the phase.
	drainPollInterval = 20 * time.Millisecond
	// refusalRetryAfter is the time after which callers that are refused should retry.
	refusalRetryAfter = time.Second
	// finalReportTime is left for the final report to reach the relay.
	finalReportTime = 40 * time.Millisecond
)

// drain holds the times of one drain of an entry.
type drain struct {
	// start is the time at which the drain began.
	start time.Duration
	// noticePeriod is the time until the platform sends no new connections.
	noticePeriod time.Duration
	// gracePeriod is the time until the platform kills the process.
	gracePeriod time.Duration
}

// requestsDeadline returns the time by which the last request has to end.
func (d drain) requestsDeadline() time.Duration {
	return d.start + time.Duration((1-finishFraction)*float64(d.gracePeriod))
}

// phaseAt returns the phase at now. Requests are active (busy), or none has been for
// idleFor, of which only the part within the drain counts. The number of other entries that accept requests is otherReady; they may be
// draining as well. If there is none, the entry keeps accepting requests, also if they
// are rarer than minIdleTime, for as long as their answers can end in time.
func (d drain) phaseAt(now time.Duration, busy bool, idleFor time.Duration, otherReady int64) drainPhase {
	acceptUntil := d.requestsDeadline() - time.Duration(answerFraction*float64(d.gracePeriod))
	idleLimit := minIdleTime
	if otherReady == 0 && now < acceptUntil {
		idleLimit = max(idleLimit, d.noticePeriod)
	}
	idleFor = min(idleFor, now-d.start)
	switch {
	case !busy && idleFor >= idleLimit, now >= d.requestsDeadline():
		return phaseClosing
	case now < d.start+d.noticePeriod:
		return phaseServing
	case otherReady > 0:
		return phaseClosing
	case now < acceptUntil:
		return phaseNonStreaming
	}
	return phaseRefusing
}

// requestCounter counts the active requests of an entry, and refuses new ones by the
// phase of its drain.
type requestCounter struct {
	active atomic.Int64
	// lastEnd is the time at which a request last ended, in nanoseconds.
	lastEnd atomic.Int64
	// phase is the drainPhase. It is phaseServing before a drain.
	phase atomic.Int32
	// deadline is the time by which the last request has to end, in nanoseconds, once a drain has
	// begun.
	deadline atomic.Int64
}

// begin counts a new request. It returns false, and counts nothing, if the phase does not allow the
// request.
func (c *requestCounter) begin(r *dispatcher.Request) bool {
	phase := drainPhase(c.phase.Load())
	if phase >= phaseRefusing || phase == phaseNonStreaming && !c.endsInTime(r) {
		return false
	}
	c.active.Add(1)
	return true
}

// endsInTime reports whether a request ends before the drain, or may be repeated if it does not.
func (c *requestCounter) endsInTime(r *dispatcher.Request) bool {
	if r.Model != "" || r.Kind == dispatcher.Resumable {
		return false
	}
	return r.Kind == dispatcher.Idempotent || r.Deadline <= time.Duration(c.deadline.Load())
}

// end records that a request ended at now.
func (c *requestCounter) end(now time.Duration) {
	c.lastEnd.Store(int64(now))
	c.active.Add(-1)
}

// activity reports whether requests are active, and the time since one last ended.
func (c *requestCounter) activity(now time.Duration) (busy bool, idleFor time.Duration) {
	return c.active.Load() > 0, now - time.Duration(c.lastEnd.Load())
}

// Stop drains the entry and returns when it has stopped. The entry first reports that it
// is not ready and keeps accepting requests by the phases of the drain. Then it closes
// the listener and finishes the active requests, as far as the grace period allows.
func (e *HostedEntry) Stop() {
	s := e.settings.Load()
	d := drain{start: e.clock(), noticePeriod: time.Duration(s.Entry.ShutdownDelay), gracePeriod: time.Duration(s.Hosted.GracePeriod)}
	e.log.Info().Int64("others", e.otherReadyEntries.Load()).Msg("stop: draining")
	e.requests.deadline.Store(int64(d.requestsDeadline()))
	e.stopping.Store(true)
	e.frontend.Drain()
	e.serveUntilClosing(d)
	// Requests that still wait for a model are refused, so that their callers can retry
	// at another entry.
	e.locator.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.requestsDeadline()-e.clock())
	defer cancel()
	e.callerServer.stop(ctx)
	e.stopTasks(ctx)
	e.log.Info().Int64("took", (e.clock() - d.start).Milliseconds()).Msg("stop: complete")
}

// serveUntilClosing updates the phase of the drain until it is phaseClosing. Each change
// is reported to the relay immediately.
func (e *HostedEntry) serveUntilClosing(d drain) {
	for {
		now := e.clock()
		busy, idleFor := e.requests.activity(now)
		phase := d.phaseAt(now, busy, idleFor, e.otherReadyEntries.Load())
		if previous := drainPhase(e.requests.phase.Swap(int32(phase))); phase != previous {
			e.log.Info().Int("step", int(phase)).Bool("busy", busy).Int64("quiet", idleFor.Milliseconds()).
				Int64("others", e.otherReadyEntries.Load()).Int64("passed", (now - d.start).Milliseconds()).Msg("stop: next phase")
			e.locator.Wake()
		}
		if phase == phaseClosing {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// stopTasks sends the final report and stops the tasks and the other listeners. No
// request is active any more.
func (e *HostedEntry) stopTasks(ctx context.Context) {
	e.finished.Store(true)
	e.locator.Wake()
	time.Sleep(finalReportTime)
	e.tasks.cancel()
	if e.node != nil {
		e.node.Close()
	}
	e.tasks.stop()
	e.readyServer.stop(ctx)
	e.admin.stop(ctx)
}
