package allocator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoadsAtVersion guards against a model that is loaded at another version of the software than that
// at which a stream has to go on, and against one that nobody loads because no engine has the version.
func TestLoadsAtVersion(t *testing.T) {
	now := time.Hour + 2*time.Second
	for version, load := range map[string]string{"v1": "in-x/unused", "v2": "in-y/unused"} {
		a := evacuatedPool(time.Hour)
		for id, software := range map[string]string{"in-x": "v1", "in-y": "v2"} {
			s := a.fleet.Get(id).Server()
			s.Software = software
			a.UpdateServer(s)
			a.UpdateStatus(now, emptyEngine(id))
		}
		demand := Demand{Count: 1, Value: 1, TargetTime: now + time.Second, FirstArrival: now}
		a.SetDemand("unused", demand)
		assert.Equal(t, len(loads(a, now)), 1)
		demand.Software = []string{version}
		a.SetDemand("unused", demand)
		assert.DeepEqual(t, loads(a, now), []string{load})
		demand.Software = []string{"v3"}
		a.SetDemand("unused", demand)
		assert.Equal(t, len(loads(a, now)), 1)
	}
}
