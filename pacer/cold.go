package pacer

import (
	"math"
	"time"
)

// defaultColdOver is the share of the rate of a cold server that may arrive there within a second
// if the settings name none.
const defaultColdOver = 1.5

// minColdLifetime is the shortest time for which a permit for a cold server may be used: that of
// its answer from a remote data centre.
const minColdLifetime = 100 * time.Millisecond

// ColdTiming is how the permits for a cold server may be used. A cold server crashes if too many
// requests arrive within a second. Permits that were saved up and those that are used late arrive
// together with others, so that both times together take no more than the tolerated excess of the
// rate. The absolute slack that a cold server tolerates besides is left for messages that arrive late.
type ColdTiming struct {
	// saved is the time for which unused permits are saved up, and lifetime how long after its
	// first instant a permit may be used.
	saved, lifetime time.Duration
}

// NewColdTiming returns the timing for servers to which over times their rate may be sent within
// any second, or the default if over is not above 0.
func NewColdTiming(over float64) ColdTiming {
	if !(over > 0) || math.IsInf(over, 1) {
		over = defaultColdOver
	}
	excess := min(max(0, over-1), 1)
	saved := time.Duration(excess / 5 * float64(time.Second))
	return ColdTiming{saved: saved, lifetime: max(minColdLifetime, 4*saved)}
}

// Lifetime returns how long after its first instant a permit may be used.
func (t ColdTiming) Lifetime() time.Duration { return t.lifetime }

// Saved returns the time for which unused permits are saved up.
func (t ColdTiming) Saved() time.Duration { return t.saved }

// Lower returns the lower of two rates, of which 0 stands for none.
func Lower(a, b float64) float64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}

// ColdRate returns the rate of a cold server of a pool with a configured rate, within MinRate and
// MaxRate, or 0 if there is none.
func ColdRate(configured float64) float64 {
	if !(configured > 0) {
		return 0
	}
	return min(max(configured, MinRate), MaxRate)
}
