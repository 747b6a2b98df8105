package locator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/wire"
)

// reportFull reports the statuses of two engines whose models are all in use. The assigned
// one, which is to load m, reports that it has no model to unload.
func (fx *fixture) reportFull(assigned int) {
	for i := range 2 {
		fx.reportStatus(i, func(s *wire.EngineStatus) {
			s.Free = 20
			for _, resident := range s.Residents {
				resident.Inflight = 1
			}
			if i == assigned {
				s.Tasks = []*wire.PendingLoad{{Model: "m", Left: 800, Blocked: true}}
			}
		}, "n", "o")
	}
}

// TestKeepsAssignedEngine checks that the load for a waiting request stays assigned to the
// same engine while all models in memory are in use, as in a burst for rarely used models.
func TestKeepsAssignedEngine(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listEngines(2)
		fx.reportFull(-1)
		ctx, cancel := context.WithCancel(context.Background())
		results := fx.find(ctx, fx.newRequest("m", 20*time.Second))
		assigned := fx.assignedEngine("m", 2)
		assert.Assert(t, assigned >= 0)
		for range 60 {
			fx.reportFull(assigned)
			assert.Equal(t, fx.assignedEngine("m", 2), assigned)
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		<-results
	})
}

// TestMovesToEngineWithRoom checks that a blocked load is reassigned to another engine as soon
// as that engine can make room.
func TestMovesToEngineWithRoom(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listEngines(2)
		fx.reportFull(-1)
		results := fx.find(context.Background(), fx.newRequest("m", 20*time.Second))
		assigned := fx.assignedEngine("m", 2)
		fx.reportFull(assigned)
		time.Sleep(200 * time.Millisecond)
		fx.reportFull(assigned)
		fx.reportStatus(1-assigned, func(s *wire.EngineStatus) { s.Free = 20 }, "n", "o")
		time.Sleep(searchPeriod)
		assert.Equal(t, fx.assignedEngine("m", 2), 1-assigned)
		fx.reportStatus(1-assigned, nil, "m")
		assert.NilError(t, (<-results).err)
	})
}

// TestMovesAwayFromLongFetch checks that a load is reassigned from an engine that fetches for
// seconds to one that now has room and the checkpoint on its disk.
func TestMovesAwayFromLongFetch(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listEngines(2)
		fetch := func(s *wire.EngineStatus) {
			s.Tasks = []*wire.PendingLoad{{Model: "o", Left: 5000}, {Model: "m", Left: 5800}}
		}
		fx.reportStatus(0, fetch, "n")
		results := fx.find(context.Background(), fx.newRequest("m", 20*time.Second))
		assert.Equal(t, fx.assignedEngine("m", 2), 0)
		time.Sleep(searchPeriod)
		fx.reportStatus(0, fetch, "n")
		fx.reportStatus(1, nil, "n")
		assert.Equal(t, fx.assignedEngine("m", 2), 1)
		fx.reportStatus(1, nil, "m")
		assert.NilError(t, (<-results).err)
	})
}

// TestQueuedThenUnloaded guards against a busy loop: a request is queued behind a prompt at
// the only engine that has its model, which then loses the model. The request must wait for
// the model, and its timeout must be above 0 although queueEnd has passed.
func TestQueuedThenUnloaded(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		fx.reportStatus(0, nil, "m")
		first := <-fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		assert.NilError(t, first.err)
		request := fx.newRequest("m", 5*time.Second)
		results := fx.find(context.Background(), request)
		fx.reportStatus(0, nil)
		synctest.Wait()
		fx.locator.mu.Lock()
		next := fx.locator.newWaiter(queueEnd(request)+time.Millisecond, queueEnd(request), request)
		fx.locator.mu.Unlock()
		assert.Assert(t, next.timeout > 0)
		time.Sleep(queueEnd(request) + time.Millisecond - fx.clock())
		synctest.Wait()
		assert.Equal(t, len(results), 0)
		fx.reportStatus(1, nil, "m")
		assert.NilError(t, (<-results).err)
	})
}

// TestMovesAwayFromStalledEngine checks that an engine that stalls with a stream in flight
// gets no new requests, and that the model is assigned to another engine.
func TestMovesAwayFromStalledEngine(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		report := func() {
			fx.reportStatus(0, nil, "m")
			fx.reportStatus(1, nil)
		}
		report()
		found := <-fx.find(context.Background(), fx.newRequest("m", 10*time.Second))
		assert.NilError(t, found.err)
		found.reservation.OnPromptRead()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			found.reservation.OnActivity(fx.clock())
			report()
		}
		alive := <-fx.find(context.Background(), fx.newRequest("m", 10*time.Second))
		assert.Equal(t, alive.reservation.Name, engineName(0))
		time.Sleep(1400 * time.Millisecond)
		report()
		results := fx.find(context.Background(), fx.newRequest("m", 10*time.Second))
		assert.Equal(t, fx.assignedEngine("m", 2), 1)
		fx.reportStatus(1, nil, "m")
		moved := <-results
		assert.NilError(t, moved.err)
		assert.Equal(t, moved.reservation.Name, engineName(1))
	})
}
