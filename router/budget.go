package router

// RetryLimits holds the limits of the retries of the whole fleet, for each pool.
type RetryLimits struct {
	// Ratio is the fraction of the requests to a pool that may be retried.
	Ratio float64
	// Burst is the number of retries to a pool that all entries together can save up.
	Burst float64
}

// RetryBudget limits the retries of one entry to a fraction of its requests to each pool, so
// that a failing back end does not multiply the load. It is a token bucket for each
// pool, filled by requests. It is not safe for concurrent use.
type RetryBudget struct {
	limits  RetryLimits
	entries int
	// saved is the number of retries saved up, by pool.
	saved map[string]float64
}

// NewRetryBudget returns a full budget for a fleet with one entry.
func NewRetryBudget(r RetryLimits) *RetryBudget {
	return &RetryBudget{limits: r, entries: 1, saved: map[string]float64{}}
}

// SetEntryCount sets the number of entries that the burst is divided among.
func (b *RetryBudget) SetEntryCount(entries int) { b.entries = max(1, entries) }

// initial returns the number of retries to a pool that this entry starts with, its part of
// the burst.
func (b *RetryBudget) initial() float64 { return b.limits.Burst / float64(b.entries) }

// available returns the number of retries saved up for a pool. One whole retry can be
// saved up even if this entry's part of the burst is less than one.
func (b *RetryBudget) available(pool string) float64 {
	saved, ok := b.saved[pool]
	if !ok {
		return b.initial()
	}
	return min(saved, max(1, b.initial()))
}

// CreditRequest credits the budget for one request to a pool.
func (b *RetryBudget) CreditRequest(pool string) { b.saved[pool] = b.available(pool) + b.limits.Ratio }

// HasRetry reports whether the budget allows a retry to a pool.
func (b *RetryBudget) HasRetry(pool string) bool { return b.available(pool) >= 1 }

// TakeRetry takes one retry to a pool and reports whether the budget allowed it.
func (b *RetryBudget) TakeRetry(pool string) bool {
	if !b.HasRetry(pool) {
		return false
	}
	b.saved[pool] = b.available(pool) - 1
	return true
}
