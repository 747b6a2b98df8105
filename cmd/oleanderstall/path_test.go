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

// startBenchFleet starts an entry, an engine stand-in with a time between two tokens, and
// its sidecar. It returns the URLs of the engine and of the entry, and a caller's key.
func startBenchFleet(b *testing.B, token string) (c *cluster, engine, entry, key string) {
	c = &cluster{t: b, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(b, "standin", "platform")
	c.startEntry("entry-a")
	c.backends["engine-a"] = launch(b, "standin", "engine", "--token", token)
	c.startEngineSidecar("engine-a", `"concurrency": 6000, "queue": 6000,`)
	var plan planOutput
	c.runOperatorCommand(benchIntent, &plan, "intent", "-")
	c.runOperatorCommand("", &plan, "confirm", plan.ID)
	key = c.grantKey("bench").Key
	c.eventually("the model is loaded", func() bool {
		return c.send(c.entries[0], key, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":1}`).status == http.StatusOK
	})
	return c, c.url(c.backends["engine-a"]), "http://" + c.entries[0].ready.Callers, key
}

// startEngineSidecar starts the sidecar of an engine with further settings.
func (c *cluster) startEngineSidecar(name, fields string) {
	path := settingsFile(c.t, name, c.url(c.platform), fmt.Sprintf(`"role": "sidecar", "sidecar": {
    "kind": "engine", "backend": %q, "pool": "models", "flight": "300ms", %s
  },`, c.url(c.backends[name]), fields))
	c.sidecars[name] = launch(c.t, "sidecar", "--settings", path)
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// post sends one completion request, reads the whole answer and returns its length.
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

// sendAtRate sends requests at a fixed rate per second, without waiting for answers. It
// returns the latencies, counted from the scheduled times, in ascending order.
func sendAtRate(b *testing.B, url, key, body string, rate int, duration time.Duration) []time.Duration {
	n := int(duration.Seconds() * float64(rate))
	latencies := make([]time.Duration, n)
	var wg sync.WaitGroup
	var failed atomic.Int64
	start := time.Now()
	for i := range n {
		sendTime := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(sendTime))
		wg.Go(func() {
			if _, err := post(url, key, body); err != nil {
				failed.Add(1)
			}
			latencies[i] = time.Since(sendTime)
		})
	}
	wg.Wait()
	assert.Equal(b, failed.Load(), int64(0))
	slices.Sort(latencies)
	return latencies
}

// BenchmarkLatency compares direct calls of the engine stand-in with calls through an
// entry and a sidecar, at 1,000 requests per second.
func BenchmarkLatency(b *testing.B) {
	_, engine, entry, key := startBenchFleet(b, "0s")
	body := `{"model":"m","prompt":"x","max_tokens":1}`
	for b.Loop() {
		sendAtRate(b, entry, key, body, 1000, 2*time.Second)
		direct := sendAtRate(b, engine, "", body, 1000, 5*time.Second)
		through := sendAtRate(b, entry, key, body, 1000, 5*time.Second)
		for _, q := range []struct {
			name     string
			perMille int
		}{{"p50", 500}, {"p95", 950}, {"p99", 990}} {
			i := len(direct) * q.perMille / 1000
			b.ReportMetric(float64(direct[i].Microseconds()), "direct-"+q.name+"-us")
			b.ReportMetric(float64(through[i].Microseconds()), "through-"+q.name+"-us")
		}
	}
}

// BenchmarkThroughput measures the highest number of requests and tokens per second
// through one entry, with all processes and the callers on one machine.
func BenchmarkThroughput(b *testing.B) {
	c, _, entry, key := startBenchFleet(b, "0s")
	entryPID, sidecarPID := c.entries[0].command.Process.Pid, c.sidecars["engine-a"].command.Process.Pid
	for _, tokens := range []int{1, 20, 200} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			body := fmt.Sprintf(`{"model":"m","prompt":"x","max_tokens":%d,"stream":true}`, tokens)
			entryStart, sidecarStart := usageOf(b, entryPID).cpu, usageOf(b, sidecarPID).cpu
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
			entryUsed, sidecarUsed := usageOf(b, entryPID).cpu-entryStart, usageOf(b, sidecarPID).cpu-sidecarStart
			b.ReportMetric(float64(entryUsed.Microseconds())/float64(b.N), "entry-us/req")
			b.ReportMetric(float64(sidecarUsed.Microseconds())/float64(b.N), "sidecar-us/req")
		})
	}
}

// BenchmarkStreams measures the memory of an entry that holds open streams.
func BenchmarkStreams(b *testing.B) {
	c, _, entry, key := startBenchFleet(b, "1s")
	body := `{"model":"m","prompt":"x","max_tokens":60,"stream":true}`
	entryPID := c.entries[0].command.Process.Pid
	sidecarPID := c.sidecars["engine-a"].command.Process.Pid
	for b.Loop() {
		entryBefore, sidecarBefore := usageOf(b, entryPID).memory, usageOf(b, sidecarPID).memory
		for _, n := range []int{500, 2000, 5000} {
			openStreams(entry, key, body, n)
			time.Sleep(2 * time.Second)
			b.ReportMetric(float64(usageOf(b, entryPID).memory-entryBefore)/1e6, fmt.Sprintf("entry-MB/%d", n))
			b.ReportMetric(float64(usageOf(b, sidecarPID).memory-sidecarBefore)/1e6, fmt.Sprintf("sidecar-MB/%d", n))
		}
	}
	openCount = 0
}

// openCount is the number of streams that openStreams has opened.
var openCount int

// openStreams opens streams until there are n.
func openStreams(entry, key, body string, n int) {
	for ; openCount < n; openCount++ {
		go func() { _, _ = post(entry, key, body) }()
		if openCount%50 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}
