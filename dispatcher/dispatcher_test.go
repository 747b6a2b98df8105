package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/holder"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// sidecar is a scripted sidecar: each call takes the next script, the last one
// repeats.
type sidecar struct {
	mu      sync.Mutex
	scripts []func(call *wire.Call, s peer.Stream)
	calls   int
}

func (f *sidecar) handle(_ context.Context, call *wire.Call, s peer.Stream) {
	if call.GetBid() != nil {
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Offer{Offer: &wire.Offer{
			Free: 1 << 40, State: wire.State_STATE_RESIDENT, Epoch: call.GetBid().GetFence().GetEpoch(),
		}}})
		return
	}
	if call.GetLoad() != nil {
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Loaded{Loaded: &wire.Loaded{Slot: call.GetLoad().GetSlot()}}})
		return
	}
	f.mu.Lock()
	script := f.scripts[min(f.calls, len(f.scripts)-1)]
	f.calls++
	f.mu.Unlock()
	script(call, s)
}

func (f *sidecar) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// rig is one entry before scripted sidecars.
type rig struct {
	t          testing.TB
	clock      *faker.Clock
	platform   *faker.Platform
	network    *faker.Network
	dispatcher *Dispatcher
	syncer     *syncer.Syncer
	view       *configurer.View
}

func newRig(t testing.TB, pool string, replicas uint32, sidecars map[string]*sidecar) *rig {
	r := &rig{t: t, clock: faker.NewClock(), platform: faker.NewPlatform(), network: faker.NewNetwork()}
	l := faker.Silent()
	c := configurer.New()
	s := syncer.New(r.platform, r.platform, c)
	assert.NilError(t, s.Publish(context.Background(), 0, 0, &wire.Change{
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 1e9, Burst: 1e9, Weight: 1, Shares: 2}},
		Keys:       []*wire.Key{{Id: "k", Workspace: "w"}},
		Models:     []*wire.Model{{Name: "m", Bytes: 1, Replicas: replicas, Workspaces: []string{"w"}, Context: 100}},
	}, storer.Transaction{}))
	self := storer.Instance{Name: "entry", Role: "entry", Centre: "c", Address: "entry"}
	list := []storer.Instance{self}
	for name, f := range sidecars {
		list = append(list, storer.Instance{Name: name, Role: "sidecar", Pool: pool, Address: name})
		r.network.Attach(name, f.handle)
	}
	r.platform.SetInstances(list...)
	m := member.New(self, r.clock.Now, r.network, r.platform, s, c, l)
	m.Poll(context.Background())
	rec, mt := recorder.New("entry", 64), meter.New()
	h := holder.New(holder.Options{Shards: 1, Lease: 6 * time.Second}, r.clock.Now, r.network, r.platform, m, rec, mt, l)
	h.Tick(context.Background())
	r.clock.Advance(time.Second)
	r.dispatcher = New(1, r.clock.Now, r.network, m, h, rec, mt, l)
	r.view, r.syncer = c.View(), s
	return r
}

// fill loads that many replicas.
func (r *rig) fill(n int) {
	for range n {
		r.dispatcher.forget("m")
		_, err := r.dispatcher.ask(context.Background(), &wire.ReplicaQuery{Model: "m", Full: true}, r.clock.Now()+time.Minute)
		assert.NilError(r.t, err)
		time.Sleep(20 * time.Millisecond)
	}
	r.dispatcher.forget("m")
}

func (r *rig) model() *Model {
	return &Model{
		ID: "r1", Key: &wire.Key{Id: "k", Workspace: "w"}, Workspace: r.view.Workspace("w"), Model: r.view.Model("m"),
		Body: []byte("{}"), Cost: 100, Output: 50, Deadline: r.clock.Now() + time.Minute,
	}
}

func (r *rig) run(m *Model) (string, error) {
	var text strings.Builder
	_, err := r.dispatcher.Run(context.Background(), m, func(s string) error {
		text.WriteString(s)
		return nil
	})
	return text.String(), err
}

