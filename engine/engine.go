// Package engine implements a sidecar's client of its model engine.
//
// Requests use the OpenAI completion calls and always stream the answer as
// server-sent events. Orders load and unload models and adapters; each carries a
// fencing number, which some engines check and others ignore. Each call uses a
// connection of its own, so that no earlier answer can be taken for its answer.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/assembler"
	"oleanderstall/dialer"
	"oleanderstall/pacer"
)

// maxAnswer is the largest body of an answer that is not a stream, in bytes.
const maxAnswer = 4 << 20

// maxErrorBytes is the largest body of an answer with a status other than 200, in bytes. Many of them
// may arrive at a time.
const maxErrorBytes = 64 << 10

// dialTimeout limits the time for connecting to an engine on the same instance.
const dialTimeout = time.Second

// limitHeader is the header in which a backend server in need names the requests a second that it
// takes.
const limitHeader = "X-Rate-Limit"

// Loaded is one model or adapter that is loaded in the engine's memory or is being
// loaded.
type Loaded struct {
	Model string `json:"model"`
	// Base is the base model of an adapter, empty for a model.
	Base string `json:"base,omitempty"`
	// Bytes is the size of the weights.
	Bytes uint64 `json:"bytes"`
	// Slot and Fence are the slot index and the fencing number of the order that
	// loaded it.
	Slot  uint32 `json:"slot"`
	Fence uint64 `json:"fence"`
	// Loading is set until the load is complete.
	Loading bool `json:"loading,omitempty"`
	// Unreadable is set if only the name could be read.
	Unreadable bool `json:"-"`
}

