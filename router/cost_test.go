package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCostOrder checks which server of a pair has the lower cost.
func TestCostOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		better, worse Cost
	}{
		{"fewer requests", Cost{Load: 2}, Cost{Load: 3}},
		{"no unread prompt", Cost{Load: 4}, Cost{Load: 2, UnreadPrompts: 1}},
		{"local, all else being equal", Cost{Load: 2}, Cost{Load: 2, Remote: true}},
		{"remote rather than behind an unread prompt", Cost{Load: 2, Remote: true}, Cost{Load: 2, UnreadPrompts: 1}},
		{"loaded rather than failing", Cost{Load: 20}, Cost{FailureRate: 0.5}},
		{"low saturation rather than high", Cost{Load: 2, Saturation: 0.2}, Cost{Load: 2, Saturation: 0.9}},
	} {
		assert.Assert(t, c.better.Value() < c.worse.Value(), c.name)
	}
}
