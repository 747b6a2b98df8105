package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/imitator"
)

// streamed is what a caller has received of a stream.
type streamed struct {
	status int
	text   string
	// refused is set by an error event, and ended by [DONE].
	refused bool
	ended   bool
	// readErr is the error of reading the body, or nil if it ended properly.
	readErr error
}

// readStream sends longRequest as a stream and reads its answer.
func (c *cluster) readStream(entry *proc, key string) streamed {
	body := strings.Replace(longRequest, "{", `{"stream":true,`, 1)
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.ready.Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return streamed{readErr: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return streamed{readErr: err}
	}
	defer func() { _ = res.Body.Close() }()
	s := streamed{status: res.StatusCode}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		s.addLine(lines.Text())
	}
	s.readErr = lines.Err()
	return s
}

// addLine adds a line of the stream.
func (s *streamed) addLine(line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	var event struct {
		Error   json.RawMessage `json:"error"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	s.ended = s.ended || data == "[DONE]"
	_ = json.Unmarshal([]byte(data), &event)
	s.refused = s.refused || event.Error != nil
	for _, choice := range event.Choices {
		s.text += choice.Text
	}
}

// check checks that a stream either is the whole answer to longRequest, or has a beginning of
// it and does not look complete. It reports whether it is whole.
func (s *streamed) check(t *testing.T) bool {
	t.Helper()
	if s.status != 0 && s.status != http.StatusOK {
		return false
	}
	assert.Assert(t, strings.HasPrefix(expectedAnswer(), s.text), s.text)
	whole := s.text == expectedAnswer() && s.ended && !s.refused
	assert.Equal(t, s.readErr == nil, whole, "%v", s.readErr)
	assert.Equal(t, s.ended, whole)
	return whole
}

// TestStreamsOfKilledProcesses guards against streams that end as complete before their last
// token, or have tokens missing, twice or of another run: engines, sidecars and an entry are
// killed or stopped, and the caller's key is withdrawn, in the middle of streams.
func TestStreamsOfKilledProcesses(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		kill  func(c *cluster, serving, key string)
		whole bool
		// refused is set if a stream that is not whole has an error event.
		refused bool
	}{
		{name: "engine", kill: func(c *cluster, serving, _ string) { c.backends[serving].signal(syscall.SIGKILL) }, whole: true},
		{name: "sidecar", kill: func(c *cluster, serving, _ string) { c.sidecars[serving].signal(syscall.SIGKILL) }, whole: true},
		{name: "all engines", refused: true, kill: func(c *cluster, _, _ string) {
			c.backends["engine-a"].signal(syscall.SIGKILL)
			c.backends["engine-b"].signal(syscall.SIGKILL)
		}},
		{name: "engine and sidecar", refused: true, kill: func(c *cluster, _, _ string) {
			c.backends["engine-a"].signal(syscall.SIGKILL)
			c.sidecars["engine-b"].signal(syscall.SIGKILL)
		}},
		{name: "key withdrawn", refused: true, kill: func(c *cluster, _, key string) {
			id, _, _ := strings.Cut(key, ".")
			c.runOperatorCommand("", nil, "key", "withdraw", id)
		}},
		{name: "entry stops", kill: func(c *cluster, _, _ string) { c.entries[0].signal(syscall.SIGTERM) }, whole: true},
		{name: "sidecar stops", kill: func(c *cluster, serving, _ string) { c.sidecars[serving].signal(syscall.SIGTERM) }, whole: true},
		{name: "entry", kill: func(c *cluster, _, _ string) { c.entries[0].signal(syscall.SIGKILL) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, key := startReplicatedCluster(t)
			before := c.engineRuns()
			answers := make(chan streamed, 2)
			for range 2 {
				go func() { answers <- c.readStream(c.entries[0], key) }()
			}
			tt.kill(c, c.waitForServingEngine(before), key)
			for range 2 {
				s := <-answers
				whole := s.check(t)
				assert.Equal(t, whole, tt.whole, "%+v", s)
				assert.Equal(t, s.refused, tt.refused && s.text != "", "%+v", s)
			}
		})
	}
}

// halfServiceEnv is set in the environment of a process that serves halfService.
const halfServiceEnv = "OLEANDERSTALL_TEST_HALF_SERVICE"

// Halves of the answer of halfService.
const (
	firstHalf  = "the first half"
	secondHalf = " and the second"
)

// serveHalfService is a plain service at an address whose answers have neither a length nor
// chunks, unless the call asks for a length. In the middle of an answer, or before it, it kills
// its process if the call asks for that.
func serveHalfService(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("{\"message\":\"start: ready\",\"listen\":%q}\n", l.Addr().String())
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		answerInHalves(out, string(body))
	}))
}

// answerInHalves writes the answer of halfService to a call with a body.
func answerInHalves(out *bufio.ReadWriter, body string) {
	if strings.HasPrefix(body, "kill early") {
		killSelf()
	}
	_, _ = out.WriteString("HTTP/1.1 201 Created\r\n")
	if strings.Contains(body, "length") {
		_, _ = fmt.Fprintf(out, "Content-Length: %d\r\n", len(firstHalf+secondHalf))
	}
	_, _ = out.WriteString("\r\n" + firstHalf)
	_ = out.Flush()
	if strings.HasPrefix(body, "kill") {
		killSelf()
	}
	_, _ = out.WriteString(secondHalf)
	_ = out.Flush()
}

// killSelf kills this process.
func killSelf() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// TestKilledServiceMidAnswer guards against half an answer that is passed on as a whole one,
// since the service's process was killed while it sent a body that ends with its connection.
// The caller must learn that the call may have run, also when it sends it again with its key.
func TestKilledServiceMidAnswer(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	c.backends["orders-a"] = launchHalfService(t, "127.0.0.1:0")
	c.startSidecar("orders-a", "service", "orders")
	c.configure(orderIntent)
	key := c.grantKey("tourism").Key
	placed := func() bool {
		r := c.send(c.entries[0], key, "/orders", "place")
		return r.status == http.StatusCreated && r.body == firstHalf+secondHalf
	}
	c.eventually("an order is placed", placed)
	assert.Equal(t, c.send(c.entries[0], key, "/orders", "place with length").body, firstHalf+secondHalf)
	// Calls are told apart, since equal ones would be quarantined.
	for _, body := range []string{"kill", "kill with length", "kill early", "kill again"} {
		lost := c.send(c.entries[0], key, "/orders", body, "Idempotency-Key", body)
		assert.Equal(t, lost.status, http.StatusBadGateway, lost.body)
		assert.Equal(t, lost.run(), "unknown")
		address := c.backends["orders-a"].ready.Listen
		c.backends["orders-a"] = launchHalfService(t, address)
		c.eventually("an order is placed again", placed)
		again := c.send(c.entries[1], key, "/orders", body, "Idempotency-Key", body, "X-Deadline-Ms", "500")
		assert.Equal(t, again.run(), "unknown", again.body)
		assert.Assert(t, placed(), "the service was called again")
	}
}

// launchHalfService starts a process that serves halfService at an address.
func launchHalfService(t testing.TB, address string) *proc {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), halfServiceEnv+"="+address)
	return launchCommand(t, command)
}

// recordAnswer returns the bytes of a handler's answer to a request.
func recordAnswer(h http.Handler, r *http.Request) string {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	var answer strings.Builder
	res := rec.Result()
	res.ContentLength = int64(rec.Body.Len())
	// A strings.Builder takes every write.
	_ = res.Write(&answer)
	return answer.String()
}

// startRepeater starts a backend server that writes its earlier answer once more as soon as the
// next request arrives on a kept connection.
func (c *cluster) startRepeater(name string, h http.Handler) {
	c.t.Helper()
	p, err := faker.NewRepeater(func(r *http.Request) string { return recordAnswer(h, r) })
	assert.NilError(c.t, err)
	c.t.Cleanup(p.Close)
	c.backends[name] = &proc{t: c.t, ready: readyLine{Listen: p.Address()}}
}

const repeaterIntent = `{
  "workspaces": [{"name": "tourism", "rate": 100000, "burst": 1000000}],
  "models": [{"name": "drafter", "bytes": "1048576", "replicas": 1, "workspaces": ["tourism"]}],
  "routes": [{"name": "look", "method": "POST", "path": "/look", "pool": "orders", "idempotent": true, "workspaces": ["tourism"]}]
}`

// TestRepeatedAnswersOfBackends guards against answers of other requests: an engine and a
// service write each earlier answer, statuses of the engine as well, once more on a kept
// connection.
func TestRepeatedAnswersOfBackends(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	c.startRepeater("engine-a", imitator.NewEngine(imitator.EngineOptions{Capacity: 1 << 30}))
	c.startEngineSidecar("engine-a", "")
	c.startRepeater("orders-a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	c.startSidecar("orders-a", "service", "orders")
	c.configure(repeaterIntent)
	key := c.grantKey("tourism").Key
	complete := func(prompt string) result {
		return c.send(c.entries[0], key, "/v1/completions", fmt.Sprintf(`{"model":"drafter","prompt":%q,"max_tokens":3}`, prompt))
	}
	c.eventually("the first request is served", func() bool { return complete("first").status == http.StatusOK })
	c.eventually("the first call is served", func() bool {
		return c.send(c.entries[0], key, "/look", "first").status == http.StatusOK
	})
	for i := range 20 {
		prompt := fmt.Sprint("request ", i)
		encoded, err := json.Marshal(prompt)
		assert.NilError(t, err)
		want := ""
		for token := range 3 {
			want += imitator.TokenText("drafter", encoded, nil, token)
		}
		assert.Equal(t, answerText(t, complete(prompt)), want)
		look := c.send(c.entries[0], key, "/look", prompt)
		assert.Equal(t, look.status, http.StatusOK)
		assert.Equal(t, look.body, prompt)
	}
}
