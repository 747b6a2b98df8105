package locator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// clearDisk changes a status to that of an engine without checkpoints on its disk.
func clearDisk(s *wire.EngineStatus) { s.Disk = nil }

// TestWaitsForStatusesAfterStart checks the case in which all processes were started at once.
// A checkpoint is not fetched for the first engine that reports while the second one, which
// reports later, has it on its disk.
func TestWaitsForStatusesAfterStart(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listEngines(2)
		results := fx.find(context.Background(), fx.newRequest("m", 3*time.Second))
		fx.reportStatus(0, clearDisk)
		assert.Equal(t, fx.assignedEngine("m", 2), -1)
		time.Sleep(300 * time.Millisecond)
		fx.reportStatus(1, nil)
		assert.Equal(t, fx.assignedEngine("m", 2), 1)
		fx.reportStatus(1, nil, "m")
		assert.NilError(t, (<-results).err)
	})
}

// TestStartupGraceEnds checks that a checkpoint is fetched once the sidecar that is missing
// has not reported for startupGrace.
func TestStartupGraceEnds(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, clearDisk)
		fx.listEngines(2)
		results := fx.find(context.Background(), fx.newRequest("m", 20*time.Second))
		assert.Equal(t, fx.assignedEngine("m", 2), -1)
		time.Sleep(startupGrace)
		fx.reportStatus(0, clearDisk)
		assert.Equal(t, fx.assignedEngine("m", 2), 0)
		fx.reportStatus(0, nil, "m")
		assert.NilError(t, (<-results).err)
	})
}

// TestOneCopyAtATime checks that no third copy of a busy model is requested while another
// engine is loading the second one.
func TestOneCopyAtATime(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		fx.setRate("m", 10)
		report := func() {
			fx.reportStatus(0, nil, "m")
			fx.reportStatus(1, func(s *wire.EngineStatus) { s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 900}} })
			fx.reportStatus(2, func(s *wire.EngineStatus) { s.Memory = s.Disk })
		}
		for range 10 {
			report()
			found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
			assert.NilError(t, found.err)
			found.reservation.Release(dispatcher.AttemptResult{})
			time.Sleep(100 * time.Millisecond)
		}
		report()
		assert.Equal(t, fx.assignedEngine("m", 3), -1)
	})
}

// TestOneFetchAtATime checks that only one copy of a model with sudden demand is fetched at a
// time, whatever its request rate, so that the weight store remains available to others.
func TestOneFetchAtATime(t *testing.T) {
	for _, rate := range []float64{7, 10, 30} {
		bubbler.Test(t, func(t *testing.T) {
			fx := newFixture(t, 6)
			fx.setRate("m", rate)
			fetches := map[int]bool{}
			report := func() {
				fx.reportStatus(0, nil, "m")
				for i := 1; i < 6; i++ {
					fx.reportStatus(i, func(s *wire.EngineStatus) {
						s.Disk = nil
						if fetches[i] {
							s.Tasks, s.Fetching = []*wire.PendingLoad{{Model: "m", Left: 5000}}, true
						}
					})
				}
			}
			for range 30 {
				report()
				found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
				assert.NilError(t, found.err)
				found.reservation.Release(dispatcher.AttemptResult{})
				time.Sleep(100 * time.Millisecond)
				for i := 1; i < 6; i++ {
					fetches[i] = fetches[i] || len(fx.assignedLoads(i)) > 0
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

// TestCopyDuringFetch checks that a busy model is assigned to an engine that has it on its
// disk while another copy is being fetched from the weight store.
func TestCopyDuringFetch(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		fx.setRate("m", 10)
		report := func() {
			fx.reportStatus(0, nil, "m")
			fx.reportStatus(1, func(s *wire.EngineStatus) {
				s.Disk = nil
				s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 5000}}
			})
			fx.reportStatus(2, nil)
		}
		for range 10 {
			report()
			found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
			assert.NilError(t, found.err)
			found.reservation.Release(dispatcher.AttemptResult{})
			time.Sleep(100 * time.Millisecond)
		}
		report()
		assert.Equal(t, fx.assignedEngine("m", 3), 2)
	})
}

// TestStaleListAfterRestart checks that after a restart of all processes requests wait for
// the reports of sidecars, since the list still has servers whose addresses now belong to
// others.
func TestStaleListAfterRestart(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listWithModel(3, "m")
		results := fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		time.Sleep(100 * time.Millisecond)
		fx.reportStatus(1, nil, "m")
		found := <-results
		assert.NilError(t, found.err)
		assert.Equal(t, found.reservation.Name, engineName(1))
	})
}

// TestStaleListWithoutSidecars checks that the list is used once no sidecar has reported for
// startupGrace, and that each server whose address answers for another one is tried once.
func TestStaleListWithoutSidecars(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listWithModel(3, "m")
		start := fx.clock()
		tried := map[string]bool{}
		for range 3 {
			found := <-fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
			assert.NilError(t, found.err)
			assert.Assert(t, !tried[found.reservation.Name])
			tried[found.reservation.Name] = true
			found.reservation.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.NotResident, "another server")})
		}
		assert.Equal(t, fx.clock()-start, startupGrace)
	})
}

// listWithModel lists a number of engines as holding a model.
func (fx *fixture) listWithModel(engines int, model string) {
	for i := range engines {
		fx.listServer(tracker.Server{
			ID: engineName(i), Pool: "p", Address: engineName(i), Centre: "z", Slots: 32, Started: 1,
			Inventory: tracker.Inventory{Models: []string{model}},
		})
	}
}
