// Package estimator estimates how long a backend server takes to send the first event of an
// answer.
//
// An estimate is the product of three factors. The first is the mean of the server's pool for the
// model, which depends on the tokens to be read, the requests running and the step time. The
// second is the speed of the server relative to that mean, smoothed over seconds. The third is
// what is unusual at this moment: the server's own figure, smoothed over tenths of a second, and
// the gaps between its events. A factor that is not confirmed by observations goes back to 1, so
// that a server that was avoided for being slow is tried again. Factors are averaged as
// logarithms: twice as slow and twice as fast then weigh the same.
package estimator

import (
	"math"
	"time"
)

// Constants of the averages. All deviations and bounds of factors are logarithms.
const (
	// speedTimeConstant is the time constant of the speed of a server relative to its pool. Without
	// observations, the speed returns to the pool's mean with the time constant speedExpiry.
	speedTimeConstant = 2 * time.Second
	speedExpiry       = 20 * time.Second
	// ownExpiry replaces speedExpiry if others have observed the server since this process did.
	ownExpiry = 3 * time.Second
	// minPoolCount is the number of observations of a pool from which speeds relative to its mean
	// are reported to others.
	minPoolCount = 20
	// speedAssumed is the number of observations at the pool's mean that a server starts with.
	speedAssumed = 3
	// maxSpeedWeight bounds the weight of one observation, and maxSpeedDeviation its distance from
	// the estimate, so that an outlier changes the speed by about a tenth.
	maxSpeedWeight    = 0.15
	maxSpeedDeviation = 0.7
	// maxSpeed bounds the speed, at a factor of about 8.
	maxSpeed = 2.1
	// paceTimeConstant is the time constant of the server's own figure. Without a new figure, its
	// distance from its mean decays with the time constant paceExpiry. A neighbour slows a machine
	// for 600 ms.
	paceTimeConstant = 100 * time.Millisecond
	paceExpiry       = 400 * time.Millisecond
	// usualTimeConstant is the time constant of the mean of the server's own figure. Without a new
	// figure, the mean decays with the time constant usualExpiry.
	usualTimeConstant = 3 * time.Second
	usualExpiry       = 5 * time.Second
	// maxPace is the highest plausible figure, in percent, and maxPaceDeviation bounds its distance
	// from 100, at a factor of 10.
	maxPace          = 10000
	maxPaceDeviation = 2.303
	// gapTimeConstant is the time constant of the gaps between events, and gapUsualTimeConstant that
	// of their mean. maxGapDeviation bounds how far gaps change the estimate, since a gap includes
	// the time in which the server reads prompts between two steps. The first gap weighs as much as
	// 1 + gapAssumed.
	gapTimeConstant      = 200 * time.Millisecond
	gapUsualTimeConstant = 10 * time.Second
	maxGapDeviation      = 0.7
	gapAssumed           = 2
	// maxFirst and maxGap are the longest plausible times, and maxTokens and maxRunning the
	// largest plausible numbers.
	maxFirst   = 10 * time.Minute
	maxGap     = time.Minute
	maxTokens  = 1 << 24
	maxRunning = 1 << 14
)

// Work is a request as far as its duration depends on it.
type Work struct {
	// Model is the base model, or empty for a plain service.
	Model string
	// PromptTokens is the number of tokens of the prompt that the server does not have cached.
	PromptTokens int
	// OutputTokens is the expected number of tokens of the answer.
	OutputTokens int
}

// Queue is what a server has to do already.
type Queue struct {
	// PromptTokens is the number of tokens of prompts that were sent there and are not read yet.
	PromptTokens int
	// Waiting is the number of requests that wait there without having begun, apart from those
	// that PromptTokens covers.
	Waiting int
	// Running is the number of requests that run there.
	Running int
	// Slots is the number of requests that the server runs at a time, or 0 if it is not known.
	Slots int
}

