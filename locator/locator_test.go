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

// TestWaitsForModelLoad checks that a request waits until an engine has loaded its model.
func TestWaitsForModelLoad(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		results := fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		i := fx.assignedEngine("m", 3)
		assert.Assert(t, i >= 0)
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, len(results), 0)
		fx.reportStatus(i, nil, "m")
		found := <-results
		assert.NilError(t, found.err)
		assert.Equal(t, found.reservation.Name, engineName(i))
		assert.Equal(t, fx.assignedEngine("m", 3), -1)
	})
}

// TestOneEngineLoadsModel checks that a model is assigned to one engine, however many requests
// wait for it.
func TestOneEngineLoadsModel(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		for range 5 {
			fx.find(context.Background(), fx.newRequest("m", time.Second))
		}
		n := 0
		for i := range 3 {
			n += len(fx.assignedLoads(i))
		}
		assert.Equal(t, n, 1)
		assert.Equal(t, fx.assignedCount(fx.assignedEngine("m", 3)), uint32(5))
		time.Sleep(2 * time.Second)
	})
}

// TestRefusesModelThatCannotLoadInTime checks that a request whose model no engine can load in
// time is refused immediately. The refusal says that it has not run and when to retry.
func TestRefusesModelThatCannotLoadInTime(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		for i := range 2 {
			fx.reportStatus(i, func(s *wire.EngineStatus) { s.Disk = nil })
		}
		start := fx.clock()
		found := <-fx.find(context.Background(), fx.newRequest("m", 3*time.Second))
		assert.Assert(t, refuser.Is(found.err, refuser.DeadlineExceeded), "%v", found.err)
		assert.Assert(t, refuser.FromError(found.err).NeverRan())
		assert.Assert(t, refuser.FromError(found.err).RetryAfter() > 0)
		assert.Equal(t, found.at, start)
	})
}

// TestDemandLastsUntilRetry checks that the demand for the model of a refused request lasts
// until its caller may have retried.
func TestDemandLastsUntilRetry(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, func(s *wire.EngineStatus) { s.Disk = nil })
		found := <-fx.find(context.Background(), fx.newRequest("m", 3*time.Second))
		assert.Assert(t, refuser.Is(found.err, refuser.DeadlineExceeded), "%v", found.err)
		assert.Equal(t, fx.assignedEngine("m", 1), 0)
		time.Sleep(refuser.FromError(found.err).RetryAfter())
		fx.reportStatus(0, func(s *wire.EngineStatus) { s.Disk = nil })
		assert.Equal(t, fx.assignedEngine("m", 1), 0)
		time.Sleep(2 * retryGrace)
		assert.Equal(t, fx.assignedEngine("m", 1), -1)
	})
}

// TestRefusesBeforeDeadline checks that a request whose model has not been loaded is refused
// shortly before its deadline.
func TestRefusesBeforeDeadline(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		start := fx.clock()
		found := <-fx.find(context.Background(), fx.newRequest("m", 3*time.Second))
		assert.Assert(t, refuser.FromError(found.err).NeverRan())
		assert.Assert(t, found.at-start <= 3*time.Second && found.at-start > 2*time.Second)
	})
}

// TestDemandEndsWithCaller checks that the load is withdrawn when the only waiting caller has
// left.
func TestDemandEndsWithCaller(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		ctx, cancel := context.WithCancel(context.Background())
		results := fx.find(ctx, fx.newRequest("m", 5*time.Second))
		assert.Assert(t, fx.assignedEngine("m", 2) >= 0)
		cancel()
		found := <-results
		assert.Assert(t, refuser.Is(found.err, refuser.Canceled))
		assert.Equal(t, fx.assignedEngine("m", 2), -1)
	})
}

// TestReassignsLoad checks that a load is assigned to another engine when the sidecar of the
// first one stops reporting, or when that engine has no model to unload or is leaving.
func TestReassignsLoad(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*wire.EngineStatus)
	}{
		{"sidecar lost", nil},
		{"blocked", func(s *wire.EngineStatus) {
			s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 800, Blocked: true}}
			s.Free = 0
		}},
		{"leaving", func(s *wire.EngineStatus) { s.Leaving = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				fx := newFixture(t, 2)
				results := fx.find(context.Background(), fx.newRequest("m", 10*time.Second))
				assigned := fx.assignedEngine("m", 2)
				if c.change == nil {
					fx.loseSidecar(assigned)
				}
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					fx.reportStatus(1-assigned, nil)
					if c.change != nil {
						fx.reportStatus(assigned, c.change)
					}
				}
				assert.Equal(t, fx.assignedEngine("m", 2), 1-assigned)
				fx.reportStatus(1-assigned, nil, "m")
				assert.NilError(t, (<-results).err)
			})
		})
	}
}

