package runner

import (
	"runtime"
	"runtime/debug"

	"oleanderstall/checker"
)

// memoryPart is the part of a process's memory that the garbage collector may
// let the heap grow to.
const memoryPart = 0.7

// bytesPerMB is a megabyte, in bytes.
const bytesPerMB = 1e6

// Fit bounds the Go runtime of a hosted process to its instance: one processor and
// the memory of the settings.
func Fit(s *checker.Settings) {
	if s.Hosted == nil {
		return
	}
	runtime.GOMAXPROCS(1)
	if s.Hosted.Memory > 0 {
		debug.SetMemoryLimit(int64(s.Hosted.Memory * bytesPerMB * memoryPart))
	}
}
