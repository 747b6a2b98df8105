// Package executor is the sidecar's part: the only sender of orders and requests
// to one backend server.
//
// It admits and queues requests, accounts for the engine's memory, fences old
// orders, unloads idle models by itself, and drains when the instance leaves.
package executor

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/engine"
	"oleanderstall/evictor"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/placer"
	"oleanderstall/queuer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/service"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Engine is the model engine of a sidecar.
type Engine interface {
	Status(ctx context.Context) (engine.Status, error)
	Load(ctx context.Context, o engine.Order) error
	Unload(ctx context.Context, o engine.Order) error
	Generate(ctx context.Context, r engine.Request, token func(text string) error) (engine.Result, error)
}

// Service is the plain service of a sidecar.
type Service interface {
	Call(ctx context.Context, r service.Request) (*service.Answer, error)
}

// Options are the settings of a sidecar.
type Options struct {
	Concurrency int
	Queue       int
	Shards      uint32
	// Flight is the longest time that an order may be on its way to the engine.
	Flight time.Duration
	// Fresh is the longest time that a request may wait here on the strength of
	// the entry's check of its key.
	Fresh time.Duration
}

// Executor serves one backend server. It is safe for concurrent use.
type Executor struct {
	terms    Options
	clock    timer.Clock
	caller   peer.Caller
	table    storer.Table
	member   *member.Member
	recorder *recorder.Recorder
	meter    *meter.Meter
	log      *log.Logger
	engine   Engine
	service  Service
	done     chan struct{}

	mu sync.Mutex
	// work counts the requests and loads in hand; quiet is closed when there are
	// none during a drain.
	work     int
	quiet    chan struct{}
	ready    time.Duration
	known    bool
	draining bool
	ledger   *placer.MemoryBudget
	replicas map[string]*replica
	fences   map[string]uint64
	caches   map[string]wire.Tier
	queue    *queuer.Queue[*ticket]
	next     *queuer.Item[*ticket]
	running  int
	gaps     evictor.History
	pace     time.Duration
	frees    []*wire.Slot
}

// replica is one model or adapter in the engine's memory, or on its way there.
type replica struct {
	model   string
	base    string
	bytes   uint64
	slot    uint32
	epoch   uint64
	state   wire.State
	closing bool
	users   int
	history evictor.History
	last    time.Duration
	cold    time.Duration
	// settled is closed when the load has ended.
	settled chan struct{}
	// closed is set while an unload is under way and closed when it has ended.
	closed chan struct{}
}

// hasSettled reports whether no load of r is under way here.
func (r *replica) hasSettled() bool {
	select {
	case <-r.settled:
		return true
	default:
		return false
	}
}

// New returns an executor. Exactly one of e and s is set.
func New(terms Options, clock timer.Clock, caller peer.Caller, table storer.Table, m *member.Member, e Engine, s Service, r *recorder.Recorder, mt *meter.Meter, l *log.Logger) *Executor {
	return &Executor{
		terms:    terms,
		clock:    clock,
		caller:   caller,
		table:    table,
		member:   m,
		recorder: r,
		meter:    mt,
		log:      l,
		engine:   e,
		service:  s,
		done:     make(chan struct{}),
		quiet:    make(chan struct{}),
		ledger:   placer.NewMemoryBudget(0),
		replicas: map[string]*replica{},
		fences:   map[string]uint64{},
		caches:   map[string]wire.Tier{},
		queue:    queuer.New[*ticket](terms.Queue),
	}
}

// Done is closed when Run has returned.
func (x *Executor) Done() <-chan struct{} { return x.done }

// sweepEvery is the time between two looks at idle models.
const sweepEvery = time.Second