// TestSkipsUnloadingAndLeaving checks that requests are sent neither to an engine that is
// about to unload their model nor to one that is leaving.
func TestSkipsUnloadingAndLeaving(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		fx.reportStatus(0, func(s *wire.EngineStatus) { s.Residents[0].Closing = true }, "m")
		fx.reportStatus(1, func(s *wire.EngineStatus) { s.Leaving = true }, "m")
		fx.reportStatus(2, nil, "m")
		for range 5 {
			found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
			assert.NilError(t, found.err)
			assert.Equal(t, found.reservation.Name, engineName(2))
		}
	})
}

// TestBurstSpreadsOverCopies checks that a burst of requests for one model is spread evenly
// over its copies.
func TestBurstSpreadsOverCopies(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		for i := range 3 {
			fx.reportStatus(i, nil, "m")
		}
		count := map[string]int{}
		for range 6 {
			found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
			assert.NilError(t, found.err)
			count[found.reservation.Name]++
		}
		assert.DeepEqual(t, count, map[string]int{"e0": 2, "e1": 2, "e2": 2})
	})
}

// TestSaturationAddsCopy checks that another copy of a model is loaded if the saturation of
// its only engine is high, and only then.
func TestSaturationAddsCopy(t *testing.T) {
	for _, saturated := range []bool{true, false} {
		bubbler.Test(t, func(t *testing.T) {
			fx := newFixture(t, 3)
			fx.reportStatus(0, nil, "m")
			gap := 20 * time.Millisecond
			if saturated {
				gap = 240 * time.Millisecond
			}
			for range 20 {
				found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
				assert.NilError(t, found.err)
				time.Sleep(100 * time.Millisecond)
				found.reservation.Release(dispatcher.AttemptResult{TimeToFirst: 50 * time.Millisecond, MaxGap: gap})
				for i := range 3 {
					fx.reportStatus(i, nil, map[bool][]string{true: {"m"}}[i == 0]...)
				}
			}
			i := fx.assignedEngine("m", 3)
			assert.Equal(t, i > 0, saturated, "engine %d", i)
		})
	}
}

// TestCopiesByRate checks that copies of a model are added one at a time, and only if its
// request rate needs them.
func TestCopiesByRate(t *testing.T) {
	for _, c := range []struct {
		rate   float64
		copies int
		// loads is the expected number of assigned loads.
		loads int
	}{{1, 1, 0}, {7, 1, 1}, {11, 2, 0}, {14, 2, 1}, {23, 1, 1}, {29, 5, 0}} {
		bubbler.Test(t, func(t *testing.T) {
			fx := newFixture(t, 6)
			fx.setRate("m", c.rate)
			for range 10 {
				for i := range c.copies {
					fx.reportStatus(i, nil, "m")
				}
				found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
				assert.NilError(t, found.err)
				found.reservation.Release(dispatcher.AttemptResult{})
				time.Sleep(100 * time.Millisecond)
			}
			loads := 0
			for i := range 6 {
				loads += len(fx.assignedLoads(i))
			}
			assert.Equal(t, loads, c.loads, "%+v", c)
		})
	}
}

// TestAdapterLoadsBesideBase checks that an adapter is loaded by an engine that has its base
// model.
func TestAdapterLoadsBesideBase(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		fx.reportStatus(1, nil, "n")
		request := fx.newRequest("n", 2*time.Second)
		request.Adapter = "n/a1"
		results := fx.find(context.Background(), request)
		assert.Equal(t, fx.assignedEngine("n/a1", 3), 1)
		fx.reportStatus(1, nil, "n", "n/a1")
		found := <-results
		assert.NilError(t, found.err)
		assert.Equal(t, found.reservation.Name, engineName(1))
	})
}

// TestNewestServerAtAddress checks that of the servers listed at one address only the one
// that started last is used.
func TestNewestServerAtAddress(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.listServer(tracker.Server{ID: "old", Pool: "p", Address: engineName(0), Started: 0, Inventory: tracker.Inventory{Models: []string{"m"}}})
		fx.reportStatus(0, nil, "m")
		for range 4 {
			found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
			assert.NilError(t, found.err)
			assert.Equal(t, found.reservation.Name, engineName(0))
		}
	})
}

// TestStop checks that waiting requests are refused when the entry stops.
func TestStop(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		results := fx.find(context.Background(), fx.newRequest("m", 10*time.Second))
		fx.locator.Stop()
		found := <-results
		assert.Assert(t, refuser.Is(found.err, refuser.Leaving))
		assert.Assert(t, refuser.FromError(found.err).NeverRan())
	})
}
