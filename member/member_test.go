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

// freshnessBound is the longest time without proof for which a configuration counts
// as fresh in these tests.
const freshnessBound = 3 * time.Second

// fixture holds the members of five entries in two data centres.
type fixture struct {
	t        *testing.T
	clock    *faker.Clock
	network  *faker.Network
	platform *faker.Platform
	access   map[string]*platformAccess
	syncers  map[string]*syncer.Syncer
	members  map[string]*Member
}

// platformAccess is the connection of one process to the platform. Reads fail while
// unreachable is set.
type platformAccess struct {
	*faker.Platform
	unreachable bool
}

// Get implements storer.Table.
func (a *platformAccess) Get(ctx context.Context, key string) (storer.Row, error) {
	if a.unreachable {
		return storer.Row{}, &faker.OutageError{}
	}
	return a.Platform.Get(ctx, key)
}

// Instances implements storer.Lister.
func (a *platformAccess) Instances(ctx context.Context, known string) ([]storer.Instance, string, error) {
	if a.unreachable {
		return nil, "", &faker.OutageError{}
	}
	return a.Platform.Instances(ctx, known)
}

// entryNames are the names of the entries. The first letter is the data centre.
var entryNames = []string{"a1", "a2", "a3", "b1", "b2"}

// newFixture returns the entries after their first polls.
func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t:        t,
		clock:    faker.NewClock(),
		network:  faker.NewNetwork(),
		platform: faker.NewPlatform(),
		access:   map[string]*platformAccess{},
		syncers:  map[string]*syncer.Syncer{},
		members:  map[string]*Member{},
	}
	var list []storer.Instance
	for _, name := range entryNames {
		list = append(list, storer.Instance{Name: name, Role: "entry", Centre: name[:1], Address: name})
	}
	f.platform.SetInstances(list...)
	l := faker.DiscardLogger()
	for _, in := range list {
		access := &platformAccess{Platform: f.platform}
		c := configurer.New()
		s := syncer.New(access, access, c)
		m := New(in, f.clock.Now, f.network, access, s, c, l)
		f.access[in.Name], f.syncers[in.Name], f.members[in.Name] = access, s, m
		f.network.Attach(in.Name, func(ctx context.Context, call *wire.Call, stream peer.Stream) {
			_ = stream.Send(m.AnswerProbe(ctx, call.GetProbe()))
		})
	}
	f.poll(time.Second)
	return f
}

// poll advances the clock by d and polls every entry twice, so that in the second
// round each receives what the others learnt in the first.
func (f *fixture) poll(d time.Duration) {
	f.clock.Advance(d)
	for _, name := range append(entryNames, entryNames...) {
		f.members[name].Poll(context.Background())
	}
}

// fresh reports whether an entry has proof within freshnessBound.
func (f *fixture) fresh(name string) bool {
	return f.members[name].Fresh(f.clock.Now(), freshnessBound)
}

// withdraw publishes the withdrawal of a key through an entry.
func (f *fixture) withdraw(name string) {
	f.t.Helper()
	s := f.syncers[name]
	version := f.members[name].View().Version()
	assert.NilError(f.t, s.Publish(context.Background(), f.clock.Now(), version,
		&wire.Change{Drops: []string{"key/k"}, Token: "t"}, storer.Transaction{}))
}

// startOutage makes the platform unreachable for all entries.
func (f *fixture) startOutage() {
	for _, a := range f.access {
		a.unreachable = true
	}
}

// TestEntryWithoutPlatform checks that an entry that cannot reach the platform
// receives a withdrawal, and a proof, from the other entries through the relay of its
// data centre. Without that, it would accept the withdrawn key or refuse all keys.
func TestEntryWithoutPlatform(t *testing.T) {
	f := newFixture(t)
	for _, name := range entryNames {
		f.access[name].unreachable = true
		other := "b1"
		if name == other {
			other = "a1"
		}
		f.withdraw(other)
		f.poll(time.Second)
		assert.Assert(t, f.fresh(name), name)
		assert.Equal(t, f.members[name].View().Version(), f.members[other].View().Version(), name)
		f.access[name].unreachable = false
	}
}

