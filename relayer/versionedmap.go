package relayer

import (
	"container/list"
	"iter"
)

// maxTombstones bounds the number of keys that are kept after the removal of their values.
const maxTombstones = 4096

// versionedMap keeps the latest change of each key in the order of the changes, so that a
// reader gets what has changed since the version it read last. The zero value is not usable.
type versionedMap[K comparable, V any] struct {
	// version is the version of the newest change.
	version  uint64
	elements map[K]*list.Element
	// changes holds a *change for each key, the newest first.
	changes *list.List
	// tombstones is the number of removed keys in changes, and iterations that of the
	// iterations under way, which keep them.
	tombstones int
	iterations int
}

// change is the latest change of a key: its value, or that the value was removed.
type change[K comparable, V any] struct {
	key     K
	value   V
	removed bool
	version uint64
}

func newVersionedMap[K comparable, V any]() *versionedMap[K, V] {
	return &versionedMap[K, V]{elements: map[K]*list.Element{}, changes: list.New()}
}

// count returns the number of keys that have values.
func (m *versionedMap[K, V]) count() int { return len(m.elements) - m.tombstones }

// get returns the value of a key, if it has one.
func (m *versionedMap[K, V]) get(key K) (V, bool) {
	if e := m.elements[key]; e != nil {
		c := e.Value.(*change[K, V])
		return c.value, !c.removed
	}
	var zero V
	return zero, false
}

// set sets the value of a key.
func (m *versionedMap[K, V]) set(key K, value V) { m.put(key, value, false) }

// remove removes the value of a key, if it has one.
func (m *versionedMap[K, V]) remove(key K) {
	if _, ok := m.get(key); ok {
		var zero V
		m.put(key, zero, true)
	}
}

// put makes a change of a key the newest one.
func (m *versionedMap[K, V]) put(key K, value V, removed bool) {
	m.version++
	c := &change[K, V]{key: key, value: value, removed: removed, version: m.version}
	e := m.elements[key]
	if e == nil {
		m.elements[key] = m.changes.PushFront(c)
	} else {
		if e.Value.(*change[K, V]).removed {
			m.tombstones--
		}
		e.Value = c
		m.changes.MoveToFront(e)
	}
	if removed {
		m.tombstones++
		m.pruneTombstones()
	}
}

// pruneTombstones deletes the keys that were removed first while there are too many. During an
// iteration it does nothing.
func (m *versionedMap[K, V]) pruneTombstones() {
	if m.iterations > 0 {
		return
	}
	for e := m.changes.Back(); e != nil && m.tombstones > maxTombstones; {
		previous := e.Prev()
		if c := e.Value.(*change[K, V]); c.removed {
			m.changes.Remove(e)
			delete(m.elements, c.key)
			m.tombstones--
		}
		e = previous
	}
}

// since returns the changes after a version, the newest first. The value of the key yielded
// last may be set or removed during the iteration.
func (m *versionedMap[K, V]) since(version uint64) iter.Seq[*change[K, V]] {
	return func(yield func(*change[K, V]) bool) {
		m.iterations++
		defer m.endIteration()
		for e := m.changes.Front(); e != nil; {
			next, c := e.Next(), e.Value.(*change[K, V])
			if c.version <= version || !yield(c) {
				return
			}
			e = next
		}
	}
}

// endIteration ends an iteration and deletes the tombstones that were kept for it.
func (m *versionedMap[K, V]) endIteration() {
	m.iterations--
	m.pruneTombstones()
}

// all returns the keys that have values and the values, the newest change first. The map may
// be changed during the iteration as with since.
func (m *versionedMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for c := range m.since(0) {
			if !c.removed && !yield(c.key, c.value) {
				return
			}
		}
	}
}
