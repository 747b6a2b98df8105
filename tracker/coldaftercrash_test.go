package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestColdAfterCrash guards against a server that gets requests without a limit while it is cold: it
// was taken for crashed once, and what its rows said later had no effect, or the crash ended a cold
// phase that its row had stated.
func TestColdAfterCrash(t *testing.T) {
	const now = time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Started: 1})
	b := f.Get("a")
	b.SetColdUntil(now + time.Minute)
	b.MarkCrashed(now + 10*time.Second)
	assert.Equal(t, b.ColdLeft(now), time.Minute, "a crash ends no cold phase")
	b.SetColdUntil(0)
	assert.Equal(t, b.ColdLeft(now), time.Minute, "a row of the crashed process ends nothing")
	later := now + 5*time.Minute
	b.SetColdUntil(later + 3*time.Second)
	assert.Equal(t, b.ColdLeft(later), 3*time.Second, "the process turned cold again")
	f.UpdateServer(Server{ID: "a", Started: 2})
	assert.Equal(t, b.ColdLeft(later), time.Duration(0), "another process is listed")
}
