// Package locator finds the backend server for a request from what the entry
// believes of the fleet. A request for a model that no server has waits for it,
// and a sidecar is told that it is wanted.
package locator

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/placer"
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
)

// Locator finds backend servers. It is safe for concurrent use.
type Locator struct {
	name    string
	started int64
	centre  string
	clock   timer.Clock
	copy    *configurer.Configurer
	log     *log.Logger

	mu     sync.Mutex
	fleet  *tracker.Fleet
	demand *tracker.Demand
	needs  map[string]*need
	// growing holds the models that want more copies.
	growing map[string]*growth
	// line knows the loads from the weight store.
	line   *placer.Line
	number uint64
	// listed and met are the instants of the first server and of a sidecar's first
	// word.
	listed time.Duration
	met    time.Duration
	// stopping is set when nothing may wait any more.
	stopping bool
	// queued are the requests whose model serves, but whose prompts wait.
	queued []*dispatcher.Request
	// changed is closed when a request that waits may have got a place.
	changed chan struct{}
	// wanted is signalled when a sidecar has to be told something new.
	wanted map[string]chan struct{}
}

// New returns a locator of an entry that was started at an instant in Unix
// nanoseconds.
func New(name, centre string, started int64, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Locator {
	return &Locator{
		name:    name,
		started: started,
		centre:  centre,
		clock:   clock,
		copy:    c,
		log:     l,
		fleet:   tracker.New(),
		demand:  tracker.NewDemand(),
		needs:   map[string]*need{},
		growing: map[string]*growth{},
		line:    placer.NewLine(),
		changed: make(chan struct{}),
		wanted:  map[string]chan struct{}{},
	}
}

// List takes a server as the platform lists it now.
func (l *Locator) List(s tracker.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed == 0 {
		l.listed = l.clock()
	}
	l.fleet.List(s)
	l.wake()
}

// Drop removes a server that is listed no more.
func (l *Locator) Drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Drop(id)
	l.line.Drop(l.clock(), id)
	l.wake()
}

// Doubt drops a server at an instant unless it is listed again until then.
func (l *Locator) Doubt(id string, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Doubt(id, until)
}

// Sweep drops the servers that were doubted for long enough.
func (l *Locator) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.fleet.Sweep(l.clock()) {
		l.log.Info().Str("server", id).Msg("server: not listed again")
		l.wake()
	}
}

// State takes a sidecar's word on its engine. It reports false if the engine is not
// listed yet.
func (l *Locator) State(s *wire.Condition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.met == 0 {
		l.met = now
	}
	l.heard(now, s)
	listed := l.fleet.Tell(now, s)
	l.wake()
	return listed || s.GetServer() == ""
}

// Stop refuses the requests that wait, now and later.
func (l *Locator) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	l.wake()
}

