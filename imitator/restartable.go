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

	mu      sync.Mutex
	server  *http.Server
	down    bool
	stopped bool
}

// NewRestartable starts a server on a free port. After a crash it starts again once
// restartTime has passed. Each start serves the handler that start returns. The caller ends
// the server by Stop.
func NewRestartable(restartTime time.Duration, start func() http.Handler) (*Restartable, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Restartable{address: l.Addr().String(), restartTime: restartTime, start: start}
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
	go func() { _ = server.Serve(l) }()
}

// Crash ends the server. It does nothing while the server is down.
func (r *Restartable) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	_ = r.server.Close()
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
	defer r.mu.Unlock()
	r.stopped = true
	_ = r.server.Close()
}
