package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrain is what a stopping entry does by the time that has passed, its requests and
// the other entries.
func TestDrain(t *testing.T) {
	const begun = time.Hour
	d := drain{begun: begun, notice: 2800 * time.Millisecond, grace: 8 * time.Second}
	for _, c := range []struct {
		name   string
		passed time.Duration
		busy   bool
		quiet  time.Duration
		others int64
		want   step
	}{
		{"at once", 0, true, 0, 3, serving},
		{"not in use", 0, false, time.Minute, 3, closing},
		{"between two requests", time.Second, false, 100 * time.Millisecond, 3, serving},
		{"the platform has noticed", 2800 * time.Millisecond, true, 0, 1, closing},
		{"nobody else", 2800 * time.Millisecond, true, 0, 0, simple},
		{"nobody else for long", 4700 * time.Millisecond, true, 0, 0, simple},
		{"nobody else, between two requests", time.Second, false, time.Second, 0, serving},
		{"nobody else, between two rare requests", 3 * time.Second, false, 2 * time.Second, 0, simple},
		{"nobody else, and not in use", 0, false, time.Minute, 0, closing},
		{"too late for answers", 4900 * time.Millisecond, true, 0, 0, refusing},
		{"too late, and another is ready", 4900 * time.Millisecond, true, 0, 1, closing},
		{"too late, and nothing under way", 4900 * time.Millisecond, false, time.Second, 0, closing},
		{"the end", 7200 * time.Millisecond, true, 0, 0, closing},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, d.next(begun+c.passed, c.busy, c.quiet, c.others), c.want)
		})
	}
}
