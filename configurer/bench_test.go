package configurer

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"oleanderstall/wire"
)

// sampleChange returns a configuration with 63 models and the given number of
// adapters, as one change.
func sampleChange(adapters int) *wire.Change {
	c := &wire.Change{Version: 1}
	for i := range 63 {
		c.Models = append(c.Models, &wire.Model{
			Name: fmt.Sprintf("model-%d", i), Bytes: 1 << 34, Replicas: 4,
			Workspaces: []string{"w1", "w2"}, Context: 8192, Kv: 1 << 14, Keep: 900, Idle: 0.02,
		})
	}
	for i := range adapters {
		c.Models = append(c.Models, &wire.Model{
			Name: fmt.Sprintf("adapter-%d", i), Base: fmt.Sprintf("model-%d", i%63), Bytes: 1 << 26,
			Replicas: 1, Workspaces: []string{"w1"}, Context: 8192, Kv: 1 << 14, Keep: 900, Idle: 0.02,
		})
	}
	return c
}

// BenchmarkSlopeAdapters measures the memory of a copy by the number of adapters,
// and the cost of applying a change to it.
func BenchmarkSlopeAdapters(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, _ := proto.Marshal(sampleChange(n))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New()
			snapshot := &wire.Change{}
			_ = proto.Unmarshal(data, snapshot)
			c.Restore(snapshot)
			snapshot = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				version := c.View().Version() + 1
				_ = c.Apply(&wire.Change{Version: version, Keys: []*wire.Key{{Id: "k"}}})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n+63), "B/model")
			b.ReportMetric(float64(len(data)), "snapshot-B")
		})
	}
}