// Status is the status that an engine reports about itself.
type Status struct {
	// Capacity is the memory for weights and KV cache, in bytes.
	Capacity uint64   `json:"capacity"`
	Loaded   []Loaded `json:"loaded"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// Memory and Disk list the checkpoints cached on the instance.
	Memory []string `json:"memory"`
	Disk   []string `json:"disk"`
	// Software is the version of the engine's software, or empty if it names none.
	Software string `json:"version"`
	// Limit is the limit that the engine names, in requests a second, or 0.
	Limit float64 `json:"-"`
}

// Order is the body of a call that loads or unloads a model, or an adapter if Base
// is set. Fence is its fencing number.
type Order struct {
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	Bytes uint64 `json:"bytes,omitempty"`
	Slot  uint32 `json:"slot"`
	Fence uint64 `json:"fence"`
}

// Request is one model request.
type Request struct {
	// ID is the request ID, which the engine returns with its answer.
	ID string
	// Chat selects the chat completion call.
	Chat bool
	// Body is the caller's body, a JSON object.
	Body     []byte
	Priority uint32
	// ResumeText is the part of the answer that was already sent to the caller, which the
	// engine is to continue.
	ResumeText string
	// ResumeTokens is the number of tokens in ResumeText, or 0 for a request from the start.
	ResumeTokens uint32
	// OnLimit is called with the limit that the engine names in the head of its answer, in requests
	// a second, or 0 if it names none. It may be nil.
	OnLimit func(rate float64)
}

// Usage is the usage of a request, in tokens.
type Usage struct {
	PromptTokens uint32 `json:"prompt_tokens"`
	OutputTokens uint32 `json:"completion_tokens"`
}

// Result is what a complete stream reports besides its text.
type Result struct {
	// FinishReason is why the answer ended, such as stop or length.
	FinishReason string
	Usage        Usage
}

// ConnectError reports a request of which no byte was sent to the engine, because there was
// no connection.
type ConnectError struct{ cause error }

// Error returns a text with the cause.
func (e *ConnectError) Error() string { return "connect to the engine: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.cause }

// StatusError reports an answer with an HTTP status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error returns a text with the status and the beginning of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, shorten(e.Body))
}

// maxQuote is the longest text of an engine that is quoted in an error, in bytes.
const maxQuote = 512

// shorten returns the beginning of a text, which is valid UTF-8 as messages between processes
// have to be.
func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxQuote)], "")
}

// StreamError reports a stream that can't be used: it ended before its end event or
// without a finish reason, goes on after that reason, contains an error or an event that
// can't be decoded, or belongs to another request.
type StreamError struct {
	Text string
}

// Error describes what is wrong with the stream.
func (e *StreamError) Error() string { return "engine stream: " + e.Text }

// SizeError reports an answer whose body is larger than MaxBytes.
type SizeError struct {
	MaxBytes int64
}

// Error returns a text with the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("engine answer is larger than %d bytes", e.MaxBytes)
}

// Client is the HTTP client of one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at the URL base, such as
// http://10.0.0.5:8000.
func New(base string) *Client {
	return &Client{base: base, http: dialer.NewClient(dialTimeout)}
}

// Status returns the engine's status. The error is a StatusError if the engine
// answered with one.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, header, err := c.call(ctx, http.MethodGet, "/v1/state", nil)
	if err != nil {
		return Status{}, err
	}
	status, err := decodeStatus(data)
	status.Limit, _ = pacer.ParseRate(header.Get(limitHeader))
	return status, err
}

// Load loads a model, or an adapter if the order names a base. It returns when the
// engine has confirmed the load. The error is a StatusError if the engine refused
// the order; after any other error the order may still take effect.
func (c *Client) Load(ctx context.Context, order Order) error {
	path := "/v1/load_model"
	if order.Base != "" {
		path = "/v1/load_lora_adapter"
	}
	_, _, err := c.call(ctx, http.MethodPost, path, order)
	return err
}

// Unload unloads a model, or an adapter if the order names a base. It returns when
// the engine has confirmed that the memory is free. Its errors are those of Load.
func (c *Client) Unload(ctx context.Context, order Order) error {
	path := "/v1/unload_model"
	if order.Base != "" {
		path = "/v1/unload_lora_adapter"
	}
	_, _, err := c.call(ctx, http.MethodPost, path, order)
	return err
}

// call sends payload as JSON and returns the body and the headers of the answer. It returns a
// StatusError if the status is not 200.
func (c *Client) call(ctx context.Context, method, path string, payload any) ([]byte, http.Header, error) {
	body, err := json.Marshal(payload)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode engine call")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Wrap(err, "build engine call")
	}
	response, err := c.http.Do(req)
	if err != nil {
		return nil, nil, eris.Wrap(err, "send engine call")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBody(response)
	return data, response.Header, err
}

// readBody returns the body of an answer, or a StatusError with it if the status is
// not 200. It returns a SizeError if the body is too large for the status.
func readBody(response *http.Response) ([]byte, error) {
	limit := int64(maxAnswer)
	if response.StatusCode != http.StatusOK {
		limit = maxErrorBytes
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read engine answer")
	}
	if int64(len(data)) > limit {
		return nil, &SizeError{MaxBytes: limit}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode, Body: string(data)}
	}
	return data, nil
}

// Generate runs a request and calls onToken for the text of each token in order. If
// onToken returns an error, Generate stops and returns it. It returns a ConnectError if
// there was no connection to the engine, a StatusError if the engine refused the request,
// and a StreamError if the stream is incomplete or can't be decoded, or if the answer,
// whatever its status, belongs to another request.
func (c *Client) Generate(ctx context.Context, r Request, onToken func(text string) error) (Result, error) {
	watched, connected := dialer.WatchConnection(ctx)
	req, err := c.newRequest(watched, r)
	if err != nil {
		return Result{}, err
	}
	response, err := c.http.Do(req)
	if err != nil && !connected() {
		return Result{}, &ConnectError{cause: err}
	}
	if err != nil {
		return Result{}, eris.Wrap(err, "send engine request")
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get("X-Request-Id"); assembler.FindOwner(r.ID, id, true, false) != assembler.Own {
		return Result{}, &StreamError{Text: "answers request " + id + " in place of " + r.ID}
	}
	if rate, ok := pacer.ParseRate(response.Header.Get(limitHeader)); ok && r.OnLimit != nil {
		r.OnLimit(rate)
	}
	if response.StatusCode != http.StatusOK {
		_, err := readBody(response)
		return Result{}, err
	}
	return ReadEvents(response.Body, onToken)
}

// newRequest returns the HTTP request of r.
func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	body, err := streamingBody(r)
	if err != nil {
		return nil, err
	}
	path := "/v1/completions"
	if r.Chat {
		path = "/v1/chat/completions"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", r.ID)
	return req, nil
}

// streamingBody returns the caller's body with the fields set that the engine needs:
// a stream with usage, the priority and, for a continued answer, the part that was
// already sent.
func streamingBody(r Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, eris.Wrap(err, "decode request body")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(fmt.Sprint(r.Priority))
	if r.ResumeTokens > 0 {
		resume, err := json.Marshal(Resume{Text: r.ResumeText, Tokens: r.ResumeTokens})
		if err != nil {
			return nil, eris.Wrap(err, "encode resume")
		}
		fields["resume"] = resume
	}
	body, err := json.Marshal(fields)
	return body, eris.Wrap(err, "encode request body")
}

// Resume is the field of a request that makes the engine continue an answer. Text is
// the part that was already sent and Tokens its number of tokens.
type Resume struct {
	Text   string `json:"text"`
	Tokens uint32 `json:"tokens"`
}
