package pacer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGate checks which answers begin and end a limit: one to a request that was sent before the
// limit was last named ends none.
func TestGate(t *testing.T) {
	var g Gate
	early, _, ok := g.Admit(0)
	assert.Assert(t, ok)
	named, _, ok := g.Admit(0)
	assert.Assert(t, ok)
	assert.Assert(t, g.Record(0, named, 2))
	assert.Equal(t, g.Wait(0), 500*time.Millisecond)
	assert.Assert(t, !g.Record(0, early, 0))
	_, wait, ok := g.Admit(0)
	assert.Assert(t, !ok && wait == 500*time.Millisecond)
	late, _, ok := g.Admit(500 * time.Millisecond)
	assert.Assert(t, ok)
	assert.Assert(t, !g.Record(600*time.Millisecond, late, 2))
	assert.Assert(t, g.Record(600*time.Millisecond, late, 4))
	assert.Assert(t, g.Wait(600*time.Millisecond) <= 250*time.Millisecond)
	last, _, ok := g.Admit(time.Second)
	assert.Assert(t, ok)
	assert.Assert(t, g.Record(time.Second, last, 0))
	assert.Equal(t, g.Wait(time.Second), time.Duration(0))
}
