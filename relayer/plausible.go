package relayer

import (
	"time"

	"oleanderstall/wire"
)

// Highest numbers that are taken from the message of another process.
const (
	// maxRequests is a number of requests, and maxValue the value of requests.
	maxRequests = 1_000_000
	maxValue    = 1e6
	// maxRate is a rate of requests, in requests a second.
	maxRate = 1e6
	// maxWait is how long ago the first of the waiting requests arrived.
	maxWait = 10 * time.Minute
)

// plausible reports whether a load request names a model and its numbers can be right. The
// numbers of the waiting requests of all entries can then be added up.
func plausible(r *wire.LoadRequest) bool {
	return r.GetModel() != "" && r.GetCount() <= maxRequests && within(r.GetWorth(), maxValue) && within(r.GetRate(), maxRate)
}

// within reports whether a number is between 0 and an upper limit. It is false for a value that
// is not a number.
func within(value, limit float64) bool { return value >= 0 && value <= limit }
