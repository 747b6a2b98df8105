package evacuator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// laterEra returns a version of the second era of the store.
func laterEra(number uint64) uint64 { return 2<<40 | number }

// TestOlderSetIsIgnored guards against a process that takes an older set for a newer one, whatever the
// order in which sets arrive.
func TestOlderSetIsIgnored(t *testing.T) {
	sets := [][]string{{}, {"a"}, {"a", "b"}, {"b"}, {}, {"c"}}
	for range 50 {
		e := New()
		for _, i := range rand.Perm(len(sets)) {
			e.Update(0, uint64(i+1), sets[i])
		}
		assert.DeepEqual(t, e.Centres(), sets[len(sets)-1])
		assert.Assert(t, e.Evacuated("c") && !e.Evacuated("a"))
		assert.Equal(t, e.Message().GetVersion(), uint64(len(sets)))
	}
}

// TestUpdateReportsChanges guards against changes that are not passed on, and against sets without a
// change that are.
func TestUpdateReportsChanges(t *testing.T) {
	e := New()
	assert.Assert(t, e.Message() == nil)
	assert.Assert(t, !e.Update(0, 1, nil))
	assert.Assert(t, e.Update(0, 2, []string{"b", "a", "b"}))
	assert.DeepEqual(t, e.Centres(), []string{"a", "b"})
	assert.Assert(t, !e.Update(0, 3, []string{"a", "b"}))
	assert.Assert(t, !e.Update(0, 2, nil))
	assert.Assert(t, e.Update(0, 4, []string{"a"}))
}

// TestLostRowIsHeld guards against a data centre that gets requests because the store has come back
// without its row, before the operator can write it again, and against one that never gets any again.
func TestLostRowIsHeld(t *testing.T) {
	e := New()
	e.Update(0, 1<<40|9, []string{"a", "b"})
	assert.Assert(t, !e.Update(time.Second, laterEra(3), []string{"b"}))
	assert.DeepEqual(t, e.Centres(), []string{"a", "b"})
	assert.Assert(t, !e.Tick(lostRowHold))
	assert.Assert(t, e.Tick(time.Second+lostRowHold))
	assert.DeepEqual(t, e.Centres(), []string{"b"})
}

// TestRowWrittenAgain guards against the end of an evacuation whose row the operator has written again
// after the store had lost it, and against one that goes on after the row was removed.
func TestRowWrittenAgain(t *testing.T) {
	e := New()
	e.Update(0, 1<<40|9, []string{"a"})
	e.Update(time.Second, laterEra(3), nil)
	e.Update(2*time.Second, laterEra(4), []string{"a"})
	assert.Assert(t, !e.Tick(time.Hour))
	assert.Assert(t, e.Evacuated("a"))
	assert.Assert(t, e.Update(time.Hour, laterEra(5), nil))
	assert.Assert(t, !e.Evacuated("a"))
}

// TestOddNames guards against names that cannot be right, and against sets without a bound.
func TestOddNames(t *testing.T) {
	e := New()
	e.Update(0, 1, []string{"", "a\n", strings.Repeat("x", 201), "ok"})
	assert.DeepEqual(t, e.Centres(), []string{"ok"})
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprint(i))
	}
	e.Update(0, 2, many)
	assert.Equal(t, len(e.Centres()), maxCentres)
}
