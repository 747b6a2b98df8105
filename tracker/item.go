package tracker

import "oleanderstall/wire"

// ServerFromList is the server that a row of the platform's list describes.
func ServerFromList(it *wire.ListedServer) Server {
	return Server{
		ID:        it.GetId(),
		Pool:      it.GetPool(),
		Address:   it.GetAddress(),
		Centre:    it.GetCentre(),
		Slots:     int(it.GetSlots()),
		Leaving:   it.GetLeaving(),
		Started:   it.GetBorn(),
		Inventory: Inventory{Models: it.GetModels()},
	}
}

// ListedServer is the row of the platform's list, with its version, that describes the server.
func (s Server) ListedServer(row uint64) *wire.ListedServer {
	return &wire.ListedServer{
		Id:      s.ID,
		Row:     row,
		Pool:    s.Pool,
		Address: s.Address,
		Centre:  s.Centre,
		Slots:   uint32(s.Slots),
		Leaving: s.Leaving,
		Born:    s.Started,
		Models:  s.Models,
	}
}
