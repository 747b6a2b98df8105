// Package resetter lets callers tell an answer that broke off from a complete one where only the
// end of the connection ends the answer, as with HTTP/1.0: until the answer is complete, the
// connection is reset by whatever ends it, the end of the process included.
package resetter

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// lingerer is a connection that may be reset when it is closed, such as a net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// WithConn returns a context with the connection. It is the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Arm is called before the head of an answer to r that has no length. Unless the answer is sent
// in chunks, the connection is reset when it ends before disarm is called.
func Arm(r *http.Request) (disarm func()) {
	conn, ok := r.Context().Value(connKey{}).(lingerer)
	if !ok || r.ProtoAtLeast(1, 1) || conn.SetLinger(0) != nil {
		return func() {}
	}
	return func() {
		// Without the default the end of the answer would be lost, which the caller notices.
		_ = conn.SetLinger(-1)
	}
}
