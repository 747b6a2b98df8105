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

// TestSpread sends many requests that stay in flight. No replica gets far more or far fewer
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

func TestTriedTargetsSkipped(t *testing.T) {
	r, list := New(1), targets(3)
	list[0].Excluded, list[2].Excluded = true, true
	for range 20 {
		assert.Equal(t, r.Pick(0, list, 0), 1)
	}
	list[1].Excluded = true
	assert.Equal(t, r.Pick(0, list, 0), -1)
	assert.Equal(t, r.Pick(0, list, 7), -1)
	assert.Equal(t, r.Pick(0, nil, 7), -1)
}

// TestAffinity checks that requests with one prefix go to the same replica until that one
// is overloaded.
func TestAffinity(t *testing.T) {
	r, list := New(1), targets(4)
	owner := r.Pick(0, list, 99)
	for range 20 {
		assert.Equal(t, r.Pick(0, list, 99), owner)
	}
	list[owner].Inflight = 50
	assert.Assert(t, r.Pick(0, list, 99) != owner)
}

// TestOldReportsLoseWeight compares a replica that reported a long queue with one that has
// requests in flight. The report loses its weight with age.
func TestOldReportsLoseWeight(t *testing.T) {
	r, list := New(1), targets(2)
	list[0].QueueLength = 100
	list[1].Inflight = 5
	assert.Equal(t, r.Pick(time.Second, list, 0), 1)
	assert.Equal(t, r.Pick(reportLifetime, list, 0), 0)
}

func TestNoAllocation(t *testing.T) {
	r, list := New(1), targets(20)
	allocs := testing.AllocsPerRun(1000, func() { r.Pick(time.Second, list, 5) })
	assert.Equal(t, allocs, 0.0)
}

// TestSubset divides names among callers. Every name is covered, and all names have the
// same number of callers. A list that is too short to divide is returned whole.
func TestSubset(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	callers := map[string]int{}
	for index := range 40 {
		subset := Subset(names, index, 24)
		assert.Assert(t, len(subset) >= 24 && len(subset) < 48, "%d", len(subset))
		for _, name := range subset {
			callers[name]++
		}
	}
	assert.Equal(t, len(callers), 100)
	for name, n := range callers {
		assert.Equal(t, n, 10, name)
	}
	assert.Equal(t, len(Subset(names[:47], 3, 24)), 47)
}
