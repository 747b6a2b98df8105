package runner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/receiver"
	"oleanderstall/reserver"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of what callers hold. See docs/design/caller-budget.md.
const (
	// callerShare is the share of the memory of the process that callers may hold. The heap may grow
	// to heapFraction of the memory, and garbage may be as large as what is in use.
	callerShare = 0.35
	// defaultCallerBytes is what callers may hold if the memory of the process is not known.
	defaultCallerBytes = 256 << 20
	// minCallerBytes is what callers may hold in a process with hardly any memory. It has room for
	// single requests.
	minCallerBytes = 16 << 20
	// reservedDescriptors is the number of descriptors that callers' connections leave to the
	// process, and controlConnections the number of connections to the listeners of metrics, health
	// and readiness.
	reservedDescriptors = 200
	controlConnections  = 64
	// minConnections is the least number of callers' connections, for a process that can open
	// hardly any descriptors.
	minConnections = 16
	// bodySilence bounds the time without a byte of a body. On a link on which other callers'
	// packets go first, retransmissions may take some seconds.
	bodySilence = 15 * time.Second
	// bodyTimeout bounds the time until a body is complete, which each bodyRate bytes prolong by a
	// second. A link of 10 Mbit/s that 50 bodies share still carries more to each.
	bodyTimeout = 30 * time.Second
	bodyRate    = 16 << 10
	// answerSilence bounds the time in which a caller takes nothing of an answer.
	answerSilence = 30 * time.Second
	// reserveWait bounds the time for which a request waits for room, and reserveInterval is the
	// time between two tries.
	reserveWait     = time.Second
	reserveInterval = 20 * time.Millisecond
	// sweepInterval is the time between two checks of the time limits.
	sweepInterval = 250 * time.Millisecond
	// guardLogInterval is the shortest time between two log lines about one cause.
	guardLogInterval = 5 * time.Second
	// answerTimeout bounds the time to send an answer that net/http does not send.
	answerTimeout = 100 * time.Millisecond
)

// headSlack is added to the limit of a head while it is read. The server reads in blocks, so that the
// last one may also contain the beginning of the body.
const headSlack = 4 << 10

// callerGuard bounds what callers make the process hold. All listeners of a process share one.
type callerGuard struct {
	reserver *reserver.Reserver
	clock    timer.Clock
	meter    *meter.Meter
	log      *log.Logger

	mu sync.Mutex
	// logged is when a cause was last logged, and unlogged how often it has occurred since.
	logged   map[reserver.Cause]time.Duration
	unlogged map[reserver.Cause]int
}

// newCallerGuard returns a guard for a process with memoryBytes of memory, or an unknown amount if
// that is 0.
func newCallerGuard(memoryBytes float64, clock timer.Clock, m *meter.Meter, l *log.Logger) *callerGuard {
	g := &callerGuard{
		reserver: reserver.New(callerLimits(callerBytes(memoryBytes), maxDescriptors())),
		clock:    clock, meter: m, log: l,
		logged: map[reserver.Cause]time.Duration{}, unlogged: map[reserver.Cause]int{},
	}
	m.RegisterCallers(g.reserver.Held)
	return g
}

// callerBytes returns what callers may hold in a process with the given memory. If that is not
// known, it follows from the limit of the Go runtime (GOMEMLIMIT).
func callerBytes(memoryBytes float64) int64 {
	if memoryBytes > 0 {
		return max(minCallerBytes, int64(callerShare*memoryBytes))
	}
	// The runtime's default limit is above maxHeapLimit and stands for no limit.
	const maxHeapLimit = 1 << 50
	if limit := debug.SetMemoryLimit(-1); limit < maxHeapLimit {
		return max(minCallerBytes, int64(callerShare/heapFraction*float64(limit)))
	}
	return defaultCallerBytes
}

