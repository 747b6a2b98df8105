package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trouble is what is wrong with a link.
type trouble int32

const (
	fine trouble = iota
	// delayed links hold back all bytes for delayTime.
	delayed
	// silenced links pass nothing, either way.
	silenced
	// deaf links pass requests and no answers.
	deaf
	// refusing links accept no connection.
	refusing
	troubles
)

const delayTime = 150 * time.Millisecond

// link is a proxy on loopback before one address.
type link struct {
	listener net.Listener
	target   string
	state    atomic.Int32
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.reset()
}

// set changes the trouble. Connections of a link that passed nothing are reset when
// it is fine again, since bytes are missing there.
func (k *link) set(t trouble) {
	before := trouble(k.state.Swap(int32(t)))
	if before == silenced || before == deaf || t == refusing {
		k.reset()
	}
}

// reset resets all connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	if trouble(k.state.Load()) == refusing {
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	k.mu.Lock()
	k.open[c], k.open[s] = true, true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.pass(s, c, false) })
	both.Go(func() { k.pass(c, s, true) })
	both.Wait()
	k.mu.Lock()
	delete(k.open, c)
	delete(k.open, s)
	k.mu.Unlock()
}

// pass copies bytes one way until either side ends.
func (k *link) pass(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch t := trouble(k.state.Load()); {
		case t == delayed:
			time.Sleep(delayTime)
		case t == silenced, t == deaf && answers:
			// What is read is lost, and the connection with it.
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
