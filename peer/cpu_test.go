package peer

import (
	"syscall"
	"time"
)

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
