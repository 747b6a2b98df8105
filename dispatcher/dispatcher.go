// Package dispatcher takes an admitted request of a caller to a back end and its
// answer back: it charges the workspace, finds a backend server, retries where
// nothing has run or the request may be repeated, and resumes a stream that was
// cut. Core does so for any request; Dispatcher is the core's user for completions
// and calls of plain services that go through sidecars.
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
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of retries and of what is remembered.
const (
	// retryRatio is the part of requests that may be retried.
	retryRatio = 0.1
	// retryMost is the number of retries saved up.
	retryMost = 20
	// placeLife is how long the known replicas of a model are used unasked.
	placeLife = 5 * time.Second
	// holderLimit bounds one call to the holder of a shard, beside a load.
	holderLimit = 500 * time.Millisecond
	// leaveLife is how long a notice of leaving is remembered, longer than the
	// platform's list lags.
	leaveLife = time.Minute
)

// Dispatcher serves the requests of one entry. It is safe for concurrent use.
type Dispatcher struct {
	shards   uint32
	clock    timer.Clock
	caller   peer.Caller
	member   *member.Member
	holder   *holder.Holder
	recorder *recorder.Recorder
	meter    *meter.Meter
	log      *log.Logger
	core     *Core

	mu       sync.Mutex
	router   *router.Router
	places   map[string]*known
	backends map[string]*backend
	leaving  map[string]notice
	hushed   map[string]time.Duration
}

// known are the replicas of a model as last heard.
type known struct {
	spots []*wire.ReplicaLocation
	at    time.Duration
}

// backend is the load of one sidecar as this entry sees it.
type backend struct {
	inflight int
	queue    int
	at       time.Duration
}

// New returns a dispatcher that knows no replica yet.
func New(shards uint32, clock timer.Clock, caller peer.Caller, m *member.Member, h *holder.Holder, r *recorder.Recorder, mt *meter.Meter, l *log.Logger) *Dispatcher {
	d := &Dispatcher{
		shards:   shards,
		clock:    clock,
		caller:   caller,
		member:   m,
		holder:   h,
		recorder: r,
		meter:    mt,
		log:      l,
		router:   router.New(router.Hash(m.Self().Name)),
		places:   map[string]*known{},
		backends: map[string]*backend{},
		leaving:  map[string]notice{},
		hushed:   map[string]time.Duration{},
	}
	d.core = NewCore(clock, d, d, d, d, router.NewBudget(router.Retries{Ratio: retryRatio, Most: retryMost}), r, mt, l)
	return d
}

// Find implements Finder.
func (d *Dispatcher) Find(ctx context.Context, r *Request, h *History) (*Reservation, error) {
	if r.Model == "" {
		return d.findInstance(r, h)
	}
	return d.findReplica(ctx, r, h)
}

// Send implements Sender.
func (d *Dispatcher) Send(ctx context.Context, p *Reservation, r *Request, from uint64) (Answer, error) {
	if v, ok := r.Content.(*Service); ok {
		return d.sendService(ctx, p, r, v)
	}
	return d.sendModel(ctx, p, r, r.Content.(*transcript), from)
}

// Granted implements Checker: a stream ends with the withdrawal of its key.
func (d *Dispatcher) Granted(key string) bool { return d.member.View().Key(key) != nil }

// notice is what a leaving process has said.
type notice struct {
	started int64
	at      time.Duration
}

// Leave takes note that a process takes no new work.
func (d *Dispatcher) Leave(l *wire.LeaveNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[l.GetInstance()] = notice{started: l.GetStarted(), at: d.clock()}
}

// usable reports whether a sidecar may get new work. A notice holds for the
// process that gave it, not for its successor of the same name. The caller holds
// the lock.
func (d *Dispatcher) usable(name string) bool {
	in, listed := d.member.Find(name)
	if n, ok := d.leaving[name]; ok {
		if in.Started == n.started && d.clock()-n.at < leaveLife {
			return false
		}
		delete(d.leaving, name)
	}
	return !listed || !in.Leaving
}

// find returns the replicas of a model, from memory if they are fresh.
func (d *Dispatcher) find(ctx context.Context, model string, deadline time.Duration) ([]*wire.ReplicaLocation, error) {
	d.mu.Lock()
	k := d.places[model]
	fresh := k != nil && d.clock()-k.at < placeLife
	d.mu.Unlock()
	if fresh {
		return k.spots, nil
	}
	spots, err := d.ask(ctx, &wire.ReplicaQuery{Model: model}, deadline)
	if err == nil {
		return spots, nil
	}
	if k != nil && len(k.spots) > 0 && unreachable(err) {
		return k.spots, nil
	}
	return nil, err
}

// unreachable reports whether the holder could not be asked, so that replicas
// known from before are still worth a try.
func unreachable(err error) bool {
	r := refuser.Of(err)
	return slices.Contains([]refuser.Kind{refuser.Absent, refuser.Outage, refuser.Lost}, r.Kind())
}

