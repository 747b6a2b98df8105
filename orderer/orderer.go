// Package orderer is the task of a sidecar that orders the engine on its
// instance: it takes what is wanted of the engine, decides the next order, and
// reports what the engine holds.
//
// Each order names the number of orders that the engine had accepted before it, so
// an order without an answer has no effect once a later one was accepted.
package orderer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/meter"
	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Periods of the looks at the engine.
const (
	// BusyPeriod and IdlePeriod are between two looks at an engine on the same instance.
	BusyPeriod = 15 * time.Millisecond
	IdlePeriod = 100 * time.Millisecond
	// tellLife is how long what a relay told counts once it has fallen silent.
	tellLife = 1500 * time.Millisecond
	// loadPeriod is the shortest time between two reports that differ in load only, and
	// usePeriod between two that differ in the use of models.
	loadPeriod = 150 * time.Millisecond
	usePeriod  = 500 * time.Millisecond
	// closingTime is between the notice that a model is about to be unloaded and the
	// order, so that requests on their way still find it.
	closingTime = 30 * time.Millisecond
)

// Options are the sidecar's own properties.
type Options struct {
	// Holder names this instance in its orders.
	Holder string
	// Pool is the pool of the engine and Address its address.
	Pool    string
	Address string
	// Started is the start of this process, in Unix nanoseconds.
	Started int64
	// Busy is the time between two looks at the engine while requests wait for a model,
	// and Idle that between two others.
	Busy time.Duration
	Idle time.Duration
}

// Directory knows the id of the engine.
type Directory interface {
	// Server returns the id of the server at an address that was started at born,
	// or empty if it is not known.
	Server(ctx context.Context, address string, born int64) (string, error)
	// Fence returns the fencing number of this process, or 0 if it has none yet.
	Fence() uint64
}

// Orderer orders one engine. It is safe for concurrent use.
type Orderer struct {
	terms     Options
	clock     timer.Clock
	engine    Engine
	directory Directory
	copy      *configurer.Configurer
	meter     *meter.Meter
	log       *log.Logger
	kick      chan struct{}
	done      chan struct{}

	mu sync.Mutex
	// tells are what relays told, by relay, and items the rows of the list for the
	// engine's address, by server.
	tells  map[string]told
	items  map[string]*wire.ListedServer
	report Report
	server string
	// born is the start of the engine whose id is server.
	born int64
	// used and since are the instants of each model's last use and load.
	used  map[string]time.Duration
	since map[string]time.Duration
	// current is the order being carried out.
	current placer.Step
	begun   time.Duration
	// closing is the model that is about to be unloaded, since closed.
	closing string
	closed  time.Duration
	state   *wire.EngineStatus
	stated  time.Duration
	// sent is the state that was reported last, at the instant told, and counted the
	// instant of the latest report of the load alone.
	sent    *wire.EngineStatus
	told    time.Duration
	counted time.Duration
	change  chan struct{}
}

// told is the last message of a relay, which came at the instant at, and was heard
// last at the instant heard.
type told struct {
	tell  *wire.Assignment
	at    time.Duration
	heard time.Duration
}

// New returns an orderer that has not seen its engine yet.
func New(t Options, clock timer.Clock, e Engine, d Directory, c *configurer.Configurer, m *meter.Meter, l *log.Logger) *Orderer {
	return &Orderer{
		terms:     t,
		clock:     clock,
		engine:    e,
		directory: d,
		copy:      c,
		meter:     m,
		log:       l,
		kick:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		tells:     map[string]told{},
		items:     map[string]*wire.ListedServer{},
		used:      map[string]time.Duration{},
		since:     map[string]time.Duration{},
		state:     &wire.EngineStatus{Address: t.Address, Started: t.Started},
		change:    make(chan struct{}, 1),
	}
}

// Done is closed when Run has returned.
func (o *Orderer) Done() <-chan struct{} { return o.done }

// Run looks at the engine and orders it until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	defer close(o.done)
	for ctx.Err() == nil {
		t := time.NewTimer(o.tick(ctx))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-o.kick:
		}
		t.Stop()
	}
}

