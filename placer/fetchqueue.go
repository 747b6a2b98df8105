package placer

import "time"

// Limits of the estimate of the weight store's capacity.
const (
	// initialCapacity is the number of concurrent loads at full speed assumed at first.
	initialCapacity = 4.0
	// cautiousCapacity replaces initialCapacity in a queue that learns early. Too high a capacity
	// delays all loads, too low a one only those that wait, until the first has ended.
	cautiousCapacity = 2.0
	// minCapacity is the lowest capacity assumed.
	minCapacity = 1.0
	// fullSpeedRatio is the longest duration of a load that counts as full speed,
	// relative to its nominal duration. The inverse is the shortest one.
	fullSpeedRatio = 1.15
	// slowdownWeight is the weight of a slowed-down load in the average of the capacity.
	slowdownWeight = 0.3
	// capacityStep is added to the capacity after a load at full speed whose concurrency
	// was at least minCapacityUse times the capacity.
	capacityStep   = 1.0
	minCapacityUse = 0.75
	// reportTimeout is the time without a report after which a load is removed.
	reportTimeout = 2500 * time.Millisecond
	// minTimeLeft is the least remaining time assumed for a load.
	minTimeLeft = 100 * time.Millisecond
)

// FetchQueue tracks the loads from the weight store by all engines. Above some number of
// concurrent loads, each slows down in proportion; the queue learns that number as its
// capacity. It is not safe for concurrent use.
type FetchQueue struct {
	capacity  float64
	fetches   map[string]*fetch
	updatedAt time.Duration
	// availableSince is the instant since which there is capacity for another load.
	availableSince time.Duration
	// early is set if the capacity is learned from loads that have not ended.
	early bool
}

// fetch is a load from the weight store, with its duration at full speed.
type fetch struct {
	model      string
	nominal    time.Duration
	startedAt  time.Duration
	reportedAt time.Duration
	// concurrencySum is the number of concurrent loads integrated over time, in seconds.
	concurrencySum float64
}

// NewFetchQueue returns a queue without loads.
func NewFetchQueue() *FetchQueue {
	return &FetchQueue{capacity: initialCapacity, fetches: map[string]*fetch{}}
}

// LearnEarly makes the queue start with a lower capacity, unless it has learned one, and learn also
// from loads that have not ended.
func (q *FetchQueue) LearnEarly() {
	if !q.early && q.capacity == initialCapacity {
		q.capacity = cautiousCapacity
	}
	q.early = true
}

// RecordFetch records a report that an engine loads a model from the weight store, which
// takes nominal at full speed.
func (q *FetchQueue) RecordFetch(now time.Duration, engine, model string, nominal time.Duration) {
	q.advance(now)
	f := q.fetches[engine]
	if f == nil || f.model != model {
		f = &fetch{model: model, nominal: nominal, startedAt: now}
		q.fetches[engine] = f
	}
	f.reportedAt = now
}

// RecordIdle records a report that an engine loads nothing from the weight store. If it was
// loading until then, that load has completed, and the capacity is updated from it.
func (q *FetchQueue) RecordIdle(now time.Duration, engine string) {
	q.advance(now)
	f := q.fetches[engine]
	if f == nil {
		return
	}
	q.updateCapacity(f, now-f.startedAt)
	q.remove(now, engine)
}

// RemoveEngine removes the load of an engine without updating the capacity.
func (q *FetchQueue) RemoveEngine(now time.Duration, engine string) {
	q.advance(now)
	if q.fetches[engine] != nil {
		q.remove(now, engine)
	}
}

// remove removes the load of an engine, and sets availableSince if that makes capacity
// available.
func (q *FetchQueue) remove(now time.Duration, engine string) {
	wasFull := q.spareCapacity() <= 0
	delete(q.fetches, engine)
	if wasFull && q.spareCapacity() > 0 {
		q.availableSince = now
	}
}

