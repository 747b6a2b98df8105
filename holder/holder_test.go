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

// fakeEngine is a sidecar that counts what it was made to load.
type fakeEngine struct {
	mu     sync.Mutex
	loads  int
	free   uint64
	fence  uint64
	epoch  uint64
	state  wire.State
	refuse *refuser.Refusal
	gate   chan struct{}
}

func (f *fakeEngine) handle(_ context.Context, call *wire.Call, s peer.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch b := call.GetBody().(type) {
	case *wire.Call_Bid:
		f.fence = max(f.fence, b.Bid.GetFence().GetEpoch())
		offer := &wire.Offer{Free: f.free, State: f.state, Epoch: f.epoch}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Offer{Offer: offer}})
	case *wire.Call_Load:
		if f.refuse != nil {
			_ = s.Send(f.refuse.Reply())
			return
		}
		f.loads++
		f.epoch, f.state = b.Load.GetSlot().GetEpoch(), wire.State_STATE_RESIDENT
		if gate := f.gate; gate != nil {
			f.mu.Unlock()
			<-gate
			f.mu.Lock()
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Loaded{Loaded: &wire.Loaded{Slot: b.Load.GetSlot()}}})
	}
}

func (f *fakeEngine) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

func (r *rig) engines() (a, b *fakeEngine) {
	a, b = &fakeEngine{free: 1000}, &fakeEngine{free: 1000}
	r.network.Attach("engine-a", a.handle)
	r.network.Attach("engine-b", b.handle)
	return a, b
}

var three = []string{"entry-a", "entry-b", "entry-c"}

// except returns the other two of the three entries.
func except(name string) []string {
	var rest []string
	for _, other := range three {
		if other != name {
			rest = append(rest, other)
		}
	}
	return rest
}

// TestEveryShardIsHeldOnce starts three entries.
func TestEveryShardIsHeldOnce(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.run(10*time.Second, three...)
	assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
}

// TestTakeover freezes the holder of a shard. Another entry takes it, never
// while the frozen one would still act, and the frozen one holds nothing when it
// wakes.
func TestTakeover(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.run(10*time.Second, three...)
	frozen := r.owner(0)
	rest := except(frozen.self)
	for range 40 {
		r.run(time.Second, rest...)
		for _, n := range r.holders() {
			assert.Assert(t, n <= 1)
		}
	}
	assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
	assert.Equal(t, frozen.Held(), 0)
	frozen.Tick(context.Background())
	assert.Equal(t, frozen.Held(), 0)
}

// TestOutage keeps the platform down for ten minutes. All holders go on.
func TestOutage(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.run(10*time.Second, three...)
	r.platform.Down(true)
	for range 600 {
		r.run(time.Second, three...)
		assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
	}
	r.platform.Down(false)
	r.run(20*time.Second, three...)
	assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
}

// TestOutageAfterNewEntry starts an entry beside a single one, and takes the
// platform away as soon as the list has named it. The shards go on by its pledges.
func TestOutageAfterNewEntry(t *testing.T) {
	both := []string{"entry-a", "entry-b"}
	for phase := range 4 {
		r := newRig(t, testChange(1, 1), "entry-a")
		r.run(10*time.Second+time.Duration(phase)*time.Second, "entry-a")
		r.list(both...)
		r.start("entry-b")
		for !named(r.members["entry-a"].Instances("entry"), "entry-b") {
			r.run(time.Second, both...)
		}
		r.platform.Down(true)
		r.run(30*time.Second, both...)
		assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
	}
}

func named(list []storer.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in storer.Instance) bool { return in.Name == name })
}

// TestCutOffHolder cuts a holder off from everything, and nobody else.
func TestCutOffHolder(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.run(10*time.Second, three...)
	r.platform.Down(true)
	for _, name := range three {
		r.network.Cut(name, true)
	}
	r.run(testLease+time.Second, three...)
	assert.DeepEqual(t, r.holders(), []int{0, 0, 0, 0})
}

