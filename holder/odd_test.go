package holder

import (
	"context"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/placer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// put writes the value of a row.
func (f *fixture) put(key string, value []byte) {
	_, err := f.platform.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{{Key: key, Value: value}}})
	assert.NilError(f.t, err)
}

// putSlot writes the row of a slot under the key of an index.
func (f *fixture) putSlot(index uint32, slot *wire.Slot) {
	value, err := storer.Encode(slot)
	assert.NilError(f.t, err)
	f.put(storer.SlotKey("m0", index), value)
}

// TestOddSlotRow guards against a model that is not served, or a holder that runs out of memory,
// because of one odd row among the slots. The slots of the other rows are known.
func TestOddSlotRow(t *testing.T) {
	const manyReplicas = 4
	for _, c := range []struct {
		name string
		put  func(f *fixture)
	}{
		{"unreadable", func(f *fixture) { f.put(storer.SlotKey("m0", 0), []byte{0xff}) }},
		{"index far beyond the key", func(f *fixture) { f.putSlot(0, &wire.Slot{Model: "m0", Index: 5000, Epoch: 1}) }},
		{"index of the sound one", func(f *fixture) { f.putSlot(0, &wire.Slot{Model: "m0", Index: 1, Epoch: 9}) }},
		{"highest fencing number", func(f *fixture) { f.putSlot(0, &wire.Slot{Model: "m0", Epoch: math.MaxUint64}) }},
		{"key without an index", func(f *fixture) { f.put(storer.SlotPrefix("m0")+"first", []byte{0xff}) }},
		{"key far beyond all slots", func(f *fixture) { f.putSlot(5000, &wire.Slot{Model: "m0", Index: 5000, Epoch: 1}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			change := testChange(1, 0)
			change.Models[0].Replicas = manyReplicas
			f := newFixture(t, change, "e1")
			a, _ := f.attachSidecars()
			a.epoch, a.state = 3, wire.State_STATE_RESIDENT
			f.putSlot(1, &wire.Slot{Model: "m0", Index: 1, Instance: "engine-a", Epoch: 3})
			c.put(f)
			f.run(4*time.Second, "e1")
			h := f.entries["e1"]
			assert.NilError(t, h.readSlots(context.Background(), "m0"))
			h.mu.Lock()
			m, err := h.heldModel("m0")
			assert.NilError(t, err)
			slots := m.slotTable.Slots()
			h.mu.Unlock()
			assert.Assert(t, len(slots) <= manyReplicas, "%d slots", len(slots))
			assert.Equal(t, slots[1].Instance, "engine-a")
			assert.Equal(t, slots[1].Epoch, uint64(3))
			assert.Equal(t, h.highestEpoch(m), uint64(3))
			_, err = h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 2000, Full: true})
			assert.NilError(t, err)
			h.tasks.Wait()
			h.mu.Lock()
			defer h.mu.Unlock()
			assert.Equal(t, len(m.slotTable.InPhases(placer.Resident)), 2)
		})
	}
}

// TestOddShardRow guards against a shard that nobody can hold, or a holder that loses its shard,
// because of a row that cannot be read or that describes another shard than its key.
func TestOddShardRow(t *testing.T) {
	for _, c := range []struct {
		name string
		put  func(f *fixture)
	}{
		{"unreadable", func(f *fixture) { f.put(storer.ShardKey(1), []byte{0xff}) }},
		{"row of another shard", func(f *fixture) {
			value, err := storer.Encode(&wire.ShardRow{Shard: 2, Holder: "nobody", Epoch: 7})
			assert.NilError(t, err)
			f.put(storer.ShardKey(1), value)
		}},
		{"highest epoch", func(f *fixture) {
			value, err := storer.Encode(&wire.ShardRow{Shard: 1, Holder: "nobody", Epoch: math.MaxUint64})
			assert.NilError(t, err)
			f.put(storer.ShardKey(1), value)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testChange(1, 1), "e1", "e2")
			f.run(4*time.Second, "e1", "e2")
			assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
			before := f.holderOf(2).Shards()[2].Epoch
			c.put(f)
			f.run(time.Second, "e1", "e2")
			for index, count := range f.holderCounts() {
				assert.Assert(t, index == 1 || count == 1, "shard %d", index)
			}
			f.run(5*testLease, "e1", "e2")
			assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
			assert.Equal(t, f.holderOf(2).Shards()[2].Epoch, before)
		})
	}
}
