package holder

import (
	"slices"
	"time"

	"oleanderstall/placer"
)

// Replicas returns the taken slots of each model whose slots this entry has read, for a
// dump.
func (h *Holder) Replicas() map[string][]placer.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]placer.Slot{}
	for _, s := range h.shards {
		for name, m := range s.models {
			all[name] = slices.DeleteFunc(m.slotTable.Slots(), func(s placer.Slot) bool { return s.Phase == placer.Vacant })
		}
	}
	return all
}

// Shard is the state of one shard in a dump.
type Shard struct {
	Index  uint32 `json:"index"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	Held   bool   `json:"held"`
	// Candidates are the entries that may take the shard over.
	Candidates []string `json:"candidates"`
	// Left is the time until the tenure expires, if this entry holds the shard.
	Left time.Duration `json:"left,omitempty"`
}

// Shards returns the state of all shards as known to this entry, for a dump.
func (h *Holder) Shards() []Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	list := make([]Shard, len(h.shards))
	for i, s := range h.shards {
		list[i] = Shard{Index: s.index, Holder: s.row.Holder, Epoch: s.row.Epoch, Candidates: s.row.Candidates}
		if s.tenure != nil && s.tenure.Held(now) {
			list[i].Held = true
			list[i].Left = s.tenure.ExpiresAt() - now
		}
	}
	return list
}
