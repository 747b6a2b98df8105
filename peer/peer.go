// Package peer carries messages between the system's own processes.
//
// Each request is one QUIC stream: a wire.Call, then one or more wire.Reply
// messages, each preceded by its length. Both sides authenticate by a
// certificate derived from the fleet's secret. 0-RTT is off, since its data can
// be replayed.
package peer

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"oleanderstall/wire"
)

// maxMessage bounds one message, in bytes.
const maxMessage = 8 << 20

// Timeouts and limits of a connection.
const (
	dialTimeout = 800 * time.Millisecond
	// idleTimeout is how long a silent peer is waited for.
	idleTimeout = 8 * time.Second
	keepAlive   = 2500 * time.Millisecond
	// linkLife is how long a connection without a request is kept.
	linkLife   = 15 * time.Second
	maxStreams = 1 << 16
)

// SendError reports a call that got no answer. Sent is false if it is certain
// that no byte of the call left this process.
type SendError struct {
	Address string
	Sent    bool
	cause   error
}

// Error names the address.
func (e *SendError) Error() string {
	return fmt.Sprintf("call %s (sent: %t): %v", e.Address, e.Sent, e.cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Stream is one request between two processes.
type Stream interface {
	// Recv returns the next reply.
	Recv() (*wire.Reply, error)
	// Send sends a reply.
	Send(*wire.Reply) error
	// Tell sends a further call on a stream that was opened by Join.
	Tell(*wire.Call) error
	// Next returns the next call on such a stream.
	Next() (*wire.Call, error)
	// Context ends when the other side has given up or the stream has ended.
	Context() context.Context
	// Cancel gives up the request.
	Cancel()
}

// Caller opens requests to other processes.
type Caller interface {
	// Open sends a call and returns its stream. Errors are SendErrors.
	Open(ctx context.Context, address string, call *wire.Call) (Stream, error)
}

// Joiner opens streams that carry calls and replies in any order.
type Joiner interface {
	// Join sends a call and returns its stream, on which further calls may follow.
	// Errors are SendErrors.
	Join(ctx context.Context, address string, call *wire.Call) (Stream, error)
}

// Handler answers one call. The stream is closed when it returns.
type Handler func(ctx context.Context, call *wire.Call, s Stream)

// Node listens for other processes and calls them.
type Node struct {
	transport *quic.Transport
	listener  *quic.Listener
	identity  *Identity
	mu        sync.Mutex
	conns     map[string]*link
	accepted  map[*quic.Conn]struct{}
	closed    bool
	done      chan struct{}
	calls     sync.WaitGroup
}

// link is the connection to one address, made by the first that needs it and
// closed when no request has used it for a while.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
	// users and idle are guarded by the node's lock.
	users int
	idle  *time.Timer
}

// New returns a node that listens on address, an IP and a port.
func New(address string, identity *Identity) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "parse peer address")
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	n := &Node{
		transport: &quic.Transport{Conn: socket},
		identity:  identity,
		conns:     map[string]*link{},
		accepted:  map[*quic.Conn]struct{}{},
		done:      make(chan struct{}),
	}
	n.listener, err = n.transport.Listen(identity.config(), settings())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	return n, nil
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,
	}
}

// Address returns the address that the node listens on.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Done is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Serve answers calls until the node is closed. One task serves each connection
// and one each stream.
func (n *Node) Serve(ctx context.Context, h Handler) {
	defer close(n.done)
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			break
		}
		n.calls.Go(func() { n.serveConn(ctx, conn, h) })
	}
	n.calls.Wait()
}

func (n *Node) serveConn(ctx context.Context, conn *quic.Conn, h Handler) {
	if !n.accept(conn) {
		return
	}
	defer n.leave(conn)
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		streams.Go(func() { serveStream(s, h) })
	}
}

// accept keeps conn to be closed with the node. It reports false if the node is
// closed already.
func (n *Node) accept(conn *quic.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.CloseWithError(0, "closing")
		return false
	}
	n.accepted[conn] = struct{}{}
	return true
}

func (n *Node) leave(conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, conn)
}

func serveStream(qs *quic.Stream, h Handler) {
	s := newStream(qs)
	defer func() {
		qs.CancelRead(0)
		_ = qs.Close()
	}()
	call := &wire.Call{}
	if err := options.UnmarshalFrom(s.reader, call); err != nil {
		return
	}
	h(qs.Context(), call, s)
}

// Close stops the node and its connections.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	links := n.conns
	n.conns = map[string]*link{}
	accepted := slices.Collect(maps.Keys(n.accepted))
	n.mu.Unlock()
	for _, conn := range accepted {
		_ = conn.CloseWithError(0, "closing")
	}
	for _, l := range links {
		<-l.ready
		if l.conn != nil {
			_ = l.conn.CloseWithError(0, "closing")
		}
	}
	_ = n.listener.Close()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
}

