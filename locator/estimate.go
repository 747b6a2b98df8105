package locator

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/dispatcher"
	"oleanderstall/estimator"
	"oleanderstall/router"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

const (
	// slowedShare is the share of the time in which a server reads a prompt that is added to the cost
	// for each request that runs there. Reading delays the events of all of them, most of which are
	// still on time.
	slowedShare = 0.1
	// callShare is the share of the expected time that is added to the cost of a call of a plain
	// service. For each call there, the time that a call takes for each slot is added, since an entry
	// knows the calls of other entries only roughly. Calls through four entries waited 34 to 40 ms
	// (p95) with this cost, 75 to 82 ms with the whole expected time alone, and 9 to 13 ms by the
	// number of requests (TestManyEntriesShareServices).
	callShare = 0.3
	// maxSlowed bounds the delay of other requests in the cost, so that implausible figures leave the
	// cost in range.
	maxSlowed = 10 * time.Minute
	// linkTime is added to the cost of a server in another data centre. The observed times include
	// that of the way there; this avoids traffic between data centres that gains next to nothing.
	linkTime = 10 * time.Millisecond
	// lateWeight is the weight of the expected time beyond the target, in addition to the time
	// itself.
	lateWeight = 2
	// spreadShare is the range over which an expected time differs between equal servers from
	// request to request. Entries that know the same would otherwise choose the same one.
	spreadShare = 0.05
	// maxUnreadTime bounds the expected reading time of the prompts of this entry that a server has not
	// read yet, if its times are estimated. It is a quarter of the usual longest gap between events.
	maxUnreadTime = 60 * time.Millisecond
	// maxPrefixes is the number of beginnings of a prompt that are compared.
	maxPrefixes = 8
)

// costOf returns the cost of sending the request of a search to a server. The caller holds the
// lock.
func (l *Locator) costOf(now time.Duration, b *tracker.Backend, s *search) router.Cost {
	cost := router.Cost{
		Load:          b.EstimatedLoad(now),
		UnreadPrompts: b.UnreadPrompts(),
		Remote:        b.Server().Centre != l.centre,
		FailureRate:   max(b.FailureRate(now), b.StallScore(now)),
		Saturation:    b.Saturation(now),
	}
	if b.Estimated() {
		cost.Estimated, cost.Expected = true, l.expected(now, b, s)
	}
	return cost
}

// expected returns the times that sending the request of a search to a server is expected to cost.
// The caller holds the lock.
func (l *Locator) expected(now time.Duration, b *tracker.Backend, s *search) router.ExpectedTime {
	r, w := s.request, s.workAt(now, b)
	share, delay := 1.0, slowedShare*float64(b.ExpectedRead(now, w))
	if r.Model == "" {
		share, delay = callShare, float64(b.ExpectedSlotTime(now))
	}
	spread := 1 + spreadShare*float64(router.Score(b.Server().ID, router.Hash(r.ID)))/math.MaxUint64
	e := router.ExpectedTime{
		First:  time.Duration(share * spread * float64(b.ExpectedFirst(now, w))),
		Slowed: time.Duration(min(b.EstimatedLoad(now)*delay, float64(maxSlowed))),
	}
	if b.Server().Centre != l.centre {
		e.Link = linkTime
	}
	if r.TargetTime > r.Started {
		e.Late = lateWeight * max(0, now+time.Duration(float64(e.First)/share)+e.Link-r.TargetTime)
	}
	return e
}

// workAt returns the work of the request of a search at a server.
func (s *search) workAt(now time.Duration, b *tracker.Backend) estimator.Work {
	r := s.request
	if s.prompt == nil {
		s.prompt = promptPrefixes(r)
	}
	return estimator.Work{
		Model:        r.Model,
		PromptTokens: max(0, promptTokens(r)-b.CachedTokens(now, s.prompt)),
		OutputTokens: expectedOutput(r),
	}
}

// promptTokens returns the length of the prompt of r, which is that of its parts if the caller does
// not state it.
func promptTokens(r *dispatcher.Request) int {
	if r.InputTokens > 0 {
		return r.InputTokens
	}
	tokens := 0
	for _, part := range r.Prompt {
		tokens += part.Tokens
	}
	return tokens
}

// expectedOutput returns the expected number of tokens of the answer to r: the caller's estimate,
// or the limit.
func expectedOutput(r *dispatcher.Request) int {
	if r.OutputHint <= 0 {
		return r.MaxOutputTokens
	}
	if r.MaxOutputTokens <= 0 {
		return r.OutputHint
	}
	return min(r.OutputHint, r.MaxOutputTokens)
}

// hintMargin is how much longer than the caller's estimate an answer is assumed to become when memory
// is set aside for it. The estimate is right at the median.
const hintMargin = 1.5

// memoryTokens returns what r needs of the memory for prompts and answers.
func memoryTokens(r *dispatcher.Request) tracker.Tokens {
	t := tracker.Tokens{Prompt: promptTokens(r), Output: r.MaxOutputTokens}
	if hint := int(hintMargin * float64(r.OutputHint)); r.OutputHint > 0 && (t.Output <= 0 || hint < t.Output) {
		t.Output = hint
	}
	return t
}

