package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// store is a weight store with that many loads at full speed.
type store struct {
	most  float64
	usual time.Duration
	left  map[string]time.Duration
}

// step lets time pass and returns the loads that have ended.
func (s *store) step(d time.Duration) []string {
	speed := min(1, s.most/float64(max(1, len(s.left))))
	var ended []string
	for engine := range s.left {
		s.left[engine] -= time.Duration(float64(d) * speed)
		if s.left[engine] <= 0 {
			ended = append(ended, engine)
		}
	}
	for _, engine := range ended {
		delete(s.left, engine)
	}
	return ended
}

// TestLineLearns is the load after many engines came back with empty disks: 30
// models are to be fetched, as many at a time as the line has room for. It learns
// the number of loads at full speed, from above and from below, and the mean wait is
// near that of a line that knows it, and below that of fetching all at once.
func TestLineLearns(t *testing.T) {
	const step, models = 10 * time.Millisecond, 30
	usual := 6 * time.Second
	for _, most := range []float64{2, 4, 8} {
		s := &store{most: most, usual: usual, left: map[string]time.Duration{}}
		l := NewFetchQueue()
		now, sum, next, done := time.Hour, time.Duration(0), 0, 0
		begun := now
		for done < models {
			now += step
			for _, engine := range s.step(step) {
				l.Ends(now, engine)
				sum += now - begun
				done++
			}
			for engine := range s.left {
				l.Fetches(now, engine, engine, usual)
			}
			if room, _ := l.Room(now); room > 0 && next < models {
				engine := fmt.Sprint(next)
				s.left[engine] = usual
				l.Fetches(now, engine, engine, usual)
				next++
			}
		}
		mean := sum / models
		known := usual.Seconds() * (models/most + 1) / 2
		assert.Assert(t, mean.Seconds() < 1.35*known, "%v at once: mean %v, %.1f s if known", most, mean, known)
		together := usual.Seconds() * models / most
		assert.Assert(t, mean.Seconds() < together, "%v at once: mean %v, all at once %.1f s", most, mean, together)
	}
}

// TestLineForgets drops a load of which nothing is heard, so that an engine that was
// lost takes no room for good.
func TestLineForgets(t *testing.T) {
	l := NewFetchQueue()
	for i := range 4 {
		l.Fetches(time.Hour, fmt.Sprint(i), "m", 6*time.Second)
	}
	room, _ := l.Room(time.Hour)
	assert.Equal(t, room, 0)
	now := time.Hour + unheardLife + time.Millisecond
	room, opened := l.Room(now)
	assert.Equal(t, room, 4)
	assert.Equal(t, opened, now)
}

// TestLineWait tells how long a load takes that is not begun yet.
func TestLineWait(t *testing.T) {
	const usual = 6 * time.Second
	l := NewFetchQueue()
	now := time.Hour
	assert.Equal(t, l.Wait(now, usual, 0), usual)
	for i := range 4 {
		l.Fetches(now, fmt.Sprint(i), "m", usual)
	}
	now += 2 * time.Second
	assert.Equal(t, l.Wait(now, usual, 0), 4*time.Second+usual)
	assert.Equal(t, l.Wait(now, usual, 4), 4*time.Second+2*usual)
}
