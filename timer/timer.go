// Package timer reads the clock on which leases and deadlines are measured.
//
// An instant is a time.Duration since boot. The clock keeps counting while the
// instance is suspended, so a lease that lapsed during a suspension is seen as
// lapsed on wake-up.
package timer

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present instant.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME. It panics if the kernel lacks that clock, which no
// supported kernel does.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// ToMillis converts d to whole milliseconds, rounded up and never negative.
func ToMillis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}

// FromMillis converts whole milliseconds to a duration.
func FromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Wait waits until d has passed, early is closed or signalled, or ctx ends. A nil early
// never is. Wait reports false if ctx has ended.
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
