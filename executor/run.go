package executor

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/engine"
	"oleanderstall/peer"
	"oleanderstall/queuer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// ticket is a model request that waits in the queue or runs.
type ticket struct {
	// cacheBytes is the KV cache memory that the request needs, in bytes.
	cacheBytes uint64
	// admission receives nil when the request may run, or the refusal of a request
	// that was evicted from a full queue.
	admission chan error
}

// serveRequest serves one model request: it waits in the queue, sends the request to
// the engine and passes the tokens on to the entry. The error is a refusal unless
// the stream to the entry failed.
func (x *Executor) serveRequest(ctx context.Context, req *wire.Run, stream peer.Stream) error {
	arrived := x.clock()
	deadline := arrived + timer.FromMillis(req.GetLeft())
	if err := x.refuseIfDraining(); err != nil {
		return err
	}
	if err := x.checkRequest(ctx, req.GetKey(), req.GetWorkspace(), req.GetConfig(), arrived, deadline); err != nil {
		return err
	}
	if err := x.refuseBeyondLimit(); err != nil {
		return err
	}
	replica, err := x.acquireReplica(ctx, req, deadline)
	if err != nil {
		return err
	}
	defer x.releaseReplica(replica)
	t, err := x.enqueue(req, replica, deadline)
	if err != nil {
		return err
	}
	if err := x.awaitAdmission(ctx, t, deadline); err != nil {
		return err
	}
	started := x.clock()
	defer func() { x.completeTicket(t, x.clock()-started) }()
	if err := x.checkRequest(ctx, req.GetKey(), req.GetWorkspace(), req.GetConfig(), arrived, deadline); err != nil {
		return err
	}
	return x.generate(ctx, req, stream, deadline)
}

