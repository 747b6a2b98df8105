package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/service"
	"oleanderstall/wire"
)

func newOrders() *orders { return &orders{runs: map[string]int{}} }

// TestOnceThroughTwoSidecars sends one key to two sidecars at the same time.
func TestOnceThroughTwoSidecars(t *testing.T) {
	r, o := newRig(t), newOrders()
	sidecars := []*Executor{r.sidecar("a", nil, o), r.sidecar("b", nil, o)}
	var wg sync.WaitGroup
	answers := make([]*wire.Answer, 2)
	for i, x := range sidecars {
		wg.Go(func() {
			a, err := x.invoke(context.Background(), invocation("500 maps", "key"))
			assert.Check(t, err)
			answers[i] = a
		})
	}
	wg.Wait()
	assert.Equal(t, o.count("500 maps"), 1)
	assert.Equal(t, string(answers[0].GetBody()), string(answers[1].GetBody()))
}

// TestOnceAfterLostClaimAnswer loses the platform's answer to the claim. The
// sidecar finds its own token and places the order, once.
func TestOnceAfterLostClaimAnswer(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	r.platform.Lose(1)
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOnceAfterLostOutcome loses the platform's answer to the outcome's record.
func TestOnceAfterLostOutcome(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	o.before = func() { r.platform.Lose(1) }
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOnceDuringOutage sends orders while the platform is out: without a claim
// no keyed order is sent, and the refusal says so truthfully.
func TestOnceDuringOutage(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	r.platform.Down(true)
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Outage))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Assert(t, refuser.Of(err).Retry() > 0)
	assert.Equal(t, o.count("500 maps"), 0)
	_, err = x.invoke(context.Background(), invocation("300 maps", ""))
	assert.NilError(t, err)
	assert.Equal(t, o.count("300 maps"), 1)
}

// TestOnceAfterUnknownOutcome loses the service's answer. The key is kept, and a
// repetition does not run again.
func TestOnceAfterUnknownOutcome(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	o.after = func() error { return &faker.OutageError{} }
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, !refuser.Of(err).Never())
	o.after = nil
	again := invocation("500 maps", "key")
	again.Left = 150
	go func() {
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			r.clock.Advance(20 * time.Millisecond)
		}
	}()
	_, err = x.invoke(context.Background(), again)
	assert.Assert(t, refuser.Is(err, refuser.Late))
	assert.Assert(t, !refuser.Of(err).Never())
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOnceAfterCallerLeft lets the caller leave while its order runs. A repetition
// gets the answer.
func TestOnceAfterCallerLeft(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	ctx, leave := context.WithCancel(context.Background())
	o.before = leave
	_, _ = x.invoke(ctx, invocation("500 maps", "key"))
	again := invocation("500 maps", "key")
	again.Left = 50
	answer, err := x.invoke(context.Background(), again)
	assert.NilError(t, err)
	assert.Equal(t, string(answer.GetBody()), "500 maps")
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOncePausedBeforeSend pauses the sidecar between the claim and the send for
// longer than the caller waits.
func TestOncePausedBeforeSend(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	x.table = &pausing{Platform: r.platform, pause: func() { r.clock.Advance(10 * time.Second) }}
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Late))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Equal(t, o.count("500 maps"), 0)
}

// TestOnceKeyForAnotherBody uses a key again for another order.
func TestOnceKeyForAnotherBody(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("900 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Conflict))
	assert.Equal(t, o.count("900 maps"), 0)
}

// TestOnceKeyGivenBack sends a key again whose first request provably did not
// run.
func TestOnceKeyGivenBack(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, &unreachable{orders: o, times: 1})
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Of(err).Never())
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	assert.Equal(t, o.count("500 maps"), 1)
}

// unreachable is a service that cannot be reached that many times.
type unreachable struct {
	*orders
	times int
}

func (u *unreachable) Call(ctx context.Context, r service.Request) (*service.Answer, error) {
	if u.times > 0 {
		u.times--
		return nil, &service.CallError{}
	}
	return u.orders.Call(ctx, r)
}

// TestKeyWithdrawnBeforeSend withdraws the key between admission and send.
func TestKeyWithdrawnBeforeSend(t *testing.T) {
	r, o := newRig(t), newOrders()
	x := r.sidecar("a", nil, o)
	x.table = &pausing{Platform: r.platform, pause: func() {
		r.publish(&wire.Change{Drops: []string{"key/k"}})
		r.member.Poll(context.Background())
	}}
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Equal(t, o.count("500 maps"), 0)
}
