package executor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// TestEvacuatedSidecarUnloads guards against an idle model that stays in an evacuated data centre for its
// keep-alive time, and against a load that is taken there. After the end loads are taken again.
func TestEvacuatedSidecarUnloads(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	ctx := context.Background()
	_, err := x.load(ctx, loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	x.Sweep(ctx)
	assert.Assert(t, e.hasModel("m1"))
	f.publish(&wire.Change{Evacuate: []*wire.EvacuatedCentre{{Name: "x"}}})
	f.member.Poll(ctx)
	f.clock.Advance(1)
	x.Sweep(ctx)
	assert.Assert(t, !e.hasModel("m1"))
	_, err = x.load(ctx, loadOrder("a", "m2", 2))
	assert.Assert(t, refuser.Is(err, refuser.Leaving) && refuser.FromError(err).NeverRan(), "%v", err)
	f.publish(&wire.Change{Drops: []string{"evacuate/x"}})
	f.member.Poll(ctx)
	_, err = x.load(ctx, loadOrder("a", "m2", 2))
	assert.NilError(t, err)
}
