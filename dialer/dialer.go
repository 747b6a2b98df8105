// Package dialer checks what a host answers to a connection attempt, and whether a request got a
// connection. It has the HTTP client for calls whose answers are told apart by their connection.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"oleanderstall/timer"
)

// maxHeadBytes bounds the head of an answer, in bytes.
const maxHeadBytes = 64 << 10

// NewClient returns an HTTP client that uses a new connection for each call, which it opens
// within timeout. What arrives on a connection can then only be the answer to its one call; on
// a kept connection, net/http takes the bytes that arrive after a request was written for the
// answer to it, although the server may have written an earlier answer once more. The client
// sends each call at most once: it follows no redirects, and net/http repeats calls only on
// kept connections.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
			DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Refuses reports whether the host at an address, IP:port, refuses a connection before ctx
// ends, so that no process listens there. A host that does not answer does not refuse.
func Refuses(ctx context.Context, address string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent, so there is nothing to lose.
	_ = c.Close()
	return false
}

// SettleTime is the time within which the host of a process that was killed closes all of the
// process's connections and listeners, which it does in any order.
const SettleTime = 100 * time.Millisecond

// acceptTimeout is the time within which a host accepts a connection, also if the first packet
// is lost and sent again after a second.
const acceptTimeout = 1500 * time.Millisecond

// Listens reports whether a process listens at an address, IP:port, and still does after
// SettleTime. It returns false if the host does not answer in time or ctx ends before that is
// found out.
func Listens(ctx context.Context, address string) bool {
	return accepts(ctx, address) && timer.Wait(ctx, SettleTime, nil) && accepts(ctx, address)
}

// accepts reports whether the host at an address accepts a connection. A server that has too
// many connections resets it after that.
func accepts(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: acceptTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	// Nothing was sent, so there is nothing to lose.
	_ = c.Close()
	return true
}

// WatchConnection returns a context for one HTTP request, and a function that reports whether
// the request got a connection. Until then no byte of it was sent.
func WatchConnection(ctx context.Context) (watched context.Context, connected func() bool) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), got.Load
}
