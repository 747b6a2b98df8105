package charger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// newCharger returns the charger of the only entry, whose workspace has used nothing.
func newCharger() *Charger {
	begun := time.Now()
	copied := configurer.New()
	copied.Restore(&wire.Change{Version: 1, Workspaces: []*wire.Workspace{{Name: "w", Rate: 1000, Burst: 1000}}})
	c := New(Options{}, func() time.Duration { return time.Hour + time.Since(begun) }, copied, faker.Silent())
	c.ApplyConfiguration()
	c.Receive(c.clock(), &wire.Batch{Entries: 1}, true)
	time.Sleep(3 * time.Second)
	return c
}

func (c *Charger) charge(tokens float64) (dispatcher.Bill, error) {
	return c.Charge(context.Background(), &dispatcher.Request{Workspace: "w", Cost: tokens})
}

// TestUnusedIsGivenBack gives the tokens of a request back that has not run, and
// keeps those of one that may have.
func TestUnusedIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCharger()
		bill, err := c.charge(1000)
		assert.NilError(t, err)
		bill.Settle(0)
		bill, err = c.charge(1000)
		assert.NilError(t, err)
		bill.Settle(1)
		_, err = c.charge(1000)
		assert.Assert(t, refuser.Is(err, refuser.Limited))
		assert.Equal(t, c.Unsent()["w"], 1000.0)
	})
}

// TestOthersUse refuses what other entries have used, and tells when to come back.
func TestOthersUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCharger()
		c.Receive(c.clock(), &wire.Batch{Entries: 2, Spent: map[string]float64{"w": 900}}, false)
		_, err := c.charge(900)
		assert.Assert(t, refuser.Is(err, refuser.Limited), "%v", err)
		assert.Assert(t, refuser.Of(err).Never())
		wait := refuser.Of(err).Retry()
		assert.Assert(t, wait > 0 && wait < 2*time.Second, "%v", wait)
	})
}

// TestTellsAgain tells what was used once more if no relay has confirmed it.
func TestTellsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCharger()
		_, err := c.charge(300)
		assert.NilError(t, err)
		lost := c.Unsent()
		_, err = c.charge(100)
		assert.NilError(t, err)
		c.MarkUnsent(lost)
		assert.Equal(t, c.Unsent()["w"], 400.0)
		assert.Equal(t, len(c.Unsent()), 0)
	})
}

// TestWaitsForTokens lets a request wait for tokens that come in soon, the one of
// the first rank first, and refuses at once what would wait for longer.
func TestWaitsForTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCharger()
		_, err := c.charge(1000)
		assert.NilError(t, err)
		now := c.clock()
		request := func(id string, rank int) *dispatcher.Request {
			return &dispatcher.Request{ID: id, Workspace: "w", Cost: 100, Priority: rank, Started: now, Goal: now + time.Second}
		}
		var order []string
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
		assert.Assert(t, refuser.Is(err, refuser.Limited), "%v", err)
		for range 3 {
			order = append(order, <-done)
		}
		assert.DeepEqual(t, order, []string{"a", "b", "c"})
		assert.Equal(t, c.clock()-now, 300*time.Millisecond)
	})
}