func piece(id string, i uint32) *wire.Reply {
	text := fmt.Sprintf("t%d ", i)
	if id == "other" {
		text = "not yours "
	}
	return &wire.Reply{Body: &wire.Reply_Piece{Piece: &wire.Piece{Id: id, Index: i, Text: text}}}
}

func finish(id string, n uint32) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Finish{Finish: &wire.Finish{Id: id, Reason: "stop", Prompt: 3, Output: n}}}
}

// tokens sends the tokens from where the request resumes up to until, and the
// end of the answer if that is all of them.
func tokens(until, all uint32) func(*wire.Call, peer.Stream) {
	return func(call *wire.Call, s peer.Stream) {
		run := call.GetRun()
		for i := run.GetSent(); i < until; i++ {
			_ = s.Send(piece(run.GetId(), i))
		}
		if until == all {
			_ = s.Send(finish(run.GetId(), all))
		}
	}
}

func send(replies ...*wire.Reply) func(*wire.Call, peer.Stream) {
	return func(_ *wire.Call, s peer.Stream) {
		for _, r := range replies {
			_ = s.Send(r)
		}
	}
}

const whole = "t0 t1 t2 t3 "

// TestResume cuts a stream after two tokens. It goes on at the other replica
// with the same text.
func TestResume(t *testing.T) {
	a := &sidecar{scripts: []func(*wire.Call, peer.Stream){tokens(2, 4), tokens(4, 4)}}
	b := &sidecar{scripts: a.scripts}
	r := newRig(t, storer.EnginePool, 2, map[string]*sidecar{"a": a, "b": b})
	r.fill(2)
	text, err := r.run(r.model())
	assert.NilError(t, err)
	assert.Equal(t, text, whole)
}

// TestBrokenStreams sends answers that are crossed, late, doubled, reordered or
// short. The caller gets the whole answer from the next attempt, or none.
func TestBrokenStreams(t *testing.T) {
	tests := map[string]func(*wire.Call, peer.Stream){
		"crossed":     send(piece("other", 0), finish("other", 1)),
		"crossed end": send(piece("r1", 0), finish("other", 1)),
		"doubled":     send(piece("r1", 0), piece("r1", 0), finish("r1", 2)),
		"reordered":   send(piece("r1", 1), piece("r1", 0), finish("r1", 2)),
		"gap":         send(piece("r1", 0), piece("r1", 2), finish("r1", 2)),
		"short":       send(piece("r1", 0), finish("r1", 4)),
		"no end":      send(piece("r1", 0)),
		"nothing":     send(),
		"wrong kind":  send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}),
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			f := &sidecar{scripts: []func(*wire.Call, peer.Stream){first, tokens(4, 4)}}
			r := newRig(t, storer.EnginePool, 1, map[string]*sidecar{"a": f})
			text, err := r.run(r.model())
			assert.NilError(t, err)
			assert.Equal(t, text, whole)
		})
	}
}

// TestRefusedAfterTokens refuses at the second attempt, with never. The caller
// had tokens already, so it is told unknown.
func TestRefusedAfterTokens(t *testing.T) {
	f := &sidecar{scripts: []func(*wire.Call, peer.Stream){
		tokens(2, 4),
		send(refuser.New(refuser.Unauthorized, "withdrawn").Reply()),
	}}
	r := newRig(t, storer.EnginePool, 1, map[string]*sidecar{"a": f})
	text, err := r.run(r.model())
	assert.Equal(t, text, "t0 t1 ")
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, !refuser.Of(err).Never())
}

