package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
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
)

const linkDelay = 150 * time.Millisecond

// link is a TCP proxy on loopback in front of one address.
type link struct {
	listener    net.Listener
	target      string
	fault       atomic.Int32
	mu          sync.Mutex
	connections map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.resetConnections()
}

// setFault replaces the fault of the link. After a fault that dropped bytes all
// connections are reset, since their streams have gaps.
func (k *link) setFault(f linkFault) {
	previous := linkFault(k.fault.Swap(int32(f)))
	if previous == blackhole || previous == losingAnswers || f == refusing {
		k.resetConnections()
	}
}

// resetConnections closes all connections with a TCP reset.
func (k *link) resetConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.connections {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (k *link) accept() {
	for {
		client, err := k.listener.Accept()
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
		case f == blackhole, f == losingAnswers && answers:
			// The bytes just read are lost, so the connection can't be used again.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
