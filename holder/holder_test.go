package holder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/peer"
	"oleanderstall/placer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// fakeSidecar is a sidecar that counts its loads. It refuses loads with refusal if that
// is set, and delays the response to a load until loadGate is closed if that is set.
type fakeSidecar struct {
	mu       sync.Mutex
	loads    int
	free     uint64
	fence    uint64
	epoch    uint64
	state    wire.State
	refusal  *refuser.Refusal
	loadGate chan struct{}
}

func (f *fakeSidecar) handle(_ context.Context, call *wire.Call, s peer.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch b := call.GetBody().(type) {
	case *wire.Call_Bid:
		f.fence = max(f.fence, b.Bid.GetFence().GetEpoch())
		offer := &wire.Offer{Free: f.free, State: f.state, Epoch: f.epoch}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Offer{Offer: offer}})
	case *wire.Call_Load:
		if f.refusal != nil {
			_ = s.Send(f.refusal.Reply())
			return
		}
		f.loads++
		f.epoch, f.state = b.Load.GetSlot().GetEpoch(), wire.State_STATE_RESIDENT
		if loadGate := f.loadGate; loadGate != nil {
			f.mu.Unlock()
			<-loadGate
			f.mu.Lock()
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Loaded{Loaded: &wire.Loaded{Slot: b.Load.GetSlot()}}})
	}
}

// loadCount returns the number of loads.
func (f *fakeSidecar) loadCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

// attachSidecars attaches two sidecars with free memory to the network.
func (f *fixture) attachSidecars() (a, b *fakeSidecar) {
	a, b = &fakeSidecar{free: 1000}, &fakeSidecar{free: 1000}
	f.network.Attach("engine-a", a.handle)
	f.network.Attach("engine-b", b.handle)
	return a, b
}

var threeEntries = []string{"entry-a", "entry-b", "entry-c"}

// otherEntries returns the names of threeEntries except name.
func otherEntries(name string) []string {
	var others []string
	for _, other := range threeEntries {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// TestEveryShardIsHeldOnce checks that each shard has one holder after three entries
// have started.
func TestEveryShardIsHeldOnce(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.run(10*time.Second, threeEntries...)
	assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
}

// TestTakeover pauses the holder of a shard. Another entry must take the shard over, no
// shard may have two holders at any time, and the paused entry must hold no shard when
// it continues.
func TestTakeover(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.run(10*time.Second, threeEntries...)
	paused := f.holderOf(0)
	others := otherEntries(paused.selfName)
	for range 40 {
		f.run(time.Second, others...)
		for _, n := range f.holderCounts() {
			assert.Assert(t, n <= 1)
		}
	}
	assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
	assert.Equal(t, paused.HeldShards(), 0)
	paused.Tick(context.Background())
	assert.Equal(t, paused.HeldShards(), 0)
}

// TestHoldersSurviveOutage checks that all holders keep their shards while the platform
// is down for ten minutes, by the pledges of their candidates.
func TestHoldersSurviveOutage(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.run(10*time.Second, threeEntries...)
	f.platform.SetDown(true)
	for range 600 {
		f.run(time.Second, threeEntries...)
		assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
	}
	f.platform.SetDown(false)
	f.run(20*time.Second, threeEntries...)
	assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
}

// TestOutageAfterNewEntry starts a second entry beside a single one, and the platform
// goes down as soon as the first entry has seen the second in the instance list. The
// shards must be kept by the pledges of the new entry.
func TestOutageAfterNewEntry(t *testing.T) {
	both := []string{"entry-a", "entry-b"}
	for phase := range 4 {
		f := newFixture(t, testChange(1, 1), "entry-a")
		f.run(10*time.Second+time.Duration(phase)*time.Second, "entry-a")
		f.setEntries(both...)
		f.startEntry("entry-b")
		for !containsInstance(f.members["entry-a"].Instances("entry"), "entry-b") {
			f.run(time.Second, both...)
		}
		f.platform.SetDown(true)
		f.run(30*time.Second, both...)
		assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
	}
}

func containsInstance(list []storer.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in storer.Instance) bool { return in.Name == name })
}

// TestIsolatedHoldersLoseShards checks that holders lose their shards when they can
// reach neither the platform nor each other.
func TestIsolatedHoldersLoseShards(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.run(10*time.Second, threeEntries...)
	f.platform.SetDown(true)
	for _, name := range threeEntries {
		f.network.SetUnreachable(name, true)
	}
	f.run(testLease+time.Second, threeEntries...)
	assert.DeepEqual(t, f.holderCounts(), []int{0, 0, 0, 0})
}

