// Package placer decides where a replica is loaded.
//
// The holder of a model's shard keeps a Book of the model's slots. A slot is
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

// Phases of a slot.
const (
	Vacant   Phase = iota // vacant
	Ordered               // ordered
	Resident              // resident
	Doubtful              // doubtful
)

// Slot is one replica that a model may have.
type Slot struct {
	Index    uint32
	Phase    Phase
	Instance string
	Epoch    uint64
	// Version is the platform's version of the slot's row.
	Version uint64
	Since   time.Duration
}

// SlotTable holds the slots of one model. It is not safe for concurrent use.
type SlotTable struct {
	model string
	slots []Slot
}

// New returns a book with the given number of vacant slots.
func New(model string, slots int) *SlotTable {
	b := &SlotTable{model: model}
	b.Resize(slots)
	return b
}

// Resize changes the number of slots. Slots beyond the number that are taken
// stay until they are vacant; Order never uses them again.
func (b *SlotTable) Resize(slots int) {
	for len(b.slots) < slots {
		b.slots = append(b.slots, Slot{Index: uint32(len(b.slots))})
	}
	for len(b.slots) > slots && b.slots[len(b.slots)-1].Phase == Vacant {
		b.slots = b.slots[:len(b.slots)-1]
	}
}

// Recall sets a slot from its row, as a new holder finds it. A replica whose
// state is not known yet is Doubtful.
func (b *SlotTable) Recall(now time.Duration, row *wire.Slot, version uint64) {
	b.Resize(max(len(b.slots), int(row.GetIndex())+1))
	s := &b.slots[row.GetIndex()]
	s.Instance = row.GetInstance()
	s.Epoch = row.GetEpoch()
	s.Version = version
	s.Since = now
	s.Phase = Doubtful
	if s.Instance == "" {
		s.Phase = Vacant
	}
}

// Vacancy returns the first vacant slot among the first limit ones, or nil.
func (b *SlotTable) Vacancy(limit int) *Slot {
	for i := range b.slots[:min(limit, len(b.slots))] {
		if b.slots[i].Phase == Vacant {
			return &b.slots[i]
		}
	}
	return nil
}

// Settle moves the slot to phase if it still has that epoch.
func (b *SlotTable) Settle(now time.Duration, index uint32, epoch uint64, p Phase) bool {
	if int(index) >= len(b.slots) || b.slots[index].Epoch != epoch {
		return false
	}
	s := &b.slots[index]
	s.Phase = p
	s.Since = now
	if p == Vacant {
		s.Instance = ""
	}
	return true
}

// Set replaces the slot with the same index.
func (b *SlotTable) Set(s Slot) {
	b.Resize(max(len(b.slots), int(s.Index)+1))
	b.slots[s.Index] = s
}

// In returns the slots in one of the phases.
func (b *SlotTable) In(phases ...Phase) []Slot {
	var in []Slot
	for _, s := range b.slots {
		if slices.Contains(phases, s.Phase) {
			in = append(in, s)
		}
	}
	return in
}

// At returns the slot taken by instance, or nil.
func (b *SlotTable) At(instance string) *Slot {
	for i := range b.slots {
		if b.slots[i].Phase != Vacant && b.slots[i].Instance == instance {
			return &b.slots[i]
		}
	}
	return nil
}

// Slot returns the slot with that index, or a zero Slot if there is none.
func (b *SlotTable) Slot(index uint32) Slot {
	if int(index) >= len(b.slots) {
		return Slot{}
	}
	return b.slots[index]
}

// Slots returns a copy of all slots.
func (b *SlotTable) Slots() []Slot { return slices.Clone(b.slots) }

// Bid is what one sidecar offers for a load.
type Bid struct {
	Instance string
	Address  string
	Free     uint64
	Idle     uint64
	Tier     wire.Tier
	Queue    uint32
}

// RankBids orders the bids that can hold need bytes, best first: room without an
// unload, then the nearest copy of the checkpoint, then the shortest queue. An
// unload costs less than a remote load, so a near copy with idle models to
// unload goes before free room without a copy.
func RankBids(bids []Bid, need uint64) []Bid {
	able := slices.DeleteFunc(slices.Clone(bids), func(b Bid) bool {
		return b.Free+b.Idle < need
	})
	slices.SortStableFunc(able, func(a, b Bid) int {
		if a.Tier != b.Tier {
			return int(b.Tier) - int(a.Tier)
		}
		if room(a, need) != room(b, need) {
			return room(b, need) - room(a, need)
		}
		return int(a.Queue) - int(b.Queue)
	})
	return able
}

// room returns 1 if the bid holds need bytes without an unload.
func room(b Bid, need uint64) int {
	if b.Free >= need {
		return 1
	}
	return 0
}
