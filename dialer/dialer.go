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
	"time"

	"oleanderstall/timer"
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

// settleTime is the time within which the host of a process that was killed closes all of the
// process's connections and listeners, which it does in any order.
const settleTime = 100 * time.Millisecond

// Listens reports whether a process listens at an address, IP:port, and still does after
// settleTime. It returns false if that cannot be found out before ctx ends.
func Listens(ctx context.Context, address string) bool {
	return accepts(ctx, address) && timer.Wait(ctx, settleTime, nil) && accepts(ctx, address)
}

// accepts reports whether the host at an address accepts a connection. A server that has too
// many connections resets it after that.
func accepts(ctx context.Context, address string) bool {
	var d net.Dialer
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
