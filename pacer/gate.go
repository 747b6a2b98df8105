package pacer

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRate decodes the limit that an answer names, in requests a second and within MinRate and
// MaxRate. The rate of an empty text is 0: the answer names none. ParseRate returns false if the
// text is not a number from 0.
func ParseRate(text string) (rate float64, ok bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(rate, 1) || !(rate >= 0) {
		return 0, false
	}
	return min(max(rate, MinRate), MaxRate), true
}

// Gate keeps the limit of a server to which one process alone sends. The zero value knows no
// limit. It is not safe for concurrent use.
type Gate struct {
	// sent is the number of the latest request, and namedAt that of the latest one that had been
	// sent when the limit was last named.
	sent     uint64
	namedAt  uint64
	rate     float64
	schedule *Schedule
}

// Number numbers a request to the server that needs no permit.
func (g *Gate) Number() uint64 {
	g.sent++
	return g.sent
}

// Wait returns the time until the server may be sent the next request.
func (g *Gate) Wait(now time.Duration) time.Duration {
	if g.rate == 0 {
		return 0
	}
	return g.schedule.Wait(now)
}

// Admit numbers a request that is sent now. It returns false, and the time until the next one may
// be, if the server has named a limit and takes none now.
func (g *Gate) Admit(now time.Duration) (number uint64, wait time.Duration, ok bool) {
	if g.rate > 0 {
		p, given := g.schedule.Reserve(now, 0)
		if !given {
			return 0, p.Wait, false
		}
	}
	return g.Number(), 0, true
}

// Record records what the answer to a request says about the limit: its rate, or 0 if it names
// none, which counts if the request was sent after the limit was last named. It reports whether
// the limit has changed.
func (g *Gate) Record(now time.Duration, number uint64, rate float64) bool {
	before := g.rate
	switch {
	case rate > 0 && before == 0:
		g.schedule = NewSchedule(now, Limit{Rate: rate})
	case rate > 0:
		g.schedule.SetLimit(now, Limit{Rate: rate})
	case number <= g.namedAt:
		return false
	}
	if rate > 0 {
		g.namedAt = g.sent
	}
	g.rate = rate
	return rate != before
}
