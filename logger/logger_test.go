package logger

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sink takes lines, after it is let.
type sink struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.buf.String()), "\n")
}

func still() time.Duration { return 0 }

// TestNeverWaits writes ten times the queue to a reader that does not read: the
// rest is dropped, counted and told.
func TestNeverWaits(t *testing.T) {
	s := &sink{}
	s.mu.Lock()
	l := New(Options{Level: "info", Queue: 10, Rate: 1e6, Burst: 1e6}, "a", s, still)
	for i := range 100 {
		l.Log().Info().Int("i", i).Msg("line")
	}
	dropped := l.Dropped()
	assert.Assert(t, dropped >= 89 && dropped <= 90, "%d", dropped)
	s.mu.Unlock()
	assert.NilError(t, l.Close())
	count := 0
	for _, line := range s.lines() {
		assert.Assert(t, json.Valid([]byte(line)), "%s", line)
		if strings.Contains(line, `"message":"line"`) {
			count++
		}
	}
	assert.Equal(t, uint64(count), 100-dropped)
}

// TestRate drops lines above the rate, but no warning, and says how many.
func TestRate(t *testing.T) {
	s := &sink{}
	now := time.Duration(0)
	l := New(Options{Level: "info", Queue: 1000, Rate: 10, Burst: 5}, "a", s, func() time.Duration { return now })
	for range 20 {
		l.Log().Info().Msg("line")
	}
	l.Log().Warn().Msg("trouble")
	assert.Equal(t, l.Dropped(), uint64(15))
	now = 100 * time.Millisecond
	l.Log().Info().Msg("again")
	assert.Equal(t, l.Dropped(), uint64(15))
	assert.NilError(t, l.Close())
	all := strings.Join(s.lines(), "\n")
	assert.Equal(t, strings.Count(all, `"lines":15`), 1, all)
	assert.Equal(t, strings.Count(all, "trouble"), 1)
	assert.Equal(t, strings.Count(all, "again"), 1)
	assert.Equal(t, strings.Count(all, `"instance":"a"`), 8)
}
