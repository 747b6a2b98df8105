package tracker

import "oleanderstall/wire"

// ServerFromList returns the server that a row of the platform's list describes.
func ServerFromList(listed *wire.ListedServer) Server {
	return Server{
		ID:        listed.GetId(),
		Pool:      listed.GetPool(),
		Address:   listed.GetAddress(),
		Centre:    listed.GetCentre(),
		Slots:     int(listed.GetSlots()),
		Leaving:   listed.GetLeaving(),
		Started:   listed.GetBorn(),
		Inventory: Inventory{Models: listed.GetModels()},
	}
}

// ListedServer returns the row of the platform's list that describes the server, with the
// version of the row.
func (s Server) ListedServer(version uint64) *wire.ListedServer {
	return &wire.ListedServer{
		Id:      s.ID,
		Row:     version,
		Pool:    s.Pool,
		Address: s.Address,
		Centre:  s.Centre,
		Slots:   uint32(s.Slots),
		Leaving: s.Leaving,
		Born:    s.Started,
		Models:  s.Models,
	}
}
