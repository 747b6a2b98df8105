package executor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/engine"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// TestRestOfStreamAtItsVersion guards against an engine that continues the text of another version of
// the software: its sidecar refuses that before it runs, also after the engine was replaced.
func TestRestOfStreamAtItsVersion(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	runs := 0
	e.generate = func(_ context.Context, _ engine.Request, onToken func(string) error) (engine.Result, error) {
		runs++
		return engine.Result{FinishReason: "stop"}, onToken("w")
	}
	e.software = "v1"
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	send := func(sent uint32, software string) (version string, err error) {
		s, err := f.network.Open(context.Background(), x.member.Self().Address, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
			Id: "r", Workspace: "w", Key: "k", Config: 1, Model: "m1", Body: []byte("{}"), Left: 60000, Cost: 1, Sent: sent, Software: software,
		}}})
		assert.NilError(t, err)
		defer s.Cancel()
		reply, err := s.Recv()
		assert.NilError(t, err)
		if reply.GetRefusal() != nil {
			return "", refuser.FromWire(reply.GetRefusal())
		}
		return reply.GetPiece().GetSoftware(), nil
	}
	version, err := send(0, "")
	assert.NilError(t, err)
	assert.Equal(t, version, "v1")
	version, err = send(2, "v1")
	assert.NilError(t, err)
	assert.Equal(t, version, "v1")
	for _, other := range []string{"v2", ""} {
		_, err = send(2, other)
		assert.Assert(t, refuser.Is(err, refuser.OtherSoftware), "%v", err)
		assert.Assert(t, refuser.FromError(err).NeverRan())
	}
	e.mu.Lock()
	e.software = "v2"
	e.mu.Unlock()
	x.pollEngine(context.Background())
	_, err = send(2, "v1")
	assert.Assert(t, refuser.Is(err, refuser.OtherSoftware), "%v", err)
	assert.Equal(t, runs, 2)
}