// TestAllEntriesReplaced replaces all entries at once. The new entries, which were never
// candidates, must take all shards.
func TestAllEntriesReplaced(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.run(10*time.Second, threeEntries...)
	f.entries = map[string]*Holder{}
	f.setEntries("entry-x", "entry-y")
	f.startEntry("entry-x")
	f.startEntry("entry-y")
	f.run(40*time.Second, "entry-x", "entry-y")
	assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
}

// TestRelease checks that the shards of an entry that releases them are taken by the
// others within a few ticks, without waiting for a lease time.
func TestRelease(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.run(10*time.Second, threeEntries...)
	leaving := f.holderOf(0)
	leaving.releaseShards()
	others := otherEntries(leaving.selfName)
	f.setEntries(others...)
	f.run(3*time.Second, others...)
	assert.DeepEqual(t, f.holderCounts(), []int{1, 1, 1, 1})
}

// TestConcurrentQueriesLoadOnce checks that a hundred concurrent queries for a cold
// model cause one load.
func TestConcurrentQueriesLoadOnce(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	h := f.holderOf(ModelShard("m0", testShards))
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			replicas, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
			assert.Check(t, err)
			assert.Check(t, len(replicas.GetSpots()) == 1)
		})
	}
	wg.Wait()
	assert.Equal(t, a.loadCount()+b.loadCount(), 1)
}

// TestLostLoadResponse loses the response to a load that was executed. The slot must not
// be assigned again, and the replica must be found by a check.
func TestLostLoadResponse(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	h := f.holderOf(ModelShard("m0", testShards))
	for _, name := range []string{"engine-a", "engine-b"} {
		target := map[string]*fakeSidecar{"engine-a": a, "engine-b": b}[name]
		f.network.Attach(name, func(ctx context.Context, call *wire.Call, s peer.Stream) {
			if call.GetLoad() != nil {
				target.handle(ctx, call, &discardStream{Stream: s})
				return
			}
			target.handle(ctx, call, s)
		})
	}
	replicas, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	assert.Equal(t, len(replicas.GetSpots()), 1)
	assert.Equal(t, a.loadCount()+b.loadCount(), 1)
}

// discardStream is a stream that drops all replies.
type discardStream struct{ peer.Stream }

func (d *discardStream) Send(*wire.Reply) error { return nil }

// TestSlotOfUnreachableInstance queries a model while the instance with its only replica
// is unreachable. No second replica may be loaded, and the caller must get a refusal
// with a retry time. Once the platform no longer lists the instance, another one must
// load the model.
func TestSlotOfUnreachableInstance(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	h := f.holderOf(ModelShard("m0", testShards))
	replicas, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	lost := replicas.GetSpots()[0].GetInstance()
	f.network.SetUnreachable(lost, true)
	h.markMissing("m0", lost)
	f.run(2*doubtTimeout, threeEntries...)
	_, err = h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	h.tasks.Wait()
	_, err = h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Equal(t, a.loadCount()+b.loadCount(), 1)

	f.platform.SetInstances(instancesWithout(f, lost)...)
	f.run(2*testLease, threeEntries...)
	h = f.holderOf(ModelShard("m0", testShards))
	_, _ = h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 10})
	h.tasks.Wait()
	replicas, err = h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	assert.Assert(t, replicas.GetSpots()[0].GetInstance() != lost)
	assert.Equal(t, a.loadCount()+b.loadCount(), 2)
}

// instancesWithout returns the listed instances except the one of that name.
func instancesWithout(f *fixture, name string) []storer.Instance {
	list, _, err := f.platform.Instances(context.Background(), "")
	assert.NilError(f.t, err)
	var kept []storer.Instance
	for _, in := range list {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	return kept
}

// TestNewHolderKnowsReplicas checks that a new holder finds the replica that was loaded
// under the old one.
func TestNewHolderKnowsReplicas(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	index := ModelShard("m0", testShards)
	old := f.holderOf(index)
	_, err := old.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	old.releaseShards()
	others := otherEntries(old.selfName)
	f.setEntries(others...)
	f.run(4*time.Second, others...)
	next := f.holderOf(index)
	assert.Assert(t, next != old)
	replicas, err := next.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	assert.Equal(t, len(replicas.GetSpots()), 1)
	assert.Equal(t, a.loadCount()+b.loadCount(), 1)
}

// TestNoEngineHasRoom checks that a query is refused with a retry time if no engine has
// room.
func TestNoEngineHasRoom(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	a.free, b.free = 10, 10
	f.run(10*time.Second, threeEntries...)
	h := f.holderOf(ModelShard("m0", testShards))
	_, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	assert.Equal(t, a.loadCount()+b.loadCount(), 0)
}

// TestOutageRefusesLoads checks that a cold model is not loaded during an outage of the
// platform, since its slot cannot be recorded.
func TestOutageRefusesLoads(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	h := f.holderOf(ModelShard("m0", testShards))
	assert.NilError(t, h.readSlots(context.Background(), "m0"))
	f.platform.SetDown(true)
	_, err := h.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.PlatformUnavailable))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Equal(t, a.loadCount()+b.loadCount(), 0)
}

