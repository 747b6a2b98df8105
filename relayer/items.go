package relayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Items takes changes of the platform's list of backend servers, of which the list was
// complete as of an instant.
func (b *Board) Items(proven time.Duration, items []*wire.Item) {
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
func (b *Board) item(it, have *wire.Item) {
	if it.GetGone() {
		b.allocator.Drop(b.decided, it.GetId())
	} else {
		b.allocator.List(tracker.ServerOf(it))
	}
	b.stale = true
	same := proto.Clone(it).(*wire.Item)
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
func (b *Board) Orphans() map[string]*wire.Item {
	orphans := map[string]*wire.Item{}
	for id, it := range b.items.all() {
		_, heard := b.states.get(id)
		engines := b.copy.View().Pool(it.GetPool()).GetEngines()
		if !heard && engines != nil && b.serves(it.GetCentre()) && !it.GetLeaving() && !it.GetGone() {
			orphans[it.GetAddress()] = it
		}
	}
	return orphans
}

// Members takes changes of the list of processes.
func (b *Board) Members(members []*wire.Member) {
	for _, m := range members {
		if have, ok := b.list.get(m.GetName()); ok && have.GetRow() >= m.GetRow() {
			continue
		}
		b.list.set(m.GetName(), m)
	}
}
