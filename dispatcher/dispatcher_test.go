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
	"oleanderstall/restorer"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// scriptedSidecar is a sidecar that answers each call by the next script. The last script
// repeats.
type scriptedSidecar struct {
	mu      sync.Mutex
	scripts []func(call *wire.Call, s peer.Stream)
	calls   int
}

func (f *scriptedSidecar) handle(_ context.Context, call *wire.Call, s peer.Stream) {
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

func (f *scriptedSidecar) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// fixture is one entry with scripted sidecars on a fake network.
type fixture struct {
	t          testing.TB
	clock      *faker.Clock
	platform   *faker.Platform
	network    *faker.Network
	dispatcher *Dispatcher
	claims     *restorer.Restorer
	syncer     *syncer.Syncer
	view       *configurer.View
}

func newFixture(t testing.TB, pool string, replicas uint32, sidecars map[string]*scriptedSidecar) *fixture {
	fx := &fixture{t: t, clock: faker.NewClock(), platform: faker.NewPlatform(), network: faker.NewNetwork()}
	logger := faker.DiscardLogger()
	c := configurer.New()
	s := syncer.New(fx.platform, fx.platform, c)
	assert.NilError(t, s.Publish(context.Background(), 0, 0, &wire.Change{
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 1e9, Burst: 1e9, Weight: 1, Shares: 2}},
		Keys:       []*wire.Key{{Id: "k", Workspace: "w"}},
		Models:     []*wire.Model{{Name: "m", Bytes: 1, Replicas: replicas, Workspaces: []string{"w"}, Context: 100}},
	}, storer.Transaction{}))
	self := storer.Instance{Name: "entry", Role: "entry", Centre: "c", Address: "entry"}
	list := []storer.Instance{self}
	for name, f := range sidecars {
		list = append(list, storer.Instance{Name: name, Role: "sidecar", Centre: "centre-" + name, Pool: pool, Address: name})
		fx.network.Attach(name, f.handle)
	}
	fx.platform.SetInstances(list...)
	m := member.New(self, fx.clock.Now, fx.network, fx.platform, s, c, logger)
	m.Poll(context.Background())
	rec, mt := recorder.New("entry", 64), meter.New()
	h := holder.New(holder.Options{Shards: 1, Lease: 6 * time.Second}, fx.clock.Now, fx.network, fx.platform, m, rec, mt, logger)
	h.Tick(context.Background())
	fx.clock.Advance(time.Second)
	fx.claims = restorer.New("", fx.platform, fx.clock.Now, logger)
	fx.dispatcher = New(1, fx.clock.Now, fx.network, m, h, fx.claims, rec, mt, logger)
	fx.view, fx.syncer = c.View(), s
	return fx
}

// loadReplicas has the holder load n replicas of the model.
func (fx *fixture) loadReplicas(n int) {
	for range n {
		fx.dispatcher.forgetReplicas("m")
		_, err := fx.dispatcher.queryHolder(context.Background(), &wire.ReplicaQuery{Model: "m", Full: true}, fx.clock.Now()+time.Minute)
		assert.NilError(fx.t, err)
		time.Sleep(20 * time.Millisecond)
	}
	fx.dispatcher.forgetReplicas("m")
}

func (fx *fixture) newCompletion() *Completion {
	return &Completion{
		ID: "r1", Key: &wire.Key{Id: "k", Workspace: "w"}, Workspace: fx.view.Workspace("w"), Model: fx.view.Model("m"),
		Body: []byte("{}"), Cost: 100, MaxOutputTokens: 50, Deadline: fx.clock.Now() + time.Minute,
	}
}

func (fx *fixture) run(completion *Completion) (string, error) {
	var text strings.Builder
	_, err := fx.dispatcher.Run(context.Background(), completion, func(s string) error {
		text.WriteString(s)
		return nil
	})
	return text.String(), err
}

func pieceReply(id string, i uint32) *wire.Reply {
	text := fmt.Sprintf("t%d ", i)
	if id == "other" {
		text = "of another request "
	}
	return &wire.Reply{Body: &wire.Reply_Piece{Piece: &wire.Piece{Id: id, Index: i, Text: text}}}
}

func finishReply(id string, n uint32) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Finish{Finish: &wire.Finish{Id: id, Reason: "stop", Prompt: 3, Output: n}}}
}

