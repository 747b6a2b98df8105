package relayer

import (
	"time"

	"oleanderstall/pacer"
	"oleanderstall/router"
	"oleanderstall/wire"
)

const (
	// votingDelay is how long a process has to be linked before it counts for this relay: until
	// then it may still count for the relay before it.
	votingDelay = 2 * time.Second
	// voterMemory is how long a listed process counts as one that may be linked to another relay.
	voterMemory = 30 * time.Second
	// maxTickGap is the longest time between two ticks of a relay that runs. After a longer one,
	// the linked processes may have left meanwhile.
	maxTickGap = time.Second
	// pacingInterval is the time between two updates of the processes that have been heard of.
	pacingInterval = 250 * time.Millisecond
)

// pacing decides who gives out the permits for servers that have named a limit. The relay of a
// server's data centre does. If several processes take themselves for that relay, each gives out
// the part of the rate that corresponds to the part of the data centre's listed processes that are
// linked to it. Since a process links to one relay, the parts add up to no more than the rate.
type pacing struct {
	// relayInUse is the name of the relay that this process uses, or empty.
	relayInUse string
	// heardAt holds the instants at which listed processes were last heard of, here or through the
	// relay of their data centre; for others it is when they were listed.
	heardAt map[string]time.Duration
	// voters counts the processes of each data centre that may be linked to some relay, and
	// changes with heardAt.
	voters map[string]int
	// tickedAt and updatedAt are the instants of the latest tick and of the latest update of
	// heardAt.
	tickedAt  time.Duration
	updatedAt time.Duration
	// schedules holds the permits for the servers that this relay paces.
	schedules map[string]*schedule
	// pacers are the pacers of the data centres that have one, sorted, and pacersVersion changes
	// with them.
	pacers        []*wire.Pacer
	pacersVersion uint64
}

// schedule gives out the permits for the process of a server that started at an instant, in Unix
// milliseconds.
type schedule struct {
	*pacer.Schedule
	started int64
}

func newPacing() pacing {
	return pacing{heardAt: map[string]time.Duration{}, voters: map[string]int{}, schedules: map[string]*schedule{}}
}

// schedule returns the schedule for a server with a limit, of whose rate this relay has a share.
func (p *pacing) schedule(now time.Duration, l pacer.Limit, share float64) *schedule {
	l.Rate *= share
	s := p.schedules[l.Server]
	switch {
	case s == nil:
		s = &schedule{Schedule: pacer.NewSchedule(now, l), started: l.Started}
	case s.started != l.Started:
		s = &schedule{Schedule: s.Successor(now, l), started: l.Started}
	}
	p.schedules[l.Server] = s
	s.SetLimit(now, l)
	return s
}

// SetRelayInUse sets the name of the relay that this process uses, empty for none.
func (fs *FleetState) SetRelayInUse(name string) { fs.pacing.relayInUse = name }

// updatePacing records which processes have been heard of, and sends entries the pacers that have
// changed.
func (fs *FleetState) updatePacing(now time.Duration) {
	if now-fs.pacing.tickedAt > maxTickGap {
		for _, lp := range fs.processes {
			lp.joinedAt = now
		}
	}
	fs.pacing.tickedAt = now
	if now-fs.pacing.updatedAt < pacingInterval {
		return
	}
	fs.pacing.updatedAt = now
	fs.updateHeard(now)
	fs.updatePacers()
	for id, known := range fs.limits.all() {
		if name := fs.pacerOf(id); known.Rate > 0 && name != known.pacer {
			known.pacer = name
			fs.limits.set(id, known)
			fs.markUrgent(Entry)
			fs.log.Info().Str("server", id).Str("pacer", name).Float64("share", fs.pacingShare(now)).Msg("server: paced by")
		}
	}
}

// updateHeard records which listed processes are heard of now, and counts those that may be linked
// to some relay.
func (fs *FleetState) updateHeard(now time.Duration) {
	for _, lp := range fs.processes {
		if _, listed := fs.pacing.heardAt[lp.link.GetName()]; listed {
			fs.pacing.heardAt[lp.link.GetName()] = now
		}
	}
	clear(fs.pacing.voters)
	for name, m := range fs.members.all() {
		at, listed := fs.pacing.heardAt[name]
		switch {
		case m.GetGone():
			delete(fs.pacing.heardAt, name)
			continue
		case !listed || fs.remoteFeeds[m.GetCentre()] != nil:
			fs.pacing.heardAt[name] = now
		case now-at > voterMemory:
			continue
		}
		fs.pacing.voters[m.GetCentre()]++
	}
}

// pacingShare returns the share of the limits of servers here that this relay gives out, from 0
// to 1.
func (fs *FleetState) pacingShare(now time.Duration) float64 {
	votes := 0
	for _, lp := range fs.processes {
		m, listed := fs.members.get(lp.link.GetName())
		if listed && !m.GetGone() && m.GetCentre() == fs.centre && lp.link.GetRole() != Relay && now-lp.joinedAt >= votingDelay {
			votes++
		}
	}
	if votes == 0 {
		return 0
	}
	return min(1, float64(votes)/float64(fs.pacing.voters[fs.centre]))
}

// pacingCentre returns the data centre whose relay paces a server: the server's own or, if no
// process of that may be linked, the first for the server by rendezvous hashing. It is empty for a
// server that is not listed.
func (fs *FleetState) pacingCentre(id string) string {
	server, ok := fs.servers.get(id)
	if !ok || server.GetGone() {
		return ""
	}
	if fs.pacing.voters[server.GetCentre()] > 0 {
		return server.GetCentre()
	}
	key, first := router.Hash(id), ""
	for centre := range fs.pacing.voters {
		if first == "" {
			first = centre
		}
		first = higherRanked(first, centre, key)
	}
	return first
}

// pacerOf returns the name of the process that paces a server, or an empty one if none is known.
func (fs *FleetState) pacerOf(id string) string {
	centre := fs.pacingCentre(id)
	return fs.relayOf(centre)
}

// relayOf returns the name of the relay of a data centre, or an empty one if none is known.
func (fs *FleetState) relayOf(centre string) string {
	if centre == fs.centre {
		return fs.pacing.relayInUse
	}
	if rf := fs.remoteFeeds[centre]; rf != nil {
		return rf.relay
	}
	return ""
}
