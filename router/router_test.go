package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func targets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i].Name = fmt.Sprintf("e%d", i)
	}
	return list
}

// TestSpread sends many requests that stay in flight. No replica gets far more
// than the mean.
func TestSpread(t *testing.T) {
	r, list := New(1), targets(10)
	for range 1000 {
		list[r.Pick(0, list, 0)].Inflight++
	}
	for _, x := range list {
		assert.Assert(t, x.Inflight >= 95 && x.Inflight <= 105, "%s has %d", x.Name, x.Inflight)
	}
}

func TestTried(t *testing.T) {
	r, list := New(1), targets(3)
	list[0].Tried, list[2].Tried = true, true
	for range 20 {
		assert.Equal(t, r.Pick(0, list, 0), 1)
	}
	list[1].Tried = true
	assert.Equal(t, r.Pick(0, list, 0), -1)
	assert.Equal(t, r.Pick(0, list, 7), -1)
	assert.Equal(t, r.Pick(0, nil, 7), -1)
}

// TestAffinity keeps a prefix at its replica until that one is overloaded.
func TestAffinity(t *testing.T) {
	r, list := New(1), targets(4)
	home := r.Pick(0, list, 99)
	for range 20 {
		assert.Equal(t, r.Pick(0, list, 99), home)
	}
	list[home].Inflight = 50
	assert.Assert(t, r.Pick(0, list, 99) != home)
}

// TestOldReportsFade compares a replica with an old report of a long queue with
// one in use.
func TestOldReportsFade(t *testing.T) {
	r, list := New(1), targets(2)
	list[0].Queue = 100
	list[1].Inflight = 5
	assert.Equal(t, r.Pick(time.Second, list, 0), 1)
	assert.Equal(t, r.Pick(reportLife, list, 0), 0)
}

func TestNoAllocation(t *testing.T) {
	r, list := New(1), targets(20)
	n := testing.AllocsPerRun(1000, func() { r.Pick(time.Second, list, 5) })
	assert.Equal(t, n, 0.0)
}

// TestSubset divides names between callers: all names are covered, and none has
// more callers than another by more than one round.
func TestSubset(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	callers := map[string]int{}
	for index := range 40 {
		mine := Subset(names, index, 24)
		assert.Assert(t, len(mine) >= 24 && len(mine) < 48, "%d", len(mine))
		for _, name := range mine {
			callers[name]++
		}
	}
	assert.Equal(t, len(callers), 100)
	for name, n := range callers {
		assert.Equal(t, n, 10, name)
	}
	assert.Equal(t, len(Subset(names[:47], 3, 24)), 47)
}