// sendTokens returns a script that sends the tokens from the one at which the request
// resumes up to until, and the end of the answer if these are all.
func sendTokens(until, all uint32) func(*wire.Call, peer.Stream) {
	return func(call *wire.Call, s peer.Stream) {
		run := call.GetRun()
		for i := run.GetSent(); i < until; i++ {
			_ = s.Send(pieceReply(run.GetId(), i))
		}
		if until == all {
			_ = s.Send(finishReply(run.GetId(), all))
		}
	}
}

func sendReplies(replies ...*wire.Reply) func(*wire.Call, peer.Stream) {
	return func(_ *wire.Call, s peer.Stream) {
		for _, r := range replies {
			_ = s.Send(r)
		}
	}
}

const wholeText = "t0 t1 t2 t3 "

// TestResumeStream cuts a stream after two tokens. Another replica continues it without
// losing or repeating text.
func TestResumeStream(t *testing.T) {
	a := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendTokens(2, 4), sendTokens(4, 4)}}
	b := &scriptedSidecar{scripts: a.scripts}
	fx := newFixture(t, storer.EnginePool, 2, map[string]*scriptedSidecar{"a": a, "b": b})
	fx.loadReplicas(2)
	text, err := fx.run(fx.newCompletion())
	assert.NilError(t, err)
	assert.Equal(t, text, wholeText)
}

// TestMalformedStreams sends answers with tokens that are missing, repeated, reordered or
// of another request. No such token reaches the caller, who gets the complete answer
// from the next attempt.
func TestMalformedStreams(t *testing.T) {
	tests := map[string]func(*wire.Call, peer.Stream){
		"of another request":    sendReplies(pieceReply("other", 0), finishReply("other", 1)),
		"end of another answer": sendReplies(pieceReply("r1", 0), finishReply("other", 1)),
		"repeated":              sendReplies(pieceReply("r1", 0), pieceReply("r1", 0), finishReply("r1", 2)),
		"reordered":             sendReplies(pieceReply("r1", 1), pieceReply("r1", 0), finishReply("r1", 2)),
		"gap":                   sendReplies(pieceReply("r1", 0), pieceReply("r1", 2), finishReply("r1", 2)),
		"short":                 sendReplies(pieceReply("r1", 0), finishReply("r1", 4)),
		"no end":                sendReplies(pieceReply("r1", 0)),
		"nothing":               sendReplies(),
		"wrong kind":            sendReplies(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}),
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){first, sendTokens(4, 4)}}
			fx := newFixture(t, storer.EnginePool, 1, map[string]*scriptedSidecar{"a": f})
			text, err := fx.run(fx.newCompletion())
			assert.NilError(t, err)
			assert.Equal(t, text, wholeText)
		})
	}
}

// TestRefusedAfterTokens refuses the second attempt as not run. The caller has received
// tokens already, so the refusal must not claim that nothing ran.
func TestRefusedAfterTokens(t *testing.T) {
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){
		sendTokens(2, 4),
		sendReplies(refuser.New(refuser.Unauthorized, "withdrawn").Reply()),
	}}
	fx := newFixture(t, storer.EnginePool, 1, map[string]*scriptedSidecar{"a": f})
	text, err := fx.run(fx.newCompletion())
	assert.Equal(t, text, "t0 t1 ")
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, !refuser.FromError(err).NeverRan())
}

// TestRetryBudget lets every attempt fail. The retry budget bounds the calls to the
// sidecars.
func TestRetryBudget(t *testing.T) {
	busy := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendReplies(refuser.New(refuser.Busy, "full").WithRetryAfter(time.Second).Reply())}}
	fx := newFixture(t, storer.EnginePool, 2, map[string]*scriptedSidecar{"a": busy, "b": busy})
	fx.loadReplicas(2)
	const requests = 1000
	for range requests {
		_, err := fx.run(fx.newCompletion())
		assert.Assert(t, refuser.Is(err, refuser.Busy))
		assert.Assert(t, refuser.FromError(err).NeverRan())
		assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	}
	assert.Assert(t, busy.callCount() <= requests*12/10, "%d calls for %d requests", busy.callCount(), requests)
}

