package relayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// UpdateServers takes changes of the platform's list of backend servers, of which the list was
// complete as of an instant.
func (b *FleetState) UpdateServers(proven time.Duration, items []*wire.ListedServer) {
	b.proven = max(b.proven, proven)
	for _, it := range items {
		have, ok := b.items.get(it.GetId())
		if ok && have.GetRow() > it.GetRow() {
			continue
		}
		b.item(it, have)
	}
}

// item takes one row. Entries are told of what matters to them.
func (b *FleetState) item(it, have *wire.ListedServer) {
	if it.GetGone() {
		b.allocator.RemoveServer(b.decided, it.GetId())
	} else {
		b.allocator.UpdateServer(tracker.ServerFromList(it))
	}
	b.stale = true
	same := proto.Clone(it).(*wire.ListedServer)
	same.Row = have.GetRow()
	if s, ok := b.states.get(it.GetId()); ok && s.condition != nil {
		// The sidecar knows better what its engine holds.
		same.Models = have.GetModels()
	}
	if proto.Equal(same, have) {
		return
	}
	b.items.set(it.GetId(), it)
	b.touch(Entry, Relay)
}

// Orphans returns the engines of the data centres that this relay serves for which no
// sidecar speaks, by address.
func (b *FleetState) Orphans() map[string]*wire.ListedServer {
	orphans := map[string]*wire.ListedServer{}
	for id, it := range b.items.all() {
		_, heard := b.states.get(id)
		engines := b.copy.View().Pool(it.GetPool()).GetEngines()
		if !heard && engines != nil && b.serves(it.GetCentre()) && !it.GetLeaving() && !it.GetGone() {
			orphans[it.GetAddress()] = it
		}
	}
	return orphans
}

// UpdateMembers takes changes of the list of processes.
func (b *FleetState) UpdateMembers(members []*wire.Member) {
	for _, m := range members {
		if have, ok := b.list.get(m.GetName()); ok && have.GetRow() >= m.GetRow() {
			continue
		}
		b.list.set(m.GetName(), m)
	}
}
