package executor

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/engine"
	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// TestWithCrash checks which refusals state that the backend server has crashed: those of calls
// that may have run, if nobody listens there any more. All calls of one crash state the same
// time, until the server answers again.
func TestWithCrash(t *testing.T) {
	refuses := true
	x := &Executor{log: faker.DiscardLogger()}
	x.options.Refuses = func(context.Context) bool { return refuses }
	lost := refuser.MayHaveRun(refuser.ConnectionLost, "no answer")
	first := refuser.CrashTime(x.withCrash(t.Context(), lost))
	assert.Assert(t, first > 0)
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), lost)), first)
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), refuser.New(refuser.ConnectionLost, "not sent"))), int64(0))

	x.recordAlive()
	assert.Equal(t, x.crashedAt, int64(0))
	refuses = false
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), lost)), int64(0))
	x.options.Refuses = nil
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), lost)), int64(0))
}

// crashSidecar is a sidecar with a loaded model whose engine crashes on the next request.
type crashSidecar struct {
	*fixture
	executor *Executor
	engine   *memoryEngine
	// down is set while nobody listens at the engine's address.
	down bool
}

func newCrashSidecar(t *testing.T) *crashSidecar {
	c := &crashSidecar{fixture: newFixture(t), engine: newEngine(100)}
	c.options.Refuses = func(context.Context) bool { return c.down }
	c.executor = c.sidecar("a", c.engine, nil)
	c.makeReady(c.executor)
	_, err := c.executor.load(t.Context(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	c.engine.generate = func(context.Context, engine.Request, func(string) error) (engine.Result, error) {
		c.down, c.engine.loaded = true, map[string]engine.Loaded{}
		return engine.Result{}, errors.New("reset")
	}
	return c
}

// TestCrashedEngine guards against an engine that is sent requests for seconds although it has
// crashed: it is down, or runs again without its models, and a model in use was kept. Two
// crashes have to be told apart, or they count as one.
func TestCrashedEngine(t *testing.T) {
	c := newCrashSidecar(t)
	x := c.executor
	crashedAt := refuser.CrashTime(c.run(x, "m1", 1))
	assert.Assert(t, crashedAt > 0)
	err := c.run(x, "m1", 1)
	assert.Assert(t, refuser.Is(err, refuser.ConnectionLost))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	assert.Assert(t, x.bid(&wire.Bid{Model: "m2"}).GetRefusal() != nil)
	_, err = x.load(t.Context(), loadOrder("a", "m2", 1))
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, !x.runsAgain(t.Context()))

	c.down = false
	x.replicas["m1"].users++
	assert.Assert(t, x.runsAgain(t.Context()))
	assert.Equal(t, stateOf(x, "m1"), "none")
	_, err = x.load(t.Context(), loadOrder("a", "m1", 2))
	assert.NilError(t, err)
	again := refuser.CrashTime(c.run(x, "m1", 1))
	assert.Assert(t, again >= crashedAt)
	assert.Assert(t, x.crashed())
}

// TestModelMissing guards against a model that is taken for loaded as long as requests for it
// come, although the engine answers that it does not have it.
func TestModelMissing(t *testing.T) {
	c := newCrashSidecar(t)
	x := c.executor
	c.engine.generate = func(context.Context, engine.Request, func(string) error) (engine.Result, error) {
		c.engine.loaded = map[string]engine.Loaded{}
		return engine.Result{}, &engine.StatusError{Status: http.StatusNotFound}
	}
	err := c.run(x, "m1", 1)
	assert.Assert(t, refuser.Is(err, refuser.NotResident))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	x.pollEngine(t.Context())
	assert.Equal(t, stateOf(x, "m1"), "none")
	assert.Equal(t, len(x.freedSlots), 1)
}

// TestOldStatusAfterCrash delivers a status from before a load after it. The engine may have
// started again, but the model that was loaded since must stay.
func TestOldStatusAfterCrash(t *testing.T) {
	c := newCrashSidecar(t)
	x := c.executor
	x.markModelMissing()
	c.engine.beforeStatusReturn = func() {
		c.engine.beforeStatusReturn = nil
		c.clock.Advance(maxOrderTransit)
		_, err := x.load(t.Context(), loadOrder("a", "m2", 1))
		assert.NilError(t, err)
	}
	c.engine.capacity = 200
	x.pollEngine(t.Context())
	assert.Equal(t, stateOf(x, "m2"), "STATE_RESIDENT")
}

// TestCrashedService checks that a plain service that has crashed is called again, for orders
// with a key as well, once it runs, and not before.
func TestCrashedService(t *testing.T) {
	f := newFixture(t)
	down := false
	f.options.Refuses = func(context.Context) bool { return down }
	s := &orderService{runs: map[string]int{}}
	x := f.sidecar("a", nil, s)
	s.after = func() error { down = true; return errors.New("reset") }
	_, err := x.invoke(t.Context(), invocation("bad", ""))
	assert.Assert(t, refuser.CrashTime(err) > 0)
	s.after = nil
	_, err = x.invoke(t.Context(), invocation("500 maps", "k1"))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Equal(t, s.count("500 maps"), 0)

	down = false
	x.awaitRestart(t.Context())
	_, err = x.invoke(t.Context(), invocation("500 maps", "k1"))
	assert.NilError(t, err)
	assert.Equal(t, s.count("500 maps"), 1)
}
