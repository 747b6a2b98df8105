package assembler

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAssembly checks that events are passed on in their order, none twice and none left out.
func TestAssembly(t *testing.T) {
	a := New(3)
	assert.Assert(t, a.CheckEvent(2) != nil)
	assert.Assert(t, a.CheckEvent(4) != nil)
	assert.NilError(t, a.CheckEvent(3))
	a.Pass()
	assert.Assert(t, a.CheckEvent(3) != nil)
	assert.Equal(t, a.Next(), uint64(4))
	assert.Assert(t, !a.Begun())
}
