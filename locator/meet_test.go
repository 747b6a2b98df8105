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

// bare is a sidecar's word that its engine has no checkpoint on its disk.
func bare(s *wire.EngineStatus) { s.Disk = nil }

// TestMeetsFirst is the load after all processes were started at once: requests
// wait, the first sidecar that an entry hears of has no copy, the second one has.
// No checkpoint is fetched that an engine has on its disk.
func TestMeetsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.list(2)
		got := r.find(context.Background(), r.request("m", 3*time.Second))
		r.state(0, bare)
		assert.Equal(t, r.wanted("m", 2), -1)
		time.Sleep(300 * time.Millisecond)
		r.state(1, nil)
		assert.Equal(t, r.wanted("m", 2), 1)
		r.state(1, nil, "m")
		assert.NilError(t, (<-got).err)
	})
}

// TestMeetsNotForLong fetches a checkpoint once the missing sidecar has had its
// time.
func TestMeetsNotForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.state(0, bare)
		r.list(2)
		got := r.find(context.Background(), r.request("m", 20*time.Second))
		assert.Equal(t, r.wanted("m", 2), -1)
		time.Sleep(meetTime)
		r.state(0, bare)
		assert.Equal(t, r.wanted("m", 2), 0)
		r.state(0, nil, "m")
		assert.NilError(t, (<-got).err)
	})
}

// TestOneCopyAtATime is a busy model of which another engine is about to have a
// copy: no third one is asked for.
func TestOneCopyAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.rate("m", 10)
		tell := func() {
			r.state(0, nil, "m")
			r.state(1, func(s *wire.EngineStatus) { s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 900}} })
			r.state(2, func(s *wire.EngineStatus) { s.Memory = s.Disk })
		}
		for range 10 {
			tell()
			f := <-r.find(context.Background(), r.request("m", time.Second))
			assert.NilError(t, f.err)
			f.place.Release(dispatcher.AttemptResult{})
			time.Sleep(100 * time.Millisecond)
		}
		tell()
		assert.Equal(t, r.wanted("m", 3), -1)
	})
}

// TestOneFetchAtATime is a model whose demand has moved to it and that one engine
// has: one copy is fetched at a time, at whatever rate, and leaves the weight store
// to others.
func TestOneFetchAtATime(t *testing.T) {
	for _, rate := range []float64{7, 10, 30} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 6)
			r.rate("m", rate)
			fetches := map[int]bool{}
			tell := func() {
				r.state(0, nil, "m")
				for i := 1; i < 6; i++ {
					r.state(i, func(s *wire.EngineStatus) {
						s.Disk = nil
						if fetches[i] {
							s.Tasks, s.Fetching = []*wire.PendingLoad{{Model: "m", Left: 5000}}, true
						}
					})
				}
			}
			for range 30 {
				tell()
				f := <-r.find(context.Background(), r.request("m", time.Second))
				assert.NilError(t, f.err)
				f.place.Release(dispatcher.AttemptResult{})
				time.Sleep(100 * time.Millisecond)
				for i := 1; i < 6; i++ {
					fetches[i] = fetches[i] || len(r.wants(i)) > 0
				}
			}
			n := 0
			for _, f := range fetches {
				if f {
					n++
				}
			}
			assert.Equal(t, n, 1, "%v", rate)
		})
	}
}

// TestCopyBesideFetch is a busy model whose next copy is being fetched from the
// weight store: an engine that has it on its disk is asked meanwhile.
func TestCopyBesideFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.rate("m", 10)
		tell := func() {
			r.state(0, nil, "m")
			r.state(1, func(s *wire.EngineStatus) {
				s.Disk = nil
				s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 5000}}
			})
			r.state(2, nil)
		}
		for range 10 {
			tell()
			f := <-r.find(context.Background(), r.request("m", time.Second))
			assert.NilError(t, f.err)
			f.place.Release(dispatcher.AttemptResult{})
			time.Sleep(100 * time.Millisecond)
		}
		tell()
		assert.Equal(t, r.wanted("m", 3), 2)
	})
}

// TestGhosts is the load after all processes were lost: the list still has servers
// whose addresses answer for others. Requests wait for the sidecars' words.
func TestGhosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.listHolding(3, "m")
		got := r.find(context.Background(), r.request("m", 5*time.Second))
		time.Sleep(100 * time.Millisecond)
		r.state(1, nil, "m")
		f := <-got
		assert.NilError(t, f.err)
		assert.Equal(t, f.place.Name, engine(1))
	})
}

// TestGhostsWithoutSidecars goes by the list once the sidecars have had their time.
// Each server that answers for another one costs one attempt.
func TestGhostsWithoutSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.listHolding(3, "m")
		begun := r.clock()
		asked := map[string]bool{}
		for range 3 {
			f := <-r.find(context.Background(), r.request("m", 5*time.Second))
			assert.NilError(t, f.err)
			assert.Assert(t, !asked[f.place.Name])
			asked[f.place.Name] = true
			f.place.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.Absent, "another server")})
		}
		assert.Equal(t, r.clock()-begun, meetTime)
	})
}

// listHolding lists the first engines as having a model.
func (r *rig) listHolding(engines int, model string) {
	for i := range engines {
		r.item(tracker.Server{
			ID: engine(i), Pool: "p", Address: engine(i), Centre: "z", Slots: 32, Started: 1,
			Inventory: tracker.Inventory{Models: []string{model}},
		})
	}
}
