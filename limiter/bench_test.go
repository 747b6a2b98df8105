package limiter

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures one charge and its settlement; neither allocates.
func BenchmarkTake(b *testing.B) {
	bucket := NewBucket(0, 1e6, 1e6)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		_, receipt := bucket.Take(now, 100)
		bucket.Refund(now, receipt, 60)
	}
}

// BenchmarkSlopeOutstanding measures a settlement while a number of charges are not settled
// yet.
func BenchmarkSlopeOutstanding(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bucket := NewBucket(0, 1e6, 1e6)
			receipts := make([]int64, n)
			now := time.Duration(0)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				bucket.Refund(now, receipts[i%n], 60)
				_, receipts[i%n] = bucket.Take(now, 100)
				i++
			}
		})
	}
}
