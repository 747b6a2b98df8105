package router

import (
	"math/rand/v2"
	"testing"
	"time"

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

// TestCostWithoutExpectedTime guards against a change of the cost for pools whose times are not
// estimated: it is compared with the sum as it was before.
func TestCostWithoutExpectedTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		c := Cost{
			Load: 50 * random.Float64(), UnreadPrompts: random.IntN(4), Remote: random.IntN(2) == 0, FailureRate: random.Float64(), Saturation: 2 * random.Float64(),
			Expected: ExpectedTime{First: time.Duration(random.Int64()), Slowed: time.Second, Link: time.Second, Late: time.Second},
		}
		before := c.Load + 4.0*float64(c.UnreadPrompts) + 60.0*c.FailureRate + 2.0*c.Saturation
		if c.Remote {
			before += 1.0
		}
		assert.Equal(t, c.Value(), before)
	}
}

// TestExpectedTimeOrder checks which server of a pair has the lower cost if times are estimated.
func TestExpectedTimeOrder(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name          string
		better, worse Cost
	}{
		{"sooner", Cost{Load: 20, Expected: ExpectedTime{First: 50 * ms}}, Cost{Expected: ExpectedTime{First: 60 * ms}}},
		{"slowing others less", Cost{Expected: ExpectedTime{First: 60 * ms}}, Cost{Expected: ExpectedTime{First: 50 * ms, Slowed: 20 * ms}}},
		{"local, all else being equal", Cost{Expected: ExpectedTime{First: 50 * ms}}, Cost{Expected: ExpectedTime{First: 50 * ms, Link: 10 * ms}}},
		{"within the target", Cost{Expected: ExpectedTime{First: 390 * ms, Slowed: 30 * ms}}, Cost{Expected: ExpectedTime{First: 410 * ms, Late: 20 * ms}}},
		{"slow rather than failing", Cost{Expected: ExpectedTime{First: 250 * ms}}, Cost{FailureRate: 0.5, Expected: ExpectedTime{First: 50 * ms}}},
	} {
		c.better.Estimated, c.worse.Estimated = true, true
		assert.Assert(t, c.better.Value() < c.worse.Value(), c.name)
	}
}
