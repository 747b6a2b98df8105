package restorer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// fixture is a restorer on a table that calls beforeCommit once, before a commit.
type fixture struct {
	*faker.Platform
	t            *testing.T
	clock        *faker.Clock
	restorer     *Restorer
	beforeCommit func()
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{Platform: faker.NewPlatform(), t: t, clock: faker.NewClock()}
	f.restorer = New("a", f, f.clock.Now, faker.DiscardLogger())
	return f
}

// Commit implements storer.Table.
func (f *fixture) Commit(ctx context.Context, tx storer.Transaction) ([]uint64, error) {
	if hook := f.beforeCommit; hook != nil {
		f.beforeCommit = nil
		hook()
	}
	return f.Platform.Commit(ctx, tx)
}

// claim claims a key.
func (f *fixture) claim(key, token string) {
	f.t.Helper()
	version, err := f.restorer.Claim(f.t.Context(), key, &wire.Claim{Token: token})
	assert.NilError(f.t, err)
	assert.Assert(f.t, version > 0)
}

// row returns the claim of a key in the table, or nil.
func (f *fixture) row(key string) *wire.Claim {
	f.t.Helper()
	claim, version, err := f.restorer.Read(f.t.Context(), key)
	assert.NilError(f.t, err)
	if version == 0 {
		return nil
	}
	return claim
}

// TestOutcomeDuringRestore guards against an outcome that is lost because the claim is written again
// at the same time as it was before: a call that ended would have no answer for its repetitions,
// and one that never ran could not be repeated.
func TestOutcomeDuringRestore(t *testing.T) {
	f := newFixture(t)
	backup := f.Copy()
	f.claim("ends", "t")
	f.claim("released", "u")
	f.Restore(backup)
	f.beforeCommit = func() {
		assert.NilError(t, f.restorer.Release(t.Context(), "released", "u"))
	}
	assert.NilError(t, f.restorer.Sweep(t.Context()))
	assert.Assert(t, f.row("released") == nil)
	assert.Assert(t, !f.row("ends").GetDone())

	f.Restore(backup)
	f.beforeCommit = func() {
		assert.NilError(t, f.restorer.Finish(t.Context(), "ends", "t", &wire.Answer{Status: 201}))
	}
	for range 2 {
		// The first sweep may meet the other write.
		_ = f.restorer.Sweep(t.Context())
	}
	assert.Assert(t, f.row("ends").GetDone())
	assert.Assert(t, f.row("released") == nil)
}

// TestClaimOfEntry guards against an entry that replaces what a sidecar knows of a call, and against a
// sidecar whose answer is not stored because an entry has written the claim again first.
func TestClaimOfEntry(t *testing.T) {
	f := newFixture(t)
	entry := New("entry", f, f.clock.Now, faker.DiscardLogger())
	backup := f.Copy()
	f.claim("k", "t")
	assert.NilError(t, f.restorer.Finish(t.Context(), "k", "t", &wire.Answer{Status: 201}))
	entry.remember("k", &wire.Claim{}, 1)
	for _, order := range [][]*Restorer{{entry, f.restorer}, {f.restorer, entry}} {
		f.Restore(backup)
		for _, r := range order {
			assert.NilError(t, r.Sweep(t.Context()))
		}
		assert.Equal(t, f.row("k").GetAnswer().GetStatus(), uint32(201))
	}
}

// TestConfirmations guards against claims that count as complete before this process has written its
// own in the era, or although it could not.
func TestConfirmations(t *testing.T) {
	f := newFixture(t)
	backup := f.Copy()
	f.claim("k", "t")
	f.Restore(backup)
	f.SetDown(true)
	assert.Assert(t, f.restorer.Sweep(t.Context()) != nil)
	f.SetDown(false)
	confirmed := func() int {
		rows, err := f.List(t.Context(), storer.RestoredPrefix(f.Era()))
		assert.NilError(t, err)
		return len(rows)
	}
	assert.Equal(t, confirmed(), 0)
	_, wait, err := f.restorer.Admit(t.Context(), nil)
	assert.NilError(t, err)
	assert.Assert(t, wait > 0)
	f.clock.Advance(10 * time.Second)
	_, wait, err = f.restorer.Admit(t.Context(), nil)
	assert.NilError(t, err)
	assert.Assert(t, wait > 0)
	f.beforeCommit = func() { f.Restore(backup) }
	assert.NilError(t, f.restorer.Sweep(t.Context()))
	assert.Equal(t, confirmed(), 0)
	assert.NilError(t, f.restorer.Sweep(t.Context()))
	assert.Equal(t, confirmed(), 1)
	assert.Assert(t, f.row("k") != nil)
	f.clock.Advance(10 * time.Second)
	_, wait, err = f.restorer.Admit(t.Context(), nil)
	assert.NilError(t, err)
	assert.Equal(t, wait, time.Duration(0))
}
