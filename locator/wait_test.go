package locator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// full tells of two engines whose models are all in use. The one at which m is
// wanted says that it has none to unload.
func (r *rig) full(wanted int) {
	for i := range 2 {
		r.state(i, func(s *wire.EngineStatus) {
			s.Free = 20
			for _, res := range s.Residents {
				res.Inflight = 1
			}
			if i == wanted {
				s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 800, Blocked: true}}
			}
		}, "n", "o")
	}
}

// TestStaysInLine is the load of a burst for rare models: all models in memory are
// in use. A request keeps its place in the line of one engine.
func TestStaysInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.list(2)
		r.full(-1)
		ctx, cancel := context.WithCancel(context.Background())
		got := r.find(ctx, r.request("m", 20*time.Second))
		first := r.wanted("m", 2)
		assert.Assert(t, first >= 0)
		for range 60 {
			r.full(first)
			assert.Equal(t, r.wanted("m", 2), first)
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		<-got
	})
}

// TestLeavesLine moves to an engine as soon as it can make room.
func TestLeavesLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.list(2)
		r.full(-1)
		got := r.find(context.Background(), r.request("m", 20*time.Second))
		first := r.wanted("m", 2)
		r.full(first)
		time.Sleep(200 * time.Millisecond)
		r.full(first)
		r.state(1-first, func(s *wire.EngineStatus) { s.Free = 20 }, "n", "o")
		time.Sleep(movePeriod)
		assert.Equal(t, r.wanted("m", 2), 1-first)
		r.state(1-first, nil, "m")
		assert.NilError(t, (<-got).err)
	})
}

// TestLeavesLongFetch moves from an engine that fetches for seconds to one that has
// come to have room and a copy on its disk.
func TestLeavesLongFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.list(2)
		fetch := func(s *wire.EngineStatus) {
			s.Tasks = []*wire.PendingLoad{{Model: "o", Left: 5000}, {Model: "m", Left: 5800}}
		}
		r.state(0, fetch, "n")
		got := r.find(context.Background(), r.request("m", 20*time.Second))
		assert.Equal(t, r.wanted("m", 2), 0)
		time.Sleep(movePeriod)
		r.state(0, fetch, "n")
		r.state(1, nil, "n")
		assert.Equal(t, r.wanted("m", 2), 1)
		r.state(1, nil, "m")
		assert.NilError(t, (<-got).err)
	})
}

// TestQueuedThenGone queues a request behind a prompt at the only engine that has
// its model, which then loses it: the request waits for the model, and does not look
// again without a pause.
func TestQueuedThenGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		r.state(0, nil, "m")
		first := <-r.find(context.Background(), r.request("m", 5*time.Second))
		assert.NilError(t, first.err)
		q := r.request("m", 5*time.Second)
		got := r.find(context.Background(), q)
		r.state(0, nil)
		synctest.Wait()
		r.locator.mu.Lock()
		again := r.locator.pause(queueEnd(q)+time.Millisecond, queueEnd(q), q)
		r.locator.mu.Unlock()
		assert.Assert(t, again.limit > 0)
		time.Sleep(queueEnd(q) + time.Millisecond - r.clock())
		synctest.Wait()
		assert.Equal(t, len(got), 0)
		r.state(1, nil, "m")
		assert.NilError(t, (<-got).err)
	})
}

// TestLeavesStill is the load of an engine that stands still with streams under way:
// it gets nothing new, and another engine loads the model.
func TestLeavesStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		tell := func() {
			r.state(0, nil, "m")
			r.state(1, nil)
		}
		tell()
		f := <-r.find(context.Background(), r.request("m", 10*time.Second))
		assert.NilError(t, f.err)
		f.place.OnPromptRead()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			f.place.OnActivity(r.clock())
			tell()
		}
		alive := <-r.find(context.Background(), r.request("m", 10*time.Second))
		assert.Equal(t, alive.place.Name, engine(0))
		time.Sleep(1400 * time.Millisecond)
		tell()
		got := r.find(context.Background(), r.request("m", 10*time.Second))
		assert.Equal(t, r.wanted("m", 2), 1)
		r.state(1, nil, "m")
		moved := <-got
		assert.NilError(t, moved.err)
		assert.Equal(t, moved.place.Name, engine(1))
	})
}
