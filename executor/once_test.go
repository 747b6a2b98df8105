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

func newOrderService() *orderService { return &orderService{runs: map[string]int{}} }

// TestOnceThroughTwoSidecars sends one idempotency key to two sidecars at the same
// time. The service gets one call and both callers get its answer.
func TestOnceThroughTwoSidecars(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	sidecars := []*Executor{f.sidecar("a", nil, o), f.sidecar("b", nil, o)}
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
// sidecar must find its own token in the table and make the call once.
func TestOnceAfterLostClaimAnswer(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	f.platform.LoseAnswers(1)
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOnceAfterLostOutcomeAnswer loses the platform's answer when the outcome is
// recorded. A repetition must not run again.
func TestOnceAfterLostOutcomeAnswer(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	o.before = func() { f.platform.LoseAnswers(1) }
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOnceDuringOutage makes calls while the platform is down. A call with an
// idempotency key can't be claimed, so it must not be sent, and the refusal must
// say that it never ran. A call without a key is sent.
func TestOnceDuringOutage(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	f.platform.SetDown(true)
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.PlatformUnavailable))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	assert.Equal(t, o.count("500 maps"), 0)
	_, err = x.invoke(context.Background(), invocation("300 maps", ""))
	assert.NilError(t, err)
	assert.Equal(t, o.count("300 maps"), 1)
}

// TestOnceAfterUnknownOutcome loses the service's answer. The claim must be kept, so
// that a repetition does not run again and is refused at its deadline.
func TestOnceAfterUnknownOutcome(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	o.after = func() error { return &faker.OutageError{} }
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, !refuser.FromError(err).NeverRan())
	o.after = nil
	again := invocation("500 maps", "key")
	again.Left = 150
	go func() {
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			f.clock.Advance(20 * time.Millisecond)
		}
	}()
	_, err = x.invoke(context.Background(), again)
	assert.Assert(t, refuser.Is(err, refuser.DeadlineExceeded))
	assert.Assert(t, !refuser.FromError(err).NeverRan())
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOnceAfterCallerCancels cancels the caller's context while its call runs. A
// repetition must get the answer.
func TestOnceAfterCallerCancels(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	ctx, cancel := context.WithCancel(context.Background())
	o.before = cancel
	_, _ = x.invoke(ctx, invocation("500 maps", "key"))
	again := invocation("500 maps", "key")
	again.Left = 50
	answer, err := x.invoke(context.Background(), again)
	assert.NilError(t, err)
	assert.Equal(t, string(answer.GetBody()), "500 maps")
	assert.Equal(t, o.count("500 maps"), 1)
}

// TestOncePausedBeforeSend advances the clock past the deadline between the claim
// and the call, as if the process had been paused. The call must not be sent.
func TestOncePausedBeforeSend(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	x.useTable(&hookedTable{Platform: f.platform, afterCommit: func() { f.clock.Advance(10 * time.Second) }})
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.DeadlineExceeded))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Equal(t, o.count("500 maps"), 0)
}

// TestOnceKeyForAnotherBody uses an idempotency key again with a different body. The
// second call must be refused and not sent.
func TestOnceKeyForAnotherBody(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	_, err = x.invoke(context.Background(), invocation("900 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Conflict))
	assert.Equal(t, o.count("900 maps"), 0)
}

// TestOnceKeyReleased uses an idempotency key again after its first call did not
// reach the service. The second call must run.
func TestOnceKeyReleased(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, &unreachableService{orderService: o, failures: 1})
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	_, err = x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.NilError(t, err)
	assert.Equal(t, o.count("500 maps"), 1)
}

// unreachableService is a service that can't be reached for the first failures calls.
type unreachableService struct {
	*orderService
	failures int
}

func (u *unreachableService) Call(ctx context.Context, r service.Request) (*service.Answer, error) {
	if u.failures > 0 {
		u.failures--
		return nil, &service.CallError{}
	}
	return u.orderService.Call(ctx, r)
}

// TestKeyWithdrawnBeforeSend withdraws the caller's key between the claim and the
// call. The call must not be sent.
func TestKeyWithdrawnBeforeSend(t *testing.T) {
	f, o := newFixture(t), newOrderService()
	x := f.sidecar("a", nil, o)
	x.useTable(&hookedTable{Platform: f.platform, afterCommit: func() {
		f.publish(&wire.Change{Drops: []string{"key/k"}})
		f.member.Poll(context.Background())
	}})
	_, err := x.invoke(context.Background(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Equal(t, o.count("500 maps"), 0)
}
