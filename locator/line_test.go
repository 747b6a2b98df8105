package locator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// fetching is a sidecar's word that its engine, with an empty disk, loads o from the
// weight store.
func fetching(s *wire.EngineStatus) {
	s.Disk = nil
	s.Fetching = true
	s.Tasks = []*wire.PendingLoad{{Model: "o", Left: 6000}}
}

// tellLine is the word of six engines that came back with empty disks, of which the
// first ones fetch.
func (r *rig) tellLine(fetches int) {
	for i := range 6 {
		if i < fetches {
			r.state(i, fetching)
		} else {
			r.state(i, bare)
		}
	}
}

// TestLineRefusesEarly is the load after nearly all engines were replaced by ones
// with empty disks: as many load from the weight store as it serves at full speed.
// A request that cannot have its model in time is refused at once, and one that can
// waits for its turn and gets it when a load has ended.
func TestLineRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 6)
		time.Sleep(meetTime)
		r.tellLine(4)
		time.Sleep(time.Second)
		r.tellLine(4)
		short := <-r.find(context.Background(), r.request("m", 8*time.Second))
		assert.Assert(t, refuser.Is(short.err, refuser.Late), "%v", short.err)
		assert.Equal(t, refuser.Of(short.err).Retry(), retryMost)
		assert.Equal(t, r.wanted("m", 6), -1)
		got := r.find(context.Background(), r.request("m", 15*time.Second))
		assert.Equal(t, r.wanted("m", 6), -1)
		time.Sleep(2 * time.Second)
		r.tellLine(4)
		assert.Equal(t, r.wanted("m", 6), -1)
		time.Sleep(2 * time.Second)
		r.tellLine(3)
		time.Sleep(turnDelay)
		r.tellLine(3)
		at := r.wanted("m", 6)
		assert.Assert(t, at >= 0)
		r.state(at, nil, "m")
		assert.NilError(t, (<-got).err)
	})
}

// TestLineIsLate is a load from the weight store beside seven others, of which the
// sidecar expects the usual time: requests that cannot wait for the double of it are
// refused at once.
func TestLineIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 8)
		time.Sleep(meetTime)
		for i := range 8 {
			r.state(i, fetching)
		}
		f := <-r.find(context.Background(), r.request("o", 8*time.Second))
		assert.Assert(t, refuser.Is(f.err, refuser.Late), "%v", f.err)
	})
}
