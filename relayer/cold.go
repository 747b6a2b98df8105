package relayer

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/pacer"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// coldTolerance is how much the end of a stated cold phase may move without being sent on. A
// server may write its row many times while it is cold, each with the time that is left.
const coldTolerance = 300 * time.Millisecond

// coldPhase is the cold phase of the process of a server that started at an instant, in Unix
// milliseconds. rate is the rate that an entry has named for it, or 0.
type coldPhase struct {
	started int64
	until   time.Duration
	rate    float64
}

// updateCold applies what a row says about the cold phase of its server. It reports whether that
// differs from the known row in more than the passage of time.
func (fs *FleetState) updateCold(server, known *wire.ListedServer) bool {
	id, phase := server.GetId(), fs.cold[server.GetId()]
	if phase.started != server.GetBorn() {
		phase = coldPhase{started: server.GetBorn()}
	}
	s := tracker.ServerFromList(server)
	if server.GetGone() || !s.ColdStated {
		return false
	}
	before := max(phase.until, fs.latest)
	phase.until = fs.latest + s.ColdLeft
	changed := known == nil || known.ColdLeft == nil || (phase.until-before).Abs() > coldTolerance
	if !changed {
		return false
	}
	if s.ColdLeft > 0 {
		fs.log.Info().Str("server", id).Int64("born", server.GetBorn()).Int64("left", s.ColdLeft.Milliseconds()).Uint64("row", server.GetRow()).Msg("server: cold, by its row")
	}
	fs.cold[id] = phase
	return true
}

// receiveCold applies what an entry that asks for a permit knows of the cold phase of the server. It may
// know the row of the server sooner, or have seen the server start.
func (fs *FleetState) receiveCold(now time.Duration, request *wire.PermitRequest) {
	id, started := request.GetLimit().GetServer(), request.GetLimit().GetBorn()
	server, listed := fs.servers.get(id)
	if request.GetColdLeft() == 0 || !listed || server.GetGone() || started < server.GetBorn() {
		return
	}
	phase := fs.cold[id]
	if phase.started != started {
		phase = coldPhase{started: started}
	}
	phase.until = max(phase.until, now+min(timer.FromMillis(request.GetColdLeft()), tracker.MaxColdTime))
	phase.rate = pacer.Lower(phase.rate, pacer.ColdRate(request.GetColdRate()))
	fs.cold[id] = phase
}

// coldRate returns the requests a second that a server takes from all processes together because
// it is cold, or 0 if it is not.
func (fs *FleetState) coldRate(id string) float64 {
	phase := fs.cold[id]
	server, _ := fs.servers.get(id)
	if fs.latest >= phase.until || phase.started < server.GetBorn() {
		return 0
	}
	return pacer.Lower(phase.rate, pacer.ColdRate(fs.config.View().Pool(server.GetPool()).GetColdRate()))
}

// limitOf returns the limit of a server, which is the lower of the one that it has named and that
// of its cold phase, and reports whether it is cold.
func (fs *FleetState) limitOf(id string) (l pacer.Limit, cold bool) {
	known, _ := fs.limits.get(id)
	l, rate := known.Limit, fs.coldRate(id)
	if rate == 0 {
		return l, false
	}
	if phase := fs.cold[id]; l.Started < phase.started {
		l = pacer.Limit{Server: id, Started: phase.started}
	}
	l.Rate = pacer.Lower(l.Rate, rate)
	return l, true
}

// reserve gives out a permit for a server with a limit, which is cold or not.
func (fs *FleetState) reserve(now time.Duration, l pacer.Limit, share float64, cold bool, patience time.Duration) (pacer.Permit, bool) {
	s := fs.pacing.schedule(now, l, share)
	if !cold {
		return s.Reserve(now, patience)
	}
	permit, given := s.ReserveSaved(now, patience, fs.coldTiming.Saved())
	if given {
		fs.coldPermits++
	}
	return permit, given
}

// isLimit reports whether a message says anything about a limit that a server has named.
func isLimit(m *wire.ServerLimit) bool { return m.GetRate() > 0 || m.GetNumber() > 0 }

// listedAsOf returns a row in which the time for which the server is still cold is that as of now.
func (fs *FleetState) listedAsOf(now time.Duration, server *wire.ListedServer) *wire.ListedServer {
	if server.GetColdLeft() == 0 {
		return server
	}
	out := proto.CloneOf(server)
	out.ColdLeft = proto.Uint32(0)
	if phase := fs.cold[server.GetId()]; phase.started == server.GetBorn() {
		out.ColdLeft = proto.Uint32(timer.ToMillis(phase.until - now))
	}
	return out
}

// updatePacers finds the pacer of each data centre, and sends entries a change.
func (fs *FleetState) updatePacers() {
	var pacers []*wire.Pacer
	for _, centre := range slices.Sorted(maps.Keys(fs.pacing.voters)) {
		pacers = append(pacers, &wire.Pacer{Centre: centre, Process: fs.relayOf(centre)})
	}
	same := func(a, b *wire.Pacer) bool { return proto.Equal(a, b) }
	if slices.EqualFunc(pacers, fs.pacing.pacers, same) {
		return
	}
	fs.pacing.pacers = pacers
	fs.pacing.pacersVersion++
	if fs.hasColdPools() {
		fs.markUrgent(Entry)
	}
}

// hasColdPools reports whether the servers of some pool may be cold.
func (fs *FleetState) hasColdPools() bool {
	return slices.ContainsFunc(fs.config.View().Pools(), func(p *wire.Pool) bool { return p.GetColdRate() > 0 })
}

// addPacers adds the pacers to an entry's batch if the entry does not have them yet and the servers of
// some pool may be cold.
func (fs *FleetState) addPacers(lp *linkedProcess, batch *wire.Batch) {
	if lp.sentVersions.pacers != fs.pacing.pacersVersion && fs.hasColdPools() {
		batch.Pacers, lp.sentVersions.pacers = fs.pacing.pacers, fs.pacing.pacersVersion
	}
}
