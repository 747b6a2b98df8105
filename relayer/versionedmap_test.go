package relayer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestVersionedMapReaders checks that readers which apply the changes from time to time end
// with the values of the map, whatever was set and removed between their reads.
func TestVersionedMapReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newVersionedMap[string, int]()
		want := map[string]int{}
		readers := make([]map[string]int, 3)
		versions := make([]uint64, 3)
		for i := range readers {
			readers[i] = map[string]int{}
		}
		read := func(i int) {
			for c := range m.since(versions[i]) {
				if c.removed {
					delete(readers[i], c.key)
				} else {
					readers[i][c.key] = c.value
				}
			}
			versions[i] = m.version
		}
		for step := range rapid.IntRange(0, 100).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				m.set(key, step)
				want[key] = step
			case 1:
				m.remove(key)
				delete(want, key)
			case 2:
				read(rapid.IntRange(0, 2).Draw(t, "reader"))
			}
		}
		for i := range readers {
			read(i)
			assert.DeepEqual(t, readers[i], want)
		}
		all := map[string]int{}
		for key, value := range m.all() {
			all[key] = value
		}
		assert.DeepEqual(t, all, want)
	})
}

// TestVersionedMapPrunesTombstones checks that the number of tombstones is bounded and that
// each key may be removed when it is yielded.
func TestVersionedMapPrunesTombstones(t *testing.T) {
	m := newVersionedMap[string, int]()
	for i := range 3 * maxTombstones {
		m.set(fmt.Sprint(i), i)
	}
	for key := range m.all() {
		m.remove(key)
	}
	assert.Assert(t, len(m.elements) <= maxTombstones)
	for range m.all() {
		t.Fatal("a key still has a value")
	}
}

// TestVersionedMapPrunesDuringIteration guards against values that an iteration leaves out
// because the removal of one value prunes the tombstone that comes next.
func TestVersionedMapPrunesDuringIteration(t *testing.T) {
	m := newVersionedMap[string, int]()
	m.set("last", 0)
	m.set("oldest", 0)
	m.remove("oldest")
	m.set("first", 0)
	for i := range maxTombstones - 1 {
		m.set(fmt.Sprint(i), i)
		m.remove(fmt.Sprint(i))
	}
	var yielded []string
	for key := range m.all() {
		yielded = append(yielded, key)
		m.remove(key)
	}
	assert.DeepEqual(t, yielded, []string{"first", "last"})
	assert.Assert(t, m.tombstones <= maxTombstones)
}
