package allocator

import "slices"

// usable reports whether an engine is in a data centre in which the requests of a demand may run.
func (a *Allocator) usable(d Demand, id string) bool {
	b := a.fleet.Get(id)
	return len(d.Centres) == 0 || b != nil && slices.Contains(d.Centres, b.Server().Centre)
}