// Run learns the engine's state and then unloads idle models until ctx ends.
func (x *Executor) Run(ctx context.Context) {
	defer close(x.done)
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		x.Sweep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Sweep does the periodic work once.
func (x *Executor) Sweep(ctx context.Context) {
	if x.engine == nil {
		return
	}
	x.learn(ctx)
	x.evict(ctx)
	x.report(ctx)
}

// learn reads the engine's state. The first answer fills the ledger; orders are
// taken once the orders of an earlier sidecar can no longer be on their way.
func (x *Executor) learn(ctx context.Context) {
	sent := x.clock()
	st, err := x.engine.Status(ctx)
	if err != nil {
		x.log.Warn().Err(err).Msg("engine: no state")
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	if !x.known {
		x.known = true
		x.ready = now + x.terms.Flight
		x.ledger = placer.NewMemoryBudget(st.Capacity)
	}
	x.cache(st)
	if now < x.ready || len(x.replicas) == 0 {
		x.adopt(st, now)
	}
	for _, r := range x.replicas {
		x.reconcile(st, r, sent)
	}
}

// reconcile brings a replica that nothing is being done with in line with the
// engine's state: a load whose outcome was open, one that an earlier sidecar
// ordered, or a model that the engine has lost. No order for it could be on its
// way any more when the state was asked for, at sent. The caller holds the lock.
func (x *Executor) reconcile(st engine.Status, r *replica, sent time.Duration) {
	if !r.hasSettled() || r.closing || r.users > 0 || sent < r.last+x.terms.Flight {
		return
	}
	l, found := loadedAs(st, r.model)
	switch {
	case !found:
		x.remove(r, "the engine does not have it")
	case !l.Loading:
		r.state = wire.State_STATE_RESIDENT
	}
}

// remove forgets a replica that is gone. The caller holds the lock.
func (x *Executor) remove(r *replica, why string) {
	x.ledger.Release(r.model)
	delete(x.replicas, r.model)
	if r.base == "" {
		x.frees = append(x.frees, &wire.Slot{
			Model: r.model, Index: r.slot, Instance: x.member.Self().Name, Epoch: r.epoch,
		})
	}
	x.note(r.model, "unloaded: "+why)
}

// cache notes where checkpoints are cached on the instance.
func (x *Executor) cache(st engine.Status) {
	x.caches = map[string]wire.Tier{}
	for _, m := range st.Disk {
		x.caches[m] = wire.Tier_TIER_DISK
	}
	for _, m := range st.Memory {
		x.caches[m] = wire.Tier_TIER_MEMORY
	}
}

// adopt takes over what an earlier sidecar had loaded.
func (x *Executor) adopt(st engine.Status, now time.Duration) {
	for _, l := range st.Loaded {
		r := x.replicas[l.Model]
		if r == nil {
			r = &replica{model: l.Model, base: l.Base, bytes: l.Bytes, last: now, settled: make(chan struct{})}
			close(r.settled)
			x.replicas[l.Model] = r
			x.ledger.Adopt(l.Model, l.Bytes)
			x.log.Info().Str("model", l.Model).Msg("engine: adopted a replica")
		}
		if r.state == wire.State_STATE_RESIDENT {
			continue
		}
		r.slot, r.epoch = l.Slot, l.Fence
		r.state = wire.State_STATE_RESIDENT
		if l.Loading {
			r.state = wire.State_STATE_LOADING
		}
		x.fences[l.Model] = max(x.fences[l.Model], l.Fence)
	}
}

// Handle answers one call of another process.
func (x *Executor) Handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	switch b := call.GetBody().(type) {
	case *wire.Call_Run:
		x.take()
		defer x.drop()
		x.reply(s, x.run(ctx, b.Run, s))
	case *wire.Call_Invoke:
		x.take()
		defer x.drop()
		answer, err := x.invoke(ctx, b.Invoke)
		if err == nil {
			_ = s.Send(&wire.Reply{Body: &wire.Reply_Answer{Answer: answer}})
		}
		x.reply(s, err)
	case *wire.Call_Load:
		loaded, err := x.load(ctx, b.Load)
		if err == nil {
			_ = s.Send(&wire.Reply{Body: &wire.Reply_Loaded{Loaded: loaded}})
		}
		x.reply(s, err)
	case *wire.Call_Bid:
		_ = s.Send(x.bid(b.Bid))
	case *wire.Call_Dump:
		_ = s.Send(x.dump(b.Dump.GetSubject()))
	default:
		x.reply(s, refuser.New(refuser.Invalid, "a sidecar does not answer this call"))
	}
}

// take counts a request or a load in.
func (x *Executor) take() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.work++
}

