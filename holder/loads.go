package holder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"oleanderstall/peer"
	"oleanderstall/placer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// loadReplica chooses a sidecar for a slot by their bids and orders the load there. If a
// sidecar refuses without having started the load, it tries the next one. If a sidecar has a replica
// whose slot the store has lost, the slot is given to that replica instead.
func (h *Holder) loadReplica(m *model, def *wire.Model, slot placer.Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	startedAt := h.clock()
	refusal := refuser.New(refuser.Busy, "no engine has room for the model")
	bids, unrecorded := h.collectBids(ctx, def)
	bids = h.withoutReplicas(m, bids)
	ranked := placer.RankBids(bids, def.GetBytes())
	if h.adoptReplica(ctx, m, def, slot, unrecorded) {
		// Nothing is loaded.
		ranked = nil
	}
	for _, bid := range ranked {
		next, ok := h.assignSlot(ctx, m, def, slot, bid.Instance)
		if !ok {
			refusal = refuser.New(refuser.PlatformUnavailable, "the platform did not record the slot, so nothing was loaded")
			break
		}
		slot = next
		if h.orderLoad(ctx, m, def, slot, bid) {
			h.meter.RecordColdStart(h.clock() - startedAt)
			h.recordLoadStep(def, fmt.Sprintf("loaded on %s (slot %d, epoch %d, checkpoint %s) in %v",
				bid.Instance, slot.Index, slot.Epoch, bid.Tier, h.clock()-startedAt))
			break
		}
		if slot = h.currentSlot(m, slot.Index); slot.Phase != placer.Vacant {
			break
		}
	}
	if len(bids) == 0 {
		h.recordLoadStep(def, "no engine answered with a bid")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.loading = false
	m.failedAt = 0
	switch m.slotTable.Slot(slot.Index).Phase {
	case placer.Resident:
		m.lastLoadTime = h.clock() - startedAt
	case placer.Vacant:
		m.failedAt = h.clock()
		m.failure = refusal
	}
	m.notifyChange()
}

// withoutReplicas removes the bids of instances that already have a slot of the model.
func (h *Holder) withoutReplicas(m *model, bids []placer.Bid) []placer.Bid {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(bids, func(b placer.Bid) bool { return m.slotTable.OnInstance(b.Instance) != nil })
}

// recordLoadStep records and logs a step of a load.
func (h *Holder) recordLoadStep(def *wire.Model, text string) {
	h.recorder.Add(time.Now(), "model/"+def.GetName(), text)
	h.log.Info().Str("model", def.GetName()).Msg("load: " + text)
}

// highestEpoch returns the highest fencing number of a model's slots. Engines compare
// fencing numbers by model, so a new one must be higher than those of all slots of the
// model.
func (h *Holder) highestEpoch(m *model) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var epoch uint64
	for _, s := range m.slotTable.Slots() {
		epoch = max(epoch, s.Epoch)
	}
	return epoch
}

// orderLoad sends the order to load and reports whether the replica is resident. The
// slot becomes vacant if the sidecar refuses the order and states that it did not start
// the load. After any other failure the slot is doubtful.
func (h *Holder) orderLoad(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, bid placer.Bid) bool {
	call := &wire.Call{Body: &wire.Call_Load{Load: &wire.Load{
		Slot:   &wire.Slot{Model: def.GetName(), Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch},
		Left:   timer.ToMillis(loadTimeout),
		Config: h.member.View().Version(),
	}}}
	_, err := peer.Call(ctx, h.caller, bid.Address, call)
	h.mu.Lock()
	defer h.mu.Unlock()
	phase := placer.Resident
	if err != nil {
		phase = placer.Doubtful
		if refuser.FromError(err).NeverRan() {
			phase = placer.Vacant
		}
		h.log.Warn().Str("model", def.GetName()).Str("instance", bid.Instance).Err(err).Msg("load: not done")
	}
	m.slotTable.SetPhase(h.clock(), slot.Index, slot.Epoch, phase)
	return err == nil
}

// collectBids asks the sidecars that rank first for the model what a load would cost
// there. It also returns the replicas of the model that they have or load.
func (h *Holder) collectBids(ctx context.Context, def *wire.Model) (bids []placer.Bid, replicas []replica) {
	limited, cancel := context.WithTimeout(ctx, bidTimeout)
	defer cancel()
	sidecars := h.rankSidecars(def.GetName())
	offers := make([]*wire.Offer, len(sidecars))
	var wg sync.WaitGroup
	for i, in := range sidecars {
		wg.Go(func() {
			offers[i], _ = h.requestBid(limited, in.Address, &wire.Bid{Model: def.GetName(), Bytes: def.GetBytes()})
		})
	}
	wg.Wait()
	for i, o := range offers {
		if o == nil {
			continue
		}
		if o.GetState() == wire.State_STATE_RESIDENT || o.GetState() == wire.State_STATE_LOADING {
			replicas = append(replicas, replica{instance: sidecars[i].Name, epoch: o.GetEpoch()})
		}
		bids = append(bids, placer.Bid{
			Instance: sidecars[i].Name,
			Address:  sidecars[i].Address,
			Free:     o.GetFree(),
			Idle:     o.GetIdle(),
			Tier:     o.GetTier(),
			Queue:    o.GetQueue(),
		})
	}
	return bids, replicas
}

// requestBid asks one sidecar for its offer.
func (h *Holder) requestBid(ctx context.Context, address string, b *wire.Bid) (*wire.Offer, error) {
	reply, err := peer.Call(ctx, h.caller, address, &wire.Call{Body: &wire.Call_Bid{Bid: b}})
	if err != nil {
		return nil, err
	}
	if reply.GetOffer() == nil {
		return nil, peer.UnexpectedReply(reply)
	}
	return reply.GetOffer(), nil
}

// rankSidecars returns the sidecars to ask for bids, ranked by rendezvous hashing for
// the model. The checkpoint of a model is therefore cached on few instances.
func (h *Holder) rankSidecars(name string) []storer.Instance {
	byName := map[string]storer.Instance{}
	var names []string
	for _, in := range h.member.Instances("sidecar") {
		if in.Pool == storer.EnginePool && h.member.AcceptsWork(in) {
			byName[in.Name] = in
			names = append(names, in.Name)
		}
	}
	ranked := router.Rank(names, router.Hash(name))
	var sidecars []storer.Instance
	for _, n := range ranked[:min(maxBidders, len(ranked))] {
		sidecars = append(sidecars, byName[n])
	}
	return sidecars
}
