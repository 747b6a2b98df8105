package locator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// TestWaitsForItsModel lets a request wait until one engine has loaded its model.
func TestWaitsForItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		got := r.find(context.Background(), r.request("m", 5*time.Second))
		i := r.wanted("m", 3)
		assert.Assert(t, i >= 0)
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, len(got), 0)
		r.state(i, nil, "m")
		f := <-got
		assert.NilError(t, f.err)
		assert.Equal(t, f.place.Name, engine(i))
		assert.Equal(t, r.wanted("m", 3), -1)
	})
}

// TestOneEngineForOneModel asks one engine however many requests wait.
func TestOneEngineForOneModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		for range 5 {
			r.find(context.Background(), r.request("m", time.Second))
		}
		n := 0
		for i := range 3 {
			n += len(r.wants(i))
		}
		assert.Equal(t, n, 1)
		assert.Equal(t, r.count(r.wanted("m", 3)), uint32(5))
		time.Sleep(2 * time.Second)
	})
}

// TestHopeless refuses at once what no engine can load in time, and says that it
// has not run and when to come back.
func TestHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		for i := range 2 {
			r.state(i, func(s *wire.EngineStatus) { s.Disk = nil })
		}
		begun := r.clock()
		f := <-r.find(context.Background(), r.request("m", 3*time.Second))
		assert.Assert(t, refuser.Is(f.err, refuser.Late), "%v", f.err)
		assert.Assert(t, refuser.Of(f.err).Never())
		assert.Assert(t, refuser.Of(f.err).Retry() > 0)
		assert.Equal(t, f.at, begun)
	})
}

// TestHopelessIsWanted goes on wanting the model of a request that was refused,
// until its caller may have come back.
func TestHopelessIsWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.state(0, func(s *wire.EngineStatus) { s.Disk = nil })
		f := <-r.find(context.Background(), r.request("m", 3*time.Second))
		assert.Assert(t, refuser.Is(f.err, refuser.Late), "%v", f.err)
		assert.Equal(t, r.wanted("m", 1), 0)
		time.Sleep(refuser.Of(f.err).Retry())
		r.state(0, func(s *wire.EngineStatus) { s.Disk = nil })
		assert.Equal(t, r.wanted("m", 1), 0)
		time.Sleep(2 * backTime)
		assert.Equal(t, r.wanted("m", 1), -1)
	})
}

// TestEndsInTime refuses a request whose model has not come shortly before its
// deadline.
func TestEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		begun := r.clock()
		f := <-r.find(context.Background(), r.request("m", 3*time.Second))
		assert.Assert(t, refuser.Of(f.err).Never())
		assert.Assert(t, f.at-begun <= 3*time.Second && f.at-begun > 2*time.Second)
	})
}

// TestCallerLeaves takes the want back when nobody waits any more.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		ctx, cancel := context.WithCancel(context.Background())
		got := r.find(ctx, r.request("m", 5*time.Second))
		assert.Assert(t, r.wanted("m", 2) >= 0)
		cancel()
		f := <-got
		assert.Assert(t, refuser.Is(f.err, refuser.Canceled))
		assert.Equal(t, r.wanted("m", 2), -1)
	})
}

// TestMovesOn asks another engine when the one that was asked falls silent, or
// has nothing that it can unload.
func TestMovesOn(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*wire.EngineStatus)
	}{
		{"silent", nil},
		{"blocked", func(s *wire.EngineStatus) {
			s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 800, Blocked: true}}
			s.Free = 0
		}},
		{"leaving", func(s *wire.EngineStatus) { s.Leaving = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				got := r.find(context.Background(), r.request("m", 10*time.Second))
				first := r.wanted("m", 2)
				if c.change == nil {
					r.silence(first)
				}
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					r.state(1-first, nil)
					if c.change != nil {
						r.state(first, c.change)
					}
				}
				assert.Equal(t, r.wanted("m", 2), 1-first)
				r.state(1-first, nil, "m")
				assert.NilError(t, (<-got).err)
			})
		})
	}
}

