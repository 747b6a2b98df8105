package locator

import (
	"sync"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/tracker"
)

// reserve returns a reservation at a server for the request of a search, whose permit it uses, and
// counts the request as in flight there. The caller holds the lock.
func (l *Locator) reserve(now time.Duration, b *tracker.Backend, found *search) *dispatcher.Reservation {
	s, r := b.Server(), found.request
	limit := l.limitOf(now, b)
	number := limit.Number
	if found.permit.usable(now, s) {
		number, found.permit = found.permit.number, nil
	}
	names := modelNames(r)
	line := l.log.Info().Str("request", r.ID).Str("server", s.ID).Str("model", requestedName(r)).Int("inflight", b.Inflight()).
		Int("load", b.ReportedLoad()).Int64("waited", (now-r.Started).Milliseconds()).Str("parts", dispatcher.FormatParts(r.Prompt)).
		Str("whole", r.FormatDigest()).Str("software", s.Software).Str("resumes", r.Resumes).Uint64("first", r.FirstIndex).Float64("limit", limit.Rate).Uint64("permit", number)
	l.logExpected(line, now, b, found).Msg("send")
	l.countMemoryOverfull(now, b, r)
	work := l.startWork(now, b, found)
	lastEventAt := time.Duration(0)
	l.fleet.StartRequest(now, s.ID, names...)
	l.recordUsage(b, names, 1)
	promptRead := false
	recordAnswer := sync.OnceFunc(func() { l.quarantine.RecordAnswer(r) })
	recordStream := sync.OnceFunc(func() { l.recordStream(r, s) })
	a := l.startAttempt(s, r)
	return &dispatcher.Reservation{
		Name:           s.ID,
		Address:        s.Address,
		ExpectedName:   s.ID,
		Started:        s.Started,
		Software:       s.Software,
		HealthPath:     l.config.View().Pool(s.Pool).GetHealth(),
		Priority:       min(r.Priority, lowestPriority),
		ConfirmReceipt: !b.RecentlyActive(now),
		AbandonContext: a.ctx,
		OnFeedback:     func(feedback dispatcher.Feedback) { l.receiveFeedback(s, number, feedback) },
		OnPromptRead:   func() { promptRead = true; l.markPromptRead(s.ID, work) },
		OnActivity: func(now time.Duration) {
			a.lastEventAt.Store(int64(now))
			b.RecordActivity(now)
			recordAnswer()
			recordStream()
			l.observeEvent(now, lastEventAt, b, work)
			lastEventAt = now
		},
		OnSlow: func(gap time.Duration) { l.recordSlowGap(s.ID, r, gap) },
		Release: func(result dispatcher.AttemptResult) {
			if result.Answered {
				recordAnswer()
			}
			l.release(a, names, promptRead, result)
			l.endWork(work, result)
		},
	}
}

// modelNames returns the names of the model and the adapter of r, if it has them.
func modelNames(r *dispatcher.Request) []string {
	switch {
	case r.Model == "":
		return nil
	case r.Adapter == "":
		return []string{r.Model}
	}
	return []string{r.Model, r.Adapter}
}

// requestedName returns the adapter of r or, without one, its model, which is empty for a
// plain service.
func requestedName(r *dispatcher.Request) string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}
