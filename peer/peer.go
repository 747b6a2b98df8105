// Package peer implements RPC between the system's own processes over QUIC.
//
// Each request is one QUIC stream: a wire.Call followed by wire.Reply messages,
// each prefixed with its length. A duplex stream carries further calls as well.
// Both sides authenticate with a certificate signed by a key derived from the
// fleet's secret. 0-RTT is disabled because its data can be replayed.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protodelim"

	"oleanderstall/receiver"
	"oleanderstall/wire"
)

// maxMessageBytes is the maximum size of a received message.
const maxMessageBytes = 8 << 20

// Timeouts and limits of a connection.
const (
	dialTimeout = 800 * time.Millisecond
	// quicIdleTimeout is how long a connection may receive nothing, keep-alives
	// included, before it is considered lost.
	quicIdleTimeout = 8 * time.Second
	keepAlivePeriod = 2500 * time.Millisecond
	// unusedConnTimeout is how long a connection without requests stays open.
	unusedConnTimeout = 15 * time.Second
	// maxIncomingStreams is the maximum number of concurrent requests that a peer
	// may open on one connection.
	maxIncomingStreams = 1 << 16
	// handshakeRate and handshakeBurst are how many connections per second, and at once, begin
	// without proof that the other side has the address that its packets name. Each costs memory
	// before the secret is checked. Beyond them the proof costs peers one round trip.
	handshakeRate  = 100
	handshakeBurst = 100
)

// SendError reports a call that got no reply. Sent is false only if it is
// certain that no byte of the call left this process.
type SendError struct {
	Address string
	Sent    bool
	cause   error
}

// Error returns a message with the address, the Sent flag and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("call %s (sent: %t): %v", e.Address, e.Sent, e.cause)
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.cause }

// Stream is one request between two processes.
type Stream interface {
	// Recv blocks until the next reply arrives. It fails when the stream has ended.
	Recv() (*wire.Reply, error)
	// Send sends a reply.
	Send(*wire.Reply) error
	// SendCall sends a further call on a stream opened by OpenDuplex.
	SendCall(*wire.Call) error
	// RecvCall blocks until the next call on a duplex stream arrives.
	RecvCall() (*wire.Call, error)
	// Context returns a context that ends when the other side cancels, the
	// connection is lost or this side stops sending. On a QUIC stream opened by
	// Open the last is the case at once.
	Context() context.Context
	// Cancel aborts the request in both directions and releases its resources.
	Cancel()
}

// Caller opens requests to other processes.
type Caller interface {
	// Open sends a call and returns the stream of its replies. Errors are of type
	// *SendError.
	Open(ctx context.Context, address string, call *wire.Call) (Stream, error)
}

// DuplexCaller opens streams on which calls and replies may follow in any order.
type DuplexCaller interface {
	// OpenDuplex sends a call and returns its stream, on which further calls may be
	// sent. Errors are of type *SendError.
	OpenDuplex(ctx context.Context, address string, call *wire.Call) (Stream, error)
}

// Handler replies to one call on its stream. The stream is closed when Handler
// returns.
type Handler func(ctx context.Context, call *wire.Call, s Stream)

// Node is both server and client: it accepts connections from other processes
// and calls them, over one UDP socket. It is safe for concurrent use.
type Node struct {
	transport *quic.Transport
	listener  *quic.Listener
	identity  *Identity
	mu        sync.Mutex
	// pool maps an address to the outgoing connection to it.
	pool map[string]*pooledConn
	// accepted holds the open incoming connections.
	accepted map[*quic.Conn]struct{}
	closed   bool
	// done is closed when Serve has returned.
	done chan struct{}
	// serving counts the incoming connections that are being served.
	serving sync.WaitGroup
}

// pooledConn is the outgoing connection to one address. The first request to the
// address dials it, and it is closed when no request has used it for
// unusedConnTimeout.
type pooledConn struct {
	// ready is closed when dialing has ended, after which conn or err is set.
	ready chan struct{}
	conn  *quic.Conn
	err   error
	// users is the number of requests that use the connection. It and idleTimer
	// are guarded by Node.mu.
	users     int
	idleTimer *time.Timer
}

// New returns a node that listens on the UDP address, a host and a port. Serve
// must be called for it to accept connections.
func New(address string, identity *Identity) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "parse peer address")
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	unproven := rate.NewLimiter(handshakeRate, handshakeBurst)
	n := &Node{
		transport: &quic.Transport{Conn: socket, VerifySourceAddress: func(net.Addr) bool { return !unproven.Allow() }},
		identity:  identity,
		pool:      map[string]*pooledConn{},
		accepted:  map[*quic.Conn]struct{}{},
		done:      make(chan struct{}),
	}
	n.listener, err = n.transport.Listen(identity.tlsConfig(), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	return n, nil
}

