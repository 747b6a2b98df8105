package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleanderstall/bubbler"
	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/holder"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/quarantiner"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/restorer"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// Messages of the prompts in these tests. Only the fatal one crashes the backend servers.
const (
	sharedMessage = 11
	fatalMessage  = 12
)

// crashOnFatal returns a script of a sidecar whose backend server crashes on calls whose body
// contains "bad", at other times each, and answers other calls.
func crashOnFatal(crashes *int) func(*wire.Call, peer.Stream) {
	return func(call *wire.Call, s peer.Stream) {
		if strings.Contains(string(call.GetRun().GetBody())+string(call.GetInvoke().GetBody()), "bad") {
			*crashes++
			_ = s.Send(refuser.MayHaveRun(refuser.ConnectionLost, "no answer").WithCrash(int64(*crashes)).Reply())
			return
		}
		if call.GetInvoke() != nil {
			_ = s.Send(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: call.GetInvoke().GetId(), Status: 200}}})
			return
		}
		sendTokens(4, 4)(call, s)
	}
}

// TestFatalMessage guards against completions that crash one engine after the other because
// each new one with the same fatal message, and each retry, is sent to the next. Completions
// without the message go on.
func TestFatalMessage(t *testing.T) {
	crashes := 0
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){crashOnFatal(&crashes)}}
	fx := newFixture(t, storer.EnginePool, 4, map[string]*scriptedSidecar{"a": f, "b": f, "c": f, "d": f})
	fx.loadReplicas(4)
	quarantined := 0
	for i := range 20 {
		fx.dispatcher.holder.Tick(t.Context())
		bad := fx.newCompletion()
		bad.Body, bad.PrefixHash, bad.Messages = []byte("bad"), sharedMessage, []uint64{sharedMessage, fatalMessage, uint64(100 + i)}
		if _, err := fx.run(bad); refuser.Is(err, refuser.Quarantined) {
			assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
			quarantined++
		}
		fx.clock.Advance(300 * time.Millisecond)
		sound := fx.newCompletion()
		sound.PrefixHash, sound.Messages = sharedMessage, []uint64{sharedMessage, uint64(200 + i)}
		text, err := fx.run(sound)
		assert.NilError(t, err)
		assert.Equal(t, text, wholeText)
	}
	// Each of the requests up to the third separate crash may end maxLostUnanswered servers.
	assert.Assert(t, crashes <= 3*maxLostUnanswered, "%d crashes", crashes)
	assert.Assert(t, quarantined >= 17, "%d of 20 were quarantined", quarantined)
	quarantines, _ := fx.dispatcher.quarantine.List()
	assert.Equal(t, len(quarantines), 1)
	assert.Equal(t, quarantines[0].ID(), uint64(fatalMessage))
	assert.Equal(t, len(fx.dispatcher.recorder.BySubject("part/c")), 1)
}

// TestFatalCall checks that calls of a plain service with a fatal body are no longer sent
// after three crashes, idempotent or not and with an idempotency key, and that others are.
func TestFatalCall(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		key        string
	}{{true, ""}, {false, ""}, {false, "k1"}} {
		crashes := 0
		f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){crashOnFatal(&crashes)}}
		fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f, "c": f, "d": f})
		for i := range 10 {
			bad := newOrder(fmt.Sprint("bad", i), c.idempotent)
			bad.Body, bad.IdempotencyKey = []byte("bad"), c.key
			_, err := fx.dispatcher.Invoke(context.Background(), bad)
			assert.Assert(t, err != nil)
			if i >= 3 {
				assert.Assert(t, refuser.Is(err, refuser.Quarantined), "%v: %v", c, err)
				assert.Assert(t, refuser.FromError(err).NeverRan())
			}
			fx.clock.Advance(300 * time.Millisecond)
			sound := newOrder(fmt.Sprint("sound", i), c.idempotent)
			sound.Body = []byte(sound.ID)
			_, err = fx.dispatcher.Invoke(context.Background(), sound)
			assert.NilError(t, err)
		}
		assert.Assert(t, crashes <= 3*maxLostUnanswered, "%v: %d crashes", c, crashes)
	}
}

