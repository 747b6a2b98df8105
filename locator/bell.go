package locator

// bell wakes those that wait for something named.
type bell struct{ rings map[string]chan struct{} }

func newBell() *bell { return &bell{rings: map[string]chan struct{}{}} }

// wait returns a channel that is closed at the next ring for name.
func (b *bell) wait(name string) <-chan struct{} {
	ring := b.rings[name]
	if ring == nil {
		ring = make(chan struct{})
		b.rings[name] = ring
	}
	return ring
}

// ring wakes those that wait for one of the names.
func (b *bell) ring(names ...string) {
	for _, name := range names {
		if ring := b.rings[name]; ring != nil {
			close(ring)
			delete(b.rings, name)
		}
	}
}

// all wakes everybody.
func (b *bell) all() {
	for name, ring := range b.rings {
		close(ring)
		delete(b.rings, name)
	}
}
