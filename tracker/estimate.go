package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"oleanderstall/estimator"
	"oleanderstall/wire"
)

// poolEstimates is what the estimates of the servers of a pool have in common.
type poolEstimates struct {
	mean *estimator.Pool
	// stated is set once a server of the pool has stated how long work takes there. Until then
	// nothing is estimated.
	stated bool
}

// estimates is what the expected times of a backend server are based on.
type estimates struct {
	estimator *estimator.Estimator
	pool      *poolEstimates
	// unreadTokens is the number of tokens of the prompts of this process that the server has
	// not read yet, and readUntil the instant at which it is expected to have read them.
	unreadTokens int
	readUntil    time.Duration
	// pace is the server's own latest figure, as of paceAt, and sharedPace the one last reported to
	// others.
	pace       int
	paceAt     time.Duration
	sharedPace int
	// waiting is the number of requests that wait at the server, as of waitingAt.
	waiting   int
	waitingAt time.Duration
	// prompts are the beginnings of prompts that were sent there lately.
	prompts promptTable
	// memory is what is known of the memory for prompts and answers.
	memory memory
	// gapAt is the instant of the latest gap recorded, in nanoseconds.
	gapAt atomic.Int64
}

// updateEstimates makes a server share the estimates of its pool, which its row in the list may
// have changed. A new process of the server has no prompts cached.
func (f *Fleet) updateEstimates(b *Backend, s Server) {
	e := &b.estimates
	if e.estimator == nil {
		e.estimator = estimator.New()
	}
	if e.pool == nil || b.server.Pool != s.Pool {
		e.pool = f.poolEstimatesOf(s.Pool)
		e.estimator.SetPool(e.pool.mean)
	}
	if b.server.Started != s.Started {
		e.prompts, e.waiting = promptTable{}, 0
	}
}

// poolEstimatesOf returns the estimates of a pool, and creates them if there are none.
func (f *Fleet) poolEstimatesOf(pool string) *poolEstimates {
	p := f.estimates[pool]
	if p == nil {
		p = &poolEstimates{mean: estimator.NewPool()}
		f.estimates[pool] = p
	}
	return p
}

// dropEstimates drops the estimates of a pool without servers.
func (f *Fleet) dropEstimates(pool string) {
	for _, b := range f.backends {
		if b.server.Pool == pool {
			return
		}
	}
	delete(f.estimates, pool)
}

// Estimated reports whether times at the server are estimated: a server of its pool has stated how
// long work takes there.
func (b *Backend) Estimated() bool { return b.estimates.pool != nil && b.estimates.pool.stated }

// RecordPace records the server's own figure of how long work takes there now, in percent of what
// is usual, or 0 if it states none.
func (b *Backend) RecordPace(now time.Duration, percent int) {
	if percent <= 0 {
		return
	}
	b.estimates.estimator.RecordPace(now, percent)
	b.estimates.pace, b.estimates.paceAt = percent, now
	b.estimates.pool.stated = true
}

// minPaceChange is the factor by which the server's own figure has to change to be reported again.
const minPaceChange = 1.3

// MaxSpeedCount is the most observations that a report of a speed stands for.
const MaxSpeedCount = 1000

// maxSpeedPercent is the highest plausible speed or figure in a report, in percent.
const maxSpeedPercent = 10000

// PlausibleSpeed reports whether a speed or a server's own figure in a report can be right.
func PlausibleSpeed(percent uint32) bool { return percent > 0 && percent <= maxSpeedPercent }

// TakeSpeed returns a report of what was observed of the server's speed since the last call, or nil if
// there is nothing to report.
func (b *Backend) TakeSpeed() *wire.ServerSpeed {
	e := &b.estimates
	percent, count := e.estimator.TakeUnshared()
	speed := &wire.ServerSpeed{Server: b.server.ID, Speed: uint32(percent), Count: uint32(min(count, MaxSpeedCount))}
	if e.pace > 0 && (e.sharedPace == 0 || float64(max(e.pace, e.sharedPace)) >= minPaceChange*float64(min(e.pace, e.sharedPace))) {
		speed.Pace, e.sharedPace = uint32(e.pace), e.pace
	}
	if speed.GetCount() == 0 && speed.GetPace() == 0 {
		return nil
	}
	return speed
}

// ownPacePrecedence is the time for which a figure that this process got from the server itself goes
// before one that others have received: theirs has come through a relay and is older than it seems.
const ownPacePrecedence = 300 * time.Millisecond

// RecordSharedSpeed records what other processes have observed of the server's speed. They report only
// servers of pools of which a server has stated its own figure.
func (b *Backend) RecordSharedSpeed(now time.Duration, speed *wire.ServerSpeed) {
	e := &b.estimates
	if speed.GetCount() > 0 && PlausibleSpeed(speed.GetSpeed()) {
		e.estimator.RecordShared(now, int(speed.GetSpeed()))
		e.pool.stated = true
	}
	if PlausibleSpeed(speed.GetPace()) && (e.paceAt == 0 || now-e.paceAt > ownPacePrecedence) {
		e.estimator.RecordPace(now, int(speed.GetPace()))
		e.pool.stated = true
	}
}

