// Package executor implements the sidecar of one backend server. No other process
// sends orders or requests to that server.
//
// It admits and queues requests, accounts for the engine's memory, rejects orders
// with an outdated fencing number, unloads idle models on its own, and drains
// when the instance is leaving.
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
	"oleanderstall/pacer"
	"oleanderstall/peer"
	"oleanderstall/placer"
	"oleanderstall/queuer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/restorer"
	"oleanderstall/service"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Engine is the client of the sidecar's model engine. Load and Unload return once
// the engine has confirmed the order. Generate calls onToken for the text of each
// token in order.
type Engine interface {
	Status(ctx context.Context) (engine.Status, error)
	Load(ctx context.Context, o engine.Order) error
	Unload(ctx context.Context, o engine.Order) error
	Generate(ctx context.Context, r engine.Request, onToken func(text string) error) (engine.Result, error)
}

// Service is the client of the sidecar's plain service. Call makes at most one
// call unless the request is idempotent.
type Service interface {
	Call(ctx context.Context, r service.Request) (*service.Answer, error)
}

// Options are the settings of a sidecar.
type Options struct {
	// Concurrency is the maximum number of requests or calls that run at the same
	// time.
	Concurrency int
	// QueueLimit is the maximum number of model requests that wait.
	QueueLimit int
	// Shards is the number of shards of the model table. It selects the holder to
	// which a freed slot is reported.
	Shards uint32
	// MaxOrderTransit is the longest time that an order may be in transit to the engine.
	MaxOrderTransit time.Duration
	// MaxKeyCheckAge is the longest time since the arrival of a request for which the
	// entry's check of its key is still relied on.
	MaxKeyCheckAge time.Duration
	// Refuses reports whether nobody listens at the backend server's address. It may be nil.
	Refuses func(ctx context.Context) bool
}

// Executor is the sidecar of one backend server. It is safe for concurrent use.
type Executor struct {
	options  Options
	clock    timer.Clock
	caller   peer.Caller
	table    storer.Table
	member   *member.Member
	recorder *recorder.Recorder
	meter    *meter.Meter
	log      *log.Logger
	engine   Engine
	service  Service
	// claims are the claims of the calls with an idempotency key.
	claims *restorer.Restorer
	done   chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// active counts the requests and loads in flight; drained is closed when there
	// are none during a drain.
	active  int
	drained chan struct{}
	// ordersFrom is the time from which orders are accepted: orders of an earlier
	// sidecar can no longer be in transit then.
	ordersFrom time.Duration
	// statusKnown is set once the engine's first status has been read, and software is the version of
	// the engine's software in the latest one.
	statusKnown bool
	software    string
	draining    bool
	// budget accounts for the engine's memory.
	budget *placer.MemoryBudget
	// replicas holds the models and adapters of the engine by name.
	replicas map[string]*replica
	// fences holds the highest known fencing number of each model.
	fences map[string]uint64
	// cacheTiers is where the checkpoint of each model is cached on the instance.
	cacheTiers map[string]wire.Tier
	queue      *queuer.Queue[*ticket]
	// next is the request that was taken out of the queue last, while it waits for free
	// KV cache memory, or nil.
	next *queuer.Item[*ticket]
	// running is the number of requests or calls that run.
	running int
	// gapPrior holds the gaps between requests of all the engine's models. It is
	// the prior for the history of a new replica.
	gapPrior evictor.History
	// meanServiceTime is an exponentially weighted average, or 0 before the first
	// request has ended.
	meanServiceTime time.Duration
	// crashedAt is the time at which the backend server was noticed to have crashed, in Unix
	// milliseconds, or 0 while it answers.
	crashedAt int64
	// mayHaveRestarted is set if the engine may have started again since its status was last
	// read; restartSuspected then makes Run read it.
	mayHaveRestarted bool
	restartSuspected chan struct{}
	// gate keeps the limit that the backend server has named.
	gate pacer.Gate
	// freedSlots are slots whose holder has not confirmed yet that they are free.
	freedSlots []*wire.Slot
}

