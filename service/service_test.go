package service

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

var order = Request{ID: "i", Method: http.MethodPost, Path: "/orders", Key: "key", Body: []byte("500 maps")}

// TestNoReplayOnClosedConnection answers one call and closes the connection of
// the next after it was read. net/http repeats a call with an Idempotency-Key on
// such a connection if it is kept alive.
func TestNoReplayOnClosedConnection(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	c := New(s.URL)
	_, err := c.Call(context.Background(), order)
	assert.NilError(t, err)
	_, err = c.Call(context.Background(), order)
	var call *CallError
	assert.Assert(t, eris.As(err, &call))
	assert.Assert(t, call.Sent)
	assert.Equal(t, runs.Load(), int64(2))
}

// TestNoReplayOnRedirect answers with a redirect that keeps the method.
func TestNoReplayOnRedirect(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/orders", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	a, err := New(s.URL).Call(context.Background(), order)
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, runs.Load(), int64(1))
}

// TestNeverSent calls a port where nobody listens.
func TestNeverSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, err = New("http://"+l.Addr().String()).Call(context.Background(), order)
	var call *CallError
	assert.Assert(t, eris.As(err, &call))
	assert.Assert(t, !call.Sent)
}

// TestTruncatedAnswer ends an answer before its announced length.
func TestTruncatedAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}))
	defer s.Close()
	_, err := New(s.URL).Call(context.Background(), order)
	var call *CallError
	assert.Assert(t, eris.As(err, &call))
	assert.Assert(t, call.Sent)
}
