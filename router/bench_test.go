package router

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSlopePick measures one decision among 3, 30 and 300 replicas. A decision does
// not allocate.
func BenchmarkSlopePick(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(1)
			targets := make([]Target, n)
			for i := range targets {
				targets[i] = Target{Name: fmt.Sprintf("engine-%d", i), Inflight: i % 7, QueueLength: i % 5}
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(time.Second, targets, 0)
			}
		})
	}
}