// replica is one model or adapter that is loaded in the engine's memory or is
// being loaded.
type replica struct {
	model string
	// base is the base model of an adapter, empty for a model.
	base      string
	bytes     uint64
	slotIndex uint32
	// epoch is the fencing number of the order that loaded the replica. An adapter
	// has that of its base.
	epoch uint64
	state wire.State
	// unloading is set during an unload; the replica then takes no new requests.
	unloading bool
	// users is the number of requests for the replica that are queued or running.
	users   int
	history evictor.History
	// lastUsed is the last time at which a request arrived or ended, the load ended
	// or the replica was adopted.
	lastUsed time.Duration
	// loadTime is the duration of the load, or 0 if this sidecar did not load it, and
	// loadedAt the time at which the load ended.
	loadTime time.Duration
	loadedAt time.Duration
	// loadDone is closed when this sidecar's load has ended. It is closed from the
	// start for a replica that an earlier sidecar loaded.
	loadDone chan struct{}
	// unloadDone is set when an unload begins and closed when it has ended,
	// successfully or not.
	unloadDone chan struct{}
}

// loadFinished reports whether this sidecar has no load of r in progress.
func (r *replica) loadFinished() bool {
	select {
	case <-r.loadDone:
		return true
	default:
		return false
	}
}

// New returns an executor. Exactly one of engine and service is not nil.
func New(options Options, clock timer.Clock, caller peer.Caller, table storer.Table, member *member.Member, engine Engine, service Service, recorder *recorder.Recorder, meter *meter.Meter, logger *log.Logger) *Executor {
	return &Executor{
		options:    options,
		clock:      clock,
		caller:     caller,
		table:      table,
		member:     member,
		recorder:   recorder,
		meter:      meter,
		log:        logger,
		engine:     engine,
		service:    service,
		claims:     restorer.New(member.Self().Name, table, clock, logger),
		done:       make(chan struct{}),
		drained:    make(chan struct{}),
		budget:     placer.NewMemoryBudget(0),
		replicas:   map[string]*replica{},
		fences:     map[string]uint64{},
		cacheTiers: map[string]wire.Tier{},
		queue:      queuer.New[*ticket](options.QueueLimit),

		restartSuspected: make(chan struct{}, 1),
	}
}

// Done returns a channel that is closed when Run has returned.
func (x *Executor) Done() <-chan struct{} { return x.done }

// sweepInterval is the time between two calls of Sweep.
const sweepInterval = time.Second

// Run calls Sweep at once, then every sweepInterval and when the backend server may have
// started again, until ctx ends.
func (x *Executor) Run(ctx context.Context) {
	defer close(x.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		x.Sweep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-x.restartSuspected:
			x.awaitRestart(ctx)
		}
	}
}

// Sweep polls the engine's status, unloads idle models and reports freed slots,
// once. For a plain service it writes claims again that the store has lost.
func (x *Executor) Sweep(ctx context.Context) {
	if x.engine == nil {
		x.restoreClaims(ctx)
		return
	}
	x.pollEngine(ctx)
	x.evictExpired(ctx)
	x.reportFreedSlots(ctx)
}

