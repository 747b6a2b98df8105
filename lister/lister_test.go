package lister

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/faker"
	"oleanderstall/storer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// store is a table of the platform that may be unavailable.
type store struct {
	mu      sync.Mutex
	rows    map[string]storer.Row
	version uint64
	down    bool
	calls   int
	// compacted is set while changes are not available.
	compacted bool
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

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setCompacted(compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = compacted
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
	if s.compacted && after > 0 {
		return storer.Changes{}, &storer.CompactedError{After: after}
	}
	c := storer.Changes{Version: s.version}
	for _, r := range s.rows {
		if r.Version > after {
			c.Rows = append(c.Rows, r)
		}
	}
	return c, nil
}

// decode decodes a row whose value is the server's pool.
func decode(r storer.Row) (tracker.Server, error) {
	if len(r.Value) == 0 {
		return tracker.Server{}, errors.New("no pool")
	}
	return tracker.Server{ID: r.Key[len("servers/"):], Pool: string(r.Value)}, nil
}

// fixture is a running lister with the servers that it passed on.
type fixture struct {
	store        *store
	lister       *Lister
	mu           sync.Mutex
	listed       map[string]*wire.ListedServer
	completeAsOf time.Duration
	// changes counts the changes that were passed on, by ID.
	changes map[string]int
	cancel  context.CancelFunc
}

func newFixture() *fixture {
	start := time.Now()
	fx := &fixture{store: &store{rows: map[string]storer.Row{}}, listed: map[string]*wire.ListedServer{}, changes: map[string]int{}}
	clock := func() time.Duration { return time.Hour + time.Since(start) }
	fx.lister = New("servers", decode, clock, fx.store, fx.apply, faker.DiscardLogger())
	ctx, cancel := context.WithCancel(context.Background())
	fx.cancel = cancel
	go fx.lister.Run(ctx)
	return fx
}

func (fx *fixture) apply(completeAsOf time.Duration, servers []*wire.ListedServer) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.completeAsOf = completeAsOf
	for _, server := range servers {
		fx.changes[server.GetId()]++
		fx.listed[server.GetId()] = server
		if server.GetGone() {
			delete(fx.listed, server.GetId())
		}
	}
}

// lists reports whether a server is listed, in the pool p.
func (fx *fixture) lists(id string) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.listed[id].GetPool() == "p"
}

// completed reports whether the list was ever complete.
func (fx *fixture) completed() bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.completeAsOf > 0
}

// count returns the number of calls to the store so far.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// stop ends the lister.
func (fx *fixture) stop() {
	fx.cancel()
	<-fx.lister.Done()
	<-fx.lister.Follower().Done()
}

// TestListFollowsRows checks that servers are listed as their rows appear and disappear, and
// that a row that cannot be decoded lists no server.
func TestListFollowsRows(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture()
		defer fx.stop()
		fx.store.put("a", "p")
		fx.store.put("b", "")
		time.Sleep(time.Second)
		assert.Assert(t, fx.lists("a") && !fx.lists("b"))
		fx.store.put("b", "p")
		fx.store.put("a", "")
		time.Sleep(time.Second)
		assert.Assert(t, !fx.lists("a") && fx.lists("b"))
		fx.store.remove("b")
		time.Sleep(time.Second)
		assert.Assert(t, !fx.lists("b"))
		assert.Assert(t, fx.completed())
	})
}

// TestOddRowIsWrittenAgain checks that a row that stays unreadable is passed on as gone once for each
// version that is read, and that sound servers are not listed again because of it, also when
// the table is read as a whole.
func TestOddRowIsWrittenAgain(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture()
		defer fx.stop()
		fx.store.put("a", "p")
		const writes = 20
		for i := range writes {
			fx.store.put("odd", "")
			fx.store.setCompacted(i%2 == 0)
			time.Sleep(time.Second)
			assert.Assert(t, fx.lists("a") && !fx.lists("odd"))
		}
		time.Sleep(10 * time.Second)
		fx.mu.Lock()
		defer fx.mu.Unlock()
		assert.Equal(t, fx.changes["a"], 1)
		assert.Equal(t, fx.changes["odd"], writes)
	})
}

// TestLapsedRowsAreKept checks that servers whose rows expired during an outage of the store
// stay listed until relistGrace has passed after it.
func TestLapsedRowsAreKept(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture()
		defer fx.stop()
		fx.store.put("a", "p")
		fx.store.put("b", "p")
		time.Sleep(time.Second)
		fx.store.setDown(true)
		time.Sleep(3 * time.Second)
		fx.store.remove("a")
		fx.store.remove("b")
		fx.store.setDown(false)
		time.Sleep(time.Second)
		assert.Assert(t, fx.lists("a") && fx.lists("b"))
		fx.store.put("b", "p")
		time.Sleep(relistGrace + time.Second)
		assert.Assert(t, !fx.lists("a") && fx.lists("b"))
	})
}

// TestSuspend checks that a suspended lister makes no calls, and catches up once it is
// resumed.
func TestSuspend(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture()
		defer fx.stop()
		time.Sleep(time.Second)
		fx.lister.Follower().Suspend(true)
		time.Sleep(time.Second)
		callsBefore := fx.store.count()
		fx.store.put("a", "p")
		time.Sleep(time.Minute)
		assert.Equal(t, fx.store.count(), callsBefore)
		assert.Assert(t, !fx.lists("a"))
		fx.lister.Follower().Suspend(false)
		time.Sleep(time.Second)
		assert.Assert(t, fx.lists("a"))
	})
}

// TestOmittedModelsLog checks that a row that leaves out models is logged when their number
// changes, and not again each time that the server writes its row.
func TestOmittedModelsLog(t *testing.T) {
	var written bytes.Buffer
	omitted := 0
	decode := func(storer.Row) (tracker.Server, error) {
		return tracker.Server{ID: "a", Inventory: tracker.Inventory{Omitted: omitted}}, nil
	}
	s := New("servers", decode, func() time.Duration { return time.Hour }, nil, nil, &log.Logger{Writer: &log.IOWriter{Writer: &written}})
	for version := range uint64(30) {
		omitted = int(version) / 10
		s.convertRows([]storer.Row{{Key: "servers/a", Version: version + 1}}, map[string]pendingRemoval{})
	}
	assert.Equal(t, bytes.Count(written.Bytes(), []byte("left out")), 2)
}
