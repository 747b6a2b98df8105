package member

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// publish publishes a change that adds a key through an entry, within a few polls.
func (f *fixture) publish(name, key string) {
	f.t.Helper()
	var err error
	for range 5 {
		m := f.members[name]
		change := &wire.Change{Keys: []*wire.Key{{Id: key, Workspace: "w"}}, Token: key}
		if err = f.syncers[name].Publish(context.Background(), f.clock.Now(), m.View().Version(), change, storer.Transaction{}); err == nil {
			return
		}
		f.poll(time.Second)
	}
	assert.NilError(f.t, err)
}

// assertKeys checks that all entries, and a process that reads the store alone, have the given keys in
// force, in the same version.
func (f *fixture) assertKeys(what string, keys ...string) {
	f.t.Helper()
	fresh := configurer.New()
	assert.NilError(f.t, syncer.New(f.platform, f.platform, fresh).Pull(context.Background(), f.clock.Now()), what)
	views := map[string]*configurer.View{"a new process": fresh.View()}
	for name, m := range f.members {
		views[name] = m.View()
	}
	for name, view := range views {
		assert.Equal(f.t, view.Version(), fresh.View().Version(), "%s: %s", what, name)
		for _, key := range keys {
			assert.Assert(f.t, view.Key(key) != nil, "%s: %s lacks key %s in version %d", what, name, key, view.Version())
		}
	}
}

// TestConfigurationAfterRestore guards against accepted changes that are lost, or in force at some
// entries only, because the store was set back and gives versions out again.
func TestConfigurationAfterRestore(t *testing.T) {
	f := newFixture(t)
	f.publish("a1", "before")
	f.poll(time.Second)
	for _, c := range []struct{ lost, after string }{{"lost1", "after1"}, {"lost2", "after2"}, {"lost3", "after3"}} {
		backup := f.platform.Copy()
		f.publish("a2", c.lost)
		f.poll(time.Second)
		f.platform.Restore(backup)
		for _, name := range entryNames {
			assert.Assert(t, f.members[name].View().Key(c.lost) != nil)
		}
		f.poll(time.Second)
		f.assertKeys("after the restore", "before", c.lost)
		f.publish("b2", c.after)
		f.poll(time.Second)
		f.assertKeys("change after the restore", "before", c.lost, c.after)
		for _, name := range entryNames {
			assert.Assert(t, f.fresh(name))
		}
	}
}

// setReachable makes all entries reachable or unreachable for each other.
func (f *fixture) setReachable(reachable bool) {
	for _, name := range entryNames {
		f.network.SetUnreachable(name, !reachable)
	}
}

// TestLateNewsAfterRestore guards against a withdrawal that is lost with the store's rows while one entry
// has not heard of it: that entry has no proof that its configuration is the newest until it has heard.
func TestLateNewsAfterRestore(t *testing.T) {
	f := newFixture(t)
	f.publish("a1", "k")
	f.poll(time.Second)
	backup := f.platform.Copy()
	f.access["b2"].unreachable = true
	f.network.SetUnreachable("b2", true)
	f.withdraw("a1")
	for _, name := range []string{"a1", "a2", "a3", "b1"} {
		f.members[name].Poll(context.Background())
	}
	f.platform.Restore(backup)
	f.access["b2"].unreachable = false
	f.clock.Advance(2 * freshnessBound)
	f.setReachable(false)
	f.members["b2"].Poll(context.Background())
	assert.Assert(t, !f.fresh("b2"), "an older state of the store counts as proof")
	f.setReachable(true)
	f.poll(time.Second)
	for _, name := range entryNames {
		assert.Assert(t, f.fresh(name))
		assert.Assert(t, f.members[name].View().Key("k") == nil, "%s has the withdrawn key", name)
	}
}
