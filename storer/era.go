package storer

import (
	"strconv"
	"strings"
	"sync/atomic"
)

// Eras records the latest era of a store of which a process has heard. The zero value knows none. It
// is safe for concurrent use.
type Eras struct {
	latest atomic.Uint64
	// OnLater, if set before the first use, is called with each era that is later than all before.
	OnLater func(era uint64)
}

// Latest returns the latest era that is known, or 0 if the store names none.
func (e *Eras) Latest() uint64 { return e.latest.Load() }

// Record records an era of which this or another process has heard.
func (e *Eras) Record(era uint64) {
	for known := e.latest.Load(); era > known && era <= MaxEra; known = e.latest.Load() {
		if e.latest.CompareAndSwap(known, era) && e.OnLater != nil {
			e.OnLater(era)
		}
	}
}

// Parse records the era that an answer names and returns it. A text that cannot be read counts as the
// latest era that is known.
func (e *Eras) Parse(text string) uint64 {
	era, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil || era > MaxEra {
		return e.Latest()
	}
	e.Record(era)
	return era
}
