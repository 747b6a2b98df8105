package executor

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/engine"
	"oleanderstall/evictor"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// Time limits of orders to the engine.
const (
	loadTimeout   = 5 * time.Minute
	unloadTimeout = 30 * time.Second
	// defaultLoadTime is the assumed duration of a load for a replica that this
	// sidecar did not load.
	defaultLoadTime = 10 * time.Second
)

// OutcomeUnknownError reports a load whose outcome at the engine is unknown.
type OutcomeUnknownError struct {
	cause error
}

// Error returns a text with the cause.
func (e *OutcomeUnknownError) Error() string {
	return "load may still be in progress: " + e.cause.Error()
}

// Unwrap returns the error of the load order.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// load executes a load order of a holder and returns when the model is loaded. If
// ctx ends before, it returns a refusal and a load that was started goes on. While
// an earlier replica of the model is being unloaded, the order waits.
func (x *Executor) load(ctx context.Context, order *wire.Load) (*wire.Loaded, error) {
	if x.member.View().Version() < order.GetConfig() {
		x.member.CatchUp(ctx, order.GetConfig())
	}
	r, started, err := x.admitLoad(order)
	var unloading *unloadingError
	for eris.As(err, &unloading) {
		if err := awaitUnload(ctx, unloading.done); err != nil {
			return nil, err
		}
		r, started, err = x.admitLoad(order)
	}
	if err != nil {
		return nil, err
	}
	if started {
		x.beginWork()
		go x.performLoad(r)
	}
	select {
	case <-r.loadDone:
	case <-ctx.Done():
		return nil, refuser.MayHaveRun(refuser.Canceled, "the holder has given up, the load goes on")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.replicas[r.model] != r || r.state != wire.State_STATE_RESIDENT || r.epoch != order.GetSlot().GetEpoch() {
		return nil, refuser.MayHaveRun(refuser.Internal, "the load has failed")
	}
	return &wire.Loaded{Slot: order.GetSlot()}, nil
}

// unloadingError reports an earlier replica whose unload is in progress.
type unloadingError struct {
	// done is closed when the unload has ended.
	done <-chan struct{}
}

// Error describes the failure.
func (e *unloadingError) Error() string { return "an earlier replica is being unloaded" }

// awaitUnload waits until an unload has ended. It returns a refusal if ctx ends
// before.
func awaitUnload(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return refuser.New(refuser.Canceled, "the holder has given up before the load")
	}
}

// admitLoad checks a load order, including its fencing number, and returns its
// replica. It reports false if the order was admitted before; the replica is then
// loading or loaded, or the outcome of its load is unknown. It returns an
// unloadingError if the order has to wait for an unload, and a refusal if the order
// can't be executed.
func (x *Executor) admitLoad(order *wire.Load) (*replica, bool, error) {
	slot := order.GetSlot()
	def := x.member.View().Model(slot.GetModel())
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case slot.GetInstance() != x.member.Self().Name:
		return nil, false, refuser.New(refuser.InvalidRequest, "the order is for instance "+slot.GetInstance())
	case def == nil || def.GetBase() != "":
		return nil, false, refuser.New(refuser.StaleConfiguration, "the model is not in the configuration here")
	case x.draining:
		return nil, false, refuser.New(refuser.Leaving, "the instance is leaving")
	case x.member.Evacuated(x.member.Self()):
		return nil, false, refuser.New(refuser.Leaving, "the data centre of the instance is evacuated")
	case x.crashedAt != 0:
		return nil, false, refuser.New(refuser.Busy, "the engine has crashed and does not run again yet").WithRetryAfter(time.Second)
	case !x.statusKnown || x.clock() < x.ordersFrom:
		return nil, false, refuser.New(refuser.Busy, "the sidecar is learning the engine's state").WithRetryAfter(x.options.MaxOrderTransit)
	}
	if r := x.replicas[slot.GetModel()]; r != nil && r.epoch == slot.GetEpoch() && !r.unloading {
		return r, false, nil
	}
	if slot.GetEpoch() <= x.fences[slot.GetModel()] {
		return nil, false, refuser.New(refuser.StaleConfiguration, "the order has an old fencing number")
	}
	return x.addReplica(slot, def.GetBytes())
}

