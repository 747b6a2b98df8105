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

// rig is a few entries on one clock, one platform and one network in memory.
type rig struct {
	t        testing.TB
	clock    *faker.Clock
	platform *faker.Platform
	network  *faker.Network
	entries  map[string]*Holder
	members  map[string]*member.Member
}

func newRig(t testing.TB, change *wire.Change, names ...string) *rig {
	r := &rig{
		t:        t,
		clock:    faker.NewClock(),
		platform: faker.NewPlatform(),
		network:  faker.NewNetwork(),
		entries:  map[string]*Holder{},
		members:  map[string]*member.Member{},
	}
	c := configurer.New()
	s := syncer.New(r.platform, r.platform, c)
	assert.NilError(t, s.Publish(context.Background(), r.clock.Now(), 0, change, storer.Transaction{}))
	r.list(names...)
	for _, name := range names {
		r.start(name)
	}
	return r
}

func entryAt(name string) storer.Instance {
	return storer.Instance{Name: name, Role: "entry", Centre: "c1", Address: name}
}

// list sets the platform's list to these entries and all engines.
func (r *rig) list(names ...string) {
	list := []storer.Instance{
		{Name: "engine-a", Role: "sidecar", Pool: storer.EnginePool, Address: "engine-a"},
		{Name: "engine-b", Role: "sidecar", Pool: storer.EnginePool, Address: "engine-b"},
	}
	for _, name := range names {
		list = append(list, entryAt(name))
	}
	r.platform.SetInstances(list...)
}

// start starts an entry, or starts it anew with nothing in memory.
func (r *rig) start(name string) {
	l := faker.Silent()
	c := configurer.New()
	s := syncer.New(r.platform, r.platform, c)
	m := member.New(entryAt(name), r.clock.Now, r.network, r.platform, s, c, l)
	m.Poll(context.Background())
	h := New(Options{Shards: testShards, Lease: testLease}, r.clock.Now, r.network, r.platform, m,
		recorder.New(name, 64), meter.New(), l)
	r.members[name], r.entries[name] = m, h
	r.network.Attach(name, func(ctx context.Context, call *wire.Call, s peer.Stream) {
		_ = s.Send(answer(ctx, h, call))
	})
}

func answer(ctx context.Context, h *Holder, call *wire.Call) *wire.Reply {
	switch b := call.GetBody().(type) {
	case *wire.Call_Promise:
		return h.Promise(b.Promise)
	case *wire.Call_Free:
		if err := h.Free(ctx, b.Free); err != nil {
			return refuser.Of(err).Reply()
		}
	}
	return &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}
}

// run lets time pass in steps of a second with a tick of each named entry.
func (r *rig) run(d time.Duration, names ...string) {
	for step := time.Duration(0); step < d; step += time.Second {
		r.clock.Advance(time.Second)
		for _, name := range names {
			r.members[name].Poll(context.Background())
			r.entries[name].Tick(context.Background())
		}
	}
}

// holders returns how many entries hold each shard now.
func (r *rig) holders() []int {
	held := make([]int, testShards)
	for _, h := range r.entries {
		for _, s := range h.Shards() {
			if s.Held {
				held[s.Index]++
			}
		}
	}
	return held
}

// owner returns the entry that holds a shard, or nil.
func (r *rig) owner(index uint32) *Holder {
	for _, h := range r.entries {
		if h.Shards()[index].Held {
			return h
		}
	}
	return nil
}

// testChange has models and workspaces of those numbers.
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
