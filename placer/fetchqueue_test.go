package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// weightStore simulates a weight store that runs capacity loads at full speed; more slow
// down in proportion.
type weightStore struct {
	capacity  float64
	nominal   time.Duration
	remaining map[string]time.Duration
}

// advance simulates the given time and returns the engines whose loads have ended.
func (s *weightStore) advance(d time.Duration) []string {
	speed := min(1, s.capacity/float64(max(1, len(s.remaining))))
	var ended []string
	for engine := range s.remaining {
		s.remaining[engine] -= time.Duration(float64(d) * speed)
		if s.remaining[engine] <= 0 {
			ended = append(ended, engine)
		}
	}
	for _, engine := range ended {
		delete(s.remaining, engine)
	}
	return ended
}

// TestFetchQueueLearnsCapacity simulates many engines that return with empty disks: 30
// models are loaded, as many at a time as the queue has capacity for. The queue must learn
// the store's capacity from above and from below: the mean wait must be close to that with
// a known capacity, and below that of loading all models at once.
func TestFetchQueueLearnsCapacity(t *testing.T) {
	const step, models = 10 * time.Millisecond, 30
	nominal := 6 * time.Second
	for _, capacity := range []float64{2, 4, 8} {
		s := &weightStore{capacity: capacity, nominal: nominal, remaining: map[string]time.Duration{}}
		q := NewFetchQueue()
		now, totalWait, started, completed := time.Hour, time.Duration(0), 0, 0
		start := now
		for completed < models {
			now += step
			for _, engine := range s.advance(step) {
				q.RecordIdle(now, engine)
				totalWait += now - start
				completed++
			}
			for engine := range s.remaining {
				q.RecordFetch(now, engine, engine, nominal)
			}
			if spare, _ := q.SpareCapacity(now); spare > 0 && started < models {
				engine := fmt.Sprint(started)
				s.remaining[engine] = nominal
				q.RecordFetch(now, engine, engine, nominal)
				started++
			}
		}
		meanWait := totalWait / models
		knownCapacityWait := nominal.Seconds() * (models/capacity + 1) / 2
		assert.Assert(t, meanWait.Seconds() < 1.35*knownCapacityWait, "%v at once: mean %v, %.1f s if known", capacity, meanWait, knownCapacityWait)
		allAtOnceWait := nominal.Seconds() * models / capacity
		assert.Assert(t, meanWait.Seconds() < allAtOnceWait, "%v at once: mean %v, all at once %.1f s", capacity, meanWait, allAtOnceWait)
	}
}

// TestFetchQueueReportTimeout guards against a lost engine that takes up capacity for
// good: its load is removed when no report arrives for it.
func TestFetchQueueReportTimeout(t *testing.T) {
	q := NewFetchQueue()
	for i := range 4 {
		q.RecordFetch(time.Hour, fmt.Sprint(i), "m", 6*time.Second)
	}
	spare, _ := q.SpareCapacity(time.Hour)
	assert.Equal(t, spare, 0)
	now := time.Hour + reportTimeout + time.Millisecond
	spare, availableSince := q.SpareCapacity(now)
	assert.Equal(t, spare, 4)
	assert.Equal(t, availableSince, now)
}

// TestFetchQueueWaitTime checks the expected wait of a load that has not started.
func TestFetchQueueWaitTime(t *testing.T) {
	const nominal = 6 * time.Second
	q := NewFetchQueue()
	now := time.Hour
	assert.Equal(t, q.WaitTime(now, nominal, 0), nominal)
	for i := range 4 {
		q.RecordFetch(now, fmt.Sprint(i), "m", nominal)
	}
	now += 2 * time.Second
	assert.Equal(t, q.WaitTime(now, nominal, 0), 4*time.Second+nominal)
	assert.Equal(t, q.WaitTime(now, nominal, 4), 4*time.Second+2*nominal)
}

// TestFetchQueueLearnsEarly guards against loads that are added for the whole time that the first
// ones take although those are already late. It starts with few loads and still learns that the
// weight store allows more.
func TestFetchQueueLearnsEarly(t *testing.T) {
	const nominal = 8 * time.Second
	q := NewFetchQueue()
	q.LearnEarly()
	now := time.Hour
	spare, _ := q.SpareCapacity(now)
	assert.Equal(t, spare, 2)
	for i := range 4 {
		q.RecordFetch(now, fmt.Sprint(i), "m", nominal)
	}
	q.capacity = 4
	for range 120 {
		now += 100 * time.Millisecond
		for i := range 4 {
			q.RecordFetch(now, fmt.Sprint(i), "m", nominal)
		}
	}
	spare, _ = q.SpareCapacity(now)
	assert.Assert(t, spare <= -1, "%d further loads while four are late", spare)

	q = NewFetchQueue()
	q.LearnEarly()
	for _, engine := range []string{"a", "b"} {
		q.RecordFetch(now, engine, "m", nominal)
	}
	for range 80 {
		now += 100 * time.Millisecond
		for _, engine := range []string{"a", "b"} {
			q.RecordFetch(now, engine, "m", nominal)
		}
	}
	q.RecordIdle(now, "a")
	spare, _ = q.SpareCapacity(now)
	assert.Assert(t, spare >= 1, "%d", spare)
}
