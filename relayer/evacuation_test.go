package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/wire"
)

// TestEvacuationReachesEveryProcess guards against a process that does not learn of an evacuated data
// centre, or of its end, from its relay: an entry, a sidecar, another relay, and one that links later.
func TestEvacuationReachesEveryProcess(t *testing.T) {
	fs := NewFleetState("relay", "c", configurer.New(), faker.DiscardLogger())
	now := time.Hour
	var links []uint64
	for _, role := range []string{Entry, Sidecar, Relay} {
		links = append(links, fs.Join(now, &wire.Link{Name: role, Role: role, Centre: "c"}))
	}
	for _, id := range links {
		assert.Assert(t, fs.Batch(now, id).GetEvacuations() == nil, "a batch without evacuations has them")
	}
	version := uint64(0)
	for _, centres := range [][]string{{"x"}, {"x", "y"}, nil} {
		version += 5
		fs.UpdateEvacuated(now, version, centres)
		assert.Equal(t, len(fs.Due(now)), len(links), "a change is not sent at once")
		for _, id := range links {
			message := fs.Batch(now, id).GetEvacuations()
			assert.Equal(t, message.GetVersion(), version)
			assert.DeepEqual(t, message.GetCentres(), centres)
			assert.Assert(t, fs.Batch(now, id).GetEvacuations() == nil, "it is sent again")
		}
		late := fs.Join(now, &wire.Link{Name: "late", Role: Entry, Centre: "c"})
		assert.Equal(t, fs.Batch(now, late).GetEvacuations().GetVersion(), version)
		fs.Leave(now, late)
	}
}

// TestOlderEvacuationsOfRelay guards against the set of a relay that has heard of less: after a change
// here it does not come back, and one that has heard of more is passed on.
func TestOlderEvacuationsOfRelay(t *testing.T) {
	fs := NewFleetState("relay", "c", configurer.New(), faker.DiscardLogger())
	now := time.Hour
	entry := fs.Join(now, &wire.Link{Name: "entry", Role: Entry, Centre: "c"})
	fs.OpenFeed(now, "d", "other")
	fs.UpdateEvacuated(now, 7, []string{"x"})
	fs.ApplyFeed(now, "d", "address", &wire.Batch{Evacuations: &wire.Evacuations{Version: 6}})
	assert.DeepEqual(t, fs.Batch(now, entry).GetEvacuations().GetCentres(), []string{"x"})
	fs.ApplyFeed(now, "d", "address", &wire.Batch{Evacuations: &wire.Evacuations{Version: 8, Centres: []string{"y"}}})
	assert.DeepEqual(t, fs.Batch(now, entry).GetEvacuations().GetCentres(), []string{"y"})
	fs.ApplyFeed(now, "d", "address", &wire.Batch{})
	assert.DeepEqual(t, fs.evacuator.Centres(), []string{"y"})
}

// TestEvacuatedEngineGetsNoLoads guards against a load that another relay, which does not know of the
// evacuation yet, requests of an engine there, and against one that was requested before.
func TestEvacuatedEngineGetsNoLoads(t *testing.T) {
	fs := NewFleetState("relay", "c", configurer.New(), faker.DiscardLogger())
	now := time.Hour
	fs.UpdateServers(now, []*wire.ListedServer{{Id: "e", Row: 1, Pool: "p", Address: "a", Centre: "x", Born: 1}})
	sidecar := fs.Join(now, &wire.Link{Name: "s", Role: Sidecar, Centre: "x", Backend: "a"})
	fs.Report(now, sidecar, &wire.Report{Condition: &wire.EngineStatus{Server: "e", Born: 1, Started: 1, Number: 1}})
	fs.OpenFeed(now, "d", "other")
	fs.ApplyFeed(now, "d", "address", &wire.Batch{Wants: []*wire.LoadRequest{{Server: "e", Model: "m", Count: 1, Worth: 1, Goal: 100}}})
	assert.Equal(t, len(fs.Batch(now, sidecar).GetTell().GetWants()), 1)
	fs.UpdateEvacuated(now, 1, []string{"x"})
	tell := fs.Batch(now, sidecar).GetTell()
	assert.Assert(t, tell != nil && len(tell.GetWants()) == 0)
	fs.UpdateEvacuated(now, 2, nil)
	assert.Equal(t, len(fs.Batch(now, sidecar).GetTell().GetWants()), 1)
}
