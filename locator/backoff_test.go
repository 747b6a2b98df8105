package locator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/tracker"
)

// listServices lists servers of a plain service.
func (fx *fixture) listServices(names ...string) {
	for _, name := range names {
		fx.listServer(tracker.Server{ID: name, Pool: "s", Address: name, Centre: "z", Slots: 6, Started: 1})
	}
}

// serviceRequest returns a request to the plain service.
func (fx *fixture) serviceRequest(deadline time.Duration) *dispatcher.Request {
	request := fx.newRequest("", deadline)
	request.Pool = "s"
	return request
}

// TestLeavingFeedback checks that a server that has said in an answer that it is leaving gets
// no more requests, whatever the list says, until it has started again.
func TestLeavingFeedback(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a")
		found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		assert.NilError(t, found.err)
		found.reservation.OnFeedback(dispatcher.Feedback{Leaving: true})
		found.reservation.Release(dispatcher.AttemptResult{TimeToFirst: time.Millisecond})
		fx.listServices("a")
		assert.Assert(t, refuser.Is((<-fx.find(context.Background(), fx.serviceRequest(time.Second))).err, refuser.Busy))
		fx.removeServer("a")
		fx.listServices("a")
		assert.Assert(t, refuser.Is((<-fx.find(context.Background(), fx.serviceRequest(time.Second))).err, refuser.Busy))
		fx.listServer(tracker.Server{ID: "a", Pool: "s", Address: "a", Centre: "z", Slots: 6, Started: 2})
		assert.NilError(t, (<-fx.find(context.Background(), fx.serviceRequest(time.Second))).err)
	})
}

// TestBackOff checks that a server that is backing off gets no requests. Other servers are
// used instead; without another, a request waits for the end of the back-off, and one that
// cannot wait so long is refused immediately, with the time of that end.
func TestBackOff(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a")
		const backOff = 700 * time.Millisecond
		found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		found.reservation.OnFeedback(dispatcher.Feedback{BackOff: backOff})
		found.reservation.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.Busy, "full")})
		start := fx.clock()

		late := <-fx.find(context.Background(), fx.serviceRequest(backOff))
		assert.Assert(t, refuser.Is(late.err, refuser.Busy))
		assert.Equal(t, refuser.FromError(late.err).RetryAfter(), backOff)
		assert.Equal(t, late.at, start)

		results := fx.find(context.Background(), fx.serviceRequest(time.Second))
		time.Sleep(backOff / 2)
		synctest.Wait()
		assert.Equal(t, len(results), 0)
		found = <-results
		assert.NilError(t, found.err)
		assert.Equal(t, found.at, start+backOff)

		found.reservation.OnFeedback(dispatcher.Feedback{BackOff: backOff})
		fx.listServices("b")
		found = <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		assert.NilError(t, found.err)
		assert.Equal(t, found.reservation.Name, "b")
	})
}

// TestBackOffOfOnlyCopy checks that a request waits for the end of the back-off of an engine
// that has the only copy of its model.
func TestBackOffOfOnlyCopy(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, nil, "m")
		found := <-fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		found.reservation.OnFeedback(dispatcher.Feedback{BackOff: 300 * time.Millisecond})
		found.reservation.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.Busy, "full")})
		start := fx.clock()
		found = <-fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		assert.NilError(t, found.err)
		assert.Equal(t, found.at, start+300*time.Millisecond)
	})
}

// TestStalledHost checks that an engine whose host does not confirm what it is sent gets no
// requests until its sidecar reports again, and that the model is assigned to another engine
// meanwhile.
func TestStalledHost(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		fx.reportStatus(0, nil, "m")
		found := <-fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		assert.Equal(t, found.reservation.Name, engineName(0))
		time.Sleep(time.Millisecond)
		found.reservation.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.BackendSilent, "not confirmed")})
		results := fx.find(context.Background(), fx.newRequest("m", 5*time.Second))
		assert.Equal(t, fx.assignedEngine("m", 2), 1)
		assert.Equal(t, len(results), 0)
		time.Sleep(time.Second)
		fx.reportStatus(0, nil, "m")
		found = <-results
		assert.NilError(t, found.err)
		assert.Equal(t, found.reservation.Name, engineName(0))
	})
}
