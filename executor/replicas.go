package executor

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/engine"
	"oleanderstall/evictor"
	"oleanderstall/holder"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Limits of orders to the engine.
const (
	loadLimit   = 5 * time.Minute
	unloadLimit = 30 * time.Second
	reportLimit = time.Second
	// defaultCold is the assumed duration of a load before one was measured.
	defaultCold = 10 * time.Second
)

// StateError reports a load whose outcome at the engine is not known.
type StateError struct {
	cause error
}

// Error gives the cause.
func (e *StateError) Error() string { return "load may still be under way: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.cause }

// load carries out a holder's order. The order goes on when the holder gives up.
func (x *Executor) load(ctx context.Context, l *wire.Load) (*wire.Loaded, error) {
	if x.member.View().Version() < l.GetConfig() {
		x.member.Reach(ctx, l.GetConfig())
	}
	r, begun, err := x.begin(l)
	var unloading *unloadingError
	for eris.As(err, &unloading) {
		if err := await(ctx, unloading.closed); err != nil {
			return nil, err
		}
		r, begun, err = x.begin(l)
	}
	if err != nil {
		return nil, err
	}
	if begun {
		x.take()
		go x.bring(r)
	}
	select {
	case <-r.settled:
	case <-ctx.Done():
		return nil, refuser.Unknown(refuser.Canceled, "the holder has given up, the load goes on")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.replicas[r.model] != r || r.state != wire.State_STATE_RESIDENT || r.epoch != l.GetSlot().GetEpoch() {
		return nil, refuser.Unknown(refuser.Internal, "the load has failed")
	}
	return &wire.Loaded{Slot: l.GetSlot()}, nil
}

// unloadingError reports an earlier replica whose unload is under way.
type unloadingError struct {
	closed <-chan struct{}
}

// Error describes the failure.
func (e *unloadingError) Error() string { return "an earlier replica is being unloaded" }

// await waits for an unload to end.
func await(ctx context.Context, closed <-chan struct{}) error {
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return refuser.New(refuser.Canceled, "the holder has given up before the load")
	}
}

// begin admits an order: it checks the fence and reserves the memory. It reports
// false for an order that is being carried out already, and returns an
// unloadingError if the order has to wait for an unload.
func (x *Executor) begin(l *wire.Load) (*replica, bool, error) {
	slot := l.GetSlot()
	def := x.member.View().Model(slot.GetModel())
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case slot.GetInstance() != x.member.Self().Name:
		return nil, false, refuser.New(refuser.Invalid, "the order is for instance "+slot.GetInstance())
	case def == nil || def.GetBase() != "":
		return nil, false, refuser.New(refuser.Stale, "the model is not in the configuration here")
	case x.draining:
		return nil, false, refuser.New(refuser.Leaving, "the instance is leaving")
	case !x.known || x.clock() < x.ready:
		return nil, false, refuser.New(refuser.Busy, "the sidecar is learning the engine's state").After(x.terms.Flight)
	}
	if r := x.replicas[slot.GetModel()]; r != nil && r.epoch == slot.GetEpoch() && !r.closing {
		return r, false, nil
	}
	if slot.GetEpoch() <= x.fences[slot.GetModel()] {
		return nil, false, refuser.New(refuser.Stale, "the order has an old fencing number")
	}
	return x.reserve(slot, def.GetBytes())
}

// reserve takes memory for a new replica, from idle ones if need be. The caller
// holds the lock.
func (x *Executor) reserve(slot *wire.Slot, bytes uint64) (*replica, bool, error) {
	if r := x.replicas[slot.GetModel()]; r != nil {
		if r.closing {
			return nil, false, &unloadingError{closed: r.closed}
		}
		return nil, false, refuser.New(refuser.Busy, "an earlier replica is still there").After(time.Second)
	}
	if free := x.ledger.Free(); bytes > free {
		if evictor.Victims(x.residents(), bytes-free) == nil {
			return nil, false, refuser.New(refuser.Busy, fmt.Sprintf("%d bytes are free", free)).After(time.Second)
		}
	}
	r := &replica{
		model:   slot.GetModel(),
		bytes:   bytes,
		slot:    slot.GetIndex(),
		epoch:   slot.GetEpoch(),
		state:   wire.State_STATE_LOADING,
		settled: make(chan struct{}),
	}
	x.fences[r.model] = r.epoch
	x.replicas[r.model] = r
	return r, true, nil
}

