// Package locator chooses the backend server for a request from the entry's view of
// the fleet. A request for a model that no server can run now waits for it, and the
// entry reports the demand for the model to its relay.
package locator

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/pacer"
	"oleanderstall/pinner"
	"oleanderstall/quarantiner"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Limits of waits and priorities.
const (
	// minRunTime is the shortest time that an answer takes. A request that has less
	// time left is refused.
	minRunTime = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is
	// asked to retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// lowestPriority is the priority of the least urgent requests at an engine, 0 being
	// that of the most urgent.
	lowestPriority = 9
	// startupGrace is how long an entry, once the first server is listed, waits for the
	// reports of sidecars before it relies on the list alone.
	startupGrace = 800 * time.Millisecond
)

// Locator chooses backend servers for requests. It is safe for concurrent use.
type Locator struct {
	centre string
	clock  timer.Clock
	config *configurer.Configurer
	// permits obtains permits for the servers that have named a limit.
	permits PermitSource
	log     *log.Logger

	mu    sync.Mutex
	fleet *tracker.Fleet
	// demands are the models and adapters that requests wait for, by name.
	demands    map[string]*demand
	unreported unreported
	// speeds are the servers whose speeds are to be reported.
	speeds unreportedSpeeds
	// memoryCounts are the counts of requests that did not fit into memory, by pool.
	memoryCounts map[string]memoryCounts
	// rows are the latest rows of the list, by server, without what they list. removedRows
	// names the servers among them that were removed, the earliest first.
	rows        map[string]*wire.ListedServer
	removedRows []string
	// firstListedAt is the instant at which the first server was listed, or 0.
	// lastBatchAt is the instant of the latest batch from a relay or, before the first
	// one, of the start.
	firstListedAt time.Duration
	lastBatchAt   time.Duration
	// quarantine refuses the requests that servers crash on. suspected holds the processes of
	// servers that may have crashed or have done so lately, and crashSuspected is signalled
	// when one of them is to be checked.
	quarantine     *dispatcher.Quarantine
	suspected      map[quarantiner.Process]*suspectedCrash
	crashSuspected chan struct{}
	// limits are the limits that servers have named, and paced the servers with one, by ID.
	limits *pacer.Limits
	paced  map[string]*pacedServer
	// pacers are the pacers of the data centres that have one, by data centre, and coldTiming is
	// how permits for cold servers may be used.
	pacers map[string]string
	// streams holds which versions of their software servers have and which streams they began.
	streams *pinner.Pinner
	// reportsStreams is set while the streams that are begun are reported to the relay.
	reportsStreams bool
	// regions are the regions of the data centres, by data centre.
	regions    map[string]string
	coldTiming pacer.ColdTiming
	// attempts are the attempts in flight, by server.
	attempts map[string]map[*attempt]struct{}
	// probing holds the servers whose hosts are being probed.
	probing map[string]bool
	// stopping is set when requests may no longer wait for a model.
	stopping bool
	// queued are the requests that could run now but wait for other prompts to be read.
	queued []*dispatcher.Request
	// notifier wakes waiting requests by the name of a model, an adapter or a pool.
	notifier *notifier
	// reportNow is signalled when there is something to report immediately.
	reportNow chan struct{}
}

// New returns the locator of an entry in a data centre, which adds to quarantine what it
// learns of crashes.
func New(centre string, clock timer.Clock, c *configurer.Configurer, quarantine *dispatcher.Quarantine, permits PermitSource, l *log.Logger) *Locator {
	return &Locator{
		centre:      centre,
		clock:       clock,
		config:      c,
		permits:     permits,
		log:         l,
		fleet:       tracker.New(),
		demands:     map[string]*demand{},
		unreported:  newUnreported(),
		rows:        map[string]*wire.ListedServer{},
		limits:      pacer.NewLimits(),
		paced:       map[string]*pacedServer{},
		pacers:      map[string]string{},
		coldTiming:  pacer.NewColdTiming(0),
		attempts:    map[string]map[*attempt]struct{}{},
		streams:     pinner.New(),
		quarantine:  quarantine,
		suspected:   map[quarantiner.Process]*suspectedCrash{},
		probing:     map[string]bool{},
		lastBatchAt: clock(),
		notifier:    newNotifier(),

		memoryCounts: map[string]memoryCounts{},
		reportNow:    make(chan struct{}, 1),

		crashSuspected: make(chan struct{}, 1),
	}
}