// updateCapacity updates the capacity from a completed load: a slowed-down load moves it
// towards the concurrency that would have run at full speed, a load at full speed near the
// capacity raises it by capacityStep.
func (q *FetchQueue) updateCapacity(f *fetch, duration time.Duration) {
	if duration <= 0 || f.nominal <= 0 {
		return
	}
	concurrency, slowdown := f.concurrencySum/duration.Seconds(), float64(duration)/float64(f.nominal)
	switch {
	case slowdown > fullSpeedRatio && concurrency > 1:
		q.capacity = max(minCapacity, q.capacity+slowdownWeight*(min(q.capacity, concurrency/slowdown)-q.capacity))
	case slowdown > 1/fullSpeedRatio && slowdown <= fullSpeedRatio && concurrency >= minCapacityUse*q.capacity:
		q.capacity += capacityStep
	}
}

// advance updates the concurrency sums to now and removes loads without recent reports.
func (q *FetchQueue) advance(now time.Duration) {
	elapsed := max(0, now-q.updatedAt).Seconds()
	for _, f := range q.fetches {
		f.concurrencySum += elapsed * float64(len(q.fetches))
	}
	q.updatedAt = now
	if q.early {
		q.limitCapacity(now)
	}
	for engine, f := range q.fetches {
		if now-f.reportedAt > reportTimeout {
			q.remove(now, engine)
		}
	}
}

// limitCapacity lowers the capacity to what the loads that take longer than at full speed have
// had so far, so that no others are added while they run.
func (q *FetchQueue) limitCapacity(now time.Duration) {
	for _, f := range q.fetches {
		elapsed := now - f.startedAt
		if f.nominal <= 0 || float64(elapsed) <= fullSpeedRatio*float64(f.nominal) {
			continue
		}
		slowdown, concurrency := float64(elapsed)/float64(f.nominal), f.concurrencySum/elapsed.Seconds()
		if concurrency > 1 {
			q.capacity = max(minCapacity, min(q.capacity, concurrency/slowdown))
		}
	}
}

// spareCapacity returns the number of further loads that would run at full speed.
func (q *FetchQueue) spareCapacity() int { return q.Capacity() - len(q.fetches) }

// Capacity returns the number of loads that run at full speed at the same time.
func (q *FetchQueue) Capacity() int { return int(q.capacity + 0.5) }

// SpareCapacity returns the number of further loads that would run at full speed, and the
// instant since which there is capacity for one.
func (q *FetchQueue) SpareCapacity(now time.Duration) (int, time.Duration) {
	q.advance(now)
	return q.spareCapacity(), q.availableSince
}

// Fetching reports whether an engine is loading from the weight store.
func (q *FetchQueue) Fetching(engine string) bool { return q.fetches[engine] != nil }

// loadTime returns the duration of a load that runs concurrently with others.
func (q *FetchQueue) loadTime(nominal time.Duration, others int) time.Duration {
	return time.Duration(float64(nominal) * max(1, float64(others+1)/q.capacity))
}

// LoadTime returns the expected duration of another load that starts now.
func (q *FetchQueue) LoadTime(nominal time.Duration) time.Duration {
	return q.loadTime(nominal, len(q.fetches))
}

// TimeLeft returns the expected time until an engine's load ends, or 0 if there is none.
func (q *FetchQueue) TimeLeft(now time.Duration, engine string) time.Duration {
	f := q.fetches[engine]
	if f == nil {
		return 0
	}
	return max(minTimeLeft, q.loadTime(f.nominal, len(q.fetches)-1)-(now-f.startedAt))
}

// WaitTime returns the expected time until a load ends that has not started, with that many
// other loads ahead of it that have not started either.
func (q *FetchQueue) WaitTime(now time.Duration, nominal time.Duration, ahead int) time.Duration {
	firstEnd := time.Duration(0)
	if q.spareCapacity() <= 0 {
		firstEnd = nominal
		for engine := range q.fetches {
			firstEnd = min(firstEnd, q.TimeLeft(now, engine))
		}
	}
	rounds := 1 + int(float64(ahead)/q.capacity)
	return firstEnd + time.Duration(rounds)*nominal
}
