package main

import (
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restart stops a process with SIGTERM, waits for its exit and starts it again.
func (c *cluster) restart(p *proc, start func()) {
	p.signal(syscall.SIGTERM)
	assert.NilError(c.t, p.command.Wait())
	start()
}

// listDelay is longer than the time until entries see a change of the instance list.
const listDelay = 3 * time.Second

// retryAfter returns the retry time of a refusal, by default one second.
func retryAfter(r result) time.Duration {
	ms, err := strconv.Atoi(r.header.Get("Retry-After-Ms"))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

// TestRollingRestart restarts all entries and engine sidecars, one at a time, under load.
// Each request must be served, or refused as not run with a time to try again, and more
// than ten must be served for each that is refused.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	var mu sync.Mutex
	available := append([]*proc{}, c.entries...)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var served, refused int
	for i := range 2 {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				entry := available[i%len(available)]
				mu.Unlock()
				res := c.send(entry, key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":5}`)
				mu.Lock()
				if res.status == http.StatusOK {
					served++
				} else {
					refused++
					assert.Check(t, res.header.Get("Retry-After") != "", "%d %s", res.status, res.body)
					assert.Check(t, res.run() == "never", "%d %s", res.status, res.body)
				}
				mu.Unlock()
				if res.status != http.StatusOK {
					time.Sleep(retryAfter(res))
				}
			}
		})
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		c.restart(c.sidecars[name], func() { c.startEngineSidecar(name, `"concurrency": 1, "queue": 1,`) })
		time.Sleep(listDelay)
	}
	for i, name := range []string{"entry-a", "entry-b"} {
		old := c.entries[i]
		mu.Lock()
		available = []*proc{c.entries[1-i]}
		mu.Unlock()
		c.restart(old, func() { c.startEntry(name) })
		mu.Lock()
		c.entries[i] = c.entries[len(c.entries)-1]
		c.entries = c.entries[:len(c.entries)-1]
		available = append([]*proc{}, c.entries...)
		mu.Unlock()
		time.Sleep(listDelay)
	}
	close(stop)
	senders.Wait()
	t.Logf("%d served, %d refused", served, refused)
	assert.Assert(t, served > 10*refused, "%d served, %d refused", served, refused)
}
