package relayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/subscriber"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// UpdateServers applies changes to the platform's list of backend servers, which was
// complete as of the instant completeAsOf. It ignores rows older than the ones known, and those
// without an ID.
func (fs *FleetState) UpdateServers(completeAsOf time.Duration, servers []*wire.ListedServer) {
	fs.serversCompleteAsOf = max(fs.serversCompleteAsOf, completeAsOf)
	for _, server := range servers {
		known, _ := fs.servers.get(server.GetId())
		if server.GetId() == "" || tracker.RowOutdated(server, known) {
			continue
		}
		fs.updateServer(server, known)
	}
}

// updateServer applies one row. The row is sent on if it differs from the known one in more
// than its version. For an engine whose sidecar reports, a difference in the models does not
// count either.
func (fs *FleetState) updateServer(server, known *wire.ListedServer) {
	if server.GetGone() {
		fs.allocator.RemoveServer(fs.decidedAt, server.GetId())
		fs.streams.RemoveServer(fs.latest, server.GetId())
		fs.limits.remove(server.GetId())
		fs.dropSpeed(server.GetId())
		delete(fs.pacing.schedules, server.GetId())
		delete(fs.cold, server.GetId())
	} else {
		fs.allocator.UpdateServer(tracker.ServerFromList(server))
		fs.streams.UpdateServer(fs.latest, server.GetId(), server.GetPool(), server.GetSoftware())
	}
	fs.decisionStale = true
	normalized := proto.Clone(server).(*wire.ListedServer)
	normalized.Row, normalized.Writes = known.GetRow(), known.GetWrites()
	if reported, ok := fs.statuses.get(server.GetId()); ok && reported.status != nil {
		// The sidecar's status is more accurate about the models of its engine.
		normalized.Models = known.GetModels()
	}
	if known != nil {
		normalized.ColdLeft = known.ColdLeft
	}
	if coldChanged := fs.updateCold(server, known); !coldChanged && proto.Equal(normalized, known) {
		return
	}
	if server.GetGone() && server.GetBorn() == 0 {
		server = proto.CloneOf(server)
		server.Born, server.Writes = known.GetBorn(), known.GetWrites()
	}
	fs.servers.set(server.GetId(), server)
	fs.markUrgent(Entry, Relay)
}

// Orphans returns the listed engines without a reporting sidecar in the data centres that
// this relay serves, by address. Leaving engines are left out.
func (fs *FleetState) Orphans() map[string]*wire.ListedServer {
	orphans := map[string]*wire.ListedServer{}
	for id, server := range fs.servers.all() {
		_, reported := fs.statuses.get(id)
		engines := fs.config.View().Pool(server.GetPool()).GetEngines()
		if !reported && engines != nil && fs.servesCentre(server.GetCentre()) && !server.GetLeaving() && !server.GetGone() {
			orphans[server.GetAddress()] = server
		}
	}
	return orphans
}

// UpdateMembers applies changes to the list of processes. It ignores rows that are not
// newer than the ones known, and those without a name.
func (fs *FleetState) UpdateMembers(members []*wire.Member) {
	for _, m := range members {
		if known, _ := fs.members.get(m.GetName()); m.GetName() == "" || subscriber.RowOutdated(m, known) {
			continue
		}
		fs.members.set(m.GetName(), m)
	}
}
