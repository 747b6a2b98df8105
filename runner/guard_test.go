package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"oleanderstall/meter"
	"oleanderstall/receiver"
	"oleanderstall/refuser"
	"oleanderstall/reserver"
	"oleanderstall/timer"
)

// guardedServer is a server that reads the bodies of its requests and counts those that are complete.
type guardedServer struct {
	guard   *callerGuard
	address string
	ran     atomic.Int32
}

// newGuardedServer starts a server whose guard has the limits, with those that are not zero in place
// of the defaults.
func newGuardedServer(t *testing.T, limits reserver.Limits) *guardedServer {
	t.Helper()
	s := &guardedServer{}
	s.guard = newCallerGuard(0, timer.Now, meter.New(), &log.Logger{Level: log.PanicLevel})
	s.guard.reserver = reserver.New(limits)
	tasks := newTaskGroup()
	tasks.run(s.guard.run)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := receiver.ReadBody(w, r, 1<<20, 1)
		if err != nil {
			refusal := refuser.FromError(err)
			w.Header().Set("Retry-After", fmt.Sprint(refusal.RetryAfter().Seconds()))
			w.WriteHeader(refusal.Kind().HTTPStatus())
			return
		}
		s.ran.Add(1)
		_, _ = w.Write(body)
	})
	server := serveListener(inner, handler, nil, s.guard.listener(reserver.Callers, false))
	s.address = inner.Addr().String()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.stop(ctx)
		tasks.stop()
	})
	return s
}

// guardLimits returns limits that no test meets by chance.
func guardLimits() reserver.Limits {
	limits := callerLimits(64<<20, 3075)
	limits.HeadBytes = 2000
	return limits
}

// exchangeRaw sends bytes and returns the answer, or nil if the connection was closed without one,
// and the rest that follows it.
func exchangeRaw(t *testing.T, address, text string) (*http.Response, net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, conn, reader
	}
	return res, conn, reader
}

// expectEnd fails the test unless the server has closed the connection.
func expectEnd(t *testing.T, res *http.Response, reader *bufio.Reader) {
	t.Helper()
	_, err := io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil, "the connection is still open")
}

const guardHead = "POST / HTTP/1.1\r\nHost: h\r\n"

// TestSlowBodyIsRefused guards against a body that stops and is held without end. The answer states
// that the request has not run, and the connection is closed.
func TestSlowBodyIsRefused(t *testing.T) {
	for _, text := range []string{
		guardHead + "Content-Length: 5\r\n\r\nbody",
		guardHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nbody",
		guardHead + "Content-Length: 500000\r\n\r\n",
	} {
		limits := guardLimits()
		limits.BodySilence = 300 * time.Millisecond
		s := newGuardedServer(t, limits)
		res, _, reader := exchangeRaw(t, s.address, text)
		assert.Assert(t, res != nil)
		assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
		expectEnd(t, res, reader)
		assert.Equal(t, s.ran.Load(), int32(0))
	}
}

// TestExhaustedBudgetRefuses guards against a request that is read although there is no room for it.
// The answer states that it has not run and when to retry; the room is returned.
func TestExhaustedBudgetRefuses(t *testing.T) {
	limits := guardLimits()
	limits.Bytes = 400_000
	s := newGuardedServer(t, limits)
	res, _, reader := exchangeRaw(t, s.address, guardHead+"Content-Length: 500000\r\n\r\n"+strings.Repeat("b", 499_999))
	assert.Assert(t, res != nil)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Retry-After"), "1")
	expectEnd(t, res, reader)
	assert.Equal(t, s.ran.Load(), int32(0))
	res, _, _ = exchangeRaw(t, s.address, guardHead+"Content-Length: 100000\r\n\r\n"+strings.Repeat("b", 100_000))
	assert.Assert(t, res != nil)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 100_000)
	awaitHeld(t, s.guard)
}