// wake lets the requests that wait look again. The caller holds the lock.
func (l *Locator) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Find implements dispatcher.Finder.
func (l *Locator) Find(ctx context.Context, r *dispatcher.Request, h *dispatcher.History) (*dispatcher.Place, error) {
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
func (l *Locator) look(now time.Duration, r *dispatcher.Request, h *dispatcher.History, n **need) (*dispatcher.Place, pause, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.pick(now, r, h)
	if best != nil && l.admits(now, best, r) {
		l.press(now, r)
		return l.place(now, best, r), pause{}, nil
	}
	if best != nil {
		l.queue(r)
		return nil, l.pause(now, queueEnd(r)), nil
	}
	l.dequeue(r)
	rests := l.rests(r, h)
	if r.Model == "" {
		return nil, l.pause(now, rests), l.reopens(now, r, rests, h)
	}
	if *n == nil {
		joined, err := l.join(r)
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
	return nil, l.pause(now, until), l.expect(now, r, *n, h)
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
	now := l.clock()
	l.demand.Arrive(now, r.Model)
	if r.Adapter != "" {
		l.demand.Arrive(now, r.Adapter)
	}
}

// pick returns the best server that can run r now, or nil. The caller holds the
// lock.
func (l *Locator) pick(now time.Duration, r *dispatcher.Request, h *dispatcher.History) *tracker.Backend {
	var best *tracker.Backend
	least := 0.0
	for _, b := range l.fleet.Pool(r.Pool) {
		if h.Tried[b.Server().ID] || b.Resting(now) || !l.holds(now, b, r) {
			continue
		}
		cost := router.Cost{
			Load:    b.Load(),
			Pending: b.Pending(),
			Far:     b.Server().Centre != l.centre,
			Trouble: max(b.Trouble(now), b.Silence(now)),
			Strain:  b.Strain(now),
		}
		if v := cost.Value(); best == nil || v < least {
			best, least = b, v
		}
	}
	return best
}

// holds reports whether a server can run r now. The list may still name what was
// lost together with this entry's predecessor, so that shortly after its start an
// entry sends to the engines of the sidecars that it has heard. Engines that stand
// still get nothing.
func (l *Locator) holds(now time.Duration, b *tracker.Backend, r *dispatcher.Request) bool {
	if r.Model == "" {
		return true
	}
	if b.State(now) == nil && now < l.listed+meetTime || b.Silence(now) >= 1 {
		return false
	}
	held := b.Holding(now)
	return held.Has(r.Model) && (r.Adapter == "" || held.Has(r.Adapter)) && !b.Closing(now, r.Model)
}

// place sets a place aside. The caller holds the lock.
func (l *Locator) place(now time.Duration, b *tracker.Backend, r *dispatcher.Request) *dispatcher.Place {
	s := b.Server()
	names := names(r)
	l.log.Info().Str("request", r.ID).Str("server", s.ID).Str("model", needed(r)).Int("inflight", b.Inflight()).
		Int("load", b.Load()).Int64("waited", (now - r.Begun).Milliseconds()).Msg("send")
	l.fleet.Begin(now, s.ID, names...)
	l.used(b, names, 1)
	begun := false
	return &dispatcher.Place{
		Name:    s.ID,
		Address: s.Address,
		Expect:  s.ID,
		Urgency: min(r.Priority, lastUrgency),
		Unsure:  !b.Sure(now),
		Hear:    func(w dispatcher.Word) { l.hear(s, w) },
		Begun:   func() { begun = true; l.begun(s.ID) },
		Alive:   b.Alive,
		Slow:    func(gap time.Duration) { l.slow(s.ID, r, gap) },
		Release: func(rep dispatcher.Report) { l.release(s.ID, names, begun, r, rep) },
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
func strain(r *dispatcher.Request, rep dispatcher.Report) float64 {
	s := 0.0
	if aim := r.Goal - r.Begun; aim > 0 {
		s = float64(rep.First) / float64(aim)
	}
	if r.Gap > 0 {
		s = max(s, float64(rep.Gap)/float64(r.Gap))
	}
	return s
}

// hear takes what a server says of itself with an answer.
func (l *Locator) hear(s tracker.Server, w dispatcher.Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if w.Load != nil {
		l.fleet.Hear(now, s.ID, w.Load.Running+w.Load.Waiting)
	}
	if w.Leaving && l.fleet.Part(s.ID, s.Born) {
		l.log.Info().Str("server", s.ID).Int64("born", s.Born).Msg("server: leaves, by its answer")
		l.wake()
	}
	b := l.fleet.Get(s.ID)
	if b == nil || w.Rest <= 0 {
		return
	}
	b.Rest(now + w.Rest)
	l.log.Info().Str("server", s.ID).Int64("rest", w.Rest.Milliseconds()).Msg("server: wants no requests for a while")
}

// begun takes note that a server has read the prompt of a request.
func (l *Locator) begun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Begun(id)
	if len(l.queued) > 0 {
		l.wake()
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
		b.Feel(l.clock(), strain)
	}
}

// release takes note of the end of an attempt.
func (l *Locator) release(id string, names []string, begun bool, r *dispatcher.Request, rep dispatcher.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if b := l.fleet.Get(id); b != nil {
		l.judge(now, b, r, rep)
		l.fleet.End(now, id, begun, names...)
		l.used(b, names, 0)
	}
	if len(l.queued) > 0 {
		l.wake()
	}
}

// hangTime is how long an attempt may have been without an event when its caller
// leaves before it counts as failed.
const hangTime = time.Second

// judge learns from the end of an attempt. The caller holds the lock.
func (l *Locator) judge(now time.Duration, b *tracker.Backend, r *dispatcher.Request, rep dispatcher.Report) {
	if rep.Err == nil {
		b.Alive(now)
		b.Try(now, false)
		if r.Model != "" {
			b.Feel(now, strain(r, rep))
		}
		return
	}
	f := refuser.Of(rep.Err)
	switch {
	case f.Kind() == refuser.Lost, f.Kind() == refuser.Failed:
		b.Try(now, true)
	case f.Kind() == refuser.Absent:
		b.Disown(now)
	case f.Kind() == refuser.Busy:
		b.Alive(now)
	case f.Kind() == refuser.Silent:
		b.Try(now, true)
		b.Stand(now)
		l.log.Info().Str("request", r.ID).Str("server", b.Server().ID).Msg("server: does not confirm what it is sent")
	case rep.First == 0 && !f.Never() && now-r.Begun > hangTime:
		b.Try(now, true)
	}
}

// used tells the sidecar of a server that its models have come into use or out of
// it. The caller holds the lock.
func (l *Locator) used(b *tracker.Backend, names []string, edge int) {
	for _, name := range names {
		if b.InflightOf(name) == edge {
			l.tell(b.Server().ID)
		}
	}
}
