package locator

import (
	"cmp"
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/meter"
	"oleanderstall/tracker"
)

// memoryCounts counts the requests to a pool that did not fit into the memory of its servers.
type memoryCounts struct{ waits, overfull uint64 }

// countMemoryWait counts r if it begins to wait because it does not fit into the memory of a server.
// The caller holds the lock.
func (l *Locator) countMemoryWait(now time.Duration, b *tracker.Backend, r *dispatcher.Request) {
	if !l.fits(now, b, r) && !slices.Contains(l.queued, r) {
		counts := l.memoryCounts[b.Server().Pool]
		counts.waits++
		l.memoryCounts[b.Server().Pool] = counts
	}
}

// countMemoryOverfull counts r if it is sent to a server although it doesn't fit into the memory
// there. The caller holds the lock.
func (l *Locator) countMemoryOverfull(now time.Duration, b *tracker.Backend, r *dispatcher.Request) {
	if !l.fits(now, b, r) {
		counts := l.memoryCounts[b.Server().Pool]
		counts.overfull++
		l.memoryCounts[b.Server().Pool] = counts
	}
}

// PoolSpeeds returns what is expected of the servers of the pools whose times are estimated, sorted
// by the name of the pool.
func (l *Locator) PoolSpeeds() []meter.PoolSpeed {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, byPool := l.clock(), map[string]meter.PoolSpeed{}
	for _, b := range l.fleet.All() {
		if !b.Estimated() {
			continue
		}
		name, speed := b.Server().Pool, b.ExpectedSpeed(now)
		p, ok := byPool[name]
		if !ok {
			p = meter.PoolSpeed{Pool: name, Slowest: speed, Fastest: speed, MemoryWaits: l.memoryCounts[name].waits, MemoryOverfull: l.memoryCounts[name].overfull}
		}
		p.Slowest, p.Fastest = max(p.Slowest, speed), min(p.Fastest, speed)
		byPool[name] = p
	}
	var speeds []meter.PoolSpeed
	for _, p := range byPool {
		speeds = append(speeds, p)
	}
	slices.SortFunc(speeds, func(a, b meter.PoolSpeed) int { return cmp.Compare(a.Pool, b.Pool) })
	return speeds
}
