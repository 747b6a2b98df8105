package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/storer"
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

// TestRestoredMember guards against a process that is looked for at the address of its earlier
// start, because the store has come back from an earlier copy of itself.
func TestRestoredMember(t *testing.T) {
	row := func(era, number uint64, started int64, address string) *wire.Member {
		return &wire.Member{Name: "side", Role: "sidecar", Centre: "c", Address: address, Started: started, Row: storer.NewVersion(era, number)}
	}
	ms := NewMembership()
	ms.Update(row(1, 9, 2, "second"))
	ms.Update(row(2, 3, 1, "first"))
	assert.Equal(t, ms.Find("side").GetAddress(), "second")
	ms.Update(row(2, 4, 2, "again"))
	assert.Equal(t, ms.Find("side").GetAddress(), "again")
	// A process whose clock was set back is found all the same.
	ms.Update(row(2, 5, 1, "third"))
	assert.Equal(t, ms.Find("side").GetAddress(), "third")
	ms.Update(row(1, 99, 3, "late"))
	assert.Equal(t, ms.Find("side").GetAddress(), "third")
}
