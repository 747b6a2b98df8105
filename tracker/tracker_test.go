package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestMismatchedServerGetsNoWork checks that a server whose address answers for another
// server gets no work until it is listed again or its sidecar reports, and that such an
// answer is ignored while the sidecar's status is current.
func TestMismatchedServerGetsNoWork(t *testing.T) {
	server := Server{ID: "a", Pool: "p", Address: "x", Started: 1}
	status := &wire.EngineStatus{Server: "a", Born: 1}
	now := time.Hour
	f := New()
	f.UpdateServer(server)
	f.Get("a").MarkMismatched(now)
	assert.Equal(t, len(f.Pool("p")), 0)
	f.UpdateServer(server)
	assert.Equal(t, len(f.Pool("p")), 1)
	f.Get("a").MarkMismatched(now)
	f.UpdateStatus(now, status)
	assert.Equal(t, len(f.Pool("p")), 1)
	f.Get("a").MarkMismatched(now)
	assert.Equal(t, len(f.Pool("p")), 1)
	f.Get("a").MarkMismatched(now + 2*statusTTL)
	assert.Equal(t, len(f.Pool("p")), 0)
}

// TestNewestServerAtAddress checks that of the servers listed at one address only the one
// that started last gets work.
func TestNewestServerAtAddress(t *testing.T) {
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	f.UpdateServer(Server{ID: "b", Pool: "p", Address: "x", Started: 2})
	list := f.Pool("p")
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Server().ID, "b")
}

// TestStatusBeforeListing checks that the status of an engine that has just started is
// kept until the engine is listed, and that it expires as usual afterwards.
func TestStatusBeforeListing(t *testing.T) {
	now := time.Hour
	f := New()
	status := &wire.EngineStatus{Server: "a", Born: 1, Models: []string{"m"}}
	assert.Assert(t, !f.UpdateStatus(now, status))
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	assert.Assert(t, f.Get("a").Status(now+time.Second) != nil)
	assert.Assert(t, f.Get("a").Status(now+2*statusTTL) == nil)
	assert.Assert(t, f.UpdateStatus(now, status))
}

// TestStallScore checks that the stall score rises while requests for models are in flight
// without an event, and that an event resets it.
func TestStallScore(t *testing.T) {
	now := time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	b := f.Get("a")
	assert.Equal(t, b.StallScore(now), 0.0)
	f.StartRequest(now, "a", "m")
	assert.Equal(t, b.StallScore(now+stallGrace), 0.0)
	assert.Equal(t, b.StallScore(now+stallGrace+stallRamp/2), 0.5)
	assert.Equal(t, b.StallScore(now+time.Minute), 1.0)
	b.RecordActivity(now + time.Minute)
	assert.Equal(t, b.StallScore(now+time.Minute), 0.0)
	f.EndRequest(now, "a", false, "m")
	assert.Equal(t, b.StallScore(now+time.Hour), 0.0)
}

// TestStalledAfterLastRequest checks that an engine that is silent until the last caller
// with a request there has left stays marked stalled until its sidecar reports.
func TestStalledAfterLastRequest(t *testing.T) {
	now := time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	b := f.Get("a")
	f.StartRequest(now, "a", "m")
	now += stallGrace + stallRamp
	assert.Equal(t, b.StallScore(now), 1.0)
	f.EndRequest(now, "a", false, "m")
	assert.Equal(t, b.StallScore(now+time.Second), 1.0)
	f.UpdateStatus(now+2*time.Second, &wire.EngineStatus{Server: "a", Born: 1})
	assert.Equal(t, b.StallScore(now+2*time.Second), 0.0)
}

// TestRecentlyActive checks that a server counts as recently active only for a moment after
// an event or an answer. A status of its sidecar does not count, since it may have been
// under way for longer.
func TestRecentlyActive(t *testing.T) {
	now := time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	b := f.Get("a")
	f.UpdateStatus(now, &wire.EngineStatus{Server: "a", Born: 1})
	assert.Assert(t, !b.RecentlyActive(now))
	b.RecordActivity(now)
	assert.Assert(t, b.RecentlyActive(now+activityWindow))
	assert.Assert(t, !b.RecentlyActive(now+activityWindow+1))
}

// TestMismatchedServerShadowsNone guards against a sound server that gets no work because another
// writer's row lists a server at its address that claims a later start.
func TestMismatchedServerShadowsNone(t *testing.T) {
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	f.UpdateServer(Server{ID: "odd", Pool: "p", Address: "x", Started: 1 << 60})
	f.Get("odd").MarkMismatched(time.Hour)
	list := f.Pool("p")
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Server().ID, "a")
	f.Get("a").MarkMismatched(time.Hour)
	assert.Equal(t, len(f.Pool("p")), 0)
}