// maxDescriptors returns the number of descriptors that the process may open.
func maxDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return reservedDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// callerLimits returns the limits of a process. A request needs two descriptors, that of its
// caller's connection and that of the connection to a backend server.
func callerLimits(bytes int64, descriptors int) reserver.Limits {
	connections := (descriptors - reservedDescriptors - controlConnections) / 2
	connections = min(connections, int(bytes/(2*reserver.ConnectionBytes)))
	limits := reserver.Limits{
		Bytes:         bytes,
		HeadBytes:     maxHeaderBytes,
		HeadTimeout:   headerTimeout,
		IdleTimeout:   idleTimeout,
		BodySilence:   bodySilence,
		BodyTimeout:   bodyTimeout,
		BodyRate:      bodyRate,
		AnswerSilence: answerSilence,
	}
	limits.Connections[reserver.Callers] = max(minConnections, connections)
	limits.Connections[reserver.Control] = controlConnections
	limits.Connections[reserver.Peers] = math.MaxInt
	return limits
}

// applyConfig puts limits of a configuration into force. A limit that is 0 has its default.
func (g *callerGuard) applyConfig(headBytes, headMillis, idleMillis uint32) {
	limits := callerLimits(0, 0)
	head, timeout, idle := limits.HeadBytes, limits.HeadTimeout, limits.IdleTimeout
	if headBytes > 0 {
		head = int64(headBytes)
	}
	if headMillis > 0 {
		timeout = timer.FromMillis(headMillis)
	}
	if idleMillis > 0 {
		idle = timer.FromMillis(idleMillis)
	}
	g.reserver.SetRequestLimits(head, timeout, idle)
}

// run ends the connections that exceed a time limit until ctx ends.
func (g *callerGuard) run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, h := range g.reserver.Expired(g.clock()) {
				g.end(h)
			}
		}
	}
}

// listener returns the guard of one listener. untimed is set if net/http bounds the heads and the
// idle times of its connections.
func (g *callerGuard) listener(group reserver.Group, untimed bool) *listenerGuard {
	return &listenerGuard{callerGuard: g, group: group, untimed: untimed}
}

// end ends a connection that the reserver has named.
func (g *callerGuard) end(h *reserver.Holding) {
	c, ok := h.Owner().(*drainConn)
	if !ok {
		// The request of another process is not ended.
		return
	}
	cause := g.reserver.Cause(h)
	g.record(cause, c)
	c.endReads()
	if g.reserver.IsWriting(h) {
		// A caller that does not read its answer does not read a refusal either.
		_ = c.Conn.Close()
	}
}

// record counts and logs that a connection was ended or a request refused. The log names one
// connection of each cause at most once in guardLogInterval.
func (g *callerGuard) record(cause reserver.Cause, c *drainConn) {
	g.meter.RecordCallerEnded(cause.String())
	now := g.clock()
	g.mu.Lock()
	last, known := g.logged[cause]
	g.unlogged[cause]++
	count := g.unlogged[cause]
	if known && now-last < guardLogInterval {
		g.mu.Unlock()
		return
	}
	g.logged[cause], g.unlogged[cause] = now, 0
	g.mu.Unlock()
	connections, held := g.reserver.Held()
	g.log.Warn().Str("cause", cause.String()).Int("count", count).Str("last", c.Conn.RemoteAddr().String()).
		Int("connections", connections).Int64("held", held).Int64("limit", g.reserver.Limits().Bytes).Msg("callers: ended")
}

// listenerGuard is a callerGuard for the connections of one listener.
type listenerGuard struct {
	*callerGuard
	group   reserver.Group
	untimed bool
}