// TestRetryAfterDuringTrial guards against refusals without a time to come back: while a trial is
// under way no later instant is known.
func TestRetryAfterDuringTrial(t *testing.T) {
	clock := faker.NewClock()
	q := NewQuarantine(clock.Now, recorder.New("entry", 16), faker.DiscardLogger())
	request := func(id string) *Request { return &Request{ID: id, Pool: "p", Digest: 7} }
	for i := range 3 {
		q.RecordCrash(clock.Now(), quarantiner.Process{Server: fmt.Sprint("s", i), Started: 1}, request("r"))
		clock.Advance(time.Second)
	}
	clock.Advance(2 * time.Minute)
	assert.NilError(t, q.Check(request("trial")))
	err := q.Check(request("other"))
	assert.Assert(t, refuser.Is(err, refuser.Quarantined))
	assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
}

// TestFatalRequestRetries checks that one request ends at most maxLostUnanswered servers by
// its retries, however many there are.
func TestFatalRequestRetries(t *testing.T) {
	crashes := 0
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){crashOnFatal(&crashes)}}
	sidecars := map[string]*scriptedSidecar{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		sidecars[name] = f
	}
	fx := newFixture(t, "orders", 1, sidecars)
	bad := newOrder("bad", true)
	bad.Body = []byte("bad")
	_, err := fx.dispatcher.Invoke(context.Background(), bad)
	assert.Assert(t, refuser.Is(err, refuser.ConnectionLost))
	assert.Equal(t, crashes, maxLostUnanswered)
}

// TestLostSidecarIsNoCrash checks that connections lost to sidecars, without word of a crash of
// their servers, quarantine nothing.
func TestLostSidecarIsNoCrash(t *testing.T) {
	f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){sendReplies()}}
	fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
	for range 10 {
		_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o", true))
		assert.Assert(t, !refuser.Is(err, refuser.Quarantined), "%v", err)
		fx.clock.Advance(time.Second)
	}
	assert.Assert(t, fx.dispatcher.quarantine.quarantiner.Idle())
}

// TestRepeatsSentApart guards against repeats of a request that are sent at the same instant after one
// crash ended three of them: a crash on the first one must be known before the rest are sent.
func TestRepeatsSentApart(t *testing.T) {
	const repeats = 8
	bubbler.Test(t, func(t *testing.T) {
		sent := make(chan time.Time, repeats)
		f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){func(call *wire.Call, s peer.Stream) {
			sent <- time.Now()
			time.Sleep(10 * time.Second)
			_ = s.Send(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: call.GetInvoke().GetId(), Status: 200}}})
		}}}
		fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f, "b": f})
		invoke := func(id string) {
			_, err := fx.dispatcher.Invoke(t.Context(), newOrder(id, true))
			assert.Check(t, err)
		}
		now := fx.clock.Now()
		for i := range 3 {
			lost := newOrder(fmt.Sprint("lost", i), true)
			fx.dispatcher.quarantine.RecordCrash(now, quarantiner.Process{Server: "s", Started: 1}, lost.request(now))
		}
		start := time.Now()
		var group sync.WaitGroup
		for i := range repeats {
			group.Go(func() { invoke(fmt.Sprint("repeat", i)) })
		}
		group.Wait()
		first, last := <-sent, time.Time{}
		for range repeats - 1 {
			last = <-sent
		}
		assert.Assert(t, last.Sub(first) > 100*time.Millisecond, "all within %v", last.Sub(first))
		assert.Assert(t, last.Sub(start) <= 2*time.Second, "the last after %v", last.Sub(start))

		// The answers have cleared it.
		start = time.Now()
		invoke("answered")
		assert.Equal(t, (<-sent).Sub(start), time.Duration(0))
	})
}

