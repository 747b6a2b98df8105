package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// limitedFor is a script that refuses a request because its backend server has named a limit.
func limitedFor(wait time.Duration) func(*wire.Call, peer.Stream) {
	return sendReplies(refuser.New(refuser.BackendLimited, "limited").WithRetryAfter(wait).Reply())
}

// TestLimitedServiceGetsNoCalls guards against calls that are sent to a server that takes none for
// a while, and that use up the retries of others: they go to the other servers and, if there is
// none, are refused at once with the time of the next one.
func TestLimitedServiceGetsNoCalls(t *testing.T) {
	ok := sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}})
	a, b := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){limitedFor(700 * time.Millisecond), ok}}, &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){ok}}
	fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": a, "b": b})
	for range 50 {
		_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
		assert.NilError(t, err)
	}
	assert.Equal(t, a.callCount(), 1)
	fx.dispatcher.MarkLeaving(&wire.LeaveNotice{Instance: "b"})
	fx.clock.Advance(300 * time.Millisecond)
	_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
	assert.Assert(t, refuser.Is(err, refuser.BackendLimited) && refuser.FromError(err).NeverRan(), "%v", err)
	assert.Equal(t, refuser.FromError(err).RetryAfter(), 400*time.Millisecond)
	assert.Equal(t, a.callCount(), 1)
	fx.clock.Advance(400 * time.Millisecond)
	_, err = fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
	assert.NilError(t, err)
}

// TestLimitedEngineGetsNoRequests guards against requests to a model that are sent to an engine
// that takes none for a while, while another replica serves it or can be loaded.
func TestLimitedEngineGetsNoRequests(t *testing.T) {
	limited := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){limitedFor(2 * time.Second)}}
	other := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendTokens(4, 4)}}
	fx := newFixture(t, storer.EnginePool, 2, map[string]*scriptedSidecar{"a": limited, "b": other})
	fx.loadReplicas(2)
	for range 30 {
		text, err := fx.run(fx.newCompletion())
		assert.NilError(t, err)
		assert.Equal(t, text, "t0 t1 t2 t3 ")
	}
	assert.Assert(t, limited.callCount() <= 1, "%d", limited.callCount())
}