// Open implements Caller.
func (n *Node) Open(ctx context.Context, address string, call *wire.Call) (Stream, error) {
	s, err := n.Join(ctx, address, call)
	if err != nil {
		return nil, err
	}
	s.(*stream).finish()
	return s, nil
}

// Join implements Joiner.
func (n *Node) Join(ctx context.Context, address string, call *wire.Call) (Stream, error) {
	l, err := n.connect(ctx, address)
	if err != nil {
		return nil, &SendError{Address: address, cause: err}
	}
	qs, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		n.release(address, l)
		n.forget(address, l)
		return nil, &SendError{Address: address, cause: err}
	}
	s := newStream(qs)
	s.end = sync.OnceFunc(func() { n.release(address, l) })
	s.stop = context.AfterFunc(ctx, s.abort)
	if err := s.Tell(call); err != nil {
		s.Cancel()
		return nil, &SendError{Address: address, Sent: true, cause: err}
	}
	return s, nil
}

// connect returns the live connection to address or makes one. The caller
// releases it.
func (n *Node) connect(ctx context.Context, address string) (*link, error) {
	l, err := n.hold(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
		err = l.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		n.release(address, l)
		return nil, err
	}
	return l, nil
}

// hold counts one more user of the link to address.
func (n *Node) hold(address string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, net.ErrClosed
	}
	l := n.conns[address]
	if l == nil {
		l = &link{ready: make(chan struct{})}
		n.conns[address] = l
		go n.dial(address, l)
	}
	l.users++
	if l.idle != nil {
		l.idle.Stop()
		l.idle = nil
	}
	return l, nil
}

// release counts one user less and closes the link if none comes back soon.
func (n *Node) release(address string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.users--
	if l.users == 0 && !n.closed {
		l.idle = time.AfterFunc(linkLife, func() { n.expire(address, l) })
	}
}

// expire closes a link that is still unused.
func (n *Node) expire(address string, l *link) {
	n.mu.Lock()
	unused := l.users == 0
	n.mu.Unlock()
	if unused {
		n.forget(address, l)
	}
}

// dial makes the connection of l, not bound to the call that came first.
func (n *Node) dial(address string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	defer close(l.ready)
	udp, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		l.conn, err = n.transport.Dial(ctx, udp, n.identity.config(), settings())
	}
	if err != nil {
		l.err = err
		n.drop(address, l)
		return
	}
	go func() {
		<-l.conn.Context().Done()
		n.drop(address, l)
	}()
}

func (n *Node) drop(address string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] == l {
		delete(n.conns, address)
	}
}

// forget closes a connection that is not to be used again.
func (n *Node) forget(address string, l *link) {
	n.drop(address, l)
	<-l.ready
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "not used")
	}
}

// stream implements Stream over QUIC.
type stream struct {
	qs     *quic.Stream
	reader *bufio.Reader
	writer *bufio.Writer
	stop   func() bool
	end    func()
}

var options = protodelim.UnmarshalOptions{MaxSize: maxMessage}

func newStream(qs *quic.Stream) *stream {
	return &stream{qs: qs, reader: bufio.NewReaderSize(qs, 512), writer: bufio.NewWriterSize(qs, 512)}
}

// Recv implements Stream.
func (s *stream) Recv() (*wire.Reply, error) {
	reply := &wire.Reply{}
	if err := options.UnmarshalFrom(s.reader, reply); err != nil {
		return nil, eris.Wrap(err, "receive reply")
	}
	return reply, nil
}

// Send implements Stream.
func (s *stream) Send(r *wire.Reply) error {
	if _, err := protodelim.MarshalTo(s.writer, r); err != nil {
		return eris.Wrap(err, "send reply")
	}
	return eris.Wrap(s.writer.Flush(), "send reply")
}

// Next implements Stream.
func (s *stream) Next() (*wire.Call, error) {
	call := &wire.Call{}
	if err := options.UnmarshalFrom(s.reader, call); err != nil {
		return nil, eris.Wrap(err, "receive call")
	}
	return call, nil
}

// Tell implements Stream.
func (s *stream) Tell(c *wire.Call) error {
	if _, err := protodelim.MarshalTo(s.writer, c); err != nil {
		return eris.Wrap(err, "send call")
	}
	return eris.Wrap(s.writer.Flush(), "send call")
}

// finish ends the sending side. The other side may have answered and closed it
// already, in which case the error of Close says nothing about the call.
func (s *stream) finish() { _ = s.qs.Close() }

// Context implements Stream.
func (s *stream) Context() context.Context { return s.qs.Context() }

// Cancel implements Stream.
func (s *stream) Cancel() {
	if s.stop != nil {
		s.stop()
	}
	s.abort()
}

// abort ends the stream in both directions.
func (s *stream) abort() {
	if s.end != nil {
		s.end()
	}
	s.qs.CancelRead(1)
	s.qs.CancelWrite(1)
}