func newOrder(id string, idempotent bool) *ServiceCall {
	return &ServiceCall{
		ID: id, Key: &wire.Key{Id: "k", Workspace: "w"}, Path: "/orders", Deadline: time.Hour + time.Minute,
		Route: &wire.Route{Name: "reserve", Method: "POST", Path: "/orders", Pool: "orders", Idempotent: idempotent},
	}
}

// TestOrderNotRepeated loses the answers to orders. An order that may have run must not
// reach a second sidecar, and the refusal must not claim that nothing ran.
func TestOrderNotRepeated(t *testing.T) {
	tests := map[string]func(*wire.Call, peer.Stream){
		"stream lost":            sendReplies(),
		"outcome unknown":        sendReplies(refuser.MayHaveRun(refuser.ConnectionLost, "no answer").Reply()),
		"answer to another call": sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "other", Status: 201}}}),
		"wrong kind":             sendReplies(&wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}),
	}
	for name, script := range tests {
		t.Run(name, func(t *testing.T) {
			f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){script}}
			fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
			_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
			assert.Assert(t, err != nil)
			assert.Assert(t, !refuser.FromError(err).NeverRan())
			assert.Equal(t, f.callCount(), 1)
		})
	}
}

// TestRefusedOrderRetried refuses an order as not run at one sidecar. The other one runs
// it.
func TestRefusedOrderRetried(t *testing.T) {
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){
		sendReplies(refuser.New(refuser.Leaving, "leaving").Reply()),
		sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}}),
	}}
	fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
	answer, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
	assert.NilError(t, err)
	assert.Equal(t, answer.GetStatus(), uint32(201))
	assert.Equal(t, f.callCount(), 2)
}

// TestOrderNeverSent cuts the network to every sidecar. The refusal states that nothing
// ran and when to retry.
func TestOrderNeverSent(t *testing.T) {
	f := &scriptedSidecar{}
	fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
	fx.network.SetUnreachable("a", true)
	fx.network.SetUnreachable("b", true)
	_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
}

// TestLeavingSidecarGetsNoWork sends the leave notice of one sidecar. All later calls go to
// the other one.
func TestLeavingSidecarGetsNoWork(t *testing.T) {
	ok := sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}})
	a, b := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){ok}}, &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){ok}}
	fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": a, "b": b})
	fx.dispatcher.MarkLeaving(&wire.LeaveNotice{Instance: "a"})
	for range 50 {
		_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
		assert.NilError(t, err)
	}
	assert.Equal(t, a.callCount(), 0)
	assert.Equal(t, b.callCount(), 50)
}

// TestRestartedSidecarGetsWork restarts a sidecar after its leave notice. Callers are
// refused at once until the successor of the same name is listed; then it gets work.
func TestRestartedSidecarGetsWork(t *testing.T) {
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendTokens(4, 4)}}
	fx := newFixture(t, storer.EnginePool, 1, map[string]*scriptedSidecar{"a": f})
	fx.loadReplicas(1)
	fx.dispatcher.MarkLeaving(&wire.LeaveNotice{Instance: "a"})
	start := time.Now()
	_, err := fx.run(fx.newCompletion())
	assert.Assert(t, refuser.Is(err, refuser.Busy))
	assert.Assert(t, refuser.FromError(err).NeverRan())
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	assert.Assert(t, time.Since(start) < 10*time.Second)
	self := fx.dispatcher.member.Self()
	fx.platform.SetInstances(self, storer.Instance{
		Name: "a", Role: "sidecar", Pool: storer.EnginePool, Address: "a", Started: 2,
	})
	fx.clock.Advance(2 * time.Second)
	fx.dispatcher.member.Poll(context.Background())
	text, err := fx.run(fx.newCompletion())
	assert.NilError(t, err)
	assert.Equal(t, text, wholeText)
}

