package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestEvacuatedServersGetNoWork guards against servers of an evacuated data centre that get new work,
// of a pool or for a model, and against those that get none after its end. Requests there still count.
func TestEvacuatedServersGetNoWork(t *testing.T) {
	f := New()
	for id, centre := range map[string]string{"a": "x", "b": "y"} {
		f.UpdateServer(Server{ID: id, Address: id, Pool: "p", Centre: centre, Started: 1, Inventory: Inventory{Models: []string{"m"}}})
		f.UpdateStatus(time.Hour, &wire.EngineStatus{Server: id, Born: 1, Models: []string{"m"}})
	}
	f.StartRequest(time.Hour, "a", "m")
	names := func(list []*Backend) (ids []string) {
		for _, b := range list {
			ids = append(ids, b.Server().ID)
		}
		return ids
	}
	f.SetEvacuated([]string{"x", "unknown"})
	assert.DeepEqual(t, names(f.Pool("p")), []string{"b"})
	assert.DeepEqual(t, names(f.Holders("m")), []string{"b"})
	assert.Equal(t, f.InflightAtEvacuated(), 1)
	assert.Assert(t, !f.EvacuatedPool("p"))
	f.SetEvacuated([]string{"x", "y"})
	assert.Equal(t, len(f.Pool("p")), 0)
	assert.Assert(t, f.EvacuatedPool("p") && !f.EvacuatedPool("other"))
	f.SetEvacuated(nil)
	assert.DeepEqual(t, names(f.Pool("p")), []string{"a", "b"})
	assert.DeepEqual(t, names(f.Holders("m")), []string{"a", "b"})
}
