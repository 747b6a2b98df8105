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

// fakeFleet implements Dispatcher and Member. It answers admitted requests and keeps
// the last of each kind.
type fakeFleet struct {
	view   *configurer.View
	stale  bool
	tokens []string
	err    error
	// answer is the answer to calls of plain services, or nil for one with their body.
	answer         *wire.Answer
	lastCompletion *dispatcher.Completion
	lastCall       *dispatcher.ServiceCall
	runs           int
	canceled       chan struct{}
}

func (f *fakeFleet) View() *configurer.View                  { return f.view }
func (f *fakeFleet) Fresh(time.Duration, time.Duration) bool { return !f.stale }

func (f *fakeFleet) Run(ctx context.Context, c *dispatcher.Completion, token func(string) error) (*wire.Finish, error) {
	f.lastCompletion = c
	f.runs++
	for _, text := range f.tokens {
		if err := token(text); err != nil {
			return nil, err
		}
	}
	if f.canceled != nil {
		<-ctx.Done()
		close(f.canceled)
		return nil, refuser.MayHaveRun(refuser.Canceled, "gone")
	}
	if f.err != nil {
		return nil, f.err
	}
	return &wire.Finish{Reason: "stop", Prompt: 5, Output: uint32(len(f.tokens))}, nil
}

func (f *fakeFleet) Invoke(_ context.Context, c *dispatcher.ServiceCall) (*wire.Answer, error) {
	f.lastCall = c
	f.runs++
	if f.err != nil {
		return nil, f.err
	}
	if f.answer != nil {
		return f.answer, nil
	}
	return &wire.Answer{Status: 201, Type: "text/plain", Body: c.Body}, nil
}

// newFleet starts an HTTP server with a Handler on a fake fleet. Workspace w has the
// key k.secret, the model m and the route reserve.
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
	f := &fakeFleet{view: c.View(), tokens: []string{"fold ", "twice"}}
	options := Options{MaxBodyBytes: 2048, DefaultTimeout: time.Minute, MaxTimeout: time.Hour, DefaultOutputTokens: 64, MaxConfigurationAge: time.Second}
	s := httptest.NewServer(New(options, faker.NewClock().Now, f, f))
	t.Cleanup(s.Close)
	return f, s
}

// newClient returns an OpenAI client that does not retry.
func newClient(s *httptest.Server, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(s.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// chatParams returns a chat request for a model.
func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how?")},
	}
}

// TestClientStream reads a stream with the unmodified OpenAI client. Without max_tokens
// the output limit is the default, and the cost covers the prompt as well.
func TestClientStream(t *testing.T) {
	f, s := newFleet(t)
	c := newClient(s, "k.secret")
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams("m"))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, acc.Choices[0].Message.Content, "fold twice")
	assert.Equal(t, acc.Choices[0].FinishReason, "stop")
	assert.Equal(t, f.lastCompletion.MaxOutputTokens, uint32(64))
	assert.Assert(t, f.lastCompletion.Cost > 64)
}

// TestClientWithoutStream makes all calls without a stream with the unmodified OpenAI
// client. The models of other workspaces are neither listed nor found.
func TestClientWithoutStream(t *testing.T) {
	_, s := newFleet(t)
	c := newClient(s, "k.secret")
	a, err := c.Chat.Completions.New(context.Background(), chatParams("m"))
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

// TestClientErrors checks that the OpenAI client reports a refusal of each kind up to
// Conflict with its status, code and retry time.
func TestClientErrors(t *testing.T) {
	for kind := refuser.Internal; kind <= refuser.Conflict; kind++ {
		f, s := newFleet(t)
		f.tokens = nil
		f.err = refuser.New(kind, "no").WithRetryAfter(1500 * time.Millisecond)
		c := newClient(s, "k.secret")
		_, err := c.Chat.Completions.New(context.Background(), chatParams("m"))
		var e *openai.Error
		assert.Assert(t, errors.As(err, &e), kind)
		assert.Equal(t, e.StatusCode, kind.HTTPStatus())
		assert.Equal(t, e.Code, kind.String())
		assert.Equal(t, e.Response.Header.Get("Retry-After"), "2")
		assert.Equal(t, e.Response.Header.Get("Retry-After-Ms"), "1500")
	}
}

// TestRefusalHasRetryAfter checks that a refusal for a temporary reason gets a
// Retry-After header even if it sets no retry time.
func TestRefusalHasRetryAfter(t *testing.T) {
	for _, kind := range []refuser.Kind{
		refuser.Busy, refuser.DeadlineExceeded, refuser.Leaving, refuser.NotResident, refuser.StaleConfiguration, refuser.PlatformUnavailable, refuser.ConnectionLost, refuser.RateLimited,
	} {
		f, s := newFleet(t)
		f.tokens = nil
		f.err = refuser.New(kind, "no")
		c := newClient(s, "k.secret")
		_, err := c.Chat.Completions.New(context.Background(), chatParams("m"))
		var e *openai.Error
		assert.Assert(t, errors.As(err, &e), kind)
		assert.Equal(t, e.Response.Header.Get("Retry-After"), "1", kind)
	}
}

// TestClientStreamFails ends a stream with a refusal after its first tokens. The client
// gets an error, so it cannot take the answer as complete.
func TestClientStreamFails(t *testing.T) {
	f, s := newFleet(t)
	f.err = refuser.MayHaveRun(refuser.ConnectionLost, "cut")
	c := newClient(s, "k.secret")
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams("m"))
	n := 0
	for stream.Next() {
		n++
	}
	assert.Equal(t, n, 2)
	assert.Assert(t, stream.Err() != nil)
}

