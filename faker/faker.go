// Package faker has the fakes that the tests of several packages share: a clock
// set by hand, and the outside systems in memory without a network.
package faker

import (
	"context"
	"io"
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

// Clock is a clock that a test sets. It is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Duration
}

// NewClock returns a clock at an instant above zero.
func NewClock() *Clock { return &Clock{now: time.Hour} }

// Now returns the present instant.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// OutageError is what a platform that is down answers.
type OutageError struct{}

// Error describes the failure.
func (e *OutageError) Error() string { return "platform is down" }

// Platform is the platform's table, object store and instance list. It is safe
// for concurrent use.
type Platform struct {
	mu        sync.Mutex
	rows      map[string]storer.Row
	objects   map[string][]byte
	instances []storer.Instance
	version   uint64
	down      bool
	lose      int
	commits   int
}

// NewPlatform returns an empty platform that is up.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]storer.Row{}, objects: map[string][]byte{}}
}

// Down makes every call fail until it is set to false again.
func (p *Platform) Down(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Lose drops the answers of the next n commits after they took effect.
func (p *Platform) Lose(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// Commits returns the number of commits that took effect.
func (p *Platform) Commits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commits
}

// SetInstances sets the instance list.
func (p *Platform) SetInstances(list ...storer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// Get implements storer.Table.
func (p *Platform) Get(_ context.Context, key string) (storer.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return storer.Row{}, &OutageError{}
	}
	row := p.rows[key]
	row.Key = key
	return row, nil
}

// List implements storer.Table.
func (p *Platform) List(_ context.Context, prefix string) ([]storer.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &OutageError{}
	}
	var rows []storer.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit implements storer.Table.
func (p *Platform) Commit(_ context.Context, tx storer.Transaction) ([]uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &OutageError{}
	}
	for _, c := range tx.Checks {
		if p.rows[c.Key].Version != c.Version {
			return nil, &storer.ConflictError{Key: c.Key}
		}
	}
	var versions []uint64
	for _, put := range tx.Puts {
		p.version++
		p.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Version: p.version}
		versions = append(versions, p.version)
	}
	for _, key := range tx.Deletes {
		delete(p.rows, key)
	}
	p.commits++
	if p.lose > 0 {
		p.lose--
		return nil, &OutageError{}
	}
	return versions, nil
}

// Load implements storer.Store.
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

// Save implements storer.Store.
func (p *Platform) Save(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return &OutageError{}
	}
	p.objects[name] = data
	return nil
}

// Instances implements storer.Lister.
func (p *Platform) Instances(context.Context, string) ([]storer.Instance, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, "", &OutageError{}
	}
	return slices.Clone(p.instances), "", nil
}

// Register implements storer.Lister.
func (p *Platform) Register(context.Context, storer.Instance) error { return nil }

// Deregister implements storer.Lister.
func (p *Platform) Deregister(context.Context, string) error { return nil }

// Network carries calls between handlers in memory. It is safe for concurrent
// use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]peer.Handler
	cut      map[string]bool
	lose     map[string]bool
	calls    int
}

// Calls returns the number of calls so far.
func (n *Network) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{handlers: map[string]peer.Handler{}, cut: map[string]bool{}, lose: map[string]bool{}}
}

// Attach makes h answer the calls to address.
func (n *Network) Attach(address string, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

// Detach makes calls to address fail.
func (n *Network) Detach(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// Cut makes calls to address fail before they are sent.
func (n *Network) Cut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Lose makes the answers of address get lost after its handler has run.
func (n *Network) Lose(address string, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose[address] = lose
}

// Open implements peer.Caller.
func (n *Network) Open(ctx context.Context, address string, call *wire.Call) (peer.Stream, error) {
	return n.Join(ctx, address, call)
}

// Join implements peer.Joiner.
func (n *Network) Join(ctx context.Context, address string, call *wire.Call) (peer.Stream, error) {
	n.mu.Lock()
	h, cut := n.handlers[address], n.cut[address]
	n.calls++
	n.mu.Unlock()
	if h == nil || cut {
		return nil, &peer.SendError{Address: address}
	}
	return &link{Stream: peer.Pipe(ctx, h, call), network: n, address: address}, nil
}

// link is a stream of the network, which may be cut or lose what is sent on it. A
// stream that has lost something ends once the fault does.
type link struct {
	peer.Stream
	network *Network
	address string
	torn    atomic.Bool
}

// broken reports whether the address is cut off, and whether its answers get lost.
func (l *link) broken() (cut, lose bool) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.network.cut[l.address], l.network.lose[l.address]
}

// check returns an error if the stream has lost something to a fault that is over.
func (l *link) check(faulty bool) error {
	if faulty || !l.torn.Load() {
		return nil
	}
	l.Cancel()
	return &peer.SendError{Address: l.address, Sent: true}
}

// Recv implements peer.Stream. Lost replies do not arrive.
func (l *link) Recv() (*wire.Reply, error) {
	for {
		r, err := l.Stream.Recv()
		if err != nil {
			return nil, err
		}
		cut, lose := l.broken()
		if err := l.check(cut || lose); err != nil {
			return nil, err
		}
		if !cut && !lose {
			return r, nil
		}
		l.torn.Store(true)
	}
}

// Tell implements peer.Stream. Calls to an address that is cut off are lost.
func (l *link) Tell(c *wire.Call) error {
	cut, lose := l.broken()
	if err := l.check(cut || lose); err != nil {
		return err
	}
	if cut {
		l.torn.Store(true)
		return nil
	}
	return l.Stream.Tell(c)
}

// Silent returns a log that writes nothing.
func Silent() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
