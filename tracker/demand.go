package tracker

import (
	"math"
	"time"
)

// demandTime is the time in which a past request comes to count for a third.
const demandTime = 4 * time.Second

// ArrivalMeter measures the requests a second for each model or adapter.
type ArrivalMeter struct {
	rates map[string]rate
}

type rate struct {
	value float64
	at    time.Duration
}

// NewArrivalMeter returns a measure without requests.
func NewArrivalMeter() *ArrivalMeter { return &ArrivalMeter{rates: map[string]rate{}} }

// Add counts requests for name.
func (d *ArrivalMeter) Add(now time.Duration, name string, count float64) {
	r := d.rates[name]
	r.value = r.decayed(now) + count/demandTime.Seconds()
	r.at = now
	d.rates[name] = r
}

// Rate returns the requests a second for name of late.
func (d *ArrivalMeter) Rate(now time.Duration, name string) float64 {
	return d.rates[name].decayed(now)
}

func (r rate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-float64(max(0, now-r.at))/float64(demandTime))
}
