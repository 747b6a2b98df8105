package relayer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFeed lets readers that look now and then end up with what is there, whatever was
// set and dropped between their looks.
func TestFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFeed[string, int]()
		have := map[string]int{}
		readers := make([]map[string]int, 3)
		stamps := make([]uint64, 3)
		for i := range readers {
			readers[i] = map[string]int{}
		}
		look := func(i int) {
			for c := range f.since(stamps[i]) {
				if c.gone {
					delete(readers[i], c.key)
				} else {
					readers[i][c.key] = c.value
				}
			}
			stamps[i] = f.stamp
		}
		for step := range rapid.IntRange(0, 100).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				f.set(key, step)
				have[key] = step
			case 1:
				f.drop(key)
				delete(have, key)
			case 2:
				look(rapid.IntRange(0, 2).Draw(t, "reader"))
			}
		}
		for i := range readers {
			look(i)
			assert.DeepEqual(t, readers[i], have)
		}
		all := map[string]int{}
		for key, value := range f.all() {
			all[key] = value
		}
		assert.DeepEqual(t, all, have)
	})
}

// TestFeedForgets bounds what is kept of keys that are gone, and drops while it is read.
func TestFeedForgets(t *testing.T) {
	f := newFeed[string, int]()
	for i := range 3 * maxGone {
		f.set(fmt.Sprint(i), i)
	}
	for key := range f.all() {
		f.drop(key)
	}
	assert.Assert(t, len(f.items) <= maxGone)
	for range f.all() {
		t.Fatal("a key is left")
	}
}
