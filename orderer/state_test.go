package orderer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/wire"
)

// TestReportsBounded is an engine whose load changes all the time: its sidecar tells the
// load a few times a second and the use of its models less often, and at once that a
// model has come.
func TestReportsBounded(t *testing.T) {
	r := newRig()
	r.run(time.Second)
	r.engine.held["a"] = []string{}
	r.run(time.Second)
	<-r.orderer.Changed()
	_ = r.orderer.Report(r.clock.Now(), true)
	const seconds = 10
	states, loads := 0, 0
	for i := range seconds * 50 {
		r.clock.Advance(20 * time.Millisecond)
		r.engine.running++
		r.tell(nil, map[string]int{"a": 1 + i%7})
		r.orderer.tick(context.Background())
		switch report := r.orderer.Report(r.clock.Now(), false); {
		case report.GetCondition() != nil:
			states++
		case report.GetTraffic() != nil:
			loads++
		}
	}
	assert.Assert(t, states <= seconds*int(time.Second/usePeriod)+1, "%d states", states)
	assert.Assert(t, loads <= seconds*int(time.Second/loadPeriod)+1, "%d loads", loads)
	assert.Assert(t, loads >= seconds*4, "%d loads", loads)
	for len(r.orderer.Changed()) > 0 {
		<-r.orderer.Changed()
	}
	r.engine.held["d"] = []string{}
	r.clock.Advance(20 * time.Millisecond)
	r.orderer.tick(context.Background())
	<-r.orderer.Changed()
	assert.DeepEqual(t, r.orderer.Report(r.clock.Now(), false).GetCondition().GetModels(), []string{"a", "d"})
}

// TestRelayFallsSilent goes by what a relay told while it is heard, though it has
// nothing new to tell, and for a while after that. Another relay's word counts beside
// it meanwhile.
func TestRelayFallsSilent(t *testing.T) {
	r := newRig()
	r.run(100 * time.Millisecond)
	r.tell([]string{"a"}, nil)
	for range 10 {
		r.run(400 * time.Millisecond)
		r.batch(nil)
	}
	assert.Equal(t, len(r.orderer.tells), 1)
	r.run(tellLife - 200*time.Millisecond)
	r.orderer.Receive(r.clock.Now(), "", &wire.Batch{Relay: "s"}, true)
	assert.Equal(t, len(r.orderer.tells), 2)
	r.run(400 * time.Millisecond)
	assert.Equal(t, len(r.orderer.tells), 1)
	r.run(tellLife)
	assert.Equal(t, len(r.orderer.tells), 0)
}

// TestKnowsItsEngine learns the engine's id from the relay, also of one that has
// started again, and from the store only without a relay.
func TestKnowsItsEngine(t *testing.T) {
	r := newRig()
	item := func(id string, born int64) *wire.ListedServer {
		return &wire.ListedServer{Id: id, Address: "x", Born: born}
	}
	r.orderer.Receive(r.clock.Now(), "", &wire.Batch{Relay: "r", Items: []*wire.ListedServer{item("old", 0), {Id: "far", Address: "y", Born: 1}}}, true)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.orderer.state.GetServer(), "")
	r.orderer.Receive(r.clock.Now(), "", &wire.Batch{Relay: "r", Items: []*wire.ListedServer{item("i", 1)}}, false)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.orderer.state.GetServer(), "i")
	alone := newRig()
	alone.run(100 * time.Millisecond)
	assert.Equal(t, alone.orderer.state.GetServer(), id(1))
}

// TestSilentWithoutConfiguration says nothing of the engine before a configuration
// tells what its models take: its memory would seem full of what cannot be unloaded.
func TestSilentWithoutConfiguration(t *testing.T) {
	r := newRig()
	r.engine.held["a"] = []string{}
	known := r.orderer.copy.View().Snapshot()
	r.orderer.copy = configurer.New()
	r.run(time.Second)
	assert.Equal(t, r.orderer.state.GetServer(), "")
	r.orderer.copy.Restore(known)
	r.run(time.Second)
	assert.Equal(t, r.orderer.state.GetServer(), id(1))
	assert.Equal(t, len(r.orderer.state.GetResidents()), 1)
}
