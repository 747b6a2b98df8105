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

// newBlockedSidecar returns a sidecar with a concurrency of one and one running
// request, which ends when the returned channel is closed.
func newBlockedSidecar(t *testing.T) (*fixture, *Executor, chan struct{}) {
	f, e := newFixture(t), newEngine(1000)
	f.options.Concurrency = 1
	gate := make(chan struct{})
	e.generate = func(ctx context.Context, _ engine.Request, _ func(string) error) (engine.Result, error) {
		select {
		case <-gate:
		case <-ctx.Done():
			return engine.Result{}, ctx.Err()
		}
		return engine.Result{FinishReason: "stop"}, nil
	}
	x := f.sidecar("a", e, nil)
	f.makeReady(x)
	_, err := x.load(context.Background(), loadOrder("a", "m1", 1))
	assert.NilError(t, err)
	go func() { _ = f.run(x, "m1", 1) }()
	awaitPending(x, 1)
	return f, x, gate
}

// awaitPending waits until count requests are queued or running.
func awaitPending(x *Executor, count int) {
	for x.pendingRequests() < count {
		time.Sleep(time.Millisecond)
	}
}

// TestDeadlinePassesInQueue lets the deadline of a queued request pass. The request
// must be refused as one that never ran, and must leave the queue.
func TestDeadlinePassesInQueue(t *testing.T) {
	f, x, gate := newBlockedSidecar(t)
	defer close(gate)
	run := &wire.Run{Id: "q", Workspace: "w", Key: "k", Config: 1, Model: "m1", Left: 30, Cost: 1}
	err := x.serveRequest(context.Background(), run, nil)
	assert.Assert(t, refuser.Is(err, refuser.DeadlineExceeded))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	assert.Equal(t, x.pendingRequests(), 1)
	_ = f
}

// TestRefusedWhenWaitExceedsDeadline sends a request whose estimated wait is longer
// than the time to its deadline. It must be refused at once, not at the deadline.
func TestRefusedWhenWaitExceedsDeadline(t *testing.T) {
	_, x, gate := newBlockedSidecar(t)
	defer close(gate)
	x.meanServiceTime = 20 * time.Second
	run := &wire.Run{Id: "q", Workspace: "w", Key: "k", Config: 1, Model: "m1", Left: 5000, Cost: 1}
	started := time.Now()
	err := x.serveRequest(context.Background(), run, nil)
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, refuser.FromError(err).RetryAfter() >= 5*time.Second)
	assert.Assert(t, time.Since(started) < 4*time.Second)
}

// TestKeyWithdrawnInQueue withdraws the key of a queued request. The request must be
// refused before it is sent to the engine.
func TestKeyWithdrawnInQueue(t *testing.T) {
	f, x, gate := newBlockedSidecar(t)
	queued := make(chan error, 1)
	go func() { queued <- f.run(x, "m1", 1) }()
	awaitPending(x, 2)
	f.publish(&wire.Change{Drops: []string{"key/k"}})
	x.member.Poll(context.Background())
	close(gate)
	err := <-queued
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, refuser.FromError(err).NeverRan())
}

// TestLongWaitDuringOutage keeps a request queued for longer than its key check is
// relied on, while the platform is down. The sidecar can't tell whether the key was
// withdrawn and must refuse.
func TestLongWaitDuringOutage(t *testing.T) {
	f, x, gate := newBlockedSidecar(t)
	queued := make(chan error, 1)
	go func() { queued <- f.run(x, "m1", 1) }()
	awaitPending(x, 2)
	f.platform.SetDown(true)
	f.clock.Advance(4 * time.Second)
	close(gate)
	err := <-queued
	assert.Assert(t, refuser.Is(err, refuser.StaleConfiguration))
	assert.Assert(t, refuser.FromError(err).NeverRan())
}

// TestLongWaitRefreshesConfiguration keeps a request queued for longer than its key
// check is relied on, without a poll of the configuration meanwhile. The sidecar must
// poll the platform and serve the request.
func TestLongWaitRefreshesConfiguration(t *testing.T) {
	f, x, gate := newBlockedSidecar(t)
	queued := make(chan error, 1)
	go func() { queued <- f.run(x, "m1", 1) }()
	awaitPending(x, 2)
	f.clock.Advance(4 * time.Second)
	close(gate)
	assert.NilError(t, <-queued)
}

// TestCancelledInQueue cancels the context of a queued request. The request must
// leave the queue.
func TestCancelledInQueue(t *testing.T) {
	_, x, gate := newBlockedSidecar(t)
	defer close(gate)
	ctx, cancel := context.WithCancel(context.Background())
	queued := make(chan error, 1)
	go func() {
		run := &wire.Run{Id: "q", Workspace: "w", Key: "k", Config: 1, Model: "m1", Left: 60000, Cost: 1}
		queued <- x.serveRequest(ctx, run, nil)
	}()
	awaitPending(x, 2)
	cancel()
	assert.Assert(t, refuser.Is(<-queued, refuser.Canceled))
	assert.Equal(t, x.pendingRequests(), 1)
}

// TestPausedBeforeSend advances the clock past the deadline of a queued request
// before it is admitted, as if the process had been paused. It must not be sent.
func TestPausedBeforeSend(t *testing.T) {
	f, x, gate := newBlockedSidecar(t)
	queued := make(chan error, 1)
	go func() { queued <- f.run(x, "m1", 1) }()
	awaitPending(x, 2)
	f.clock.Advance(2 * time.Minute)
	close(gate)
	err := <-queued
	assert.Assert(t, refuser.Is(err, refuser.DeadlineExceeded))
	assert.Assert(t, refuser.FromError(err).NeverRan())
}
