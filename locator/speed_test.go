package locator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/dispatcher"
	"oleanderstall/wire"
)

// TestSharedSpeeds guards against an entry that sends to a slow server because it has not been there
// itself, and against one that tells others nothing.
func TestSharedSpeeds(t *testing.T) {
	told, teller := newEstimateFixture(2), newEstimateFixture(2)
	var reported []*wire.ServerSpeed
	for range 100 {
		for i := range 2 {
			teller.feed(i, dispatcher.Load{Slots: 32, Pace: 100})
			s := newSearch(teller.request("m"))
			reservation := teller.locator.reserve(teller.now, teller.locator.fleet.Get(engineName(i)), s)
			sent := teller.now
			teller.now += time.Duration(40+120*i) * time.Millisecond
			reservation.OnPromptRead()
			reservation.OnActivity(teller.now)
			reservation.Release(dispatcher.AttemptResult{Answered: true, TimeToFirst: teller.now - sent})
			reported = append(reported, reportOf(teller.locator, teller.now).GetSpeeds()...)
		}
	}
	assert.Assert(t, len(reported) > 10)
	told.now = teller.now
	told.locator.Receive(told.now, &wire.Batch{Speeds: reported[len(reported)-4:]}, false)
	for i := range 2 {
		assert.Assert(t, told.locator.fleet.Get(engineName(i)).Estimated())
	}
	for range 20 {
		assert.Equal(t, told.pick(told.request("m")), engineName(0))
	}
	// What it observes itself counts more than what others have told it.
	for range 30 {
		told.now += 50 * time.Millisecond
		s := newSearch(told.request("m"))
		reservation := told.locator.reserve(told.now, told.locator.fleet.Get(engineName(1)), s)
		told.now += 45 * time.Millisecond
		reservation.OnActivity(told.now)
		reservation.Release(dispatcher.AttemptResult{Answered: true, TimeToFirst: 45 * time.Millisecond})
	}
	assert.Assert(t, told.locator.fleet.Get(engineName(1)).ExpectedSpeed(told.now) < 1.3)
}

// TestSpeedReports guards against speeds in every report, which would cost more traffic than there
// are requests, and against any in a pool without a fourth figure.
func TestSpeedReports(t *testing.T) {
	fx := newEstimateFixture(1)
	fx.feed(0, dispatcher.Load{Slots: 32})
	assert.Equal(t, len(reportOf(fx.locator, fx.now).GetSpeeds()), 0)
	sent := 0
	for i := range 200 {
		fx.now += 10 * time.Millisecond
		fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100 + 300*(i%2)})
		sent += len(reportOf(fx.locator, fx.now).GetSpeeds())
	}
	assert.Assert(t, sent >= 1 && sent <= 8, "%d", sent)
	// Neither do odd figures of a relay switch anything.
	other := newEstimateFixture(1)
	other.locator.Receive(other.now, &wire.Batch{Speeds: []*wire.ServerSpeed{{Server: engineName(0), Speed: 1 << 31, Count: 1, Pace: 1 << 31}, {Server: engineName(0), Count: 1}}}, false)
	assert.Assert(t, !other.locator.fleet.Get(engineName(0)).Estimated())
	// Odd figures of a relay are ignored.
	b := fx.locator.fleet.Get(engineName(0))
	fx.now += time.Minute
	before := b.ExpectedSpeed(fx.now)
	fx.locator.Receive(fx.now, &wire.Batch{Speeds: []*wire.ServerSpeed{{}, {Server: "none", Speed: 100, Count: 1}, {Server: engineName(0), Speed: 1 << 31, Count: 1, Pace: 1 << 31}, {Server: engineName(0), Count: 1}}}, false)
	assert.Equal(t, b.ExpectedSpeed(fx.now), before)
}