// addReplica adds a replica in state loading if its weights fit in the free memory,
// counting the idle replicas that could be unloaded for it. The memory itself is
// reserved by performLoad. The caller holds the lock.
func (x *Executor) addReplica(slot *wire.Slot, bytes uint64) (*replica, bool, error) {
	if r := x.replicas[slot.GetModel()]; r != nil {
		if r.unloading {
			return nil, false, &unloadingError{done: r.unloadDone}
		}
		return nil, false, refuser.New(refuser.Busy, "an earlier replica is still there").WithRetryAfter(time.Second)
	}
	if free := x.budget.Free(); bytes > free {
		if evictor.Victims(x.loadedModels(), bytes-free) == nil {
			return nil, false, refuser.New(refuser.Busy, fmt.Sprintf("%d bytes are free", free)).WithRetryAfter(time.Second)
		}
	}
	r := &replica{
		model:     slot.GetModel(),
		bytes:     bytes,
		slotIndex: slot.GetIndex(),
		epoch:     slot.GetEpoch(),
		state:     wire.State_STATE_LOADING,
		loadDone:  make(chan struct{}),
	}
	x.fences[r.model] = r.epoch
	x.replicas[r.model] = r
	return r, true, nil
}

// performLoad reserves memory for a replica and loads it. It keeps the memory
// reserved if the outcome is unknown; reconcile resolves the outcome later. The
// caller has counted the load as in flight, as beginWork does.
func (x *Executor) performLoad(r *replica) {
	defer x.endWork()
	defer close(r.loadDone)
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	started := x.clock()
	if err := x.reserveMemory(ctx, r.model, r.bytes); err != nil {
		x.discardReplica(r, err)
		return
	}
	err := x.engine.Load(ctx, engineOrder(r))
	if err != nil {
		err = x.resolveLoadOutcome(ctx, r, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	r.loadTime = now - started
	r.lastUsed, r.loadedAt = now, now
	if err == nil {
		r.state = wire.State_STATE_RESIDENT
		return
	}
	var unknown *OutcomeUnknownError
	if eris.As(err, &unknown) {
		return
	}
	x.budget.Release(r.model)
	delete(x.replicas, r.model)
	x.recordEvent(r.model, "load failed: "+err.Error())
}

// discardReplica deletes a replica for which no order was sent to the engine.
func (x *Executor) discardReplica(r *replica, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.replicas, r.model)
	x.recordEvent(r.model, "load not started: "+err.Error())
}

// reserveMemory reserves memory for a model and unloads idle models until there is
// enough. It returns the error of the reservation if there are too few idle models
// or one could not be unloaded.
func (x *Executor) reserveMemory(ctx context.Context, model string, bytes uint64) error {
	for {
		x.mu.Lock()
		err := x.budget.Reserve(model, bytes)
		var victims []evictor.Resident
		if err != nil {
			victims = evictor.Victims(x.loadedModels(), bytes-x.budget.Free())
		}
		x.mu.Unlock()
		if err == nil {
			return nil
		}
		if len(victims) == 0 {
			return err
		}
		for _, v := range victims {
			if !x.unload(ctx, v.Model, "making room for "+model) {
				return err
			}
		}
	}
}

// outcomePollInterval is the time between two polls of the engine's status for a
// load whose outcome is unknown.
const outcomePollInterval = 200 * time.Millisecond

// resolveLoadOutcome polls the engine's status after a load order that failed with
// cause. It returns nil if the model is loaded after all, cause if it is not, and an
// OutcomeUnknownError if ctx ends before either is certain. Unless the engine
// answered the order with an error status, the order may still be in transit, so a
// status without the model counts only once the order can no longer arrive.
func (x *Executor) resolveLoadOutcome(ctx context.Context, r *replica, cause error) error {
	arrivedBy := x.clock()
	var statusErr *engine.StatusError
	if !eris.As(cause, &statusErr) {
		arrivedBy += x.options.MaxOrderTransit
	}
	for {
		requestedAt := x.clock()
		status, err := x.engine.Status(ctx)
		if err == nil {
			loaded, found := findLoaded(status, r.model)
			switch {
			case found && !loaded.Loading && !loaded.Unreadable:
				return nil
			case !found && requestedAt >= arrivedBy:
				return cause
			}
		}
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
			return &OutcomeUnknownError{cause: cause}
		}
	}
}

// findLoaded returns the entry of a model or adapter in the engine's status.
func findLoaded(status engine.Status, model string) (engine.Loaded, bool) {
	for _, l := range status.Loaded {
		if l.Model == model {
			return l, true
		}
	}
	return engine.Loaded{}, false
}

// engineOrder returns the order that loads or unloads r.
func engineOrder(r *replica) engine.Order {
	return engine.Order{Model: r.model, Base: r.base, Bytes: r.bytes, Slot: r.slotIndex, Fence: r.epoch}
}

// loadedModels lists the loaded models and adapters for the evictor, without those
// that are being unloaded. A base counts as busy while one of its adapters is. The
// caller holds the lock.
func (x *Executor) loadedModels() []evictor.Resident {
	var list []evictor.Resident
	for _, r := range x.replicas {
		if r.state != wire.State_STATE_RESIDENT || r.unloading {
			continue
		}
		list = append(list, evictor.Resident{
			Model:       r.model,
			Bytes:       r.bytes,
			Busy:        x.busy(r),
			LastRequest: x.lastUsedWithAdapters(r),
			KeepAlive:   x.keepAlive(r),
			ColdStart:   r.loadTime,
		})
	}
	return list
}

