package allocator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoadsWithinHomes guards against a model that is loaded where the waiting requests may not run,
// and against a load that stays there once only such requests wait.
func TestLoadsWithinHomes(t *testing.T) {
	now := time.Hour + 2*time.Second
	for centre, load := range map[string]string{"x": "in-x/unused", "y": "in-y/unused"} {
		a := evacuatedPool(time.Hour)
		a.UpdateStatus(now, emptyEngine("in-x"))
		a.UpdateStatus(now, emptyEngine("in-y"))
		a.SetDemand("unused", Demand{Count: 1, Value: 1, TargetTime: now + time.Second, FirstArrival: now})
		assert.Equal(t, len(loads(a, now)), 1)
		a.SetDemand("unused", Demand{Count: 1, Value: 1, TargetTime: now + time.Second, FirstArrival: now, Centres: []string{centre}})
		assert.DeepEqual(t, loads(a, now), []string{load})
		a.SetDemand("unused", Demand{Count: 1, Value: 1, TargetTime: now + time.Second, FirstArrival: now, Centres: []string{"elsewhere"}})
		assert.Equal(t, len(loads(a, now)), 0)
	}
}
