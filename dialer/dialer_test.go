package dialer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefuses checks an open port, a closed one, and an attempt that has no time left.
func TestRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.Assert(t, !Refuses(t.Context(), address))
	assert.NilError(t, l.Close())
	assert.Assert(t, Refuses(t.Context(), address))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !Refuses(ended, address))
}

// TestListens guards against an answer that is taken for a whole one because the listener of a
// process that was killed still took connections just after its other ones were closed, or
// because there was no time to ask. A server that resets connections above a limit listens.
func TestListens(t *testing.T) {
	limited := func(l net.Listener) {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		prepare func(net.Listener)
		listens bool
	}{
		{"listens", t.Context(), func(net.Listener) {}, true},
		{"resets", t.Context(), func(l net.Listener) { go limited(l) }, true},
		{"has ended", t.Context(), func(l net.Listener) { _ = l.Close() }, false},
		{"is ending", t.Context(), func(l net.Listener) { time.AfterFunc(settleTime/10, func() { _ = l.Close() }) }, false},
		{"no time left", ended, func(net.Listener) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			c.prepare(l)
			assert.Equal(t, Listens(c.ctx, l.Addr().String()), c.listens)
		})
	}
}
