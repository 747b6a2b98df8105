package executor

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/engine"
	"oleanderstall/refuser"
	"oleanderstall/storer"
)

// TestBackendLimit guards against a backend server that gets more requests than the limit that it
// names: of many a second it gets as many as it takes, and the others are refused at once with the
// time of the next one. Once an answer names no limit, all reach it.
func TestBackendLimit(t *testing.T) {
	for _, kind := range []string{"engine", "service"} {
		t.Run(kind, func(t *testing.T) {
			f := newFixture(t)
			e, o := &memoryEngine{capacity: 200, loaded: map[string]engine.Loaded{}}, newOrderService()
			var x *Executor
			send := func(int) error { return f.run(x, "m1", 1) }
			setLimit := func(rate float64) { e.limit = rate }
			if kind == "engine" {
				x = f.sidecar("a", e, nil)
				f.makeReady(x)
				_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
				assert.NilError(t, err)
			} else {
				x = f.sidecar("a", nil, o)
				send = func(i int) error {
					_, err := x.invoke(context.Background(), invocation(strconv.Itoa(i), ""))
					return err
				}
				setLimit = func(rate float64) { o.limit = rate }
			}
			setLimit(2)
			assert.NilError(t, send(0))
			served := 0
			for i := range 100 {
				f.clock.Advance(100 * time.Millisecond)
				err := send(i)
				if err == nil {
					served++
					continue
				}
				refusal := refuser.FromError(err)
				assert.Assert(t, refusal.Kind() == refuser.BackendLimited && refusal.NeverRan(), "%v", err)
				assert.Assert(t, refusal.RetryAfter() > 0 && refusal.RetryAfter() <= 500*time.Millisecond, "%v", refusal.RetryAfter())
			}
			assert.Assert(t, served >= 16 && served <= 21, "%d in 10 s at 2 a second", served)
			setLimit(0)
			f.clock.Advance(time.Second)
			for i := range 20 {
				assert.NilError(t, send(i))
			}
		})
	}
}

// TestLimitAtStart checks that a sidecar that starts learns the limit from the engine's status,
// before it sends a request.
func TestLimitAtStart(t *testing.T) {
	f := newFixture(t)
	x := f.sidecar("a", &memoryEngine{capacity: 200, loaded: map[string]engine.Loaded{}, limit: 0.1}, nil)
	x.Sweep(context.Background())
	assert.Assert(t, refuser.Is(f.run(x, "m1", 1), refuser.BackendLimited))
}

// TestOrderBeyondLimit guards against an order with an idempotency key that is refused for the
// limit and can't be placed later, because its key is taken.
func TestOrderBeyondLimit(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	o.limit = 1
	_, err := x.invoke(context.Background(), invocation("1 map", "first"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.BackendLimited))
	row, err := f.platform.Get(context.Background(), storer.ClaimKey("w", "reserve", "key"))
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(0))
	f.clock.Advance(time.Second)
	for range 2 {
		_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
		if err != nil {
			assert.Assert(t, refuser.Is(err, refuser.BackendLimited))
		}
	}
	assert.Equal(t, o.count("500 maps"), 1)
}
