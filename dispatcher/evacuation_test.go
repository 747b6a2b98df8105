package dispatcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// TestEvacuatedServiceGetsNoCalls guards against calls of a plain service that go to an evacuated data
// centre, and against calls that wait, or are refused without a time, if all are.
func TestEvacuatedServiceGetsNoCalls(t *testing.T) {
	ok := sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}})
	a, b := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){ok}}, &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){ok}}
	fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": a, "b": b})
	evacuate := func(base uint64, centre string) {
		t.Helper()
		change := &wire.Change{Evacuate: []*wire.EvacuatedCentre{{Name: centre}}}
		assert.NilError(t, fx.syncer.Publish(context.Background(), fx.clock.Now(), base, change, storer.Transaction{}))
	}
	evacuate(1, "centre-a")
	for range 20 {
		_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
		assert.NilError(t, err)
	}
	assert.Equal(t, a.callCount(), 0)
	assert.Equal(t, b.callCount(), 20)
	evacuate(2, "centre-b")
	_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
	refusal := refuser.FromError(err)
	assert.Assert(t, refusal.Kind() == refuser.Busy && refusal.NeverRan() && refusal.RetryAfter() > 0, "%v", err)
	assert.Equal(t, b.callCount(), 20)
}
