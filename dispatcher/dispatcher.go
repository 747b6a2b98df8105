// Package dispatcher sends admitted requests to backend servers and passes their
// answers back. It charges the workspace, selects a backend server, retries if nothing
// ran or the request may be repeated, and resumes a stream that was cut.
//
// Core does so for any kind of request. Dispatcher uses it for completions and calls of
// plain services that go through sidecars.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/holder"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/quarantiner"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/restorer"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of retries, caches and calls.
const (
	// retryRatio is the fraction of requests that may be retried.
	retryRatio = 0.1
	// retryBurst is the number of retries that can be saved up.
	retryBurst = 20
	// replicaListLifetime is how long cached replicas of a model are used without a query.
	replicaListLifetime = 5 * time.Second
	// holderCallTimeout bounds one call to the holder of a shard. A query for replicas,
	// which may wait for a load, may take this much longer than the time left.
	holderCallTimeout = 500 * time.Millisecond
	// leaveNoticeLifetime is how long a leave notice is kept. It exceeds the delay of the
	// platform's list of instances.
	leaveNoticeLifetime = time.Minute
)

// Dispatcher serves the requests of one entry. It is safe for concurrent use.
type Dispatcher struct {
	shards uint32
	clock  timer.Clock
	caller peer.Caller
	member *member.Member
	holder *holder.Holder
	// claims are the calls that sidecars claim by an idempotency key.
	claims   *restorer.Restorer
	recorder *recorder.Recorder
	meter    *meter.Meter
	log      *log.Logger
	core     *Core
	// quarantine refuses the requests that backend servers crash on.
	quarantine *Quarantine

	mu     sync.Mutex
	router *router.Router
	// replicaLists is keyed by model; sidecarLoads and leaveNotices by instance.
	replicaLists map[string]*replicaList
	sidecarLoads map[string]*sidecarLoad
	leaveNotices map[string]leaveNotice
	// holderFailures holds the instants at which holders last failed to answer a charge, by
	// address.
	holderFailures map[string]time.Duration
}

// replicaList holds the replicas of a model as the holder last listed them.
type replicaList struct {
	locations []*wire.ReplicaLocation
	fetchedAt time.Duration
}

// sidecarLoad is the load of one sidecar: this entry's requests and the last queue length
// that it reported.
type sidecarLoad struct {
	inflight    int
	queueLength int
	reportedAt  time.Duration
	// closedUntil is the instant until which the backend server takes no requests, because of its
	// limit.
	closedUntil time.Duration
}

// New returns a dispatcher with no replicas cached.
func New(shards uint32, clock timer.Clock, caller peer.Caller, m *member.Member, h *holder.Holder, claims *restorer.Restorer, r *recorder.Recorder, mt *meter.Meter, l *log.Logger) *Dispatcher {
	d := &Dispatcher{
		shards:         shards,
		clock:          clock,
		caller:         caller,
		member:         m,
		holder:         h,
		claims:         claims,
		recorder:       r,
		meter:          mt,
		log:            l,
		router:         router.New(router.Hash(m.Self().Name)),
		replicaLists:   map[string]*replicaList{},
		sidecarLoads:   map[string]*sidecarLoad{},
		leaveNotices:   map[string]leaveNotice{},
		holderFailures: map[string]time.Duration{},
	}
	d.quarantine = NewQuarantine(clock, r, l)
	mt.RegisterQuarantines(d.quarantine.List)
	d.core = NewCore(clock, d, d, d, d, router.NewRetryBudget(router.RetryLimits{Ratio: retryRatio, Burst: retryBurst}), r, mt, l)
	return d
}

// Quarantine returns what refuses the requests that backend servers crash on.
func (d *Dispatcher) Quarantine() *Quarantine { return d.quarantine }