// ask asks the holder of the model's shard for the replicas, until there is one.
// If nobody holds the shard, it tries again until the deadline.
func (d *Dispatcher) ask(ctx context.Context, a *wire.ReplicaQuery, deadline time.Duration) ([]*wire.ReplicaLocation, error) {
	for {
		a.Left = timer.ToMillis(deadline - d.clock())
		place, err := d.askOnce(ctx, a)
		if err == nil && len(place.GetSpots()) > 0 {
			return d.remember(a.GetModel(), place.GetSpots()), nil
		}
		if err == nil {
			err = refuser.New(refuser.Busy, "all replicas of the model are leaving").After(time.Second)
		}
		r := refuser.Of(err)
		if !unreachable(r) || d.clock()+r.Retry() >= deadline {
			return nil, r
		}
		if !timer.Wait(ctx, max(r.Retry(), 100*time.Millisecond), nil) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

func (d *Dispatcher) askOnce(ctx context.Context, a *wire.ReplicaQuery) (*wire.ReplicaList, error) {
	address, self := d.holder.Address(holder.ModelShard(a.GetModel(), d.shards))
	if self {
		return d.holder.Ask(ctx, a)
	}
	if address == "" {
		return nil, refuser.New(refuser.Absent, "the model's shard has no holder now").After(time.Second)
	}
	limited, cancel := context.WithTimeout(ctx, timer.FromMillis(a.GetLeft())+holderLimit)
	defer cancel()
	reply, err := peer.One(limited, d.caller, address, &wire.Call{Body: &wire.Call_Ask{Ask: a}})
	if err != nil {
		return nil, d.unanswered(err)
	}
	if reply.GetPlace() == nil {
		return nil, peer.Unexpected(reply)
	}
	return reply.GetPlace(), nil
}

// unanswered turns the failure of a call to a holder into a refusal. Asking a
// holder runs nothing at a back end.
func (d *Dispatcher) unanswered(err error) error {
	d.holder.Refresh()
	r := refuser.Of(err)
	if r.Kind() != refuser.Internal {
		return r
	}
	return refuser.New(refuser.Lost, "the shard's holder did not answer").After(time.Second)
}

// remember keeps the replicas of a model that this entry sends to.
func (d *Dispatcher) remember(model string, spots []*wire.ReplicaLocation) []*wire.ReplicaLocation {
	spots = subsetOf(spots, (*wire.ReplicaLocation).GetInstance, d.index())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places[model] = &known{spots: spots, at: d.clock()}
	return spots
}

func (d *Dispatcher) forget(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.places, model)
}

// backendOf returns the load record of a sidecar. The caller holds the lock.
func (d *Dispatcher) backendOf(name string) *backend {
	b := d.backends[name]
	if b == nil {
		b = &backend{}
		d.backends[name] = b
	}
	return b
}

// begin counts a request in at a sidecar.
func (d *Dispatcher) begin(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backendOf(name).inflight++
}

// end counts a request out; queue is the reported length, or -1 if none came.
func (d *Dispatcher) end(name string, queue int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.backendOf(name)
	b.inflight--
	if queue >= 0 {
		b.queue, b.at = queue, d.clock()
	}
}

// choose picks one of the candidates that has not been tried.
func (d *Dispatcher) choose(names []string, tried map[string]bool, prefix uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := make([]router.Target, len(names))
	for i, name := range names {
		b := d.backendOf(name)
		targets[i] = router.Target{
			Name:     name,
			Inflight: b.inflight,
			Queue:    b.queue,
			At:       b.at,
			Tried:    tried[name] || !d.usable(name),
		}
	}
	return d.router.Pick(d.clock(), targets, prefix)
}

// subset is the number of instances of a large pool that this entry sends to.
const subset = 24

// pool returns the listed sidecars of a pool that this entry sends to.
func (d *Dispatcher) pool(name string) []storer.Instance {
	list := slices.DeleteFunc(d.member.Instances("sidecar"), func(in storer.Instance) bool {
		return in.Pool != name
	})
	return subsetOf(list, storer.Instance.GetName, d.index())
}

// index returns the place of this entry among the listed ones.
func (d *Dispatcher) index() int {
	var names []string
	for _, in := range d.member.Instances("entry") {
		names = append(names, in.Name)
	}
	slices.Sort(names)
	return max(0, slices.Index(names, d.member.Self().Name))
}

// subsetOf returns the elements of a long list that the entry with that index
// sends to, and all of a short one.
func subsetOf[T any](list []T, name func(T) string, index int) []T {
	names := make([]string, len(list))
	for i, x := range list {
		names[i] = name(x)
	}
	mine := router.Subset(names, index, subset)
	return slices.DeleteFunc(list, func(x T) bool { return !slices.Contains(mine, name(x)) })
}
