package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// fakeFleet answers admitted requests and remembers the last.
type fakeFleet struct {
	view   *configurer.View
	stale  bool
	words  []string
	err    error
	model  *dispatcher.Model
	call   *dispatcher.Service
	runs   int
	cancel chan struct{}
}

func (f *fakeFleet) View() *configurer.View                  { return f.view }
func (f *fakeFleet) Fresh(time.Duration, time.Duration) bool { return !f.stale }

func (f *fakeFleet) Run(ctx context.Context, m *dispatcher.Model, token func(string) error) (*wire.Finish, error) {
	f.model = m
	f.runs++
	for _, w := range f.words {
		if err := token(w); err != nil {
			return nil, err
		}
	}
	if f.cancel != nil {
		<-ctx.Done()
		close(f.cancel)
		return nil, refuser.Unknown(refuser.Canceled, "gone")
	}
	if f.err != nil {
		return nil, f.err
	}
	return &wire.Finish{Reason: "stop", Prompt: 5, Output: uint32(len(f.words))}, nil
}

func (f *fakeFleet) Invoke(_ context.Context, v *dispatcher.Service) (*wire.Answer, error) {
	f.call = v
	f.runs++
	if f.err != nil {
		return nil, f.err
	}
	return &wire.Answer{Status: 201, Type: "text/plain", Body: v.Body}, nil
}

func newFleet(t *testing.T) (*fakeFleet, *httptest.Server) {
	t.Helper()
	hash := sha256.Sum256([]byte("secret"))
	c := configurer.New()
	assert.NilError(t, c.Apply(&wire.Change{
		Version:    1,
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 1, Burst: 1e6}},
		Models: []*wire.Model{
			{Name: "m", Bytes: 1, Workspaces: []string{"w"}, Context: 1000},
			{Name: "other", Bytes: 1, Workspaces: []string{"x"}, Context: 1000},
		},
		Keys: []*wire.Key{{Id: "k", Hash: hash[:], Workspace: "w"}},
		Routes: []*wire.Route{
			{Name: "reserve", Method: "POST", Path: "/orders", Pool: "p", Workspaces: []string{"w"}},
			{Name: "look", Method: "GET", Path: "/orders/{id}", Pool: "p", Idempotent: true, Workspaces: []string{"x"}},
			{Name: "open", Method: "GET", Path: "/status", Pool: "p", Idempotent: true, Open: true},
		},
	}))
	f := &fakeFleet{view: c.View(), words: []string{"fold ", "twice"}}
	terms := Terms{Body: 2048, Deadline: time.Minute, Longest: time.Hour, Output: 64, Fresh: time.Second}
	s := httptest.NewServer(New(terms, faker.NewClock().Now, f, f))
	t.Cleanup(s.Close)
	return f, s
}

func client(s *httptest.Server, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(s.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how?")},
	}
}

// TestClientStream drives a stream with an unmodified client.
func TestClientStream(t *testing.T) {
	f, s := newFleet(t)
	c := client(s, "k.secret")
	stream := c.Chat.Completions.NewStreaming(context.Background(), chat("m"))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, acc.Choices[0].Message.Content, "fold twice")
	assert.Equal(t, acc.Choices[0].FinishReason, "stop")
	assert.Equal(t, f.model.Output, uint32(64))
	assert.Assert(t, f.model.Cost > 64)
}

// TestClientWhole drives the calls without a stream.
func TestClientWhole(t *testing.T) {
	_, s := newFleet(t)
	c := client(s, "k.secret")
	a, err := c.Chat.Completions.New(context.Background(), chat("m"))
	assert.NilError(t, err)
	assert.Equal(t, a.Choices[0].Message.Content, "fold twice")
	assert.Equal(t, a.Usage.TotalTokens, int64(7))
	p, err := c.Completions.New(context.Background(), openai.CompletionNewParams{
		Model:  "m",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("how?")},
	})
	assert.NilError(t, err)
	assert.Equal(t, p.Choices[0].Text, "fold twice")
	models, err := c.Models.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	_, err = c.Models.Get(context.Background(), "other")
	assert.Assert(t, err != nil)
}

