package gossiper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// fleet is a group of entries on a network in memory.
type fleet struct {
	network *faker.Network
	entries []*Gossiper
	copies  []*configurer.Configurer
	cancel  context.CancelFunc
}

func newFleet(n int) *fleet {
	begun := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(begun) }
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{network: faker.NewNetwork(), cancel: cancel}
	l := faker.Silent()
	for i := range n {
		c := configurer.New()
		c.Restore(config(1, 1000))
		g := New(fmt.Sprint(i), 1, Terms{}, clock, c, l)
		g.Configured()
		f.entries, f.copies = append(f.entries, g), append(f.copies, c)
		f.network.Attach(fmt.Sprint(i), func(_ context.Context, call *wire.Call, s peer.Stream) { _ = s.Send(g.Answer(call)) })
	}
	for _, g := range f.entries {
		go g.Run(ctx, f.network)
		for i := range n {
			g.Add(storer.Instance{Name: fmt.Sprint(i), Address: fmt.Sprint(i)})
		}
	}
	return f
}

func config(version uint64, rate float64) *wire.Change {
	return &wire.Change{Version: version, Workspaces: []*wire.Workspace{{Name: "w", Rate: rate, Burst: rate}}}
}

func (f *fleet) charge(entry int, tokens float64) (dispatcher.Bill, error) {
	return f.entries[entry].Charge(context.Background(), &dispatcher.Request{Workspace: "w", Cost: tokens})
}

// stop ends the fleet.
func (f *fleet) stop() {
	f.cancel()
	for _, g := range f.entries {
		<-g.Done()
	}
}

// TestOneLimit refuses at one entry what was used at another.
func TestOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		time.Sleep(3 * time.Second)
		_, err := f.charge(0, 900)
		assert.NilError(t, err)
		time.Sleep(150 * time.Millisecond)
		_, err = f.charge(1, 900)
		assert.Assert(t, refuser.Is(err, refuser.Limited), "%v", err)
		assert.Assert(t, refuser.Of(err).Never())
		wait := refuser.Of(err).Retry()
		assert.Assert(t, wait > 0 && wait < 2*time.Second, "%v", wait)
	})
}

// TestUnusedIsGivenBack gives the tokens of a request back that has not run, and
// keeps those of one that may have.
func TestUnusedIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		time.Sleep(3 * time.Second)
		bill, err := f.charge(0, 1000)
		assert.NilError(t, err)
		bill.Settle(0)
		bill, err = f.charge(0, 1000)
		assert.NilError(t, err)
		bill.Settle(1)
		_, err = f.charge(0, 1000)
		assert.Assert(t, refuser.Is(err, refuser.Limited))
	})
}

// TestConfigurationSpreads brings a configuration that one entry has into force at
// the others, and none goes back.
func TestConfigurationSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		time.Sleep(time.Second)
		f.copies[1].Restore(config(9, 10))
		f.entries[1].Configured()
		time.Sleep(time.Second)
		for _, c := range f.copies {
			assert.Equal(t, c.View().Version(), uint64(9))
		}
		_, err := f.charge(2, 500)
		assert.Assert(t, err == nil)
		_, err = f.charge(2, 500)
		assert.Assert(t, refuser.Is(err, refuser.Limited))
	})
}

// TestCutOff leaves an entry that reaches no other one its own part, and the
// others theirs.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.network.Cut("0", true)
		f.network.Cut("1", true)
		time.Sleep(3 * time.Second)
		used := 0.0
		for range 30 {
			for i := range 2 {
				if _, err := f.charge(i, 100); err == nil {
					used += 100
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, used <= 1000*3+1000+100, "%g", used)
		assert.Assert(t, used >= 1000*3*0.9, "%g", used)
	})
}

// TestLeave sets nothing aside for an entry that has stopped.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.entries[1].Leave(context.Background())
		f.network.Cut("0", true)
		f.network.Cut("1", true)
		time.Sleep(3 * time.Second)
		_, err := f.charge(0, 1000)
		assert.NilError(t, err)
	})
}

// TestWaitsForTokens lets a request wait for tokens that come in soon, the one of
// the first rank first, and refuses at once what would wait for longer.
func TestWaitsForTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stop()
		time.Sleep(3 * time.Second)
		g := f.entries[0]
		_, err := f.charge(0, 1000)
		assert.NilError(t, err)
		now := g.clock()
		request := func(id string, rank int) *dispatcher.Request {
			return &dispatcher.Request{ID: id, Workspace: "w", Cost: 100, Priority: rank, Begun: now, Goal: now + time.Second}
		}
		var order []string
		done := make(chan string, 3)
		for i, id := range []string{"c", "b", "a"} {
			go func() {
				_, err := g.Charge(context.Background(), request(id, 2-i))
				assert.Check(t, err)
				done <- id
			}()
			synctest.Wait()
		}
		_, err = g.Charge(context.Background(), request("d", 3))
		assert.Assert(t, refuser.Is(err, refuser.Limited), "%v", err)
		for range 3 {
			order = append(order, <-done)
		}
		assert.DeepEqual(t, order, []string{"a", "b", "c"})
		assert.Equal(t, g.clock()-now, 300*time.Millisecond)
	})
}
