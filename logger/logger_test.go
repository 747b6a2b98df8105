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

// blockableSink collects lines. Writes block while a test holds its lock.
type blockableSink struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (s *blockableSink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// lines returns the lines written so far.
func (s *blockableSink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.buf.String()), "\n")
}

// frozenClock is a clock that doesn't advance.
func frozenClock() time.Duration { return 0 }

// TestBlockedReaderDropsLines writes ten times as many lines as the queue holds
// while the reader is blocked. Logging must not block, and the lines that are
// neither queued nor being written must be dropped and counted.
func TestBlockedReaderDropsLines(t *testing.T) {
	s := &blockableSink{}
	s.mu.Lock()
	l := New(Options{Level: "info", Queue: 10, Rate: 1e6, Burst: 1e6}, "a", s, frozenClock)
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

// TestRateLimitDropsLines checks that lines beyond the rate limit are dropped and
// their number is logged, and that warnings are never dropped by it.
func TestRateLimitDropsLines(t *testing.T) {
	s := &blockableSink{}
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
