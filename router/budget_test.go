package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFleetRetryBudget lets each of several entries retry as often as its budget allows.
// All of them together make no more retries to the failing pool than the fleet's ratio
// and burst allow, and retries to one pool do not use up those of another.
func TestFleetRetryBudget(t *testing.T) {
	limits := RetryLimits{Ratio: 0.1, Burst: 46}
	for _, entries := range []int{1, 4, 26, 46} {
		const requests = 200
		retried := 0
		for range entries {
			b := NewRetryBudget(limits)
			b.SetEntryCount(entries)
			for range requests {
				b.CreditRequest("drafts")
				b.CreditRequest("orders")
				for b.TakeRetry("orders") {
					retried++
				}
			}
			assert.Assert(t, b.HasRetry("drafts"))
		}
		allowed := limits.Ratio*float64(requests*entries) + limits.Burst
		assert.Assert(t, float64(retried) <= allowed+1e-6, "%d entries made %d retries, %.0f allowed", entries, retried, allowed)
	}
}

// TestBudgetSplitAmongEntries checks that an entry's part of the burst shrinks once it knows
// of other entries.
func TestBudgetSplitAmongEntries(t *testing.T) {
	b := NewRetryBudget(RetryLimits{Ratio: 0.1, Burst: 10})
	b.CreditRequest("drafts")
	b.SetEntryCount(10)
	assert.Assert(t, b.TakeRetry("drafts"))
	assert.Assert(t, !b.TakeRetry("drafts"))
}