// Find implements Finder. A request without a model goes to an instance of its pool.
func (d *Dispatcher) Find(ctx context.Context, r *Request, h *History) (*Reservation, error) {
	if err := d.quarantine.Check(r); err != nil {
		return nil, err
	}
	reservation, err := d.findServer(ctx, r, h)
	if err != nil {
		return nil, err
	}
	if err := d.awaitSend(ctx, r); err != nil {
		reservation.Release(AttemptResult{Err: err})
		return nil, err
	}
	return d.watchAttempt(r, reservation), nil
}

// awaitSend blocks until r may be sent, or returns its refusal. The search may have waited for a load,
// as that of other repeats of r.
func (d *Dispatcher) awaitSend(ctx context.Context, r *Request) error {
	if err := d.quarantine.Check(r); err != nil {
		return err
	}
	delay := d.quarantine.SendDelay(r)
	if delay == 0 {
		return nil
	}
	delay = min(delay, r.Deadline-d.clock())
	if !timer.Wait(ctx, delay, nil) {
		return refuser.New(refuser.Canceled, "the caller has given up")
	}
	return d.quarantine.Check(r)
}

// watchAttempt adds to a reservation that the quarantine learns of the first event of the
// answer, and of a crash of the backend server.
func (d *Dispatcher) watchAttempt(r *Request, reservation *Reservation) *Reservation {
	release := reservation.Release
	recordAnswer := sync.OnceFunc(func() { d.quarantine.RecordAnswer(r) })
	reservation.OnActivity = func(time.Duration) { recordAnswer() }
	reservation.Release = func(result AttemptResult) {
		release(result)
		if result.Answered {
			recordAnswer()
		}
		if crashedAt := refuser.CrashTime(result.Err); crashedAt != 0 && result.MayBeCrash() {
			d.quarantine.RecordCrash(d.clock(), quarantiner.Process{Server: reservation.Name, Started: crashedAt}, r)
		}
	}
	return reservation
}

// findServer returns a reservation at a backend server for r.
func (d *Dispatcher) findServer(ctx context.Context, r *Request, h *History) (*Reservation, error) {
	if r.Model == "" {
		return d.findInstance(r, h)
	}
	return d.findReplica(ctx, r, h)
}

// Send implements Sender.
func (d *Dispatcher) Send(ctx context.Context, reservation *Reservation, r *Request, from uint64) (Answer, error) {
	if call, ok := r.Content.(*ServiceCall); ok {
		return d.sendService(ctx, reservation, r, call)
	}
	return d.sendCompletion(ctx, reservation, r, r.Content.(*transcript), from)
}

// Granted implements Checker. A stream ends when its key is withdrawn.
func (d *Dispatcher) Granted(key string) bool { return d.member.View().Key(key) != nil }

// leaveNotice records the notice of a leaving process: when that process started and when
// the notice arrived.
type leaveNotice struct {
	started    int64
	receivedAt time.Duration
}

// MarkLeaving records that a process takes no new work.
func (d *Dispatcher) MarkLeaving(notice *wire.LeaveNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaveNotices[notice.GetInstance()] = leaveNotice{started: notice.GetStarted(), receivedAt: d.clock()}
}

// acceptsWork reports whether a sidecar may get new work. A leave notice applies to the
// process that sent it, not to its successor of the same name, and is dropped once it
// no longer applies. The caller holds the lock.
func (d *Dispatcher) acceptsWork(name string) bool {
	instance, listed := d.member.Find(name)
	if notice, ok := d.leaveNotices[name]; ok {
		if instance.Started == notice.started && d.clock()-notice.receivedAt < leaveNoticeLifetime {
			return false
		}
		delete(d.leaveNotices, name)
	}
	return !listed || d.member.AcceptsWork(instance)
}