// quicConfig returns the settings of incoming and outgoing connections.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       quicIdleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}

// Address returns the address, host and port, that the node listens on.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Done returns a channel that is closed when Serve has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Serve handles calls with h until the node is closed or ctx ends, and then waits
// for the handlers in progress. It starts a goroutine for each connection and
// one for each stream.
func (n *Node) Serve(ctx context.Context, h Handler) {
	defer close(n.done)
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			break
		}
		n.serving.Go(func() { n.serveConn(ctx, conn, h) })
	}
	n.serving.Wait()
}

// serveConn handles the streams of one connection until the connection ends.
func (n *Node) serveConn(ctx context.Context, conn *quic.Conn, h Handler) {
	if !n.trackAccepted(conn) {
		return
	}
	defer n.untrackAccepted(conn)
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

// trackAccepted records conn so that Close closes it. If the node is closed
// already, it closes conn and reports false.
func (n *Node) trackAccepted(conn *quic.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.CloseWithError(0, "closing")
		return false
	}
	n.accepted[conn] = struct{}{}
	return true
}

// untrackAccepted removes a connection that has ended.
func (n *Node) untrackAccepted(conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, conn)
}

// serveStream reads the call of one stream, handles it and closes the stream.
func serveStream(qs *quic.Stream, h Handler) {
	s := newStream(qs)
	defer func() {
		qs.CancelRead(0)
		_ = qs.Close()
	}()
	call := &wire.Call{}
	if err := unmarshalOptions.UnmarshalFrom(s.reader, call); err != nil {
		return
	}
	h(qs.Context(), call, s)
}

// Close closes all connections of the node, its listener and its socket. It
// waits for dials in progress but not for handlers; see Done for these.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	pool := n.pool
	n.pool = map[string]*pooledConn{}
	accepted := slices.Collect(maps.Keys(n.accepted))
	n.mu.Unlock()
	for _, conn := range accepted {
		_ = conn.CloseWithError(0, "closing")
	}
	for _, pc := range pool {
		<-pc.ready
		if pc.conn != nil {
			_ = pc.conn.CloseWithError(0, "closing")
		}
	}
	_ = n.listener.Close()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
}

// Open implements Caller.
func (n *Node) Open(ctx context.Context, address string, call *wire.Call) (Stream, error) {
	s, err := n.OpenDuplex(ctx, address, call)
	if err != nil {
		return nil, err
	}
	s.(*stream).closeSend()
	return s, nil
}

// OpenDuplex implements DuplexCaller.
func (n *Node) OpenDuplex(ctx context.Context, address string, call *wire.Call) (Stream, error) {
	pc, err := n.connect(ctx, address)
	if err != nil {
		return nil, &SendError{Address: address, cause: err}
	}
	qs, err := pc.conn.OpenStreamSync(ctx)
	if err != nil {
		n.release(address, pc)
		n.discard(address, pc)
		return nil, &SendError{Address: address, cause: err}
	}
	s := newStream(qs)
	s.ctx = ctx
	s.releaseConn = sync.OnceFunc(func() { n.release(address, pc) })
	s.stopContextWatch = context.AfterFunc(ctx, s.abort)
	if err := s.SendCall(call); err != nil {
		s.Cancel()
		return nil, &SendError{Address: address, Sent: true, cause: err}
	}
	return s, nil
}

// connect returns the connection to address from the pool, dialing it if there
// is none. The caller must call release when it no longer uses the connection.
func (n *Node) connect(ctx context.Context, address string) (*pooledConn, error) {
	pc, err := n.acquire(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-pc.ready:
		err = pc.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		n.release(address, pc)
		return nil, err
	}
	return pc, nil
}

// acquire returns the pooled connection to address and counts one more user of
// it. If there is none, it adds one and starts to dial. The connection may not be
// ready yet.
func (n *Node) acquire(address string) (*pooledConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, net.ErrClosed
	}
	pc := n.pool[address]
	if pc == nil {
		pc = &pooledConn{ready: make(chan struct{})}
		n.pool[address] = pc
		go n.dial(address, pc)
	}
	pc.users++
	if pc.idleTimer != nil {
		pc.idleTimer.Stop()
		pc.idleTimer = nil
	}
	return pc, nil
}

// release counts one user less. A connection that is left without users is
// closed after unusedConnTimeout.
func (n *Node) release(address string, pc *pooledConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pc.users--
	if pc.users == 0 && !n.closed {
		pc.idleTimer = time.AfterFunc(unusedConnTimeout, func() { n.closeIfUnused(address, pc) })
	}
}

