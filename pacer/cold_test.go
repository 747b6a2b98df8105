package pacer

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestColdScheduleBoundsEverySecond guards against a second in which a cold server gets more than it
// tolerates, whenever permits are asked for and at whatever instant of their lifetime they are used.
func TestColdScheduleBoundsEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 400).Draw(t, "rate")
		over := rapid.Float64Range(1.2, 2).Draw(t, "over")
		timing := NewColdTiming(over)
		now := time.Hour
		s := NewSchedule(now, Limit{Rate: rate})
		var used []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "another share") == 0 {
				s.SetLimit(now, Limit{Rate: rate * rapid.Float64Range(0.1, 1).Draw(t, "share")})
			}
			if p, ok := s.ReserveSaved(now, time.Second, timing.Saved()); ok {
				used = append(used, now+p.Wait+time.Duration(rapid.Int64Range(0, int64(timing.Lifetime())-1).Draw(t, "used after")))
			}
		}
		slices.Sort(used)
		first, most := 0, 0
		for i, at := range used {
			for at-used[first] >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		allowed := over*rate + 2
		assert.Assert(t, float64(most) <= allowed, "%d within a second, allowed %v at %v a second", most, allowed, rate)
	})
}

// TestColdTiming checks that odd settings count as the default, and that a permit is always usable
// for as long as its answer travels.
func TestColdTiming(t *testing.T) {
	for _, odd := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		assert.Equal(t, NewColdTiming(odd), NewColdTiming(1.5))
	}
	assert.Equal(t, NewColdTiming(1).Lifetime(), minColdLifetime)
	assert.Equal(t, NewColdTiming(1.5).Lifetime(), 400*time.Millisecond)
	assert.Equal(t, NewColdTiming(1.5).Saved(), 100*time.Millisecond)
	assert.Equal(t, NewColdTiming(1000).Saved(), 200*time.Millisecond)
}

// TestLower checks that a rate of 0 stands for none.
func TestLower(t *testing.T) {
	assert.Equal(t, Lower(0, 3), 3.0)
	assert.Equal(t, Lower(3, 0), 3.0)
	assert.Equal(t, Lower(2, 3), 2.0)
	assert.Equal(t, ColdRate(math.NaN()), 0.0)
	assert.Equal(t, ColdRate(-1), 0.0)
	assert.Equal(t, ColdRate(0.001), MinRate)
}
