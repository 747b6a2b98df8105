package placer

import (
	"time"

	"oleanderstall/wire"
)

// Highest numbers that are taken from the message of another process.
const (
	// MaxRequests is a number of requests, and maxValue the value of requests.
	MaxRequests = 1_000_000
	maxValue    = 1e6
	// maxRate is a rate of requests, in requests a second.
	maxRate = 1e6
	// MaxWait is how long ago the first of the waiting requests arrived.
	MaxWait = 10 * time.Minute
)

// Plausible reports whether a load request names a model and its numbers can be right. The
// numbers of the waiting requests of all entries can then be added up.
func Plausible(r *wire.LoadRequest) bool {
	return r.GetModel() != "" && r.GetCount() <= MaxRequests && within(r.GetWorth(), maxValue) && PlausibleRate(r.GetRate())
}

// PlausibleRate reports whether a rate, in requests a second, can be right.
func PlausibleRate(rate float64) bool { return within(rate, maxRate) }

// within reports whether a number is between 0 and an upper limit. It is false for a value that
// is not a number.
func within(value, limit float64) bool { return value >= 0 && value <= limit }
