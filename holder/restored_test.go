package holder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/placer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// tenureRecord holds which entry had which fencing number of each shard.
type tenureRecord map[tenureKey]string

type tenureKey struct {
	shard uint32
	epoch uint64
}

// check checks that no shard has two holders now, and that no fencing number was given to two.
func (r tenureRecord) check(t *testing.T, f *fixture, what string) {
	t.Helper()
	for i, n := range f.holderCounts() {
		assert.Assert(t, n <= 1, "%s: shard %d has %d holders", what, i, n)
	}
	for name, h := range f.entries {
		h.mu.Lock()
		for _, s := range h.shards {
			if s.tenure == nil || !s.tenure.Held(h.clock()) {
				continue
			}
			key := tenureKey{shard: s.index, epoch: s.tenure.Epoch()}
			other := r[key]
			if other == "" {
				r[key] = name
			}
			assert.Check(t, other == "" || other == name, "%s: epoch %d of shard %d was given to %s and %s", what, key.epoch, key.shard, other, name)
		}
		h.mu.Unlock()
	}
}

// restoreRun plays restores of the store, and entries that are replaced, in an order drawn from a seed.
type restoreRun struct {
	*fixture
	random  *rand.Rand
	backups []faker.TableCopy
	tenures tenureRecord
}

// step plays one second.
func (r *restoreRun) step(t *testing.T, what string) {
	t.Helper()
	switch r.random.IntN(12) {
	case 0, 1:
		r.backups = append(r.backups, r.platform.Copy())
	case 2:
		recent := r.backups[max(0, len(r.backups)-4):]
		r.platform.Restore(recent[r.random.IntN(len(recent))])
	case 3:
		r.replace(threeEntries[r.random.IntN(len(threeEntries))])
	}
	r.tick()
	r.tenures.check(t, r.fixture, what)
}

// tick lets a second pass. One entry in four is paused for it.
func (r *restoreRun) tick() {
	var names []string
	for _, name := range threeEntries {
		if r.random.IntN(4) > 0 {
			names = append(names, name)
		}
	}
	r.run(time.Second, names...)
}

// replace starts an entry anew: the tenures of its earlier process end with that.
func (r *restoreRun) replace(name string) {
	for key, holder := range r.tenures {
		if holder == name {
			r.tenures[key] = name + ", earlier"
		}
	}
	r.startEntry(name)
}

// TestHoldersAfterRestore guards against two holders of a shard, a fencing number that is given out
// twice, and shards without a holder for good, because the store was set back.
func TestHoldersAfterRestore(t *testing.T) {
	for seed := range uint64(60) {
		f := newFixture(t, testChange(0, 0), threeEntries...)
		r := &restoreRun{fixture: f, random: rand.New(rand.NewPCG(seed, 1)), tenures: tenureRecord{}}
		r.backups = append(r.backups, f.platform.Copy())
		f.run(20*time.Second, threeEntries...)
		r.tenures.check(t, f, "at the start")
		for range 100 {
			r.step(t, fmt.Sprint("seed ", seed))
		}
		f.run(40*time.Second, threeEntries...)
		r.tenures.check(t, f, "at the end")
		for i, n := range f.holderCounts() {
			assert.Equal(t, n, 1, "seed %d: shard %d after 40 s without a restore", seed, i)
		}
	}
}

// TestReplicasAfterRestore guards against a replica that is loaded beyond what was decided, because the
// row of its slot is gone or older and its holder forgets it.
func TestReplicasAfterRestore(t *testing.T) {
	for _, known := range []bool{false, true} {
		change := testChange(1, 1)
		change.Models[0].Replicas = 1
		f := newFixture(t, change, threeEntries...)
		a, b := f.attachSidecars()
		f.run(10*time.Second, threeEntries...)
		holder := f.holderOf(ModelShard("m0", testShards))
		find := func() (*wire.ReplicaList, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return holder.FindReplicas(ctx, &wire.ReplicaQuery{Model: "m0", Left: 1000})
		}
		if known {
			_, err := find()
			assert.NilError(t, err)
		}
		backup := f.platform.Copy()
		if !known {
			_, err := find()
			assert.NilError(t, err)
		}
		f.platform.Restore(backup)
		f.run(5*time.Second, threeEntries...)
		assert.Equal(t, f.holderOf(ModelShard("m0", testShards)), holder)
		_, err := find()
		assert.NilError(t, err)
		resident := 0
		for _, sidecar := range []*fakeSidecar{a, b} {
			sidecar.mu.Lock()
			if sidecar.state == wire.State_STATE_RESIDENT {
				resident++
			}
			sidecar.mu.Unlock()
		}
		assert.Equal(t, resident, 1)
		rows, err := f.platform.List(context.Background(), "slot/")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1, "the slot's row was not written again")
		slot := &wire.Slot{}
		assert.NilError(t, storer.Decode(rows[0].Value, slot))
		assert.Equal(t, holder.Replicas()["m0"][0].Phase, placer.Resident)
		assert.Equal(t, slot.GetInstance(), holder.Replicas()["m0"][0].Instance)
	}
}

// TestHolderGoesOnAfterRestore guards against a shard that loses its holder because the store lost the
// holder's row, or has that of the holder before.
func TestHolderGoesOnAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier time.Duration
	}{
		{"without a row", 0},
		{"with the row of the holder before", 10 * time.Second},
	} {
		f := newFixture(t, testChange(0, 0), threeEntries...)
		f.run(c.earlier, threeEntries...)
		backup := f.platform.Copy()
		f.run(10*time.Second, threeEntries...)
		first := f.holderOf(0)
		f.run(40*time.Second, otherEntries(first.selfName)...)
		f.run(5*time.Second, threeEntries...)
		holder := f.holderOf(0)
		assert.Assert(t, holder != nil && holder != first, c.name)
		f.platform.Restore(backup)
		for second := range 30 {
			f.run(time.Second, threeEntries...)
			assert.Equal(t, f.holderOf(0), holder, "%s, after %d s", c.name, second)
		}
	}
}

