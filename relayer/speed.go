package relayer

import (
	"math"
	"time"

	"oleanderstall/tracker"
	"oleanderstall/wire"
)

const (
	// speedMemory is the time constant with which earlier observations of a server's speed stop
	// counting in its mean.
	speedMemory = 2 * time.Second
	// minSpeedChange and minPaceChange are the factors by which a speed or a server's own figure has
	// to change to be sent to entries again, at intervals of minSpeedInterval or more. It is sent in
	// any case after speedRefresh. They bound the traffic, since most servers stay as fast as they
	// are.
	minSpeedChange   = 1.15
	minPaceChange    = 1.3
	speedRefresh     = 10 * time.Second
	minSpeedInterval = 250 * time.Millisecond
	// paceTTL is how long a server's own figure is sent on. It changes many times a second, so that
	// older ones are of no use.
	paceTTL = time.Second
)

// speedMean is the mean of what entries have observed of a server's speed.
type speedMean struct {
	// value is the mean of the logarithms, and weight the number of observations as of updatedAt, of
	// which earlier ones count less.
	value, weight float64
	updatedAt     time.Duration
	// pace is the latest figure of the server itself, in percent, as of paceAt.
	pace   uint32
	paceAt time.Duration
	// sent is what was sent to entries last, at sentAt, and sentPace the latest figure in it.
	sent     *wire.ServerSpeed
	sentAt   time.Duration
	sentPace uint32
}

// plausibleSpeed reports whether a report of a server's speed can be right.
func plausibleSpeed(s *wire.ServerSpeed) bool {
	return (s.GetCount() == 0 || tracker.PlausibleSpeed(s.GetSpeed())) && (s.GetPace() == 0 || tracker.PlausibleSpeed(s.GetPace())) &&
		s.GetCount() <= tracker.MaxSpeedCount && (s.GetCount() > 0 || s.GetPace() > 0)
}

// recordSpeeds adds reports of the speeds of servers to their means. It ignores those that are not
// plausible or name a server that is not listed.
func (fs *FleetState) recordSpeeds(now time.Duration, speeds []*wire.ServerSpeed) {
	for _, s := range speeds {
		listed, ok := fs.servers.get(s.GetServer())
		if !ok || listed.GetGone() || !plausibleSpeed(s) {
			continue
		}
		if s.GetPace() > 0 {
			fs.allocator.ScaleByLoad(listed.GetPool())
		}
		m := fs.speedMeans[s.GetServer()]
		if m == nil {
			m = &speedMean{}
			fs.speedMeans[s.GetServer()] = m
		}
		m.add(now, s)
		if m.toBeSent(now) {
			m.sent, m.sentAt = m.message(now, s.GetServer()), now
			fs.allocator.RecordSpeed(now, m.sent)
			if m.sent.GetPace() > 0 {
				m.sentPace = m.sent.GetPace()
			}
			fs.speeds.set(s.GetServer(), m.sent)
		}
	}
}

// add adds a report to the mean.
func (m *speedMean) add(now time.Duration, s *wire.ServerSpeed) {
	if s.GetPace() > 0 {
		m.pace, m.paceAt = s.GetPace(), now
	}
	if s.GetCount() == 0 {
		return
	}
	m.weight *= math.Exp(-float64(max(0, now-m.updatedAt)) / float64(speedMemory))
	count := float64(s.GetCount())
	m.value = (m.value*m.weight + math.Log(float64(s.GetSpeed())/100)*count) / (m.weight + count)
	m.weight += count
	m.updatedAt = now
}

// message returns the message for entries.
func (m *speedMean) message(now time.Duration, server string) *wire.ServerSpeed {
	s := &wire.ServerSpeed{Server: server}
	if now-m.paceAt <= paceTTL {
		s.Pace = m.pace
	}
	if m.weight > 0 {
		s.Speed, s.Count = uint32(math.Round(100*math.Exp(m.value))), 1
	}
	return s
}

// toBeSent reports whether the speed or the server's own figure has changed enough since it was
// sent, or was sent long ago.
func (m *speedMean) toBeSent(now time.Duration) bool {
	if m.sent == nil || now-m.sentAt >= speedRefresh {
		return true
	}
	next := m.message(now, m.sent.GetServer())
	return now-m.sentAt >= minSpeedInterval &&
		(changedBy(m.sent.GetSpeed(), next.GetSpeed(), minSpeedChange) || next.GetPace() > 0 && changedBy(m.sentPace, next.GetPace(), minPaceChange))
}

// changedBy reports whether two percentages differ by a factor or more.
func changedBy(a, b uint32, factor float64) bool {
	low, high := float64(min(a, b)), float64(max(a, b))
	return high >= factor*low && high > low
}

// dropSpeed drops the speed of a server that is no longer listed.
func (fs *FleetState) dropSpeed(server string) {
	delete(fs.speedMeans, server)
	fs.speeds.remove(server)
}

// addSpeeds adds the speeds of servers that have changed to an entry's batch. Speeds, and the figures of
// the servers themselves, are left out if they are too old, since an entry that has just linked would
// take them for new.
func (fs *FleetState) addSpeeds(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.speeds.since(lp.sentVersions.speeds) {
		age := time.Duration(0)
		if !c.removed {
			age = now - fs.speedMeans[c.key].sentAt
		}
		switch {
		case c.removed || age >= 2*speedRefresh:
		case age > paceTTL:
			batch.Speeds = append(batch.Speeds, &wire.ServerSpeed{Server: c.key, Speed: c.value.GetSpeed(), Count: c.value.GetCount()})
		default:
			batch.Speeds = append(batch.Speeds, c.value)
		}
	}
	lp.sentVersions.speeds = fs.speeds.version
}

// forwardSpeeds adds reports of a linked entry to those that are sent to the other relays with their
// next batches, where several reports about one server are merged.
func (fs *FleetState) forwardSpeeds(speeds []*wire.ServerSpeed) {
	for _, other := range fs.processes {
		if other.link.GetRole() != Relay {
			continue
		}
		for _, s := range speeds {
			if _, ok := fs.servers.get(s.GetServer()); ok && plausibleSpeed(s) {
				other.addSpeed(s)
			}
		}
	}
}

// addSpeed adds a report of a server's speed to those that are to be sent.
func (lp *linkedProcess) addSpeed(s *wire.ServerSpeed) {
	if lp.speeds == nil {
		lp.speeds = map[string]*wire.ServerSpeed{}
	}
	known := lp.speeds[s.GetServer()]
	if known == nil {
		lp.speeds[s.GetServer()] = &wire.ServerSpeed{Server: s.GetServer(), Speed: s.GetSpeed(), Count: s.GetCount(), Pace: s.GetPace()}
		return
	}
	if s.GetPace() > 0 {
		known.Pace = s.GetPace()
	}
	if total := known.GetCount() + s.GetCount(); s.GetCount() > 0 {
		known.Speed = (known.GetSpeed()*known.GetCount() + s.GetSpeed()*s.GetCount()) / total
		known.Count = min(total, tracker.MaxSpeedCount)
	}
}

// takeSpeeds returns the reports that are to be sent to another relay.
func (lp *linkedProcess) takeSpeeds() []*wire.ServerSpeed {
	var speeds []*wire.ServerSpeed
	for _, s := range lp.speeds {
		speeds = append(speeds, s)
	}
	lp.speeds = nil
	return speeds
}