// fits reports whether r fits into the memory of a server, as far as that is known. One that never
// fits counts as fitting, since waiting for memory doesn't help it.
func (l *Locator) fits(now time.Duration, b *tracker.Backend, r *dispatcher.Request) bool {
	return !b.Estimated() || b.Fits(now, memoryTokens(r))
}

// promptPrefixes returns the beginnings of the prompt of r from the shortest one: after each of its
// first parts. Their keys differ between models and adapters, which share nothing.
func promptPrefixes(r *dispatcher.Request) []tracker.PromptPrefix {
	prefixes := make([]tracker.PromptPrefix, 0, min(len(r.Prompt), maxPrefixes))
	key, tokens := router.Hash(requestedName(r)), 0
	for _, part := range r.Prompt[:cap(prefixes)] {
		key = router.HashParts(binary.LittleEndian.AppendUint64(nil, key), binary.LittleEndian.AppendUint64(nil, part.ID))
		tokens += part.Tokens
		prefixes = append(prefixes, tracker.PromptPrefix{Key: key, Tokens: tokens})
	}
	return prefixes
}

// promptsPending reports whether a server has as many prompts of this entry to read as it may have.
// The caller holds the lock.
func (l *Locator) promptsPending(now time.Duration, b *tracker.Backend) bool {
	if b.Estimated() {
		return b.UnreadTime(now) > maxUnreadTime
	}
	return b.UnreadPrompts() >= maxUnreadPrompts
}

// recordFigures records what a server said about its load beside the number of requests. The
// caller holds the lock.
func (l *Locator) recordFigures(now time.Duration, id string, load *dispatcher.Load) {
	b := l.fleet.Get(id)
	if b == nil {
		return
	}
	first := !b.Estimated()
	b.RecordWaiting(now, load.Waiting)
	b.RecordPace(now, load.Pace)
	l.speeds.add(b)
	if first && b.Estimated() {
		l.log.Info().Str("pool", b.Server().Pool).Str("server", id).Int("pace", load.Pace).Msg("pool: expected times decide from now on")
	}
}

// recordWaiting records the number of waiting requests and the memory in use that a relay has sent,
// and wakes the requests that may be queued for the memory if there is more of it. The caller holds
// the lock.
func (l *Locator) recordWaiting(now time.Duration, load *wire.EngineLoad) {
	b := l.fleet.Get(load.GetServer())
	if b == nil {
		return
	}
	b.RecordWaiting(now, int(load.GetWaiting()))
	before, _ := b.MemoryLeft(now)
	b.RecordFull(now, load.GetFull())
	if left, _ := b.MemoryLeft(now); b.Estimated() && left > before {
		l.wakeQueued(load.GetServer())
	}
}

// logExpected adds the terms of the cost of sending the request of a search to a server to a line
// of the log, if they are expected times. The caller holds the lock.
func (l *Locator) logExpected(line *log.Entry, now time.Duration, b *tracker.Backend, s *search) *log.Entry {
	cost := l.costOf(now, b, s)
	if !cost.Estimated {
		return line
	}
	e := cost.Expected
	return line.Float64("first_ms", inMillis(e.First)).Float64("slowed_ms", inMillis(e.Slowed)).Float64("link_ms", inMillis(e.Link)).
		Float64("late_ms", inMillis(e.Late)).Float64("failures", cost.FailureRate).Float64("speed", math.Round(100*b.ExpectedSpeed(now))/100).
		Int("unread", s.workAt(now, b).PromptTokens)
}

// inMillis returns a duration in milliseconds, with tenths.
func inMillis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// startWork records the work of the request of a search as sent to a server. It returns nil unless
// times are estimated there. The caller holds the lock.
func (l *Locator) startWork(now time.Duration, b *tracker.Backend, s *search) *tracker.SentWork {
	if !b.Estimated() {
		return nil
	}
	w := s.workAt(now, b)
	return b.StartWork(now, w, s.prompt, memoryTokens(s.request))
}

// endWork records the end of an attempt for the estimates of its server. An answer without events
// counts as one event.
func (l *Locator) endWork(work *tracker.SentWork, result dispatcher.AttemptResult) {
	if work == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.Err == nil {
		work.RecordFirst(l.clock())
	}
	work.End(l.clock())
}

// observeEvent records an event of an attempt for the estimates of its server. previous is the
// instant of the event before, or 0. It is called once for each event and must not wait for the
// lock each time.
func (l *Locator) observeEvent(now, previous time.Duration, b *tracker.Backend, work *tracker.SentWork) {
	switch {
	case work == nil:
	case previous == 0:
		l.mu.Lock()
		defer l.mu.Unlock()
		work.RecordFirst(now)
		l.speeds.add(b)
	case b.TakeGap(now):
		l.mu.Lock()
		defer l.mu.Unlock()
		b.RecordGap(now, now-previous)
	}
}
