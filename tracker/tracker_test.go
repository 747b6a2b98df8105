package tracker

import (
	"fmt"
	"math"
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

// TestStatusBeforeListingIndexesOnce guards against a server that stays among the holders of a
// model after its removal, because a status that came before the listing added it twice.
func TestStatusBeforeListingIndexesOnce(t *testing.T) {
	f := New()
	f.UpdateStatus(time.Hour, &wire.EngineStatus{Server: "a", Born: 1, Models: []string{"m"}})
	f.UpdateServer(Server{ID: "a", Pool: "p", Address: "x", Started: 1})
	assert.Equal(t, len(f.Holders("m")), 1)
	f.RemoveServer("a")
	assert.Equal(t, len(f.holders["m"]), 0)
}

// TestOddSaturation guards against a saturation that is not a number, infinite or far out of
// range and stays in the average for good or for minutes.
func TestOddSaturation(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e30, 1e30} {
		f := New()
		f.UpdateServer(Server{ID: "a"})
		b := f.Get("a")
		b.RecordSaturation(time.Hour, 0.5)
		b.RecordSaturation(time.Hour, odd)
		got := b.Saturation(time.Hour)
		assert.Assert(t, got >= 0 && got <= 2, "%v after %v", got, odd)
	}
}

// TestOddArrivals guards against a number of arrivals that spoils the rate of a model for good.
func TestOddArrivals(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e30, 1e30} {
		m := NewArrivalMeter()
		m.Add(time.Hour, "m", 4)
		m.Add(time.Hour, "m", odd)
		m.Add(time.Hour, "other", 4)
		assert.Equal(t, m.Rate(time.Hour, "m"), 1.0, "after %v", odd)
		assert.Equal(t, m.Rate(time.Hour, "other"), 1.0)
	}
}

// TestOddLoad guards against a load that wraps around, so that the busiest engine looks idle.
func TestOddLoad(t *testing.T) {
	f := New()
	f.UpdateServer(Server{ID: "a", Started: 1})
	f.UpdateStatus(time.Hour, &wire.EngineStatus{Server: "a", Born: 1, Running: math.MaxUint32, Waiting: 1})
	assert.Equal(t, f.Get("a").ReportedLoad(), 1<<32)
}

// TestUnsortedModels guards against an engine that gets no requests for a model because the
// names in a status or in a row are not sorted.
func TestUnsortedModels(t *testing.T) {
	models := []string{"c", "a", "b"}
	f := New()
	f.UpdateServer(ServerFromList(&wire.ListedServer{Id: "a", Born: 1, Models: models}))
	b := f.Get("a")
	for _, name := range models {
		assert.Assert(t, b.Inventory(time.Hour).Has(name), name)
	}
	f.UpdateStatus(time.Hour, &wire.EngineStatus{Server: "a", Born: 1, Models: models})
	for _, name := range models {
		assert.Assert(t, b.Inventory(time.Hour).Has(name), name)
	}
	assert.DeepEqual(t, models, []string{"c", "a", "b"})
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

// TestArrivalMeterForgets guards against memory that grows with each name for which a request was
// ever counted.
func TestArrivalMeterForgets(t *testing.T) {
	m := NewArrivalMeter()
	now := time.Hour
	for i := range 10 * minMeteredNames {
		now += 100 * time.Millisecond
		m.Add(now, fmt.Sprint(i), 1)
	}
	assert.Assert(t, len(m.rates) <= 2*minMeteredNames, "%d names", len(m.rates))
	assert.Assert(t, m.Rate(now, fmt.Sprint(10*minMeteredNames-1)) > 0.2)
}
