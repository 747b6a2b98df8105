package imitator

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// restartRetry is the time after which a crashed server tries again to listen.
const restartRetry = 50 * time.Millisecond

// Restartable is a server on loopback that can crash: it closes its listener and all
// connections, and later listens again at the same address. It is safe for concurrent use.
type Restartable struct {
	address     string
	restartTime time.Duration
	start       func() http.Handler

	mu     sync.Mutex
	server *http.Server
	// connections are the open connections, those that a handler took over included.
	connections map[*trackedConn]bool
	down        bool
	stopped     bool
}

// NewRestartable starts a server on a free port. After a crash it starts again once
// restartTime has passed. Each start serves the handler that start returns. The caller ends
// the server by Stop.
func NewRestartable(restartTime time.Duration, start func() http.Handler) (*Restartable, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Restartable{address: l.Addr().String(), restartTime: restartTime, start: start, connections: map[*trackedConn]bool{}}
	r.serve(l)
	return r, nil
}

// Address returns the address that the server listens at while it runs.
func (r *Restartable) Address() string { return r.address }

// serve answers requests on l until the server crashes or is stopped.
func (r *Restartable) serve(l net.Listener) {
	server := &http.Server{Handler: r.start(), ReadHeaderTimeout: time.Second}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server, r.down = server, false
	if r.stopped {
		_ = l.Close()
		return
	}
	go func() { _ = server.Serve(&trackedListener{Listener: l, owner: r}) }()
}

// trackedListener is a listener whose connections are known to their server.
type trackedListener struct {
	net.Listener
	owner *Restartable
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{TCPConn: conn.(*net.TCPConn), owner: l.owner}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.owner.connections[c] = true
	return c, nil
}

// trackedConn is a connection that its server knows until it is closed.
type trackedConn struct {
	*net.TCPConn
	owner *Restartable
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.connections, c)
	c.owner.mu.Unlock()
	return c.TCPConn.Close()
}

// takeConnections returns the open connections and forgets them. The caller holds the lock.
func (r *Restartable) takeConnections() map[*trackedConn]bool {
	open := r.connections
	r.connections = map[*trackedConn]bool{}
	return open
}

// end closes the listener of a server, and then all connections.
func end(server *http.Server, open map[*trackedConn]bool) {
	_ = server.Close()
	for c := range open {
		_ = c.Close()
	}
}

// Crash ends the server. It does nothing while the server is down.
func (r *Restartable) Crash() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	server, open := r.server, r.takeConnections()
	r.mu.Unlock()
	end(server, open)
	time.AfterFunc(r.restartTime, r.restart)
}

// restart listens again, unless the server has been stopped.
func (r *Restartable) restart() {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		// The system may have given the port away, or not freed it yet.
		time.AfterFunc(restartRetry, r.restart)
		return
	}
	r.serve(l)
}

// Stop ends the server for good.
func (r *Restartable) Stop() {
	r.mu.Lock()
	r.stopped = true
	server, open := r.server, r.takeConnections()
	r.mu.Unlock()
	end(server, open)
}
