package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// desk records what it is told.
type desk struct {
	mu     sync.Mutex
	states []uint64
	wanted chan struct{}
}

func (d *desk) State(s *wire.Condition) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states = append(d.states, s.GetNumber())
	return true
}

func (d *desk) seen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.states)
}

func (d *desk) Tell(string) *wire.Tell { return &wire.Tell{Entry: "e"} }

func (d *desk) Wanted(string) <-chan struct{} { return d.wanted }

// sidecar sends a state each second and counts what it is told.
type sidecar struct {
	mu     sync.Mutex
	tells  int
	silent bool
}

func (c *sidecar) handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	if call.GetTell() != nil {
		c.mu.Lock()
		c.tells++
		c.mu.Unlock()
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}})
		return
	}
	for i := uint64(1); ; i++ {
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent && s.Send(&wire.Reply{Body: &wire.Reply_Condition{Condition: &wire.Condition{Server: "i", Number: i}}}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

func (c *sidecar) told() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tells
}

func (c *sidecar) hush(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

func start() (*Watcher, *desk, *sidecar, *faker.Network, context.CancelFunc) {
	network, d, c := faker.NewNetwork(), &desk{wanted: make(chan struct{}, 1)}, &sidecar{}
	network.Attach("a", c.handle)
	l := faker.Silent()
	w := New("e", network, d, l)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	w.Add(storer.Instance{Name: "s", Address: "a"})
	return w, d, c, network, cancel
}

// TestWatch hears each state, tells at once what is new, and tells now and then
// that the entry lives.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, d, c, _, cancel := start()
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, d.seen(), 4)
		before := c.told()
		assert.Assert(t, before >= 6)
		d.wanted <- struct{}{}
		time.Sleep(30 * time.Millisecond)
		assert.Equal(t, c.told(), before+1)
		cancel()
		<-w.Done()
	})
}

// TestWatchAgain watches again after a stream that fell silent or broke off.
func TestWatchAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, d, c, network, cancel := start()
		time.Sleep(1500 * time.Millisecond)
		c.hush(true)
		time.Sleep(5 * time.Second)
		before := d.seen()
		c.hush(false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, d.seen() > before)
		network.Cut("a", true)
		w.Add(storer.Instance{Name: "s", Address: "a", Started: 2})
		time.Sleep(3 * time.Second)
		before = d.seen()
		network.Cut("a", false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, d.seen() > before)
		w.Remove("s")
		time.Sleep(time.Second)
		before = d.seen()
		time.Sleep(3 * time.Second)
		assert.Equal(t, d.seen(), before)
		cancel()
		<-w.Done()
	})
}
