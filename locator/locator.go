// Package locator finds the backend server for a request from what the entry
// believes of the fleet. A request for a model that no server has waits for it,
// and the relay is told that it is needed.
package locator

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Limits of the waits.
const (
	// shortestRun is the least time that an answer takes.
	shortestRun = 50 * time.Millisecond
	// retryLeast and retryMost bound the time after which a caller is to come back.
	retryLeast = 200 * time.Millisecond
	retryMost  = 5 * time.Second
	// lastUrgency is the rank of the least urgent requests at an engine.
	lastUrgency = 9
	// meetTime is how long an entry that has just started waits for the word of the
	// sidecars before it sends by the list alone.
	meetTime = 800 * time.Millisecond
)

// Locator finds backend servers. It is safe for concurrent use.
type Locator struct {
	centre string
	clock  timer.Clock
	copy   *configurer.Configurer
	log    *log.Logger

	mu    sync.Mutex
	fleet *tracker.Fleet
	needs map[string]*need
	news  news
	// rows are the versions of the rows of the list, by server.
	rows map[string]uint64
	// listed is the instant of the first server, and linked that at which a relay was
	// heard last, or of the start.
	listed time.Duration
	linked time.Duration
	// sent are the attempts under way, by server.
	sent map[string]map[*attempt]struct{}
	// asked are the servers whose hosts are being asked for a sign of life.
	asked map[string]bool
	// stopping is set when nothing may wait any more.
	stopping bool
	// queued are the requests whose model serves, but whose prompts wait.
	queued []*dispatcher.Request
	// bell wakes requests by what they need.
	bell *bell
	// change is signalled when there is something to report at once.
	change chan struct{}
}

// New returns a locator of an entry in a data centre.
func New(centre string, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Locator {
	return &Locator{
		centre: centre,
		clock:  clock,
		copy:   c,
		log:    l,
		fleet:  tracker.New(),
		needs:  map[string]*need{},
		news:   newNews(),
		rows:   map[string]uint64{},
		sent:   map[string]map[*attempt]struct{}{},
		asked:  map[string]bool{},
		linked: clock(),
		bell:   newBell(),
		change: make(chan struct{}, 1),
	}
}

// UpdateServer takes a row of the platform's list.
func (l *Locator) UpdateServer(it *wire.ListedServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.item(it)
}

// item takes a row of the platform's list, unless a later one of the same server is
// known. The caller holds the lock.
func (l *Locator) item(it *wire.ListedServer) {
	id := it.GetId()
	if l.rows[id] > it.GetRow() {
		return
	}
	l.rows[id] = it.GetRow()
	l.ring(l.fleet.Get(id))
	if it.GetGone() {
		l.fleet.RemoveServer(id)
		return
	}
	if l.listed == 0 {
		l.listed = l.clock()
	}
	l.fleet.UpdateServer(tracker.ServerFromList(it))
	l.ring(l.fleet.Get(id))
}

// state takes a sidecar's word on its engine. The caller holds the lock.
func (l *Locator) state(now time.Duration, s *wire.EngineStatus) {
	l.ring(l.fleet.Get(s.GetServer()))
	if l.fleet.UpdateStatus(now, s) {
		l.ring(l.fleet.Get(s.GetServer()))
	}
}

// Stop refuses the requests that wait, now and later.
func (l *Locator) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	l.bell.all()
}

// ring wakes the requests that wait for what a server has. The caller holds the lock.
func (l *Locator) ring(b *tracker.Backend) {
	if b == nil {
		return
	}
	l.bell.ring(b.Server().Pool)
	for name := range b.ModelNames() {
		l.bell.ring(name)
	}
}