// lookUpReplicas returns the replicas of a model: the cached ones while they are fresh,
// or those that the holder lists. Stale cached ones serve if the holder cannot be
// reached.
func (d *Dispatcher) lookUpReplicas(ctx context.Context, model string, deadline time.Duration) ([]*wire.ReplicaLocation, error) {
	d.mu.Lock()
	cached := d.replicaLists[model]
	fresh := cached != nil && d.clock()-cached.fetchedAt < replicaListLifetime
	d.mu.Unlock()
	if fresh {
		return cached.locations, nil
	}
	locations, err := d.queryHolder(ctx, &wire.ReplicaQuery{Model: model}, deadline)
	if err == nil {
		return locations, nil
	}
	if cached != nil && len(cached.locations) > 0 && holderUnreachable(err) {
		return cached.locations, nil
	}
	return nil, err
}

// holderUnreachable reports whether err says that the holder could not be queried, so
// that replicas cached earlier may still be used.
func holderUnreachable(err error) bool {
	refusal := refuser.FromError(err)
	return slices.Contains([]refuser.Kind{refuser.NotResident, refuser.PlatformUnavailable, refuser.ConnectionLost}, refusal.Kind())
}

// queryHolder queries the holder of the model's shard for its replicas and caches them.
// While the shard has no holder or the holder cannot be reached, it tries again until
// the deadline.
func (d *Dispatcher) queryHolder(ctx context.Context, query *wire.ReplicaQuery, deadline time.Duration) ([]*wire.ReplicaLocation, error) {
	for {
		query.Left = timer.ToMillis(deadline - d.clock())
		list, err := d.queryHolderOnce(ctx, query)
		if err == nil && len(list.GetSpots()) > 0 {
			return d.cacheReplicas(query.GetModel(), list.GetSpots()), nil
		}
		if err == nil {
			err = refuser.New(refuser.Busy, "all replicas of the model are leaving").WithRetryAfter(time.Second)
		}
		refusal := refuser.FromError(err)
		if !holderUnreachable(refusal) || d.clock()+refusal.RetryAfter() >= deadline {
			return nil, refusal
		}
		if !timer.Wait(ctx, max(refusal.RetryAfter(), 100*time.Millisecond), nil) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

// queryHolderOnce makes one query for replicas, here or at the shard's holder.
func (d *Dispatcher) queryHolderOnce(ctx context.Context, query *wire.ReplicaQuery) (*wire.ReplicaList, error) {
	address, self := d.holder.HolderAddress(holder.ModelShard(query.GetModel(), d.shards))
	if self {
		return d.holder.FindReplicas(ctx, query)
	}
	if address == "" {
		return nil, refuser.New(refuser.NotResident, "the model's shard has no holder now").WithRetryAfter(time.Second)
	}
	callCtx, cancel := context.WithTimeout(ctx, timer.FromMillis(query.GetLeft())+holderCallTimeout)
	defer cancel()
	reply, err := peer.Call(callCtx, d.caller, address, &wire.Call{Body: &wire.Call_Ask{Ask: query}})
	if err != nil {
		return nil, d.holderRefusal(err)
	}
	if reply.GetPlace() == nil {
		return nil, peer.UnexpectedReply(reply)
	}
	return reply.GetPlace(), nil
}

// holderRefusal turns the failure of a call to a holder into a refusal and has the shard
// rows read again. If the holder did not answer, the refusal states that the request did
// not run, since a holder runs nothing at a back end.
func (d *Dispatcher) holderRefusal(err error) error {
	d.holder.Refresh()
	refusal := refuser.FromError(err)
	if refusal.Kind() != refuser.Internal {
		return refusal
	}
	return refuser.New(refuser.ConnectionLost, "the shard's holder did not answer").WithRetryAfter(time.Second)
}

// cacheReplicas caches and returns the replicas of a model that this entry sends to.
func (d *Dispatcher) cacheReplicas(model string, locations []*wire.ReplicaLocation) []*wire.ReplicaLocation {
	locations = subsetOf(locations, (*wire.ReplicaLocation).GetInstance, d.entryIndex())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicaLists[model] = &replicaList{locations: locations, fetchedAt: d.clock()}
	return locations
}

// forgetReplicas drops the cached replicas of a model.
func (d *Dispatcher) forgetReplicas(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.replicaLists, model)
}

// loadOf returns the load record of a sidecar, creating it if needed. The caller holds
// the lock.
func (d *Dispatcher) loadOf(name string) *sidecarLoad {
	load := d.sidecarLoads[name]
	if load == nil {
		load = &sidecarLoad{}
		d.sidecarLoads[name] = load
	}
	return load
}

// requestStarted counts one more request in flight at a sidecar.
func (d *Dispatcher) requestStarted(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadOf(name).inflight++
}

// requestEnded counts one request less in flight at a sidecar. The queue length is the one
// that the sidecar reported, or -1 if it reported none.
func (d *Dispatcher) requestEnded(name string, queueLength int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.loadOf(name)
	load.inflight--
	if queueLength >= 0 {
		load.queueLength, load.reportedAt = queueLength, d.clock()
	}
}

// recordResult records that a backend server takes no requests for a while, if the attempt at it
// ended so.
func (d *Dispatcher) recordResult(name string, result AttemptResult) {
	if !refuser.Is(result.Err, refuser.BackendLimited) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.loadOf(name)
	load.closedUntil = max(load.closedUntil, d.clock()+refuser.FromError(result.Err).RetryAfter())
}

// noneTakes returns the refusal of a request that none of the named sidecars takes now. It names
// the time at which the first of them does, if that is known.
func (d *Dispatcher) noneTakes(names []string, text string) *refuser.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, first := d.clock(), time.Duration(0)
	for _, name := range names {
		if until := d.loadOf(name).closedUntil; until > now && d.acceptsWork(name) && (first == 0 || until < first) {
			first = until
		}
	}
	if first > 0 {
		return refuser.New(refuser.BackendLimited, text).WithRetryAfter(first - now)
	}
	return refuser.New(refuser.Busy, text).WithRetryAfter(time.Second)
}

