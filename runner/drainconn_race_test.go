package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"oleanderstall/meter"
	"oleanderstall/reserver"
	"oleanderstall/timer"
)

// hookListener calls onRead after the first bytes have left the kernel and before the reader sees them.
type hookListener struct {
	net.Listener
	once   sync.Once
	onRead func()
}

// Accept implements net.Listener.
func (l *hookListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &hookConn{Conn: conn, listener: l}, err
}

// hookConn is a connection of a hookListener.
type hookConn struct {
	net.Conn
	listener *hookListener
}

// Read implements net.Conn.
func (c *hookConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.once.Do(c.listener.onRead)
	}
	return n, err
}

// newHookedServer starts a guarded server that calls onRead with itself when the first bytes are read.
// It answers after 100 ms, unless its caller seems gone by then, and counts those that did.
func newHookedServer(t *testing.T, onRead func(s *httpServer, g *callerGuard)) (address string, s *httpServer) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := newCallerGuard(0, timer.Now, meter.New(), &log.Logger{Level: log.PanicLevel})
	hooked := &hookListener{Listener: inner, onRead: func() { onRead(s, g) }}
	s = serveListener(hooked, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(100 * time.Millisecond):
			_, _ = io.WriteString(w, "a")
		}
	}), nil, g.listener(reserver.Callers, false))
	t.Cleanup(func() { stopServer(s) })
	return inner.Addr().String(), s
}

// stopServer stops a server within three seconds.
func stopServer(s *httpServer) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s.stop(ctx)
}

// TestHeadCrossesStop guards against a request whose head arrives in two parts, the first of which was
// just read when the stop began: the read deadline that ends idle connections stayed in force for the
// second part, so that the connection was closed without an answer.
func TestHeadCrossesStop(t *testing.T) {
	address, _ := newHookedServer(t, func(s *httpServer, _ *callerGuard) {
		go stopServer(s)
		// The stop has set the deadline by then.
		time.Sleep(50 * time.Millisecond)
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Assert(t, res.Close)
}

// TestFirstRequestCrossesStop guards against a caller that has connected, sends its request while the
// stop begins, and gets the end of the connection in place of an answer.
func TestFirstRequestCrossesStop(t *testing.T) {
	address, s := newHookedServer(t, func(*httpServer, *callerGuard) {})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	// The server has accepted the connection by then.
	time.Sleep(50 * time.Millisecond)
	go stopServer(s)
	for !s.listener.isStopping() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

// TestRequestOfEndedConnection guards against a request without a body that runs and gets no answer: its
// connection was named as one to be ended after its head was read, so that the server took the caller
// for gone.
func TestRequestOfEndedConnection(t *testing.T) {
	g := newCallerGuard(0, timer.Now, meter.New(), &log.Logger{Level: log.PanicLevel})
	listener := g.listener(reserver.Callers, false)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &drainConn{Conn: near, listener: newDrainListener(nil, listener)}
	assert.Assert(t, listener.admit(c))
	for _, h := range g.reserver.Expired(timer.Now() + time.Hour) {
		g.end(h)
	}
	ran := false
	handler := listener.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(withConn(t.Context(), c)))
	assert.Assert(t, !ran)
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Equal(t, recorder.Header().Get("Retry-After"), "1")
}