// TestNotSentToClosing sends nothing for a model that is about to be unloaded, nor
// to a server that leaves or was tried.
func TestNotSentToClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.state(0, func(s *wire.EngineStatus) { s.Residents[0].Closing = true }, "m")
		r.state(1, func(s *wire.EngineStatus) { s.Leaving = true }, "m")
		r.state(2, nil, "m")
		for range 5 {
			f := <-r.find(context.Background(), r.request("m", time.Second))
			assert.NilError(t, f.err)
			assert.Equal(t, f.place.Name, engine(2))
		}
	})
}

// TestClumpIsSpread sends a clump of requests of one model to all of its copies.
func TestClumpIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		for i := range 3 {
			r.state(i, nil, "m")
		}
		count := map[string]int{}
		for range 6 {
			f := <-r.find(context.Background(), r.request("m", time.Second))
			assert.NilError(t, f.err)
			count[f.place.Name]++
		}
		assert.DeepEqual(t, count, map[string]int{"e0": 2, "e1": 2, "e2": 2})
	})
}

// TestAnotherCopy wants another copy of a model whose only engine is near its
// limits, and of none that has room.
func TestAnotherCopy(t *testing.T) {
	for _, strained := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 3)
			r.state(0, nil, "m")
			gap := 20 * time.Millisecond
			if strained {
				gap = 240 * time.Millisecond
			}
			for range 20 {
				f := <-r.find(context.Background(), r.request("m", time.Second))
				assert.NilError(t, f.err)
				time.Sleep(100 * time.Millisecond)
				f.place.Release(dispatcher.AttemptResult{First: 50 * time.Millisecond, Gap: gap})
				for i := range 3 {
					r.state(i, nil, map[bool][]string{true: {"m"}}[i == 0]...)
				}
			}
			i := r.wanted("m", 3)
			assert.Equal(t, i > 0, strained, "engine %d", i)
		})
	}
}

// TestCopiesByRate wants more copies of a model while its requests need them, one
// after the other.
func TestCopiesByRate(t *testing.T) {
	for _, c := range []struct {
		rate   float64
		copies int
		more   int
	}{{1, 1, 0}, {7, 1, 1}, {11, 2, 0}, {14, 2, 1}, {23, 1, 1}, {29, 5, 0}} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 6)
			r.rate("m", c.rate)
			for range 10 {
				for i := range c.copies {
					r.state(i, nil, "m")
				}
				f := <-r.find(context.Background(), r.request("m", time.Second))
				assert.NilError(t, f.err)
				f.place.Release(dispatcher.AttemptResult{})
				time.Sleep(100 * time.Millisecond)
			}
			more := 0
			for i := range 6 {
				more += len(r.wants(i))
			}
			assert.Equal(t, more, c.more, "%+v", c)
		})
	}
}

// TestAdapterGoesToItsBase asks an engine that has the base model for an adapter
// of it.
func TestAdapterGoesToItsBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.state(1, nil, "n")
		q := r.request("n", 2*time.Second)
		q.Adapter = "n/a1"
		got := r.find(context.Background(), q)
		assert.Equal(t, r.wanted("n/a1", 3), 1)
		r.state(1, nil, "n", "n/a1")
		f := <-got
		assert.NilError(t, f.err)
		assert.Equal(t, f.place.Name, engine(1))
	})
}

// TestNewestAtAddress uses only the server that was started last of those that are
// listed at one address.
func TestNewestAtAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.item(tracker.Server{ID: "old", Pool: "p", Address: engine(0), Started: 0, Inventory: tracker.Inventory{Models: []string{"m"}}})
		r.state(0, nil, "m")
		for range 4 {
			f := <-r.find(context.Background(), r.request("m", time.Second))
			assert.NilError(t, f.err)
			assert.Equal(t, f.place.Name, engine(0))
		}
	})
}

// TestStop refuses the requests that wait when the entry stops.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		got := r.find(context.Background(), r.request("m", 10*time.Second))
		r.locator.Stop()
		f := <-got
		assert.Assert(t, refuser.Is(f.err, refuser.Leaving))
		assert.Assert(t, refuser.Of(f.err).Never())
	})
}
