package tracker

// SetEvacuated replaces the data centres whose servers get no new work.
func (f *Fleet) SetEvacuated(centres []string) {
	f.evacuated = make(map[string]bool, len(centres))
	for _, centre := range centres {
		f.evacuated[centre] = true
	}
}

// Evacuated reports whether the server is in an evacuated data centre.
func (b *Backend) Evacuated() bool { return b.fleet.evacuated[b.server.Centre] }

// EvacuatedPool reports whether a pool has servers that would take new work, all of them in evacuated
// data centres.
func (f *Fleet) EvacuatedPool(name string) bool {
	if len(f.evacuated) == 0 {
		return false
	}
	f.rebuildPools()
	for _, b := range f.pools[name] {
		if !b.Evacuated() {
			return false
		}
	}
	return len(f.pools[name]) > 0
}

// InflightAtEvacuated returns the number of this process's requests at servers in evacuated data
// centres.
func (f *Fleet) InflightAtEvacuated() int {
	n := 0
	for _, b := range f.backends {
		if b.Evacuated() {
			n += b.inflight
		}
	}
	return n
}