// TestAllReplaced replaces every entry at once. New ones that were never
// candidates take all shards.
func TestAllReplaced(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.run(10*time.Second, three...)
	r.entries = map[string]*Holder{}
	r.list("entry-x", "entry-y")
	r.start("entry-x")
	r.start("entry-y")
	r.run(40*time.Second, "entry-x", "entry-y")
	assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
}

// TestRelease stops an entry as planned. The others have its shards within a few
// ticks, without waiting for a lease.
func TestRelease(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.run(10*time.Second, three...)
	leaving := r.owner(0)
	leaving.release()
	rest := except(leaving.self)
	r.list(rest...)
	r.run(3*time.Second, rest...)
	assert.DeepEqual(t, r.holders(), []int{1, 1, 1, 1})
}

// TestBurstOfFirstRequests asks for a cold model from a hundred callers.
func TestBurstOfFirstRequests(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	a, b := r.engines()
	r.run(10*time.Second, three...)
	h := r.owner(ModelShard("m0", testShards))
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			place, err := h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
			assert.Check(t, err)
			assert.Check(t, len(place.GetSpots()) == 1)
		})
	}
	wg.Wait()
	assert.Equal(t, a.count()+b.count(), 1)
}

// TestLostLoadAnswer loses the answer to an order that took effect. The slot is
// not given away; the replica is found again.
func TestLostLoadAnswer(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	a, b := r.engines()
	r.run(10*time.Second, three...)
	h := r.owner(ModelShard("m0", testShards))
	for _, name := range []string{"engine-a", "engine-b"} {
		target := map[string]*fakeEngine{"engine-a": a, "engine-b": b}[name]
		r.network.Attach(name, func(ctx context.Context, call *wire.Call, s peer.Stream) {
			if call.GetLoad() != nil {
				target.handle(ctx, call, &discard{Stream: s})
				return
			}
			target.handle(ctx, call, s)
		})
	}
	place, err := h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	assert.Equal(t, len(place.GetSpots()), 1)
	assert.Equal(t, a.count()+b.count(), 1)
}

// discard is a stream whose replies get lost.
type discard struct{ peer.Stream }

func (d *discard) Send(*wire.Reply) error { return nil }

// TestSlotOfSilentInstance asks while the instance of the only replica does not
// answer. No second replica is loaded, and the caller is told at once when to
// come back; once the platform lists the instance no longer, another loads it.
func TestSlotOfSilentInstance(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	a, b := r.engines()
	r.run(10*time.Second, three...)
	h := r.owner(ModelShard("m0", testShards))
	place, err := h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	lost := place.GetSpots()[0].GetInstance()
	r.network.Cut(lost, true)
	h.doubt("m0", lost)
	r.run(2*doubtLimit, three...)
	_, err = h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.Of(err).Retry() > 0)
	h.tasks.Wait()
	_, err = h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Equal(t, a.count()+b.count(), 1)

	r.platform.SetInstances(drop(r, lost)...)
	r.run(2*testLease, three...)
	h = r.owner(ModelShard("m0", testShards))
	_, _ = h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 10})
	h.tasks.Wait()
	place, err = h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	assert.Assert(t, place.GetSpots()[0].GetInstance() != lost)
	assert.Equal(t, a.count()+b.count(), 2)
}

func drop(r *rig, name string) []storer.Instance {
	list, _, err := r.platform.Instances(context.Background(), "")
	assert.NilError(r.t, err)
	var kept []storer.Instance
	for _, in := range list {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	return kept
}

// TestNewHolderKnowsReplicas changes the holder after a load.
func TestNewHolderKnowsReplicas(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	a, b := r.engines()
	r.run(10*time.Second, three...)
	index := ModelShard("m0", testShards)
	old := r.owner(index)
	_, err := old.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	old.release()
	rest := except(old.self)
	r.list(rest...)
	r.run(4*time.Second, rest...)
	next := r.owner(index)
	assert.Assert(t, next != old)
	place, err := next.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.NilError(t, err)
	assert.Equal(t, len(place.GetSpots()), 1)
	assert.Equal(t, a.count()+b.count(), 1)
}

// TestNoEngineHasRoom refuses at once and says when to come back.
func TestNoEngineHasRoom(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	a, b := r.engines()
	a.free, b.free = 10, 10
	r.run(10*time.Second, three...)
	h := r.owner(ModelShard("m0", testShards))
	_, err := h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.Of(err).Retry() > 0)
	assert.Equal(t, a.count()+b.count(), 0)
}

