package executor

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// settleTime is a time after which the claims of an era are complete if all sidecars run.
const settleTime = 7 * time.Second

// restoredFixture has two sidecars of one service, whose claims the store loses.
type restoredFixture struct {
	*fixture
	o    *orderService
	a, b *Executor
}

func newRestoredFixture(t *testing.T) *restoredFixture {
	f, o := newFixture(t), newOrderService()
	f.platform.SetInstances(
		storer.Instance{Name: "a", Role: "sidecar", Pool: "orders", Address: "a"},
		storer.Instance{Name: "b", Role: "sidecar", Pool: "orders", Address: "b"},
		storer.Instance{Name: "engine", Role: "sidecar", Pool: storer.EnginePool, Address: "engine"},
		storer.Instance{Name: "entry", Role: "entry", Address: "entry"},
	)
	return &restoredFixture{fixture: f, o: o, a: f.sidecar("a", nil, o), b: f.sidecar("b", nil, o)}
}

// place sends the order with the key to a sidecar, with little time left.
func (f *restoredFixture) place(x *Executor) (*wire.Answer, error) {
	again := invocation("500 maps", "key")
	again.Left = 50
	return x.invoke(context.Background(), again)
}

// assertUndecided checks that a sidecar does not place the order and does not say that the order has
// not run.
func (f *restoredFixture) assertUndecided(x *Executor) {
	f.t.Helper()
	_, err := f.place(x)
	assert.Assert(f.t, err != nil)
	assert.Assert(f.t, refuser.Is(err, refuser.Undecided), "%v", err)
	assert.Assert(f.t, !refuser.FromError(err).NeverRan())
	assert.Assert(f.t, refuser.FromError(err).RetryAfter() > 0)
}

// pass lets sidecars sweep for a time.
func (f *restoredFixture) pass(d time.Duration, sidecars ...*Executor) {
	for range d / time.Second {
		f.clock.Advance(time.Second)
		for _, x := range sidecars {
			x.Sweep(context.Background())
		}
	}
}

// assertAnswered checks that sidecars answer the order, which ran once, with its answer.
func (f *restoredFixture) assertAnswered(sidecars ...*Executor) {
	f.t.Helper()
	for _, x := range sidecars {
		answer, err := f.place(x)
		assert.NilError(f.t, err)
		assert.Equal(f.t, string(answer.GetBody()), "500 maps")
	}
	assert.Equal(f.t, f.o.count("500 maps"), 1)
}

// TestOnceAfterRestore guards against a call that runs twice because the store, which came back from
// a copy, has lost its claim: before the call, its outcome, or while it runs.
func TestOnceAfterRestore(t *testing.T) {
	for name, lose := range map[string]func(f *restoredFixture, before faker.TableCopy) (restore func()){
		"claim": func(f *restoredFixture, before faker.TableCopy) func() {
			return func() { f.platform.Restore(before) }
		},
		"outcome": func(f *restoredFixture, _ faker.TableCopy) func() {
			var claimed faker.TableCopy
			f.o.before = func() { claimed = f.platform.Copy() }
			return func() { f.platform.Restore(claimed) }
		},
		"claim during the call": func(f *restoredFixture, before faker.TableCopy) func() {
			f.o.before = func() { f.platform.Restore(before) }
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRestoredFixture(t)
			restore := lose(f, f.platform.Copy())
			_, err := f.a.invoke(t.Context(), invocation("500 maps", "key"))
			assert.NilError(t, err)
			restore()
			f.o.before = nil
			started := f.sidecar("c", nil, f.o)
			if name == "claim" {
				f.assertUndecided(f.b)
				f.assertUndecided(started)
			}
			f.pass(time.Second, f.a)
			f.assertAnswered(f.a, f.b, started)
			f.pass(settleTime, f.a, f.b)
			f.assertAnswered(f.a, f.b, f.sidecar("d", nil, f.o))
		})
	}
}

// TestClaimsAreTakenAgain guards against keyed calls that are refused for good after a restore, or
// at a start in a later era, and against those that are placed before a sidecar that stands still
// has written its claims.
func TestClaimsAreTakenAgain(t *testing.T) {
	f := newRestoredFixture(t)
	f.platform.Restore(f.platform.Copy())
	f.assertUndecided(f.b)
	f.pass(settleTime, f.b)
	f.assertUndecided(f.b)
	f.pass(time.Second, f.a)
	f.pass(time.Second, f.b)
	f.assertAnswered(f.b, f.a)
	_, err := f.sidecar("new", nil, f.o).invoke(t.Context(), invocation("900 maps", "another key"))
	assert.NilError(t, err)

	f.platform.Restore(f.platform.Copy())
	f.pass(40*time.Second, f.b)
	_, err = f.b.invoke(t.Context(), invocation("100 maps", "third key"))
	assert.NilError(t, err)
	assert.Equal(t, f.o.count("100 maps"), 1)
}

// TestClaimDuringRestore guards against a call that is made by a claim of an era in which others
// may be missing, because the store came back between the check and the claim.
func TestClaimDuringRestore(t *testing.T) {
	f := newRestoredFixture(t)
	x := f.sidecar("a", nil, f.o)
	x.useTable(&restoringTable{Platform: f.platform})
	_, err := x.invoke(t.Context(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.Is(err, refuser.Undecided), "%v", err)
	assert.Assert(t, !refuser.FromError(err).NeverRan())
	assert.Equal(t, f.o.count("500 maps"), 0)
	f.pass(settleTime, x, f.b)
	f.assertAnswered(f.b)
}

// restoringTable is a table that comes back from a copy just before the first commit.
type restoringTable struct {
	*faker.Platform
	restored bool
}

// Commit implements storer.Table.
func (r *restoringTable) Commit(ctx context.Context, tx storer.Transaction) ([]uint64, error) {
	if !r.restored {
		r.restored = true
		r.Restore(r.Copy())
	}
	return r.Platform.Commit(ctx, tx)
}

// TestReleaseAfterRestore guards against a key that cannot be used any more, because the store has
// lost that its call never ran.
func TestReleaseAfterRestore(t *testing.T) {
	f := newRestoredFixture(t)
	x := f.sidecar("a", nil, &unreachableService{orderService: f.o, failures: 1})
	var claimed faker.TableCopy
	x.useTable(&hookedTable{Platform: f.platform, afterCommit: func() { claimed = f.platform.Copy() }})
	_, err := x.invoke(t.Context(), invocation("500 maps", "key"))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	f.platform.Restore(claimed)
	f.pass(settleTime, x, f.b)
	f.assertAnswered(f.b)
}

// TestManyClaimsAfterRestore guards against claims that are not written again because others were
// not lost, or because the store fails while they are written.
func TestManyClaimsAfterRestore(t *testing.T) {
	f := newRestoredFixture(t)
	var backup faker.TableCopy
	for i := range 20 {
		if i == 10 {
			backup = f.platform.Copy()
		}
		_, err := f.a.invoke(t.Context(), invocation("order "+string(rune('a'+i)), "key "+string(rune('a'+i))))
		assert.NilError(t, err)
	}
	f.platform.Restore(backup)
	f.platform.LoseAnswers(3)
	f.platform.SetDown(true)
	f.pass(time.Second, f.a)
	f.platform.SetDown(false)
	f.pass(5*time.Second, f.a)
	f.pass(settleTime, f.a, f.b)
	for i := range 20 {
		order := "order " + string(rune('a'+i))
		answer, err := f.b.invoke(t.Context(), invocation(order, "key "+string(rune('a'+i))))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.GetBody()), order)
		assert.Equal(t, f.o.count(order), 1)
	}
}
