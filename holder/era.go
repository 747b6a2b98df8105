package holder

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oleanderstall/leaser"
	"oleanderstall/placer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// A store that comes back from an earlier copy of itself loses rows, and numbers them anew in its next
// era. A holder knows what it has written: it goes on and writes its rows again. Another entry cannot
// tell a shard without a holder from one whose row is lost, and waits until such a holder has written
// its row or its tenure has expired.

// updateEra records the era of the store. The caller holds the lock.
func (h *Holder) updateEra() {
	era := h.table.Era()
	if era == h.era {
		return
	}
	if h.era > 0 || era > storer.FirstEra {
		h.takeVacantFrom = h.clock() + h.options.Lease + h.leaseOptions.Margin
		h.listedAt = 0
		h.log.Warn().Uint64("era", era).Msg("shard: rows of an earlier era are not valid")
	}
	h.era = era
}

// lostRow returns the row of a shard whose holder this entry is, to be written in place of a row with
// the given version of the present era, which is 0 if there is none. The caller holds the lock.
func (h *Holder) lostRow(s *shard, version uint64) leaser.Row {
	s.rowLost = true
	return leaser.Row{Version: version, Epoch: s.tenure.Epoch(), Holder: h.selfName, Candidates: s.tenure.Candidates()}
}

// observeMissing records that a shard has no row in the present era of the store. A row of an earlier one
// is lost: its holder writes it again, for others the shard has no holder.
func (h *Holder) observeMissing(s *shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateEra()
	if s.row.Version == 0 || storer.Era(s.row.Version) >= h.era {
		return
	}
	if h.holds(s) {
		s.row = h.lostRow(s, 0)
		return
	}
	s.row = leaser.Row{Epoch: s.row.Epoch}
	s.watch.Observe(h.clock(), h.selfName, s.row)
}

// holds reports whether this entry may act for a shard now. The caller holds the lock.
func (h *Holder) holds(s *shard) bool { return s.tenure != nil && s.tenure.Held(h.clock()) }

// outlives reports whether the tenure of a shard goes on beside a row of a later era than its own, which
// is older than the tenure. The caller holds the lock.
func (h *Holder) outlives(s *shard, row leaser.Row) bool {
	return h.holds(s) && storer.Era(row.Version) > storer.Era(s.tenure.Version()) && row.Epoch < s.tenure.Epoch()
}

// restoreSlots writes the slots of all models that this entry decides on again, where an era of the store
// has lost them.
func (h *Holder) restoreSlots(ctx context.Context) {
	h.mu.Lock()
	outdated := map[string]*model{}
	for _, s := range h.shards {
		for name, m := range s.models {
			if m.era < h.era && h.holds(s) && !s.rowLost {
				outdated[name] = m
			}
		}
	}
	h.mu.Unlock()
	for name, m := range outdated {
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		if err := h.restoreModelSlots(limited, name, m); err != nil {
			h.log.Warn().Str("model", name).Err(err).Msg("slot: not written again")
		}
		cancel()
	}
}

// restoreModelSlots writes the slots of one model again.
func (h *Holder) restoreModelSlots(ctx context.Context, name string, m *model) error {
	rows, err := h.table.List(ctx, storer.SlotPrefix(name))
	if err != nil {
		return err
	}
	lost, era := h.adoptVersions(name, m, rows)
	for _, slot := range lost {
		version, err := h.writeSlot(ctx, name, slot)
		if err != nil {
			return err
		}
		h.updateSlotVersion(m, slot, version)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.era = era
	return nil
}

// adoptVersions gives the known slots the versions of their rows in the present era, and returns the
// slots whose rows differ, with that era. What is known of a slot stays: only its holder writes its row.
func (h *Holder) adoptVersions(name string, m *model, rows []storer.Row) (lost []placer.Slot, era uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateEra()
	present := map[uint32]storer.Row{}
	for _, r := range rows {
		if index, ok := storer.SlotIndex(name, r.Key); ok {
			present[index] = r
		}
	}
	for _, slot := range m.slotTable.Slots() {
		if slot.Version == 0 || storer.Era(slot.Version) >= h.era {
			continue
		}
		row := present[slot.Index]
		slot.Version = row.Version
		m.slotTable.Set(slot)
		if stored, ok := decodeSlot(name, row); !ok || stored.GetInstance() != slot.Instance || stored.GetEpoch() != slot.Epoch {
			lost = append(lost, slot)
		}
	}
	return lost, h.era
}

// updateSlotVersion records the version of a row that was written again, unless the slot has changed since.
func (h *Holder) updateSlotVersion(m *model, written placer.Slot, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slot := m.slotTable.Slot(written.Index); slot.Version == written.Version {
		slot.Version = version
		m.slotTable.Set(slot)
	}
}

// replica is a replica of a model that a sidecar has or loads, under a fencing number.
type replica struct {
	instance string
	epoch    uint64
}

// adoptReplica gives a vacant slot to a replica without one and reports whether it did, or tried and
// failed. In an era after the first, the store may have lost the row that another holder wrote; in the
// first era there is no such replica. The slot is doubtful until its sidecar confirms the replica.
func (h *Holder) adoptReplica(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, replicas []replica) bool {
	h.mu.Lock()
	lost := slices.IndexFunc(replicas, func(r replica) bool { return m.slotTable.OnInstance(r.instance) == nil })
	later := h.era > storer.FirstEra
	h.mu.Unlock()
	if lost < 0 || !later {
		return false
	}
	slot.Instance, slot.Epoch = replicas[lost].instance, replicas[lost].epoch
	version, err := h.writeSlot(ctx, def.GetName(), slot)
	if err != nil {
		h.recordLoadStep(def, "slot of a known replica not recorded: "+err.Error())
		h.rereadSlots(ctx, m, def.GetName())
		return true
	}
	slot.Version, slot.Phase = version, placer.Doubtful
	h.setSlot(m, slot)
	h.recordLoadStep(def, fmt.Sprintf("replica on %s recorded again (slot %d, epoch %d)", slot.Instance, slot.Index, slot.Epoch))
	h.checkSlot(def.GetName(), m, slot)
	return true
}

// vacantTakenFrom returns the instant from which a shard without a holder may be taken.
func (h *Holder) vacantTakenFrom() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeVacantFrom
}
