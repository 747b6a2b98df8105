package locator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/dispatcher"
)

// TestFarTargetTimeIsNotLate guards against a target time of some weeks, as a route with a huge
// number has it, that wraps around and is reported as missed long ago.
func TestFarTargetTimeIsNotLate(t *testing.T) {
	for _, days := range []time.Duration{1, 30, 49} {
		r := &dispatcher.Request{Started: time.Hour, TargetTime: time.Hour + days*24*time.Hour}
		d := &demand{name: "m", waiting: map[*dispatcher.Request]struct{}{r: {}}}
		goal := d.loadRequest(time.Hour, nil).GetGoal()
		assert.Assert(t, goal > 0, "%d after %d days", goal, days)
	}
}