// choose returns the index of the sidecar to send to, or -1 if all were tried, take no new work or
// have a backend server that takes no requests now.
func (d *Dispatcher) choose(names []string, tried map[string]bool, prefix uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	targets := make([]router.Target, len(names))
	for i, name := range names {
		load := d.loadOf(name)
		targets[i] = router.Target{
			Name:        name,
			Inflight:    load.inflight,
			QueueLength: load.queueLength,
			ReportedAt:  load.reportedAt,
			Excluded:    tried[name] || !d.acceptsWork(name) || now < load.closedUntil,
		}
	}
	return d.router.Pick(now, targets, prefix)
}

// subsetSize is the number of instances of a large pool that one entry sends to.
const subsetSize = 24

// poolInstances returns the listed sidecars of a pool that this entry sends to.
func (d *Dispatcher) poolInstances(name string) []storer.Instance {
	instances := slices.DeleteFunc(d.member.Instances("sidecar"), func(in storer.Instance) bool {
		return in.Pool != name
	})
	return subsetOf(instances, storer.Instance.GetName, d.entryIndex())
}

// entryIndex returns the position of this entry in the sorted list of entries, or 0 if it
// is not listed.
func (d *Dispatcher) entryIndex() int {
	var names []string
	for _, in := range d.member.Instances("entry") {
		names = append(names, in.Name)
	}
	slices.Sort(names)
	return max(0, slices.Index(names, d.member.Self().Name))
}

// subsetOf returns the elements of list that the entry with that index sends to: a subset
// of a long list, all of a short one.
func subsetOf[T any](list []T, name func(T) string, index int) []T {
	names := make([]string, len(list))
	for i, x := range list {
		names[i] = name(x)
	}
	chosen := router.Subset(names, index, subsetSize)
	return slices.DeleteFunc(list, func(x T) bool { return !slices.Contains(chosen, name(x)) })
}