// TestKeyWithdrawnMidStream withdraws the key of a request between two tokens of its
// answer. The stream to the caller ends, and the call to the sidecar is cancelled.
func TestKeyWithdrawnMidStream(t *testing.T) {
	var fx *fixture
	ended := make(chan struct{})
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){func(call *wire.Call, s peer.Stream) {
		defer close(ended)
		sendTokens(2, 4)(call, s)
		for fx.dispatcher.member.View().Key("k") != nil {
			time.Sleep(time.Millisecond)
		}
		_ = s.Send(pieceReply("r1", 2))
		<-s.Context().Done()
	}}}
	fx = newFixture(t, storer.EnginePool, 1, map[string]*scriptedSidecar{"a": f})
	completion := fx.newCompletion()
	var text strings.Builder
	_, err := fx.dispatcher.Run(context.Background(), completion, func(s string) error {
		text.WriteString(s)
		if text.String() != "t0 t1 " {
			return nil
		}
		change := &wire.Change{Drops: []string{"key/k"}, Token: "t"}
		return fx.syncer.Publish(context.Background(), fx.clock.Now(), 1, change, storer.Transaction{})
	})
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
	assert.Assert(t, !refuser.FromError(err).NeverRan())
	assert.Equal(t, text.String(), "t0 t1 ")
	<-ended
	assert.Equal(t, f.callCount(), 1)
}

// TestEarlierAttemptMayHaveRun refuses a request as not run after an earlier attempt that
// may have run: at a sidecar, at the holder and at a plain service. The refusal to the
// caller must not claim that nothing ran.
func TestEarlierAttemptMayHaveRun(t *testing.T) {
	busy := sendReplies(refuser.New(refuser.Busy, "full").WithRetryAfter(time.Second).Reply())
	t.Run("sidecar", func(t *testing.T) {
		f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendReplies(), busy}}
		fx := newFixture(t, storer.EnginePool, 1, map[string]*scriptedSidecar{"a": f})
		_, err := fx.run(fx.newCompletion())
		assert.Assert(t, refuser.Is(err, refuser.Busy))
		assert.Assert(t, !refuser.FromError(err).NeverRan())
		assert.Equal(t, f.callCount(), 2)
	})
	t.Run("holder", func(t *testing.T) {
		f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendReplies()}}
		fx := newFixture(t, storer.EnginePool, 1, map[string]*scriptedSidecar{"a": f})
		f.scripts[0] = func(*wire.Call, peer.Stream) { fx.clock.Advance(59500 * time.Millisecond) }
		_, err := fx.run(fx.newCompletion())
		assert.Assert(t, err != nil)
		assert.Assert(t, !refuser.FromError(err).NeverRan(), err.Error())
	})
	t.Run("service", func(t *testing.T) {
		f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendReplies(), busy}}
		fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
		_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", true))
		assert.Assert(t, refuser.Is(err, refuser.Busy))
		assert.Assert(t, !refuser.FromError(err).NeverRan())
	})
}

// TestKeyedCallIsRemembered guards against a call that runs twice because its sidecar has ended and the
// store has lost its claim: the entry remembers each call with an idempotency key that may have run.
func TestKeyedCallIsRemembered(t *testing.T) {
	ok := sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: 201}}})
	refused := sendReplies(refuser.New(refuser.Busy, "full").Reply())
	undecided := sendReplies(refuser.MayHaveRun(refuser.Undecided, "the claims may be missing").Reply())
	for _, c := range []struct {
		name       string
		scripts    []func(*wire.Call, peer.Stream)
		idempotent bool
		claimed    bool
		answered   bool
	}{
		{name: "stream lost", scripts: []func(*wire.Call, peer.Stream){sendReplies()}, claimed: true},
		{name: "answered", scripts: []func(*wire.Call, peer.Stream){ok}, claimed: true, answered: true},
		{name: "never ran", scripts: []func(*wire.Call, peer.Stream){refused}},
		{name: "undecided", scripts: []func(*wire.Call, peer.Stream){undecided}},
		{name: "answered after a refusal", scripts: []func(*wire.Call, peer.Stream){refused, ok}, claimed: true, answered: true},
		{name: "idempotent", scripts: []func(*wire.Call, peer.Stream){ok}, idempotent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &scriptedSidecar{scripts: c.scripts}
			fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
			order := newOrder("o1", c.idempotent)
			order.IdempotencyKey, order.Body = "key", []byte("500 maps")
			_, _ = fx.dispatcher.Invoke(t.Context(), order)
			fx.platform.Restore(fx.platform.Copy())
			assert.NilError(t, fx.claims.Sweep(t.Context()))
			claim, version, err := fx.claims.Read(t.Context(), storer.ClaimKey("w", "reserve", "key"))
			assert.NilError(t, err)
			assert.Equal(t, version != 0, c.claimed)
			assert.Equal(t, claim.GetAnswer() != nil, c.answered)
		})
	}
}
