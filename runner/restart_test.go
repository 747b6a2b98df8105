package runner

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/checker"
	"oleanderstall/imitator"
)

// maxGap is the longest time for which callers may receive no answer while all entries are
// restarted shortly after one another.
const maxGap = 400 * time.Millisecond

// balancer chooses entries for callers as the platform's load balancer does: in turn among
// those that passed one of the last two readiness checks, or among all if there is none.
// Its entries may be replaced.
type balancer struct {
	mu      sync.Mutex
	entries []*HostedEntry
	// failedChecks is the number of failed checks of each entry since the last one passed.
	failedChecks [4]int
	nextIndex    int
	// failures tell why requests were not served.
	failures []string
}

// pollReadiness checks every 200 ms whether the entries are ready, until stop is closed.
func (b *balancer) pollReadiness(stop <-chan struct{}) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		b.mu.Lock()
		for i, e := range b.entries {
			b.failedChecks[i]++
			if e.isReady() {
				b.failedChecks[i] = 0
			}
		}
		b.mu.Unlock()
	}
}

// pick returns the address of the next entry in turn.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*HostedEntry
	for i, e := range b.entries {
		if b.failedChecks[i] < 2 {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		ready = b.entries
	}
	b.nextIndex++
	return ready[b.nextIndex%len(ready)].Addresses().Callers
}

// recordFailure records a request that was not served.
func (b *balancer) recordFailure(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = append(b.failures, text)
}

// takeFailures returns the failures since the last call.
func (b *balancer) takeFailures() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	failures := b.failures
	b.failures = nil
	return failures
}

// replace replaces entry i, which has stopped, by a new one.
func (b *balancer) replace(i int, e *HostedEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = e
}

// call sends a request, once more if the first attempt fails, and reports whether it was
// served.
func (f *hostedFleet) call(b *balancer, method, path string, header ...string) bool {
	for range 2 {
		f.mu.Lock()
		f.lastID++
		id := fmt.Sprintf("%016x", f.lastID)
		f.mu.Unlock()
		req, err := imitator.NewRequest(f.t.Context(), b.pick(), id, method, path, header...)
		if err != nil {
			return false
		}
		sent := time.Now()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			b.recordFailure(fmt.Sprintf("%s %s after %v: %v", path, req.URL.Host, time.Since(sent), err))
			continue
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			return true
		}
		b.recordFailure(fmt.Sprintf("%s %s after %v: %d %s %v", path, req.URL.Host, time.Since(sent), res.StatusCode, text, err))
	}
	return false
}

// runClock measures the time during which the test process runs. Time in which the machine
// suspends the whole process does not count, since then neither callers nor entries run.
type runClock struct{ elapsed atomic.Int64 }

// Steps of a runClock.
const (
	// runClockStep is the time between two steps.
	runClockStep = 5 * time.Millisecond
	// runClockMaxStep is the longest time that counts for one step.
	runClockMaxStep = 4 * runClockStep
)

// run adds up the time until stop is closed.
func (c *runClock) run(stop <-chan struct{}) {
	for previous := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(runClockStep):
		}
		now := time.Now()
		c.elapsed.Add(int64(min(runClockMaxStep, now.Sub(previous))))
		previous = now
	}
}

// now returns the time for which the process has run.
func (c *runClock) now() time.Duration { return time.Duration(c.elapsed.Load()) }

// TestOverlappingRestarts restarts four entries, each before the previous one is back, since
// they finish long streams. Callers of a plain service must never be without an answer for
// longer than maxGap, as they would be if all entries refused requests at once.
func TestOverlappingRestarts(t *testing.T) {
	const entries, spacing = 4, 100 * time.Millisecond
	options := smallSite()
	options.EventInterval = 160 * time.Millisecond
	f := newHostedFleet(t, options)
	b := &balancer{}
	start := func(i int) *HostedEntry {
		s := f.settings("entry", fmt.Sprintf("series-%d", i))
		s.Hosted.GracePeriod = checker.Duration(3 * time.Second)
		s.Entry = &checker.Entry{CallerAddress: "127.0.0.1:0", ShutdownDelay: checker.Duration(500 * time.Millisecond)}
		e, err := StartHostedEntry(s, errorLogger(s.Name))
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		f.waitFor("ready", e.isReady)
		return e
	}
	for i := range entries {
		b.entries = append(b.entries, start(i))
	}
	for _, e := range f.entries {
		e.Stop()
	}
	stream := func() bool {
		return f.call(b, http.MethodPost, "/draft/x", "X-Model", "model0", "X-Token-Count", "100,50")
	}
	assert.Assert(t, stream())
	stop := make(chan struct{})
	var callers, restarts sync.WaitGroup
	var clock runClock
	callers.Go(func() { b.pollReadiness(stop) })
	callers.Go(func() { clock.run(stop) })
	longestGap := time.Duration(0)
	callers.Go(func() {
		for lastAnswer := clock.now(); ; time.Sleep(5 * time.Millisecond) {
			select {
			case <-stop:
				return
			default:
			}
			if f.call(b, http.MethodGet, "/status/1") {
				gap := clock.now() - lastAnswer
				if failures := b.takeFailures(); gap > maxGap {
					t.Logf("no answer for %v: %q", gap, failures)
				}
				longestGap = max(longestGap, gap)
				lastAnswer = clock.now()
			}
		}
	})
	for range 2 * entries {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = stream()
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for i := range entries {
		restarts.Go(func() {
			time.Sleep(time.Duration(i) * spacing)
			b.entries[i].Stop()
			b.replace(i, start(i))
		})
	}
	restarts.Wait()
	close(stop)
	callers.Wait()
	assert.Assert(t, longestGap > 0 && longestGap <= maxGap, "%v", longestGap)
}
