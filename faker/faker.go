// Package faker provides the fakes that the tests of several packages share: a
// manually advanced clock, an in-memory platform and an in-memory network.
package faker

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Clock is a monotonic clock that moves only when a test advances it. It is safe
// for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Duration
}

// NewClock returns a clock that shows one hour, so that the zero time lies in the
// past.
func NewClock() *Clock { return &Clock{now: time.Hour} }

// Now returns the current time of the clock.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// OutageError is returned by calls to a platform that is down, and by commits
// whose answer is lost.
type OutageError struct{}

// Error implements error.
func (e *OutageError) Error() string { return "platform is down" }

// Platform is an in-memory table, object store and instance list. It is safe for
// concurrent use.
type Platform struct {
	mu sync.Mutex
	// rows have the numbers that were given out, without the era.
	rows        map[string]storer.Row
	objects     map[string][]byte
	instances   []storer.Instance
	number      uint64
	era         uint64
	down        bool
	lostAnswers int
	commits     int
}

// NewPlatform returns an empty platform that is up.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]storer.Row{}, objects: map[string][]byte{}, era: storer.FirstEra}
}

// TableCopy is the state of a platform's table at one time.
type TableCopy struct {
	rows   map[string]storer.Row
	number uint64
}

// Copy returns a copy of the table.
func (p *Platform) Copy() TableCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TableCopy{rows: maps.Clone(p.rows), number: p.number}
}

// Restore sets the table back to a copy and begins another era: numbers that were given out since
// are given out again.
func (p *Platform) Restore(c TableCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows, p.number = maps.Clone(c.rows), c.number
	p.era++
}

// Era implements storer.Table.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// row returns a row with its version. The caller holds the lock.
func (p *Platform) row(key string) storer.Row {
	row := p.rows[key]
	row.Key, row.Version = key, storer.NewVersion(p.era, row.Version)
	return row
}

// SetDown makes all reads and writes fail with OutageError while down is true.
// Register and Deregister, which do nothing, still succeed.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// LoseAnswers makes the next n commits take effect and still return OutageError, as
// if their answers had been lost.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAnswers = n
}

// Commits returns the number of commits that took effect, including those whose
// answer was lost.
func (p *Platform) Commits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commits
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list ...storer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// Get implements storer.Table. A row that does not exist has version 0.
func (p *Platform) Get(_ context.Context, key string) (storer.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return storer.Row{}, &OutageError{}
	}
	return p.row(key), nil
}

// List implements storer.Table. The rows are sorted by key.
func (p *Platform) List(_ context.Context, prefix string) ([]storer.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &OutageError{}
	}
	var rows []storer.Row
	for key := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, p.row(key))
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit implements storer.Table. It returns the versions of the rows that were
// put, or a ConflictError if a check does not hold.
func (p *Platform) Commit(_ context.Context, tx storer.Transaction) ([]uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &OutageError{}
	}
	for _, check := range tx.Checks {
		if p.row(check.Key).Version != check.Version {
			return nil, &storer.ConflictError{Key: check.Key}
		}
	}
	var versions []uint64
	for _, put := range tx.Puts {
		p.number++
		p.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Version: p.number}
		versions = append(versions, p.row(put.Key).Version)
	}
	for _, key := range tx.Deletes {
		delete(p.rows, key)
	}
	p.commits++
	if p.lostAnswers > 0 {
		p.lostAnswers--
		return nil, &OutageError{}
	}
	return versions, nil
}

// Load implements storer.ObjectStore. It returns a MissingError for an unknown object.
func (p *Platform) Load(_ context.Context, name string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &OutageError{}
	}
	data, ok := p.objects[name]
	if !ok {
		return nil, &storer.MissingError{Name: name}
	}
	return data, nil
}

// Save implements storer.ObjectStore.
func (p *Platform) Save(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return &OutageError{}
	}
	p.objects[name] = data
	return nil
}

