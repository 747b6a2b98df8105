// Package timer provides the monotonic clock that leases and deadlines use.
//
// An instant is a time.Duration since boot. The clock advances while the machine
// is suspended, so a lease that expired during a suspension is expired when the
// machine resumes.
package timer

import (
	"context"
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

// FromMillis converts milliseconds to a duration.
func FromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
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
