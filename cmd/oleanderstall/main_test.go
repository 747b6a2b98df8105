package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
	"oleanderstall/operator"
)

// waitLimit bounds each wait for a condition of the fleet.
const waitLimit = 30 * time.Second

// binary is the path of the binary that the tests start.
var binary string

func TestMain(m *testing.M) {
	if address := os.Getenv(halfServiceEnv); address != "" {
		panic(serveHalfService(address))
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binary, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oleanderstall")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "oleanderstall")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// readyLine is the log line with which a process reports its addresses once it listens.
type readyLine struct {
	Message   string `json:"message"`
	Listen    string `json:"listen"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Admin     string `json:"admin"`
}

// proc is a process of the binary.
type proc struct {
	t       testing.TB
	command *exec.Cmd
	ready   readyLine
	logs    chan string
}

// launch starts the binary and waits for its ready line.
func launch(t testing.TB, args ...string) *proc {
	t.Helper()
	return launchCommand(t, exec.Command(binary, args...))
}

// launchCommand starts a command and waits for its ready line.
func launchCommand(t testing.TB, command *exec.Cmd) *proc {
	t.Helper()
	p := &proc{t: t, command: command, logs: make(chan string, 1<<14)}
	stdout, err := p.command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.command.Start())
	t.Cleanup(p.kill)
	ready := make(chan readyLine, 1)
	go p.collectLogs(stdout, ready)
	select {
	case p.ready = <-ready:
	case <-time.After(waitLimit):
		t.Fatalf("%v did not become ready", command.Args)
	}
	return p
}

// collectLogs keeps the log lines, as many as fit into the buffer, and delivers the ready
// line.
func (p *proc) collectLogs(r io.Reader, ready chan<- readyLine) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var line readyLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "start: ready" {
			ready <- line
		}
		select {
		case p.logs <- lines.Text():
		default:
		}
	}
}

// kill ends the process. If the test has failed, it prints the process's log.
func (p *proc) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	if !p.t.Failed() {
		return
	}
	for {
		select {
		case line := <-p.logs:
			p.t.Log(line)
		default:
			return
		}
	}
}

func (p *proc) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

const (
	testSecret = "a secret for tests only"
	testToken  = "an operator token for tests"
)

// settingsFile writes a settings file with the common fields and further ones, and returns
// its path.
func settingsFile(t testing.TB, name, platform, fields string) string {
	t.Helper()
	return settingsFileIn(t, "centre-1", name, platform, fields)
}

// settingsFileIn is settingsFile for a process in a given data centre.
func settingsFileIn(t testing.TB, centre, name, platform, fields string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".json")
	text := fmt.Sprintf(`{
  // Written by a test.
  "name": %q, "centre": %q, "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
  "platform": %q, "secret": %q, "lease": "2s", "shards": 4,
  %s
}`, name, centre, platform, testSecret, fields)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// cluster is a fleet of separate processes.
type cluster struct {
	t        testing.TB
	platform *proc
	// backends are the stand-ins of backend servers, by the names of their sidecars.
	backends map[string]*proc
	entries  []*proc
	sidecars map[string]*proc
	// centres are the data centres of sidecars that are not in centre-1.
	centres map[string]string
}

// url returns the base URL of a stand-in.
func (c *cluster) url(p *proc) string { return "http://" + p.ready.Listen }

// startCluster starts the stand-ins, two entries and three sidecars.
func startCluster(t testing.TB) *cluster {
	c := &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	for _, name := range []string{"entry-a", "entry-b"} {
		c.startEntry(name)
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		c.backends[name] = launch(t, "standin", "engine", "--weights", c.url(c.platform))
		c.startSidecar(name, "engine", "models")
	}
	c.backends["orders-a"] = launch(t, "standin", "service")
	c.startSidecar("orders-a", "service", "orders")
	return c
}

// startEntry starts an entry of that name.
func (c *cluster) startEntry(name string) {
	path := settingsFile(c.t, name, c.url(c.platform), fmt.Sprintf(`"role": "entry", "entry": {
    "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "grace": "500ms",
    "accounts": [{"name": "tester", "token": %q}],
  },`, testToken))
	c.entries = append(c.entries, launch(c.t, "entry", "--settings", path))
}

// startSidecar starts the sidecar of the backend server of that name.
func (c *cluster) startSidecar(name, kind, pool string) {
	centre := cmp.Or(c.centres[name], "centre-1")
	path := settingsFileIn(c.t, centre, name, c.url(c.platform), fmt.Sprintf(`"role": "sidecar", "sidecar": {
    "kind": %q, "backend": %q, "pool": %q, "flight": "300ms",
  },`, kind, c.url(c.backends[name]), pool))
	c.sidecars[name] = launch(c.t, "sidecar", "--settings", path)
}

// runOperatorCommand runs an operator's command against the first entry and returns its
// output. If target is not nil, the command must succeed and its output is decoded to it.
func (c *cluster) runOperatorCommand(stdin string, target any, args ...string) string {
	c.t.Helper()
	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(),
		"OLEANDERSTALL_ENTRY=http://"+c.entries[0].ready.Operators, "OLEANDERSTALL_TOKEN="+testToken)
	command.Stdin = strings.NewReader(stdin)
	out, err := command.CombinedOutput()
	if target != nil {
		assert.NilError(c.t, err, "%s", out)
		assert.NilError(c.t, json.Unmarshal(out, target), "%s", out)
	}
	return string(out)
}

// planOutput holds the fields of a printed plan that the tests use.
type planOutput struct {
	ID    string `json:"id"`
	Steps []struct {
		Kind string `json:"kind"`
	} `json:"steps"`
	Confirmed string `json:"confirmed"`
}

// configure sends an intent, confirms its plan and waits until both entries know a holder
// of each of the 4 shards.
func (c *cluster) configure(intent string) {
	c.t.Helper()
	var plan planOutput
	c.runOperatorCommand(intent, &plan, "intent", "-")
	assert.Assert(c.t, len(plan.Steps) > 0)
	c.runOperatorCommand("", &plan, "confirm", plan.ID)
	assert.Assert(c.t, plan.Confirmed != "")
	c.eventually("every shard has a holder", func() bool {
		var state struct {
			Shards []struct {
				Holder string `json:"holder"`
			} `json:"shards"`
		}
		held := 0
		for _, name := range []string{"entry-a", "entry-b"} {
			if json.Unmarshal([]byte(c.runOperatorCommand("", nil, "dump", name)), &state) != nil {
				return false
			}
			for _, s := range state.Shards {
				if s.Holder != "" {
					held++
				}
			}
		}
		return held == 8
	})
}

// grantKey makes a key for a workspace.
func (c *cluster) grantKey(workspace string) operator.GrantedKey {
	c.t.Helper()
	var granted operator.GrantedKey
	c.runOperatorCommand("", &granted, "key", "grant", workspace)
	return granted
}

// eventually waits until holds returns true. It fails the test after waitLimit.
func (c *cluster) eventually(condition string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("timed out waiting until %s", condition)
}

// result is the answer to a caller's request.
type result struct {
	status int
	header http.Header
	body   string
}

// run returns the run field of a refusal.
func (r result) run() string {
	var refusal struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &refusal)
	return refusal.Error.Run
}

// send sends a caller's request to an entry. Header holds names and values in turn.
func (c *cluster) send(entry *proc, key, path, body string, header ...string) result {
	c.t.Helper()
	r, err := c.trySend(entry, key, path, body, header...)
	assert.NilError(c.t, err)
	return r
}

// trySend is like send, but returns an error if the entry stops before its answer is
// complete.
func (c *cluster) trySend(entry *proc, key, path, body string, header ...string) (result, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.ready.Callers+path, bytes.NewBufferString(body))
	if err != nil {
		return result{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(data)}, err
}

// getJSON decodes the JSON at a URL.
func getJSON(t testing.TB, url string, target any) {
	t.Helper()
	res, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	assert.NilError(t, json.NewDecoder(res.Body).Decode(target))
}

// engineCounts returns the counters of an engine stand-in.
func (c *cluster) engineCounts(name string) imitator.EngineCounts {
	var counts imitator.EngineCounts
	getJSON(c.t, c.url(c.backends[name])+"/tally", &counts)
	return counts
}

// orderCounts returns the counters of the order service stand-in.
func (c *cluster) orderCounts() imitator.ServiceCounts {
	var counts imitator.ServiceCounts
	getJSON(c.t, c.url(c.backends["orders-a"])+"/runs", &counts)
	return counts
}

const endToEndIntent = `{
  "workspaces": [
    {"name": "tourism", "rate": 100000, "burst": 100000},
    {"name": "cheques", "rate": 10, "burst": 400}
  ],
  "models": [
    {"name": "drafter", "bytes": "1073741824", "replicas": 1, "workspaces": ["tourism"]},
    {"name": "classifier", "bytes": "1073741824", "replicas": 1, "workspaces": ["cheques"]}
  ],
  "routes": [
    {"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]},
    {"name": "status", "method": "GET", "path": "/status", "pool": "orders", "idempotent": true, "open": true}
  ]
}`

const streamRequest = `{"model": "drafter", "stream": true, "max_tokens": 8, "messages": [{"role": "user", "content": "fold"}]}`

// TestEndToEnd configures a fleet of the built binary and sends requests to it: a model
// call, without a key and with another workspace's key as well, calls beyond a workspace's
// limit, an order sent twice with one idempotency key, and calls with a withdrawn key. The
// two models may be loaded twice in all, and back ends must not see callers' keys.
func TestEndToEnd(t *testing.T) {
	c := startCluster(t)
	entryA, entryB := c.entries[0], c.entries[1]
	c.configure(endToEndIntent)
	tourism, cheques := c.grantKey("tourism"), c.grantKey("cheques")

	var answer result
	c.eventually("the first request is served", func() bool {
		answer = c.send(entryA, tourism.Key, "/v1/chat/completions", streamRequest)
		return answer.status == http.StatusOK
	})
	assert.Equal(t, answer.header.Get("Content-Type"), "text/event-stream")
	assert.Assert(t, strings.HasSuffix(answer.body, "data: [DONE]\n\n"), answer.body)
	assert.Equal(t, strings.Count(answer.body, `"content":"w`), 8, answer.body)

	unauthorized := c.send(entryA, "", "/v1/chat/completions", streamRequest)
	assert.Equal(t, unauthorized.status, http.StatusUnauthorized)
	assert.Equal(t, unauthorized.run(), "never")
	notFound := c.send(entryA, cheques.Key, "/v1/chat/completions", streamRequest)
	assert.Equal(t, notFound.status, http.StatusNotFound)

	c.useUpLimit(entryA, entryB, cheques.Key)
	c.sendOrderTwice(entryA, entryB, tourism.Key)

	loads := c.engineCounts("engine-a").Loads + c.engineCounts("engine-b").Loads
	assert.Assert(t, loads <= 2, "one replica of each of two models, %d loads", loads)
	assert.Equal(t, c.engineCounts("engine-a").CallerKeys+c.engineCounts("engine-b").CallerKeys+c.orderCounts().CallerKeys, 0)
	c.withdrawKey(entryA, entryB, tourism)
}

// useUpLimit sends requests through both entries until the workspace's limit refuses one.
func (c *cluster) useUpLimit(a, b *proc, key string) {
	c.t.Helper()
	body := `{"model": "classifier", "max_tokens": 100, "prompt": "void?"}`
	var limited result
	for i := range 20 {
		entry := []*proc{a, b}[i%2]
		limited = c.send(entry, key, "/v1/completions", body)
		if limited.status == http.StatusTooManyRequests {
			break
		}
	}
	assert.Equal(c.t, limited.status, http.StatusTooManyRequests, limited.body)
	assert.Assert(c.t, limited.header.Get("Retry-After") != "")
	assert.Equal(c.t, limited.run(), "never")
}

// sendOrderTwice sends one order through both entries with the same idempotency key. It
// must run once and be answered twice. Another order with that key must be refused.
func (c *cluster) sendOrderTwice(a, b *proc, key string) {
	c.t.Helper()
	var first result
	c.eventually("the order is placed", func() bool {
		first = c.send(a, key, "/orders", "500 maps", "Idempotency-Key", "k1")
		return first.status == http.StatusCreated
	})
	second := c.send(b, key, "/orders", "500 maps", "Idempotency-Key", "k1")
	assert.Equal(c.t, second.status, http.StatusCreated, second.body)
	assert.Equal(c.t, first.body, second.body)
	assert.Equal(c.t, c.orderCounts().Runs["500 maps"], 1)
	conflicting := c.send(b, key, "/orders", "900 maps", "Idempotency-Key", "k1")
	assert.Equal(c.t, conflicting.status, http.StatusConflict)
}

// withdrawKey withdraws a key. Both entries must refuse it as soon as that is answered.
func (c *cluster) withdrawKey(a, b *proc, key operator.GrantedKey) {
	c.t.Helper()
	var rollout operator.Rollout
	c.runOperatorCommand("", &rollout, "key", "withdraw", key.ID)
	assert.Equal(c.t, len(rollout.Pending), 0)
	for _, entry := range []*proc{a, b} {
		res := c.send(entry, key.Key, "/v1/chat/completions", streamRequest)
		assert.Equal(c.t, res.status, http.StatusUnauthorized)
	}
}
