package holder

import (
	"context"

	"oleanderstall/placer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// maxEpoch is the highest fencing number of a row from which a next one is derived.
const maxEpoch = 1 << 62

// decodeSlot decodes the row of a slot. A value that cannot be read, or that does not describe
// the slot of its key, counts as a vacant slot, whose row is replaced by the next load. It
// reports false if a model cannot have a slot with that key.
func decodeSlot(model string, r storer.Row) (*wire.Slot, bool) {
	index, ok := storer.SlotIndex(model, r.Key)
	if !ok || index >= placer.MaxSlots {
		return nil, false
	}
	slot := &wire.Slot{}
	err := storer.Decode(r.Value, slot)
	if err != nil || slot.GetModel() != model || slot.GetIndex() != index || slot.GetEpoch() > maxEpoch {
		return &wire.Slot{Model: model, Index: index}, true
	}
	return slot, true
}

// currentSlot returns a slot with its current state.
func (h *Holder) currentSlot(m *model, index uint32) placer.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return m.slotTable.Slot(index)
}

// assignSlot records in the table that a slot belongs to an instance, under a new
// fencing number. This happens before the order to load is sent there. It reports
// whether the slot was recorded and this entry still holds the shard.
func (h *Holder) assignSlot(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, instance string) (placer.Slot, bool) {
	if !h.holdsModel(def.GetName()) {
		return slot, false
	}
	slot.Instance = instance
	slot.Epoch = storer.NextNumber(h.highestEpoch(m), h.table.Era())
	version, err := h.writeSlot(ctx, def.GetName(), slot)
	if err != nil {
		h.recordLoadStep(def, "slot not recorded: "+err.Error())
		h.rereadSlots(ctx, m, def.GetName())
		return slot, false
	}
	slot.Version = version
	slot.Phase = placer.Ordered
	h.setSlot(m, slot)
	return slot, h.holdsModel(def.GetName())
}

// holdsModel reports whether this entry holds the model's shard and has read its slots.
func (h *Holder) holdsModel(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.heldModel(name)
	return err == nil
}

// setSlot replaces a slot and wakes the callers that wait for a change.
func (h *Holder) setSlot(m *model, slot placer.Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.slotTable.Set(slot)
	m.notifyChange()
}

// writeSlot writes a slot's row if its version is still that of slot, and returns the
// new version.
func (h *Holder) writeSlot(ctx context.Context, name string, slot placer.Slot) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := storer.Encode(&wire.Slot{
		Model: name, Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch,
	})
	if err != nil {
		return 0, err
	}
	key := storer.SlotKey(name, slot.Index)
	versions, err := h.table.Commit(limited, storer.Transaction{
		Checks: []storer.Check{{Key: key, Version: slot.Version}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// rereadSlots reads the slots from the table after a write whose outcome is unknown.
func (h *Holder) rereadSlots(ctx context.Context, m *model, name string) {
	rows, err := h.table.List(ctx, storer.SlotPrefix(name))
	if err != nil {
		return
	}
	// Of what was written in an earlier era of the store, this holder knows more than the store.
	h.adoptVersions(name, m, rows)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range rows {
		row, ok := decodeSlot(name, r)
		if !ok {
			continue
		}
		if m.slotTable.Slot(row.GetIndex()).Version != r.Version {
			m.slotTable.Restore(h.clock(), row, r.Version)
		}
	}
}

// checkDoubtful starts a check of each doubtful slot of a model, at most once per
// checkInterval. The caller holds the lock.
func (h *Holder) checkDoubtful(name string, m *model) {
	now := h.clock()
	doubtful := m.slotTable.InPhases(placer.Doubtful)
	if len(doubtful) == 0 || h.leaving || m.checkedAt != 0 && now < m.checkedAt+checkInterval {
		return
	}
	m.checkedAt = now
	for _, slot := range doubtful {
		h.tasks.Go(func() { h.checkSlot(name, m, slot) })
	}
}

// checkSlot asks the instance of a doubtful slot about the replica. The query also
// raises the fencing number at the instance, so that an older order for the slot that
// arrives late is refused. The slot becomes vacant if the replica is absent, or if the
// platform has not listed the instance for a lease time.
func (h *Holder) checkSlot(name string, m *model, slot placer.Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), bidTimeout)
	defer cancel()
	in, listed := h.member.Find(slot.Instance)
	if !listed {
		if h.member.Unlisted(h.clock(), slot.Instance, h.options.Lease) {
			h.vacateSlot(ctx, name, m, slot)
		}
		return
	}
	fence := &wire.Slot{Model: name, Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch}
	offer, err := h.requestBid(ctx, in.Address, &wire.Bid{Model: name, Fence: fence})
	if err != nil {
		return
	}
	switch {
	case offer.GetState() == wire.State_STATE_ABSENT:
		h.vacateSlot(ctx, name, m, slot)
	case offer.GetState() == wire.State_STATE_RESIDENT && offer.GetEpoch() == slot.Epoch:
		slot.Phase = placer.Resident
		h.setSlot(m, slot)
	}
}

// vacateSlot records in the table that a slot is vacant.
func (h *Holder) vacateSlot(ctx context.Context, name string, m *model, slot placer.Slot) {
	if !h.holdsModel(name) {
		return
	}
	slot.Instance = ""
	version, err := h.writeSlot(ctx, name, slot)
	if err != nil {
		h.rereadSlots(ctx, m, name)
		return
	}
	slot.Version = version
	slot.Phase = placer.Vacant
	h.setSlot(m, slot)
}

// MarkUnloaded records that a sidecar has unloaded a replica. It ignores a notice with
// another fencing number than the slot's, and returns a refusal if the slot could not be
// recorded as vacant.
func (h *Holder) MarkUnloaded(ctx context.Context, notice *wire.UnloadNotice) error {
	name := notice.GetSlot().GetModel()
	if err := h.readSlots(ctx, name); err != nil {
		return err
	}
	h.mu.Lock()
	m, err := h.heldModel(name)
	var slot placer.Slot
	if err == nil {
		slot = m.slotTable.Slot(notice.GetSlot().GetIndex())
	}
	h.mu.Unlock()
	if err != nil || slot.Epoch != notice.GetSlot().GetEpoch() || slot.Phase == placer.Vacant {
		return err
	}
	h.vacateSlot(ctx, name, m, slot)
	if h.currentSlot(m, slot.Index).Phase != placer.Vacant {
		return refuser.New(refuser.PlatformUnavailable, "the slot could not be recorded as free").WithRetryAfter(checkInterval)
	}
	return nil
}
