package holder

import (
	"slices"

	"oleanderstall/placer"
	"oleanderstall/wire"
)

// evacuatedInstance reports whether an instance is in an evacuated data centre.
func (h *Holder) evacuatedInstance(name string) bool {
	in, listed := h.member.Find(name)
	return listed && h.member.Evacuated(in)
}

// withoutEvacuated returns the slots on instances that are not in an evacuated data centre.
func (h *Holder) withoutEvacuated(slots []placer.Slot) []placer.Slot {
	return slices.DeleteFunc(slots, func(s placer.Slot) bool { return h.evacuatedInstance(s.Instance) })
}

// slotLimit returns the number of slots of a model: its replicas, and those in evacuated data centres,
// which may run until their requests have ended but are replaced elsewhere at once. The caller holds
// the lock.
func (h *Holder) slotLimit(m *model, def *wire.Model) int {
	taken := m.slotTable.InPhases(placer.Ordered, placer.Resident, placer.Doubtful)
	return int(def.GetReplicas()) + len(taken) - len(h.withoutEvacuated(slices.Clone(taken)))
}
