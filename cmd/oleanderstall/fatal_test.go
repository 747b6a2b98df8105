package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// engineRestartTime is the time from the crash of an engine to its next start.
const engineRestartTime = 400 * time.Millisecond

// fatalText is the message on which the engines crash.
const fatalText = "fold the sky"

// crashingEngine is an engine that crashes on each request with fatalText and starts again
// empty.
type crashingEngine struct {
	server *imitator.Restartable
	// fatalRuns counts the requests with fatalText that have arrived.
	fatalRuns atomic.Int32
}

// newCrashingEngine starts an engine that is stopped at the end of the test.
func newCrashingEngine(t testing.TB) *crashingEngine {
	e := &crashingEngine{}
	server, err := imitator.NewRestartable(engineRestartTime, e.newHandler)
	assert.NilError(t, err)
	e.server = server
	t.Cleanup(server.Stop)
	return e
}

// newHandler returns the handler of an empty engine.
func (e *crashingEngine) newHandler() http.Handler {
	engine := imitator.NewEngine(imitator.EngineOptions{Capacity: 1 << 30, TokenInterval: 2 * time.Millisecond})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.Contains(string(body), fatalText) {
			e.fatalRuns.Add(1)
			e.server.Crash()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		engine.ServeHTTP(w, r)
	})
}

// sendMessages sends a chat with messages and one of its own to an entry.
func (c *cluster) sendMessages(entry *proc, key string, i int, messages ...string) result {
	c.t.Helper()
	var list []string
	for _, text := range append(messages, fmt.Sprint("request ", i)) {
		list = append(list, fmt.Sprintf(`{"role": "user", "content": %q}`, text))
	}
	body := fmt.Sprintf(`{"model": "drafter", "stream": true, "max_tokens": 4, "messages": [%s]}`, strings.Join(list, ","))
	return c.send(entry, key, "/v1/chat/completions", body)
}

// maxFatalRuns bounds the requests that reach engines: up to the third crash at a separate
// moment, each of them and two retries.
const maxFatalRuns = 9

// TestFatalMessageAtAllEntries guards against engines that crash one after the other because
// entries, as separate processes, do not tell each other what engines crash on. Requests
// that share the first message have to go on, and an entry that starts later has to learn
// it.
func TestFatalMessageAtAllEntries(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	var engines []*crashingEngine
	for _, name := range []string{"engine-a", "engine-b", "engine-c", "engine-d"} {
		e := newCrashingEngine(t)
		engines = append(engines, e)
		c.backends[name] = &proc{t: t, ready: readyLine{Listen: e.server.Address()}}
		c.startEngineSidecar(name, "")
	}
	c.configure(`{
  "workspaces": [{"name": "tourism", "rate": 100000, "burst": 1000000}],
  "models": [{"name": "drafter", "bytes": "1048576", "replicas": 4, "workspaces": ["tourism"]}]
}`)
	key := c.grantKey("tourism").Key
	c.eventually("the first request is served", func() bool {
		return c.sendMessages(c.entries[0], key, 0, "shared").status == http.StatusOK
	})

	served, quarantined := 0, 0
	for i := range 24 {
		bad := c.sendMessages(c.entries[i%2], key, i, "shared", fatalText)
		if bad.status == http.StatusServiceUnavailable && strings.Contains(bad.body, "quarantined") {
			// The quarantine may have started between two attempts of the first one.
			assert.Assert(t, quarantined == 0 || bad.run() == "never", bad.body)
			quarantined++
		}
		time.Sleep(150 * time.Millisecond)
		if c.sendMessages(c.entries[(i+1)%2], key, 100+i, "shared").status == http.StatusOK {
			served++
		}
	}
	runs := 0
	for _, e := range engines {
		runs += int(e.fatalRuns.Load())
	}
	t.Logf("%d requests with the fatal message reached engines, %d were quarantined, %d sound ones were served", runs, quarantined, served)
	assert.Assert(t, runs <= maxFatalRuns, "%d requests with the fatal message reached engines", runs)
	assert.Assert(t, quarantined >= 16, "%d of 24 were quarantined", quarantined)
	assert.Assert(t, served >= 18, "%d of 24 sound requests were served", served)

	c.startEntry("entry-c")
	time.Sleep(listDelay)
	late := c.sendMessages(c.entries[2], key, 200, "shared", fatalText)
	assert.Assert(t, strings.Contains(late.body, "quarantined"), "%d %s", late.status, late.body)
	assert.Equal(t, late.run(), "never")

	// The store keeps the records while no entry runs.
	for _, e := range c.entries {
		e.kill()
	}
	c.startEntry("entry-d")
	c.eventually("the quarantine is in force after all entries were killed", func() bool {
		return strings.Contains(getBody(t, "http://"+c.entries[3].ready.Admin+"/metrics"), "oleanderstall_quarantine_age_seconds{")
	})
}

// getBody returns the body of the answer to a GET request, or an empty text if there is none.
func getBody(t *testing.T, url string) string {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return string(body)
}
