package locator

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// fatalPart and soundPart are parts of prompts in these tests.
const (
	fatalPart = 0xbad
	soundPart = 0x600d
)

// endedHosts is a Prober to which all hosts answer; those named refuse connections.
type endedHosts map[string]bool

// HostResponds implements Prober.
func (endedHosts) HostResponds(context.Context, string) bool { return true }

// Refuses implements Prober.
func (e endedHosts) Refuses(_ context.Context, address string) bool { return e[address] }

// newPartsRequest returns a request for model m whose prompt has a part and one of its own.
func (fx *fixture) newPartsRequest(part uint64) *dispatcher.Request {
	r := fx.newRequest("m", time.Minute)
	r.Prompt = []dispatcher.PromptPart{{ID: part}, {ID: uint64(fx.lastRequest)}}
	return r
}

// reserveFor returns the reservation of a request.
func (fx *fixture) reserveFor(r *dispatcher.Request) *dispatcher.Reservation {
	reservation, err := fx.locator.Find(context.Background(), r, &dispatcher.History{Tried: map[string]bool{}})
	assert.NilError(fx.t, err)
	return reservation
}

// lostAnswer is the result of an attempt whose connection broke before an event.
func lostAnswer() dispatcher.AttemptResult {
	return dispatcher.AttemptResult{Err: refuser.MayHaveRun(refuser.ConnectionLost, "the stream broke off")}
}

// TestQuarantine plays attempts that end without an answer at engines, one after the other, and
// checks whether requests with the same part are refused then: only if the engines have ended
// and were not leaving, and no such request was answered.
func TestQuarantine(t *testing.T) {
	const engines, crashes = 8, 3
	for _, c := range []struct {
		name string
		// running is set if the engines still listen after the attempts.
		running bool
		// leaving is set if the engines have said that they are leaving.
		leaving bool
		// answered is set if a request with the part is answered meanwhile.
		answered bool
		result   dispatcher.AttemptResult
		refused  bool
	}{
		{name: "crash", result: lostAnswer(), refused: true},
		{name: "connection reset", running: true, result: lostAnswer()},
		{name: "planned end", leaving: true, result: lostAnswer()},
		{name: "answered elsewhere", answered: true, result: lostAnswer()},
		{name: "crash after the first event", result: dispatcher.AttemptResult{Err: lostAnswer().Err, Answered: true}},
		{name: "host cut off", result: dispatcher.AttemptResult{Err: refuser.MayHaveRun(refuser.BackendSilent, "no answer")}},
		{name: "never sent", result: dispatcher.AttemptResult{Err: refuser.New(refuser.ConnectionLost, "refused")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fx, ended := newFixture(t, engines), endedHosts{}
				for i := range engines {
					fx.reportStatus(i, nil, "m")
					ended[engineName(i)] = !c.running
				}
				go fx.locator.Probe(ctx, ended)
				for range crashes {
					attempt := fx.reserveFor(fx.newPartsRequest(fatalPart))
					fx.reserveFor(fx.newPartsRequest(soundPart)).Release(dispatcher.AttemptResult{Answered: true})
					if c.answered {
						other := fx.reserveFor(fx.newPartsRequest(fatalPart))
						other.OnActivity(fx.clock())
						other.Release(dispatcher.AttemptResult{Err: lostAnswer().Err, Answered: true})
					}
					if c.leaving {
						fx.locator.receiveFeedback(fx.locator.fleet.Get(attempt.Name).Server(), 0, dispatcher.Feedback{Leaving: true})
					}
					attempt.Release(c.result)
					time.Sleep(400 * time.Millisecond)
					fx.removeServer(attempt.Name)
				}
				_, err := fx.locator.Find(ctx, fx.newPartsRequest(fatalPart), &dispatcher.History{Tried: map[string]bool{}})
				assert.Equal(t, refuser.Is(err, refuser.Quarantined), c.refused, "%v", err)
				fx.reserveFor(fx.newPartsRequest(soundPart))
			})
		})
	}
}

// TestQuarantineWakes checks that a request which waits for its model is refused at once when
// a part of its prompt is quarantined, by crashes that other entries have noticed.
func TestQuarantineWakes(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, nil, "n")
		waiting := fx.find(t.Context(), fx.newPartsRequest(fatalPart))
		for i := range 3 {
			fx.report(fx.othersLink, &wire.Report{Crashes: []*wire.Crash{{
				Server: engineName(i + 10), Born: 1, Pool: "p", Suspects: []*wire.Suspect{{Print: fatalPart}},
			}}})
			time.Sleep(300 * time.Millisecond)
		}
		fx.sync()
		synctest.Wait()
		select {
		case got := <-waiting:
			assert.Assert(t, refuser.Is(got.err, refuser.Quarantined), "%v", got.err)
			assert.Assert(t, refuser.FromError(got.err).NeverRan())
		default:
			t.Fatal("the request still waits")
		}
	})
}

// TestRepeatsSentApart guards against repeats of a request that wait for their model and are sent at
// the same instant when it is loaded, after one crash ended three of them.
func TestRepeatsSentApart(t *testing.T) {
	const repeats, digest = 8, 7
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.reportStatus(0, nil, "n")
		newRepeat := func() *dispatcher.Request {
			r := fx.newRequest("m", time.Minute)
			r.Digest, r.InputTokens = digest, 1
			return r
		}
		fx.report(fx.othersLink, &wire.Report{Crashes: []*wire.Crash{{
			Server: engineName(10), Born: 1, Pool: "p", Suspects: []*wire.Suspect{{Print: digest, Whole: true, Requests: []uint32{1, 2, 3}}},
		}}})
		fx.sync()
		var waiting []<-chan findResult
		for range repeats {
			waiting = append(waiting, fx.find(t.Context(), newRepeat()))
		}
		other := fx.find(t.Context(), fx.newRequest("m", time.Minute))

		loaded := fx.clock()
		fx.reportStatus(0, nil, "n", "m")
		got := <-other
		assert.NilError(t, got.err)
		assert.Equal(t, got.at, loaded, "another request")
		got.reservation.Release(dispatcher.AttemptResult{Answered: true})

		sent := make(chan findResult, repeats)
		for _, results := range waiting {
			go func() {
				got := <-results
				got.reservation.Release(dispatcher.AttemptResult{Answered: true})
				sent <- got
			}()
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			fx.reportStatus(0, nil, "n", "m")
		}
		var delays []time.Duration
		for range repeats {
			got := <-sent
			assert.NilError(t, got.err)
			delays = append(delays, got.at-loaded)
		}
		slices.Sort(delays)
		assert.Assert(t, delays[repeats-1]-delays[0] > 100*time.Millisecond, "%v", delays)
		assert.Assert(t, delays[repeats-1] <= 2*time.Second, "%v", delays)
	})
}
