// Package dialer checks what a host answers to a connection attempt, and whether a request got a
// connection.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
)

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

// WatchConnection returns a context for one HTTP request, and a function that reports whether
// the request got a connection. Until then no byte of it was sent.
func WatchConnection(ctx context.Context) (watched context.Context, connected func() bool) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), got.Load
}
