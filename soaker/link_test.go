package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkFault is a network fault of a link.
type linkFault int32

const (
	noFault linkFault = iota
	// delaying delays all bytes by linkDelay.
	delaying
	// blackhole drops all bytes in both directions.
	blackhole
	// losingAnswers drops the bytes from the target only.
	losingAnswers
	// refusing closes new connections at once and resets the open ones.
	refusing
	faultKinds
	// swallowing drops all bytes in both directions. Connections that have lost none are usable after
	// it, the others stay open and carry nothing.
	swallowing
)

const (
	linkDelay = 150 * time.Millisecond
	// reopenInterval is the time between two checks whether a target that refused a
	// connection accepts connections again.
	reopenInterval = 20 * time.Millisecond
)

// link is a TCP proxy on loopback in front of one address. While the target refuses
// connections, the link does too.
type link struct {
	address string
	target  string
	fault   atomic.Int32

	mu          sync.Mutex
	listener    net.Listener
	closed      bool
	connections map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: listener.Addr().String(), target: target, listener: listener, connections: map[net.Conn]bool{}}
	go k.serve(listener)
	return k, nil
}

func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.refuse()
	k.resetConnections()
}

// refuse makes the link refuse connections until serve listens again.
func (k *link) refuse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
}

// serve accepts connections until the link is closed.
func (k *link) serve(listener net.Listener) {
	for listener != nil {
		k.accept(listener)
		listener = k.reopen()
	}
}

// reopen listens again once the target accepts connections. It returns nil if the link has
// been closed.
func (k *link) reopen() net.Listener {
	for {
		k.mu.Lock()
		closed := k.closed
		k.mu.Unlock()
		if closed {
			return nil
		}
		if k.targetListens() {
			if listener := k.listen(); listener != nil {
				return listener
			}
		}
		time.Sleep(reopenInterval)
	}
}

// listen listens at the link's address. It returns nil if the link has been closed or the
// address is not free yet.
func (k *link) listen() net.Listener {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil
	}
	listener, err := net.Listen("tcp", k.address)
	if err != nil {
		return nil
	}
	k.listener = listener
	return listener
}

// setFault replaces the fault of the link. After a fault that dropped bytes all
// connections are reset, since their streams have gaps.
func (k *link) setFault(f linkFault) {
	previous := linkFault(k.fault.Swap(int32(f)))
	if previous == blackhole || previous == losingAnswers || f == refusing {
		k.resetConnections()
	}
}

// resetConnections closes all connections with a TCP reset. Each is set to end so before the
// first is closed, since the end of one side makes copyBytes close the other.
func (k *link) resetConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.connections {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	for c := range k.connections {
		_ = c.Close()
	}
}

// accept accepts connections until the listener is closed.
func (k *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go k.proxy(client)
	}
}

func (k *link) proxy(client net.Conn) {
	if linkFault(k.fault.Load()) == refusing {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = client.Close()
		k.refuse()
		return
	}
	k.mu.Lock()
	k.connections[client], k.connections[server] = true, true
	k.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { k.copyBytes(server, client, false) })
	directions.Go(func() { k.copyBytes(client, server, true) })
	directions.Wait()
	k.mu.Lock()
	delete(k.connections, client)
	delete(k.connections, server)
	k.mu.Unlock()
}

// copyBytes copies bytes in one direction until either side closes. The direction
// with answers is the one from the target.
func (k *link) copyBytes(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch f := linkFault(k.fault.Load()); {
		case f == delaying:
			time.Sleep(linkDelay)
		case f == swallowing && err == nil:
			_, _ = io.Copy(io.Discard, from)
			return
		case f == blackhole, f == losingAnswers && answers:
			// The bytes just read are lost, so the connection can't be used again. Its end
			// is a reset, since the other side would miss the bytes before a proper end.
			_, _ = io.Copy(io.Discard, from)
			_ = to.(*net.TCPConn).SetLinger(0)
			return
		}
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			k.passEnd(to, err, answers)
			return
		}
	}
}

// passEnd ends the other side of a connection as the first one ended: by a reset if err is one.
// If the end came from the target and its process has ended, the link refuses connections
// before that.
func (k *link) passEnd(to net.Conn, err error, answers bool) {
	wasReset := errors.Is(err, syscall.ECONNRESET)
	if answers && (wasReset || errors.Is(err, io.EOF)) && !k.targetListens() {
		k.refuse()
	}
	if wasReset {
		_ = to.(*net.TCPConn).SetLinger(0)
	}
}

// targetListens reports whether the target accepts connections.
func (k *link) targetListens() bool {
	conn, err := net.Dial("tcp", k.target)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
