package locator

import (
	"cmp"
	"slices"
	"time"

	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// speedInterval is the shortest time between two reports of speeds to the relay.
const speedInterval = 300 * time.Millisecond

// unreportedSpeeds are the servers of whose speeds something was observed since the latest report
// of them at reportedAt.
type unreportedSpeeds struct {
	servers    map[string]bool
	reportedAt time.Duration
}

// add adds a server whose times are estimated.
func (u *unreportedSpeeds) add(b *tracker.Backend) {
	if !b.Estimated() {
		return
	}
	if u.servers == nil {
		u.servers = map[string]bool{}
	}
	u.servers[b.Server().ID] = true
}

// takeSpeeds returns the speeds to be reported now. The caller holds the lock.
func (l *Locator) takeSpeeds(now time.Duration) []*wire.ServerSpeed {
	if now-l.speeds.reportedAt < speedInterval {
		return nil
	}
	l.speeds.reportedAt = now
	var speeds []*wire.ServerSpeed
	for id := range l.speeds.servers {
		if b := l.fleet.Get(id); b != nil {
			if speed := b.TakeSpeed(); speed != nil {
				speeds = append(speeds, speed)
			}
		}
	}
	clear(l.speeds.servers)
	slices.SortFunc(speeds, func(a, b *wire.ServerSpeed) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	return speeds
}

// receiveSpeeds records what other entries have observed, as a relay has sent it. The caller holds
// the lock.
func (l *Locator) receiveSpeeds(now time.Duration, speeds []*wire.ServerSpeed) {
	for _, s := range speeds {
		if b := l.fleet.Get(s.GetServer()); b != nil {
			b.RecordSharedSpeed(now, s)
		}
	}
}
