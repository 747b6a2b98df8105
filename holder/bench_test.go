package holder

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSlopeModels measures the memory per model at the holder of its shard and the
// time of a query for its replicas.
func BenchmarkSlopeModels(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b, testChange(n, 1), "entry-a")
			f.run(testLease, "entry-a")
			h := f.entries["entry-a"]
			before := heapBytes()
			for i := range n {
				assert.NilError(b, h.readSlots(context.Background(), fmt.Sprintf("m%d", i)))
				m := h.shards[ModelShard(fmt.Sprintf("m%d", i), testShards)].models[fmt.Sprintf("m%d", i)]
				m.slotTable.Restore(0, &wire.Slot{Instance: "engine-a", Epoch: 1}, 1)
				m.slotTable.SetPhase(0, 0, 1, 2)
			}
			size := heapBytes() - before
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				_, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: fmt.Sprintf("m%d", i%n), Left: 1000})
				assert.NilError(b, err)
				i++
			}
			b.ReportMetric(float64(size)/float64(n), "B/model")
		})
	}
}

// BenchmarkSlopeWorkspaces measures the memory per bucket share and the time of a
// charge.
func BenchmarkSlopeWorkspaces(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b, testChange(0, n), "entry-a")
			f.run(testLease, "entry-a")
			h := f.entries["entry-a"]
			before := heapBytes()
			charge := func(i int) {
				_, err := h.Charge(&wire.Charge{Workspace: fmt.Sprintf("w%d", i%n), Want: 1})
				assert.NilError(b, err)
			}
			for i := range n {
				charge(i)
			}
			size := heapBytes() - before
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				charge(i)
				i++
			}
			b.ReportMetric(float64(size)/float64(n), "B/share")
		})
	}
}