// TestClientErrors expects each kind of refusal as the client's error.
func TestClientErrors(t *testing.T) {
	for kind := refuser.Internal; kind <= refuser.Conflict; kind++ {
		f, s := newFleet(t)
		f.words = nil
		f.err = refuser.New(kind, "no").After(1500 * time.Millisecond)
		c := client(s, "k.secret")
		_, err := c.Chat.Completions.New(context.Background(), chat("m"))
		var e *openai.Error
		assert.Assert(t, errors.As(err, &e), kind)
		assert.Equal(t, e.StatusCode, kind.Status())
		assert.Equal(t, e.Code, kind.String())
		assert.Equal(t, e.Response.Header.Get("Retry-After"), "2")
		assert.Equal(t, e.Response.Header.Get("Retry-After-Ms"), "1500")
	}
}

// TestRefusalTellsWhen refuses without a time, for reasons that pass. The caller is
// told when to come back all the same.
func TestRefusalTellsWhen(t *testing.T) {
	for _, kind := range []refuser.Kind{
		refuser.Busy, refuser.Late, refuser.Leaving, refuser.Absent, refuser.Stale, refuser.Outage, refuser.Lost, refuser.Limited,
	} {
		f, s := newFleet(t)
		f.words = nil
		f.err = refuser.New(kind, "no")
		c := client(s, "k.secret")
		_, err := c.Chat.Completions.New(context.Background(), chat("m"))
		var e *openai.Error
		assert.Assert(t, errors.As(err, &e), kind)
		assert.Equal(t, e.Response.Header.Get("Retry-After"), "1", kind)
	}
}

// TestClientStreamFails refuses after the first tokens. The client sees an error
// and no end of the stream.
func TestClientStreamFails(t *testing.T) {
	f, s := newFleet(t)
	f.err = refuser.Unknown(refuser.Lost, "cut")
	c := client(s, "k.secret")
	stream := c.Chat.Completions.NewStreaming(context.Background(), chat("m"))
	n := 0
	for stream.Next() {
		n++
	}
	assert.Equal(t, n, 2)
	assert.Assert(t, stream.Err() != nil)
}

// TestCancelReachesFleet closes a stream at the client.
func TestCancelReachesFleet(t *testing.T) {
	f, s := newFleet(t)
	f.cancel = make(chan struct{})
	c := client(s, "k.secret")
	ctx, cancel := context.WithCancel(context.Background())
	stream := c.Chat.Completions.NewStreaming(ctx, chat("m"))
	assert.Assert(t, stream.Next())
	cancel()
	select {
	case <-f.cancel:
	case <-time.After(10 * time.Second):
		t.Fatal("the fleet was not told")
	}
}

// do sends a request and returns the status, the code and the run field.
func do(t *testing.T, s *httptest.Server, method, path, key, body string, header ...string) (int, string, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	var f failure
	_ = json.Unmarshal(data, &f)
	return res.StatusCode, f.Error.Code, f.Error.Run
}