// TestRetryBudget fails every attempt. The load on the sidecars stays bounded.
func TestRetryBudget(t *testing.T) {
	busy := &sidecar{scripts: []func(*wire.Call, peer.Stream){send(refuser.New(refuser.Busy, "full").After(time.Second).Reply())}}
	r := newRig(t, storer.EnginePool, 2, map[string]*sidecar{"a": busy, "b": busy})
	r.fill(2)
	const requests = 1000
	for range requests {
		_, err := r.run(r.model())
		assert.Assert(t, refuser.Is(err, refuser.Busy))
		assert.Assert(t, refuser.Of(err).Never())
		assert.Assert(t, refuser.Of(err).Retry() > 0)
	}
	assert.Assert(t, busy.count() <= requests*12/10, "%d calls for %d requests", busy.count(), requests)
}

func order(id string, idempotent bool) *Service {
	return &Service{
		ID: id, Key: &wire.Key{Id: "k", Workspace: "w"}, Path: "/orders", Deadline: time.Hour + time.Minute,
		Route: &wire.Route{Name: "reserve", Method: "POST", Path: "/orders", Pool: "orders", Idempotent: idempotent},
	}
}

// TestOrderNotRepeated loses answers and streams of orders. An order that may
// have run goes to no second sidecar, and the refusal does not say never.
func TestOrderNotRepeated(t *testing.T) {
	tests := map[string]func(*wire.Call, peer.Stream){
		"stream lost":     send(),
		"outcome unknown": send(refuser.Unknown(refuser.Lost, "no answer").Reply()),
		"crossed answer":  send(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "other", Status: 201}}}),
		"wrong kind":      send(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}),
	}
	for name, script := range tests {
		t.Run(name, func(t *testing.T) {
			f := &sidecar{scripts: []func(*wire.Call, peer.Stream){script}}
			r := newRig(t, "orders", 1, map[string]*sidecar{"a": f, "b": f})
			_, err := r.dispatcher.Invoke(context.Background(), order("o1", false))
			assert.Assert(t, err != nil)
			assert.Assert(t, !refuser.Of(err).Never())
			assert.Equal(t, f.count(), 1)
		})
	}
}

// TestOrderMovesOn refuses an order with never at one sidecar. The other runs it.
func TestOrderMovesOn(t *testing.T) {
	f := &sidecar{scripts: []func(*wire.Call, peer.Stream){
		send(refuser.New(refuser.Leaving, "leaving").Reply()),
		send(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}}),
	}}
	r := newRig(t, "orders", 1, map[string]*sidecar{"a": f, "b": f})
	answer, err := r.dispatcher.Invoke(context.Background(), order("o1", false))
	assert.NilError(t, err)
	assert.Equal(t, answer.GetStatus(), uint32(201))
	assert.Equal(t, f.count(), 2)
}

// TestOrderNeverSent cuts the network before every sidecar.
func TestOrderNeverSent(t *testing.T) {
	f := &sidecar{}
	r := newRig(t, "orders", 1, map[string]*sidecar{"a": f, "b": f})
	r.network.Cut("a", true)
	r.network.Cut("b", true)
	_, err := r.dispatcher.Invoke(context.Background(), order("o1", false))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Assert(t, refuser.Of(err).Retry() > 0)
}

// TestLeavingGetsNothing tells the entry that a sidecar leaves.
func TestLeavingGetsNothing(t *testing.T) {
	ok := send(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}})
	a, b := &sidecar{scripts: []func(*wire.Call, peer.Stream){ok}}, &sidecar{scripts: []func(*wire.Call, peer.Stream){ok}}
	r := newRig(t, "orders", 1, map[string]*sidecar{"a": a, "b": b})
	r.dispatcher.Leave(&wire.LeaveNotice{Instance: "a"})
	for range 50 {
		_, err := r.dispatcher.Invoke(context.Background(), order("o1", false))
		assert.NilError(t, err)
	}
	assert.Equal(t, a.count(), 0)
	assert.Equal(t, b.count(), 50)
}

