package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const benchIntent = `{
  "workspaces": [{"name": "bench", "rate": 1e12, "burst": 1e12}],
  "models": [{"name": "m", "bytes": "1024", "kv": "1", "workspaces": ["bench"]}]
}`

// benchFleet starts one entry and one sidecar before an engine stand-in, and
// returns the URLs of the engine and of the entry with a key.
func benchFleet(b *testing.B, token string) (c *cluster, engine, entry, key string) {
	c = &cluster{t: b, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(b, "standin", "platform")
	c.startEntry("entry-a")
	c.backends["engine-a"] = launch(b, "standin", "engine", "--token", token)
	c.startWith("engine-a", `"concurrency": 6000, "queue": 6000,`)
	var plan shownPlan
	c.operate(benchIntent, &plan, "intent", "-")
	c.operate("", &plan, "confirm", plan.ID)
	key = c.grant("bench").Key
	c.eventually("the model is loaded", func() bool {
		return c.send(c.entries[0], key, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":1}`).status == http.StatusOK
	})
	return c, c.url(c.backends["engine-a"]), "http://" + c.entries[0].addr.Callers, key
}

func (c *cluster) startWith(name, rest string) {
	path := settingsFile(c.t, name, c.url(c.platform), fmt.Sprintf(`"role": "sidecar", "sidecar": {
    "kind": "engine", "backend": %q, "pool": "models", "flight": "300ms", %s
  },`, c.url(c.backends[name]), rest))
	c.sidecars[name] = launch(c.t, "sidecar", "--settings", path)
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// post sends one completion and reads the whole answer.
func post(url, key, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := benchClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(res.Body)
		return 0, fmt.Errorf("status %d: %s", res.StatusCode, data)
	}
	n, err := io.Copy(io.Discard, res.Body)
	return int(n), err
}

// paced sends at a fixed rate for a while, whatever the answers take, and
// returns the latencies in order.
func paced(b *testing.B, url, key, body string, rate int, d time.Duration) []time.Duration {
	n := int(d.Seconds() * float64(rate))
	times := make([]time.Duration, n)
	var wg sync.WaitGroup
	var failed atomic.Int64
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			if _, err := post(url, key, body); err != nil {
				failed.Add(1)
			}
			times[i] = time.Since(due)
		})
	}
	wg.Wait()
	assert.Equal(b, failed.Load(), int64(0))
	slices.Sort(times)
	return times
}

// BenchmarkLatency compares a direct call of the engine stand-in with one through
// an entry and a sidecar, at 1,000 requests a second.
func BenchmarkLatency(b *testing.B) {
	_, engine, entry, key := benchFleet(b, "0s")
	body := `{"model":"m","prompt":"x","max_tokens":1}`
	for b.Loop() {
		paced(b, entry, key, body, 1000, 2*time.Second)
		direct := paced(b, engine, "", body, 1000, 5*time.Second)
		through := paced(b, entry, key, body, 1000, 5*time.Second)
		for _, q := range []struct {
			name string
			part int
		}{{"p50", 500}, {"p95", 950}, {"p99", 990}} {
			i := len(direct) * q.part / 1000
			b.ReportMetric(float64(direct[i].Microseconds()), "direct-"+q.name+"-us")
			b.ReportMetric(float64(through[i].Microseconds()), "through-"+q.name+"-us")
		}
	}
}

// BenchmarkThroughput measures the most requests and tokens a second through one
// entry, with all processes and the callers on one machine.
func BenchmarkThroughput(b *testing.B) {
	c, _, entry, key := benchFleet(b, "0s")
	pid, side := c.entries[0].command.Process.Pid, c.sidecars["engine-a"].command.Process.Pid
	for _, tokens := range []int{1, 20, 200} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			body := fmt.Sprintf(`{"model":"m","prompt":"x","max_tokens":%d,"stream":true}`, tokens)
			start, sideStart := usageOf(b, pid).cpu, usageOf(b, side).cpu
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := post(entry, key, body); err != nil {
						b.Error(err)
					}
				}
			})
			rate := float64(b.N) / b.Elapsed().Seconds()
			b.ReportMetric(rate, "req/s")
			b.ReportMetric(rate*float64(tokens), "tokens/s")
			used, sideUsed := usageOf(b, pid).cpu-start, usageOf(b, side).cpu-sideStart
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "entry-us/req")
			b.ReportMetric(float64(sideUsed.Microseconds())/float64(b.N), "sidecar-us/req")
		})
	}
}

// BenchmarkStreams measures the memory of an entry that holds open streams.
func BenchmarkStreams(b *testing.B) {
	c, _, entry, key := benchFleet(b, "1s")
	body := `{"model":"m","prompt":"x","max_tokens":60,"stream":true}`
	pid := c.entries[0].command.Process.Pid
	side := c.sidecars["engine-a"].command.Process.Pid
	for b.Loop() {
		before, sideBefore := usageOf(b, pid).memory, usageOf(b, side).memory
		for _, n := range []int{500, 2000, 5000} {
			open(entry, key, body, n)
			time.Sleep(2 * time.Second)
			b.ReportMetric(float64(usageOf(b, pid).memory-before)/1e6, fmt.Sprintf("entry-MB/%d", n))
			b.ReportMetric(float64(usageOf(b, side).memory-sideBefore)/1e6, fmt.Sprintf("sidecar-MB/%d", n))
		}
	}
	opened = 0
}

var opened int

// open holds streams open until there are n.
func open(entry, key, body string, n int) {
	for ; opened < n; opened++ {
		go func() { _, _ = post(entry, key, body) }()
		if opened%50 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}
