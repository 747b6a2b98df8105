package executor

import (
	"context"
	"time"

	"oleanderstall/engine"
	"oleanderstall/placer"
	"oleanderstall/wire"
)

// pollEngine reads the engine's status and updates the replicas from it. The first
// status sets the memory budget. Orders are accepted once the orders of an earlier
// sidecar can no longer be in transit. Until then, and while no replica is known,
// what the engine has loaded is adopted.
func (x *Executor) pollEngine(ctx context.Context) {
	x.mu.Lock()
	restarted := x.mayHaveRestarted
	x.mayHaveRestarted = false
	number := x.gate.Number()
	x.mu.Unlock()
	requestedAt := x.clock()
	status, err := x.engine.Status(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil {
		x.mayHaveRestarted = x.mayHaveRestarted || restarted
		x.log.Warn().Err(err).Msg("engine: no state")
		return
	}
	x.recordAlive()
	x.software = status.Software
	x.applyLimit(number, status.Limit)
	now := x.clock()
	if !x.statusKnown {
		x.statusKnown = true
		x.ordersFrom = now + x.options.MaxOrderTransit
		x.budget = placer.NewMemoryBudget(status.Capacity)
	}
	x.updateCacheTiers(status)
	if now < x.ordersFrom || len(x.replicas) == 0 {
		x.adopt(status, now)
	}
	for _, r := range x.replicas {
		x.reconcile(status, r, requestedAt, restarted)
	}
}

// reconcile updates a replica from the engine's status: a load whose outcome was
// unknown, a load that an earlier sidecar ordered, or a model that the engine has
// lost. It skips a replica that is loading or unloading, and one that was loaded after the
// status was requested, at requestedAt. Unless the engine may have restarted, it also
// skips one that is in use, or for which an order could still have been in transit. The
// caller holds the lock.
func (x *Executor) reconcile(status engine.Status, r *replica, requestedAt time.Duration, restarted bool) {
	inUse := r.users > 0 || requestedAt < r.lastUsed+x.options.MaxOrderTransit
	if !r.loadFinished() || r.unloading || requestedAt < r.loadedAt || inUse && !restarted {
		return
	}
	loaded, found := findLoaded(status, r.model)
	switch {
	case loaded.Unreadable:
	case !found:
		x.removeReplica(r, "the engine does not have it")
	case !loaded.Loading:
		r.state = wire.State_STATE_RESIDENT
	}
}

// removeReplica deletes a replica that the engine no longer has and releases its
// memory. The slot of a model is kept until it is reported free. The caller holds
// the lock.
func (x *Executor) removeReplica(r *replica, reason string) {
	x.budget.Release(r.model)
	delete(x.replicas, r.model)
	if r.base == "" {
		x.freedSlots = append(x.freedSlots, &wire.Slot{
			Model: r.model, Index: r.slotIndex, Instance: x.member.Self().Name, Epoch: r.epoch,
		})
	}
	x.recordEvent(r.model, "unloaded: "+reason)
}

// updateCacheTiers records where checkpoints are cached on the instance. The
// caller holds the lock.
func (x *Executor) updateCacheTiers(status engine.Status) {
	x.cacheTiers = map[string]wire.Tier{}
	for _, m := range status.Disk {
		x.cacheTiers[m] = wire.Tier_TIER_DISK
	}
	for _, m := range status.Memory {
		x.cacheTiers[m] = wire.Tier_TIER_MEMORY
	}
}

// sizeOf returns the size of what the engine has loaded: the configured one if the engine states
// more than its memory, or nothing that can be read. The caller holds the lock.
func (x *Executor) sizeOf(l engine.Loaded) uint64 {
	if !l.Unreadable && l.Bytes <= x.budget.Capacity() {
		return l.Bytes
	}
	return x.member.View().Model(l.Model).GetBytes()
}

// adopt records the models and adapters that an earlier sidecar has loaded or is
// loading. The caller holds the lock.
func (x *Executor) adopt(status engine.Status, now time.Duration) {
	for _, l := range status.Loaded {
		r := x.replicas[l.Model]
		if r == nil {
			r = &replica{model: l.Model, base: l.Base, bytes: x.sizeOf(l), lastUsed: now, loadDone: make(chan struct{})}
			close(r.loadDone)
			x.replicas[l.Model] = r
			x.budget.Adopt(l.Model, r.bytes)
			x.log.Info().Str("model", l.Model).Msg("engine: adopted a replica")
		}
		if r.state == wire.State_STATE_RESIDENT {
			continue
		}
		r.slotIndex, r.epoch = l.Slot, l.Fence
		r.state = wire.State_STATE_RESIDENT
		if l.Loading {
			r.state = wire.State_STATE_LOADING
		}
		x.fences[l.Model] = max(x.fences[l.Model], l.Fence)
	}
}
