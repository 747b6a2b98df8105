package executor

import (
	"context"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/engine"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// TestClaimWithoutAnswer guards against a sidecar that ends whenever a call comes with a key
// whose claim counts as done but holds no answer.
func TestClaimWithoutAnswer(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	call := invocation("500 maps", "key")
	value, err := storer.Encode(&wire.Claim{Token: "other", Digest: requestDigest(call), Done: true})
	assert.NilError(t, err)
	key := storer.ClaimKey(call.GetWorkspace(), call.GetRoute(), call.GetOnce())
	_, err = f.platform.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{{Key: key, Value: value}}})
	assert.NilError(t, err)
	call.Left = 1
	_, err = x.invoke(context.Background(), call)
	assert.Assert(t, refuser.Is(err, refuser.DeadlineExceeded))
	assert.Assert(t, !refuser.FromError(err).NeverRan())
	assert.Equal(t, o.count("500 maps"), 0)
}

// TestAdapterOfItself guards against a sidecar that ends because the engine lists adapters that
// are each other's base.
func TestAdapterOfItself(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Base: "m1", Bytes: 10}
	e.loaded["x"] = engine.Loaded{Model: "x", Base: "y"}
	e.loaded["y"] = engine.Loaded{Model: "y", Base: "x"}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m2", 1))
	assert.NilError(t, err)
}

// TestOddSizes guards against an engine whose memory is overcommitted because the sizes of what
// it holds wrap around when they are added up.
func TestOddSizes(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: 60}
	e.loaded["odd"] = engine.Loaded{Model: "odd", Bytes: math.MaxUint64 - 50}
	x := f.sidecar("a", e, nil)
	x.pollEngine(context.Background())
	assert.Equal(t, x.budget.Used(), uint64(60))
	assert.Equal(t, x.budget.Free(), uint64(40))
}

// TestOddSizeInConfiguration checks that sizes that exceed all memory together count as no free
// memory, so that nothing is overcommitted.
func TestOddSizeInConfiguration(t *testing.T) {
	f, e := newFixture(t), newEngine(math.MaxUint64)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Bytes: math.MaxUint64}
	e.loaded["m2"] = engine.Loaded{Model: "m2", Bytes: 60}
	x := f.sidecar("a", e, nil)
	x.pollEngine(context.Background())
	assert.Equal(t, x.budget.Free(), uint64(0))
}

// TestUnreadableReplica checks that a replica of which only the name can be read keeps its
// memory, so that it is neither forgotten nor overcommitted.
func TestUnreadableReplica(t *testing.T) {
	f, e := newFixture(t), newEngine(100)
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	e.loaded["m1"] = engine.Loaded{Model: "m1", Unreadable: true}
	f.clock.Advance(maxOrderTransit)
	x.pollEngine(context.Background())
	assert.Equal(t, x.budget.Used(), uint64(60))

	restarted := f.sidecar("a", e, nil)
	restarted.pollEngine(context.Background())
	assert.Equal(t, restarted.budget.Used(), uint64(60))
}