// load returns the sidecar on which a model's replica is, after a query that may load it and the end of
// that load.
func (f *fixture) load(t *testing.T, sidecars map[string]*fakeSidecar) (instance string, epoch uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	holder := f.holderOf(ModelShard("m0", testShards))
	_, err := holder.FindReplicas(ctx, &wire.ReplicaQuery{Model: "m0", Left: 1000})
	assert.NilError(t, err)
	for loading := true; loading; time.Sleep(time.Millisecond) {
		holder.mu.Lock()
		loading = holder.shards[ModelShard("m0", testShards)].models["m0"].loading
		holder.mu.Unlock()
	}
	slot := holder.Replicas()["m0"][0]
	assert.Equal(t, sidecars[slot.Instance].epoch, slot.Epoch)
	return slot.Instance, slot.Epoch
}

// TestUnloadAfterRestore guards against a holder that forgets where a replica is, because the row of its
// slot is that of an earlier replica.
func TestUnloadAfterRestore(t *testing.T) {
	change := testChange(1, 1)
	change.Models[0].Replicas = 1
	f := newFixture(t, change, threeEntries...)
	a, b := f.attachSidecars()
	sidecars := map[string]*fakeSidecar{"engine-a": a, "engine-b": b}
	f.run(10*time.Second, threeEntries...)
	holder := f.holderOf(ModelShard("m0", testShards))
	unload := func(instance string, epoch uint64) error {
		return holder.MarkUnloaded(context.Background(), &wire.UnloadNotice{Slot: &wire.Slot{Model: "m0", Instance: instance, Epoch: epoch}})
	}
	instance, epoch := f.load(t, sidecars)
	backup := f.platform.Copy()
	assert.NilError(t, unload(instance, epoch))
	sidecars[instance].free = 0
	sidecars[instance].state = wire.State_STATE_ABSENT
	second, secondEpoch := f.load(t, sidecars)
	assert.Assert(t, second != instance && secondEpoch > epoch)
	f.platform.Restore(backup)
	err := unload(second, secondEpoch)
	if err != nil {
		assert.Equal(t, holder.Replicas()["m0"][0].Instance, second)
		assert.NilError(t, unload(second, secondEpoch))
	}
	assert.Equal(t, len(holder.Replicas()["m0"]), 0)
}

// TestSlotFenceAfterRestore guards against a fencing number of an order to load that is given out twice:
// the holder that gave it out is gone, and so is the row.
func TestSlotFenceAfterRestore(t *testing.T) {
	change := testChange(1, 1)
	change.Models[0].Replicas = 1
	f := newFixture(t, change, threeEntries...)
	a, b := f.attachSidecars()
	sidecars := map[string]*fakeSidecar{"engine-a": a, "engine-b": b}
	f.run(10*time.Second, threeEntries...)
	backup := f.platform.Copy()
	instance, lost := f.load(t, sidecars)
	f.platform.Restore(backup)
	// The replica is gone as well; otherwise it would be known again.
	sidecars[instance].state = wire.State_STATE_ABSENT
	for _, name := range threeEntries {
		f.startEntry(name)
	}
	f.run(40*time.Second, threeEntries...)
	_, epoch := f.load(t, sidecars)
	assert.Assert(t, epoch > lost, "%d after %d", epoch, lost)
}

// TestLostSlotOfGoneHolder guards against a replica that is loaded beyond what was decided, because the
// store has lost the row of the slot and its holder is gone.
func TestLostSlotOfGoneHolder(t *testing.T) {
	change := testChange(1, 1)
	change.Models[0].Replicas = 1
	f := newFixture(t, change, threeEntries...)
	a, b := f.attachSidecars()
	sidecars := map[string]*fakeSidecar{"engine-a": a, "engine-b": b}
	f.run(10*time.Second, threeEntries...)
	backup := f.platform.Copy()
	instance, epoch := f.load(t, sidecars)
	f.platform.Restore(backup)
	for _, name := range threeEntries {
		f.startEntry(name)
	}
	f.run(40*time.Second, threeEntries...)
	sidecars[instance].free = 0
	second, secondEpoch := f.load(t, sidecars)
	assert.Equal(t, second, instance)
	assert.Equal(t, secondEpoch, epoch)
	assert.Equal(t, a.loadCount()+b.loadCount(), 1)
	rows, err := f.platform.List(context.Background(), "slot/")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1, "the slot's row was not written again")
}

// TestFirstReadInLaterEra guards against a second holder of a shard: an entry that first reads the
// store in a later era finds no rows and takes that for proof that there are no holders, while those
// whose rows are lost have not heard of the era.
func TestFirstReadInLaterEra(t *testing.T) {
	f := newFixture(t, testChange(0, 0), threeEntries...)
	empty := f.platform.Copy()
	started, stale := threeEntries[0], threeEntries[1:]
	f.setEntries(stale...)
	f.run(10*time.Second, stale...)
	f.setEntries(threeEntries...)
	f.platform.Restore(empty)
	f.startEntry(started)
	held := 0
	for range 2 * testLease / time.Second {
		f.run(time.Second, started)
		for i, n := range f.holderCounts() {
			assert.Assert(t, n <= 1, "shard %d has %d holders", i, n)
		}
		for _, name := range stale {
			for _, s := range f.entries[name].Shards() {
				if s.Held {
					held++
				}
			}
		}
	}
	assert.Assert(t, held > 0, "no holder was left")
	f.run(5*time.Second, started)
	assert.Assert(t, f.entries[started].HeldShards() > 0)
}
