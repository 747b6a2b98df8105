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

// TestWitness guards against an answer that is taken for a whole one although the process that
// began it has ended: another one may listen at its address, its host may close the connection of
// the answer before the others, or there may be no time to find out.
func TestWitness(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		end  func(t *testing.T, s *httptest.Server)
		runs bool
	}{
		{"runs", t.Context(), func(*testing.T, *httptest.Server) {}, true},
		{"has ended", t.Context(), func(_ *testing.T, s *httptest.Server) { _ = s.Config.Close() }, false},
		{"is ending", t.Context(), func(_ *testing.T, s *httptest.Server) {
			time.AfterFunc(SettleTime/10, func() { _ = s.Config.Close() })
		}, false},
		{"has restarted", t.Context(), func(t *testing.T, s *httptest.Server) {
			_ = s.Config.Close()
			l, err := net.Listen("tcp", s.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
		}, false},
		{"no time left", ended, func(*testing.T, *httptest.Server) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer s.Close()
			w := NewWitness()
			defer w.Close()
			req, err := http.NewRequestWithContext(w.Attach(t.Context()), http.MethodGet, s.URL, nil)
			assert.NilError(t, err)
			res, err := NewClient(time.Second).Do(req)
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
			c.end(t, s)
			assert.Equal(t, w.Runs(c.ctx), c.runs)
		})
	}
	assert.Assert(t, !NewWitness().Runs(t.Context()))
}
