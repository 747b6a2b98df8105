package restorer

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/claimer"
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
	reads        atomic.Int64
}

// Get implements storer.Table.
func (f *fixture) Get(ctx context.Context, key string) (storer.Row, error) {
	f.reads.Add(1)
	return f.Platform.Get(ctx, key)
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
	entry := New("", f, f.clock.Now, faker.DiscardLogger())
	backup := f.Copy()
	assert.Assert(t, entry.Expect("k", nil))
	f.claim("k", "t")
	entry.Answered("k", nil)
	assert.NilError(t, f.restorer.Finish(t.Context(), "k", "t", &wire.Answer{Status: 201}))
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

// TestCallOfEndedSidecar guards against a call that runs twice because its sidecar ended before the
// store came back without the claim: the entry that sent the call writes what it knows.
func TestCallOfEndedSidecar(t *testing.T) {
	f := newFixture(t)
	entry := New("", f, f.clock.Now, faker.DiscardLogger())
	backup := f.Copy()
	assert.Assert(t, entry.Expect("lost", []byte("d")))
	entry.Answered("lost", nil)
	assert.Assert(t, entry.Expect("answered", nil))
	assert.Assert(t, !entry.Expect("answered", nil))
	entry.Answered("answered", &wire.Answer{Status: 201})
	assert.Assert(t, entry.Expect("large", nil))
	entry.Answered("large", &wire.Answer{Body: make([]byte, claimer.MaxAnswer+1)})
	assert.Assert(t, entry.Expect("never", nil))
	entry.NeverRan("never")
	for range 2 {
		f.Restore(backup)
		assert.NilError(t, entry.Sweep(t.Context()))
		assert.Equal(t, string(f.row("lost").GetDigest()), "d")
		assert.Assert(t, !f.row("lost").GetDone())
		assert.Equal(t, f.row("answered").GetAnswer().GetStatus(), uint32(201))
		assert.Assert(t, f.row("large") != nil && !f.row("large").GetDone())
		assert.Assert(t, f.row("never") == nil)
	}
	rows, err := f.List(t.Context(), storer.RestoredPrefix(f.Era()))
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// TestEntryReadsFewRows guards against an entry that reads a row for each call of the last minutes
// after a restore, and against one that reads too few and misses a lost claim: calls of the seconds
// before the copy may be claimed in any order.
func TestEntryReadsFewRows(t *testing.T) {
	f := newFixture(t)
	entry := New("", f, f.clock.Now, faker.DiscardLogger())
	var backup faker.TableCopy
	const calls, delay = 100, 3
	for i := range calls {
		key := strconv.Itoa(i)
		assert.Assert(t, entry.Expect(key, nil))
		entry.Answered(key, nil)
		if i >= delay {
			f.claim(strconv.Itoa(i-delay), "t")
		}
		if i == calls/2 {
			backup = f.Copy()
		}
		f.clock.Advance(time.Second)
	}
	f.Restore(backup)
	f.reads.Store(0)
	assert.NilError(t, entry.Sweep(t.Context()))
	assert.Assert(t, f.reads.Load() < calls*3/4, "%d reads", f.reads.Load())
	for i := range calls {
		assert.Assert(t, f.row(strconv.Itoa(i)) != nil, i)
	}
}