// Estimator estimates the times of one backend server from what was observed there. Its size is
// constant, and so is the cost of an observation. It is not safe for concurrent use.
type Estimator struct {
	pool *Pool
	// speed is how long work takes at the server relative to the pool's mean, as observed by this
	// process, and shared the same as observed by others. Both are logarithms.
	speed  average
	shared average
	// unsharedSum is the sum of the logarithms of what was observed of the speed since it was taken
	// by TakeUnshared, and unsharedCount their number.
	unsharedSum   float64
	unsharedCount int
	// pace is the server's own figure and usualPace its mean, both as logarithms relative to 100.
	pace      average
	usualPace average
	// gap is how long gaps between events are relative to the step time of the pool, and usualGap
	// its mean over a longer time. Both are logarithms.
	gap      average
	usualGap average
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{pool: NewPool()} }

// SetPool makes the estimator share the mean of a pool. A new estimator has a mean of its own.
func (e *Estimator) SetPool(p *Pool) { e.pool = p }

// RecordFirst records the time to the first event of a request, and what the server had to do when
// the request was sent. It ignores a time that cannot be right.
func (e *Estimator) RecordFirst(now time.Duration, w Work, q Queue, took time.Duration) {
	if took <= 0 || took > maxFirst {
		return
	}
	w, q = w.plausible(), e.addWaiting(q.plausible())
	momentary := e.momentary(now)
	usual := float64(took) / math.Exp(momentary)
	known := e.speedAt(now)
	e.pool.observe(now, w, q, usual, known)
	read, step := e.pool.scaleOf(w.Model).parts(w, q)
	observed := math.Log(usual) - math.Log(read+step)
	if e.pool.all.seen.count >= minPoolCount {
		e.unsharedSum += clamp(observed, maxSpeed)
		e.unsharedCount++
	}
	weight := e.speed.weight(now, speedTimeConstant, speedAssumed, maxSpeedWeight)
	e.speed.value = known
	e.speed.add(now, clamp(known+clamp(observed-known, maxSpeedDeviation), maxSpeed), weight)
}

// RecordShared records how long work takes at the server relative to its pool, in percent, as others
// have observed it. It ignores a figure that cannot be right.
func (e *Estimator) RecordShared(now time.Duration, percent int) {
	if percent <= 0 || percent > maxPace {
		return
	}
	e.shared.value = clamp(math.Log(float64(percent)/100), maxSpeed)
	e.shared.updatedAt = now
}

// TakeUnshared returns the mean of what was observed of the server's speed since the last call, in
// percent, and the number of observations.
func (e *Estimator) TakeUnshared() (percent, count int) {
	if e.unsharedCount == 0 {
		return 0, 0
	}
	percent, count = int(math.Round(100*math.Exp(e.unsharedSum/float64(e.unsharedCount)))), e.unsharedCount
	e.unsharedSum, e.unsharedCount = 0, 0
	return percent, count
}

// speedAt returns the speed of the server at an instant, as a logarithm. Without observations it
// goes back to what others have observed, and that to the pool's mean.
func (e *Estimator) speedAt(now time.Duration) float64 {
	shared, constant := e.shared.decayed(now, speedExpiry), speedExpiry
	if e.shared.updatedAt > e.speed.updatedAt {
		constant = ownExpiry
	}
	return shared + (e.speed.value-shared)*math.Exp(-float64(max(0, now-e.speed.updatedAt))/float64(constant))
}

// RecordGap records a gap between two events of an answer, and the number of requests at the server.
// It ignores a gap that cannot be right.
func (e *Estimator) RecordGap(now, gap time.Duration, running int) {
	if gap <= 0 || gap > maxGap || running < 0 {
		return
	}
	expected := tokensPerEvent * e.pool.all.stepTime(min(running, maxRunning))
	observed := math.Log(float64(gap)/expected) - e.ownFigure(now)
	if e.gap.count == 0 {
		e.gap.value, e.usualGap.value = observed, observed
	}
	observed = e.gap.value + clamp(observed-e.gap.value, maxGapDeviation)
	e.usualGap.add(now, observed, e.usualGap.weight(now, gapUsualTimeConstant, 0, maxPoolWeight))
	e.gap.add(now, observed, e.gap.weight(now, gapTimeConstant, gapAssumed, maxSpeedWeight))
}

