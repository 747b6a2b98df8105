package member

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

const bound = 3 * time.Second

// rig is a few entries in two data centres.
type rig struct {
	t        *testing.T
	clock    *faker.Clock
	network  *faker.Network
	platform *faker.Platform
	tables   map[string]*gate
	syncers  map[string]*syncer.Syncer
	members  map[string]*Member
}

// gate is one process's way to the platform.
type gate struct {
	*faker.Platform
	cut bool
}

func (g *gate) Get(ctx context.Context, key string) (storer.Row, error) {
	if g.cut {
		return storer.Row{}, &faker.OutageError{}
	}
	return g.Platform.Get(ctx, key)
}

func (g *gate) Instances(ctx context.Context, known string) ([]storer.Instance, string, error) {
	if g.cut {
		return nil, "", &faker.OutageError{}
	}
	return g.Platform.Instances(ctx, known)
}

var fleet = []string{"a1", "a2", "a3", "b1", "b2"}

func newRig(t *testing.T) *rig {
	r := &rig{
		t:        t,
		clock:    faker.NewClock(),
		network:  faker.NewNetwork(),
		platform: faker.NewPlatform(),
		tables:   map[string]*gate{},
		syncers:  map[string]*syncer.Syncer{},
		members:  map[string]*Member{},
	}
	var list []storer.Instance
	for _, name := range fleet {
		list = append(list, storer.Instance{Name: name, Role: "entry", Centre: name[:1], Address: name})
	}
	r.platform.SetInstances(list...)
	l := faker.Silent()
	for _, in := range list {
		g := &gate{Platform: r.platform}
		c := configurer.New()
		s := syncer.New(g, g, c)
		m := New(in, r.clock.Now, r.network, g, s, c, l)
		r.tables[in.Name], r.syncers[in.Name], r.members[in.Name] = g, s, m
		r.network.Attach(in.Name, func(ctx context.Context, call *wire.Call, st peer.Stream) {
			_ = st.Send(m.Answer(ctx, call.GetProbe()))
		})
	}
	r.poll(time.Second)
	return r
}

// poll lets a time pass and every entry poll, the relays first and last.
func (r *rig) poll(d time.Duration) {
	r.clock.Advance(d)
	for _, name := range append(fleet, fleet...) {
		r.members[name].Poll(context.Background())
	}
}

func (r *rig) fresh(name string) bool { return r.members[name].Fresh(r.clock.Now(), bound) }

func (r *rig) withdraw(name string) {
	r.t.Helper()
	s := r.syncers[name]
	version := r.members[name].View().Version()
	assert.NilError(r.t, s.Publish(context.Background(), r.clock.Now(), version,
		&wire.Change{Drops: []string{"key/k"}, Token: "t"}, storer.Transaction{}))
}

func (r *rig) outage() {
	for _, g := range r.tables {
		g.cut = true
	}
}

// TestCutOffEntry cuts one entry off from the platform. It learns of a withdrawal
// from the others, through the relay of its data centre.
func TestCutOffEntry(t *testing.T) {
	r := newRig(t)
	for _, name := range fleet {
		r.tables[name].cut = true
		other := "b1"
		if name == other {
			other = "a1"
		}
		r.withdraw(other)
		r.poll(time.Second)
		assert.Assert(t, r.fresh(name), name)
		assert.Equal(t, r.members[name].View().Version(), r.members[other].View().Version(), name)
		r.tables[name].cut = false
	}
}

// TestCutOffFromAll cuts one entry off from the platform and from the others. It
// has no proof within the bound.
func TestCutOffFromAll(t *testing.T) {
	r := newRig(t)
	r.tables["a1"].cut = true
	for _, name := range fleet {
		r.network.Cut(name, true)
	}
	r.poll(time.Second)
	r.poll(time.Second)
	r.poll(time.Second + time.Millisecond)
	assert.Assert(t, !r.fresh("a1"))
}

// TestOutageWithProof takes the platform from everyone. All entries answer one
// another, which is proof, for as long as the outage lasts.
func TestOutageWithProof(t *testing.T) {
	r := newRig(t)
	r.outage()
	for range 60 {
		r.poll(time.Second)
		for _, name := range fleet {
			assert.Assert(t, r.fresh(name), name)
		}
	}
}

// TestOutageWithSilentEntry takes the platform from everyone and the network from
// one entry, which may know of a withdrawal. Nobody has proof after the bound.
func TestOutageWithSilentEntry(t *testing.T) {
	for _, silent := range fleet {
		r := newRig(t)
		r.outage()
		r.network.Cut(silent, true)
		for range 4 {
			r.poll(time.Second)
		}
		for _, name := range fleet {
			if name != silent {
				assert.Assert(t, !r.fresh(name), "%s with %s silent", name, silent)
			}
		}
	}
}

// TestOutageSpreadsWithdrawal withdraws a key through one entry just before the
// platform goes out. No entry without it has proof.
func TestOutageSpreadsWithdrawal(t *testing.T) {
	r := newRig(t)
	r.withdraw("b2")
	r.outage()
	for range 4 {
		r.poll(time.Second)
	}
	for _, name := range fleet {
		stale := r.members[name].View().Version() < r.members["b2"].View().Version()
		assert.Assert(t, !stale || !r.fresh(name), name)
		assert.Assert(t, !stale, name)
	}
}

// TestFrozenEntry freezes an entry while a key is withdrawn. On waking it has no
// proof until it has asked.
func TestFrozenEntry(t *testing.T) {
	r := newRig(t)
	r.withdraw("a1")
	r.clock.Advance(bound + time.Millisecond)
	assert.Assert(t, !r.fresh("b1"))
	r.members["b1"].Poll(context.Background())
	assert.Assert(t, r.fresh("b1"))
	assert.Equal(t, r.members["b1"].View().Version(), r.members["a1"].View().Version())
}

// TestGone lists an instance no longer.
func TestGone(t *testing.T) {
	r := newRig(t)
	m := r.members["a1"]
	now := r.clock.Now()
	assert.Assert(t, !m.Gone(now+time.Hour, "b1", time.Second))
	assert.Assert(t, !m.Gone(now, "never-seen", time.Second))
	assert.Assert(t, m.Gone(now+time.Second, "never-seen", time.Second))
}
