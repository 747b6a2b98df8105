package runner

import (
	"runtime"
	"runtime/debug"

	"oleanderstall/checker"
)

// heapFraction is the fraction of the process's memory to which the garbage collector
// may let the heap grow.
const heapFraction = 0.7

// bytesPerMB is a megabyte, in bytes.
const bytesPerMB = 1e6

// LimitRuntime limits the Go runtime of a process on a hosting platform to one processor
// and to heapFraction of the memory in the settings, if that is set. It does nothing for
// other processes.
func LimitRuntime(s *checker.Settings) {
	if s.Hosted == nil {
		return
	}
	runtime.GOMAXPROCS(1)
	if s.Hosted.MaxMemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Hosted.MaxMemoryMB * bytesPerMB * heapFraction))
	}
}
