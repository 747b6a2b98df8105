package locator

import (
	"context"
	"time"

	"oleanderstall/pacer"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

const (
	// permitTimeout bounds a request for a permit if another server can run the request, and
	// onlyPermitTimeout otherwise.
	permitTimeout     = 100 * time.Millisecond
	onlyPermitTimeout = 400 * time.Millisecond
	// permitRetryInterval is the time after a request for a permit that had no answer until the
	// next one.
	permitRetryInterval = 300 * time.Millisecond
	// maxPermitWait is the longest time for which a request waits for its permit.
	maxPermitWait = 3 * time.Second
	// shortPermitWait is the wait for a permit up to which no other engine is asked to load the
	// model.
	shortPermitWait = 100 * time.Millisecond
	// pacerSearchTime is how long after a server has named a limit its pacer may be unknown
	// before requests are refused.
	pacerSearchTime = 500 * time.Millisecond
	// maxLimits is the number of known limits at which those of unlisted servers are dropped.
	maxLimits = 4096
)

// PermitSource obtains permits for servers that have named a limit.
type PermitSource interface {
	// RequestPermit asks the process that paces the server for a permit.
	RequestPermit(ctx context.Context, pacer string, request *wire.PermitRequest) (*wire.Permit, error)
}

// pacedServer is a server that has named a limit.
type pacedServer struct {
	// pacer is the name of the process that gives out the permits, or empty while it is unknown
	// since an instant.
	pacer        string
	unknownSince time.Duration
	// nextPermit is the earliest instant at which the pacer may give a permit.
	nextPermit time.Duration
}

// permit allows one request to a server from one instant until another.
type permit struct {
	server      string
	started     int64
	number      uint64
	from, until time.Duration
}

// usable reports whether the permit may be used now for a process of a server.
func (p *permit) usable(now time.Duration, s tracker.Server) bool {
	return p != nil && p.server == s.ID && p.started == s.Started && now >= p.from && now < p.until
}

// pending returns the time until the permit may be used, or 0 if it may be or may no more.
func (p *permit) pending(now time.Duration) time.Duration {
	if p == nil {
		return 0
	}
	return max(0, p.from-now)
}

// permitQuery is a request for a permit that is to be sent.
type permitQuery struct {
	limit    pacer.Limit
	pacer    string
	patience time.Duration
	timeout  time.Duration
	// coldLeft and coldRate are the time for which the server is still cold and the rate that it
	// takes meanwhile, or 0.
	coldLeft time.Duration
	coldRate float64
	// started is the start of the server's process, in Unix milliseconds.
	started int64
}

// lifetime returns how long after its first instant the permit may be used.
func (l *Locator) lifetime(q *permitQuery) time.Duration {
	if q.coldRate > 0 {
		return l.coldTiming.Lifetime()
	}
	return pacer.PermitLifetime
}

// message returns the request as it is sent.
func (q *permitQuery) message() *wire.PermitRequest {
	return &wire.PermitRequest{Limit: q.limit.Message(), Wait: timer.ToMillis(q.patience), ColdLeft: timer.ToMillis(q.coldLeft), ColdRate: q.coldRate}
}

// limitOf returns what is known of the limit of a server, which is the lower of the one that it
// has named and that of its cold phase. The caller holds the lock.
func (l *Locator) limitOf(now time.Duration, b *tracker.Backend) pacer.Limit {
	known := l.namedLimitOf(b)
	known.Rate = pacer.Lower(known.Rate, l.coldRate(now, b))
	return known
}

// namedLimitOf returns what is known of the limit that a server has named. The caller holds the
// lock.
func (l *Locator) namedLimitOf(b *tracker.Backend) pacer.Limit {
	s := b.Server()
	return l.limits.Get(s.ID, s.Started)
}

// pacedServerOf returns the record of a server that has named a limit. The caller holds the lock.
func (l *Locator) pacedServerOf(now time.Duration, id string) *pacedServer {
	p := l.paced[id]
	if p == nil {
		p = &pacedServer{unknownSince: now}
		l.paced[id] = p
	}
	return p
}

// takesWithin reports whether a server may be sent a request within a time, as far as its limit is
// concerned: it has named none, the request has a permit, or the pacer may give one. The caller
// holds the lock.
func (l *Locator) takesWithin(now time.Duration, b *tracker.Backend, s *search, patience time.Duration) bool {
	if l.limitOf(now, b).Rate == 0 || s.permit.usable(now, b.Server()) {
		return true
	}
	p, patience := l.pacerOf(now, b), l.patienceFor(now, b, s, patience)
	return p.pacer != "" && p.nextPermit <= now+patience && s.permit.pending(now) == 0
}

// needsPermit reports whether a request has to get a permit for a server first. The caller holds
// the lock.
func (l *Locator) needsPermit(now time.Duration, b *tracker.Backend, s *search) bool {
	return l.limitOf(now, b).Rate > 0 && !s.permit.usable(now, b.Server())
}

// newPermitQuery returns the request for a permit for a server. The caller holds the lock.
func (l *Locator) newPermitQuery(now time.Duration, b *tracker.Backend, s *search, patience time.Duration) *permitQuery {
	patience = l.patienceFor(now, b, s, patience)
	q := &permitQuery{limit: l.namedLimitOf(b), pacer: l.pacerOf(now, b).pacer, patience: patience, timeout: permitTimeout}
	q.coldRate, q.started = l.coldRate(now, b), b.Server().Started
	if q.coldRate > 0 {
		q.coldLeft = b.ColdLeft(now)
	}
	if patience > 0 {
		q.timeout = onlyPermitTimeout
	}
	return q
}

// permitPatience returns how long a request may wait for a permit if no server can run it now.
func permitPatience(now time.Duration, s *search) time.Duration {
	if s.permit.pending(now) > 0 {
		return 0
	}
	return min(maxPermitWait, max(0, latestSend(s.request)-now))
}

// requestPermit asks for a permit and records the answer in the search.
func (l *Locator) requestPermit(ctx context.Context, s *search, q *permitQuery) {
	started := l.clock()
	callCtx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	answer, err := l.permits.RequestPermit(callCtx, q.pacer, q.message())
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordPermit(started, s, q, answer, err)
}

// recordPermit records the answer to a request for a permit that was sent at an instant. The
// caller holds the lock.
func (l *Locator) recordPermit(started time.Duration, s *search, q *permitQuery, answer *wire.Permit, err error) {
	now, id := l.clock(), q.limit.Server
	p := l.pacedServerOf(now, id)
	entry := l.log.Info().Str("request", s.request.ID).Str("server", id).Str("pacer", q.pacer).Float64("limit", q.limit.Rate).Float64("cold", q.coldRate)
	if err != nil {
		p.nextPermit = now + permitRetryInterval
		entry.Err(err).Msg("permit: no answer")
		return
	}
	if known, ok := pacer.FromMessage(answer.GetLimit()); ok {
		l.mergeLimit(known)
	}
	wait := timer.FromMillis(answer.GetWait())
	entry.Bool("given", answer.GetGiven()).Uint64("number", answer.GetNumber()).Int64("wait", wait.Milliseconds()).
		Int64("took", (now - started).Milliseconds()).Msg("permit: answered")
	if answer.GetGiven() {
		s.permit = &permit{server: id, started: q.started, number: answer.GetNumber(), from: now + wait, until: started + wait + l.lifetime(q)}
		return
	}
	p.nextPermit = now + wait
}

// recordLimit records what an answer of a server to a request with a number says about its limit:
// the limit, or 0 if it names none. The caller holds the lock.
func (l *Locator) recordLimit(s tracker.Server, number uint64, rate float64) {
	before := l.limits.Get(s.ID, s.Started).Rate
	if rate == 0 && before == 0 {
		return
	}
	if !l.limits.Record(pacer.Limit{Server: s.ID, Started: s.Started, Number: number, Rate: rate}) {
		return
	}
	l.log.Info().Str("server", s.ID).Float64("limit", rate).Float64("before", before).Uint64("number", number).Msg("server: limit, by its answer")
	l.limitChanged(s.ID, rate)
	l.signalReport()
}

// mergeLimit applies what another process knows of a limit. The caller holds the lock.
func (l *Locator) mergeLimit(known pacer.Limit) {
	if !l.limits.Merge(known) {
		return
	}
	l.log.Info().Str("server", known.Server).Float64("limit", known.Rate).Uint64("number", known.Number).Msg("server: limit, as reported")
	l.limitChanged(known.Server, known.Rate)
	if l.limits.Len() > maxLimits {
		l.forgetLimits(func(server string) bool { return l.fleet.Get(server) != nil })
	}
}

// limitChanged wakes the requests that wait for a server whose limit has changed. The caller holds
// the lock.
func (l *Locator) limitChanged(server string, rate float64) {
	if rate == 0 {
		delete(l.paced, server)
	}
	l.notifyServer(l.fleet.Get(server))
}

// forgetLimits drops the limits of the servers for which keep returns false. The caller holds the
// lock.
func (l *Locator) forgetLimits(keep func(server string) bool) {
	l.limits.Forget(keep)
	for server := range l.paced {
		if !keep(server) {
			delete(l.paced, server)
		}
	}
}

// receiveLimits applies the limits in a batch of the relay, with their pacers. The caller holds the
// lock.
func (l *Locator) receiveLimits(now time.Duration, limits []*wire.ServerLimit) {
	for _, message := range limits {
		known, ok := pacer.FromMessage(message)
		if !ok {
			continue
		}
		l.mergeLimit(known)
		if known.Rate > 0 {
			l.setPacer(now, known.Server, message.GetPacer())
		}
	}
}

// setPacer records the process that paces a server, which may be unknown. The caller holds the
// lock.
func (l *Locator) setPacer(now time.Duration, server, name string) {
	p := l.pacedServerOf(now, server)
	if p.pacer == name {
		return
	}
	p.pacer, p.nextPermit = name, 0
	if name == "" {
		p.unknownSince = now
	}
	l.notifyServer(l.fleet.Get(server))
}

// reportLimits adds the limits that the relay may not know to a report. The caller holds the lock.
func (l *Locator) reportLimits(full bool, r *wire.Report) {
	for _, known := range l.limits.TakeUnsent(full) {
		r.Limits = append(r.Limits, known.Message())
	}
}

// closedByLimit returns until when a server that has named a limit gets no request of a search.
// The instant is 0 if its pacer is not found. The caller holds the lock.
func (l *Locator) closedByLimit(now time.Duration, b *tracker.Backend, s *search) closure {
	p := l.pacerOf(now, b)
	switch {
	case s.permit.pending(now) > 0:
		return closure{until: l.coldEnd(now, b, s.permit.from)}
	case p.pacer != "":
		return closure{until: l.coldEnd(now, b, max(now+minRetryInterval, p.nextPermit)), beyondLimit: true}
	case now < p.unknownSince+pacerSearchTime:
		return closure{until: p.unknownSince + pacerSearchTime}
	}
	return closure{}
}
