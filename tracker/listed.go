package tracker

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// sortedNames returns the names sorted. It does not change the list.
func sortedNames(names []string) []string {
	if slices.IsSorted(names) {
		return names
	}
	return slices.Sorted(slices.Values(names))
}

// withSortedModels returns a status with its models sorted by name. It does not change s.
func withSortedModels(s *wire.EngineStatus) *wire.EngineStatus {
	if slices.IsSorted(s.GetModels()) {
		return s
	}
	sorted := proto.CloneOf(s)
	slices.Sort(sorted.Models)
	return sorted
}

// ServerFromList returns the server that a row of the platform's list describes.
func ServerFromList(listed *wire.ListedServer) Server {
	return Server{
		ID:         listed.GetId(),
		Pool:       listed.GetPool(),
		Address:    listed.GetAddress(),
		Centre:     listed.GetCentre(),
		Slots:      int(listed.GetSlots()),
		Leaving:    listed.GetLeaving(),
		Started:    listed.GetBorn(),
		Software:   listed.GetSoftware(),
		RowWrites:  listed.GetWrites(),
		ColdStated: listed.ColdLeft != nil,
		ColdLeft:   min(timer.FromMillis(listed.GetColdLeft()), MaxColdTime),
		Inventory:  Inventory{Models: sortedNames(listed.GetModels())},
	}
}

// ListedServer returns the row of the platform's list that describes the server, with the
// version of the row.
func (s Server) ListedServer(version uint64) *wire.ListedServer {
	listed := &wire.ListedServer{
		Id:      s.ID,
		Row:     version,
		Pool:    s.Pool,
		Address: s.Address,
		Centre:  s.Centre,
		Slots:   uint32(s.Slots),
		Leaving: s.Leaving,
		Born:    s.Started,
		Models:  s.Models,
		Writes:  s.RowWrites,

		Software: s.Software,
	}
	if s.ColdStated {
		listed.ColdLeft = proto.Uint32(timer.ToMillis(s.ColdLeft))
	}
	return listed
}

// RowOutdated reports whether a row of the list says nothing that is newer than the known one,
// which may be nil: it has a lower version, or the store has come back from an earlier copy of
// itself that holds an earlier row of the server.
func RowOutdated(row, known *wire.ListedServer) bool {
	switch {
	case known == nil:
		return false
	case known.GetRow() > row.GetRow():
		return true
	case storer.Era(known.GetRow()) == storer.Era(row.GetRow()), row.GetGone(), row.GetWrites() == 0:
		return false
	case row.GetBorn() != known.GetBorn():
		return row.GetBorn() < known.GetBorn()
	}
	return row.GetWrites() <= known.GetWrites()
}
