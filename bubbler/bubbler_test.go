package bubbler

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

const (
	bubbles    = 10
	goroutines = 16
	rounds     = 1000
)

// inBubbles runs f on many goroutines at once in each of a few bubbles.
func inBubbles(t *testing.T, f func()) {
	t.Helper()
	for range bubbles {
		Test(t, func(*testing.T) {
			var group sync.WaitGroup
			for range goroutines {
				group.Go(f)
			}
			group.Wait()
		})
	}
}

// TestImmediateTimers guards against the end of the process inside the race detector when goroutines
// of a bubble start timers of no duration at the same moment.
func TestImmediateTimers(t *testing.T) {
	inBubbles(t, func() {
		for range rounds {
			<-time.NewTimer(0).C
		}
	})
}

// TestPolledTimers guards against the same end when goroutines of a bubble poll expired timers.
func TestPolledTimers(t *testing.T) {
	inBubbles(t, func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for range rounds {
			time.Sleep(time.Millisecond)
			select {
			case <-ticker.C:
			default:
			}
		}
	})
}

// TestProcessorsRestored guards against a process that keeps to one processor after its bubbles.
func TestProcessorsRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() { Test(t, func(*testing.T) {}) })
	}
	group.Wait()
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Fatalf("%d processors after the bubbles, %d before", after, before)
	}
}
