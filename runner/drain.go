package runner

import (
	"context"
	"sync/atomic"
	"time"
)

// step is what a stopping entry does with new requests.
type step int32

// Steps of a stop.
const (
	// serving entries take requests as before, and close each connection after an
	// answer.
	serving step = iota
	// simple entries take only requests whose answers cannot be cut in the middle.
	simple
	// refusing entries tell callers to come back.
	refusing
	// closing entries have no listener any more and finish what runs.
	closing
)

// Parts of the grace period.
const (
	// finishPart is the part at the end in which nothing is under way any more.
	finishPart = 0.1
	// answerPart is the part before that in which no request is taken, so that those
	// taken before are answered.
	answerPart = 0.3
)

// Times of a stop.
const (
	// idleTime is how long an entry has had nothing under way if it is not in use.
	idleTime   = 300 * time.Millisecond
	stepPeriod = 20 * time.Millisecond
	// backTime is the time after which callers are told to come back that nobody can
	// serve.
	backTime = time.Second
	// leaveTime is for the last report to the relay.
	leaveTime = 40 * time.Millisecond
)

// drain is the stop of an entry that began at an instant.
type drain struct {
	begun time.Duration
	// notice is the time after which the platform sends no new connections.
	notice time.Duration
	// grace is the time until the platform ends the process.
	grace time.Duration
}

// last is the instant at which the last request ends.
func (d drain) last() time.Duration {
	return d.begun + time.Duration((1-finishPart)*float64(d.grace))
}

// next returns what the entry does at now, with requests under way or none since a
// time, and that many other entries which take requests, though they may be stopping
// as well. An entry that nobody else could stand in for goes on, also between two rare
// requests, for as long as its answers can end in time.
func (d drain) next(now time.Duration, busy bool, quiet time.Duration, others int64) step {
	taken := d.last() - time.Duration(answerPart*float64(d.grace))
	idle := idleTime
	if others == 0 && now < taken {
		idle = max(idle, d.notice)
	}
	switch {
	case !busy && quiet >= idle, now >= d.last():
		return closing
	case now < d.begun+d.notice:
		return serving
	case others > 0:
		return closing
	case now < taken:
		return simple
	}
	return refusing
}

// traffic counts the requests under way.
type traffic struct {
	running atomic.Int64
	// since is the instant of the latest end of one, in nanoseconds.
	since atomic.Int64
	// step is what is done with new ones.
	step atomic.Int32
}

// begin counts a request in. It reports false for one that is not taken any more, which
// is a stream or not.
func (t *traffic) begin(stream bool) bool {
	now := step(t.step.Load())
	if now >= refusing || now == simple && stream {
		return false
	}
	t.running.Add(1)
	return true
}

// end counts a request out.
func (t *traffic) end(now time.Duration) {
	t.since.Store(int64(now))
	t.running.Add(-1)
}

// busy reports whether requests are under way, and else for how long none was.
func (t *traffic) busy(now time.Duration) (busy bool, quiet time.Duration) {
	return t.running.Load() > 0, now - time.Duration(t.since.Load())
}

// Stop drains the entry: the platform is told first, then the listener ends, then
// the requests in hand are finished, for as long as the grace period allows.
func (e *HostedEntry) Stop() {
	s := e.settings.Load()
	d := drain{begun: e.clock(), notice: time.Duration(s.Entry.Grace), grace: time.Duration(s.Hosted.Grace)}
	e.log.Info().Int64("others", e.open.Load()).Msg("stop: draining")
	e.stopping.Store(true)
	e.front.Drain()
	e.serveOn(d)
	// Callers whose requests wait for models are better served elsewhere.
	e.locator.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.last()-e.clock())
	defer cancel()
	e.callers.stop(ctx)
	e.end(ctx)
	e.log.Info().Int64("took", (e.clock() - d.begun).Milliseconds()).Msg("stop: complete")
}

// serveOn takes requests until the listener may end.
func (e *HostedEntry) serveOn(d drain) {
	for {
		now := e.clock()
		busy, quiet := e.traffic.busy(now)
		next := d.next(now, busy, quiet, e.open.Load())
		if last := step(e.traffic.step.Swap(int32(next))); next != last {
			e.log.Info().Int("step", int(next)).Bool("busy", busy).Int64("quiet", quiet.Milliseconds()).
				Int64("others", e.open.Load()).Int64("passed", (now - d.begun).Milliseconds()).Msg("stop: next step")
			e.locator.Wake()
		}
		if next == closing {
			return
		}
		time.Sleep(stepPeriod)
	}
}

// end ends the tasks after the last request.
func (e *HostedEntry) end(ctx context.Context) {
	e.leaving.Store(true)
	e.locator.Wake()
	time.Sleep(leaveTime)
	e.tasks.cancel()
	if e.node != nil {
		e.node.Close()
	}
	e.tasks.stop()
	e.ready.stop(ctx)
	e.admin.stop(ctx)
}
