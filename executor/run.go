package executor

import (
	"context"
	"time"

	"oleanderstall/engine"
	"oleanderstall/peer"
	"oleanderstall/queuer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// ticket is a request that waits for its turn.
type ticket struct {
	// cache is the KV cache memory that the request needs, in bytes.
	cache uint64
	// turn receives nil when the request may run, or why it may not.
	turn chan error
}

// run serves one model request: it waits for its turn, sends the request and
// passes the tokens on.
func (x *Executor) run(ctx context.Context, r *wire.Run, s peer.Stream) error {
	arrived := x.clock()
	deadline := arrived + timer.FromMillis(r.GetLeft())
	if err := x.open(); err != nil {
		return err
	}
	if err := x.admit(ctx, r.GetKey(), r.GetWorkspace(), r.GetConfig(), arrived, deadline); err != nil {
		return err
	}
	use, err := x.use(ctx, r, deadline)
	if err != nil {
		return err
	}
	defer x.unuse(use)
	t, err := x.enqueue(r, use, deadline)
	if err != nil {
		return err
	}
	if err := x.turn(ctx, t, deadline); err != nil {
		return err
	}
	begun := x.clock()
	defer func() { x.leave(t, x.clock()-begun) }()
	if err := x.admit(ctx, r.GetKey(), r.GetWorkspace(), r.GetConfig(), arrived, deadline); err != nil {
		return err
	}
	return x.generate(ctx, r, s, deadline)
}

// use holds the replica of a request, after its adapter was loaded if need be.
func (x *Executor) use(ctx context.Context, r *wire.Run, deadline time.Duration) (*replica, error) {
	def := x.member.View().Model(r.GetModel())
	if def.GetBase() != "" {
		if err := x.adapt(ctx, def, deadline); err != nil {
			return nil, err
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	use := x.replicas[r.GetModel()]
	if use == nil || use.closing || use.state != wire.State_STATE_RESIDENT {
		return nil, refuser.New(refuser.Absent, "the model is not loaded here")
	}
	use.users++
	x.arrive(use)
	return use, nil
}

// arrive records a request in the replica's history. A new history begins with
// the gaps of the engine's other models. The caller holds the lock.
func (x *Executor) arrive(r *replica) {
	now := x.clock()
	if gap, ok := r.history.Gap(now); ok {
		x.gaps.Add(gap)
	} else {
		r.history.Learn(&x.gaps)
	}
	r.history.Arrive(now)
	r.last = now
}

func (x *Executor) unuse(r *replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r.users--
	r.last = x.clock()
}

// adapt loads an adapter beside its base, once for all who wait for it.
func (x *Executor) adapt(ctx context.Context, def *wire.Model, deadline time.Duration) error {
	x.mu.Lock()
	base := x.replicas[def.GetBase()]
	if base == nil || base.closing || base.state != wire.State_STATE_RESIDENT {
		x.mu.Unlock()
		return refuser.New(refuser.Absent, "the adapter's base is not loaded here")
	}
	r := x.replicas[def.GetName()]
	if r == nil {
		r = &replica{
			model:   def.GetName(),
			base:    def.GetBase(),
			bytes:   def.GetBytes(),
			epoch:   base.epoch,
			state:   wire.State_STATE_LOADING,
			settled: make(chan struct{}),
		}
		x.replicas[def.GetName()] = r
		x.work++
		go x.bring(r)
	}
	x.mu.Unlock()
	wait := time.NewTimer(deadline - x.clock())
	defer wait.Stop()
	select {
	case <-r.settled:
		return nil
	case <-wait.C:
		return refuser.New(refuser.Late, "the adapter is still being loaded").After(time.Second)
	case <-ctx.Done():
		return refuser.New(refuser.Canceled, "the caller has given up")
	}
}

// enqueue reserves a place in the queue, or refuses at once a request that could
// not be served in time.
func (x *Executor) enqueue(r *wire.Run, use *replica, deadline time.Duration) (*ticket, error) {
	view := x.member.View()
	def := view.Model(r.GetModel())
	t := &ticket{
		cache: uint64(r.GetCost()) * def.GetKv(),
		turn:  make(chan error, 1),
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.cache > x.ledger.Capacity()-min(x.ledger.Capacity(), use.bytes) {
		return nil, refuser.New(refuser.TooLarge, "the request needs more KV cache than the engine has")
	}
	wait := x.wait(x.depth())
	if x.clock()+wait >= deadline {
		return nil, refuser.New(refuser.Busy, "the queue is too long for the deadline").After(wait)
	}
	evicted, ok := x.queue.Push(queuer.Item[*ticket]{
		Workspace: r.GetWorkspace(),
		Weight:    view.Workspace(r.GetWorkspace()).GetWeight(),
		Cost:      float64(r.GetCost()),
		Deadline:  deadline,
		Value:     t,
	})
	if !ok {
		return nil, refuser.New(refuser.Busy, "the queue is full").After(max(wait, time.Second))
	}
	if evicted != nil {
		evicted.Value.turn <- refuser.New(refuser.Busy, "the queue is full of this workspace's requests").
			After(max(wait, time.Second))
	}
	x.dispatch()
	return t, nil
}

// dispatch gives turns while there is room. The caller holds the lock.
func (x *Executor) dispatch() {
	for x.running < x.terms.Concurrency {
		if x.next == nil {
			it, ok := x.queue.Pop()
			if !ok {
				return
			}
			x.next = &it
		}
		t := x.next.Value
		if x.ledger.Cache(t.cache) != nil {
			return
		}
		x.next = nil
		x.running++
		t.turn <- nil
	}
}

// turn waits for the turn of t until its deadline.
func (x *Executor) turn(ctx context.Context, t *ticket, deadline time.Duration) error {
	wait := time.NewTimer(deadline - x.clock())
	defer wait.Stop()
	select {
	case err := <-t.turn:
		return err
	case <-wait.C:
		return x.withdraw(t, refuser.New(refuser.Late, "the deadline passed in the queue").After(time.Second))
	case <-ctx.Done():
		return x.withdraw(t, refuser.New(refuser.Canceled, "the caller has given up"))
	}
}

// withdraw takes t out of the queue. If its turn came meanwhile, it is given
// back.
func (x *Executor) withdraw(t *ticket, why error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next != nil && x.next.Value == t {
		x.next = nil
		x.dispatch()
		return why
	}
	x.queue.Drop(func(it queuer.Item[*ticket]) bool { return it.Value == t })
	select {
	case err := <-t.turn:
		if err == nil {
			x.finish(t)
		}
	default:
	}
	return why
}

// leave ends the turn of t, which took d.
func (x *Executor) leave(t *ticket, d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.record(d)
	x.finish(t)
}

// finish gives back the turn of t. The caller holds the lock.
func (x *Executor) finish(t *ticket) {
	x.running--
	x.ledger.Return(t.cache)
	x.dispatch()
}

// generate sends the request to the engine and its tokens to the entry.
func (x *Executor) generate(ctx context.Context, r *wire.Run, s peer.Stream, deadline time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, deadline-x.clock())
	defer cancel()
	index := r.GetSent()
	res, err := x.engine.Generate(limited, engine.Request{
		ID:       r.GetId(),
		Chat:     r.GetChat(),
		Body:     r.GetBody(),
		Priority: x.member.View().Model(r.GetModel()).GetPriority(),
		Resume:   r.GetResume(),
		Sent:     r.GetSent(),
	}, func(text string) error {
		piece := &wire.Piece{Id: r.GetId(), Index: index, Text: text}
		index++
		return s.Send(&wire.Reply{Body: &wire.Reply_Piece{Piece: piece}})
	})
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return refuser.Unknown(refuser.Canceled, "the caller has given up")
	case limited.Err() != nil:
		return refuser.Unknown(refuser.Late, "the deadline passed during the answer").After(time.Second)
	default:
		return refuser.Unknown(refuser.Lost, "engine: "+err.Error()).After(time.Second)
	}
	return s.Send(&wire.Reply{Body: &wire.Reply_Finish{Finish: &wire.Finish{
		Id:     r.GetId(),
		Reason: res.Reason,
		Prompt: res.Usage.Prompt,
		Output: index,
		Queue:  uint32(x.waiting()),
	}}})
}

// waiting returns the number of requests here.
func (x *Executor) waiting() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.depth() + x.running
}

// depth returns the number of requests that wait, with the one that is next and
// waits for memory. The caller holds the lock.
func (x *Executor) depth() int {
	if x.next != nil {
		return x.queue.Len() + 1
	}
	return x.queue.Len()
}