// TestCancelReachesDispatcher checks that a stream that the client closes cancels the
// context of its request.
func TestCancelReachesDispatcher(t *testing.T) {
	f, s := newFleet(t)
	f.canceled = make(chan struct{})
	c := newClient(s, "k.secret")
	ctx, cancel := context.WithCancel(context.Background())
	stream := c.Chat.Completions.NewStreaming(ctx, chatParams("m"))
	assert.Assert(t, stream.Next())
	cancel()
	select {
	case <-f.canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the request's context was not canceled")
	}
}

// sendRequest sends a request and returns the status, and the code and run fields of a
// refusal. Header holds names and values in turn.
func sendRequest(t *testing.T, s *httptest.Server, method, path, key, body string, header ...string) (int, string, string) {
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
	var refusal errorResponse
	_ = json.Unmarshal(data, &refusal)
	return res.StatusCode, refusal.Error.Code, refusal.Error.Run
}

// TestRefusals sends requests that must be refused before they are dispatched, with
// run "never".
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
			status, code, run := sendRequest(t, s, method, tt.path, tt.key, tt.body, tt.header...)
			assert.Equal(t, status, tt.status)
			assert.Equal(t, code, tt.code)
			assert.Equal(t, run, "never")
			assert.Equal(t, f.runs, 0)
		})
	}
}

// TestStaleConfiguration checks that requests with a key are refused while the
// configuration may be out of date, and that open routes are served.
func TestStaleConfiguration(t *testing.T) {
	f, s := newFleet(t)
	f.stale = true
	status, code, run := sendRequest(t, s, http.MethodPost, "/v1/completions", "k.secret", `{"model":"m","prompt":"x"}`)
	assert.Equal(t, status, 503)
	assert.Equal(t, code, "stale_configuration")
	assert.Equal(t, run, "never")
	status, _, _ = sendRequest(t, s, http.MethodGet, "/status", "", "")
	assert.Equal(t, status, 201)
	assert.Assert(t, f.lastCall.Key == nil)
}

// TestKeyCheckedOnKeepAliveConnection withdraws a key between two requests on one
// connection. The key must be checked for each request, not once for a connection.
func TestKeyCheckedOnKeepAliveConnection(t *testing.T) {
	f, s := newFleet(t)
	status, _, _ := sendRequest(t, s, http.MethodPost, "/orders", "k.secret", "500 maps", "Idempotency-Key", "i")
	assert.Equal(t, status, 201)
	assert.Equal(t, f.lastCall.IdempotencyKey, "i")
	f.view = f.view.With(&wire.Change{Version: 2, Drops: []string{"key/k"}})
	status, _, _ = sendRequest(t, s, http.MethodPost, "/orders", "k.secret", "500 maps")
	assert.Equal(t, status, 401)
}

// FuzzParse looks for bodies that crash the parser, or that it accepts without a model
// or with a token bound below the size of the body.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","stream_options":{"include_usage":true}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := parseCompletion(body, chat)
		if err == nil && (c.model == "" || c.tokenUpperBound(body) < uint32(len(body))) {
			t.Fatal("a body passed without a model or a bound")
		}
	})
}
