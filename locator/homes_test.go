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

// homeRequest returns a request to the plain service that may run in regions only.
func (fx *fixture) homeRequest(regions ...string) *dispatcher.Request {
	r := fx.serviceRequest(3 * time.Second)
	r.Homes = dispatcher.NewHomes(regions)
	return r
}

// TestRequestsStayInHomes guards against a request that is sent, in a first or a later attempt, to a
// region in which it may not run, or to a data centre whose region is not known.
func TestRequestsStayInHomes(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.locator.SetRegions(map[string]string{"z": "eu", "y": "us"})
		fx.listIn("a", "z")
		fx.listIn("b", "y")
		fx.listIn("c", "unknown")
		for range 30 {
			found := <-fx.find(context.Background(), fx.homeRequest("us", "asia"))
			assert.NilError(t, found.err)
			assert.Equal(t, found.reservation.Name, "b")
		}
		h := &dispatcher.History{Tried: map[string]bool{"b": true}, LastError: refuser.New(refuser.ConnectionLost, "broken")}
		_, err := fx.locator.Find(context.Background(), fx.homeRequest("us"), h)
		assert.Assert(t, err != nil, "a retry left the homes")
		anywhere := map[string]bool{}
		for range 30 {
			found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
			assert.NilError(t, found.err)
			anywhere[found.reservation.Name] = true
		}
		assert.Assert(t, len(anywhere) > 1, "%v", anywhere)
	})
}

// TestNoServerInHomes guards against a request that waits, or is refused without a time, although no
// server in its homes takes requests: none is there, or its data centre is evacuated.
func TestNoServerInHomes(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, nil, "m")
		fx.locator.SetRegions(map[string]string{"z": "eu", "y": "us"})
		fx.listIn("a", "z")
		fx.listIn("b", "y")
		time.Sleep(2 * time.Second)
		model := fx.newRequest("m", 10*time.Second)
		model.Homes = dispatcher.NewHomes([]string{"us"})
		check := func(r *dispatcher.Request) {
			start := fx.clock()
			found := <-fx.find(context.Background(), r)
			assert.Equal(t, found.at, start)
			refusal := refuser.FromError(found.err)
			assert.Assert(t, refusal.Kind() == refuser.Busy && refusal.NeverRan() && refusal.RetryAfter() > 0, "%v", found.err)
		}
		check(model)
		check(fx.homeRequest("asia"))
		check(fx.homeRequest(""))
		fx.evacuate(1, "y")
		check(fx.homeRequest("us"))
	})
}

// TestModelIsLoadedInHomes guards against a model that is loaded where the waiting request may not
// run, although it serves there already.
func TestModelIsLoadedInHomes(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		fx.reportStatus(0, nil, "m")
		fx.reportStatus(1, nil)
		fx.reportStatus(2, nil)
		fx.locator.SetRegions(map[string]string{"z": "eu", "y": "us"})
		fx.listServer(tracker.Server{ID: engineName(2), Pool: "p", Address: engineName(2), Centre: "y", Slots: 32, Started: 1})
		time.Sleep(2 * time.Second)
		r := fx.newRequest("m", 10*time.Second)
		r.Homes = dispatcher.NewHomes([]string{"us"})
		found := fx.find(context.Background(), r)
		assert.DeepEqual(t, fx.assignedLoads(2), []string{"m"})
		assert.Equal(t, len(fx.assignedLoads(1)), 0)
		fx.reportStatus(2, nil, "m")
		result := <-found
		assert.NilError(t, result.err)
		assert.Equal(t, result.reservation.Name, engineName(2))
	})
}
