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

// restart stops a process as planned and starts it anew.
func (c *cluster) restart(p *proc, start func()) {
	p.signal(syscall.SIGTERM)
	assert.NilError(c.t, p.command.Wait())
	start()
}

// listLag is longer than entries take to see a change of the instance list.
const listLag = 3 * time.Second

// retryAfter is how long a refusal asks its caller to wait.
func retryAfter(r result) time.Duration {
	ms, err := strconv.Atoi(r.header.Get("Retry-After-Ms"))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

// TestRollingRestart restarts every process of the system, one at a time, under
// load. No request is lost: each is served, or refused with when to come back.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c, key := failureCluster(t)
	var mu sync.Mutex
	up := append([]*proc{}, c.entries...)
	stop := make(chan struct{})
	var load sync.WaitGroup
	var served, refused int
	for i := range 2 {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				entry := up[i%len(up)]
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
		c.restart(c.sidecars[name], func() { c.startWith(name, `"concurrency": 1, "queue": 1,`) })
		time.Sleep(listLag)
	}
	for i, name := range []string{"entry-a", "entry-b"} {
		old := c.entries[i]
		mu.Lock()
		up = []*proc{c.entries[1-i]}
		mu.Unlock()
		c.restart(old, func() { c.startEntry(name) })
		mu.Lock()
		c.entries[i] = c.entries[len(c.entries)-1]
		c.entries = c.entries[:len(c.entries)-1]
		up = append([]*proc{}, c.entries...)
		mu.Unlock()
		time.Sleep(listLag)
	}
	close(stop)
	load.Wait()
	t.Logf("%d served, %d refused", served, refused)
	assert.Assert(t, served > 10*refused, "%d served, %d refused", served, refused)
}