// closeIfUnused closes a connection that has no users.
func (n *Node) closeIfUnused(address string, pc *pooledConn) {
	n.mu.Lock()
	unused := pc.users == 0
	n.mu.Unlock()
	if unused {
		n.discard(address, pc)
	}
}

// dial establishes the connection of pc and removes pc from the pool when that
// fails or when the connection ends. It doesn't use the context of the first
// call, since other calls may wait for the same connection.
func (n *Node) dial(address string, pc *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	defer close(pc.ready)
	udp, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		pc.conn, err = n.transport.Dial(ctx, udp, n.identity.tlsConfig(), quicConfig())
	}
	if err != nil {
		pc.err = err
		n.removeFromPool(address, pc)
		return
	}
	go func() {
		<-pc.conn.Context().Done()
		n.removeFromPool(address, pc)
	}()
}

// removeFromPool removes pc, unless address has another connection already.
func (n *Node) removeFromPool(address string, pc *pooledConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pool[address] == pc {
		delete(n.pool, address)
	}
}

// discard removes a connection from the pool and closes it. It waits for a dial
// in progress.
func (n *Node) discard(address string, pc *pooledConn) {
	n.removeFromPool(address, pc)
	<-pc.ready
	if pc.conn != nil {
		_ = pc.conn.CloseWithError(0, "not used")
	}
}

// stream implements Stream over QUIC.
type stream struct {
	quicStream *quic.Stream
	reader     *bufio.Reader
	writer     *bufio.Writer
	// ctx is the context of the request for which this side opened the stream, or nil. Large
	// replies are reserved in its account.
	ctx context.Context
	// stopContextWatch stops watching the caller's context, whose end aborts the
	// stream. It and releaseConn are nil on the handler's side.
	stopContextWatch func() bool
	// releaseConn releases the pooled connection, once.
	releaseConn func()
}

// unmarshalOptions limit the size of a received message.
var unmarshalOptions = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

// newStream returns a stream over qs with a buffer of 512 bytes in each
// direction.
func newStream(qs *quic.Stream) *stream {
	return &stream{quicStream: qs, reader: bufio.NewReaderSize(qs, 512), writer: bufio.NewWriterSize(qs, 512)}
}

// unreservedBytes is the size of the largest reply that is not reserved. Streams consist of smaller
// ones.
const unreservedBytes = 16 << 10

// replyCopies is the number of copies of a reply that are in memory: as received and as decoded.
const replyCopies = 2

// reserveReply reserves memory for the next reply in the account of the request, if it is large.
func (s *stream) reserveReply() error {
	if s.ctx == nil {
		return nil
	}
	for n := 1; n <= binary.MaxVarintLen64; n++ {
		prefix, err := s.reader.Peek(n)
		if err != nil {
			// Reading the reply fails as well, with the error that tells a proper end.
			return nil
		}
		if size, length := binary.Uvarint(prefix); length > 0 {
			if size <= unreservedBytes || size > maxMessageBytes {
				return nil
			}
			return receiver.ReserveAnswer(s.ctx, replyCopies*int64(size))
		}
	}
	return nil
}

// Recv implements Stream.
func (s *stream) Recv() (*wire.Reply, error) {
	if err := s.reserveReply(); err != nil {
		return nil, eris.Wrap(err, "receive reply")
	}
	reply := &wire.Reply{}
	if err := unmarshalOptions.UnmarshalFrom(s.reader, reply); err != nil {
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

// RecvCall implements Stream.
func (s *stream) RecvCall() (*wire.Call, error) {
	call := &wire.Call{}
	if err := unmarshalOptions.UnmarshalFrom(s.reader, call); err != nil {
		return nil, eris.Wrap(err, "receive call")
	}
	return call, nil
}

// SendCall implements Stream.
func (s *stream) SendCall(c *wire.Call) error {
	if _, err := protodelim.MarshalTo(s.writer, c); err != nil {
		return eris.Wrap(err, "send call")
	}
	return eris.Wrap(s.writer.Flush(), "send call")
}

// closeSend closes the sending side. The error of Close is ignored: when the
// other side has already replied and closed the stream, Close fails although the
// call succeeded.
func (s *stream) closeSend() { _ = s.quicStream.Close() }

// Context implements Stream.
func (s *stream) Context() context.Context { return s.quicStream.Context() }

// Cancel implements Stream.
func (s *stream) Cancel() {
	if s.stopContextWatch != nil {
		s.stopContextWatch()
	}
	s.abort()
}

// abort ends the stream in both directions and releases the connection.
func (s *stream) abort() {
	if s.releaseConn != nil {
		s.releaseConn()
	}
	s.quicStream.CancelRead(1)
	s.quicStream.CancelWrite(1)
}
