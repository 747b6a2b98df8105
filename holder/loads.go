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

// load finds a sidecar for a slot and orders the load there. It tries one bid
// after the other for as long as each refuses without having begun.
func (h *Holder) load(m *model, def *wire.Model, slot placer.Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	begun := h.clock()
	why := refuser.New(refuser.Busy, "no engine has room for the model")
	bids := h.elsewhere(m, h.bids(ctx, def))
	for _, bid := range placer.RankBids(bids, def.GetBytes()) {
		next, ok := h.assign(ctx, m, def, slot, bid.Instance)
		if !ok {
			why = refuser.New(refuser.Outage, "the platform did not record the slot, so nothing was loaded")
			break
		}
		slot = next
		if h.order(ctx, m, def, slot, bid) {
			h.meter.Cold(h.clock() - begun)
			h.note(def, fmt.Sprintf("loaded on %s (slot %d, epoch %d, checkpoint %s) in %v",
				bid.Instance, slot.Index, slot.Epoch, bid.Tier, h.clock()-begun))
			break
		}
		if slot = h.slot(m, slot.Index); slot.Phase != placer.Vacant {
			break
		}
	}
	if len(bids) == 0 {
		h.note(def, "no engine answered with a bid")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.loading = false
	m.failed = 0
	switch m.book.Slot(slot.Index).Phase {
	case placer.Resident:
		m.last = h.clock() - begun
	case placer.Vacant:
		m.failed = h.clock()
		m.why = why
	}
	m.notify()
}

// elsewhere drops the bids of instances that have a replica of the model.
func (h *Holder) elsewhere(m *model, bids []placer.Bid) []placer.Bid {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(bids, func(b placer.Bid) bool { return m.book.At(b.Instance) != nil })
}

func (h *Holder) note(def *wire.Model, text string) {
	h.recorder.Note(time.Now(), "model/"+def.GetName(), text)
	h.log.Info().Str("model", def.GetName()).Msg("load: " + text)
}

// newest returns the highest fencing number of a model. Engines compare numbers
// by model, so a new one has to be above those of all its slots.
func (h *Holder) newest(m *model) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var epoch uint64
	for _, s := range m.book.Slots() {
		epoch = max(epoch, s.Epoch)
	}
	return epoch
}

// order sends the load and reports whether the replica is resident. A refusal
// that says that nothing was begun frees the slot; any other outcome leaves it
// doubtful.
func (h *Holder) order(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, bid placer.Bid) bool {
	call := &wire.Call{Body: &wire.Call_Load{Load: &wire.Load{
		Slot:   &wire.Slot{Model: def.GetName(), Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch},
		Left:   timer.ToMillis(loadLimit),
		Config: h.member.View().Version(),
	}}}
	_, err := peer.One(ctx, h.caller, bid.Address, call)
	h.mu.Lock()
	defer h.mu.Unlock()
	phase := placer.Resident
	if err != nil {
		phase = placer.Doubtful
		if refuser.Of(err).Never() {
			phase = placer.Vacant
		}
		h.log.Warn().Str("model", def.GetName()).Str("instance", bid.Instance).Err(err).Msg("load: not done")
	}
	m.book.Settle(h.clock(), slot.Index, slot.Epoch, phase)
	return err == nil
}

// bids asks the engines that rank first for the model what a load would cost.
func (h *Holder) bids(ctx context.Context, def *wire.Model) []placer.Bid {
	limited, cancel := context.WithTimeout(ctx, bidLimit)
	defer cancel()
	list := h.engines(def.GetName())
	offers := make([]*wire.Offer, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() {
			offers[i], _ = h.bid(limited, in.Address, &wire.Bid{Model: def.GetName(), Bytes: def.GetBytes()})
		})
	}
	wg.Wait()
	var bids []placer.Bid
	for i, o := range offers {
		if o == nil {
			continue
		}
		bids = append(bids, placer.Bid{
			Instance: list[i].Name,
			Address:  list[i].Address,
			Free:     o.GetFree(),
			Idle:     o.GetIdle(),
			Tier:     o.GetTier(),
			Queue:    o.GetQueue(),
		})
	}
	return bids
}

func (h *Holder) bid(ctx context.Context, address string, b *wire.Bid) (*wire.Offer, error) {
	reply, err := peer.One(ctx, h.caller, address, &wire.Call{Body: &wire.Call_Bid{Bid: b}})
	if err != nil {
		return nil, err
	}
	if reply.GetOffer() == nil {
		return nil, peer.Unexpected(reply)
	}
	return reply.GetOffer(), nil
}

// engines returns the sidecars to ask, in the model's own order, so that its
// checkpoint is cached on few instances.
func (h *Holder) engines(name string) []storer.Instance {
	byName := map[string]storer.Instance{}
	var names []string
	for _, in := range h.member.Instances("sidecar") {
		if in.Pool == storer.EnginePool && !in.Leaving {
			byName[in.Name] = in
			names = append(names, in.Name)
		}
	}
	ranked := router.Rank(names, router.Hash(name))
	var list []storer.Instance
	for _, n := range ranked[:min(bidders, len(ranked))] {
		list = append(list, byName[n])
	}
	return list
}
