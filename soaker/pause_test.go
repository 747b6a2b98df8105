package soaker

import (
	"context"
	"time"
)

// pauseStep is the time between two steps of measurePauses. A step that takes longer by more than
// minPause counts as a pause.
const (
	pauseStep = 5 * time.Millisecond
	minPause  = 200 * time.Millisecond
)

// measurePauses adds up the time during which the machine does not run this process, until ctx
// ends.
func (s *soakRun) measurePauses(ctx context.Context) {
	for previous := s.clock(); ctx.Err() == nil; {
		time.Sleep(pauseStep)
		now := s.clock()
		if pause := now - previous; pause > minPause {
			s.paused += pause
			s.longestPause = max(s.longestPause, pause)
		}
		previous = now
	}
}