// Wake makes Run look at once.
func (o *Orderer) Wake() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// tick looks at the engine once, orders what is next and returns the time until
// the next look.
func (o *Orderer) tick(ctx context.Context) time.Duration {
	r, err := o.engine.Report(ctx)
	if err != nil {
		o.lost(ctx, err)
		return o.terms.Idle
	}
	if err := o.meet(ctx, r); err != nil {
		o.log.Warn().Err(err).Int64("born", r.Started).Msg("engine: id not known")
	}
	now := o.clock()
	o.observe(now, r)
	pending := o.adapters(ctx, now)
	pending = o.models(ctx, now) || pending
	now = o.clock()
	o.publish(now)
	return o.rest(now, pending)
}

// rest is the time until the next look at the engine: short while something may
// change there at any moment.
func (o *Orderer) rest(now time.Duration, pending bool) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !pending {
		return o.terms.Idle
	}
	if o.current.Op != placer.Load || len(o.report.Loading) > 0 {
		return o.terms.Busy
	}
	left := o.begun + o.loadTime(o.copy.View().Model(o.current.Model)) - now
	if left < 0 {
		left = -left / overdueParts
	}
	return min(o.terms.Idle, max(o.terms.Busy, left))
}

// overdueParts is the part of the time for which a load is overdue after which it is
// looked at again.
const overdueParts = 8

// lost takes note that the engine did not answer.
func (o *Orderer) lost(ctx context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() == nil && o.report.Started != 0 {
		o.log.Warn().Err(err).Str("server", o.server).Msg("engine: lost")
	}
	o.report = Report{}
}

// meet learns the id of an engine that was not seen before.
func (o *Orderer) meet(ctx context.Context, r Report) error {
	o.mu.Lock()
	known := o.server != "" && o.born == r.Started
	o.mu.Unlock()
	if known {
		return nil
	}
	id, err := o.identify(ctx, r.Started)
	if err != nil || id == "" {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.server, o.born = id, r.Started
	clear(o.used)
	clear(o.since)
	o.current, o.closing = placer.Step{}, ""
	o.log.Info().Str("server", id).Int64("born", r.Started).Strs("models", r.Models).Uint64("sequence", r.Sequence).
		Msg("engine: met")
	return nil
}

// identify returns the id of the engine that was started at born, as a relay tells it
// or, if none does, as the store does.
func (o *Orderer) identify(ctx context.Context, born int64) (string, error) {
	o.mu.Lock()
	linked := len(o.tells) > 0
	for id, it := range o.items {
		if it.GetBorn() == born {
			o.mu.Unlock()
			return id, nil
		}
	}
	o.mu.Unlock()
	if linked {
		return "", nil
	}
	return o.directory.Server(ctx, o.terms.Address, born)
}

// observe takes the engine's report.
func (o *Orderer) observe(now time.Duration, r Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.report.Started == 0 {
		o.log.Info().Int64("born", r.Started).Msg("engine: answers")
	}
	for _, name := range r.Models {
		if _, ok := o.since[name]; !ok {
			o.since[name] = now
		}
	}
	for name := range o.since {
		if !r.Has(name) {
			delete(o.since, name)
		}
	}
	if o.current.Op != placer.None && !r.Busy {
		o.log.Info().Str("server", o.server).Str("op", o.current.Op.String()).Str("model", o.current.Model).
			Bool("there", r.Has(o.current.Model)).Int64("took", (now - o.begun).Milliseconds()).Msg("order: complete")
		if o.current.Op == placer.Load {
			o.meter.Cold(now - o.begun)
		}
		o.current = placer.Step{}
	}
	o.report = r
	for name, t := range o.tells {
		if now-t.heard > tellLife {
			delete(o.tells, name)
		}
	}
}

// ready reports whether orders may be sent. The caller holds the lock.
func (o *Orderer) ready() bool {
	return o.server != "" && o.born == o.report.Started && o.directory.Fence() != 0 && !o.report.Leaving &&
		o.copy.View().Version() > 0
}

// models orders the next load or unload of a model. It reports whether the engine
// may soon be ready for another order. Requests that wait for others to end are
// looked at again when an entry tells so.
func (o *Orderer) models(ctx context.Context, now time.Duration) bool {
	o.mu.Lock()
	wants := o.wants()
	if !o.ready() || o.report.Busy {
		busy := o.report.Busy
		o.mu.Unlock()
		return busy
	}
	step := placer.NextStep(now, o.free(), o.held(now), wants)
	if step.Op == placer.Unload && !o.announced(now, step.Model) {
		o.mu.Unlock()
		o.publish(now)
		return true
	}
	if step.Op != placer.Unload {
		o.closing = ""
	}
	order := o.order(step.Op, step.Model, "")
	o.mu.Unlock()
	if step.Op == placer.None {
		return false
	}
	outcome := o.send(ctx, order, step.For)
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome == Accepted {
		o.current, o.begun = step, now
		o.report.Busy = true
	}
	return true
}

// announced reports whether the entries were told some time ago that a model is
// about to be unloaded. The caller holds the lock.
func (o *Orderer) announced(now time.Duration, model string) bool {
	if o.closing != model {
		o.closing, o.closed = model, now
	}
	return now-o.closed >= closingTime
}

// order returns an order to the engine as last seen. The caller holds the lock.
func (o *Orderer) order(op placer.Op, model, adapter string) Order {
	return Order{
		Op:       op,
		Model:    model,
		Adapter:  adapter,
		Server:   o.server,
		Sequence: o.report.Sequence,
		Holder:   o.terms.Holder,
		Fence:    o.directory.Fence(),
	}
}

// send sends an order and records it.
func (o *Orderer) send(ctx context.Context, order Order, cause string) Outcome {
	outcome, err := o.engine.Order(ctx, order)
	o.meter.Order(order.Op.String(), outcome.String())
	e := o.log.Info().Str("server", order.Server).Str("op", order.Op.String()).Str("model", order.Model).
		Str("adapter", order.Adapter).Str("for", cause).Uint64("sequence", order.Sequence).
		Uint64("fence", order.Fence).Str("outcome", outcome.String())
	if err != nil {
		e = e.Err(err)
	}
	e.Msg("order: sent")
	return outcome
}

// wants gathers the models that requests wait for here, those that the engine holds
// included. The caller holds the lock.
func (o *Orderer) wants() []placer.LoadRequest {
	view := o.copy.View()
	merged := map[string]*placer.LoadRequest{}
	for _, t := range o.tells {
		for _, w := range t.tell.GetWants() {
			m := view.Model(w.GetModel())
			if m != nil && m.GetBase() != "" {
				m = view.Model(m.GetBase())
			}
			if m == nil || m.GetPool() != o.terms.Pool {
				continue
			}
			have := merged[m.GetName()]
			if have == nil {
				have = &placer.LoadRequest{Model: m.GetName(), Bytes: m.GetBytes(), Since: t.at, Goal: 1<<62 - 1, Time: o.loadTime(m)}
				merged[m.GetName()] = have
			}
			have.Count += int(w.GetCount())
			have.Worth += w.GetWorth()
			have.Goal = min(have.Goal, t.at+time.Duration(w.GetGoal())*time.Millisecond)
			have.Since = min(have.Since, t.at-timer.FromMillis(w.GetAge()))
		}
	}
	list := make([]placer.LoadRequest, 0, len(merged))
	for _, w := range merged {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b placer.LoadRequest) int { return int(a.Since - b.Since) })
	return list
}