// drop counts a request or a load out.
func (x *Executor) drop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.work--
	x.hush()
}

// hush closes quiet when a drain has nothing more to wait for. The caller holds
// the lock.
func (x *Executor) hush() {
	if !x.draining || x.work > 0 {
		return
	}
	select {
	case <-x.quiet:
	default:
		close(x.quiet)
	}
}

func (x *Executor) reply(s peer.Stream, err error) {
	if err != nil {
		_ = s.Send(refuser.Of(err).Reply())
	}
}

// open refuses new work on an instance that leaves.
func (x *Executor) open() error {
	if x.Draining() {
		return refuser.New(refuser.Leaving, "the instance is leaving")
	}
	return nil
}

// admit checks what every request needs, before it waits and again before it is
// sent: that the deadline is ahead and that the key is still granted.
func (x *Executor) admit(ctx context.Context, key, workspace string, config uint64, arrived, deadline time.Duration) error {
	if x.clock() >= deadline {
		return refuser.New(refuser.Late, "the deadline has passed before the request was sent")
	}
	if key == "" {
		return nil
	}
	return x.allow(ctx, key, workspace, config, arrived)
}

// allow checks the key by this process's configuration. A configuration older
// than the entry's is brought up first, and after a long wait so is one without
// a proof that it is the newest.
func (x *Executor) allow(ctx context.Context, key, workspace string, config uint64, arrived time.Duration) error {
	if x.member.View().Version() < config {
		x.member.Reach(ctx, config)
	}
	if x.clock()-arrived > x.terms.Fresh && !x.member.Refresh(ctx, x.terms.Fresh) {
		return refuser.New(refuser.Stale, "the key could not be checked again after the wait").After(time.Second)
	}
	view := x.member.View()
	if k := view.Key(key); k != nil && k.GetWorkspace() == workspace {
		return nil
	}
	if view.Version() < config {
		return refuser.New(refuser.Stale, "the configuration here is older than the key").After(time.Second)
	}
	return refuser.New(refuser.Unauthorized, "the key was withdrawn")
}

// Drain refuses new work, says so to all entries, and waits for the work in
// hand. Then it unloads what is loaded and reports the slots free.
func (x *Executor) Drain(ctx context.Context) {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.log.Info().Msg("drain: no new work")
	x.announce(ctx)
	x.settle(ctx)
	if x.engine != nil {
		x.clear(ctx)
		x.report(ctx)
	}
	x.log.Info().Msg("drain: complete")
}

// announceLimit bounds the notice to the entries.
const announceLimit = time.Second

// announce tells every entry that this instance takes no new work.
func (x *Executor) announce(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	self := x.member.Self()
	call := &wire.Call{Body: &wire.Call_Leave{Leave: &wire.LeaveNotice{Instance: self.Name, Started: self.Started}}}
	var wg sync.WaitGroup
	for _, in := range x.member.Instances("entry") {
		wg.Go(func() { _, _ = peer.One(limited, x.caller, in.Address, call) })
	}
	wg.Wait()
}

// settle waits until no request and no load is in hand.
func (x *Executor) settle(ctx context.Context) {
	x.mu.Lock()
	x.hush()
	x.mu.Unlock()
	select {
	case <-x.quiet:
	case <-ctx.Done():
		x.log.Warn().Msg("drain: cut short")
	}
}

// Draining reports whether the instance takes no new work.
func (x *Executor) Draining() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.draining
}

// paceWeight is the weight of the newest service time in the running mean.
const paceWeight = 0.1

// record takes note of a service time. The caller holds the lock.
func (x *Executor) record(d time.Duration) {
	if x.pace == 0 {
		x.pace = d
		return
	}
	x.pace += time.Duration(paceWeight * float64(d-x.pace))
}

// wait estimates how long a request with n others before it waits. The caller
// holds the lock.
func (x *Executor) wait(n int) time.Duration {
	if x.running < x.terms.Concurrency {
		return 0
	}
	rounds := math.Ceil(float64(n+1) / float64(x.terms.Concurrency))
	return time.Duration(rounds * float64(x.pace) / 2)
}
