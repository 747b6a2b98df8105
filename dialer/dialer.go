// Package dialer checks what a host answers to a connection attempt, and whether a request got a
// connection. It has the HTTP client for calls whose answers are told apart by their connection.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"syscall"
	"time"
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

// witnessTimeout bounds the time for opening the connection of a Witness.
const witnessTimeout = 250 * time.Millisecond

// Witness is a connection without a request to the process to which an HTTP request is sent. The
// process's host closes it when the process ends, so that it tells the process from a later one
// at the same address. It is used by one request.
type Witness struct {
	conn net.Conn
}

// NewWitness returns a witness without a connection.
func NewWitness() *Witness { return &Witness{} }

// Attach returns a context for the request whose process the witness is for. The witness connects
// after the request has got its connection and before a byte of it is sent: the process that
// answers is the one that both connections belong to, since the first one would otherwise be lost.
func (w *Witness) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		d := net.Dialer{Timeout: witnessTimeout}
		if c, err := d.DialContext(ctx, "tcp", info.Conn.RemoteAddr().String()); err == nil {
			w.conn = c
		}
	}})
}

// Runs reports whether the process has certainly not ended before SettleTime has passed: nothing
// has come over the connection, and not its end either. It returns false if the connection could
// not be opened, if the process has closed it, or if ctx ends before that is found out.
func (w *Witness) Runs(ctx context.Context) bool {
	if w.conn == nil || ctx.Err() != nil {
		return false
	}
	// If the deadline cannot be set, the connection is closed and the read fails.
	_ = w.conn.SetReadDeadline(time.Now().Add(SettleTime))
	stop := context.AfterFunc(ctx, w.Close)
	defer stop()
	_, err := w.conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Close closes the connection. It may be called more than once.
func (w *Witness) Close() {
	if w.conn != nil {
		// Nothing was sent, so there is nothing to lose.
		_ = w.conn.Close()
	}
}

// WatchConnection returns a context for one HTTP request, and a function that reports whether
// the request got a connection. Until then no byte of it was sent.
func WatchConnection(ctx context.Context) (watched context.Context, connected func() bool) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), got.Load
}
