package relayer

import (
	"container/list"
	"iter"
)

// maxGone bounds the keys of a feed that are kept after their values are gone.
const maxGone = 4096

// feed keeps the newest value of each key in the order of the changes, so that a
// reader gets what has changed since it last looked. The zero feed is not usable.
type feed[K comparable, V any] struct {
	stamp   uint64
	items   map[K]*list.Element
	changes *list.List
	gone    int
}

// change is the newest value of a key, or that it has none any more.
type change[K comparable, V any] struct {
	key   K
	value V
	gone  bool
	stamp uint64
}

func newFeed[K comparable, V any]() *feed[K, V] {
	return &feed[K, V]{items: map[K]*list.Element{}, changes: list.New()}
}

// get returns the value of a key, if it has one.
func (f *feed[K, V]) get(key K) (V, bool) {
	if e := f.items[key]; e != nil {
		c := e.Value.(*change[K, V])
		return c.value, !c.gone
	}
	var none V
	return none, false
}

// set gives a key a value.
func (f *feed[K, V]) set(key K, value V) { f.put(key, value, false) }

// drop takes the value of a key away, if it has one.
func (f *feed[K, V]) drop(key K) {
	if _, ok := f.get(key); ok {
		var none V
		f.put(key, none, true)
	}
}

func (f *feed[K, V]) put(key K, value V, gone bool) {
	f.stamp++
	c := &change[K, V]{key: key, value: value, gone: gone, stamp: f.stamp}
	e := f.items[key]
	if e == nil {
		f.items[key] = f.changes.PushFront(c)
	} else {
		if e.Value.(*change[K, V]).gone {
			f.gone--
		}
		e.Value = c
		f.changes.MoveToFront(e)
	}
	if gone {
		f.gone++
		f.forget()
	}
}

// forget forgets the keys that lost their values first, if there are too many.
func (f *feed[K, V]) forget() {
	for e := f.changes.Back(); e != nil && f.gone > maxGone; {
		before := e.Prev()
		if c := e.Value.(*change[K, V]); c.gone {
			f.changes.Remove(e)
			delete(f.items, c.key)
			f.gone--
		}
		e = before
	}
}

// since returns the changes after a stamp, the newest first.
func (f *feed[K, V]) since(stamp uint64) iter.Seq[*change[K, V]] {
	return func(yield func(*change[K, V]) bool) {
		for e := f.changes.Front(); e != nil; {
			next, c := e.Next(), e.Value.(*change[K, V])
			if c.stamp <= stamp || !yield(c) {
				return
			}
			e = next
		}
	}
}

// all returns the keys that have values, the newest change first.
func (f *feed[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for c := range f.since(0) {
			if !c.gone && !yield(c.key, c.value) {
				return
			}
		}
	}
}