// TestChargeAfterTakeover checks that a bucket share starts empty at a new holder, and
// that a refund for a charge at the old holder is ignored.
func TestChargeAfterTakeover(t *testing.T) {
	f := newFixture(t, testChange(0, 1), threeEntries...)
	f.run(time.Minute, threeEntries...)
	index := BucketShard("w0", 0, testShards)
	old := f.holderOf(index)
	oldGrant, err := old.Charge(&wire.Charge{Workspace: "w0", Want: 400})
	assert.NilError(t, err)
	assert.Equal(t, oldGrant.GetTokens(), 400.0)
	old.releaseShards()
	others := otherEntries(old.selfName)
	f.setEntries(others...)
	f.run(2*time.Second, others...)
	next := f.holderOf(index)
	grant, err := next.Charge(&wire.Charge{Workspace: "w0", Want: 500})
	assert.NilError(t, err)
	assert.Assert(t, grant.GetTokens() <= 50*3, "%g tokens", grant.GetTokens())
	refund := &wire.Refund{Workspace: "w0", Epoch: oldGrant.GetEpoch(), At: oldGrant.GetAt(), Tokens: 400}
	assert.NilError(t, next.Refund(refund))
	grant, err = next.Charge(&wire.Charge{Workspace: "w0", Want: 500})
	assert.NilError(t, err)
	assert.Equal(t, grant.GetTokens(), 0.0)
	_, err = old.Charge(&wire.Charge{Workspace: "w0", Want: 1})
	assert.Assert(t, refuser.Is(err, refuser.NotResident))
}

// TestPausedHolderGrantsNothing checks that a holder that was paused until its lease
// expired refuses charges and queries, even if it has not noticed the expiry yet.
func TestPausedHolderGrantsNothing(t *testing.T) {
	f := newFixture(t, testChange(1, 1), threeEntries...)
	f.attachSidecars()
	f.run(time.Minute, threeEntries...)
	bucketHolder := f.holderOf(BucketShard("w0", 0, testShards))
	modelHolder := f.holderOf(ModelShard("m0", testShards))
	f.clock.Advance(testLease)
	_, err := bucketHolder.Charge(&wire.Charge{Workspace: "w0", Want: 1})
	assert.Assert(t, refuser.Is(err, refuser.NotResident))
	_, err = modelHolder.FindReplicas(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: timer.ToMillis(time.Second)})
	assert.Assert(t, refuser.Is(err, refuser.NotResident))
}

// TestSlotsNeverExceeded queries a model with and without the flag that its replicas are
// full, while responses of the sidecars get lost. There must never be more replicas than
// the model may have, nor more than the slots that the holder records as taken.
func TestSlotsNeverExceeded(t *testing.T) {
	change := testChange(1, 1)
	change.Models[0].Replicas = 1
	f := newFixture(t, change, threeEntries...)
	a, b := f.attachSidecars()
	f.run(10*time.Second, threeEntries...)
	for step := range 40 {
		h := f.holderOf(ModelShard("m0", testShards))
		f.network.SetReplyLoss([]string{"engine-a", "engine-b"}[step%2], step%3 == 0)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		_, _ = h.FindReplicas(ctx, &wire.ReplicaQuery{Model: "m0", Left: 100, Full: step%2 == 0})
		cancel()
		f.run(time.Second, threeEntries...)
		resident := 0
		for _, sidecar := range []*fakeSidecar{a, b} {
			sidecar.mu.Lock()
			if sidecar.state == wire.State_STATE_RESIDENT {
				resident++
			}
			sidecar.mu.Unlock()
		}
		assert.Assert(t, resident <= 1, "step %d", step)
		taken := 0
		for _, s := range h.Replicas()["m0"] {
			if s.Phase != placer.Vacant {
				taken++
			}
		}
		assert.Assert(t, taken >= resident, fmt.Sprint("step ", step))
	}
}
