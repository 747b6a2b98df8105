package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// TestClientKeepsNoConnection guards against an earlier answer that is taken for the answer to
// the next call: no connection may carry two calls, and no call may be sent twice.
func TestClientKeepsNoConnection(t *testing.T) {
	var calls, connections atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 3:
			http.Redirect(w, r, "/", http.StatusTemporaryRedirect)
		case 4:
			panic(http.ErrAbortHandler)
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	c := NewClient(time.Second)
	for i := range 4 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("order"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "key")
		res, err := c.Do(req)
		assert.Equal(t, err != nil, i == 3)
		if err == nil {
			assert.NilError(t, res.Body.Close())
		}
	}
	assert.Equal(t, calls.Load(), int64(4))
	assert.Equal(t, connections.Load(), int64(4))
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
		{"is ending", t.Context(), func(l net.Listener) { time.AfterFunc(SettleTime/10, func() { _ = l.Close() }) }, false},
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
