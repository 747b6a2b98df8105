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

// nameLimit makes a server name a limit in an answer, and waits until its pacer is known.
func (fx *fixture) nameLimit(id string, rate float64) {
	time.Sleep(3 * time.Second)
	found := <-fx.findAt(id)
	found.reservation.OnFeedback(dispatcher.Feedback{Limit: rate})
	found.reservation.Release(dispatcher.AttemptResult{TimeToFirst: time.Millisecond})
	fx.sync()
	fx.sync()
}

// findAt finds a server for requests to the plain service until it is the one with the ID.
func (fx *fixture) findAt(id string) <-chan findResult {
	results := make(chan findResult, 1)
	for range 100 {
		found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		if found.err == nil && found.reservation.Name == id {
			results <- found
			return results
		}
		found.reservation.Release(dispatcher.AttemptResult{TimeToFirst: time.Millisecond})
	}
	assert.Assert(fx.t, false, "%s is never chosen", id)
	return nil
}

// answer ends a reservation with an answer that names a limit, or none if it is 0.
func answer(found findResult, rate float64) {
	found.reservation.OnFeedback(dispatcher.Feedback{Limit: rate, Unlimited: rate == 0})
	found.reservation.Release(dispatcher.AttemptResult{TimeToFirst: time.Millisecond, Answered: true})
}

// TestLimitSendsElsewhere guards against a server that gets more than its limit while another one
// could run the requests, and against requests that wait for it then.
func TestLimitSendsElsewhere(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a", "b")
		fx.nameLimit("a", 2)
		at := map[string]int{}
		for range 100 {
			start := fx.clock()
			found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
			assert.NilError(t, found.err)
			assert.Equal(t, found.at, start)
			at[found.reservation.Name]++
			answer(found, map[string]float64{"a": 2}[found.reservation.Name])
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, at["a"] >= 10 && at["a"] <= 22, "%v in 10 s at 2 a second", at)
	})
}

// TestLimitOfOnlyServer guards against requests beyond the limit of the only server that reach it
// or that are held: those that can wait do so for their permit, the others are refused at once with
// the time of the next one.
func TestLimitOfOnlyServer(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a")
		fx.nameLimit("a", 1)
		start := fx.clock()
		var waiting []<-chan findResult
		for range 6 {
			waiting = append(waiting, fx.find(context.Background(), fx.serviceRequest(10*time.Second)))
		}
		served := 0
		for _, results := range waiting {
			found := <-results
			if found.err == nil {
				served++
				assert.Assert(t, found.at-start <= maxPermitWait+time.Second)
				answer(found, 1)
				continue
			}
			assert.Equal(t, found.at, start)
			assert.Assert(t, refuser.Is(found.err, refuser.Busy) && refuser.FromError(found.err).NeverRan())
			assert.Assert(t, refuser.FromError(found.err).RetryAfter() > maxPermitWait, "%v", refuser.FromError(found.err).RetryAfter())
		}
		assert.Assert(t, served >= 3 && served <= 4, "%d", served)
		assert.Equal(t, fx.permits, served)
	})
}

// TestLimitIsKeptInRetries guards against a second attempt, such as a stream that goes on, that
// takes a server without a permit because the request had one before.
func TestLimitIsKeptInRetries(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a")
		fx.nameLimit("a", 1)
		r, h := fx.serviceRequest(3*time.Second), &dispatcher.History{Tried: map[string]bool{}}
		start := fx.clock()
		for range 2 {
			reservation, err := fx.locator.Find(context.Background(), r, h)
			assert.NilError(t, err)
			reservation.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.ConnectionLost, "broken")})
		}
		assert.Assert(t, fx.clock()-start >= 900*time.Millisecond, "two attempts within %v", fx.clock()-start)
		assert.Equal(t, fx.permits, 2)
	})
}

// TestLimitOfOnlyEngine checks that a model whose only engine has named a limit is loaded at
// another one.
func TestLimitOfOnlyEngine(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		fx.reportStatus(0, nil, "m")
		fx.reportStatus(1, nil)
		time.Sleep(3 * time.Second)
		found := <-fx.find(context.Background(), fx.newRequest("m", time.Second))
		assert.NilError(t, found.err)
		found.reservation.OnPromptRead()
		answer(found, 0.2)
		fx.sync()
		fx.sync()
		var waiting []<-chan findResult
		for range 3 {
			waiting = append(waiting, fx.find(context.Background(), fx.newRequest("m", 10*time.Second)))
		}
		assert.DeepEqual(t, fx.assignedLoads(1), []string{"m"})
		time.Sleep(time.Second)
		fx.reportStatus(1, nil, "m")
		for _, results := range waiting {
			found := <-results
			assert.NilError(t, found.err)
			assert.Equal(t, found.reservation.Name, engineName(1))
			found.reservation.OnPromptRead()
			answer(found, 0)
		}
	})
}

// TestPacerDoesNotAnswer guards against requests that are held, or sent without a permit, while
// the process that gives out the permits does not answer.
func TestPacerDoesNotAnswer(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a", "b")
		fx.nameLimit("a", 5)
		fx.permitDelay = -1
		slow := 0
		for range 20 {
			start := fx.clock()
			found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
			assert.NilError(t, found.err)
			assert.Equal(t, found.reservation.Name, "b")
			assert.Assert(t, found.at-start <= permitTimeout)
			if found.at > start {
				slow++
			}
			answer(found, 0)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, slow <= 5, "%d of 20 requests waited for the pacer", slow)
		fx.removeServer("b")
		found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		assert.Assert(t, refuser.Is(found.err, refuser.Busy))
		assert.Assert(t, refuser.FromError(found.err).RetryAfter() > 0)
	})
}

// TestLimitEndsWithAnswer guards against a limit that goes on although the server names it no
// more, or that ends although it does: an answer to a request that was sent before the latest one
// with the limit does not end it.
func TestLimitEndsWithAnswer(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a")
		early := <-fx.findAt("a")
		fx.nameLimit("a", 1)
		limited := func() bool {
			fx.locator.mu.Lock()
			defer fx.locator.mu.Unlock()
			return fx.locator.limitOf(fx.clock(), fx.locator.fleet.Get("a")).Rate > 0
		}
		answer(early, 0)
		assert.Assert(t, limited())
		first := <-fx.find(context.Background(), fx.serviceRequest(3*time.Second))
		time.Sleep(time.Second)
		second := <-fx.find(context.Background(), fx.serviceRequest(3*time.Second))
		answer(second, 1)
		answer(first, 0)
		assert.Assert(t, limited())
		time.Sleep(time.Second)
		answer(<-fx.find(context.Background(), fx.serviceRequest(3*time.Second)), 0)
		assert.Assert(t, !limited())
		for range 10 {
			found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
			assert.NilError(t, found.err)
			answer(found, 0)
		}
		fx.nameLimit("a", 1)
		assert.Assert(t, limited())
		fx.listServer(tracker.Server{ID: "a", Pool: "s", Address: "a", Centre: "z", Slots: 6, Started: 2})
		assert.Assert(t, !limited(), "the limit of an earlier process goes on")
	})
}
