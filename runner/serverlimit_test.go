package runner

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// What a backend server may get that has named a limit: in any limitWindow, limitExcess times what
// the limit allows and limitSlack requests, from limitNotice after it first named it.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
)

// maxArrivals returns the largest number of requests that arrived at a server within limitWindow,
// from limitNotice after it first named its limit until end.
func maxArrivals(b *imitator.Backend, end time.Time) int {
	from := b.LimitNamed().Add(limitNotice)
	var times []time.Time
	for _, a := range b.Arrivals() {
		if a.At.After(from) && a.At.Before(end) {
			times = append(times, a.At)
		}
	}
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// steadyCallers send requests to all entries of a fleet until stopped.
type steadyCallers struct {
	stop  chan struct{}
	tasks sync.WaitGroup
	mu    sync.Mutex
	// statuses counts the answers by status, and failures those that did not arrive. longest is
	// the longest time until an answer was there.
	statuses map[int]int
	failures int
	longest  time.Duration
}

// callSteadily sends a request of each path to each entry every interval.
func (f *hostedFleet) callSteadily(interval time.Duration, send ...func(entry int) response) *steadyCallers {
	s := &steadyCallers{stop: make(chan struct{}), statuses: map[int]int{}}
	for entry := range f.entries {
		for _, call := range send {
			s.tasks.Go(func() {
				tick := time.NewTicker(interval)
				defer tick.Stop()
				for {
					select {
					case <-s.stop:
						return
					case <-tick.C:
						s.tasks.Go(func() { s.record(time.Now(), call(entry)) })
					}
				}
			})
		}
	}
	return s
}

// record counts an answer to a request that was sent at an instant.
func (s *steadyCallers) record(sent time.Time, r response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, time.Since(sent))
	if r.err != nil {
		s.failures++
		return
	}
	s.statuses[r.status]++
}

// end stops the callers and waits for their answers.
func (s *steadyCallers) end() {
	close(s.stop)
	s.tasks.Wait()
}

// TestServerLimitBindsFleet guards against a backend server that names a limit and gets more: each
// of several entries goes on sending to it, or keeps the limit by itself. The other servers take
// the rest.
func TestServerLimitBindsFleet(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.startEntry(2)
	f.assertStream(f.sendStream(0, "/brief/x", imitator.SiteModel(0)), 1, 10)
	engine, service := f.site.Engines[0], f.site.Services[0]
	const limit = 1.0
	engine.NameLimit(limit)
	service.NameLimit(limit)
	callers := f.callSteadily(
		100*time.Millisecond,
		func(entry int) response { return f.send(entry, http.MethodGet, "/status/x") },
		func(entry int) response { return f.sendStream(entry, "/brief/x", imitator.SiteModel(0)) },
	)
	time.Sleep(limitNotice + limitWindow + time.Second)
	end := time.Now()
	callers.end()
	allowed := int(limitExcess*limit*limitWindow.Seconds()) + limitSlack
	for _, b := range []*imitator.Backend{engine, service} {
		assert.Check(t, maxArrivals(b, end) <= allowed, "%s got %d requests in %v, allowed %d", b.ID(), maxArrivals(b, end), limitWindow, allowed)
	}
	assert.Equal(t, callers.failures, 0, "answers by status %v, longest after %v", callers.statuses, callers.longest)
}
