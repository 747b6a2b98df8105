package holder

import (
	"slices"
	"time"

	"oleanderstall/placer"
)

// Replicas lists the slots that this entry knows, for a dump.
func (h *Holder) Replicas() map[string][]placer.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]placer.Slot{}
	for _, s := range h.shards {
		for name, m := range s.models {
			all[name] = slices.DeleteFunc(m.book.Slots(), func(s placer.Slot) bool { return s.Phase == placer.Vacant })
		}
	}
	return all
}

// Shard is a shard in a dump.
type Shard struct {
	Index  uint32 `json:"index"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	Held   bool   `json:"held"`
	// Candidates are the entries that may take the shard over.
	Candidates []string      `json:"candidates"`
	Left       time.Duration `json:"left,omitempty"`
}

// Shards lists all shards as this entry sees them, for a dump.
func (h *Holder) Shards() []Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	list := make([]Shard, len(h.shards))
	for i, s := range h.shards {
		list[i] = Shard{Index: s.index, Holder: s.row.Holder, Epoch: s.row.Epoch, Candidates: s.row.Candidates}
		if s.tenure != nil && s.tenure.Held(now) {
			list[i].Held = true
			list[i].Left = s.tenure.Until() - now
		}
	}
	return list
}
