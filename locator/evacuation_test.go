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
)

// evacuate makes the relay and the locator know the evacuated data centres.
func (fx *fixture) evacuate(version uint64, centres ...string) {
	fx.locator.SetEvacuated(centres)
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.fleetState.UpdateEvacuated(fx.clock(), version, centres)
}

// listIn lists a server of the plain service in a data centre.
func (fx *fixture) listIn(id, centre string) {
	fx.listServer(tracker.Server{ID: id, Pool: "s", Address: id, Centre: centre, Slots: 6, Started: 1})
}

// TestEvacuatedServiceGetsNothing guards against a request, in a first or a later attempt, that is sent
// to an evacuated data centre, and against one there that is ended.
func TestEvacuatedServiceGetsNothing(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listIn("a", "z")
		fx.listIn("b", "x")
		running := <-fx.findAt("a")
		fx.evacuate(1, "z")
		for range 50 {
			found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
			assert.NilError(t, found.err)
			assert.Equal(t, found.reservation.Name, "b")
		}
		h := &dispatcher.History{Tried: map[string]bool{"b": true}}
		_, err := fx.locator.Find(context.Background(), fx.serviceRequest(time.Second), h)
		assert.Assert(t, err != nil, "a retry went to the evacuated data centre")
		assert.NilError(t, running.reservation.AbandonContext.Err())
		assert.Equal(t, fx.locator.InflightAtEvacuated(), 1)
		running.reservation.Release(dispatcher.AttemptResult{TimeToFirst: time.Millisecond, Answered: true})
		assert.Equal(t, fx.locator.InflightAtEvacuated(), 0)
		fx.evacuate(2)
		fx.findAt("a")
	})
}

// TestAllCentresEvacuated guards against requests that wait, or are refused without a time, while all
// data centres are evacuated: of a service and of a model.
func TestAllCentresEvacuated(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, nil, "m")
		fx.listIn("a", "x")
		time.Sleep(2 * time.Second)
		fx.evacuate(1, "x", "z")
		for _, r := range []*dispatcher.Request{fx.serviceRequest(10 * time.Second), fx.newRequest("m", 10*time.Second), fx.newRequest("n", 10*time.Second)} {
			start := fx.clock()
			found := <-fx.find(context.Background(), r)
			assert.Equal(t, found.at, start)
			refusal := refuser.FromError(found.err)
			assert.Assert(t, refusal.Kind() == refuser.Busy && refusal.NeverRan() && refusal.RetryAfter() > 0, "%v", found.err)
		}
	})
}

// TestOnlyCopyEvacuated guards against requests for a model whose only copy is in an evacuated data
// centre that are sent there or fail: the model is loaded elsewhere, and they wait for it.
func TestOnlyCopyEvacuated(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		fx.reportStatus(0, nil, "m")
		fx.reportStatus(1, nil)
		fx.listServer(tracker.Server{ID: engineName(0), Pool: "p", Address: engineName(0), Centre: "x", Slots: 32, Started: 1})
		time.Sleep(2 * time.Second)
		fx.evacuate(1, "x")
		found := fx.find(context.Background(), fx.newRequest("m", 10*time.Second))
		assert.DeepEqual(t, fx.assignedLoads(1), []string{"m"})
		assert.Equal(t, len(fx.assignedLoads(0)), 0)
		fx.reportStatus(1, nil, "m")
		result := <-found
		assert.NilError(t, result.err)
		assert.Equal(t, result.reservation.Name, engineName(1))
	})
}

// TestWaitingRequestLeavesEvacuatedServer guards against a request that waits for a server, here because
// of a back-off, and is sent there although its data centre has been evacuated meanwhile.
func TestWaitingRequestLeavesEvacuatedServer(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listIn("a", "x")
		busy := <-fx.findAt("a")
		busy.reservation.OnFeedback(dispatcher.Feedback{BackOff: 5 * time.Second})
		waiting := fx.find(context.Background(), fx.serviceRequest(10*time.Second))
		fx.listIn("b", "z")
		first := <-waiting
		assert.Equal(t, first.reservation.Name, "b")
		fx.removeServer("b")
		waiting = fx.find(context.Background(), fx.serviceRequest(10*time.Second))
		start := fx.clock()
		fx.evacuate(1, "x")
		result := <-waiting
		assert.Assert(t, refuser.Is(result.err, refuser.Busy))
		assert.Equal(t, result.at, start)
	})
}
