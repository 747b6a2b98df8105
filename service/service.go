// Package service implements a sidecar's client of its plain service.
//
// A call that is not idempotent must be sent at most once. net/http's Transport
// repeats a request on a new connection if a kept-alive one fails and the request
// carries an Idempotency-Key, and its Client repeats a POST on a redirect with
// status 307 or 308. On a kept-alive connection, an earlier answer that the service
// writes once more is taken for the next one. Therefore each call uses a new
// connection, and no call follows redirects.
package service

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/assembler"
	"oleanderstall/dialer"
	"oleanderstall/pacer"
	"oleanderstall/receiver"
)

// maxAnswer is the largest body of an answer, in bytes.
const maxAnswer = 4 << 20

// dialTimeout limits the time for connecting to a service on the same instance.
const dialTimeout = time.Second

// limitHeader is the header in which a service in need names the requests a second that it takes.
const limitHeader = "X-Rate-Limit"

// Request is one call of a plain service.
type Request struct {
	// ID is the request ID.
	ID     string
	Method string
	Path   string
	// Query is the encoded query without the question mark.
	Query string
	// ContentType is the value of the Content-Type header.
	ContentType string
	Workspace   string
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	Body           []byte
	// OnLimit is called with the limit that the service names in the head of its answer, in
	// requests a second, or 0 if it names none. It may be nil.
	OnLimit func(rate float64)
}

// Answer is the answer to a call. If its body ends with its connection, it may have been
// cut because the service's process was killed.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the value of the Content-Type header.
	ContentType string
	Body        []byte
	// Framing is what marks the end of the body.
	Framing assembler.Framing
	// ServiceRuns is set if the body ends with its connection and the process that began it is
	// known to have run after its end.
	ServiceRuns bool
}

// CallError reports a call without a complete answer. Sent is false if it is
// certain that no byte reached the service, because there was no connection.
type CallError struct {
	Sent  bool
	cause error
}

// Error returns a text with the cause.
func (e *CallError) Error() string { return "call service: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// AnswerError reports an answer that cannot be the one to the call.
type AnswerError struct {
	Text string
}

// Error describes what is wrong with the answer.
func (e *AnswerError) Error() string { return "answer: " + e.Text }

// Client is the HTTP client of one plain service. It sends each call on a connection
// of its own.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the URL base, such as
// http://10.0.0.7:8000.
func New(base string) *Client {
	return &Client{base: base, http: dialer.NewClient(dialTimeout)}
}

// Call sends r and returns the answer, whatever its status. A request is sent at most
// once. Errors are CallErrors.
func (c *Client) Call(ctx context.Context, r Request) (*Answer, error) {
	witness := dialer.NewWitness()
	defer witness.Close()
	watched, connected := dialer.WatchConnection(witness.Attach(ctx))
	callError := func(err error) error { return &CallError{Sent: connected(), cause: err} }
	req, err := c.newRequest(watched, r)
	if err != nil {
		return nil, callError(err)
	}
	response, err := c.http.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkHead(response, r.ID); err != nil {
		return nil, callError(err)
	}
	if rate, ok := pacer.ParseRate(response.Header.Get(limitHeader)); ok && r.OnLimit != nil {
		r.OnLimit(rate)
	}
	framing := assembler.FramingOf(response)
	if framing != assembler.Connection {
		witness.Close()
	}
	body, err := receiver.ReadAnswer(ctx, response.Body, maxAnswer)
	if err != nil {
		return nil, callError(err)
	}
	if len(body) > maxAnswer {
		return nil, callError(&SizeError{})
	}
	return &Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Framing:     framing,
		ServiceRuns: framing == assembler.Connection && witness.Runs(context.WithoutCancel(ctx)),
	}, nil
}

// checkHead returns an AnswerError if an answer is to another request than the one with
// the ID, if its status does not end a call, or if its body is encoded: no encoding was asked
// for, and the caller would not learn of it.
func checkHead(response *http.Response, id string) error {
	if other := response.Header.Get("X-Request-Id"); assembler.FindOwner(id, other, true, false) != assembler.Own {
		return &AnswerError{Text: "to request " + other + " in place of " + id}
	}
	if !assembler.IsFinal(response.StatusCode) {
		return &AnswerError{Text: fmt.Sprintf("status %d ends no call", response.StatusCode)}
	}
	if encoding := response.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return &AnswerError{Text: "encoded unasked"}
	}
	return nil
}

// SizeError reports an answer whose body is larger than 4 MiB.
type SizeError struct{}

// Error returns a text with the limit.
func (e *SizeError) Error() string { return "answer is larger than 4 MiB" }

// newRequest returns the HTTP request of r.
func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	target := c.base + r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrap(err, "build service call")
	}
	req.Header.Set("X-Request-Id", r.ID)
	setHeader(req, "Content-Type", r.ContentType)
	setHeader(req, "X-Workspace", r.Workspace)
	setHeader(req, "Idempotency-Key", r.IdempotencyKey)
	return req, nil
}

// setHeader sets a header field unless value is empty.
func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}