// TestSuccessorGetsWork restarts a sidecar that had said that it leaves. Its
// successor of the same name gets work again, and until the list names it, callers
// are refused at once.
func TestSuccessorGetsWork(t *testing.T) {
	f := &sidecar{scripts: []func(*wire.Call, peer.Stream){tokens(4, 4)}}
	r := newRig(t, storer.EnginePool, 1, map[string]*sidecar{"a": f})
	r.fill(1)
	r.dispatcher.Leave(&wire.LeaveNotice{Instance: "a"})
	begun := time.Now()
	_, err := r.run(r.model())
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.Of(err).Never())
	assert.Assert(t, refuser.Of(err).Retry() > 0)
	assert.Assert(t, time.Since(begun) < 10*time.Second)
	self := r.dispatcher.member.Self()
	r.platform.SetInstances(self, storer.Instance{
		Name: "a", Role: "sidecar", Pool: storer.EnginePool, Address: "a", Started: 2,
	})
	r.clock.Advance(2 * time.Second)
	r.dispatcher.member.Poll(context.Background())
	text, err := r.run(r.model())
	assert.NilError(t, err)
	assert.Equal(t, text, whole)
}

// TestKeyWithdrawnMidStream withdraws the key of a request between two tokens of
// its answer. The stream ends there, and the sidecar's side is given up.
func TestKeyWithdrawnMidStream(t *testing.T) {
	var r *rig
	ended := make(chan struct{})
	f := &sidecar{scripts: []func(*wire.Call, peer.Stream){func(call *wire.Call, s peer.Stream) {
		defer close(ended)
		tokens(2, 4)(call, s)
		for r.dispatcher.member.View().Key("k") != nil {
			time.Sleep(time.Millisecond)
		}
		_ = s.Send(piece("r1", 2))
		<-s.Context().Done()
	}}}
	r = newRig(t, storer.EnginePool, 1, map[string]*sidecar{"a": f})
	m := r.model()
	var text strings.Builder
	_, err := r.dispatcher.Run(context.Background(), m, func(s string) error {
		text.WriteString(s)
		if text.String() != "t0 t1 " {
			return nil
		}
		change := &wire.Change{Drops: []string{"key/k"}, Token: "t"}
		return r.syncer.Publish(context.Background(), r.clock.Now(), 1, change, storer.Transaction{})
	})
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, !refuser.Of(err).Never())
	assert.Equal(t, text.String(), "t0 t1 ")
	<-ended
	assert.Equal(t, f.count(), 1)
}

// TestNeverAfterUnknown refuses a request with never after an attempt that may
// have run, at a sidecar, at the holder, and at a plain service. The caller is
// told unknown.
func TestNeverAfterUnknown(t *testing.T) {
	busy := send(refuser.New(refuser.Busy, "full").After(time.Second).Reply())
	t.Run("sidecar", func(t *testing.T) {
		f := &sidecar{scripts: []func(*wire.Call, peer.Stream){send(), busy}}
		r := newRig(t, storer.EnginePool, 1, map[string]*sidecar{"a": f})
		_, err := r.run(r.model())
		assert.Assert(t, refuser.Is(err, refuser.Busy))
		assert.Assert(t, !refuser.Of(err).Never())
		assert.Equal(t, f.count(), 2)
	})
	t.Run("holder", func(t *testing.T) {
		f := &sidecar{scripts: []func(*wire.Call, peer.Stream){send()}}
		r := newRig(t, storer.EnginePool, 1, map[string]*sidecar{"a": f})
		f.scripts[0] = func(*wire.Call, peer.Stream) { r.clock.Advance(59500 * time.Millisecond) }
		_, err := r.run(r.model())
		assert.Assert(t, err != nil)
		assert.Assert(t, !refuser.Of(err).Never(), err.Error())
	})
	t.Run("service", func(t *testing.T) {
		f := &sidecar{scripts: []func(*wire.Call, peer.Stream){send(), busy}}
		r := newRig(t, "orders", 1, map[string]*sidecar{"a": f, "b": f})
		_, err := r.dispatcher.Invoke(context.Background(), order("o1", true))
		assert.Assert(t, refuser.Is(err, refuser.Busy))
		assert.Assert(t, !refuser.Of(err).Never())
	})
}
