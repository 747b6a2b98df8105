package timer

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFromMillisBounded guards against sums of durations that other processes state, such as
// the loads that an engine has pending, that overflow and come out negative.
func TestFromMillisBounded(t *testing.T) {
	sum := time.Duration(0)
	for range 10_000 {
		sum += FromMillis(math.MaxUint32)
		assert.Assert(t, sum > 0)
	}
	assert.Equal(t, FromMillis(1500), 1500*time.Millisecond)
}

// TestToSignedMillis checks that a duration out of the range of the message keeps its sign.
func TestToSignedMillis(t *testing.T) {
	for _, c := range []struct {
		duration time.Duration
		want     int32
	}{
		{0, 0},
		{1500 * time.Millisecond, 1500},
		{-1500 * time.Millisecond, -1500},
		{math.MaxInt32 * time.Millisecond, math.MaxInt32},
		{(math.MaxInt32 + 1) * time.Millisecond, math.MaxInt32},
		{(math.MinInt32 - 1) * time.Millisecond, math.MinInt32},
		{math.MaxInt64, math.MaxInt32},
		{math.MinInt64, math.MinInt32},
	} {
		assert.Equal(t, ToSignedMillis(c.duration), c.want, "%v", c.duration)
	}
}

// TestFromSeconds checks that a number out of range becomes the longest duration with its sign,
// the same on all machines, to which an instant can be added.
func TestFromSeconds(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0, 0},
		{1.5, 1500 * time.Millisecond},
		{-1.5, -1500 * time.Millisecond},
		{1e300, maxDuration},
		{-1e300, -maxDuration},
		{math.Inf(1), maxDuration},
		{math.Inf(-1), -maxDuration},
		{math.NaN(), maxDuration},
	} {
		assert.Equal(t, FromSeconds(c.seconds), c.want, "%v", c.seconds)
	}
	assert.Assert(t, maxDuration+maxDuration > 0)
}