// bring makes room for a replica and loads it. It was counted in before.
func (x *Executor) bring(r *replica) {
	defer x.drop()
	defer close(r.settled)
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	begun := x.clock()
	if err := x.makeRoom(ctx, r.model, r.bytes); err != nil {
		x.abandon(r, err)
		return
	}
	err := x.engine.Load(ctx, order(r))
	if err != nil {
		err = x.outcome(ctx, r, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	r.cold = now - begun
	r.last = now
	if err == nil {
		r.state = wire.State_STATE_RESIDENT
		return
	}
	var open *StateError
	if eris.As(err, &open) {
		return
	}
	x.ledger.Release(r.model)
	delete(x.replicas, r.model)
	x.note(r.model, "load failed: "+err.Error())
}

// abandon drops a replica whose order never reached the engine.
func (x *Executor) abandon(r *replica, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.replicas, r.model)
	x.note(r.model, "load not begun: "+err.Error())
}

// makeRoom reserves the memory, and unloads idle models until it is there.
func (x *Executor) makeRoom(ctx context.Context, model string, bytes uint64) error {
	for {
		x.mu.Lock()
		err := x.ledger.Reserve(model, bytes)
		var victims []evictor.Resident
		if err != nil {
			victims = evictor.Victims(x.residents(), bytes-x.ledger.Free())
		}
		x.mu.Unlock()
		if err == nil {
			return nil
		}
		if len(victims) == 0 {
			return err
		}
		for _, v := range victims {
			if !x.unload(ctx, v.Model, "room for "+model) {
				return err
			}
		}
	}
}

// outcomePoll is the time between two looks at a load whose outcome is open.
const outcomePoll = 200 * time.Millisecond

// outcome finds out what became of an order without a good answer. It returns
// nil if the replica is resident after all and a StateError if that stays open.
// Unless the engine has refused the order, it may still be on its way; that the
// engine does not have the model counts only once it cannot be.
func (x *Executor) outcome(ctx context.Context, r *replica, cause error) error {
	landed := x.clock()
	var refused *engine.StatusError
	if !eris.As(cause, &refused) {
		landed += x.terms.Flight
	}
	for {
		asked := x.clock()
		st, err := x.engine.Status(ctx)
		if err == nil {
			l, found := loadedAs(st, r.model)
			switch {
			case found && !l.Loading:
				return nil
			case !found && asked >= landed:
				return cause
			}
		}
		select {
		case <-time.After(outcomePoll):
		case <-ctx.Done():
			return &StateError{cause: cause}
		}
	}
}

func loadedAs(st engine.Status, model string) (engine.Loaded, bool) {
	for _, l := range st.Loaded {
		if l.Model == model {
			return l, true
		}
	}
	return engine.Loaded{}, false
}

func order(r *replica) engine.Order {
	return engine.Order{Model: r.model, Base: r.base, Bytes: r.bytes, Slot: r.slot, Fence: r.epoch}
}

// residents lists the loaded models for the evictor. A base with adapters on it
// counts as busy while one of them is. The caller holds the lock.
func (x *Executor) residents() []evictor.Resident {
	var list []evictor.Resident
	for _, r := range x.replicas {
		if r.state != wire.State_STATE_RESIDENT || r.closing {
			continue
		}
		list = append(list, evictor.Resident{
			Model: r.model,
			Bytes: r.bytes,
			Busy:  x.busy(r),
			Last:  x.lastUse(r),
			Keep:  x.keep(r),
			Cold:  r.cold,
		})
	}
	return list
}

// busy reports whether requests use r or wait for it, or for an adapter on it.
func (x *Executor) busy(r *replica) bool {
	if r.users > 0 || r.state == wire.State_STATE_LOADING {
		return true
	}
	for _, a := range x.replicas {
		if a.base == r.model && x.busy(a) {
			return true
		}
	}
	return false
}

func (x *Executor) lastUse(r *replica) time.Duration {
	last := r.last
	for _, a := range x.replicas {
		if a.base == r.model {
			last = max(last, a.last)
		}
	}
	return last
}

// keep returns how long r stays loaded while idle.
func (x *Executor) keep(r *replica) time.Duration {
	def := x.member.View().Model(r.model)
	if def == nil {
		return 0
	}
	cold := r.cold
	if cold == 0 {
		cold = defaultCold
	}
	return r.history.Keep(evictor.Options{
		Cold: cold,
		Idle: def.GetIdle(),
		End:  time.Duration(def.GetKeep()) * time.Second,
	})
}

// evict unloads the models whose idle time has ended.
func (x *Executor) evict(ctx context.Context) {
	x.mu.Lock()
	now := x.clock()
	all := x.residents()
	idle := len(all) > 0
	for _, r := range all {
		idle = idle && !r.Busy
	}
	ended := evictor.Expired(now, all)
	x.mu.Unlock()
	if idle {
		x.meter.Idle(sweepEvery)
	}
	for _, r := range ended {
		x.unload(ctx, r.Model, fmt.Sprintf("idle since %v, kept for %v", now-r.Last, r.Keep))
	}
}

// unload unloads one idle model, after the adapters on it. It reports false if
// the model is in use, or if the engine did not confirm.
func (x *Executor) unload(ctx context.Context, model, why string) bool {
	r, adapters := x.closing(model)
	if r == nil {
		return false
	}
	for _, a := range adapters {
		if !x.unload(ctx, a, "its base is unloaded") {
			x.reopen(r)
			return false
		}
	}
	limited, cancel := context.WithTimeout(ctx, unloadLimit)
	defer cancel()
	err := x.engine.Unload(limited, order(r))
	if err != nil {
		st, statusErr := x.engine.Status(limited)
		if _, found := loadedAs(st, model); statusErr != nil || found {
			x.reopen(r)
			return false
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	close(r.closed)
	x.remove(r, why)
	return true
}

// closing marks a model so that it takes no new requests.
func (x *Executor) closing(model string) (*replica, []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.replicas[model]
	if r == nil || r.closing || x.busy(r) {
		return nil, nil
	}
	r.closing = true
	r.closed = make(chan struct{})
	var adapters []string
	for _, a := range x.replicas {
		if a.base == model {
			adapters = append(adapters, a.model)
		}
	}
	return r, adapters
}

func (x *Executor) reopen(r *replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r.closing = false
	close(r.closed)
}

// clear unloads everything.
func (x *Executor) clear(ctx context.Context) {
	x.mu.Lock()
	var models []string
	for _, r := range x.replicas {
		if r.base == "" {
			models = append(models, r.model)
		}
	}
	x.mu.Unlock()
	for _, m := range models {
		x.unload(ctx, m, "the instance leaves")
	}
}

// report tells the holders which slots are free, until each has confirmed.
func (x *Executor) report(ctx context.Context) {
	x.mu.Lock()
	frees := x.frees
	x.frees = nil
	x.mu.Unlock()
	for _, slot := range frees {
		if err := x.free(ctx, slot); err != nil {
			x.mu.Lock()
			x.frees = append(x.frees, slot)
			x.mu.Unlock()
		}
	}
}

func (x *Executor) free(ctx context.Context, slot *wire.Slot) error {
	limited, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	row, err := x.table.Get(limited, storer.ShardKey(holder.ModelShard(slot.GetModel(), x.terms.Shards)))
	if err != nil {
		return err
	}
	t := &wire.ShardRow{}
	if err := storer.Decode(row.Value, t); err != nil {
		return err
	}
	in, ok := x.member.Find(t.GetHolder())
	if !ok {
		return refuser.New(refuser.Absent, "the shard has no holder now")
	}
	_, err = peer.One(limited, x.caller, in.Address, &wire.Call{Body: &wire.Call_Free{Free: &wire.UnloadNotice{Slot: slot}}})
	return err
}

// bid answers a holder's question. A fence in it makes older orders for the
// model be refused from now on.
func (x *Executor) bid(b *wire.Bid) *wire.Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	ready := x.known && x.clock() >= x.ready && (!x.draining || b.GetFence() != nil)
	if !ready {
		return refuser.New(refuser.Busy, "the sidecar takes no orders now").After(x.terms.Flight).Reply()
	}
	offer := &wire.Offer{Free: x.ledger.Free(), Tier: x.caches[b.GetModel()], Queue: uint32(x.depth() + x.running)}
	for _, r := range x.residents() {
		if !r.Busy {
			offer.Idle += r.Bytes
		}
	}
	if r := x.replicas[b.GetModel()]; r != nil {
		offer.State, offer.Epoch = r.state, r.epoch
	}
	if f := b.GetFence(); f != nil {
		x.fences[f.GetModel()] = max(x.fences[f.GetModel()], f.GetEpoch())
	}
	return &wire.Reply{Body: &wire.Reply_Offer{Offer: offer}}
}

func (x *Executor) note(model, text string) {
	x.recorder.Note(time.Now(), "model/"+model, text)
	x.log.Info().Str("model", model).Msg("engine: " + text)
}
