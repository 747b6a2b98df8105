// Package engine is a sidecar's client of its model engine.
//
// Requests use the OpenAI completion calls, always as a stream of server-sent
// events. Orders load and unload models and adapters; each carries a fencing
// number, which some engines check and others ignore.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 1 << 20

// maxAnswer bounds the body of any other answer, in bytes.
const maxAnswer = 4 << 20

// dialTimeout bounds the connection to an engine on the same instance.
const dialTimeout = time.Second

// Loaded is one model or adapter in the engine's memory.
type Loaded struct {
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	Bytes uint64 `json:"bytes"`
	// Slot and Fence label the order that loaded it.
	Slot  uint32 `json:"slot"`
	Fence uint64 `json:"fence"`
	// Loading is set until the load is complete.
	Loading bool `json:"loading,omitempty"`
}

// Status is the engine's state.
type Status struct {
	Capacity uint64   `json:"capacity"`
	Loaded   []Loaded `json:"loaded"`
	Running  int      `json:"running"`
	// Memory and Disk list the checkpoints cached on the instance.
	Memory []string `json:"memory"`
	Disk   []string `json:"disk"`
}

// Order loads or unloads a model or an adapter.
type Order struct {
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	Bytes uint64 `json:"bytes,omitempty"`
	Slot  uint32 `json:"slot"`
	Fence uint64 `json:"fence"`
}

// Request is one model request.
type Request struct {
	ID       string
	Chat     bool
	Body     []byte
	Priority uint32
	// Resume is text that was already sent, Sent its number of tokens.
	Resume string
	Sent   uint32
}

// Usage is what a request used, in tokens.
type Usage struct {
	Prompt uint32 `json:"prompt_tokens"`
	Output uint32 `json:"completion_tokens"`
}

// Result ends a stream.
type Result struct {
	Reason string
	Usage  Usage
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error gives the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, e.Body)
}

// CutError reports a stream that ended before its end event, or that belongs to
// another request.
type CutError struct {
	Text string
}

// Error tells what was wrong.
func (e *CutError) Error() string { return "engine stream: " + e.Text }

// Client is the HTTP client of one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at base, such as http://10.0.0.5:8000.
func New(base string) *Client {
	tr := &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Client{base: base, http: &http.Client{Transport: tr}}
}

// Status returns the engine's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	data, err := c.post(ctx, http.MethodGet, "/v1/state", nil)
	if err != nil {
		return st, err
	}
	return st, eris.Wrap(json.Unmarshal(data, &st), "decode engine state")
}

// Load loads a model, or an adapter if the order names a base. It returns when
// the engine has confirmed the load.
func (c *Client) Load(ctx context.Context, o Order) error {
	path := "/v1/load_model"
	if o.Base != "" {
		path = "/v1/load_lora_adapter"
	}
	_, err := c.post(ctx, http.MethodPost, path, o)
	return err
}

// Unload unloads a model or an adapter. It returns when the engine has confirmed
// that the memory is free.
func (c *Client) Unload(ctx context.Context, o Order) error {
	path := "/v1/unload_model"
	if o.Base != "" {
		path = "/v1/unload_lora_adapter"
	}
	_, err := c.post(ctx, http.MethodPost, path, o)
	return err
}

func (c *Client) post(ctx context.Context, method, path string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "encode engine order")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build engine order")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "send engine order")
	}
	defer func() { _ = res.Body.Close() }()
	return read(res)
}

func read(res *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, eris.Wrap(err, "read engine answer")
	}
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: res.StatusCode, Body: string(data)}
	}
	return data, nil
}

// Generate runs a request and calls token for the text of each token in order.
// It returns a CutError if the stream ended before its end event.
func (c *Client) Generate(ctx context.Context, r Request, token func(text string) error) (Result, error) {
	req, err := c.request(ctx, r)
	if err != nil {
		return Result{}, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Result{}, eris.Wrap(err, "send engine request")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		_, err := read(res)
		return Result{}, err
	}
	if id := res.Header.Get("X-Request-Id"); id != "" && id != r.ID {
		return Result{}, &CutError{Text: "answers request " + id + " in place of " + r.ID}
	}
	return Events(res.Body, token)
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	body, err := streaming(r)
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

// streaming sets the fields of a caller's body that the engine needs.
func streaming(r Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, eris.Wrap(err, "decode request body")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(fmt.Sprint(r.Priority))
	if r.Sent > 0 {
		resume, err := json.Marshal(Resume{Text: r.Resume, Tokens: r.Sent})
		if err != nil {
			return nil, eris.Wrap(err, "encode resume")
		}
		fields["resume"] = resume
	}
	body, err := json.Marshal(fields)
	return body, eris.Wrap(err, "encode request body")
}

// Resume is the field by which an engine continues an answer.
type Resume struct {
	Text   string `json:"text"`
	Tokens uint32 `json:"tokens"`
}

// event is one server-sent event of either completion call.
type event struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Events reads a stream of server-sent events up to its [DONE] event and calls
// token for each text in it.
func Events(r io.Reader, token func(text string) error) (Result, error) {
	var result Result
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return finish(result)
		}
		if err := result.add(data, token); err != nil {
			return result, err
		}
	}
	if err := scanner.Err(); err != nil {
		return result, &CutError{Text: err.Error()}
	}
	return result, &CutError{Text: "ended without [DONE]"}
}

// finish checks that the stream named its finish reason.
func finish(r Result) (Result, error) {
	if r.Reason == "" {
		return r, &CutError{Text: "ended without a finish reason"}
	}
	return r, nil
}

func (r *Result) add(data string, token func(text string) error) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return &CutError{Text: "undecodable event: " + err.Error()}
	}
	if e.Usage != nil {
		r.Usage = *e.Usage
	}
	for _, c := range e.Choices {
		if c.Reason != nil {
			r.Reason = *c.Reason
		}
		text := c.Text + c.Delta.Content
		if text == "" {
			continue
		}
		if err := token(text); err != nil {
			return err
		}
	}
	return nil
}