// Answers that are sent without net/http, before a request is known.
const (
	noRoomAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	tooLongHead  = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// admit adds a connection. If there is no room for it, it refuses and closes it and returns false.
func (g *listenerGuard) admit(c *drainConn) bool {
	holding, victim := g.reserver.Admit(g.clock(), c, g.group, g.untimed)
	if victim != nil {
		g.end(victim)
	}
	if holding == nil {
		g.record(reserver.Connections, c)
		if !g.untimed {
			g.answer(c, noRoomAnswer)
		}
		_ = c.Conn.Close()
		return false
	}
	c.holding = holding
	return true
}

// answer writes an answer directly to a connection.
func (g *listenerGuard) answer(c *drainConn, text string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(c.Conn, text); err == nil {
		_ = c.CloseWrite()
	}
}

// remove returns what a closed connection held.
func (g *listenerGuard) remove(c *drainConn) { g.reserver.Remove(c.holding) }

// recordState records that a connection has become idle, or that a head is complete.
func (g *listenerGuard) recordState(c *drainConn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		g.reserver.Enter(g.clock(), c.holding, reserver.Idle)
	case http.StateActive:
		g.reserver.Enter(g.clock(), c.holding, reserver.Body)
	}
}

// errHeadRefused ends a connection whose head was refused.
var errHeadRefused = errors.New("the head of the request was refused")

// recordRead records bytes that were read. It returns an error after it has refused a head.
func (g *listenerGuard) recordRead(c *drainConn, data []byte, inHead bool) error {
	if !inHead || g.untimed {
		g.reserver.BodyRead(g.clock(), c.holding, int64(len(data)))
		return nil
	}
	reserve, headBytes := g.reserver.HeadRead(g.clock(), c.holding, int64(len(data)), int64(bytes.Count(data, []byte{'\n'})))
	if headBytes > g.reserver.Limits().HeadBytes+headSlack {
		g.record(reserver.HeadTooLarge, c)
		g.answer(c, tooLongHead)
		return errHeadRefused
	}
	if cause := g.reserve(context.Background(), c, reserve); cause != reserver.None {
		g.answer(c, noRoomAnswer)
		return errHeadRefused
	}
	return nil
}

// recordWrite records that a connection writes, or has written, a part of an answer.
func (g *listenerGuard) recordWrite(c *drainConn, more bool) {
	g.reserver.Writing(g.clock(), c.holding, more)
}

// reserve reserves bytes for a connection. It returns None, or why they were not granted.
func (g *callerGuard) reserve(ctx context.Context, c *drainConn, n int64) reserver.Cause {
	if g.tryReserve(ctx, c.holding, n) {
		return reserver.None
	}
	cause := g.reserver.Cause(c.holding)
	if cause == reserver.None {
		cause = reserver.Budget
		g.record(cause, c)
	}
	return cause
}

// tryReserve reserves bytes. It waits for them for at most reserveWait, while it ends connections
// that stall.
func (g *callerGuard) tryReserve(ctx context.Context, h *reserver.Holding, n int64) bool {
	deadline := g.clock() + reserveWait
	for {
		outcome, victim := g.reserver.Reserve(g.clock(), h, n)
		if victim != nil {
			g.end(victim)
		}
		if outcome == reserver.Granted {
			return true
		}
		if outcome == reserver.Refused || g.clock() >= deadline || ctx.Err() != nil {
			g.reserver.StopWaiting(g.clock(), h)
			return false
		}
		time.Sleep(reserveInterval)
	}
}

// account is what one request holds. It implements receiver.Account.
type account struct {
	guard *listenerGuard
	conn  *drainConn
	held  atomic.Int64
}

// Reserve implements receiver.Account.
func (a *account) Reserve(ctx context.Context, n int64) error {
	if cause := a.guard.reserve(ctx, a.conn, n); cause != reserver.None {
		return a.refusal(cause)
	}
	a.held.Add(n)
	return nil
}

// refusal returns the refusal of a request whose body is not complete.
func (a *account) refusal(cause reserver.Cause) error {
	if !a.guard.untimed {
		// The server would otherwise read on before it sends the refusal. A connection with TLS may
		// carry other requests.
		a.conn.endReads()
	}
	if cause == reserver.BodyTimeout {
		return receiver.Stopped()
	}
	return receiver.NoRoom()
}

// Release implements receiver.Account.
func (a *account) Release(n int64) {
	a.held.Add(-n)
	a.guard.reserver.Release(a.conn.holding, n)
}

