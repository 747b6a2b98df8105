// Package bubbler runs tests in bubbles of testing/synctest in a way that the race detector bears.
//
// In go1.26 all timers of a bubble run in one context of the race detector. Most of them run on the
// goroutine that advances the bubble's time, but a goroutine that starts a timer of no duration, or
// that polls the channel of an expired timer, runs the timer itself. Two goroutines that do so at the
// same moment on two processors corrupt the context, and the detector ends the process.
package bubbler

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// limit is the limit on processors that all bubbles of the process share.
var limit processorLimit

// Test is synctest.Test. Under the race detector the process keeps to one processor until f and its
// goroutines have returned, so that no two timers of a bubble run at the same moment.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceEnabled {
		limit.acquire()
		defer limit.release()
	}
	synctest.Test(t, f)
}

// A processorLimit keeps the process to one processor while it has holders.
type processorLimit struct {
	mu       sync.Mutex
	holders  int
	previous int
}

// acquire adds a holder.
func (l *processorLimit) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders == 0 {
		l.previous = runtime.GOMAXPROCS(1)
	}
	l.holders++
}

// release takes a holder away; the last one restores the processors that the process had before.
func (l *processorLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders--
	if l.holders == 0 {
		runtime.GOMAXPROCS(l.previous)
	}
}