// busy reports whether r or an adapter on it is loading or has requests that are
// queued or running. An adapter has no adapters itself. The caller holds the lock.
func (x *Executor) busy(r *replica) bool {
	if r.users > 0 || r.state == wire.State_STATE_LOADING {
		return true
	}
	for _, a := range x.replicas {
		if r.base == "" && a.base == r.model && x.busy(a) {
			return true
		}
	}
	return false
}

// lastUsedWithAdapters returns the last use of r or of an adapter on it. The caller
// holds the lock.
func (x *Executor) lastUsedWithAdapters(r *replica) time.Duration {
	last := r.lastUsed
	for _, a := range x.replicas {
		if a.base == r.model {
			last = max(last, a.lastUsed)
		}
	}
	return last
}

// keepAlive returns how long r stays loaded while idle. It is 0 for a model that is
// not in the configuration, and in an evacuated data centre. The caller holds the lock.
func (x *Executor) keepAlive(r *replica) time.Duration {
	def := x.member.View().Model(r.model)
	if def == nil || x.member.Evacuated(x.member.Self()) {
		return 0
	}
	loadTime := r.loadTime
	if loadTime == 0 {
		loadTime = defaultLoadTime
	}
	return r.history.KeepAlive(evictor.Options{
		ColdStart: loadTime,
		IdleCost:  def.GetIdle(),
		MaxIdle:   time.Duration(def.GetKeep()) * time.Second,
	})
}

// evictExpired unloads the models that were idle for longer than their keep-alive
// time. If models are loaded and none is busy, it counts one sweepInterval as idle
// engine time in the metrics.
func (x *Executor) evictExpired(ctx context.Context) {
	x.mu.Lock()
	now := x.clock()
	all := x.loadedModels()
	allIdle := len(all) > 0
	for _, r := range all {
		allIdle = allIdle && !r.Busy
	}
	expired := evictor.Expired(now, all)
	x.mu.Unlock()
	if allIdle {
		x.meter.RecordIdleTime(sweepInterval)
	}
	for _, r := range expired {
		x.unload(ctx, r.Model, fmt.Sprintf("idle for %v, keep-alive time %v", now-r.LastRequest, r.KeepAlive))
	}
}

// unload unloads an idle model after the adapters on it. It reports false if the
// model is in use or already being unloaded, or if the engine did not confirm the
// unload and its status does not show that the model is gone.
func (x *Executor) unload(ctx context.Context, model, reason string) bool {
	r, adapters := x.markUnloading(model)
	if r == nil {
		return false
	}
	for _, a := range adapters {
		if !x.unload(ctx, a, "its base is being unloaded") {
			x.cancelUnload(r)
			return false
		}
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, unloadTimeout)
	defer cancel()
	err := x.engine.Unload(timeoutCtx, engineOrder(r))
	if err != nil {
		status, statusErr := x.engine.Status(timeoutCtx)
		if _, found := findLoaded(status, model); statusErr != nil || found {
			x.cancelUnload(r)
			return false
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	close(r.unloadDone)
	x.removeReplica(r, reason)
	return true
}

// markUnloading marks an idle model so that it takes no new requests. It returns
// its replica and the names of the adapters on it, or nil if the model is in use,
// not loaded or already being unloaded.
func (x *Executor) markUnloading(model string) (*replica, []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.replicas[model]
	if r == nil || r.unloading || x.busy(r) {
		return nil, nil
	}
	r.unloading = true
	r.unloadDone = make(chan struct{})
	var adapters []string
	for _, a := range x.replicas {
		if a.base == model {
			adapters = append(adapters, a.model)
		}
	}
	return r, adapters
}

// cancelUnload lets a model take requests again after its unload failed.
func (x *Executor) cancelUnload(r *replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r.unloading = false
	close(r.unloadDone)
}

// unloadAll unloads all models with their adapters, except those in use.
func (x *Executor) unloadAll(ctx context.Context) {
	x.mu.Lock()
	var models []string
	for _, r := range x.replicas {
		if r.base == "" {
			models = append(models, r.model)
		}
	}
	x.mu.Unlock()
	for _, m := range models {
		x.unload(ctx, m, "the instance is leaving")
	}
}

// recordEvent records and logs an event of a model.
func (x *Executor) recordEvent(model, text string) {
	x.recorder.Add(time.Now(), "model/"+model, text)
	x.log.Info().Str("model", model).Msg("engine: " + text)
}
