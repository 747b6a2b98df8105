package imitator

import (
	"sync"
	"time"
)

// What a cold server tolerates: within any second, coldOver times its rate and coldSlack requests.
const (
	coldOver  = 1.5
	coldSlack = 5
)

// coldPhase is the state of a backend server that is cold for a time after each start, and whenever
// it is told to be. The zero value is never cold. It is safe for concurrent use.
type coldPhase struct {
	mu sync.Mutex
	// time is how long the server is cold after a start, rate the requests a second that it takes
	// meanwhile, and until the end of the phase.
	time  time.Duration
	rate  float64
	until time.Time
	// countFrom is the time from which on requests count.
	countFrom time.Time
	// arrivals are the requests of the last second of a cold phase, most the largest number of
	// them, and floods how often there were too many.
	arrivals []time.Time
	most     int
	floods   int
}

// setCold sets the time for which the server is cold after a start, and its rate meanwhile.
func (c *coldPhase) setCold(d time.Duration, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.time, c.rate = d, rate
}

// TurnCold makes the server cold from now on, as after a start. Requests count only after notice,
// within which its row is read.
func (c *coldPhase) TurnCold(notice time.Duration) { c.beginCold(notice) }

// restartCold begins a cold phase after a start.
func (c *coldPhase) restartCold() { c.beginCold(0) }

// beginCold begins a cold phase, in which requests count after notice, if the server is cold after
// its starts.
func (c *coldPhase) beginCold(notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate > 0 {
		c.countFrom = time.Now().Add(notice)
		c.until, c.arrivals = c.countFrom.Add(c.time), nil
	}
}

// coldLeft returns for how long the server is still cold, and whether it ever is.
func (c *coldPhase) coldLeft() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, time.Until(c.until)), c.rate > 0
}

// countCold counts a request that has arrived at an instant.
func (c *coldPhase) countCold(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.countFrom) || !now.Before(c.until) {
		return
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > time.Second {
		c.arrivals = c.arrivals[1:]
	}
	c.most = max(c.most, len(c.arrivals))
	if float64(len(c.arrivals)) > c.rate*coldOver+coldSlack {
		c.floods++
	}
}

// ColdArrivals returns the largest number of requests that arrived within a second of a cold phase,
// and how many of them exceeded what the server tolerates.
func (c *coldPhase) ColdArrivals() (most, floods int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most, c.floods
}
