package gossiper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/refuser"
)

// messagesMost is the number of messages a second that an entry may send to the
// others, whatever their number.
const messagesMost = 55.0

// TestMessagesBounded is the load of a workspace used at every entry all the time:
// each entry has something new to tell at every look.
func TestMessagesBounded(t *testing.T) {
	for _, n := range []int{4, 27, 60} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(n)
			defer f.stop()
			time.Sleep(3 * time.Second)
			before := f.network.Calls()
			const seconds = 6
			for range seconds * 20 {
				for i := range n {
					_, _ = f.charge(i, 0.01)
				}
				time.Sleep(50 * time.Millisecond)
			}
			rate := float64(f.network.Calls()-before) / float64(n) / seconds
			assert.Assert(t, rate <= messagesMost, "%d entries: %.0f messages a second from each", n, rate)
		})
	}
}

// TestOneLimitOfMany refuses at any of many entries what was used at another.
func TestOneLimitOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 26
		f := newFleet(n)
		defer f.stop()
		time.Sleep(3 * time.Second)
		_, err := f.charge(0, 900)
		assert.NilError(t, err)
		time.Sleep(700 * time.Millisecond)
		for i := range n {
			_, err = f.charge(i, 990)
			assert.Assert(t, refuser.Is(err, refuser.Limited), fmt.Sprint(i))
		}
	})
}