// loadTime is the duration of a load by where the checkpoint is cached. The
// caller holds the lock.
func (o *Orderer) loadTime(m *wire.Model) time.Duration {
	took, _ := o.report.LoadTime(m)
	return took
}

// held lists the models in memory. The caller holds the lock.
func (o *Orderer) held(now time.Duration) []placer.LoadedModel {
	view := o.copy.View()
	var list []placer.LoadedModel
	for _, name := range o.report.Models {
		m := view.Model(name)
		if m == nil || m.GetBase() != "" {
			continue
		}
		h := placer.LoadedModel{Model: name, Bytes: m.GetBytes(), Reload: o.loadTime(m), Since: o.since[name], Last: o.used[name]}
		for _, t := range o.tells {
			for _, d := range t.tell.GetDemands() {
				if d.GetModel() == name {
					h.Inflight = max(h.Inflight, int(d.GetInflight()))
					h.Rate = max(h.Rate, d.GetRate())
					h.Copies = max(h.Copies, int(d.GetCopies()))
				}
			}
		}
		if h.Inflight > 0 {
			o.used[name] = now
			h.Last = now
		}
		list = append(list, h)
	}
	return list
}

// free is the memory for weights that is free. The caller holds the lock.
func (o *Orderer) free() uint64 {
	view := o.copy.View()
	capacity := view.Pool(o.terms.Pool).GetEngines().GetBytes()
	used := uint64(0)
	for _, name := range o.report.Models {
		used += view.Model(name).GetBytes()
	}
	for _, name := range o.report.Loading {
		used += view.Model(name).GetBytes()
	}
	return capacity - min(used, capacity)
}
