package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

const failureIntent = `{
  "workspaces": [{"name": "tourism", "rate": 100000, "burst": 1000000}],
  "models": [{"name": "drafter", "bytes": "1048576", "replicas": 2, "workspaces": ["tourism"]}],
  "routes": [{"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]}]
}`

const (
	longPrompt = "fold the map of Ghent"
	longTokens = 120
)

// long is a request whose answer takes a few seconds.
var long = fmt.Sprintf(`{"model":"drafter","prompt":%q,"max_tokens":%d}`, longPrompt, longTokens)

// expected is the whole answer to long.
func expected() string {
	var text strings.Builder
	prompt, _ := json.Marshal(longPrompt)
	for i := range longTokens {
		text.WriteString(imitator.Word("drafter", prompt, nil, i))
	}
	return text.String()
}

// answerOf returns the text of a whole answer.
func answerOf(t *testing.T, r result) string {
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

// failureCluster starts a fleet whose engines take 20 ms for a token and whose
// model has a replica on both.
func failureCluster(t *testing.T) (c *cluster, key string) {
	c = &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	for _, name := range []string{"engine-a", "engine-b"} {
		c.backends[name] = launch(t, "standin", "engine", "--token", "20ms")
		c.startWith(name, `"concurrency": 1, "queue": 1,`)
	}
	c.backends["orders-a"] = launch(t, "standin", "service")
	c.startSidecar("orders-a", "service", "orders")
	c.setUp(failureIntent)
	key = c.grant("tourism").Key
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
		return c.tally("engine-a").Loads > 0 && c.tally("engine-b").Loads > 0
	})
	c.eventually("every shard has a candidate", c.candidates)
	return c, key
}

// candidates reports whether another entry may take over each shard.
func (c *cluster) candidates() bool {
	for _, name := range []string{"entry-a", "entry-b"} {
		var state struct {
			Shards []struct {
				Held       bool     `json:"held"`
				Candidates []string `json:"candidates"`
			} `json:"shards"`
		}
		if json.Unmarshal([]byte(c.operate("", nil, "dump", name)), &state) != nil {
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

// background sends long through an entry and delivers the result.
func (c *cluster) background(entry *proc, key string) <-chan result {
	res := make(chan result, 1)
	go func() { res <- c.send(entry, key, "/v1/completions", long) }()
	return res
}

// serving waits until an engine runs a request and returns its name.
func (c *cluster) serving(before map[string]int) string {
	name := ""
	c.eventually("an engine serves", func() bool {
		for _, e := range []string{"engine-a", "engine-b"} {
			if c.tally(e).Runs > before[e] {
				name = e
			}
		}
		return name != ""
	})
	time.Sleep(500 * time.Millisecond)
	return name
}

func (c *cluster) runs() map[string]int {
	return map[string]int{"engine-a": c.tally("engine-a").Runs, "engine-b": c.tally("engine-b").Runs}
}

// TestKilledSidecarMidStream kills the sidecar that serves a request. The answer
// goes on at the other replica and is whole.
func TestKilledSidecarMidStream(t *testing.T) {
	t.Parallel()
	c, key := failureCluster(t)
	before := c.runs()
	res := c.background(c.entries[0], key)
	c.sidecars[c.serving(before)].signal(syscall.SIGKILL)
	assert.Equal(t, answerOf(t, <-res), expected())
}

// TestPlannedStops stops a sidecar and then an entry, each with a request in
// hand. No request is cut, and the processes end by themselves.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	c, key := failureCluster(t)
	before := c.runs()
	res := c.background(c.entries[0], key)
	stopped := c.serving(before)
	c.sidecars[stopped].signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	other := c.background(c.entries[1], key)
	assert.Equal(t, answerOf(t, <-res), expected())
	assert.Equal(t, answerOf(t, <-other), expected())
	assert.Equal(t, c.tally(stopped).Runs, before[stopped]+1)
	assert.NilError(t, c.sidecars[stopped].command.Wait())

	res = c.background(c.entries[1], key)
	time.Sleep(time.Second)
	c.entries[1].signal(syscall.SIGTERM)
	assert.Equal(t, answerOf(t, <-res), expected())
	assert.NilError(t, c.entries[1].command.Wait())
	answerOf(t, c.send(c.entries[0], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":5}`))
}

// TestPlatformOutage takes the platform's table away for longer than a lease and
// the bound of freshness. Loaded models go on; an order with an idempotency key
// is refused, truthfully, one without goes through.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c, key := failureCluster(t)
	c.fault(c.platform, imitator.Fault{Down: true})
	for range 12 {
		time.Sleep(500 * time.Millisecond)
		for _, e := range c.entries {
			answerOf(t, c.send(e, key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`))
		}
	}
	refused := c.send(c.entries[0], key, "/orders", "keyed", "Idempotency-Key", "k")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Equal(t, refused.run(), "never")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Equal(t, c.send(c.entries[0], key, "/orders", "plain").status, http.StatusCreated)
	c.fault(c.platform, imitator.Fault{})
	c.eventually("orders with a key are placed again", func() bool {
		return c.send(c.entries[0], key, "/orders", "keyed", "Idempotency-Key", "k").status == http.StatusCreated
	})
	assert.Equal(t, c.orders().Runs["keyed"], 1)
	assert.Equal(t, c.orders().Runs["plain"], 1)
}

// TestFrozenEntry freezes one entry past its leases. The other takes its shards,
// and after waking it serves again without the withdrawn key.
func TestFrozenEntry(t *testing.T) {
	t.Parallel()
	c, key := failureCluster(t)
	other := c.grant("tourism")
	c.entries[1].signal(syscall.SIGSTOP)
	c.operate("", nil, "key", "withdraw", other.ID)
	c.eventually("the other entry holds every shard", func() bool {
		var state struct {
			Shards []struct {
				Held bool `json:"held"`
			} `json:"shards"`
		}
		_ = json.Unmarshal([]byte(c.operate("", nil, "dump", "entry-a")), &state)
		for _, s := range state.Shards {
			if !s.Held {
				return false
			}
		}
		return len(state.Shards) > 0
	})
	answerOf(t, c.send(c.entries[0], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`))
	c.entries[1].signal(syscall.SIGCONT)
	res := c.send(c.entries[1], other.Key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`)
	assert.Assert(t, res.status != http.StatusOK, res.body)
	assert.Equal(t, res.run(), "never")
	c.eventually("the woken entry serves", func() bool {
		return c.send(c.entries[1], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`).status == http.StatusOK
	})
}

// fault sets the fault switches of a stand-in.
func (c *cluster) fault(p *proc, f imitator.Fault) {
	c.t.Helper()
	data, err := json.Marshal(f)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, c.url(p)+"/faults", strings.NewReader(string(data)))
	assert.NilError(c.t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	_ = res.Body.Close()
}

// TestNoticeFromListAlone lets the platform name an instance as leaving, with a
// request in hand there. The process drains by itself, gets no new work, and ends.
func TestNoticeFromListAlone(t *testing.T) {
	t.Parallel()
	c, key := failureCluster(t)
	before := c.runs()
	res := c.background(c.entries[0], key)
	leaving := c.serving(before)
	c.markLeaving(leaving)
	assert.Equal(t, answerOf(t, <-res), expected())
	assert.NilError(t, c.sidecars[leaving].command.Wait())
	served := c.tally(leaving).Runs
	for range 5 {
		answerOf(t, c.send(c.entries[1], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":1}`))
	}
	assert.Equal(t, c.tally(leaving).Runs, served)
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