// UpdateServer applies a row of the platform's list, unless a later version of the row is
// known or the row has no ID.
func (l *Locator) UpdateServer(listed *wire.ListedServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateServer(listed)
}

// updateServer does the work of UpdateServer and wakes the requests that wait for a model
// that the server had or has. The caller holds the lock.
func (l *Locator) updateServer(listed *wire.ListedServer) {
	id := listed.GetId()
	known := l.rows[id]
	if id == "" || tracker.RowOutdated(listed, known) {
		return
	}
	l.rows[id] = &wire.ListedServer{Row: listed.GetRow(), Born: listed.GetBorn(), Writes: listed.GetWrites()}
	if listed.GetBorn() == 0 {
		l.rows[id].Born, l.rows[id].Writes = known.GetBorn(), known.GetWrites()
	}
	l.notifyServer(l.fleet.Get(id))
	if listed.GetGone() {
		if known == nil || l.fleet.Get(id) != nil {
			l.limitRemovedRows(id)
		}
		l.fleet.RemoveServer(id)
		l.streams.RemoveServer(l.clock(), id)
		l.forgetLimits(func(server string) bool { return server != id })
		return
	}
	now, s := l.clock(), tracker.ServerFromList(listed)
	seenStart := l.seenStart(now, s, known)
	if l.firstListedAt == 0 {
		l.firstListedAt = now
	}
	l.fleet.UpdateServer(s)
	l.streams.UpdateServer(now, s.ID, s.Pool, s.Software)
	if known.GetRow() != listed.GetRow() {
		l.updateCold(now, s, seenStart)
	}
	l.notifyServer(l.fleet.Get(id))
}

// maxRemovedRows bounds the removed servers whose rows are kept, so that an older row that
// arrives late does not list them again.
const maxRemovedRows = 4096

// limitRemovedRows adds a server to those that were removed, and forgets the row of the one
// that was removed first if there are too many. The caller holds the lock.
func (l *Locator) limitRemovedRows(id string) {
	l.removedRows = append(l.removedRows, id)
	if len(l.removedRows) <= maxRemovedRows {
		return
	}
	if first := l.removedRows[0]; l.fleet.Get(first) == nil {
		delete(l.rows, first)
	}
	l.removedRows = l.removedRows[1:]
}

// updateStatus applies a sidecar's status of its engine and wakes the requests that wait
// for a model that the engine had or has. The caller holds the lock.
func (l *Locator) updateStatus(now time.Duration, s *wire.EngineStatus) {
	l.notifyServer(l.fleet.Get(s.GetServer()))
	if l.fleet.UpdateStatus(now, s) {
		l.notifyServer(l.fleet.Get(s.GetServer()))
	}
}

// Stop refuses the requests that wait for a model, and those that would wait from now on.
func (l *Locator) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	l.notifier.notifyAll()
}

// notifyServer wakes the requests that wait for a model or an adapter of a server or for
// its pool. The server may be nil. The caller holds the lock.
func (l *Locator) notifyServer(b *tracker.Backend) {
	if b == nil {
		return
	}
	l.notifier.notify(b.Server().Pool)
	for name := range b.ModelNames() {
		l.notifier.notify(name)
	}
}

// search is the state of one call of Find.
type search struct {
	request *dispatcher.Request
	history *dispatcher.History
	// demand is the demand that the request has joined, or nil.
	demand *demand
	// permit is the permit that the request has, or nil.
	permit *permit
	// prompt holds the beginnings of the request's prompt, or nil before they were needed.
	prompt []tracker.PromptPrefix
	// ready is set once a server could run the request, which is not sent before sendAt.
	ready  bool
	sendAt time.Duration
}

// step is what a search does next: it ends with a reservation, asks for a permit, or waits.
type step struct {
	reservation *dispatcher.Reservation
	query       *permitQuery
	wait        waiter
}

