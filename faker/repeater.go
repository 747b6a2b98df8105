package faker

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
)

// Repeater is an HTTP server with a fault: as soon as another request arrives on a kept
// connection, it writes the answer to the one before once more, ahead of the right answer.
// It is safe for concurrent use.
type Repeater struct {
	listener net.Listener
	// answer returns the bytes of the whole answer to a request, head and body.
	answer  func(r *http.Request) string
	serving sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
}

// NewRepeater starts a server on a loopback address. The body of a request that answer gets
// is in memory.
func NewRepeater(answer func(r *http.Request) string) (*Repeater, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Repeater{listener: l, answer: answer}
	p.serving.Go(p.accept)
	return p, nil
}

// Address returns the address, host and port, that the server listens on.
func (p *Repeater) Address() string { return p.listener.Addr().String() }

// Connections returns the number of connections that were accepted.
func (p *Repeater) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes the listener and all connections and waits until they are no longer served.
func (p *Repeater) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	conns := p.conns
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	p.serving.Wait()
}

// accept serves each connection in a goroutine until the listener is closed.
func (p *Repeater) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		p.serving.Go(func() { p.serve(c) })
	}
}

// serve answers the requests of one connection until a read or a write fails or a request
// asks for the connection to be closed.
func (p *Repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	previous := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, previous); err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		previous = p.answer(r)
		if _, err := io.WriteString(c, previous); err != nil || r.Close {
			return
		}
	}
}