// TestRefusals sends requests that are refused before they are dispatched.
func TestRefusals(t *testing.T) {
	const ok = `{"model":"m","prompt":"x"}`
	tests := []struct {
		name         string
		method, path string
		key, body    string
		header       []string
		status       int
		code         string
	}{
		{name: "no key", path: "/v1/completions", body: ok, status: 401, code: "unauthorized"},
		{name: "wrong key", path: "/v1/completions", key: "k.x", body: ok, status: 401, code: "unauthorized"},
		{name: "not JSON", path: "/v1/completions", key: "k.secret", body: "{", status: 400, code: "invalid_request"},
		{name: "null", path: "/v1/completions", key: "k.secret", body: "null", status: 400, code: "invalid_request"},
		{name: "a list", path: "/v1/completions", key: "k.secret", body: "[]", status: 400, code: "invalid_request"},
		{name: "no model", path: "/v1/completions", key: "k.secret", body: `{"prompt":"x"}`, status: 400, code: "invalid_request"},
		{name: "model of another kind", path: "/v1/completions", key: "k.secret", body: `{"model":1}`, status: 400, code: "invalid_request"},
		{name: "no prompt", path: "/v1/completions", key: "k.secret", body: `{"model":"m"}`, status: 400, code: "invalid_request"},
		{name: "no messages", path: "/v1/chat/completions", key: "k.secret", body: `{"model":"m","messages":[]}`, status: 400, code: "invalid_request"},
		{name: "two choices", path: "/v1/completions", key: "k.secret", body: `{"model":"m","prompt":"x","n":2}`, status: 400, code: "invalid_request"},
		{name: "negative tokens", path: "/v1/completions", key: "k.secret", body: `{"model":"m","prompt":"x","max_tokens":-1}`, status: 400, code: "invalid_request"},
		{name: "too many tokens", path: "/v1/completions", key: "k.secret", body: `{"model":"m","prompt":"x","max_tokens":1001}`, status: 400, code: "invalid_request"},
		{name: "unknown model", path: "/v1/completions", key: "k.secret", body: `{"model":"z","prompt":"x"}`, status: 404, code: "not_found"},
		{name: "another's model", path: "/v1/completions", key: "k.secret", body: `{"model":"other","prompt":"x"}`, status: 404, code: "not_found"},
		{name: "large body", path: "/v1/completions", key: "k.secret", body: strings.Repeat(" ", 3000), status: 413, code: "too_large"},
		{name: "bad deadline", path: "/v1/completions", key: "k.secret", body: ok, header: []string{"X-Deadline-Ms", "soon"}, status: 400, code: "invalid_request"},
		{name: "unknown path", path: "/nowhere", key: "k.secret", status: 404, code: "not_found"},
		{name: "wrong method", method: "GET", path: "/v1/completions", key: "k.secret", status: 404, code: "not_found"},
		{name: "order without key", path: "/orders", status: 401, code: "unauthorized"},
		{name: "another's route", method: "GET", path: "/orders/7", key: "k.secret", status: 404, code: "not_found"},
		{name: "long idempotency key", path: "/orders", key: "k.secret", header: []string{"Idempotency-Key", strings.Repeat("x", 300)}, status: 400, code: "invalid_request"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, s := newFleet(t)
			method := tt.method
			if method == "" {
				method = http.MethodPost
			}
			status, code, run := do(t, s, method, tt.path, tt.key, tt.body, tt.header...)
			assert.Equal(t, status, tt.status)
			assert.Equal(t, code, tt.code)
			assert.Equal(t, run, "never")
			assert.Equal(t, f.runs, 0)
		})
	}
}

// TestWithoutProof refuses keyed requests while the configuration may be old, and
// serves open routes.
func TestWithoutProof(t *testing.T) {
	f, s := newFleet(t)
	f.stale = true
	status, code, run := do(t, s, http.MethodPost, "/v1/completions", "k.secret", `{"model":"m","prompt":"x"}`)
	assert.Equal(t, status, 503)
	assert.Equal(t, code, "stale_configuration")
	assert.Equal(t, run, "never")
	status, _, _ = do(t, s, http.MethodGet, "/status", "", "")
	assert.Equal(t, status, 201)
	assert.Assert(t, f.call.Key == nil)
}

// TestKeyCheckedOnKeptConnection withdraws a key between two requests on one
// connection.
func TestKeyCheckedOnKeptConnection(t *testing.T) {
	f, s := newFleet(t)
	status, _, _ := do(t, s, http.MethodPost, "/orders", "k.secret", "500 maps", "Idempotency-Key", "i")
	assert.Equal(t, status, 201)
	assert.Equal(t, f.call.Once, "i")
	f.view = f.view.With(&wire.Change{Version: 2, Drops: []string{"key/k"}})
	status, _, _ = do(t, s, http.MethodPost, "/orders", "k.secret", "500 maps")
	assert.Equal(t, status, 401)
}

// FuzzParse looks for bodies that crash the parser or pass without bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","stream_options":{"include_usage":true}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := parse(body, chat)
		if err == nil && (c.model == "" || c.bound(body) < uint32(len(body))) {
			t.Fatal("a body passed without a model or a bound")
		}
	})
}
