package allocator

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestOddResident guards against an engine that is asked for every model because one of the
// models in its memory has an odd cost of an unload, and against estimates in the past.
func TestOddResident(t *testing.T) {
	for _, odd := range []*wire.Resident{
		{Model: "odd", Bytes: 90, Keep: math.NaN()},
		{Model: "odd", Bytes: 90, Keep: math.Inf(1)},
		{Model: "odd", Bytes: 90, Keep: math.Inf(-1)},
		{Model: "odd", Bytes: 90, Keep: -1e300},
		{Model: "odd", Bytes: 90, Keep: 1e300},
		{Model: "odd", Bytes: math.MaxUint64},
		{Model: "", Bytes: 90},
	} {
		f := newFixture()
		f.report("y", "busy", 1)
		f.allocator.UpdateStatus(f.now, &wire.EngineStatus{Server: "x", Born: 1, Started: 1, Number: 1, Disk: []string{"busy", "rare"}, Residents: []*wire.Resident{odd}})
		f.allocator.SetDemand("rare", Demand{Count: 1, Value: 1, TargetTime: f.now + time.Second, FirstArrival: f.now})
		decision := f.allocator.Decide(f.now, func(string) bool { return true })
		assert.Equal(t, decision.Loads[0].GetServer(), "y", "%v", odd)
		left := decision.Estimates[0].Ready - f.now
		assert.Assert(t, left > 0 && left < 2*time.Second, "%v left: %v", left, odd)
	}
}

// TestOddFreeMemory guards against an engine that is asked for every model because its sidecar
// reports more free memory than the engines of the pool have.
func TestOddFreeMemory(t *testing.T) {
	f := newFixture()
	f.report("y", "", 1)
	f.allocator.UpdateStatus(f.now, &wire.EngineStatus{Server: "x", Born: 1, Started: 1, Number: 1, Memory: []string{"rare"}, Free: math.MaxUint64})
	status := f.allocator.fleet.Get("x").Status(f.now)
	candidate := f.allocator.candidate(f.now, f.allocator.fleet.Get("x"), f.allocator.baseModel("rare"), 0)
	assert.Equal(t, status.GetFree(), uint64(math.MaxUint64))
	assert.Equal(t, candidate.Free, uint64(0))
}
