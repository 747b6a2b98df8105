package executor

import (
	"context"
	"time"

	"oleanderstall/holder"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// reportTimeout bounds one report of a slot to its holder.
const reportTimeout = time.Second

// reportFreedSlots reports each freed slot to the holder of its model's shard. A
// slot whose report was not confirmed is kept for the next call.
func (x *Executor) reportFreedSlots(ctx context.Context) {
	x.mu.Lock()
	slots := x.freedSlots
	x.freedSlots = nil
	x.mu.Unlock()
	for _, slot := range slots {
		if err := x.reportFreedSlot(ctx, slot); err != nil {
			x.mu.Lock()
			x.freedSlots = append(x.freedSlots, slot)
			x.mu.Unlock()
		}
	}
}

// reportFreedSlot reports one slot as free. It returns an error unless the holder
// confirmed.
func (x *Executor) reportFreedSlot(ctx context.Context, slot *wire.Slot) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	row, err := x.table.Get(timeoutCtx, storer.ShardKey(holder.ModelShard(slot.GetModel(), x.options.Shards)))
	if err != nil {
		return err
	}
	shard := &wire.ShardRow{}
	if err := storer.Decode(row.Value, shard); err != nil {
		return err
	}
	instance, ok := x.member.Find(shard.GetHolder())
	if !ok {
		return refuser.New(refuser.NotResident, "the shard has no holder now")
	}
	_, err = peer.Call(timeoutCtx, x.caller, instance.Address, &wire.Call{Body: &wire.Call_Free{Free: &wire.UnloadNotice{Slot: slot}}})
	return err
}

// bid answers a holder's query with the free and the idle memory, the cache tier of
// the model's checkpoint and the state of its replica. If the query contains a
// fence, orders for that model with the same or a lower number are refused from now
// on; such a query is also answered during a drain.
func (x *Executor) bid(b *wire.Bid) *wire.Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	ready := x.statusKnown && x.crashedAt == 0 && x.clock() >= x.ordersFrom && (!x.draining || b.GetFence() != nil)
	if !ready {
		return refuser.New(refuser.Busy, "the sidecar takes no orders now").WithRetryAfter(x.options.MaxOrderTransit).Reply()
	}
	offer := &wire.Offer{Free: x.budget.Free(), Tier: x.cacheTiers[b.GetModel()], Queue: uint32(x.queueLength() + x.running)}
	for _, r := range x.loadedModels() {
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