// Find implements dispatcher.Finder.
func (l *Locator) Find(ctx context.Context, r *dispatcher.Request, h *dispatcher.History) (*dispatcher.Reservation, error) {
	l.arrive(r, h)
	var n *need
	defer func() { l.leave(r, n) }()
	defer l.unqueue(r)
	for {
		place, p, err := l.look(l.clock(), r, h, &n)
		if place != nil || err != nil {
			return place, err
		}
		if !p.wait(ctx) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

// look returns a place for r, or the pause before the next look; r then waits for
// the need n.
func (l *Locator) look(now time.Duration, r *dispatcher.Request, h *dispatcher.History, n **need) (*dispatcher.Reservation, pause, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.pick(now, r, h)
	if best != nil && l.admits(now, best, r) {
		return l.place(now, best, r), pause{}, nil
	}
	if best != nil {
		l.queue(r)
		return nil, l.pause(now, queueEnd(r), r), nil
	}
	l.dequeue(r)
	rests := l.rests(r, h)
	if r.Model == "" {
		return nil, l.pause(now, rests, r), l.reopens(now, r, rests, h)
	}
	if *n == nil {
		joined, err := l.join(now, r)
		if err != nil {
			return nil, pause{}, err
		}
		*n = joined
	}
	until := last(r)
	if met := l.listed + meetTime; now < met {
		until = min(until, met)
	}
	if rests > now {
		until = min(until, rests)
	}
	if lonely := l.linked + lonelyTime; now < lonely {
		until = min(until, lonely)
	}
	return nil, l.pause(now, until, r), l.expect(now, r, *n)
}

// last is the instant until which r may wait for its model.
func last(r *dispatcher.Request) time.Duration { return min(r.First, r.Deadline) - shortestRun }

// arrive counts the request once.
func (l *Locator) arrive(r *dispatcher.Request, h *dispatcher.History) {
	if h.Memo != nil || r.Model == "" {
		return
	}
	h.Memo = true
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names(r) {
		l.news.arrivals[name]++
	}
}

// pick returns the best server that can run r now, or nil. The caller holds the
// lock.
func (l *Locator) pick(now time.Duration, r *dispatcher.Request, h *dispatcher.History) *tracker.Backend {
	var best *tracker.Backend
	least := 0.0
	for _, b := range l.candidates(r) {
		if h.Tried[b.Server().ID] || b.BackingOff(now) || !l.holds(now, b, r) {
			continue
		}
		cost := router.Cost{
			Load:        b.EstimatedLoad(now),
			Pending:     b.UnreadPrompts(),
			Remote:      b.Server().Centre != l.centre,
			FailureRate: max(b.FailureRate(now), b.StallScore(now)),
			Saturation:  b.Saturation(now),
		}
		if v := cost.Value(); best == nil || v < least || v == least && prefers(r, b, best) {
			best, least = b, v
		}
	}
	return best
}

// prefers reports whether r goes to x rather than y, which are alike. Requests for plain
// services spread over those, also if all entries have just started and know nothing.
func prefers(r *dispatcher.Request, x, y *tracker.Backend) bool {
	if r.Model != "" {
		return false
	}
	key := router.Hash(r.ID)
	return router.Score(x.Server().ID, key) > router.Score(y.Server().ID, key)
}

// candidates are the servers that may run r. The caller holds the lock.
func (l *Locator) candidates(r *dispatcher.Request) []*tracker.Backend {
	if r.Model == "" {
		return l.fleet.Pool(r.Pool)
	}
	return l.fleet.Holders(needed(r))
}

// holds reports whether a server can run r now. The list may still name what was
// lost together with this entry's predecessor, so that shortly after its start an
// entry sends to the engines of the sidecars that it has heard. Engines that stand
// still get nothing.
func (l *Locator) holds(now time.Duration, b *tracker.Backend, r *dispatcher.Request) bool {
	if r.Model == "" {
		return true
	}
	if b.Server().Pool != r.Pool {
		return false
	}
	if b.Status(now) == nil && now < l.listed+meetTime || b.StallScore(now) >= 1 {
		return false
	}
	held := b.Inventory(now)
	return held.Has(r.Model) && (r.Adapter == "" || held.Has(r.Adapter)) && !b.Unloading(now, r.Model)
}

// place sets a place aside. The caller holds the lock.
func (l *Locator) place(now time.Duration, b *tracker.Backend, r *dispatcher.Request) *dispatcher.Reservation {
	s := b.Server()
	names := names(r)
	l.log.Info().Str("request", r.ID).Str("server", s.ID).Str("model", needed(r)).Int("inflight", b.Inflight()).
		Int("load", b.ReportedLoad()).Int64("waited", (now - r.Started).Milliseconds()).Msg("send")
	l.fleet.StartRequest(now, s.ID, names...)
	l.used(b, names, 1)
	begun := false
	a := l.send(s.ID, r)
	return &dispatcher.Reservation{
		Name:         s.ID,
		Address:      s.Address,
		Expect:       s.ID,
		Urgency:      min(r.Priority, lastUrgency),
		Unsure:       !b.RecentlyActive(now),
		Held:         a.held,
		OnFeedback:   func(w dispatcher.Feedback) { l.hear(s, w) },
		OnPromptRead: func() { begun = true; l.begun(s.ID) },
		OnActivity:   func(now time.Duration) { a.last.Store(int64(now)); b.RecordActivity(now) },
		OnSlow:       func(gap time.Duration) { l.slow(s.ID, r, gap) },
		Release:      func(rep dispatcher.AttemptResult) { l.release(a, names, begun, rep) },
	}
}

// names returns the model and the adapter of r.
func names(r *dispatcher.Request) []string {
	switch {
	case r.Model == "":
		return nil
	case r.Adapter == "":
		return []string{r.Model}
	}
	return []string{r.Model, r.Adapter}
}

// needed returns the adapter of r, or its model.
func needed(r *dispatcher.Request) string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

// strain is how near an answer came to being late, 1 being just so.
func strain(r *dispatcher.Request, rep dispatcher.AttemptResult) float64 {
	s := 0.0
	if aim := r.Goal - r.Started; aim > 0 {
		s = float64(rep.First) / float64(aim)
	}
	if r.Gap > 0 {
		s = max(s, float64(rep.Gap)/float64(r.Gap))
	}
	return s
}

// hear takes what a server says of itself with an answer.
func (l *Locator) hear(s tracker.Server, w dispatcher.Feedback) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if w.Load != nil {
		l.fleet.RecordLoad(now, s.ID, w.Load.Running+w.Load.Waiting)
	}
	if w.Leaving && l.fleet.MarkLeaving(s.ID, s.Started) {
		l.news.parted[s.ID] = s.Started
		l.changed()
		l.log.Info().Str("server", s.ID).Int64("born", s.Started).Msg("server: leaves, by its answer")
	}
	b := l.fleet.Get(s.ID)
	if b == nil || w.BackOff <= 0 {
		return
	}
	b.BackOff(now + w.BackOff)
	l.log.Info().Str("server", s.ID).Int64("rest", w.BackOff.Milliseconds()).Msg("server: wants no requests for a while")
}

// begun takes note that a server has read the prompt of a request.
func (l *Locator) begun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.MarkPromptRead(id)
	l.pass(id)
}

