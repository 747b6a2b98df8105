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
)

// plain lists servers of a plain service, which have no models.
func (r *rig) plain(names ...string) {
	for _, name := range names {
		r.item(tracker.Server{ID: name, Pool: "s", Address: name, Centre: "z", Slots: 6, Started: 1})
	}
}

// call is a request to the plain service.
func (r *rig) call(deadline time.Duration) *dispatcher.Request {
	q := r.request("", deadline)
	q.Pool = "s"
	return q
}

// TestLeavesByItsAnswer sends nothing more to a server that has said in an answer that
// it leaves, whatever the list says, until it has started again.
func TestLeavesByItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.plain("a")
		f := <-r.find(context.Background(), r.call(time.Second))
		assert.NilError(t, f.err)
		f.place.OnFeedback(dispatcher.Feedback{Leaving: true})
		f.place.Release(dispatcher.AttemptResult{First: time.Millisecond})
		r.plain("a")
		assert.Assert(t, refuser.Is((<-r.find(context.Background(), r.call(time.Second))).err, refuser.Busy))
		r.drop("a")
		r.plain("a")
		assert.Assert(t, refuser.Is((<-r.find(context.Background(), r.call(time.Second))).err, refuser.Busy))
		r.item(tracker.Server{ID: "a", Pool: "s", Address: "a", Centre: "z", Slots: 6, Started: 2})
		assert.NilError(t, (<-r.find(context.Background(), r.call(time.Second))).err)
	})
}

// TestRests sends nothing to a server that wants no requests for a while: others are
// used meanwhile, a request without another waits for it, and one that cannot wait so
// long is refused at once with the time.
func TestRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.plain("a")
		const rest = 700 * time.Millisecond
		f := <-r.find(context.Background(), r.call(time.Second))
		f.place.OnFeedback(dispatcher.Feedback{BackOff: rest})
		f.place.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.Busy, "full")})
		begun := r.clock()

		late := <-r.find(context.Background(), r.call(rest))
		assert.Assert(t, refuser.Is(late.err, refuser.Busy))
		assert.Equal(t, refuser.Of(late.err).Retry(), rest)
		assert.Equal(t, late.at, begun)

		got := r.find(context.Background(), r.call(time.Second))
		time.Sleep(rest / 2)
		synctest.Wait()
		assert.Equal(t, len(got), 0)
		f = <-got
		assert.NilError(t, f.err)
		assert.Equal(t, f.at, begun+rest)

		f.place.OnFeedback(dispatcher.Feedback{BackOff: rest})
		r.plain("b")
		f = <-r.find(context.Background(), r.call(time.Second))
		assert.NilError(t, f.err)
		assert.Equal(t, f.place.Name, "b")
	})
}

// TestRestsWithTheModel is an engine that wants no requests for a while and has the
// only copy of a model: a request waits for it or for another copy.
func TestRestsWithTheModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.state(0, nil, "m")
		f := <-r.find(context.Background(), r.request("m", 5*time.Second))
		f.place.OnFeedback(dispatcher.Feedback{BackOff: 300 * time.Millisecond})
		f.place.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.Busy, "full")})
		begun := r.clock()
		f = <-r.find(context.Background(), r.request("m", 5*time.Second))
		assert.NilError(t, f.err)
		assert.Equal(t, f.at, begun+300*time.Millisecond)
	})
}

// TestStandsByItsHost gives a model engine whose host confirms nothing no requests
// until its sidecar is heard again, and asks another engine for the model.
func TestStandsByItsHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		r.state(0, nil, "m")
		f := <-r.find(context.Background(), r.request("m", 5*time.Second))
		assert.Equal(t, f.place.Name, engine(0))
		time.Sleep(time.Millisecond)
		f.place.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.Silent, "not confirmed")})
		got := r.find(context.Background(), r.request("m", 5*time.Second))
		assert.Equal(t, r.wanted("m", 2), 1)
		assert.Equal(t, len(got), 0)
		time.Sleep(time.Second)
		r.state(0, nil, "m")
		f = <-got
		assert.NilError(t, f.err)
		assert.Equal(t, f.place.Name, engine(0))
	})
}
