package lister

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/storer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// store is a table of the platform that may be away.
type store struct {
	mu      sync.Mutex
	rows    map[string]storer.Row
	version uint64
	down    bool
	calls   int
}

func (s *store) put(id, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows["servers/"+id] = storer.Row{Key: "servers/" + id, Value: []byte(value), Version: s.version}
}

func (s *store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows["servers/"+id] = storer.Row{Key: "servers/" + id, Version: s.version, Deleted: true}
}

func (s *store) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Snapshot(ctx context.Context, table string) (storer.Changes, error) {
	return s.Follow(ctx, table, 0, 0)
}

func (s *store) Follow(_ context.Context, _ string, after uint64, _ time.Duration) (storer.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return storer.Changes{}, &faker.OutageError{}
	}
	c := storer.Changes{Version: s.version}
	for _, r := range s.rows {
		if r.Version > after {
			c.Rows = append(c.Rows, r)
		}
	}
	return c, nil
}

// decode reads a row whose value is the server's pool.
func decode(r storer.Row) (tracker.Server, error) {
	if len(r.Value) == 0 {
		return tracker.Server{}, errors.New("no pool")
	}
	return tracker.Server{ID: r.Key[len("servers/"):], Pool: string(r.Value)}, nil
}

// rig is a lister with what it passed on.
type rig struct {
	store  *store
	lister *Lister
	mu     sync.Mutex
	listed map[string]*wire.ListedServer
	proven time.Duration
	cancel context.CancelFunc
}

func newRig() *rig {
	begun := time.Now()
	r := &rig{store: &store{rows: map[string]storer.Row{}}, listed: map[string]*wire.ListedServer{}}
	clock := func() time.Duration { return time.Hour + time.Since(begun) }
	r.lister = New("servers", decode, clock, r.store, r.apply, faker.Silent())
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.lister.Run(ctx)
	return r
}

func (r *rig) apply(proven time.Duration, items []*wire.ListedServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven = proven
	for _, it := range items {
		r.listed[it.GetId()] = it
		if it.GetGone() {
			delete(r.listed, it.GetId())
		}
	}
}

// has reports whether a server is listed, as one of the pool p.
func (r *rig) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[id].GetPool() == "p"
}

// seen reports whether the list was complete at some instant.
func (r *rig) seen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proven > 0
}

// count returns the number of calls to the store so far.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// stop ends the lister.
func (r *rig) stop() {
	r.cancel()
	<-r.lister.Done()
	<-r.lister.Follower().Done()
}

// TestLists passes servers on as they come and go, and uses no row that cannot be read.
func TestLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.stop()
		r.store.put("a", "p")
		r.store.put("b", "")
		time.Sleep(time.Second)
		assert.Assert(t, r.has("a") && !r.has("b"))
		r.store.put("b", "p")
		r.store.put("a", "")
		time.Sleep(time.Second)
		assert.Assert(t, !r.has("a") && r.has("b"))
		r.store.remove("b")
		time.Sleep(time.Second)
		assert.Assert(t, !r.has("b"))
		assert.Assert(t, r.seen())
	})
}

// TestLapses keeps servers whose rows have lapsed with the store until they had time to
// come back.
func TestLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.stop()
		r.store.put("a", "p")
		r.store.put("b", "p")
		time.Sleep(time.Second)
		r.store.set(true)
		time.Sleep(3 * time.Second)
		r.store.remove("a")
		r.store.remove("b")
		r.store.set(false)
		time.Sleep(time.Second)
		assert.Assert(t, r.has("a") && r.has("b"))
		r.store.put("b", "p")
		time.Sleep(returnTime + time.Second)
		assert.Assert(t, !r.has("a") && r.has("b"))
	})
}

// TestHeld makes no calls while another process tells what has changed, and catches up
// afterwards.
func TestHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.stop()
		time.Sleep(time.Second)
		r.lister.Follower().Suspend(true)
		time.Sleep(time.Second)
		before := r.store.count()
		r.store.put("a", "p")
		time.Sleep(time.Minute)
		assert.Equal(t, r.store.count(), before)
		assert.Assert(t, !r.has("a"))
		r.lister.Follower().Suspend(false)
		time.Sleep(time.Second)
		assert.Assert(t, r.has("a"))
	})
}