// pass lets the requests look again that are queued for a server. The caller holds the
// lock.
func (l *Locator) pass(id string) {
	if len(l.queued) > 0 {
		l.ring(l.fleet.Get(id))
	}
}

// slowPart is the part of the longest pause on time from which a pause is felt at
// once.
const slowPart = 0.5

// slow takes note of a pause between two events.
func (l *Locator) slow(id string, r *dispatcher.Request, gap time.Duration) {
	strain := float64(gap) / float64(r.Gap)
	if r.Gap <= 0 || strain < slowPart {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.fleet.Get(id); b != nil {
		b.RecordSaturation(l.clock(), strain)
	}
}

// release takes note of the end of an attempt.
func (l *Locator) release(a *attempt, names []string, begun bool, rep dispatcher.AttemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, id, r := l.clock(), a.server, a.request
	l.end(a)
	if b := l.fleet.Get(id); b != nil {
		l.judge(now, b, r, rep)
		l.fleet.EndRequest(now, id, begun, names...)
		l.used(b, names, 0)
	}
	l.pass(id)
}

// hangTime is how long an attempt may have been without an event when its caller
// leaves before it counts as failed.
const hangTime = time.Second

// judge learns from the end of an attempt. The caller holds the lock.
func (l *Locator) judge(now time.Duration, b *tracker.Backend, r *dispatcher.Request, rep dispatcher.AttemptResult) {
	if rep.Err == nil {
		b.RecordActivity(now)
		b.RecordAttempt(now, false)
		if r.Model != "" {
			b.RecordSaturation(now, strain(r, rep))
			l.news.felt = append(l.news.felt, &wire.Saturation{Server: b.Server().ID, Strain: float32(strain(r, rep))})
		}
		return
	}
	f := refuser.Of(rep.Err)
	switch {
	case f.Kind() == refuser.Lost, f.Kind() == refuser.Failed:
		b.RecordAttempt(now, true)
	case f.Kind() == refuser.Absent:
		b.MarkMismatched(now)
	case f.Kind() == refuser.Busy:
		b.RecordActivity(now)
	case f.Kind() == refuser.Silent:
		b.RecordAttempt(now, true)
		b.MarkStalled(now)
		l.log.Info().Str("request", r.ID).Str("server", b.Server().ID).Msg("server: does not confirm what it is sent")
	case rep.First == 0 && !f.Never() && now-r.Started > hangTime:
		b.RecordAttempt(now, true)
	}
}

// used takes note of a change of the requests for models at a server, and reports at
// once if they have come into use or out of it. The caller holds the lock.
func (l *Locator) used(b *tracker.Backend, names []string, edge int) {
	for _, name := range names {
		l.news.uses[use{b.Server().ID, name}] = true
		if b.InflightOf(name) == edge {
			l.changed()
		}
	}
}

// Serving returns the number of servers of a pool that take new work.
func (l *Locator) Serving(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.Pool(pool))
}

// ReportingSidecars returns the number of engines whose sidecars are heard.
func (l *Locator) ReportingSidecars() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.ReportingSidecars(l.clock())
}
