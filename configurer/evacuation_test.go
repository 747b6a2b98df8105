package configurer

import (
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestEvacuated guards against an evacuation that is lost in a snapshot, that goes on after it was
// dropped, or that changes a view which was taken before.
func TestEvacuated(t *testing.T) {
	c := New()
	assert.NilError(t, c.Apply(&wire.Change{Version: 1, Evacuate: []*wire.EvacuatedCentre{{Name: "y"}, {Name: "x"}, {}}}))
	before := c.View()
	assert.DeepEqual(t, before.EvacuatedCentres(), []string{"x", "y"})
	assert.Equal(t, len(before.Omitted()), 1)
	restored := New()
	restored.Restore(before.Snapshot())
	assert.DeepEqual(t, restored.View().EvacuatedCentres(), []string{"x", "y"})
	assert.NilError(t, c.Apply(&wire.Change{Version: 2, Drops: []string{"evacuate/x"}}))
	assert.Assert(t, !c.View().Evacuated("x") && c.View().Evacuated("y"))
	assert.Assert(t, before.Evacuated("x"))
}
