package locator

import (
	"maps"
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/pacer"
	"oleanderstall/quarantiner"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// minColdTarget is the least time to its target that a request must have to be sent to a cold server
// while a warm one could run it. A cold server answers late, and the permit costs a round trip.
const minColdTarget = 1500 * time.Millisecond

// SetColdTiming sets how permits for cold servers may be used.
func (l *Locator) SetColdTiming(t pacer.ColdTiming) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldTiming = t
}

// ColdServers returns the number of servers that are cold.
func (l *Locator) ColdServers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.CountCold(l.clock())
}

// seenStart reports whether a listed process started no later than the one in the known row. Without a
// known row it returns true within startupGrace of the first list, since this entry cannot tell then
// whether the process has just started. The caller holds the lock.
func (l *Locator) seenStart(now time.Duration, s tracker.Server, known *wire.ListedServer) bool {
	if known != nil {
		return known.GetBorn() >= s.Started
	}
	return l.firstListedAt == 0 || now < l.firstListedAt+startupGrace
}

// updateCold records the cold phase of a server that has been listed, as its row states it. A process
// whose start was not seen and whose row does not state a phase yet is cold for the time that is
// configured for its pool. The caller holds the lock.
func (l *Locator) updateCold(now time.Duration, s tracker.Server, seenStart bool) {
	source, left := "row", s.ColdLeft
	switch {
	case s.ColdStated:
	case seenStart:
		return
	default:
		source, left = "start", min(timer.FromMillis(l.config.View().Pool(s.Pool).GetColdTime()), tracker.MaxColdTime)
	}
	b := l.fleet.Get(s.ID)
	was := b.ColdLeft(now)
	b.SetColdUntil(now + left)
	if (was > 0) != (left > 0) {
		l.log.Info().Str("server", s.ID).Int64("born", s.Started).Str("source", source).Int64("left", left.Milliseconds()).
			Int64("before", was.Milliseconds()).Msg("server: cold or not")
	}
}

// markCrashed makes a server cold whose listed process has crashed: what answers at its address from
// now on is a process that has just started. The row of that process, which may come later, replaces
// this. The caller holds the lock.
func (l *Locator) markCrashed(now time.Duration, p quarantiner.Process) {
	b := l.fleet.Get(p.Server)
	if b == nil || b.Server().Started != p.Started || l.config.View().Pool(b.Server().Pool).GetColdRate() == 0 {
		return
	}
	b.MarkCrashed(now + crashMemory)
	l.log.Info().Str("server", p.Server).Int64("born", p.Started).Int64("left", crashMemory.Milliseconds()).Msg("server: cold after a crash")
}

// listingDelay is the time within which a process that has started is listed.
const listingDelay = 2 * time.Second

// markNotListening makes a server cold at whose address no process listens: one that listens later has
// just started, perhaps under the same ID. The row of that process replaces this. The caller holds the
// lock.
func (l *Locator) markNotListening(now time.Duration, s tracker.Server) {
	b, pool := l.fleet.Get(s.ID), l.config.View().Pool(s.Pool)
	if b == nil || b.Server().Started != s.Started || pool.GetColdRate() == 0 {
		return
	}
	left := min(timer.FromMillis(pool.GetColdTime()), tracker.MaxColdTime) + listingDelay
	if b.ColdLeft(now) == 0 {
		l.log.Info().Str("server", s.ID).Int64("born", s.Started).Int64("left", left.Milliseconds()).Msg("server: cold, as its host refuses connections")
	}
	b.MarkCrashed(now + left)
}

// coldRate returns the requests a second that a server takes from all processes together because
// it is cold, or 0 if it is not. The caller holds the lock.
func (l *Locator) coldRate(now time.Duration, b *tracker.Backend) float64 {
	if b.ColdLeft(now) == 0 {
		return 0
	}
	return pacer.ColdRate(l.config.View().Pool(b.Server().Pool).GetColdRate())
}

// coldEnd returns the earlier of until and the end of the server's cold phase, or until if the server is
// not cold or has named a limit itself. The caller holds the lock.
func (l *Locator) coldEnd(now time.Duration, b *tracker.Backend, until time.Duration) time.Duration {
	if l.coldRate(now, b) > 0 && l.namedLimitOf(b).Rate == 0 {
		return min(until, b.ColdUntil())
	}
	return until
}

// receivePacers records the pacers of the data centres. The caller holds the lock.
func (l *Locator) receivePacers(pacers []*wire.Pacer) {
	if len(pacers) == 0 {
		return
	}
	clear(l.pacers)
	for _, p := range pacers {
		l.pacers[p.GetCentre()] = p.GetProcess()
	}
}

// pacerOf returns the record of a server that has a limit. The pacer of a cold server is that of
// its data centre or, if that has none, of the first one for the server by rendezvous hashing, as in
// relayer.FleetState. The caller holds the lock.
func (l *Locator) pacerOf(now time.Duration, b *tracker.Backend) *pacedServer {
	s := b.Server()
	p := l.pacedServerOf(now, s.ID)
	if l.coldRate(now, b) == 0 || len(l.pacers) == 0 {
		return p
	}
	centre := s.Centre
	if _, ok := l.pacers[centre]; !ok {
		centre = router.Rank(slices.Collect(maps.Keys(l.pacers)), router.Hash(s.ID))[0]
	}
	if name := l.pacers[centre]; name != p.pacer {
		p.pacer, p.nextPermit = name, 0
		if name == "" {
			p.unknownSince = now
		}
	}
	return p
}

// hasTimeForCold reports whether the target of a request is far enough ahead for a cold server, while a
// warm one could run it.
func hasTimeForCold(now time.Duration, r *dispatcher.Request) bool {
	return r.TargetTime-now >= minColdTarget
}

// patienceFor returns how long a request waits for a permit for a given server, at most patience. For a
// cold server it waits until its target, or for half of its remaining time if that is longer. Permits
// are reserved in advance, so under contention the requests with the latest targets get them, which
// suffer least from a slow answer. The caller holds the lock.
func (l *Locator) patienceFor(now time.Duration, b *tracker.Backend, s *search, patience time.Duration) time.Duration {
	if l.coldRate(now, b) == 0 {
		return patience
	}
	return min(patience, max(s.request.TargetTime-now, (latestSend(s.request)-now)/2, 0))
}
