package tracker

import "oleanderstall/wire"

// ServerOf is the server that a row of the platform's list describes.
func ServerOf(it *wire.Item) Server {
	return Server{
		ID:      it.GetId(),
		Pool:    it.GetPool(),
		Address: it.GetAddress(),
		Centre:  it.GetCentre(),
		Slots:   int(it.GetSlots()),
		Leaving: it.GetLeaving(),
		Born:    it.GetBorn(),
		Holding: Holding{Models: it.GetModels()},
	}
}

// Item is the row of the platform's list, with its version, that describes the server.
func (s Server) Item(row uint64) *wire.Item {
	return &wire.Item{
		Id:      s.ID,
		Row:     row,
		Pool:    s.Pool,
		Address: s.Address,
		Centre:  s.Centre,
		Slots:   uint32(s.Slots),
		Leaving: s.Leaving,
		Born:    s.Born,
		Models:  s.Models,
	}
}