// Handle answers one call of another process and returns when the answer was
// sent.
func (x *Executor) Handle(ctx context.Context, call *wire.Call, stream peer.Stream) {
	switch b := call.GetBody().(type) {
	case *wire.Call_Run:
		x.beginWork()
		defer x.endWork()
		x.replyError(stream, x.serveRequest(ctx, b.Run, stream))
	case *wire.Call_Invoke:
		x.beginWork()
		defer x.endWork()
		answer, err := x.invoke(ctx, b.Invoke)
		if err == nil {
			_ = stream.Send(&wire.Reply{Body: &wire.Reply_Answer{Answer: answer}})
		}
		x.replyError(stream, err)
	case *wire.Call_Load:
		loaded, err := x.load(ctx, b.Load)
		if err == nil {
			_ = stream.Send(&wire.Reply{Body: &wire.Reply_Loaded{Loaded: loaded}})
		}
		x.replyError(stream, err)
	case *wire.Call_Bid:
		_ = stream.Send(x.bid(b.Bid))
	case *wire.Call_Dump:
		_ = stream.Send(x.dump(b.Dump.GetSubject()))
	default:
		x.replyError(stream, refuser.New(refuser.InvalidRequest, "a sidecar does not answer this call"))
	}
}

// beginWork counts a request or a load as in flight.
func (x *Executor) beginWork() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active++
}

// endWork counts a request or a load as ended.
func (x *Executor) endWork() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active--
	x.signalDrained()
}

// replyError sends err as a refusal. It sends nothing if err is nil.
func (x *Executor) replyError(stream peer.Stream, err error) {
	if err != nil {
		_ = stream.Send(refuser.FromError(err).Reply())
	}
}

// checkRequest refuses a request whose deadline has passed, whose key is not granted any
// more, or whose backend server has crashed. Every request is checked before it waits and
// again before it is sent. The key of a request without one is not checked.
func (x *Executor) checkRequest(ctx context.Context, key, workspace string, configVersion uint64, arrived, deadline time.Duration) error {
	if x.clock() >= deadline {
		return refuser.New(refuser.DeadlineExceeded, "the deadline has passed before the request was sent")
	}
	if x.crashed() {
		return refuser.New(refuser.ConnectionLost, "the backend server has crashed and does not run again yet").WithRetryAfter(time.Second)
	}
	if key == "" {
		return nil
	}
	return x.checkKey(ctx, key, workspace, configVersion, arrived)
}

// checkKey looks the key up in this process's configuration. A configuration older
// than the entry's, configVersion, is updated first. If more than Options.MaxKeyCheckAge
// has passed since arrived, the configuration must also be confirmed to be the
// newest within that time; if it cannot be, the request is refused.
func (x *Executor) checkKey(ctx context.Context, key, workspace string, configVersion uint64, arrived time.Duration) error {
	if x.member.View().Version() < configVersion {
		x.member.CatchUp(ctx, configVersion)
	}
	if x.clock()-arrived > x.options.MaxKeyCheckAge && !x.member.EnsureFresh(ctx, x.options.MaxKeyCheckAge) {
		return refuser.New(refuser.StaleConfiguration, "the key could not be checked again after the wait").WithRetryAfter(time.Second)
	}
	view := x.member.View()
	if k := view.Key(key); k != nil && k.GetWorkspace() == workspace {
		return nil
	}
	if view.Version() < configVersion {
		return refuser.New(refuser.StaleConfiguration, "the configuration here is older than the key").WithRetryAfter(time.Second)
	}
	return refuser.New(refuser.Unauthorized, "the key was withdrawn")
}

// serviceTimeWeight is the weight of the newest service time in the exponentially
// weighted average.
const serviceTimeWeight = 0.1

// recordServiceTime updates the average service time. The caller holds the lock.
func (x *Executor) recordServiceTime(serviceTime time.Duration) {
	if x.meanServiceTime == 0 {
		x.meanServiceTime = serviceTime
		return
	}
	x.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-x.meanServiceTime))
}

// estimateWait estimates the waiting time of a request with the given number of
// requests ahead of it in the queue: the number of rounds in which they are served
// at full concurrency, times half the average service time. The caller holds the
// lock.
func (x *Executor) estimateWait(ahead int) time.Duration {
	if x.running < x.options.Concurrency {
		return 0
	}
	rounds := math.Ceil(float64(ahead+1) / float64(x.options.Concurrency))
	return time.Duration(rounds * float64(x.meanServiceTime) / 2)
}
