package syncer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/storer"
)

// process is a syncer with its copy.
type process struct {
	*Syncer
	config *configurer.Configurer
}

// newProcess returns a process that has just started.
func newProcess(p *faker.Platform) process {
	s, c := newSyncer(p)
	return process{Syncer: s, config: c}
}

// publish publishes a change that adds a key, based on what the process has in force.
func (p process) publish(now time.Duration, key string) error {
	return p.Publish(context.Background(), now, p.config.View().Version(), change(key), storer.Transaction{})
}

// assertKeys checks that a process has exactly the given keys in force.
func (p process) assertKeys(t *testing.T, what string, keys ...string) {
	t.Helper()
	for _, key := range keys {
		assert.Assert(t, p.config.View().Key(key) != nil, "%s: no key %s in version %d", what, key, p.config.View().Version())
	}
}

// TestChangeAfterRestore guards against processes that keep different configurations, or an older one,
// because the store was set back and gives versions out again: accepted changes that it has lost, and a
// change right after that, are in force in processes that had them and in new ones.
func TestChangeAfterRestore(t *testing.T) {
	ctx := t.Context()
	p := faker.NewPlatform()
	first, second := newProcess(p), newProcess(p)
	for i := range 3 {
		assert.NilError(t, first.publish(0, fmt.Sprint("k", i)))
	}
	backup := p.Copy()
	for round := range 3 {
		now := time.Duration(round+1) * time.Minute
		lost := fmt.Sprint("lost", round)
		assert.NilError(t, second.Pull(ctx, now))
		assert.NilError(t, first.publish(now, lost))
		assert.NilError(t, second.Pull(ctx, now))
		p.Restore(backup)
		fresh := newProcess(p)
		var unconfirmed *UnconfirmedError
		for _, s := range []process{first, second, fresh} {
			assert.Assert(t, eris.As(s.Pull(ctx, now), &unconfirmed))
			assert.Assert(t, eris.As(s.publish(now, "early"), &unconfirmed), "a change was accepted before the newest version was known")
			proven, ok := s.LastCurrent()
			assert.Assert(t, !ok || proven < now || s.config != fresh.config)
		}
		first.assertKeys(t, "kept", "k2", lost)
		before := first.config.View().Version()
		assert.NilError(t, first.Confirm(ctx, now, true))
		for _, s := range []process{second, fresh} {
			assert.NilError(t, s.Pull(ctx, now))
			s.assertKeys(t, "after the restore", "k2", lost)
		}
		assert.Assert(t, first.config.View().Version() > before)
		assert.NilError(t, second.publish(now, fmt.Sprint("after", round)))
		for _, s := range []process{first, fresh, newProcess(p)} {
			assert.NilError(t, s.Pull(ctx, now))
			s.assertKeys(t, "change after the restore", "k2", lost, fmt.Sprint("after", round))
			assert.Equal(t, s.config.View().Version(), second.config.View().Version())
			assert.Assert(t, s.config.View().Key("early") == nil)
		}
	}
}

// TestConfirmWithoutAllEntries checks that a process waits before it confirms its version without
// knowing that of all entries, that the one who is later takes over what was confirmed, and that a
// process that was cut off with a newer version does not keep it beside the others.
func TestConfirmWithoutAllEntries(t *testing.T) {
	ctx := t.Context()
	p := faker.NewPlatform()
	reachable, cutOff := newProcess(p), newProcess(p)
	assert.NilError(t, reachable.publish(0, "k"))
	assert.NilError(t, cutOff.Pull(ctx, 0))
	backup := p.Copy()
	assert.NilError(t, cutOff.publish(0, "lost"))
	p.Restore(backup)
	var unconfirmed *UnconfirmedError
	assert.Assert(t, eris.As(reachable.Pull(ctx, time.Second), &unconfirmed))
	assert.NilError(t, reachable.Confirm(ctx, time.Second, false))
	assert.Assert(t, eris.As(reachable.Pull(ctx, time.Second), &unconfirmed), "confirmed at once")
	assert.NilError(t, reachable.Confirm(ctx, time.Second+confirmTimeout, false))
	assert.NilError(t, reachable.publish(time.Minute, "next"))
	assert.NilError(t, cutOff.Confirm(ctx, time.Minute, true))
	assert.NilError(t, cutOff.Pull(ctx, time.Minute))
	cutOff.assertKeys(t, "after the cut", "k", "next")
	assert.Equal(t, cutOff.config.View().Version(), reachable.config.View().Version())
}

// TestFirstVersion checks that no version is given out in two eras, whatever a process has in force.
func TestFirstVersion(t *testing.T) {
	for _, c := range []struct{ era, known, want uint64 }{
		{1, 0, 1},
		{1, 13, 14},
		{2, 0, 1_000_001},
		{2, 13, 1_000_014},
		{3, 13, 2_000_014},
		{3, 1_000_015, 2_000_016},
		{3, 2_000_015, 2_000_016},
		{2, 1_999_999, 2_000_000},
	} {
		assert.Equal(t, firstVersion(c.era, c.known), c.want, "era %d, version %d", c.era, c.known)
	}
}