// Instances implements storer.Lister. The returned tag is always empty, so that
// the list never counts as unchanged.
func (p *Platform) Instances(context.Context, string) ([]storer.Instance, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, "", &OutageError{}
	}
	return slices.Clone(p.instances), "", nil
}

// Register implements storer.Lister. It does nothing: tests set the list by
// SetInstances.
func (p *Platform) Register(context.Context, storer.Instance) error { return nil }

// Deregister implements storer.Lister. It does nothing.
func (p *Platform) Deregister(context.Context, string) error { return nil }

// Network routes calls between in-process handlers by address, and injects
// network faults. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	handlers    map[string]peer.Handler
	unreachable map[string]bool
	replyLoss   map[string]bool
	calls       int
}

// Calls returns the number of streams that were opened, including failed attempts.
func (n *Network) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// NewNetwork returns a network without handlers.
func NewNetwork() *Network {
	return &Network{handlers: map[string]peer.Handler{}, unreachable: map[string]bool{}, replyLoss: map[string]bool{}}
}

// Attach registers the handler of the calls to address.
func (n *Network) Attach(address string, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Detach removes the handler of address, so that new calls to it fail. Open
// streams continue.
func (n *Network) Detach(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// SetUnreachable makes an address unreachable or reachable again. While it is
// unreachable, new calls fail before they are sent, and open streams lose messages in
// both directions.
func (n *Network) SetUnreachable(address string, unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = unreachable
}

// SetReplyLoss starts or stops the loss of the replies of address. Its handler still runs.
func (n *Network) SetReplyLoss(address string, losing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replyLoss[address] = losing
}

// Open implements peer.Caller. It fails with a SendError if the address has no
// handler or is unreachable.
func (n *Network) Open(ctx context.Context, address string, call *wire.Call) (peer.Stream, error) {
	return n.OpenDuplex(ctx, address, call)
}

// OpenDuplex implements peer.DuplexCaller, in the same way as Open.
func (n *Network) OpenDuplex(ctx context.Context, address string, call *wire.Call) (peer.Stream, error) {
	n.mu.Lock()
	handler, unreachable := n.handlers[address], n.unreachable[address]
	n.calls++
	n.mu.Unlock()
	if handler == nil || unreachable {
		return nil, &peer.SendError{Address: address}
	}
	return &link{Stream: peer.Pipe(ctx, handler, call), network: n, address: address}, nil
}

// link is a stream that drops messages while its address has a fault. A stream that
// has lost a message is canceled at its next use after the fault, since the receiver
// would otherwise continue with a gap.
type link struct {
	peer.Stream
	network  *Network
	address  string
	lostData atomic.Bool
}

// faults returns the current faults of the address: whether it is unreachable, and
// whether its replies are lost.
func (l *link) faults() (unreachable, losesReplies bool) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.network.unreachable[l.address], l.network.replyLoss[l.address]
}

// endAfterFault cancels the stream and returns a SendError if a message was lost to a
// fault that has ended.
func (l *link) endAfterFault(faultActive bool) error {
	if faultActive || !l.lostData.Load() {
		return nil
	}
	l.Cancel()
	return &peer.SendError{Address: l.address, Sent: true}
}

// Recv implements peer.Stream. It skips replies that are lost to a fault.
func (l *link) Recv() (*wire.Reply, error) {
	for {
		reply, err := l.Stream.Recv()
		if err != nil {
			return nil, err
		}
		unreachable, losesReplies := l.faults()
		if err := l.endAfterFault(unreachable || losesReplies); err != nil {
			return nil, err
		}
		if !unreachable && !losesReplies {
			return reply, nil
		}
		l.lostData.Store(true)
	}
}

// SendCall implements peer.Stream. A call to an unreachable address is lost without an
// error.
func (l *link) SendCall(c *wire.Call) error {
	unreachable, losesReplies := l.faults()
	if err := l.endAfterFault(unreachable || losesReplies); err != nil {
		return err
	}
	if unreachable {
		l.lostData.Store(true)
		return nil
	}
	return l.Stream.SendCall(c)
}

// DiscardLogger returns a logger that discards its output.
func DiscardLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