// acquireReplica returns the loaded replica of the model or adapter that a request
// names. It counts the request in the replica's users until releaseReplica is called, so
// that the replica is not unloaded. An adapter that is not loaded is loaded first.
func (x *Executor) acquireReplica(ctx context.Context, req *wire.Run, deadline time.Duration) (*replica, error) {
	def := x.member.View().Model(req.GetModel())
	if def.GetBase() != "" {
		if err := x.ensureAdapter(ctx, def, deadline); err != nil {
			return nil, err
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	replica := x.replicas[req.GetModel()]
	if replica == nil || replica.unloading || replica.state != wire.State_STATE_RESIDENT {
		return nil, refuser.New(refuser.NotResident, "the model is not loaded here")
	}
	replica.users++
	x.recordArrival(replica)
	return replica, nil
}

// recordArrival records a request in the replica's history. A history without
// requests starts with the gaps of the engine's other models as its prior. The
// caller holds the lock.
func (x *Executor) recordArrival(r *replica) {
	now := x.clock()
	if gap, ok := r.history.SinceLastRequest(now); ok {
		x.gapPrior.AddGap(gap)
	} else {
		r.history.AddPrior(&x.gapPrior)
	}
	r.history.RecordRequest(now)
	r.lastUsed = now
}

// releaseReplica ends the use of a replica that acquireReplica returned.
func (x *Executor) releaseReplica(r *replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r.users--
	r.lastUsed = x.clock()
}

// ensureAdapter loads an adapter whose base is loaded and waits until the load has
// ended, at most until deadline. All requests that wait for the adapter share one
// load, which goes on without them. It returns nil also if the load failed.
func (x *Executor) ensureAdapter(ctx context.Context, def *wire.Model, deadline time.Duration) error {
	x.mu.Lock()
	base := x.replicas[def.GetBase()]
	if base == nil || base.unloading || base.state != wire.State_STATE_RESIDENT {
		x.mu.Unlock()
		return refuser.New(refuser.NotResident, "the adapter's base is not loaded here")
	}
	r := x.replicas[def.GetName()]
	if r == nil {
		r = &replica{
			model:    def.GetName(),
			base:     def.GetBase(),
			bytes:    def.GetBytes(),
			epoch:    base.epoch,
			state:    wire.State_STATE_LOADING,
			loadDone: make(chan struct{}),
		}
		x.replicas[def.GetName()] = r
		x.active++
		go x.performLoad(r)
	}
	x.mu.Unlock()
	deadlineTimer := time.NewTimer(deadline - x.clock())
	defer deadlineTimer.Stop()
	select {
	case <-r.loadDone:
		return nil
	case <-deadlineTimer.C:
		return refuser.New(refuser.DeadlineExceeded, "the adapter is still being loaded").WithRetryAfter(time.Second)
	case <-ctx.Done():
		return refuser.New(refuser.Canceled, "the caller has given up")
	}
}

// enqueue adds a request to the queue. It refuses at once a request that does not
// fit in the engine's memory, whose estimated wait exceeds its deadline, or that the
// full queue does not accept. A request that the queue evicts is refused too.
func (x *Executor) enqueue(req *wire.Run, replica *replica, deadline time.Duration) (*ticket, error) {
	view := x.member.View()
	def := view.Model(req.GetModel())
	t := &ticket{
		cacheBytes: uint64(req.GetCost()) * def.GetKv(),
		admission:  make(chan error, 1),
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.cacheBytes > x.budget.Capacity()-min(x.budget.Capacity(), replica.bytes) {
		return nil, refuser.New(refuser.TooLarge, "the request needs more KV cache than the engine has")
	}
	wait := x.estimateWait(x.queueLength())
	if x.clock()+wait >= deadline {
		return nil, refuser.New(refuser.Busy, "the queue is too long for the deadline").WithRetryAfter(wait)
	}
	evicted, ok := x.queue.Push(queuer.Item[*ticket]{
		Workspace: req.GetWorkspace(),
		Weight:    view.Workspace(req.GetWorkspace()).GetWeight(),
		Cost:      float64(req.GetCost()),
		Deadline:  deadline,
		Value:     t,
	})
	if !ok {
		return nil, refuser.New(refuser.Busy, "the queue is full").WithRetryAfter(max(wait, time.Second))
	}
	if evicted != nil {
		evicted.Value.admission <- refuser.New(refuser.Busy, "the queue is full of this workspace's requests").
			WithRetryAfter(max(wait, time.Second))
	}
	x.dispatch()
	return t, nil
}

// dispatch starts queued requests while the concurrency limit and the free KV cache
// memory allow. The first request that lacks memory stops it: later ones don't
// overtake that request. The caller holds the lock.
func (x *Executor) dispatch() {
	for x.running < x.options.Concurrency {
		if x.next == nil {
			item, ok := x.queue.Pop()
			if !ok {
				return
			}
			x.next = &item
		}
		t := x.next.Value
		if x.budget.ReserveCache(t.cacheBytes) != nil {
			return
		}
		x.next = nil
		x.running++
		t.admission <- nil
	}
}

// awaitAdmission waits until t may run. It returns a refusal if t was evicted from
// the queue, its deadline passed or ctx ended.
func (x *Executor) awaitAdmission(ctx context.Context, t *ticket, deadline time.Duration) error {
	deadlineTimer := time.NewTimer(deadline - x.clock())
	defer deadlineTimer.Stop()
	select {
	case err := <-t.admission:
		return err
	case <-deadlineTimer.C:
		return x.cancelTicket(t, refuser.New(refuser.DeadlineExceeded, "the deadline passed in the queue").WithRetryAfter(time.Second))
	case <-ctx.Done():
		return x.cancelTicket(t, refuser.New(refuser.Canceled, "the caller has given up"))
	}
}

// cancelTicket removes t from the queue and returns refusal. If t was admitted
// meanwhile, its concurrency and memory are released.
func (x *Executor) cancelTicket(t *ticket, refusal error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next != nil && x.next.Value == t {
		x.next = nil
		x.dispatch()
		return refusal
	}
	x.queue.Drop(func(it queuer.Item[*ticket]) bool { return it.Value == t })
	select {
	case err := <-t.admission:
		if err == nil {
			x.releaseTicket(t)
		}
	default:
	}
	return refusal
}

// completeTicket records the service time of t and releases its concurrency and
// memory.
func (x *Executor) completeTicket(t *ticket, serviceTime time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recordServiceTime(serviceTime)
	x.releaseTicket(t)
}

// releaseTicket releases the concurrency and KV cache memory of t and starts the
// requests that can run now. The caller holds the lock.
func (x *Executor) releaseTicket(t *ticket) {
	x.running--
	x.budget.ReleaseCache(t.cacheBytes)
	x.dispatch()
}

// generate sends the request to the engine and its tokens to the entry. An error of
// the engine is returned as a refusal that leaves open whether the request ran.
func (x *Executor) generate(ctx context.Context, req *wire.Run, stream peer.Stream, deadline time.Duration) error {
	software := x.engineSoftware()
	if req.GetSent() > 0 && req.GetSoftware() != software {
		return refuser.New(refuser.OtherSoftware, "the engine has another version than the one that began the stream")
	}
	number, err := x.admitSend(req.GetId())
	if err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, deadline-x.clock())
	defer cancel()
	index := req.GetSent()
	result, err := x.engine.Generate(timeoutCtx, engine.Request{
		ID:           req.GetId(),
		Chat:         req.GetChat(),
		Body:         req.GetBody(),
		Priority:     x.member.View().Model(req.GetModel()).GetPriority(),
		ResumeText:   req.GetResume(),
		ResumeTokens: req.GetSent(),
		OnLimit:      func(rate float64) { x.recordLimit(number, rate) },
	}, func(text string) error {
		piece := &wire.Piece{Id: req.GetId(), Index: index, Text: text, Software: software}
		index++
		return stream.Send(&wire.Reply{Body: &wire.Reply_Piece{Piece: piece}})
	})
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return refuser.MayHaveRun(refuser.Canceled, "the caller has given up")
	case timeoutCtx.Err() != nil:
		return refuser.MayHaveRun(refuser.DeadlineExceeded, "the deadline passed during the answer").WithRetryAfter(time.Second)
	default:
		return x.withCrash(ctx, x.engineRefusal(err))
	}
	return stream.Send(&wire.Reply{Body: &wire.Reply_Finish{Finish: &wire.Finish{
		Id:     req.GetId(),
		Reason: result.FinishReason,
		Prompt: result.Usage.PromptTokens,
		Output: index,
		Queue:  uint32(x.pendingRequests()),
	}}})
}

// engineSoftware returns the version of the engine's software, as of its latest status.
func (x *Executor) engineSoftware() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.software
}

// engineRefusal returns the refusal for a request that the engine did not answer. It says
// that the request never ran only if no byte of it was sent, or if the engine answered that
// it does not have the model.
func (x *Executor) engineRefusal(err error) *refuser.Refusal {
	var connectErr *engine.ConnectError
	if eris.As(err, &connectErr) {
		return refuser.New(refuser.ConnectionLost, "the engine could not be reached").WithRetryAfter(time.Second)
	}
	var statusErr *engine.StatusError
	if eris.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		x.markModelMissing()
		return refuser.New(refuser.NotResident, "the engine does not have the model")
	}
	return refuser.MayHaveRun(refuser.ConnectionLost, "engine: "+err.Error()).WithRetryAfter(time.Second)
}

// pendingRequests returns the number of queued and running requests.
func (x *Executor) pendingRequests() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.queueLength() + x.running
}

// queueLength returns the number of waiting requests, including the one that was
// taken out of the queue and waits for memory. The caller holds the lock.
func (x *Executor) queueLength() int {
	if x.next != nil {
		return x.queue.Len() + 1
	}
	return x.queue.Len()
}