// shareFleet is a number of entries in two data centres that share records of crashes.
type shareFleet struct {
	t       *testing.T
	network *faker.Network
	clock   *faker.Clock
	entries map[string]*Dispatcher
	list    []storer.Instance
}

// newShareFleet starts entries, three in each of two data centres.
func newShareFleet(t *testing.T) *shareFleet {
	sf := &shareFleet{t: t, network: faker.NewNetwork(), clock: faker.NewClock(), entries: map[string]*Dispatcher{}}
	for i := range 6 {
		name := fmt.Sprintf("entry-%d", i)
		sf.list = append(sf.list, storer.Instance{Name: name, Role: "entry", Centre: fmt.Sprint("c", i%2), Address: name})
	}
	for _, in := range sf.list {
		sf.start(in)
	}
	return sf
}

// start starts an entry, or starts it again without what it knew.
func (sf *shareFleet) start(in storer.Instance) {
	platform, c, logger := faker.NewPlatform(), configurer.New(), faker.DiscardLogger()
	platform.SetInstances(sf.list...)
	m := member.New(in, sf.clock.Now, sf.network, platform, syncer.New(platform, platform, c), c, logger)
	m.Poll(context.Background())
	rec, mt := recorder.New(in.Name, 64), meter.New()
	h := holder.New(holder.Options{Shards: 1, Lease: 6 * time.Second}, sf.clock.Now, sf.network, platform, m, rec, mt, logger)
	d := New(1, sf.clock.Now, sf.network, m, h, restorer.New("", platform, sf.clock.Now, logger), rec, mt, logger)
	sf.network.Attach(in.Address, func(_ context.Context, call *wire.Call, s peer.Stream) {
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Crashes{Crashes: d.ReceiveCrashes(call.GetCrashes())}})
	})
	sf.entries[in.Name] = d
	ctx, cancel := context.WithCancel(context.Background())
	sf.t.Cleanup(cancel)
	go d.ShareCrashes(ctx)
}

// crash records three crashes on a request at entries in turn.
func (sf *shareFleet) crash(r *Request) {
	for i := range 3 {
		sf.clock.Advance(300 * time.Millisecond)
		sf.entries[sf.list[2*i%len(sf.list)].Name].quarantine.RecordCrash(sf.clock.Now(), quarantiner.Process{Server: fmt.Sprint("s", i), Started: 1}, r)
	}
}

// awaitQuarantined waits until all entries but the named one refuse a request.
func (sf *shareFleet) awaitQuarantined(r *Request, except string) {
	poll.WaitOn(sf.t, func(poll.LogT) poll.Result {
		sf.clock.Advance(10 * time.Millisecond)
		for name, d := range sf.entries {
			if name != except && d.quarantine.Check(r) == nil {
				return poll.Continue("%s does not refuse the request", name)
			}
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// TestCrashesAreShared checks that crashes at different entries, each of which alone proves
// nothing, are counted together at all entries of all data centres; also while the relay of a
// data centre does not answer, and at an entry that starts later.
func TestCrashesAreShared(t *testing.T) {
	r := &Request{ID: "r", Pool: "p", Digest: 7}
	sf := newShareFleet(t)
	sf.crash(r)
	sf.awaitQuarantined(r, "")

	sf = newShareFleet(t)
	lost := sf.entries["entry-1"].member.Neighbors()[0].Name
	if sf.entries["entry-1"].member.IsRelay() {
		lost = "entry-1"
	}
	sf.network.SetUnreachable(lost, true)
	sf.crash(r)
	sf.awaitQuarantined(r, lost)

	sf = newShareFleet(t)
	sf.crash(r)
	sf.awaitQuarantined(r, "")
	sf.start(sf.list[0])
	sf.awaitQuarantined(r, "")
}
