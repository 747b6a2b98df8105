// Package service is a sidecar's client of its plain service.
//
// A call that may not be repeated must leave this process at most once.
// net/http's Transport repeats a request on a new connection if a kept-alive one
// fails and the request carries an Idempotency-Key, and its Client repeats a POST
// on a redirect with status 307 or 308. Such calls therefore use a fresh
// connection each, and no call follows redirects.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 4 << 20

// dialTimeout bounds the connection to a service on the same instance.
const dialTimeout = time.Second

// Request is one call of a plain service.
type Request struct {
	ID         string
	Method     string
	Path       string
	Query      string
	Type       string
	Workspace  string
	Key        string
	Body       []byte
	Idempotent bool
}

// Answer is the whole answer to a call.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// CallError reports a call without a whole answer. Sent is false if it is
// certain that no byte reached the service.
type CallError struct {
	Sent  bool
	cause error
}

// Error gives the cause.
func (e *CallError) Error() string { return "call service: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// Client is the HTTP client of one plain service.
type Client struct {
	base   string
	reuse  *http.Client
	single *http.Client
}

// New returns a client of the service at base, such as http://10.0.0.7:8000.
func New(base string) *Client {
	return &Client{base: base, reuse: client(false), single: client(true)}
}

func client(single bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call sends r once and returns the whole answer. Errors are CallErrors.
func (c *Client) Call(ctx context.Context, r Request) (*Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	fail := func(err error) error { return &CallError{Sent: sent.Load(), cause: err} }
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, fail(err)
	}
	hc := c.single
	if r.Idempotent {
		hc = c.reuse
	}
	res, err := hc.Do(req)
	if err != nil {
		return nil, fail(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, fail(err)
	}
	if len(body) > maxAnswer {
		return nil, fail(&SizeError{})
	}
	return &Answer{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: body}, nil
}

// SizeError reports an answer that is too large to be passed on.
type SizeError struct{}

// Error tells the limit.
func (e *SizeError) Error() string { return "answer is larger than 4 MiB" }

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	target := c.base + r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrap(err, "build service call")
	}
	req.Header.Set("X-Request-Id", r.ID)
	set(req, "Content-Type", r.Type)
	set(req, "X-Workspace", r.Workspace)
	set(req, "Idempotency-Key", r.Key)
	return req, nil
}

func set(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}
