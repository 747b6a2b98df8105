package tracker

import "time"

// MaxColdTime bounds the cold phase that a server may state, in case its row is wrong.
const MaxColdTime = 10 * time.Minute

// SetColdUntil sets the end of the cold phase of the server's process, 0 for none. A cold server is slow
// and crashes if it is sent more than the cold rate of its pool. After MarkCrashed the rows of the
// crashed process can only prolong the phase: it may run after all and turn cold again.
func (b *Backend) SetColdUntil(until time.Duration) {
	if b.crashed {
		until = max(until, b.coldUntil)
	}
	b.coldUntil = until
}

// MarkCrashed records that the listed process of the server has crashed. What answers at its address
// counts as cold until the given instant or until the server is listed with another start.
func (b *Backend) MarkCrashed(until time.Duration) {
	b.coldUntil, b.crashed = max(b.coldUntil, until), true
}

// ColdUntil returns the end of the cold phase, or 0 if none is known.
func (b *Backend) ColdUntil() time.Duration { return b.coldUntil }

// ColdLeft returns for how long the server is still cold, or 0.
func (b *Backend) ColdLeft(now time.Duration) time.Duration { return max(0, b.coldUntil-now) }

// CountCold returns the number of servers that are cold.
func (f *Fleet) CountCold(now time.Duration) int {
	n := 0
	for _, b := range f.backends {
		if b.ColdLeft(now) > 0 {
			n++
		}
	}
	return n
}