// TestIsolatedEntry checks that an entry that can reach neither the platform nor the
// other entries has no proof after the bound, since it may have missed a withdrawal.
func TestIsolatedEntry(t *testing.T) {
	f := newFixture(t)
	f.access["a1"].unreachable = true
	for _, name := range entryNames {
		f.network.SetUnreachable(name, true)
	}
	f.poll(time.Second)
	f.poll(time.Second)
	f.poll(time.Second + time.Millisecond)
	assert.Assert(t, !f.fresh("a1"))
}

// TestOutageWithProof checks that entries which all reply to one another's probes
// keep their proof for as long as an outage of the platform lasts.
func TestOutageWithProof(t *testing.T) {
	f := newFixture(t)
	f.startOutage()
	for range 60 {
		f.poll(time.Second)
		for _, name := range entryNames {
			assert.Assert(t, f.fresh(name), name)
		}
	}
}

// TestOutageWithUnreachableEntry checks that during an outage of the platform no
// entry has proof after the bound if one entry does not reply: that entry may have a
// withdrawal that the others lack.
func TestOutageWithUnreachableEntry(t *testing.T) {
	for _, unreachable := range entryNames {
		f := newFixture(t)
		f.startOutage()
		f.network.SetUnreachable(unreachable, true)
		for range 4 {
			f.poll(time.Second)
		}
		for _, name := range entryNames {
			if name != unreachable {
				assert.Assert(t, !f.fresh(name), "%s with %s silent", name, unreachable)
			}
		}
	}
}

// TestOutageSpreadsWithdrawal withdraws a key through one entry just before an outage
// of the platform. All other entries must receive the withdrawal, and none may have
// proof without it.
func TestOutageSpreadsWithdrawal(t *testing.T) {
	f := newFixture(t)
	f.withdraw("b2")
	f.startOutage()
	for range 4 {
		f.poll(time.Second)
	}
	for _, name := range entryNames {
		stale := f.members[name].View().Version() < f.members["b2"].View().Version()
		assert.Assert(t, !stale || !f.fresh(name), name)
		assert.Assert(t, !stale, name)
	}
}

// TestPausedEntry checks that an entry that did not run while a key was withdrawn has
// no proof when it runs again until it has polled, and then has the withdrawal.
func TestPausedEntry(t *testing.T) {
	f := newFixture(t)
	f.withdraw("a1")
	f.clock.Advance(freshnessBound + time.Millisecond)
	assert.Assert(t, !f.fresh("b1"))
	f.members["b1"].Poll(context.Background())
	assert.Assert(t, f.fresh("b1"))
	assert.Equal(t, f.members["b1"].View().Version(), f.members["a1"].View().Version())
}

// TestUnlisted checks that a listed instance never counts as unlisted, and that for a
// name that was never listed the time counts from the first list.
func TestUnlisted(t *testing.T) {
	f := newFixture(t)
	m := f.members["a1"]
	now := f.clock.Now()
	assert.Assert(t, !m.Unlisted(now+time.Hour, "b1", time.Second))
	assert.Assert(t, !m.Unlisted(now, "never-seen", time.Second))
	assert.Assert(t, m.Unlisted(now+time.Second, "never-seen", time.Second))
}

// TestOddChangeOfPeer guards against changes of another entry that are not applied because an odd
// one stands before them in its reply.
func TestOddChangeOfPeer(t *testing.T) {
	f := newFixture(t)
	m := f.members["a1"]
	version := m.View().Version()
	m.applyChanges([]*wire.Change{{Version: version + 7}, {Version: version + 1}, {Version: 0}, {Version: version + 2}})
	assert.Equal(t, m.View().Version(), version+2)
}
