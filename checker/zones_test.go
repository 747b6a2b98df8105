package checker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestZones checks that the regions of the data centres are read, and that a value of another form is a
// fault of its own field.
func TestZones(t *testing.T) {
	s, err := Check([]byte(hostedSettings(map[string]string{"hosted.zones": `{"x":"eu","y":"us"}`})), noEnvironment)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Hosted.Zones, map[string]string{"x": "eu", "y": "us"})
	assert.DeepEqual(t, faultFields(t, hostedSettings(map[string]string{"hosted.zones": `{"x":7,"y":"us"}`})), []string{"hosted.zones.x"})
	assert.DeepEqual(t, faultFields(t, hostedSettings(map[string]string{"hosted.zones": `["x"]`})), []string{"hosted.zones"})
	assert.DeepEqual(t, faultFields(t, hostedSettings(map[string]string{"hosted.zones": `"x"`})), []string{"hosted.zones"})
	assert.DeepEqual(t, faultFields(t, hostedSettings(map[string]string{"hosted.cold_over": `-1`})), []string{"hosted.cold_over"})
}