// TestOutageRefusesLoads asks for a cold model during an outage: without a
// recorded slot nothing is loaded.
func TestOutageRefusesLoads(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	a, b := r.engines()
	r.run(10*time.Second, three...)
	h := r.owner(ModelShard("m0", testShards))
	assert.NilError(t, h.recall(context.Background(), "m0"))
	r.platform.Down(true)
	_, err := h.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: 60000})
	assert.Assert(t, refuser.Is(err, refuser.Outage))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Equal(t, a.count()+b.count(), 0)
}

// TestChargeAfterTakeover moves a share to a new holder. It starts empty, and the
// old holder's receipts count for nothing.
func TestChargeAfterTakeover(t *testing.T) {
	r := newRig(t, testChange(0, 1), three...)
	r.run(time.Minute, three...)
	index := BucketShard("w0", 0, testShards)
	old := r.owner(index)
	g, err := old.Charge(&wire.Charge{Workspace: "w0", Want: 400})
	assert.NilError(t, err)
	assert.Equal(t, g.GetTokens(), 400.0)
	old.release()
	rest := except(old.self)
	r.list(rest...)
	r.run(2*time.Second, rest...)
	next := r.owner(index)
	got, err := next.Charge(&wire.Charge{Workspace: "w0", Want: 500})
	assert.NilError(t, err)
	assert.Assert(t, got.GetTokens() <= 50*3, "%g tokens", got.GetTokens())
	refund := &wire.Refund{Workspace: "w0", Epoch: g.GetEpoch(), At: g.GetAt(), Tokens: 400}
	assert.NilError(t, next.Refund(refund))
	got, err = next.Charge(&wire.Charge{Workspace: "w0", Want: 500})
	assert.NilError(t, err)
	assert.Equal(t, got.GetTokens(), 0.0)
	_, err = old.Charge(&wire.Charge{Workspace: "w0", Want: 1})
	assert.Assert(t, refuser.Is(err, refuser.Absent))
}

// TestFrozenHolderGrantsNothing charges a holder that was paused past its lease
// and has not noticed.
func TestFrozenHolderGrantsNothing(t *testing.T) {
	r := newRig(t, testChange(1, 1), three...)
	r.engines()
	r.run(time.Minute, three...)
	h := r.owner(BucketShard("w0", 0, testShards))
	m := r.owner(ModelShard("m0", testShards))
	r.clock.Advance(testLease)
	_, err := h.Charge(&wire.Charge{Workspace: "w0", Want: 1})
	assert.Assert(t, refuser.Is(err, refuser.Absent))
	_, err = m.Ask(context.Background(), &wire.ReplicaQuery{Model: "m0", Left: timer.ToMillis(time.Second)})
	assert.Assert(t, refuser.Is(err, refuser.Absent))
}

// TestSlotsNeverExceeded asks, doubts, frees and loses answers at random and
// counts the replicas that the engines hold.
func TestSlotsNeverExceeded(t *testing.T) {
	change := testChange(1, 1)
	change.Models[0].Replicas = 1
	r := newRig(t, change, three...)
	a, b := r.engines()
	r.run(10*time.Second, three...)
	for step := range 40 {
		h := r.owner(ModelShard("m0", testShards))
		r.network.Lose([]string{"engine-a", "engine-b"}[step%2], step%3 == 0)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		_, _ = h.Ask(ctx, &wire.ReplicaQuery{Model: "m0", Left: 100, Full: step%2 == 0})
		cancel()
		r.run(time.Second, three...)
		resident := 0
		for _, f := range []*fakeEngine{a, b} {
			f.mu.Lock()
			if f.state == wire.State_STATE_RESIDENT {
				resident++
			}
			f.mu.Unlock()
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
