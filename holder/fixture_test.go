package holder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

const (
	testLease  = 6 * time.Second
	testShards = 4
)

// fixture runs several entries with one clock, one platform and one in-memory network.
type fixture struct {
	t        testing.TB
	clock    *faker.Clock
	platform *faker.Platform
	network  *faker.Network
	entries  map[string]*Holder
	members  map[string]*member.Member
}

// newFixture publishes change as the configuration and starts the named entries.
func newFixture(t testing.TB, change *wire.Change, names ...string) *fixture {
	f := &fixture{
		t:        t,
		clock:    faker.NewClock(),
		platform: faker.NewPlatform(),
		network:  faker.NewNetwork(),
		entries:  map[string]*Holder{},
		members:  map[string]*member.Member{},
	}
	c := configurer.New()
	s := syncer.New(f.platform, f.platform, c)
	assert.NilError(t, s.Publish(context.Background(), f.clock.Now(), 0, change, storer.Transaction{}))
	f.setEntries(names...)
	for _, name := range names {
		f.startEntry(name)
	}
	return f
}

// entryInstance returns an entry as the platform's instance list has it.
func entryInstance(name string) storer.Instance {
	return storer.Instance{Name: name, Role: "entry", Centre: "c1", Address: name}
}

// setEntries sets the platform's instance list to these entries and the two sidecars.
func (f *fixture) setEntries(names ...string) {
	list := []storer.Instance{
		{Name: "engine-a", Role: "sidecar", Centre: "ca", Pool: storer.EnginePool, Address: "engine-a"},
		{Name: "engine-b", Role: "sidecar", Centre: "cb", Pool: storer.EnginePool, Address: "engine-b"},
	}
	for _, name := range names {
		list = append(list, entryInstance(name))
	}
	f.platform.SetInstances(list...)
}

// startEntry starts an entry, or restarts it without its previous state.
func (f *fixture) startEntry(name string) {
	l := faker.DiscardLogger()
	c := configurer.New()
	s := syncer.New(f.platform, f.platform, c)
	m := member.New(entryInstance(name), f.clock.Now, f.network, f.platform, s, c, l)
	m.Poll(context.Background())
	h := New(Options{Shards: testShards, Lease: testLease}, f.clock.Now, f.network, f.platform, m,
		recorder.New(name, 64), meter.New(), l)
	f.members[name], f.entries[name] = m, h
	f.network.Attach(name, func(ctx context.Context, call *wire.Call, s peer.Stream) {
		_ = s.Send(handleCall(ctx, h, call))
	})
}

// handleCall answers a call to an entry.
func handleCall(ctx context.Context, h *Holder, call *wire.Call) *wire.Reply {
	switch b := call.GetBody().(type) {
	case *wire.Call_Promise:
		return h.HandlePromise(b.Promise)
	case *wire.Call_Free:
		if err := h.MarkUnloaded(ctx, b.Free); err != nil {
			return refuser.FromError(err).Reply()
		}
	}
	return &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}
}

// run advances the clock by d in steps of one second, with a poll and a tick of each
// named entry after each step.
func (f *fixture) run(d time.Duration, names ...string) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += time.Second {
		f.clock.Advance(time.Second)
		for _, name := range names {
			f.members[name].Poll(context.Background())
			f.entries[name].Tick(context.Background())
		}
	}
}

// holderCounts returns for each shard how many entries hold it now.
func (f *fixture) holderCounts() []int {
	counts := make([]int, testShards)
	for _, h := range f.entries {
		for _, s := range h.Shards() {
			if s.Held {
				counts[s.Index]++
			}
		}
	}
	return counts
}

// holderOf returns the entry that holds a shard, or nil if there is none.
func (f *fixture) holderOf(index uint32) *Holder {
	for _, h := range f.entries {
		if h.Shards()[index].Held {
			return h
		}
	}
	return nil
}

// testChange returns a configuration with the given numbers of models and workspaces.
func testChange(models, workspaces int) *wire.Change {
	c := &wire.Change{}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, &wire.Workspace{
			Name: fmt.Sprintf("w%d", i), Rate: 100, Burst: 1000, Weight: 1, Shares: 2,
		})
	}
	for i := range models {
		c.Models = append(c.Models, &wire.Model{
			Name: fmt.Sprintf("m%d", i), Bytes: 100, Replicas: 1, Workspaces: []string{"w0"},
			Context: 1000, Kv: 1, Keep: 60, Idle: 0.02,
		})
	}
	return c
}
