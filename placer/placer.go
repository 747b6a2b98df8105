// Package placer decides where a replica is loaded and what an engine loads or unloads
// next.
//
// The holder of a model's shard keeps a SlotTable of the model's slots. A slot is
// recorded in the platform's table before the load is ordered and stays taken
// until the sidecar or the platform confirms that the replica is gone, so there
// are never more replicas than slots.
package placer

import (
	"slices"
	"time"

	"oleanderstall/wire"
)

//go:generate stringer -type=Phase -linecomment

// Phase is the state of a slot.
type Phase int

// Phases of a slot. The comments are the written names.
const (
	Vacant   Phase = iota // vacant
	Ordered               // ordered
	Resident              // resident
	Doubtful              // doubtful
)

// MaxSlots is the highest number of slots that a model has.
const MaxSlots = 1024

// Slot is one replica that a model may have. Its fields are written as JSON under their
// names.
type Slot struct {
	Index    uint32
	Phase    Phase
	Instance string
	Epoch    uint64
	// Version is the platform's version of the slot's row.
	Version uint64
	// Since is the instant of the latest change of the phase.
	Since time.Duration
}

// SlotTable holds the slots of one model. It is not safe for concurrent use.
type SlotTable struct {
	model string
	slots []Slot
}

// NewSlotTable returns a table with the given number of vacant slots.
func NewSlotTable(model string, slots int) *SlotTable {
	t := &SlotTable{model: model}
	t.Resize(slots)
	return t
}

// Resize changes the number of slots. Taken slots beyond the number stay until they are
// vacant; FirstVacant does not return them if its limit is that number. There are no more
// than MaxSlots.
func (t *SlotTable) Resize(slots int) {
	slots = min(slots, MaxSlots)
	for len(t.slots) < slots {
		t.slots = append(t.slots, Slot{Index: uint32(len(t.slots))})
	}
	for len(t.slots) > slots && t.slots[len(t.slots)-1].Phase == Vacant {
		t.slots = t.slots[:len(t.slots)-1]
	}
}

// Restore sets a slot from its row, as a new holder reads it. The state of its replica is
// not known yet, so a taken slot becomes Doubtful. It ignores a slot beyond MaxSlots.
func (t *SlotTable) Restore(now time.Duration, row *wire.Slot, version uint64) {
	if row.GetIndex() >= MaxSlots {
		return
	}
	t.Resize(max(len(t.slots), int(row.GetIndex())+1))
	s := &t.slots[row.GetIndex()]
	s.Instance = row.GetInstance()
	s.Epoch = row.GetEpoch()
	s.Version = version
	s.Since = now
	s.Phase = Doubtful
	if s.Instance == "" {
		s.Phase = Vacant
	}
}

// FirstVacant returns the first vacant slot among the first limit slots, or nil.
func (t *SlotTable) FirstVacant(limit int) *Slot {
	for i := range t.slots[:min(limit, len(t.slots))] {
		if t.slots[i].Phase == Vacant {
			return &t.slots[i]
		}
	}
	return nil
}

// SetPhase sets the phase of a slot if the slot still has that epoch, and reports whether it
// has.
func (t *SlotTable) SetPhase(now time.Duration, index uint32, epoch uint64, p Phase) bool {
	if int(index) >= len(t.slots) || t.slots[index].Epoch != epoch {
		return false
	}
	s := &t.slots[index]
	s.Phase = p
	s.Since = now
	if p == Vacant {
		s.Instance = ""
	}
	return true
}

// Set replaces the slot with the same index, adding slots up to it if necessary. It ignores a
// slot beyond MaxSlots.
func (t *SlotTable) Set(s Slot) {
	if s.Index >= MaxSlots {
		return
	}
	t.Resize(max(len(t.slots), int(s.Index)+1))
	t.slots[s.Index] = s
}

// InPhases returns the slots in any of the phases.
func (t *SlotTable) InPhases(phases ...Phase) []Slot {
	var matching []Slot
	for _, s := range t.slots {
		if slices.Contains(phases, s.Phase) {
			matching = append(matching, s)
		}
	}
	return matching
}

// OnInstance returns the slot that the instance takes, or nil.
func (t *SlotTable) OnInstance(instance string) *Slot {
	for i := range t.slots {
		if t.slots[i].Phase != Vacant && t.slots[i].Instance == instance {
			return &t.slots[i]
		}
	}
	return nil
}

// Slot returns the slot with that index, or a zero Slot if there is none.
func (t *SlotTable) Slot(index uint32) Slot {
	if int(index) >= len(t.slots) {
		return Slot{}
	}
	return t.slots[index]
}

// Slots returns a copy of all slots.
func (t *SlotTable) Slots() []Slot { return slices.Clone(t.slots) }

// Bid is the offer of one sidecar to load a model.
type Bid struct {
	Instance string
	Address  string
	// Free is the engine's free memory, and Idle that of the idle models that may be
	// unloaded, in bytes.
	Free uint64
	Idle uint64
	// Tier is where the checkpoint of the model is cached.
	Tier wire.Tier
	// Queue is the number of requests that wait or run at the sidecar.
	Queue uint32
}

// RankBids orders the bids that can hold need bytes, best first: the nearest copy of the
// checkpoint, then enough memory without an unload, then the shortest queue. An unload
// costs less than a remote load, so a near copy with idle models to unload goes before
// free memory without a copy.
func RankBids(bids []Bid, need uint64) []Bid {
	feasible := slices.DeleteFunc(slices.Clone(bids), func(b Bid) bool {
		return b.Free+b.Idle < need
	})
	slices.SortStableFunc(feasible, func(a, b Bid) int {
		if a.Tier != b.Tier {
			return int(b.Tier) - int(a.Tier)
		}
		if fitsWithoutUnload(a, need) != fitsWithoutUnload(b, need) {
			return fitsWithoutUnload(b, need) - fitsWithoutUnload(a, need)
		}
		return int(a.Queue) - int(b.Queue)
	})
	return feasible
}

// fitsWithoutUnload returns 1 if need bytes fit without an unload, else 0.
func fitsWithoutUnload(b Bid, need uint64) int {
	if b.Free >= need {
		return 1
	}
	return 0
}
