package tracker

import (
	"cmp"
	"slices"
)

// Holders returns the servers that may hold a model or an adapter and take new work,
// sorted by ID. Backend.Inventory returns what a server holds now.
func (f *Fleet) Holders(name string) []*Backend {
	var list []*Backend
	for _, b := range f.holders[name] {
		if f.acceptsWork(b) {
			list = append(list, b)
		}
	}
	return list
}

// ModelNames returns the models and adapters that a server holds according to the list or
// to the latest status of its sidecar, however old that is.
func (b *Backend) ModelNames() map[string]bool {
	names := make(map[string]bool, len(b.server.Models))
	for _, name := range b.server.Models {
		names[name] = true
	}
	for _, name := range b.status.GetModels() {
		names[name] = true
	}
	return names
}

// reindex updates the holders after a server's row in the list or its status has changed.
// before holds the models and adapters that ModelNames returned until then.
func (f *Fleet) reindex(b *Backend, before map[string]bool) {
	current := b.ModelNames()
	for name := range before {
		if !current[name] {
			f.unindex(b, name)
		}
	}
	for name := range current {
		if before[name] {
			continue
		}
		holders := f.holders[name]
		i, _ := slices.BinarySearchFunc(holders, b, byID)
		f.holders[name] = slices.Insert(holders, i, b)
	}
}

// unindex removes a server from the holders of a model or an adapter.
func (f *Fleet) unindex(b *Backend, name string) {
	holders := f.holders[name]
	if i := slices.Index(holders, b); i >= 0 {
		holders = slices.Delete(holders, i, i+1)
	}
	if len(holders) == 0 {
		delete(f.holders, name)
		return
	}
	f.holders[name] = holders
}

func byID(a, b *Backend) int { return cmp.Compare(a.server.ID, b.server.ID) }
