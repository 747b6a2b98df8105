// Package timer provides the monotonic clock that leases and deadlines use.
//
// An instant is a time.Duration since boot. The clock advances while the machine
// is suspended, so a lease that expired during a suspension is expired when the
// machine resumes.
package timer

import (
	"context"
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current instant.
type Clock func() time.Duration

// Now returns the current instant of CLOCK_BOOTTIME. It panics if the kernel lacks
// that clock; every supported kernel has it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// ToMillis converts d to milliseconds, rounded up and limited to the range of
// uint32: a negative d becomes 0.
func ToMillis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}

// maxStated is the longest duration in milliseconds that is taken from a message. Sums of
// thousands of them do not overflow.
const maxStated = 24 * time.Hour

// FromMillis converts milliseconds to a duration, limited to maxStated.
func FromMillis(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxStated)
}

// ToSignedMillis converts d to milliseconds, rounded towards 0 and limited to the range of
// int32.
func ToSignedMillis(d time.Duration) int32 {
	return int32(min(math.MaxInt32, max(math.MinInt32, d.Milliseconds())))
}

// maxDuration is the longest duration that FromSeconds returns. The sum of two of them does
// not overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// FromSeconds converts seconds to a duration, limited to maxDuration. A value that is not a
// number counts as the longest.
func FromSeconds(seconds float64) time.Duration {
	switch limit := maxDuration.Seconds(); {
	case seconds <= -limit:
		return -maxDuration
	case seconds < limit:
		return time.Duration(seconds * float64(time.Second))
	}
	return maxDuration
}

// Wait blocks until d has passed, wake is closed or receives a value, or ctx ends.
// A nil wake is allowed and has no effect. The result is false if ctx ended the
// wait. If d is not positive, Wait returns at once and reports whether ctx is
// still active.
func Wait(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}