// awaitHeld waits until nothing is reserved but what open connections hold.
func awaitHeld(t *testing.T, g *callerGuard) {
	t.Helper()
	var connections int
	var held int64
	for range 300 {
		if connections, held = g.reserver.Held(); held == int64(connections)*reserver.ConnectionBytes {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d connections hold %d bytes", connections, held)
}

// TestHeadLimits guards against heads beyond the configuration's size or time, and against the
// refusal of one that is inside them.
func TestHeadLimits(t *testing.T) {
	limits := guardLimits()
	limits.HeadTimeout, limits.IdleTimeout = 300*time.Millisecond, 600*time.Millisecond
	s := newGuardedServer(t, limits)
	head := func(n int) string { return "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", n) + "\r\n\r\n" }
	res, _, _ := exchangeRaw(t, s.address, head(1900))
	assert.Equal(t, res.StatusCode, http.StatusOK)
	for _, n := range []int{2001, 7000, 50_000} {
		res, _, reader := exchangeRaw(t, s.address, head(n))
		assert.Assert(t, res != nil, n)
		assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		expectEnd(t, res, reader)
	}
	begin := time.Now()
	res, _, _ = exchangeRaw(t, s.address, "GET / HTTP/1.1\r\nHost: h\r\n")
	assert.Assert(t, res == nil && time.Since(begin) < 5*time.Second)
	// A connection without a request ends later than a head that is not complete.
	res, _, reader := exchangeRaw(t, s.address, head(1))
	assert.Equal(t, res.StatusCode, http.StatusOK)
	expectEnd(t, res, reader)
	assert.Equal(t, s.ran.Load(), int32(2))
}

// TestHeadRefusedWhileSent guards against a refusal that is lost: a caller that still sends the head
// when it is refused must be able to send the rest and read the answer, as the connection is not reset.
func TestHeadRefusedWhileSent(t *testing.T) {
	limits := guardLimits()
	s := newGuardedServer(t, limits)
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, guardHead+"X: "+strings.Repeat("x", 4*headSlack))
	assert.NilError(t, err)
	for range 10 {
		time.Sleep(10 * time.Millisecond)
		_, err = io.WriteString(conn, strings.Repeat("x", headSlack))
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	expectEnd(t, res, reader)
	assert.NilError(t, conn.Close())

	// A caller that goes on for ever is ended.
	conn, err = net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	start := time.Now()
	for err = error(nil); err == nil; {
		_, err = io.WriteString(conn, strings.Repeat("x", headSlack))
	}
	assert.Assert(t, time.Since(start) < 5*time.Second, "%v", err)
}

// TestKeptConnections guards against limits that count the requests of one connection together, and
// against room that a pipelined or kept connection does not return.
func TestKeptConnections(t *testing.T) {
	limits := guardLimits()
	limits.Bytes = 400_000
	s := newGuardedServer(t, limits)
	const requests = 40
	text := strings.Repeat(guardHead+"X-Filler: "+strings.Repeat("x", 500)+"\r\nContent-Length: 90000\r\n\r\n"+strings.Repeat("b", 90_000), requests)
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	reader := bufio.NewReader(conn)
	for range requests {
		res, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
	}
	awaitHeld(t, s.guard)
}

// TestUnreadAnswerEnds guards against an answer that is held without end because its caller reads
// nothing, and against the end of one whose caller reads slowly.
func TestUnreadAnswerEnds(t *testing.T) {
	limits := guardLimits()
	limits.AnswerSilence = 500 * time.Millisecond
	s := newGuardedServer(t, limits)
	s.guard.reserver.SetRequestLimits(2000, time.Minute, time.Minute)
	open := func() net.Conn {
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		return conn
	}
	silent := open()
	for range 10 {
		_ = silent.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(silent, guardHead+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("b", 1_000_000)); err != nil {
			break
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for connections, _ := s.guard.reserver.Held(); connections > 0; connections, _ = s.guard.reserver.Held() {
		assert.Assert(t, time.Now().Before(deadline), "the connection is still open")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestConnectionLimit guards against connections that send nothing and keep out one with a request,
// and against more connections than the limit.
func TestConnectionLimit(t *testing.T) {
	limits := guardLimits()
	limits.Connections[reserver.Callers] = 10
	s := newGuardedServer(t, limits)
	for range 30 {
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	time.Sleep(300 * time.Millisecond)
	connections, _ := s.guard.reserver.Held()
	assert.Assert(t, connections <= 10, "%d connections", connections)
	res, _, _ := exchangeRaw(t, s.address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Assert(t, res != nil)
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

// TestCallerLimits guards against limits that the smallest instance of the platform would not meet,
// and against a process that refuses everything because it has hardly any memory or descriptors.
func TestCallerLimits(t *testing.T) {
	smallest := callerLimits(callerBytes(144e6), 3075)
	assert.Equal(t, smallest.Bytes, int64(50_400_000))
	assert.Equal(t, smallest.Connections[reserver.Callers], 1405)
	// Each request needs a second descriptor for its backend server.
	assert.Assert(t, 2*smallest.Connections[reserver.Callers]+smallest.Connections[reserver.Control] <= 3075-reservedDescriptors)
	tiny := callerLimits(callerBytes(1e6), 100)
	assert.Equal(t, tiny.Bytes, int64(minCallerBytes))
	assert.Equal(t, tiny.Connections[reserver.Callers], minConnections)
}

// TestConfiguredLimits guards against limits of the configuration that are not in force, and against
// a configuration without limits that sets them to 0.
func TestConfiguredLimits(t *testing.T) {
	g := newCallerGuard(144e6, timer.Now, meter.New(), &log.Logger{Level: log.PanicLevel})
	g.applyConfig(16384, 3000, 15000)
	limits := g.reserver.Limits()
	assert.Equal(t, limits.HeadBytes, int64(16384))
	assert.Equal(t, limits.HeadTimeout, 3*time.Second)
	assert.Equal(t, limits.IdleTimeout, 15*time.Second)
	g.applyConfig(0, 0, 0)
	limits = g.reserver.Limits()
	assert.Equal(t, limits.HeadBytes, int64(maxHeaderBytes))
	assert.Equal(t, limits.HeadTimeout, headerTimeout)
	assert.Equal(t, limits.IdleTimeout, idleTimeout)
}
