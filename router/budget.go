package router

// Retries are the limits of the retries of a fleet.
type Retries struct {
	// Ratio is the part of the requests to a pool that may be retried.
	Ratio float64
	// Most is the number of retries to a pool that all entries together save up.
	Most float64
}

// Budget bounds the retries of one entry to a part of the requests to each pool, so
// that a failing back end does not multiply the load.
type Budget struct {
	retries Retries
	entries int
	saved   map[string]float64
}

// NewBudget returns a full budget of the only entry.
func NewBudget(r Retries) *Budget {
	return &Budget{retries: r, entries: 1, saved: map[string]float64{}}
}

// Share makes this entry's part that of one among several.
func (b *Budget) Share(entries int) { b.entries = max(1, entries) }

// start is the number of retries to a pool that this entry begins with.
func (b *Budget) start() float64 { return b.retries.Most / float64(b.entries) }

// left is the number of retries saved up for a pool. A whole retry may be saved up
// even if this entry's part is less than one.
func (b *Budget) left(pool string) float64 {
	saved, ok := b.saved[pool]
	if !ok {
		return b.start()
	}
	return min(saved, max(1, b.start()))
}

// Request earns the part of a retry that one request brings.
func (b *Budget) Request(pool string) { b.saved[pool] = b.left(pool) + b.retries.Ratio }

// Left reports whether the budget has a retry left.
func (b *Budget) Left(pool string) bool { return b.left(pool) >= 1 }

// Retry spends one retry and reports whether the budget had it.
func (b *Budget) Retry(pool string) bool {
	if !b.Left(pool) {
		return false
	}
	b.saved[pool] = b.left(pool) - 1
	return true
}
