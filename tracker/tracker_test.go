package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestDisown gives a server whose address answers for another one no work until it
// is listed anew or its sidecar speaks, and passes over such an answer while the
// sidecar is heard.
func TestDisown(t *testing.T) {
	server := Server{ID: "a", Pool: "p", Address: "x", Started: 1}
	word := &wire.EngineStatus{Server: "a", Born: 1}
	now := time.Hour
	f := New()
	f.UpdateServer(server)
	f.Get("a").MarkMismatched(now)
	assert.Equal(t, len(f.Pool("p")), 0)
	f.UpdateServer(server)
	assert.Equal(t, len(f.Pool("p")), 1)
	f.Get("a").MarkMismatched(now)
	f.UpdateStatus(now, word)
	assert.Equal(t, len(f.Pool("p")), 1)
	f.Get("a").MarkMismatched(now)
	assert.Equal(t, len(f.Pool("p")), 1)
	f.Get("a").MarkMismatched(now + 2*stateLife)
	assert.Equal(t, len(f.Pool("p")), 0)
}

// TestNewestAtAddress gives work to the server that was started last of those that
// are listed at one address.
func TestNewestAtAddress(t *testing.T) {
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	f.UpdateServer(Server{ID: "b", Pool: "p", Address: "x", Started: 2})
	list := f.Pool("p")
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Server().ID, "b")
}

// TestWordBeforeList keeps a sidecar's word on an engine that has just started until
// the engine is listed, and not for long.
func TestWordBeforeList(t *testing.T) {
	now := time.Hour
	f := New()
	word := &wire.EngineStatus{Server: "a", Born: 1, Models: []string{"m"}}
	assert.Assert(t, !f.UpdateStatus(now, word))
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	assert.Assert(t, f.Get("a").Status(now+time.Second) != nil)
	assert.Assert(t, f.Get("a").Status(now+2*stateLife) == nil)
	assert.Assert(t, f.UpdateStatus(now, word))
}

// TestSilence grows while requests for models are under way and no event comes.
func TestSilence(t *testing.T) {
	now := time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	b := f.Get("a")
	assert.Equal(t, b.StallScore(now), 0.0)
	f.StartRequest(now, "a", "m")
	assert.Equal(t, b.StallScore(now+quietTime), 0.0)
	assert.Equal(t, b.StallScore(now+quietTime+stillTime/2), 0.5)
	assert.Equal(t, b.StallScore(now+time.Minute), 1.0)
	b.RecordActivity(now + time.Minute)
	assert.Equal(t, b.StallScore(now+time.Minute), 0.0)
	f.EndRequest(now, "a", false, "m")
	assert.Equal(t, b.StallScore(now+time.Hour), 0.0)
}

// TestStillAfterLeaving is an engine that stands still until all callers with requests
// there have left: it gets nothing new before it is heard, by an event or its sidecar.
func TestStillAfterLeaving(t *testing.T) {
	now := time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	b := f.Get("a")
	f.StartRequest(now, "a", "m")
	now += quietTime + stillTime
	assert.Equal(t, b.StallScore(now), 1.0)
	f.EndRequest(now, "a", false, "m")
	assert.Equal(t, b.StallScore(now+time.Second), 1.0)
	f.UpdateStatus(now+2*time.Second, &wire.EngineStatus{Server: "a", Born: 1})
	assert.Equal(t, b.StallScore(now+2*time.Second), 0.0)
}

// TestSure is sure for a moment only that a server receives what is sent to it, and
// not because of its sidecar, whose word may have been on its way for longer.
func TestSure(t *testing.T) {
	now := time.Hour
	f := New()
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	b := f.Get("a")
	f.UpdateStatus(now, &wire.EngineStatus{Server: "a", Born: 1})
	assert.Assert(t, !b.RecentlyActive(now))
	b.RecordActivity(now)
	assert.Assert(t, b.RecentlyActive(now+sureTime))
	assert.Assert(t, !b.RecentlyActive(now+sureTime+1))
}