// RecordPace records the server's own figure: how long work takes there now, in percent of what is
// usual. It ignores one that cannot be right.
func (e *Estimator) RecordPace(now time.Duration, percent int) {
	if percent <= 0 || percent > maxPace {
		return
	}
	observed := clamp(math.Log(float64(percent)/100), maxPaceDeviation)
	e.usualPace.value = e.usualPace.decayed(now, usualExpiry)
	e.usualPace.add(now, observed, e.usualPace.weight(now, usualTimeConstant, speedAssumed, maxSpeedWeight))
	e.pace.add(now, observed, e.pace.weight(now, paceTimeConstant, 0, 1))
}

// First returns the expected time to the first event of w if it is sent now.
func (e *Estimator) First(now time.Duration, w Work, queue Queue) time.Duration {
	w, q := w.plausible(), e.addWaiting(queue.plausible())
	s := e.pool.scaleOf(w.Model)
	read, step := s.parts(w, q)
	total := read + step + slotWait(s, w, q, read+step)
	return time.Duration(min(total*e.Factor(now), float64(maxFirst)))
}

// Read returns the expected time in which the server reads the prompt of w if it does so now,
// during which it sends no events of other answers.
func (e *Estimator) Read(now time.Duration, w Work) time.Duration {
	w = w.plausible()
	read, _ := e.pool.scaleOf(w.Model).parts(w, Queue{})
	return time.Duration(min(read*e.Factor(now), float64(maxFirst)))
}

// Factor returns how long work takes at the server now, relative to the pool's mean.
func (e *Estimator) Factor(now time.Duration) float64 {
	return math.Exp(e.speedAt(now) + e.momentary(now))
}

// slotWait returns how long a request waits for a slot, in nanoseconds. Each request before it is
// taken to hold a slot for as long as the request itself will: the time to the first event and that
// of the output, of which a plain service has none. All slots are in use meanwhile.
func slotWait(s *scale, w Work, q Queue, first float64) float64 {
	before := q.Running + q.Waiting + 1 - q.Slots
	if q.Slots <= 0 || before <= 0 {
		return 0
	}
	return float64(before) * (first + float64(w.OutputTokens)*s.stepTime(q.Slots)) / float64(q.Slots)
}

// momentary returns what is unusual at the server at this moment, as a logarithm.
func (e *Estimator) momentary(now time.Duration) float64 {
	gap := clamp(e.gap.value-e.usualGap.value, maxGapDeviation) * math.Exp(-float64(max(0, now-e.gap.updatedAt))/float64(paceExpiry))
	return e.ownFigure(now) + gap
}

// ownFigure returns the server's own figure as a logarithm. With its age it goes back to its mean,
// and more slowly to 100.
func (e *Estimator) ownFigure(now time.Duration) float64 {
	usual := e.usualPace.decayed(now, usualExpiry)
	return usual + (e.pace.value-e.usualPace.value)*math.Exp(-float64(max(0, now-e.pace.updatedAt))/float64(paceExpiry))
}

// addWaiting returns a queue whose prompt tokens include those of the waiting requests, of which
// each is taken to have the mean number.
func (e *Estimator) addWaiting(q Queue) Queue {
	q.PromptTokens = min(q.PromptTokens+int(float64(q.Waiting)*e.pool.prompt.value), maxTokens)
	return q
}

// plausible returns w with its numbers limited to what can be right.
func (w Work) plausible() Work {
	w.PromptTokens = max(0, min(w.PromptTokens, maxTokens))
	w.OutputTokens = max(0, min(w.OutputTokens, maxTokens))
	return w
}

// plausible returns q with its numbers limited to what can be right.
func (q Queue) plausible() Queue {
	q.PromptTokens = max(0, min(q.PromptTokens, maxTokens))
	q.Waiting = max(0, min(q.Waiting, maxRunning))
	q.Running = max(0, min(q.Running, maxRunning))
	q.Slots = max(0, min(q.Slots, maxRunning))
	return q
}
