package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/estimator"
	"oleanderstall/wire"
)

// reportMemory reports the memory of a server, as its sidecar does.
func reportMemory(f *Fleet, now time.Duration, id string, used, total uint32) {
	f.UpdateStatus(now, &wire.EngineStatus{Server: id, Born: f.Get(id).server.Started, Used: used, Cache: total})
}

// TestMemoryLeft guards against a prompt that counts twice, once in the figure of the sidecar and
// once in flight, and against one that does not count between two figures.
func TestMemoryLeft(t *testing.T) {
	f, b := newEstimatedFleet()
	now := time.Hour
	left := func() int {
		tokens, known := b.MemoryLeft(now)
		assert.Assert(t, known)
		return tokens
	}
	_, known := b.MemoryLeft(now)
	assert.Assert(t, !known)
	reportMemory(f, now, "y", 1000, 10000)
	assert.Equal(t, left(), 9000)
	s := b.StartWork(now, estimator.Work{}, nil, Tokens{Prompt: 2000, Output: 300})
	assert.Equal(t, left(), 6700)
	// The figure may not have a prompt in it that was read a moment ago.
	now += 100 * time.Millisecond
	s.MarkRead(now)
	now += 100 * time.Millisecond
	b.RecordFull(now, 10)
	assert.Equal(t, left(), 6700)
	now += time.Second
	b.RecordFull(now, 31)
	assert.Equal(t, left(), 6600)
	// The answer has ended, but the latest figure still has its prompt.
	s.End(now)
	s.End(now)
	assert.Equal(t, left(), 6900)
	b.RecordFull(now, 10)
	assert.Equal(t, left(), 9000)
	// Neither an old figure nor one of an earlier process counts.
	f.UpdateServer(Server{ID: "y", Pool: "p", Address: "y", Slots: 16, Started: 2})
	_, known = b.MemoryLeft(now)
	assert.Assert(t, !known)
	reportMemory(f, now, "y", 0, 10000)
	assert.Equal(t, left(), 10000)
	now += time.Minute
	_, known = b.MemoryLeft(now)
	assert.Assert(t, !known)
}

// TestFits guards against a request that is sent where it doesn't fit, and against one that waits
// although it fits nowhere or nothing is known.
func TestFits(t *testing.T) {
	f, b := newEstimatedFleet()
	now := time.Hour
	assert.Assert(t, b.Fits(now, Tokens{Prompt: 1 << 40, Output: -5}))
	reportMemory(f, now, "y", 6000, 10000)
	assert.Assert(t, b.Fits(now, Tokens{Prompt: 3900, Output: 100}))
	assert.Assert(t, !b.Fits(now, Tokens{Prompt: 3900, Output: 101}))
	assert.Assert(t, b.Fits(now, Tokens{Prompt: 9900, Output: 101}))
}

// TestFullPercent guards against a used part that is rounded down, so that a request is sent where
// it doesn't fit.
func TestFullPercent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 1<<32-1).Draw(t, "total")
		used := rapid.IntRange(0, 1<<32-1).Draw(t, "used")
		f, b := newEstimatedFleet()
		reportMemory(f, time.Hour, "y", 0, uint32(total))
		b.RecordFull(time.Hour, FullPercent(used, total))
		if total == 0 {
			return
		}
		left, _ := b.MemoryLeft(time.Hour)
		assert.Assert(t, left >= 0 && left <= total-min(used, total)+100, "%d", left)
		assert.Assert(t, left >= total-min(used, total)-total/100-100, "%d", left)
	})
}

// TestMemoryOfManyRequests compares the memory left with what follows from a list of the requests,
// in random sequences of starts, reads, ends and figures. It guards against tokens that are never
// returned, or returned twice.
func TestMemoryOfManyRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, b := newEstimatedFleet()
		now, used := time.Hour, 0
		reportMemory(f, now, "y", 0, 100000)
		var requests []*SentWork
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			f.RefreshStatuses(now)
			i := rapid.IntRange(0, max(0, len(requests)-1)).Draw(t, "request")
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op == 0 || len(requests) == 0:
				tokens := Tokens{Prompt: rapid.IntRange(0, 7000).Draw(t, "prompt"), Output: rapid.IntRange(0, 500).Draw(t, "output")}
				requests = append(requests, b.StartWork(now, estimator.Work{PromptTokens: tokens.Prompt}, nil, tokens))
			case op == 1:
				requests[i].MarkRead(now)
			case op == 2:
				requests[i].End(now)
			case op == 3:
				used = rapid.IntRange(0, 100000).Draw(t, "used")
				reportMemory(f, now, "y", uint32(used), 100000)
			}
			expected := 100000 - used
			for _, s := range requests {
				if !s.ended {
					expected -= s.tokens.Output
					if !s.included {
						expected -= s.tokens.Prompt
					}
				}
			}
			left, known := b.MemoryLeft(now)
			assert.Assert(t, known && left == expected, "%d instead of %d", left, expected)
		}
		for _, s := range requests {
			s.End(now)
		}
		m := &b.estimates.memory
		assert.Assert(t, m.inFlightTokens == 0 && m.includedTokens == 0 && len(m.inFlight) == 0)
	})
}
