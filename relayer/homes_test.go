package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/wire"
)

// TestDemandKeepsCentres guards against a demand whose requests may run in some data centres only and
// that reaches another relay without them, and against one that is confined to them although requests
// wait that may run anywhere.
func TestDemandKeepsCentres(t *testing.T) {
	fs := NewFleetState("relay", "c", configurer.New(), faker.DiscardLogger())
	now := time.Hour
	relay := fs.Join(now, &wire.Link{Name: "other", Role: Relay, Centre: "d"})
	var entries []uint64
	for _, name := range []string{"a", "b", "c"} {
		entries = append(entries, fs.Join(now, &wire.Link{Name: name, Role: Entry, Centre: "c"}))
	}
	fs.Batch(now, relay)
	for i, c := range []struct{ centres, expected []string }{{[]string{"x"}, []string{"x"}}, {[]string{"y", "x"}, []string{"x", "y"}}, {nil, nil}} {
		fs.Report(now, entries[i], &wire.Report{Waiting: true, Needs: []*wire.LoadRequest{{Model: "m", Count: 1, Worth: 1, Goal: 100, Centres: c.centres}}})
		needs := fs.Batch(now, relay).GetNeeds()
		assert.Equal(t, len(needs), 1)
		assert.DeepEqual(t, needs[0].GetCentres(), c.expected)
	}
}
