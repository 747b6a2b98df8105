package holder

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// publish publishes a change of the configuration that follows a version.
func (f *fixture) publish(base uint64, change *wire.Change) {
	f.t.Helper()
	s := syncer.New(f.platform, f.platform, configurer.New())
	assert.NilError(f.t, s.Pull(context.Background(), f.clock.Now()))
	assert.NilError(f.t, s.Publish(context.Background(), f.clock.Now(), base, change, storer.Transaction{}))
}

// findTimeout bounds a search for replicas, which would wait for the fixture's clock.
const findTimeout = 5 * time.Second

// find returns the instances of the replicas of m0.
func (f *fixture) find(h *Holder) []string {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	replicas, err := h.FindReplicas(ctx, &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(f.t, err)
	var names []string
	for _, spot := range replicas.GetSpots() {
		names = append(names, spot.GetInstance())
	}
	return names
}

// TestReplicaInEvacuatedCentreIsReplaced guards against a model whose only replica is in an evacuated
// data centre and that is not loaded elsewhere before that replica has ended, and against replicas
// beyond those allowed after it has.
func TestReplicaInEvacuatedCentreIsReplaced(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	h := f.holderOf(ModelShard("m0", testShards))
	first := f.find(h)
	assert.Equal(t, len(first), 1)
	centre, other := "ca", "engine-b"
	if first[0] == "engine-b" {
		centre, other = "cb", "engine-a"
	}
	f.publish(1, &wire.Change{Evacuate: []*wire.EvacuatedCentre{{Name: centre}}})
	f.run(2*time.Second, threeEntries...)
	assert.DeepEqual(t, f.find(h), []string{other})
	assert.Equal(t, a.loadCount()+b.loadCount(), 2)
	for range 3 {
		assert.DeepEqual(t, f.find(h), []string{other})
	}
	_, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000, Full: true})
	assert.NilError(t, err)
	f.run(3*time.Second, threeEntries...)
	assert.Equal(t, a.loadCount()+b.loadCount(), 2)
}

// TestNoLoadWhenAllEvacuated guards against a load in an evacuated data centre because there is no other.
func TestNoLoadWhenAllEvacuated(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	f.publish(1, &wire.Change{Evacuate: []*wire.EvacuatedCentre{{Name: "ca"}, {Name: "cb"}}})
	f.run(2*time.Second, threeEntries...)
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	_, err := f.holderOf(ModelShard("m0", testShards)).FindReplicas(ctx, &wire.ReplicaQuery{Model: "m0", Left: 3000})
	assert.Assert(t, err != nil)
	assert.Equal(t, a.loadCount()+b.loadCount(), 0)
}
