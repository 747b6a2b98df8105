package runner

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrain checks the phase of a draining entry by the time since the start of the drain,
// its active requests and the number of other entries that accept requests.
func TestDrain(t *testing.T) {
	const start = time.Hour
	d := drain{start: start, noticePeriod: 2800 * time.Millisecond, gracePeriod: 8 * time.Second}
	for _, c := range []struct {
		name       string
		elapsed    time.Duration
		busy       bool
		idleFor    time.Duration
		otherReady int64
		want       drainPhase
	}{
		{"at once", 0, true, 0, 3, phaseServing},
		{"unused, a request may be on its way", 280 * time.Millisecond, false, time.Minute, 3, phaseServing},
		{"unused", 300 * time.Millisecond, false, time.Minute, 3, phaseClosing},
		{"between two requests", time.Second, false, 100 * time.Millisecond, 3, phaseServing},
		{"notice period over", 2800 * time.Millisecond, true, 0, 1, phaseClosing},
		{"no other entry", 2800 * time.Millisecond, true, 0, 0, phaseNonStreaming},
		{"no other entry, long after the notice period", 4700 * time.Millisecond, true, 0, 0, phaseNonStreaming},
		{"no other entry, between two requests", time.Second, false, time.Second, 0, phaseServing},
		{"no other entry, between two rare requests", 3 * time.Second, false, 2 * time.Second, 0, phaseNonStreaming},
		{"no other entry, unused", 2700 * time.Millisecond, false, time.Minute, 0, phaseServing},
		{"no other entry, unused beyond the notice period", 2800 * time.Millisecond, false, time.Minute, 0, phaseClosing},
		{"too late to answer new requests", 4900 * time.Millisecond, true, 0, 0, phaseRefusing},
		{"too late, another entry ready", 4900 * time.Millisecond, true, 0, 1, phaseClosing},
		{"too late, no active request", 4900 * time.Millisecond, false, time.Second, 0, phaseClosing},
		{"deadline of the last request", 7200 * time.Millisecond, true, 0, 0, phaseClosing},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, d.phaseAt(start+c.elapsed, c.busy, c.idleFor, c.otherReady), c.want)
		})
	}
}

// lateResponse is the response to a request that was sent to a stopping entry.
type lateResponse struct {
	response
	path string
	sent time.Duration
}

// sendWhileStopping stops an entry and sends a request to each path every interval until it takes no
// connections, with the times since the stop began. It returns what has been answered at the end of the
// stop, and the number of requests that have not.
func (f *hostedFleet) sendWhileStopping(entry int, interval time.Duration, paths ...string) (answered []lateResponse, cut int) {
	stopped, began := make(chan struct{}), time.Now()
	go func() {
		f.entries[entry].Stop()
		close(stopped)
	}()
	var mu sync.Mutex
	for i := 0; !f.entries[entry].callerServer.listener.isStopping(); i++ {
		path := paths[i%len(paths)]
		mu.Lock()
		cut++
		mu.Unlock()
		go func() {
			r := lateResponse{path: path, sent: time.Since(began)}
			if path == "/draft/x" || path == "/brief/x" {
				r.response = f.sendStream(entry, path, "model0")
			} else {
				r.response = f.send(entry, http.MethodPost, path)
			}
			mu.Lock()
			defer mu.Unlock()
			cut--
			answered = append(answered, r)
		}()
		time.Sleep(interval)
	}
	<-stopped
	// An answer that has been written has arrived by then.
	time.Sleep(20 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(answered), cut
}

// TestRequestsLateInGrace guards against requests that a stopping entry takes late, passes on, and cuts
// without an answer at the end of its grace period, and against an unknown outcome of those among them
// that may run only once.
func TestRequestsLateInGrace(t *testing.T) {
	runParallel(t)
	options := smallSite()
	options.ServiceTime, options.EventInterval = 1500*time.Millisecond, 200*time.Millisecond
	f := newHostedFleet(t, options)
	f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
	f.entries[1].Stop()
	f.waitFor("no other entry", func() bool { return f.entries[0].otherReadyEntries.Load() == 0 })
	answered, cut := f.sendWhileStopping(0, 20*time.Millisecond, "/order/x", "/status/x", "/draft/x", "/brief/x")
	assert.Check(t, cut == 0, "%d requests without an answer at the end of the stop", cut)
	served := 0
	for _, r := range answered {
		// The listener is closed while connections wait there, whose requests nobody has read.
		unread := errors.Is(r.err, syscall.ECONNREFUSED) || errors.Is(r.err, syscall.ECONNRESET) && f.runCount(r.id) == 0
		assert.Check(t, r.err == nil || unread || r.status == http.StatusOK, "%s sent after %v: %v", r.path, r.sent, r.err)
		if late := 3 * 100 * time.Millisecond; r.path == "/order/x" && r.sent > late {
			assert.Check(t, r.status == http.StatusOK || f.runCount(r.id) == 0, "%s sent after %v ran, answered by %d", r.path, r.sent, r.status)
		}
		if r.status == http.StatusOK {
			served++
		}
	}
	assert.Check(t, served > 0)
}
