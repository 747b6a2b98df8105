package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestMemberWithoutName guards against a relay candidate without a name: no relay can answer
// under it, and a process that uses such a relay counts as using none.
func TestMemberWithoutName(t *testing.T) {
	ms := NewMembership()
	ms.Update(&wire.Member{Role: "sidecar", Centre: "c", Address: "x", Row: 1}, &wire.Member{Name: "side", Role: "sidecar", Centre: "c", Address: "y", Row: 1}, nil)
	candidates := ms.RelayCandidates(time.Hour, "c", "")
	assert.Equal(t, len(candidates), 1)
	assert.Equal(t, candidates[0].GetName(), "side")
	assert.Equal(t, len(ms.All()), 1)
}
