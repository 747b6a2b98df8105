package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCost orders pairs of servers, the better one first.
func TestCost(t *testing.T) {
	for _, c := range []struct {
		name          string
		better, worse Cost
	}{
		{"fewer requests", Cost{Load: 2}, Cost{Load: 3}},
		{"no prompt in the way", Cost{Load: 4}, Cost{Load: 2, Pending: 1}},
		{"near, if all else is equal", Cost{Load: 2}, Cost{Load: 2, Remote: true}},
		{"far rather than behind prompts", Cost{Load: 2, Remote: true}, Cost{Load: 2, Pending: 1}},
		{"loaded rather than failing", Cost{Load: 20}, Cost{FailureRate: 0.5}},
		{"calm rather than strained", Cost{Load: 2, Saturation: 0.2}, Cost{Load: 2, Saturation: 0.9}},
	} {
		assert.Assert(t, c.better.Value() < c.worse.Value(), c.name)
	}
}
