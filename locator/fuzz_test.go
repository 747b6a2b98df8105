package locator

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/recorder"
	"oleanderstall/wire"
)

// FuzzReceive checks that no batch of an odd relay ends an entry, or keeps it from sending
// requests to a sound engine that the batch does not concern.
func FuzzReceive(f *testing.F) {
	odd, err := proto.Marshal(&wire.Batch{
		Conditions: []*wire.EngineStatus{{}, {Server: "x", Born: 1, Models: []string{"z", "", "m"}, Running: math.MaxUint32, Waiting: 1, Tasks: []*wire.PendingLoad{{Left: math.MaxUint32}}}},
		Traffic:    []*wire.EngineLoad{{}, {Server: "x", Running: math.MaxUint32, Waiting: 1, Full: math.MaxUint32}, {Server: "e", Running: math.MaxUint32, Waiting: math.MaxUint32, Full: math.MaxUint32}},
		Lost:       []string{"", "x", "x"},
		Outlooks:   []*wire.ReadyEstimate{{}, {Model: "m", Left: math.MaxUint32}},
		Parted:     []*wire.Departure{{}, {Server: "x", Born: math.MaxInt64}},
		Items:      []*wire.ListedServer{{}, {Id: "x", Row: math.MaxUint64, Pool: "p", Address: "x", Models: []string{"z", "m"}, Slots: math.MaxUint32, Born: 1}, {Id: "x", Gone: true}},
		Crashes:    []*wire.Crash{{}, {Server: "x", Age: math.MaxUint32, Suspects: []*wire.Suspect{{Print: 1}}}},
		Age:        math.MaxUint32,
		Speeds:     []*wire.ServerSpeed{{}, {Server: "x", Speed: math.MaxUint32, Count: math.MaxUint32, Pace: math.MaxUint32}, {Server: "e", Speed: 1, Count: 1, Pace: 10000}},
	})
	assert.NilError(f, err)
	f.Add(odd, true)
	f.Add(odd, false)
	f.Fuzz(func(t *testing.T, data []byte, first bool) {
		batch := &wire.Batch{}
		if proto.Unmarshal(data, batch) != nil || concerns(batch, "e") {
			return
		}
		now := time.Hour
		l := newSoundLocator(now)
		l.Receive(now, batch, first)
		l.Receive(now, batch, false)
		_, err := proto.Marshal(reportOf(l, now))
		assert.NilError(t, err)
		r := &dispatcher.Request{ID: "r", Model: "m", Pool: "p", Started: now, TargetTime: now + time.Second, FirstEventDeadline: now + time.Second, Deadline: now + time.Minute}
		b := l.pick(now, &search{request: r, history: &dispatcher.History{Tried: map[string]bool{"x": true}}}, 0)
		assert.Assert(t, b != nil || first)
	})
}

// reportOf returns a full report of a locator.
func reportOf(l *Locator, now time.Duration) *wire.Report {
	report := &wire.Report{}
	l.Report(now, true, report)
	return report
}

// newSoundLocator returns a locator that knows a sound engine with the model "m".
func newSoundLocator(now time.Duration) *Locator {
	logger := faker.DiscardLogger()
	clock := func() time.Duration { return now }
	config := configurer.New()
	config.Restore(&wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100}}}, Models: []*wire.Model{{Name: "m", Pool: "p"}}})
	l := New("z", clock, config, dispatcher.NewQuarantine(clock, recorder.New("entry", 16), logger), noPermits{}, logger)
	l.Receive(now, &wire.Batch{
		Items:      []*wire.ListedServer{{Id: "e", Row: 1, Pool: "p", Address: "e", Born: 1, Slots: 16}},
		Conditions: []*wire.EngineStatus{{Server: "e", Born: 1, Models: []string{"m"}}},
	}, true)
	return l
}

// concerns reports whether a batch is about a server.
func concerns(batch *wire.Batch, server string) bool {
	for _, s := range batch.GetItems() {
		if s.GetId() == server || s.GetAddress() == server {
			return true
		}
	}
	for _, s := range batch.GetConditions() {
		if s.GetServer() == server {
			return true
		}
	}
	for _, d := range batch.GetParted() {
		if d.GetServer() == server {
			return true
		}
	}
	return false
}
