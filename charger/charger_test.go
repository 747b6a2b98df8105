package charger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// newCharger returns the charger of the only entry, with a full bucket.
func newCharger() *Charger {
	start := time.Now()
	config := configurer.New()
	config.Restore(&wire.Change{Version: 1, Workspaces: []*wire.Workspace{{Name: "w", Rate: 1000, Burst: 1000}}})
	c := New(Options{}, func() time.Duration { return time.Hour + time.Since(start) }, config, faker.DiscardLogger())
	c.ApplyConfiguration()
	c.Receive(c.clock(), &wire.Batch{Entries: 1}, true)
	time.Sleep(3 * time.Second)
	return c
}

func (c *Charger) charge(tokens float64) (dispatcher.Bill, error) {
	return c.Charge(context.Background(), &dispatcher.Request{Workspace: "w", Cost: tokens})
}

// TestChargeRefundedIfNotRun checks that the tokens of a request that has not run are
// refunded, and those of one that may have run are not.
func TestChargeRefundedIfNotRun(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		c := newCharger()
		bill, err := c.charge(1000)
		assert.NilError(t, err)
		bill.Settle(0)
		bill, err = c.charge(1000)
		assert.NilError(t, err)
		bill.Settle(1)
		_, err = c.charge(1000)
		assert.Assert(t, refuser.Is(err, refuser.RateLimited))
		assert.Equal(t, c.TakeUnsent()["w"], 1000.0)
	})
}

// TestRemoteUsageRefuses checks that a request for tokens that other entries have used is
// refused, with a time to retry.
func TestRemoteUsageRefuses(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		c := newCharger()
		c.Receive(c.clock(), &wire.Batch{Entries: 2, Spent: map[string]float64{"w": 900}}, false)
		_, err := c.charge(900)
		assert.Assert(t, refuser.Is(err, refuser.RateLimited), "%v", err)
		assert.Assert(t, refuser.FromError(err).NeverRan())
		wait := refuser.FromError(err).RetryAfter()
		assert.Assert(t, wait > 0 && wait < 2*time.Second, "%v", wait)
	})
}

// TestUnconfirmedUsageSentAgain guards against lost usage: tokens in a report that no relay
// has confirmed are sent again.
func TestUnconfirmedUsageSentAgain(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		c := newCharger()
		_, err := c.charge(300)
		assert.NilError(t, err)
		unconfirmed := c.TakeUnsent()
		_, err = c.charge(100)
		assert.NilError(t, err)
		c.MarkUnsent(unconfirmed)
		assert.Equal(t, c.TakeUnsent()["w"], 400.0)
		assert.Equal(t, len(c.TakeUnsent()), 0)
	})
}

// TestRequestsWaitForTokens checks that requests wait for tokens that accrue soon, in the
// order of their priority, and that one that would wait longer is refused at once.
func TestRequestsWaitForTokens(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		c := newCharger()
		_, err := c.charge(1000)
		assert.NilError(t, err)
		now := c.clock()
		request := func(id string, priority int) *dispatcher.Request {
			return &dispatcher.Request{ID: id, Workspace: "w", Cost: 100, Priority: priority, Started: now, TargetTime: now + time.Second}
		}
		var served []string
		done := make(chan string, 3)
		for i, id := range []string{"c", "b", "a"} {
			go func() {
				_, err := c.Charge(context.Background(), request(id, 2-i))
				assert.Check(t, err)
				done <- id
			}()
			synctest.Wait()
		}
		_, err = c.Charge(context.Background(), request("d", 3))
		assert.Assert(t, refuser.Is(err, refuser.RateLimited), "%v", err)
		for range 3 {
			served = append(served, <-done)
		}
		assert.DeepEqual(t, served, []string{"a", "b", "c"})
		assert.Equal(t, c.clock()-now, 300*time.Millisecond)
	})
}
