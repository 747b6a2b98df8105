package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"oleanderstall/reserver"
)

// drainListener is the listener of an HTTP server that is stopped without closing a connection
// from which it has read a request. The Shutdown of net/http does not answer a request that was
// read after its begin.
type drainListener struct {
	net.Listener
	open     sync.WaitGroup
	mu       sync.Mutex
	conns    map[*drainConn]bool
	stopping bool
	// guard bounds what the connections hold, unless it is nil.
	guard *listenerGuard
}

func newDrainListener(l net.Listener, guard *listenerGuard) *drainListener {
	return &drainListener{Listener: l, conns: map[*drainConn]bool{}, guard: guard}
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &drainConn{Conn: conn, listener: l, idle: true}
		if l.guard != nil && !l.guard.admit(c) {
			continue
		}
		return l.add(c), nil
	}
}

// add records an open connection.
func (l *drainListener) add(c *drainConn) *drainConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	l.open.Add(1)
	return c
}

// remove forgets a connection that is closed. It does nothing the second time.
func (l *drainListener) remove(c *drainConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[c] {
		delete(l.conns, c)
		l.open.Done()
	}
}

// stop closes the listener and ends the connections on which no request arrives; the others end
// with their answers. It returns when all have ended or ctx ends.
func (l *drainListener) stop(ctx context.Context) {
	open := l.startStop()
	// The listener may be closed already, after a failure.
	_ = l.Close()
	for _, c := range open {
		c.endIfIdle()
	}
	ended := make(chan struct{})
	go func() {
		l.open.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// startStop marks the listener as stopping and returns the open connections.
func (l *drainListener) startStop() []*drainConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	var open []*drainConn
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

// isStopping reports whether stop was called.
func (l *drainListener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// closeAfterAnswer returns a handler whose answers end their connections while the listener stops.
func (l *drainListener) closeAfterAnswer(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isStopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// drainConn is a connection of a drainListener.
type drainConn struct {
	net.Conn
	listener *drainListener
	mu       sync.Mutex
	// idle is set until the head of a request is complete, received once bytes of it were read,
	// and ending if the connection ends unless there are some.
	idle     bool
	received bool
	ending   bool
	// used is set once the head of a first request is complete, and readDeadline is the deadline of
	// reads that the server has set last.
	used         bool
	readDeadline time.Time
	// holding is what the connection holds of the budget, or nil. ended is set once the guard has
	// ended its reads.
	holding *reserver.Holding
	ended   bool
}

// drainConnOf returns the connection of a drainListener under a connection of an http.Server, or nil,
// and reports whether there is TLS in between.
func drainConnOf(conn net.Conn) (c *drainConn, withTLS bool) {
	outer, withTLS := conn.(interface{ NetConn() net.Conn })
	if withTLS {
		conn = outer.NetConn()
	}
	c, _ = conn.(*drainConn)
	return c, withTLS
}

// recordState is the ConnState of an http.Server that serves a drainListener.
func recordState(conn net.Conn, state http.ConnState) {
	c, withTLS := drainConnOf(conn)
	if c == nil {
		return
	}
	if c.holding != nil {
		c.listener.guard.recordState(c, state)
	}
	if withTLS {
		return
	}
	c.mu.Lock()
	c.idle = state == http.StateNew || state == http.StateIdle
	c.used = c.used || !c.idle
	if state == http.StateIdle {
		c.received = false
	}
	c.mu.Unlock()
	if c.listener.isStopping() {
		c.endIfIdle()
	}
}

// firstRequestTime is the time that the first request of a connection has for its first byte when
// the listener stops. Callers send it as soon as they are connected, and get the end of the connection
// in place of an answer if it crosses the stop.
const firstRequestTime = 100 * time.Millisecond

// endIfIdle makes the server close the connection unless bytes of a request were read, or are read
// within firstRequestTime on a new connection.
func (c *drainConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.received || c.ending || c.ended {
		return
	}
	c.ending = true
	deadline := time.Unix(1, 0)
	if !c.used {
		deadline = time.Now().Add(firstRequestTime)
	}
	// A read that has not returned bytes by then fails; the server then closes the connection.
	_ = c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	inHead := c.recordReceived(n > 0)
	if c.holding != nil && n > 0 {
		if err := c.listener.guard.recordRead(c, p[:n], inHead); err != nil {
			c.linger(p)
			return 0, err
		}
	}
	return n, err
}

// lingerTime bounds the time in which the rest of a refused head is read.
const lingerTime = 500 * time.Millisecond

// linger reads into a buffer and discards what a refused caller still sends, until the caller closes
// the connection. Bytes that arrive at a closed connection reset it, and the caller may lose the answer.
func (c *drainConn) linger(buffer []byte) {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// recordReceived records whether bytes were read, and reports whether they are those of a head. If the
// connection was about to end, the rest of the request is read as before.
func (c *drainConn) recordReceived(received bool) (inHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if received && !c.received && c.ending && !c.ended {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.received = c.received || received
	return c.idle
}

// writePieceBytes is the size of the pieces in which an answer is written, so that it shows
// whether the caller reads.
const writePieceBytes = 64 << 10

// Write implements net.Conn.
func (c *drainConn) Write(p []byte) (int, error) {
	if c.holding == nil {
		return c.Conn.Write(p)
	}
	written := 0
	defer c.listener.guard.recordWrite(c, false)
	for {
		c.listener.guard.recordWrite(c, true)
		piece := p[written:min(len(p), written+writePieceBytes)]
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// endReads makes the reads of the connection fail, so that the server answers the request whose
// body does not arrive, or closes a connection without a request.
func (c *drainConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. It does not prolong the reads of a connection that ends.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ended || c.ending && !c.received {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *drainConn) Close() error {
	defer c.listener.remove(c)
	if c.holding != nil {
		c.listener.guard.remove(c)
	}
	return c.Conn.Close()
}

// SetLinger sets what closing the connection does with unsent bytes; see net.TCPConn.
func (c *drainConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending direction of the connection; see net.TCPConn.
func (c *drainConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
