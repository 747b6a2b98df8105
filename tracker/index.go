package tracker

import (
	"cmp"
	"slices"
)

// Holders returns the servers that may hold a model or an adapter and take new work,
// by id. Whether one holds it now is for Holding to say.
func (f *Fleet) Holders(name string) []*Backend {
	var list []*Backend
	for _, b := range f.holders[name] {
		if f.takes(b) {
			list = append(list, b)
		}
	}
	return list
}

// ModelNames are the models and adapters that a server holds by the list or its sidecar.
func (b *Backend) ModelNames() map[string]bool {
	names := make(map[string]bool, len(b.server.Models))
	for _, name := range b.server.Models {
		names[name] = true
	}
	for _, name := range b.state.GetModels() {
		names[name] = true
	}
	return names
}

// index brings the index up to what a server holds now, after what it held before.
func (f *Fleet) index(b *Backend, before map[string]bool) {
	now := b.ModelNames()
	for name := range before {
		if !now[name] {
			f.unindex(b, name)
		}
	}
	for name := range now {
		if before[name] {
			continue
		}
		list := f.holders[name]
		i, _ := slices.BinarySearchFunc(list, b, byID)
		f.holders[name] = slices.Insert(list, i, b)
	}
}

// unindex removes a server from those that hold name.
func (f *Fleet) unindex(b *Backend, name string) {
	list := f.holders[name]
	if i := slices.Index(list, b); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(f.holders, name)
		return
	}
	f.holders[name] = list
}

func byID(a, b *Backend) int { return cmp.Compare(a.server.ID, b.server.ID) }
