package tracker

import (
	"math"
	"time"
)

// arrivalDecay is the time constant with which past requests decay in a rate, and maxArrivals
// the most requests that may be counted at once. Beyond minMeteredNames names, those with a rate
// below minMeteredRate, in requests a second, are forgotten.
const (
	arrivalDecay    = 4 * time.Second
	maxArrivals     = 1e6
	minMeteredNames = 4096
	minMeteredRate  = 1e-6
)

// ArrivalMeter measures the requests per second for each model or adapter as an
// exponentially weighted average.
type ArrivalMeter struct {
	rates map[string]rate
	// forgetAt is the number of names at which those with the lowest rates are forgotten.
	forgetAt int
}

// rate is a number of requests per second as of updatedAt.
type rate struct {
	value     float64
	updatedAt time.Duration
}

// NewArrivalMeter returns a meter without requests.
func NewArrivalMeter() *ArrivalMeter {
	return &ArrivalMeter{rates: map[string]rate{}, forgetAt: minMeteredNames}
}

// PlausibleArrivals reports whether a number of requests can be right: it is not negative, not
// above maxArrivals, and a number.
func PlausibleArrivals(count float64) bool { return count >= 0 && count <= maxArrivals }

// Add counts requests for a model or an adapter. It ignores a count that is not plausible.
func (m *ArrivalMeter) Add(now time.Duration, name string, count float64) {
	if !PlausibleArrivals(count) {
		return
	}
	r := m.rates[name]
	r.value = r.decayed(now) + count/arrivalDecay.Seconds()
	r.updatedAt = now
	m.rates[name] = r
	if len(m.rates) > m.forgetAt {
		m.forget(now)
	}
}

// forget drops the names with a rate below minMeteredRate.
func (m *ArrivalMeter) forget(now time.Duration) {
	for name, r := range m.rates {
		if r.decayed(now) < minMeteredRate {
			delete(m.rates, name)
		}
	}
	m.forgetAt = max(minMeteredNames, 2*len(m.rates))
}

// Rate returns the recent requests per second for a model or an adapter.
func (m *ArrivalMeter) Rate(now time.Duration, name string) float64 {
	return m.rates[name].decayed(now)
}

// decayed returns the rate at a later instant, if no requests came in between.
func (r rate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-float64(max(0, now-r.updatedAt))/float64(arrivalDecay))
}