// RecordWaiting records the number of requests that wait at the server without having begun.
func (b *Backend) RecordWaiting(now time.Duration, waiting int) {
	b.estimates.waiting, b.estimates.waitingAt = max(0, waiting), now
}

// minGapInterval is the shortest time between two gaps that are recorded for a server, which bounds
// the cost of answers with many events.
const minGapInterval = 20 * time.Millisecond

// TakeGap reports whether a gap between two events may be recorded now. It is safe for concurrent
// use.
func (b *Backend) TakeGap(now time.Duration) bool {
	last := b.estimates.gapAt.Load()
	return now-time.Duration(last) >= minGapInterval && b.estimates.gapAt.CompareAndSwap(last, int64(now))
}

// RecordGap records a gap between two events of an answer.
func (b *Backend) RecordGap(now, gap time.Duration) {
	b.estimates.estimator.RecordGap(now, gap, int(b.EstimatedLoad(now)))
}

// minUnreadShare is the least share of the tokens of sent prompts that counts as unread until their
// first events, even if the server should have read them by now.
const minUnreadShare = 0.25

// queue returns what the server has to do already before a request for a model.
func (b *Backend) queue(now time.Duration, model string) estimator.Queue {
	e := &b.estimates
	waiting := float64(e.waiting)
	if b.Status(now) == nil {
		waiting *= math.Exp(-float64(max(0, now-e.waitingAt)) / float64(otherRequestsDecay))
	}
	unread := float64(e.unreadTokens)
	if all := e.estimator.Read(now, estimator.Work{Model: model, PromptTokens: e.unreadTokens}); all > 0 {
		unread *= max(minUnreadShare, min(1, float64(e.readUntil-now)/float64(all)))
	}
	return estimator.Queue{
		PromptTokens: int(unread),
		Waiting:      max(0, int(waiting)-b.unreadPrompts),
		Running:      max(0, int(b.EstimatedLoad(now)-waiting)),
		Slots:        b.server.Slots,
	}
}

// ExpectedFirst returns the expected time to the first event of a request if it is sent now.
func (b *Backend) ExpectedFirst(now time.Duration, w estimator.Work) time.Duration {
	return b.estimates.estimator.First(now, w, b.queue(now, w.Model))
}

// ExpectedRead returns the expected time in which the server reads the prompt of a request, during
// which it sends no events of other answers.
func (b *Backend) ExpectedRead(now time.Duration, w estimator.Work) time.Duration {
	return b.estimates.estimator.Read(now, w)
}

// ExpectedSlotTime returns the expected time that a request to a plain service takes, divided by the
// number of requests that the server runs at a time: by how much it delays one that waits.
func (b *Backend) ExpectedSlotTime(now time.Duration) time.Duration {
	return b.estimates.estimator.First(now, estimator.Work{}, estimator.Queue{}) / time.Duration(max(1, b.server.Slots))
}

// ExpectedSpeed returns how long work takes at the server now, relative to the mean of its pool.
func (b *Backend) ExpectedSpeed(now time.Duration) float64 {
	return b.estimates.estimator.Factor(now)
}

// UnreadTime returns the expected time until the server has read the prompts of this process.
func (b *Backend) UnreadTime(now time.Duration) time.Duration {
	if b.estimates.unreadTokens == 0 {
		return 0
	}
	return max(0, b.estimates.readUntil-now)
}

// SentWork is a request in flight at a server whose times are estimated. Its methods do nothing if
// it is nil.
type SentWork struct {
	backend *Backend
	work    estimator.Work
	queue   estimator.Queue
	sentAt  time.Duration
	// read is set once the prompt was read, at readAt, and first once the first event has arrived.
	read, first bool
	readAt      time.Duration
	// tokens is what the request needs of the server's memory.
	tokens Tokens
	// included is set if the latest figure of the server's memory has the prompt in it, and ended
	// once the attempt has ended.
	included, ended bool
}

// StartWork records work that is sent to a server, with the beginnings of its prompt and what it
// needs of the memory. It returns nil unless times at the server are estimated.
func (b *Backend) StartWork(now time.Duration, w estimator.Work, prompt []PromptPrefix, tokens Tokens) *SentWork {
	if !b.Estimated() {
		return nil
	}
	e := &b.estimates
	sent := &SentWork{backend: b, work: w, queue: b.queue(now, w.Model), sentAt: now, tokens: tokens.plausible()}
	e.unreadTokens += w.PromptTokens
	e.readUntil = max(e.readUntil, now) + e.estimator.Read(now, w)
	e.prompts.add(now, prompt)
	e.memory.start(sent)
	return sent
}

// MarkRead records that the server has read the prompt.
func (s *SentWork) MarkRead(now time.Duration) {
	if s == nil || s.read {
		return
	}
	s.read, s.readAt = true, now
	s.backend.estimates.unreadTokens -= s.work.PromptTokens
}

// RecordFirst records the first event, or the whole answer if it is not a stream.
func (s *SentWork) RecordFirst(now time.Duration) {
	if s == nil || s.first {
		return
	}
	s.first = true
	s.backend.estimates.estimator.RecordFirst(now, s.work, s.queue, now-s.sentAt)
}

// End records the end of the attempt.
func (s *SentWork) End(now time.Duration) {
	if s == nil {
		return
	}
	s.MarkRead(now)
	s.backend.estimates.memory.end(s)
}
