package placer

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/faker"
	"oleanderstall/wire"
)

func TestMain(m *testing.M) {
	faker.FixRapidSeed()
	os.Exit(m.Run())
}

func TestRankBids(t *testing.T) {
	bids := []Bid{
		{Instance: "full", Free: 10, Idle: 10},
		{Instance: "remote", Free: 100},
		{Instance: "disk", Free: 0, Idle: 100, Tier: wire.Tier_TIER_DISK},
		{Instance: "memory", Free: 100, Tier: wire.Tier_TIER_MEMORY, Queue: 9},
		{Instance: "memory, less to do", Free: 100, Tier: wire.Tier_TIER_MEMORY, Queue: 1},
	}
	var order []string
	for _, b := range RankBids(bids, 50) {
		order = append(order, b.Instance)
	}
	assert.DeepEqual(t, order, []string{"memory, less to do", "memory", "disk", "remote"})
}

// TestMemoryBudgetNeverExceeded draws reservations and releases of weights and KV cache,
// and compares the budget with a plain sum.
func TestMemoryBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 100
		budget := NewMemoryBudget(capacity)
		weights := map[string]uint64{}
		var caches []uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "model")
			size := uint64(rapid.IntRange(0, 70).Draw(t, "size"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				_, known := weights[name]
				if budget.Reserve(name, size) == nil && !known {
					weights[name] = size
				}
			case 1:
				budget.Release(name)
				delete(weights, name)
			case 2:
				if budget.ReserveCache(size) == nil {
					caches = append(caches, size)
				}
			case 3:
				if len(caches) > 0 {
					budget.ReleaseCache(caches[0])
					caches = caches[1:]
				}
			}
			sum := uint64(0)
			for _, w := range weights {
				sum += w
			}
			for _, c := range caches {
				sum += c
			}
			if sum > capacity || budget.Used() != sum {
				t.Fatalf("%d bytes are in use, the budget has %d of %d", sum, budget.Used(), capacity)
			}
		}
	})
}

func TestSlotTable(t *testing.T) {
	table := NewSlotTable("m", 2)
	table.Restore(0, &wire.Slot{Index: 0, Instance: "x", Epoch: 4}, 9)
	assert.Equal(t, len(table.InPhases(Doubtful)), 1)
	assert.Equal(t, table.FirstVacant(2).Index, uint32(1))
	assert.Assert(t, table.FirstVacant(1) == nil)
	assert.Assert(t, !table.SetPhase(0, 0, 3, Vacant), "an old epoch changes nothing")
	assert.Assert(t, table.SetPhase(0, 0, 4, Resident))
	assert.Equal(t, table.OnInstance("x").Index, uint32(0))
	table.Resize(0)
	assert.Equal(t, len(table.Slots()), 1, "a taken slot stays")
	assert.Assert(t, table.SetPhase(0, 0, 4, Vacant))
	table.Resize(0)
	assert.Equal(t, len(table.Slots()), 0)
}

// TestSlotTableBounded guards against a table that takes all memory because a configuration or a
// row has an absurd number of slots.
func TestSlotTableBounded(t *testing.T) {
	slots := NewSlotTable("m", 5*MaxSlots)
	assert.Equal(t, len(slots.Slots()), MaxSlots)
	slots.Restore(now, &wire.Slot{Model: "m", Index: 5 * MaxSlots, Instance: "a"}, 1)
	slots.Set(Slot{Index: 5 * MaxSlots})
	assert.Equal(t, len(slots.Slots()), MaxSlots)
	assert.Equal(t, len(slots.InPhases(Doubtful)), 0)
}
