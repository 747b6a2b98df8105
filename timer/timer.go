// Package timer reads the clock on which leases and deadlines are measured.
//
// An instant is a time.Duration since boot. The clock keeps counting while the
// instance is suspended, so a lease that lapsed during a suspension is seen as
// lapsed on wake-up.
package timer

import (
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

// Millis converts d to whole milliseconds, rounded up and never negative.
func Millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}

// Span converts whole milliseconds to a duration.
func Span(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
