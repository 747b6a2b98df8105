package relayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// UpdateServers applies changes to the platform's list of backend servers, which was
// complete as of the instant completeAsOf. It ignores rows older than the ones known, and those
// without an ID.
func (fs *FleetState) UpdateServers(completeAsOf time.Duration, servers []*wire.ListedServer) {
	fs.serversCompleteAsOf = max(fs.serversCompleteAsOf, completeAsOf)
	for _, server := range servers {
		known, ok := fs.servers.get(server.GetId())
		if server.GetId() == "" || ok && known.GetRow() > server.GetRow() {
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
		fs.limits.remove(server.GetId())
		delete(fs.pacing.schedules, server.GetId())
	} else {
		fs.allocator.UpdateServer(tracker.ServerFromList(server))
	}
	fs.decisionStale = true
	normalized := proto.Clone(server).(*wire.ListedServer)
	normalized.Row = known.GetRow()
	if reported, ok := fs.statuses.get(server.GetId()); ok && reported.status != nil {
		// The sidecar's status is more accurate about the models of its engine.
		normalized.Models = known.GetModels()
	}
	if proto.Equal(normalized, known) {
		return
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
		if known, ok := fs.members.get(m.GetName()); m.GetName() == "" || ok && known.GetRow() >= m.GetRow() {
			continue
		}
		fs.members.set(m.GetName(), m)
	}
}
