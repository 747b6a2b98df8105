package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

const replicatedIntent = `{
  "workspaces": [{"name": "tourism", "rate": 100000, "burst": 1000000}],
  "models": [{"name": "drafter", "bytes": "1048576", "replicas": 2, "workspaces": ["tourism"]}],
  "routes": [{"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]}]
}`

const (
	longPrompt = "fold the map of Ghent"
	longTokens = 120
)

// longRequest is a request whose answer takes a few seconds.
var longRequest = fmt.Sprintf(`{"model":"drafter","prompt":%q,"max_tokens":%d}`, longPrompt, longTokens)

// expectedAnswer returns the text of the complete answer to longRequest.
func expectedAnswer() string {
	var text strings.Builder
	prompt, _ := json.Marshal(longPrompt)
	for i := range longTokens {
		text.WriteString(imitator.TokenText("drafter", prompt, nil, i))
	}
	return text.String()
}

// answerText returns the text of an answer, which must have succeeded.
func answerText(t *testing.T, r result) string {
	t.Helper()
	var d struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.NilError(t, json.Unmarshal([]byte(r.body), &d))
	return d.Choices[0].Text
}

// startReplicatedCluster starts a fleet with two entries, an order service and two
// engines that take 20 ms for a token. It waits until the model has a replica on both
// engines and every shard has a candidate.
func startReplicatedCluster(t *testing.T) (c *cluster, key string) {
	c = &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	for _, name := range []string{"engine-a", "engine-b"} {
		c.backends[name] = launch(t, "standin", "engine", "--token", "20ms")
		c.startEngineSidecar(name, `"concurrency": 1, "queue": 1,`)
	}
	c.backends["orders-a"] = launch(t, "standin", "service")
	c.startSidecar("orders-a", "service", "orders")
	c.configure(replicatedIntent)
	key = c.grantKey("tourism").Key
	c.eventually("both engines have a replica", func() bool {
		done := make(chan bool)
		for range 6 {
			go func() {
				res := c.send(c.entries[0], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":5}`)
				done <- res.status == http.StatusOK
			}()
		}
		for range 6 {
			<-done
		}
		return c.engineCounts("engine-a").Loads > 0 && c.engineCounts("engine-b").Loads > 0
	})
	c.eventually("every shard has a candidate", c.everyShardHasCandidate)
	return c, key
}

// everyShardHasCandidate reports whether for each held shard another entry may take over.
func (c *cluster) everyShardHasCandidate() bool {
	for _, name := range []string{"entry-a", "entry-b"} {
		var state struct {
			Shards []struct {
				Held       bool     `json:"held"`
				Candidates []string `json:"candidates"`
			} `json:"shards"`
		}
		if json.Unmarshal([]byte(c.runOperatorCommand("", nil, "dump", name)), &state) != nil {
			return false
		}
		for _, s := range state.Shards {
			if s.Held && len(s.Candidates) == 0 {
				return false
			}
		}
	}
	return true
}

// sendLongRequest sends longRequest through an entry in the background and delivers the
// result.
func (c *cluster) sendLongRequest(entry *proc, key string) <-chan result {
	res := make(chan result, 1)
	go func() { res <- c.send(entry, key, "/v1/completions", longRequest) }()
	return res
}

// waitForServingEngine waits until an engine has run more requests than before and
// returns its name, half a second later so that part of the answer has been sent.
func (c *cluster) waitForServingEngine(before map[string]int) string {
	name := ""
	c.eventually("an engine serves", func() bool {
		for _, e := range []string{"engine-a", "engine-b"} {
			if c.engineCounts(e).Runs > before[e] {
				name = e
			}
		}
		return name != ""
	})
	time.Sleep(500 * time.Millisecond)
	return name
}

// engineRuns returns the number of requests that each engine has run.
func (c *cluster) engineRuns() map[string]int {
	return map[string]int{"engine-a": c.engineCounts("engine-a").Runs, "engine-b": c.engineCounts("engine-b").Runs}
}

// TestKilledSidecarMidStream kills the sidecar that serves a request. The answer must be
// resumed at the other replica and be complete.
func TestKilledSidecarMidStream(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	before := c.engineRuns()
	res := c.sendLongRequest(c.entries[0], key)
	c.sidecars[c.waitForServingEngine(before)].signal(syscall.SIGKILL)
	assert.Equal(t, answerText(t, <-res), expectedAnswer())
}

// TestGracefulStops stops a sidecar and then an entry with SIGTERM, each with a request
// in flight. No request may be cut off, and the processes must exit.
func TestGracefulStops(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	before := c.engineRuns()
	res := c.sendLongRequest(c.entries[0], key)
	stopped := c.waitForServingEngine(before)
	c.sidecars[stopped].signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	other := c.sendLongRequest(c.entries[1], key)
	assert.Equal(t, answerText(t, <-res), expectedAnswer())
	assert.Equal(t, answerText(t, <-other), expectedAnswer())
	assert.Equal(t, c.engineCounts(stopped).Runs, before[stopped]+1)
	assert.NilError(t, c.sidecars[stopped].command.Wait())

	res = c.sendLongRequest(c.entries[1], key)
	time.Sleep(time.Second)
	c.entries[1].signal(syscall.SIGTERM)
	assert.Equal(t, answerText(t, <-res), expectedAnswer())
	assert.NilError(t, c.entries[1].command.Wait())
	answerText(t, c.send(c.entries[0], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":5}`))
}

// TestOrdersLateInStop guards against orders that a stopping entry takes late, passes on, and cuts without
// an answer when it ends.
func TestOrdersLateInStop(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	assert.Equal(t, c.send(c.entries[0], key, "/orders", "first").status, http.StatusCreated)
	c.setFaults(c.backends["orders-a"], imitator.Fault{DelayMS: 2000})
	c.entries[0].signal(syscall.SIGTERM)
	outcomes := make(chan string)
	sent := 0
	for ; sent < 40; sent++ {
		body := fmt.Sprint("late ", sent)
		go func() {
			r, err := c.trySend(c.entries[0], key, "/orders", body)
			switch {
			case err != nil && !errors.Is(err, syscall.ECONNREFUSED):
				outcomes <- body + ": " + err.Error()
			case err == nil && r.status != http.StatusCreated && r.run() != "never":
				outcomes <- fmt.Sprintf("%s: %d %s", body, r.status, r.body)
			default:
				outcomes <- ""
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	for range sent {
		wrong := <-outcomes
		assert.Check(t, wrong == "", wrong)
	}
	assert.NilError(t, c.entries[0].command.Wait())
	assert.Check(t, len(c.orderCounts().Runs) > 1)
}

// TestPlatformOutage makes the platform fail for longer than a lease and than the maximum
// age of the configuration. Loaded models must be served. An order with an idempotency
// key must be refused as not run, and one without must be placed.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	c.setFaults(c.platform, imitator.Fault{Down: true})
	for range 12 {
		time.Sleep(500 * time.Millisecond)
		for _, e := range c.entries {
			answerText(t, c.send(e, key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`))
		}
	}
	refused := c.send(c.entries[0], key, "/orders", "keyed", "Idempotency-Key", "k")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Equal(t, refused.run(), "never")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Equal(t, c.send(c.entries[0], key, "/orders", "plain").status, http.StatusCreated)
	c.setFaults(c.platform, imitator.Fault{})
	c.eventually("orders with a key are placed again", func() bool {
		return c.send(c.entries[0], key, "/orders", "keyed", "Idempotency-Key", "k").status == http.StatusCreated
	})
	assert.Equal(t, c.orderCounts().Runs["keyed"], 1)
	assert.Equal(t, c.orderCounts().Runs["plain"], 1)
}

// TestSuspendedEntry suspends one entry until its leases have expired and the other entry
// has taken its shards. After it continues, it must refuse the key that was withdrawn
// meanwhile and serve other requests again.
func TestSuspendedEntry(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	other := c.grantKey("tourism")
	c.entries[1].signal(syscall.SIGSTOP)
	c.runOperatorCommand("", nil, "key", "withdraw", other.ID)
	c.eventually("the other entry holds every shard", func() bool {
		var state struct {
			Shards []struct {
				Held bool `json:"held"`
			} `json:"shards"`
		}
		_ = json.Unmarshal([]byte(c.runOperatorCommand("", nil, "dump", "entry-a")), &state)
		for _, s := range state.Shards {
			if !s.Held {
				return false
			}
		}
		return len(state.Shards) > 0
	})
	answerText(t, c.send(c.entries[0], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`))
	c.entries[1].signal(syscall.SIGCONT)
	res := c.send(c.entries[1], other.Key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`)
	assert.Assert(t, res.status != http.StatusOK, res.body)
	assert.Equal(t, res.run(), "never")
	c.eventually("the continued entry serves", func() bool {
		return c.send(c.entries[1], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`).status == http.StatusOK
	})
}

// setFaults sets the faults that a stand-in injects.
func (c *cluster) setFaults(p *proc, f imitator.Fault) {
	c.t.Helper()
	data, err := json.Marshal(f)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, c.url(p)+"/faults", strings.NewReader(string(data)))
	assert.NilError(c.t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	_ = res.Body.Close()
}

// TestLeavingFlagInList marks an instance as leaving in the platform's list only, while it
// serves a request. The process must drain without a signal, get no new work and exit.
func TestLeavingFlagInList(t *testing.T) {
	t.Parallel()
	c, key := startReplicatedCluster(t)
	before := c.engineRuns()
	res := c.sendLongRequest(c.entries[0], key)
	leaving := c.waitForServingEngine(before)
	c.markLeaving(leaving)
	assert.Equal(t, answerText(t, <-res), expectedAnswer())
	assert.NilError(t, c.sidecars[leaving].command.Wait())
	served := c.engineCounts(leaving).Runs
	for range 5 {
		answerText(t, c.send(c.entries[1], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`))
	}
	assert.Equal(t, c.engineCounts(leaving).Runs, served)
}

// markLeaving sets the leaving flag of an instance in the platform's list.
func (c *cluster) markLeaving(name string) {
	c.t.Helper()
	p := imitator.NewClient(c.url(c.platform))
	list, _, err := p.Instances(c.t.Context(), "")
	assert.NilError(c.t, err)
	for _, in := range list {
		if in.Name == name {
			in.Leaving = true
			assert.NilError(c.t, p.Register(c.t.Context(), in))
		}
	}
}
