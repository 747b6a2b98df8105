package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowListener is a listener whose connections return the bytes of a second request only once
// resume is closed, after they have closed arrived.
type slowListener struct {
	net.Listener
	arrived chan struct{}
	resume  chan struct{}
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, listener: l}, err
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	net.Conn
	listener *slowListener
	requests int
}

// Read implements net.Conn. The test sends each request in one piece.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 {
		c.requests++
	}
	if c.requests == 2 && n > 1 {
		close(c.listener.arrived)
		<-c.listener.resume
	}
	return n, err
}

// TestRequestCrossesStop guards against a request that a stopping entry has read and whose connection it
// closes without an answer, because the connection still counts as idle.
func TestRequestCrossesStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	slow := &slowListener{Listener: inner, arrived: make(chan struct{}), resume: make(chan struct{})}
	s := serveListener(slow, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") }), nil, nil)
	conn, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request := func() (*http.Response, error) {
		res, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
		}
		return res, err
	}
	const text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	_, err = request()
	assert.NilError(t, err)
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	<-slow.arrived
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		s.stop(ctx)
		close(ended)
	}()
	time.Sleep(50 * time.Millisecond)
	close(slow.resume)
	res, err := request()
	assert.NilError(t, err)
	assert.Assert(t, res.Close)
	<-ended
	assert.NilError(t, ctx.Err())
}

// TestIdleConnectionsEndAtStop checks that a stop closes connections without a request, whether they
// carried one before or not, without waiting for the end of its grace period.
func TestIdleConnectionsEndAtStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := serveListener(inner, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil, nil)
	var readers []*bufio.Reader
	for _, used := range []bool{true, false} {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		readers = append(readers, reader)
		if used {
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			_, err = http.ReadResponse(reader, nil)
			assert.NilError(t, err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.stop(ctx)
	assert.NilError(t, ctx.Err())
	for _, r := range readers {
		_, err = r.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
}

// TestActiveRequestEndsAtStop checks that a stop waits for an answer that has begun, and closes its
// connection after it.
func TestActiveRequestEndsAtStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	resume := make(chan struct{})
	s := serveListener(inner, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-resume
		_, _ = io.WriteString(w, "a")
	}), nil, nil)
	conn, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { close(resume) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.stop(ctx)
	assert.NilError(t, ctx.Err())
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "a")
}
