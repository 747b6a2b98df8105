package executor

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/engine"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// blocked returns a sidecar of one concurrent request that is in hand until the
// gate is closed.
func blocked(t *testing.T) (*rig, *Executor, chan struct{}) {
	r, e := newRig(t), newEngine(1000)
	r.terms.Concurrency = 1
	gate := make(chan struct{})
	e.generate = func(ctx context.Context, _ engine.Request, _ func(string) error) (engine.Result, error) {
		select {
		case <-gate:
		case <-ctx.Done():
			return engine.Result{}, ctx.Err()
		}
		return engine.Result{Reason: "stop"}, nil
	}
	x := r.sidecar("a", e, nil)
	r.ready(x)
	_, err := x.load(context.Background(), order1("a", "m1", 1))
	assert.NilError(t, err)
	go func() { _ = r.run(x, "m1", 1) }()
	wait(x, 1)
	return r, x, gate
}

func wait(x *Executor, n int) {
	for x.waiting() < n {
		time.Sleep(time.Millisecond)
	}
}

// TestExpiresInQueue lets a request's deadline pass in the queue. It is refused
// then, not later, and truthfully.
func TestExpiresInQueue(t *testing.T) {
	r, x, gate := blocked(t)
	defer close(gate)
	run := &wire.Run{Id: "q", Workspace: "w", Key: "k", Config: 1, Model: "m1", Left: 30, Cost: 1}
	err := x.run(context.Background(), run, nil)
	assert.Assert(t, refuser.Is(err, refuser.Late))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Assert(t, refuser.Of(err).Retry() > 0)
	assert.Equal(t, x.waiting(), 1)
	_ = r
}

// TestHopelessIsRefusedAtOnce sends a request whose wait is longer than its time.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	_, x, gate := blocked(t)
	defer close(gate)
	x.pace = 20 * time.Second
	run := &wire.Run{Id: "q", Workspace: "w", Key: "k", Config: 1, Model: "m1", Left: 5000, Cost: 1}
	begun := time.Now()
	err := x.run(context.Background(), run, nil)
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Assert(t, refuser.Of(err).Retry() >= 5*time.Second)
	assert.Assert(t, time.Since(begun) < 4*time.Second)
}

// TestKeyWithdrawnInQueue withdraws a key while its request waits.
func TestKeyWithdrawnInQueue(t *testing.T) {
	r, x, gate := blocked(t)
	queued := make(chan error, 1)
	go func() { queued <- r.run(x, "m1", 1) }()
	wait(x, 2)
	r.publish(&wire.Change{Drops: []string{"key/k"}})
	x.member.Poll(context.Background())
	close(gate)
	err := <-queued
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, refuser.Of(err).Never())
}

// TestLongWaitWithoutProof lets a request wait for longer than the bound while
// the sidecar is cut off from the platform. It cannot tell whether the key still
// stands, and refuses.
func TestLongWaitWithoutProof(t *testing.T) {
	r, x, gate := blocked(t)
	queued := make(chan error, 1)
	go func() { queued <- r.run(x, "m1", 1) }()
	wait(x, 2)
	r.platform.Down(true)
	r.clock.Advance(4 * time.Second)
	close(gate)
	err := <-queued
	assert.Assert(t, refuser.Is(err, refuser.Stale))
	assert.Assert(t, refuser.Of(err).Never())
}

// TestLongWaitBringsProof lets a request wait for longer than the bound, and for
// longer than since the last poll. The sidecar asks the platform and serves it.
func TestLongWaitBringsProof(t *testing.T) {
	r, x, gate := blocked(t)
	queued := make(chan error, 1)
	go func() { queued <- r.run(x, "m1", 1) }()
	wait(x, 2)
	r.clock.Advance(4 * time.Second)
	close(gate)
	assert.NilError(t, <-queued)
}

// TestCancelledInQueue gives a request up while it waits.
func TestCancelledInQueue(t *testing.T) {
	_, x, gate := blocked(t)
	defer close(gate)
	ctx, cancel := context.WithCancel(context.Background())
	queued := make(chan error, 1)
	go func() {
		run := &wire.Run{Id: "q", Workspace: "w", Key: "k", Config: 1, Model: "m1", Left: 60000, Cost: 1}
		queued <- x.run(ctx, run, nil)
	}()
	wait(x, 2)
	cancel()
	assert.Assert(t, refuser.Is(<-queued, refuser.Canceled))
	assert.Equal(t, x.waiting(), 1)
}

// TestPausedBeforeSend pauses the sidecar between the turn and the send.
func TestPausedBeforeSend(t *testing.T) {
	r, x, gate := blocked(t)
	queued := make(chan error, 1)
	go func() { queued <- r.run(x, "m1", 1) }()
	wait(x, 2)
	r.clock.Advance(2 * time.Minute)
	close(gate)
	err := <-queued
	assert.Assert(t, refuser.Is(err, refuser.Late))
	assert.Assert(t, refuser.Of(err).Never())
}