// Find implements dispatcher.Finder. A request waits here until a server can run it or it
// is refused.
func (l *Locator) Find(ctx context.Context, r *dispatcher.Request, h *dispatcher.History) (*dispatcher.Reservation, error) {
	l.countArrival(r, h)
	s := &search{request: r, history: h}
	defer func() { l.leaveDemand(r, s.demand) }()
	defer l.leaveQueue(r)
	for {
		next, err := l.tryReserve(l.clock(), s)
		if next.reservation != nil || err != nil {
			return next.reservation, err
		}
		if next.query != nil {
			l.requestPermit(ctx, s, next.query)
		} else if !next.wait.wait(ctx) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
		if ctx.Err() != nil {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

// tryReserve returns a reservation for a request, an error, or what its search does before the
// next call.
func (l *Locator) tryReserve(now time.Duration, s *search) (step, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := s.request
	if err := l.quarantine.Check(r); err != nil {
		return step{}, err
	}
	patience := time.Duration(0)
	best := l.pick(now, s, patience)
	if best == nil {
		patience = permitPatience(now, s)
		best = l.pick(now, s, patience)
	}
	switch {
	case best == nil:
		l.dequeue(r)
		s.ready = false
		return l.waitForServer(now, s)
	case now < l.earliestSend(now, s):
		l.dequeue(r)
		return step{wait: l.newWaiter(now, s.sendAt, r)}, nil
	case !l.admits(now, best, r):
		l.countMemoryWait(now, best, r)
		l.enqueue(r)
		return step{wait: l.newWaiter(now, queueEnd(r), r)}, nil
	case l.needsPermit(now, best, s):
		return step{query: l.newPermitQuery(now, best, s, patience)}, nil
	}
	return step{reservation: l.reserve(now, best, s)}, nil
}

// waitForServer returns what a search waits for if no server can run its request now, or an error
// if none can in time. The caller holds the lock.
func (l *Locator) waitForServer(now time.Duration, s *search) (step, error) {
	r := s.request
	if err := cmp.Or(l.checkNotEvacuated(r), l.checkSoftware(r), l.checkHomes(r)); err != nil {
		return step{}, err
	}
	c := l.closed(now, s)
	if r.Model == "" {
		return step{wait: l.newWaiter(now, c.until, r)}, l.checkServiceInTime(now, r, c, s.history)
	}
	if wait := s.permit.pending(now); wait > 0 && wait <= shortPermitWait {
		return step{wait: l.newWaiter(now, now+wait, r)}, nil
	}
	if s.demand == nil {
		joined, err := l.joinDemand(now, r)
		if err != nil {
			return step{}, err
		}
		s.demand = joined
	}
	until := latestSend(r)
	if graceEnd := l.firstListedAt + startupGrace; now < graceEnd {
		until = min(until, graceEnd)
	}
	if c.until > now {
		until = min(until, c.until)
	}
	if relayLostAt := l.lastBatchAt + relayTimeout; now < relayLostAt {
		until = min(until, relayLostAt)
	}
	w := step{wait: l.newWaiter(now, until, r)}
	if s.permit.pending(now) > 0 && !l.stopping {
		return w, nil
	}
	return w, l.checkModelInTime(now, r, s.demand)
}

// latestSend returns the latest instant at which an answer to r can still be in time, until
// which r may wait.
func latestSend(r *dispatcher.Request) time.Duration {
	return min(r.FirstEventDeadline, r.Deadline) - minRunTime
}

// countArrival counts the arrival of a request for a model, once for all of its attempts:
// the FinderState of its history marks it as counted.
func (l *Locator) countArrival(r *dispatcher.Request, h *dispatcher.History) {
	if h.FinderState != nil || r.Model == "" {
		return
	}
	h.FinderState = true
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range modelNames(r) {
		l.unreported.arrivals[name]++
	}
}

// pick returns the server for a request, or nil if there is none: one that was not tried and can run
// the request now, or can be sent one within patience. A server for which the request has a permit
// goes first, then those whose memory the request fits into, then the one with the lowest cost. A
// cold server is chosen if there is no warm one, or if it costs less and the request has time for it.
// The caller holds the lock.
func (l *Locator) pick(now time.Duration, s *search, patience time.Duration) *tracker.Backend {
	r := s.request
	var best, bestCold *tracker.Backend
	bestCost, bestColdCost, bestFits := 0.0, 0.0, false
	for _, b := range l.candidates(r) {
		if !l.isOpen(now, b, s) || !l.takesWithin(now, b, s, patience) {
			continue
		}
		if s.permit.usable(now, b.Server()) {
			return b
		}
		value, fits := l.costOf(now, b, s).Value(), l.fits(now, b, r)
		if l.coldRate(now, b) > 0 {
			if bestCold == nil || value < bestColdCost || value == bestColdCost && prefers(r, b, bestCold) {
				bestCold, bestColdCost = b, value
			}
			continue
		}
		if best == nil || fits && !bestFits || fits == bestFits && (value < bestCost || value == bestCost && prefers(r, b, best)) {
			best, bestCost, bestFits = b, value, fits
		}
	}
	if best == nil || bestCold != nil && bestColdCost < bestCost && hasTimeForCold(now, r) {
		return bestCold
	}
	return best
}

// isOpen reports whether a server can run a request now, apart from its limit, and was not tried.
// The caller holds the lock.
func (l *Locator) isOpen(now time.Duration, b *tracker.Backend, s *search) bool {
	return !s.history.Tried[b.Server().ID] && !b.BackingOff(now) && l.canRun(now, b, s.request)
}

// prefers reports whether r goes to x rather than y, which cost the same. Requests for
// plain services are spread over the servers by rendezvous hashing of their IDs, so that
// entries that have just started and know no loads don't all choose the same server.
func prefers(r *dispatcher.Request, x, y *tracker.Backend) bool {
	if r.Model != "" {
		return false
	}
	key := router.Hash(r.ID)
	return router.Score(x.Server().ID, key) > router.Score(y.Server().ID, key)
}

// candidates returns the servers in the homes of r that may run it: those of its pool for a plain
// service, else those that may hold its model or adapter. The caller holds the lock.
func (l *Locator) candidates(r *dispatcher.Request) []*tracker.Backend {
	if r.Model == "" {
		return l.withinHomes(r, l.fleet.Pool(r.Pool))
	}
	return l.withinHomes(r, l.fleet.Holders(requestedName(r)))
}

// canRun reports whether a server can run r now. Engines that have stalled get nothing.
// Within startupGrace, only engines with a current status do: if the engines went down
// together with this entry's predecessor, the list may still name what they held.
func (l *Locator) canRun(now time.Duration, b *tracker.Backend, r *dispatcher.Request) bool {
	if r.Model == "" {
		return true
	}
	if b.Server().Pool != r.Pool {
		return false
	}
	if b.Status(now) == nil && now < l.firstListedAt+startupGrace || b.StallScore(now) >= 1 {
		return false
	}
	inventory := b.Inventory(now)
	return inventory.Has(r.Model) && (r.Adapter == "" || inventory.Has(r.Adapter)) && !b.Unloading(now, r.Model)
}

// saturation returns how near an answer came to its latency limits, 1 being exactly at the
// limit: the larger of the time to the first event, as a share of the target time, and the
// longest gap between events, as a share of r.MaxGap.
func saturation(r *dispatcher.Request, result dispatcher.AttemptResult) float64 {
	saturation := 0.0
	if target := r.TargetTime - r.Started; target > 0 {
		saturation = float64(result.TimeToFirst) / float64(target)
	}
	if r.MaxGap > 0 {
		saturation = max(saturation, float64(result.MaxGap)/float64(r.MaxGap))
	}
	return saturation
}

// receiveFeedback records the load, the departure, the limit and the back-off that a server sent
// with an answer. number is that of the permit with which the request was sent, or of the limit
// that was known then.
func (l *Locator) receiveFeedback(s tracker.Server, number uint64, feedback dispatcher.Feedback) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if feedback.Load != nil {
		l.fleet.RecordLoad(now, s.ID, feedback.Load.Running+feedback.Load.Waiting)
		l.recordFigures(now, s.ID, feedback.Load)
	}
	if feedback.Leaving && l.fleet.MarkLeaving(s.ID, s.Started) {
		l.unreported.departures[s.ID] = s.Started
		l.signalReport()
		l.log.Info().Str("server", s.ID).Int64("born", s.Started).Msg("server: leaves, by its answer")
	}
	if feedback.Limit > 0 || feedback.Unlimited {
		l.recordLimit(s, number, feedback.Limit)
	}
	if feedback.Refused {
		l.markNotListening(now, s)
	}
	b := l.fleet.Get(s.ID)
	if b == nil || feedback.BackOff <= 0 {
		return
	}
	b.BackOff(now + feedback.BackOff)
	l.log.Info().Str("server", s.ID).Int64("rest", feedback.BackOff.Milliseconds()).Msg("server: wants no requests for a while")
}

// markPromptRead records that a server has read the prompt of a request.
func (l *Locator) markPromptRead(id string, work *tracker.SentWork) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.MarkPromptRead(id)
	work.MarkRead(l.clock())
	l.wakeQueued(id)
}

// wakeQueued wakes the requests that may be queued for a server. The caller holds the lock.
func (l *Locator) wakeQueued(id string) {
	if len(l.queued) > 0 {
		l.notifyServer(l.fleet.Get(id))
	}
}

// minSlowSaturation is the share of the longest allowed gap from which a gap between events
// is recorded immediately instead of at the end of the answer.
const minSlowSaturation = 0.5

// recordSlowGap records a long gap between two events of an answer to r in the saturation
// of the server.
func (l *Locator) recordSlowGap(id string, r *dispatcher.Request, gap time.Duration) {
	saturation := float64(gap) / float64(r.MaxGap)
	if r.MaxGap <= 0 || saturation < minSlowSaturation {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.fleet.Get(id); b != nil {
		b.RecordSaturation(l.clock(), saturation)
	}
}

// release records the end of an attempt, for a request for the given models.
func (l *Locator) release(a *attempt, names []string, promptRead bool, result dispatcher.AttemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, id, r := l.clock(), a.server.ID, a.request
	l.endAttempt(a)
	if result.MayBeCrash() {
		l.suspectCrash(now, a.server, r)
	}
	if b := l.fleet.Get(id); b != nil {
		l.recordResult(now, b, r, result)
		l.fleet.EndRequest(now, id, promptRead, names...)
		l.recordUsage(b, names, 0)
	}
	l.wakeQueued(id)
}

// hangTimeout is the age from which a request that ends without a first event, such as when
// its caller leaves, counts as a failed attempt.
const hangTimeout = time.Second

// recordResult records what the end of an attempt says about the server: its failure rate,
// saturation, activity, a stall or a mismatch with the list. The caller holds the lock.
func (l *Locator) recordResult(now time.Duration, b *tracker.Backend, r *dispatcher.Request, result dispatcher.AttemptResult) {
	if result.Err == nil {
		b.RecordActivity(now)
		b.RecordAttempt(now, false)
		if r.Model != "" {
			b.RecordSaturation(now, saturation(r, result))
			l.unreported.saturations = append(l.unreported.saturations, &wire.Saturation{Server: b.Server().ID, Strain: float32(saturation(r, result))})
		}
		return
	}
	refusal := refuser.FromError(result.Err)
	switch {
	case refusal.Kind() == refuser.ConnectionLost, refusal.Kind() == refuser.BackendFailed:
		b.RecordAttempt(now, true)
	case refusal.Kind() == refuser.NotResident:
		b.MarkMismatched(now)
	case refusal.Kind() == refuser.Busy:
		b.RecordActivity(now)
	case refusal.Kind() == refuser.BackendSilent:
		b.RecordAttempt(now, true)
		b.MarkStalled(now)
		l.log.Info().Str("request", r.ID).Str("server", b.Server().ID).Msg("server: does not confirm what it is sent")
	case result.TimeToFirst == 0 && !refusal.NeverRan() && now-r.Started > hangTimeout:
		b.RecordAttempt(now, true)
	}
}

// recordUsage marks the numbers of requests for models at a server as changed. It signals a
// report if the number for one of them is now signalCount: 1 after a start, for a model that
// has come into use, or 0 after an end, for one that has gone out of use. The caller holds the
// lock.
func (l *Locator) recordUsage(b *tracker.Backend, names []string, signalCount int) {
	for _, name := range names {
		l.unreported.usage[serverModel{b.Server().ID, name}] = true
		if b.InflightOf(name) == signalCount {
			l.signalReport()
		}
	}
}

// ServingServers returns the number of servers of a pool that take new work.
func (l *Locator) ServingServers(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.Pool(pool))
}

// ReportingSidecars returns the number of engines whose sidecars are reporting.
func (l *Locator) ReportingSidecars() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.ReportingSidecars(l.clock())
}
