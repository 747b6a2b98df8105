package holder

import (
	"context"

	"oleanderstall/placer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

func (h *Holder) slot(m *model, index uint32) placer.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return m.book.Slot(index)
}

// assign records in the table that a slot belongs to an instance, before any
// order is sent there.
func (h *Holder) assign(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, instance string) (placer.Slot, bool) {
	if !h.holds(def.GetName()) {
		return slot, false
	}
	slot.Instance = instance
	slot.Epoch = h.newest(m) + 1
	version, err := h.record(ctx, def.GetName(), slot)
	if err != nil {
		h.note(def, "slot not recorded: "+err.Error())
		h.reread(ctx, m, def.GetName())
		return slot, false
	}
	slot.Version = version
	slot.Phase = placer.Ordered
	h.store(m, slot)
	return slot, h.holds(def.GetName())
}

func (h *Holder) holds(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.find(name)
	return err == nil
}

func (h *Holder) store(m *model, slot placer.Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.book.Set(slot)
	m.notify()
}

// record writes a slot's row over the version it was read at.
func (h *Holder) record(ctx context.Context, name string, slot placer.Slot) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, writeLimit)
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

// reread takes the slots from the table after a write whose outcome is open.
func (h *Holder) reread(ctx context.Context, m *model, name string) {
	rows, err := h.table.List(ctx, storer.SlotPrefix(name))
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range rows {
		row := &wire.Slot{}
		if storer.Decode(r.Value, row) != nil {
			continue
		}
		if m.book.Slot(row.GetIndex()).Version != r.Version {
			m.book.Recall(h.clock(), row, r.Version)
		}
	}
}

// check looks after the doubtful slots of a model, at most once a second. The
// caller holds the lock.
func (h *Holder) check(name string, m *model) {
	now := h.clock()
	doubtful := m.book.In(placer.Doubtful)
	if len(doubtful) == 0 || h.leaving || m.checked != 0 && now < m.checked+checkEvery {
		return
	}
	m.checked = now
	for _, slot := range doubtful {
		h.tasks.Go(func() { h.examine(name, m, slot) })
	}
}

// examine asks the instance of a doubtful slot about the replica. The question
// raises the fence there, so that a late order for the slot is refused. A slot
// is freed if the replica is absent, or if the platform lists the instance no
// longer.
func (h *Holder) examine(name string, m *model, slot placer.Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), bidLimit)
	defer cancel()
	in, listed := h.member.Find(slot.Instance)
	if !listed {
		if h.member.Gone(h.clock(), slot.Instance, h.terms.Lease) {
			h.vacate(ctx, name, m, slot)
		}
		return
	}
	fence := &wire.Slot{Model: name, Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch}
	offer, err := h.bid(ctx, in.Address, &wire.Bid{Model: name, Fence: fence})
	if err != nil {
		return
	}
	switch {
	case offer.GetState() == wire.State_STATE_ABSENT:
		h.vacate(ctx, name, m, slot)
	case offer.GetState() == wire.State_STATE_RESIDENT && offer.GetEpoch() == slot.Epoch:
		slot.Phase = placer.Resident
		h.store(m, slot)
	}
}

// vacate records that a slot is free.
func (h *Holder) vacate(ctx context.Context, name string, m *model, slot placer.Slot) {
	if !h.holds(name) {
		return
	}
	slot.Instance = ""
	version, err := h.record(ctx, name, slot)
	if err != nil {
		h.reread(ctx, m, name)
		return
	}
	slot.Version = version
	slot.Phase = placer.Vacant
	h.store(m, slot)
}

// Free takes note that a sidecar has unloaded a replica.
func (h *Holder) Free(ctx context.Context, f *wire.UnloadNotice) error {
	name := f.GetSlot().GetModel()
	if err := h.recall(ctx, name); err != nil {
		return err
	}
	h.mu.Lock()
	m, err := h.find(name)
	var slot placer.Slot
	if err == nil {
		slot = m.book.Slot(f.GetSlot().GetIndex())
	}
	h.mu.Unlock()
	if err != nil || slot.Epoch != f.GetSlot().GetEpoch() || slot.Phase == placer.Vacant {
		return err
	}
	h.vacate(ctx, name, m, slot)
	if h.slot(m, slot.Index).Phase != placer.Vacant {
		return refuser.New(refuser.Outage, "the slot could not be recorded as free").After(checkEvery)
	}
	return nil
}
