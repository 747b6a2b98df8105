package limiter_test

import (
	"fmt"
	"time"

	"oleanderstall/limiter"
)

// A request is charged its upper bound, and what it did not use is refunded.
func ExampleBucket() {
	b := limiter.NewBucket(0, 10, 100)
	now := 20 * time.Second
	tokens, receipt := b.Take(now, 80)
	fmt.Println("granted", tokens)
	fmt.Println("50 more in", b.Wait(now, 50))
	b.Refund(now, receipt, 60)
	fmt.Println("left", b.Level(now))
	// Output:
	// granted 80
	// 50 more in 3s
	// left 80
}
