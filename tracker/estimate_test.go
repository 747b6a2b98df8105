package tracker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/estimator"
)

// newEstimatedFleet returns a fleet with two servers of a pool, one of which has stated how long
// work takes there.
func newEstimatedFleet() (*Fleet, *Backend) {
	f := New()
	for _, id := range []string{"x", "y"} {
		f.UpdateServer(Server{ID: id, Pool: "p", Address: id, Slots: 16, Started: 1})
	}
	f.Get("x").RecordPace(time.Hour, 100)
	return f, f.Get("y")
}

// TestPromptTableBounded guards against a table of prompts that grows with the requests, and
// against one that forgets the latest.
func TestPromptTableBounded(t *testing.T) {
	_, b := newEstimatedFleet()
	now := time.Hour
	for i := range uint64(10000) {
		now += time.Millisecond
		b.StartWork(now, estimator.Work{}, []PromptPrefix{{Key: i, Tokens: 10}, {Key: i + 1<<32, Tokens: 20}}, Tokens{}).End(now)
		assert.Equal(t, b.CachedTokens(now, []PromptPrefix{{Key: i, Tokens: 10}, {Key: i + 1<<32, Tokens: 20}, {Key: 1 << 40, Tokens: 30}}), 20)
	}
	e := &b.estimates.prompts
	assert.Assert(t, len(e.newer)+len(e.older) <= 2*promptHalfSize)
	assert.Equal(t, b.CachedTokens(now, []PromptPrefix{{Key: 9950, Tokens: 10}}), 10)
	assert.Equal(t, b.CachedTokens(now, []PromptPrefix{{Key: 100, Tokens: 10}}), 0)
}

// TestUnreadTokensReturned guards against tokens that count as unread for ever after their request
// has ended, in whatever order its callbacks come.
func TestUnreadTokensReturned(t *testing.T) {
	_, b := newEstimatedFleet()
	random, now := rand.New(rand.NewPCG(1, 1)), time.Hour
	var inFlight []*SentWork
	for range 5000 {
		now += time.Duration(random.IntN(20)) * time.Millisecond
		if len(inFlight) < 10 {
			inFlight = append(inFlight, b.StartWork(now, estimator.Work{PromptTokens: random.IntN(5000)}, nil, Tokens{}))
			continue
		}
		i := random.IntN(len(inFlight))
		for range random.IntN(3) {
			inFlight[i].MarkRead(now)
			inFlight[i].RecordFirst(now)
		}
		inFlight[i].End(now)
		inFlight[i].End(now)
		inFlight[i].MarkRead(now)
		inFlight = append(inFlight[:i], inFlight[i+1:]...)
	}
	for _, s := range inFlight {
		s.End(now)
	}
	assert.Equal(t, b.estimates.unreadTokens, 0)
	assert.Equal(t, b.UnreadTime(now), time.Duration(0))
}

// TestEstimatesOfPools guards against estimates that are kept for pools without servers, and against
// a pool whose times are estimated since a server of another one has stated its own figure.
func TestEstimatesOfPools(t *testing.T) {
	f, b := newEstimatedFleet()
	assert.Assert(t, b.Estimated())
	f.UpdateServer(Server{ID: "z", Pool: "q", Address: "z", Started: 1})
	assert.Assert(t, !f.Get("z").Estimated())
	assert.Assert(t, f.Get("z").StartWork(time.Hour, estimator.Work{PromptTokens: 5}, nil, Tokens{}) == nil)
	f.UpdateServer(Server{ID: "y", Pool: "q", Address: "y", Started: 1})
	assert.Assert(t, !b.Estimated())
	for i := range 100 {
		id := fmt.Sprint("s", i)
		f.UpdateServer(Server{ID: id, Pool: id, Address: id, Started: 1})
		f.RemoveServer(id)
	}
	assert.Equal(t, len(f.estimates), 2)
	assert.Assert(t, !(&Backend{}).Estimated())
}

// TestExpectedFirstRisesWithQueue guards against a server that looks as fast as before while it has
// prompts to read or requests that wait.
func TestExpectedFirstRisesWithQueue(t *testing.T) {
	_, b := newEstimatedFleet()
	now, w := time.Hour, estimator.Work{PromptTokens: 500, OutputTokens: 100}
	idle := b.ExpectedFirst(now, w)
	sent := b.StartWork(now, estimator.Work{PromptTokens: 4000}, nil, Tokens{})
	assert.Assert(t, b.ExpectedFirst(now, w) > idle+80*time.Millisecond)
	later := b.ExpectedFirst(now+100*time.Millisecond, w)
	assert.Assert(t, later > idle && later < idle+60*time.Millisecond)
	sent.MarkRead(now)
	assert.Equal(t, b.ExpectedFirst(now, w), idle)
	b.fleet.RecordLoad(now, "y", 20)
	b.RecordWaiting(now, 4)
	assert.Assert(t, b.ExpectedFirst(now, w) > idle+50*time.Millisecond)
	assert.Equal(t, b.ExpectedFirst(now+time.Minute, w), idle)
}
