package relayer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// speedsFor returns the speeds in the next batch of a link, by server.
func speedsFor(fs *FleetState, now time.Duration, link uint64) map[string]*wire.ServerSpeed {
	speeds := map[string]*wire.ServerSpeed{}
	for _, s := range fs.Batch(now, link).GetSpeeds() {
		speeds[s.GetServer()] = s
	}
	return speeds
}

// reportSpeed reports a speed as an entry does.
func reportSpeed(fs *FleetState, now time.Duration, link uint64, s *wire.ServerSpeed) {
	fs.Report(now, link, &wire.Report{Speeds: []*wire.ServerSpeed{s}})
}

// TestSpeedsAreShared guards against an entry that doesn't learn what others have observed, in its
// data centre or in another one.
func TestSpeedsAreShared(t *testing.T) {
	near, far := newSoundState(), newSoundState()
	now := time.Hour
	first, second := joinEntry(near, "first"), joinEntry(near, "second")
	toFar := near.Join(now, &wire.Link{Name: "far", Role: Relay, Centre: "c1"})
	remote := joinEntry(far, "remote")
	far.OpenFeed(now, "c0", "near")
	reportSpeed(near, now, first, &wire.ServerSpeed{Server: "e", Speed: 300, Count: 9, Pace: 250})
	reportSpeed(near, now, second, &wire.ServerSpeed{Server: "e", Speed: 300, Count: 1})
	far.ApplyFeed(now, "c0", "address", near.Batch(now, toFar))
	for _, batch := range []map[string]*wire.ServerSpeed{speedsFor(near, now, second), speedsFor(far, now, remote)} {
		s := batch["e"]
		assert.Assert(t, s.GetSpeed() == 300 && s.GetCount() > 0 && s.GetPace() == 250, "%v", s)
	}
	// A relay doesn't send on what it got from another one.
	other := far.Join(now, &wire.Link{Name: "third", Role: Relay, Centre: "c2"})
	assert.Equal(t, len(speedsFor(far, now, other)), 0)
}

// TestSpeedIsAverage guards against one entry's observation that counts as much as many of others,
// and against a mean that does not follow.
func TestSpeedIsAverage(t *testing.T) {
	fs := newSoundState()
	now := time.Hour
	entry := joinEntry(fs, "first")
	for range 10 {
		now += 300 * time.Millisecond
		reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Speed: 100, Count: 10})
	}
	reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Speed: 1000, Count: 1})
	speed := fs.speedMeans["e"].message(now, "e").GetSpeed()
	assert.Assert(t, speed < 115, "%d", speed)
	for range 10 {
		now += 300 * time.Millisecond
		reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Speed: 250, Count: 10})
	}
	speed = fs.speedMeans["e"].message(now, "e").GetSpeed()
	assert.Assert(t, speed > 200, "%d", speed)
}

// TestSpeedTraffic guards against traffic that grows with the reports: what has not changed is sent
// again only after a long time, and changes at most a few times a second.
func TestSpeedTraffic(t *testing.T) {
	fs := newSoundState()
	now := time.Hour
	entry, reader := joinEntry(fs, "first"), joinEntry(fs, "reader")
	sent := 0
	for range 1000 {
		now += 10 * time.Millisecond
		reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Speed: 105, Count: 1, Pace: 110})
		sent += len(speedsFor(fs, now, reader))
	}
	assert.Assert(t, sent <= 3, "%d", sent)
	sent = 0
	for i := range 1000 {
		now += 10 * time.Millisecond
		reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Pace: uint32(100 + 300*(i%2))})
		sent += len(speedsFor(fs, now, reader))
	}
	assert.Assert(t, sent > 20 && sent <= 41, "%d", sent)
}

// TestStaleSpeeds guards against an old speed, or an old figure of a server, that an entry takes for
// a new one.
func TestStaleSpeeds(t *testing.T) {
	fs := newSoundState()
	now := time.Hour
	reportSpeed(fs, now, joinEntry(fs, "first"), &wire.ServerSpeed{Server: "e", Speed: 300, Count: 5, Pace: 250})
	now += 3 * time.Second
	s := speedsFor(fs, now, joinEntry(fs, "second"))["e"]
	assert.Assert(t, s.GetSpeed() == 300 && s.GetPace() == 0, "%v", s)
	reportSpeed(fs, now, joinEntry(fs, "first"), &wire.ServerSpeed{Server: "e", Speed: 100, Count: 50})
	assert.Equal(t, fs.speedMeans["e"].sent.GetPace(), uint32(0))
	now += time.Minute
	assert.Equal(t, len(speedsFor(fs, now, joinEntry(fs, "third"))), 0)
}

// TestOddSpeeds guards against reports that can't be right and change a mean, and against memory
// that grows with the names that they contain.
func TestOddSpeeds(t *testing.T) {
	fs := newSoundState()
	now := time.Hour
	entry, toOther := joinEntry(fs, "first"), fs.Join(now, &wire.Link{Name: "far", Role: Relay, Centre: "c1"})
	for _, s := range oddSpeeds {
		reportSpeed(fs, now, entry, s)
	}
	reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Speed: 0, Count: 5})
	for i := range 1000 {
		reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: fmt.Sprint("x", i), Speed: 100, Count: 1})
	}
	for _, m := range fs.speedMeans {
		speed := m.message(now, "e").GetSpeed()
		assert.Assert(t, speed <= 100, "%d", speed)
	}
	assert.Assert(t, len(fs.speedMeans) <= 1 && len(speedsFor(fs, now, toOther)) <= 1)
	reportSpeed(fs, now, entry, &wire.ServerSpeed{Server: "e", Speed: 100, Count: 1})
	fs.UpdateServers(now, []*wire.ListedServer{{Id: "e", Row: 2, Gone: true}})
	assert.Equal(t, len(fs.speedMeans), 0)
	assert.Equal(t, len(speedsFor(fs, now, joinEntry(fs, "second"))), 0)
}
