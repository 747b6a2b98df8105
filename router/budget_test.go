package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBudgetOfMany lets many entries of which each has a failing pool retry all they
// can: a pool gets no more retries than the fleet's ratio and slack allow, and those
// of one pool are not spent on another.
func TestBudgetOfMany(t *testing.T) {
	limits := Retries{Ratio: 0.1, Most: 46}
	for _, entries := range []int{1, 4, 26, 46} {
		const requests = 200
		made := 0
		for range entries {
			b := NewBudget(limits)
			b.Share(entries)
			for range requests {
				b.Request("drafts")
				b.Request("orders")
				for b.Retry("orders") {
					made++
				}
			}
			assert.Assert(t, b.Left("drafts"))
		}
		most := limits.Ratio*float64(requests*entries) + limits.Most
		assert.Assert(t, float64(made) <= most+1e-6, "%d entries made %d retries, %.0f allowed", entries, made, most)
	}
}

// TestBudgetShares makes the part of an entry smaller once it knows of others.
func TestBudgetShares(t *testing.T) {
	b := NewBudget(Retries{Ratio: 0.1, Most: 10})
	b.Request("drafts")
	b.Share(10)
	assert.Assert(t, b.Retry("drafts"))
	assert.Assert(t, !b.Retry("drafts"))
}