// close returns all that the request holds.
func (a *account) close() {
	if n := a.held.Swap(0); n > 0 {
		a.guard.reserver.Release(a.conn.holding, n)
	}
}

// watchedBody is the body of a request on a guarded connection.
type watchedBody struct {
	io.ReadCloser
	account *account
	ended   bool
}

// Read implements io.Reader. An error because of a limit is a *refuser.Refusal.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.ended {
		return n, err
	}
	a := b.account
	if errors.Is(err, io.EOF) && a.guard.reserver.Enter(a.guard.clock(), a.conn.holding, reserver.Serving) {
		b.ended = true
		return n, err
	}
	if cause := a.guard.reserver.Cause(a.conn.holding); cause != reserver.None {
		return n, a.refusal(cause)
	}
	return n, err
}

// wrap returns a handler whose requests have accounts. Heads that are longer than the limit are
// refused.
func (g *listenerGuard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil || c.holding == nil {
			next.ServeHTTP(w, r)
			return
		}
		a := &account{guard: g, conn: c}
		defer a.close()
		if !g.untimed && headLength(r) > g.reserver.Limits().HeadBytes {
			g.record(reserver.HeadTooLarge, c)
			c.endReads()
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		switch {
		case r.ProtoMajor > 1:
			// The connection carries other requests too, so that its phase says nothing of this one.
			g.reserver.Enter(g.clock(), c.holding, reserver.Serving)
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		case r.ContentLength == 0:
			if !g.reserver.Enter(g.clock(), c.holding, reserver.Serving) {
				// The reads of the connection fail, so that the server would take the caller for gone
				// while the request runs.
				w.Header().Set("Retry-After", "1")
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		default:
			r.Body = &watchedBody{ReadCloser: r.Body, account: a}
		}
		next.ServeHTTP(w, r.WithContext(receiver.WithAccount(r.Context(), a)))
	})
}

// headLength returns the length of the head of a request, without optional white space.
func headLength(r *http.Request) int64 {
	const lineEnd, separator, versionBytes = 2, 2, 10
	n := len(r.Method) + 1 + len(r.RequestURI) + versionBytes + lineEnd + len("Host: ") + len(r.Host) + lineEnd + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + separator + len(value) + lineEnd
		}
	}
	return int64(n)
}

// guardConnKey is the key of a request's connection in its context.
type guardConnKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, _ := drainConnOf(conn); c != nil {
		return context.WithValue(ctx, guardConnKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *drainConn {
	c, _ := ctx.Value(guardConnKey{}).(*drainConn)
	return c
}

// peerAccount is what one request of another process holds. It implements receiver.Account.
type peerAccount struct {
	guard   *callerGuard
	holding *reserver.Holding
}

// Reserve implements receiver.Account.
func (a *peerAccount) Reserve(ctx context.Context, n int64) error {
	if a.guard.tryReserve(ctx, a.holding, n) {
		return nil
	}
	a.guard.meter.RecordCallerEnded(reserver.Budget.String())
	return receiver.NoRoom()
}

// Release implements receiver.Account.
func (a *peerAccount) Release(n int64) { a.guard.reserver.Release(a.holding, n) }

// wrapPeer returns a handler whose requests have accounts, so that the answers of a backend server
// are part of the budget.
func (g *callerGuard) wrapPeer(next peer.Handler) peer.Handler {
	return func(ctx context.Context, call *wire.Call, s peer.Stream) {
		if call.GetInvoke() == nil {
			next(ctx, call, s)
			return
		}
		holding, victim := g.reserver.Admit(g.clock(), nil, reserver.Peers, true)
		if victim != nil {
			g.end(victim)
		}
		if holding == nil {
			_ = s.Send(receiver.NoRoom().Reply())
			return
		}
		defer g.reserver.Remove(holding)
		g.reserver.Enter(g.clock(), holding, reserver.Serving)
		next(receiver.WithAccount(ctx, &peerAccount{guard: g, holding: holding}), call, s)
	}
}
