package locator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// setFetching changes a status to that of an engine that has an empty disk and is loading o
// from the weight store.
func setFetching(s *wire.EngineStatus) {
	s.Disk = nil
	s.Fetching = true
	s.Tasks = []*wire.PendingLoad{{Model: "o", Left: 6000}}
}

// reportFetching reports the statuses of six engines that have restarted with empty disks,
// the first of which are fetching from the weight store.
func (fx *fixture) reportFetching(fetches int) {
	for i := range 6 {
		if i < fetches {
			fx.reportStatus(i, setFetching)
		} else {
			fx.reportStatus(i, clearDisk)
		}
	}
}

// TestFetchQueueRefusesEarly checks the case in which nearly all engines were replaced by
// ones with empty disks, and as many are fetching as the weight store serves at full speed.
// A request whose model cannot be fetched in time is refused immediately. One with a later
// deadline waits, and its model is loaded once a fetch has ended.
func TestFetchQueueRefusesEarly(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 6)
		time.Sleep(startupGrace)
		fx.reportFetching(4)
		time.Sleep(time.Second)
		fx.reportFetching(4)
		short := <-fx.find(context.Background(), fx.newRequest("m", 8*time.Second))
		assert.Assert(t, refuser.Is(short.err, refuser.DeadlineExceeded), "%v", short.err)
		assert.Equal(t, refuser.FromError(short.err).RetryAfter(), maxRetryAfter)
		assert.Equal(t, fx.assignedEngine("m", 6), -1)
		results := fx.find(context.Background(), fx.newRequest("m", 15*time.Second))
		assert.Equal(t, fx.assignedEngine("m", 6), -1)
		time.Sleep(2 * time.Second)
		fx.reportFetching(4)
		assert.Equal(t, fx.assignedEngine("m", 6), -1)
		time.Sleep(2 * time.Second)
		fx.reportFetching(3)
		time.Sleep(maxFetchDelay)
		fx.reportFetching(3)
		assigned := fx.assignedEngine("m", 6)
		assert.Assert(t, assigned >= 0)
		fx.reportStatus(assigned, nil, "m")
		assert.NilError(t, (<-results).err)
	})
}

// TestConcurrentFetchesRefuseEarly checks that a request whose model is being fetched while
// seven other fetches share the weight store is refused immediately if it cannot wait for
// twice the usual time, which the sidecar still reports.
func TestConcurrentFetchesRefuseEarly(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 8)
		time.Sleep(startupGrace)
		for i := range 8 {
			fx.reportStatus(i, setFetching)
		}
		found := <-fx.find(context.Background(), fx.newRequest("o", 8*time.Second))
		assert.Assert(t, refuser.Is(found.err, refuser.DeadlineExceeded), "%v", found.err)
	})
}
