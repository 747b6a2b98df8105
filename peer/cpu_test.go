package peer

import (
	"syscall"
	"time"
)

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
