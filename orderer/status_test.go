package orderer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/wire"
)

// TestReportRateBounded checks the rate of reports for an engine whose load changes all
// the time: load a few times a second, model usage less often, and a newly loaded model
// at once.
func TestReportRateBounded(t *testing.T) {
	f := newFixture()
	f.run(time.Second)
	f.engine.loaded["a"] = []string{}
	f.run(time.Second)
	<-f.orderer.Changed()
	_ = f.orderer.Report(f.clock.Now(), true)
	const seconds = 10
	statuses, loads := 0, 0
	for i := range seconds * 50 {
		f.clock.Advance(20 * time.Millisecond)
		f.engine.running++
		f.assign(nil, map[string]int{"a": 1 + i%7})
		f.orderer.poll(context.Background())
		switch report := f.orderer.Report(f.clock.Now(), false); {
		case report.GetCondition() != nil:
			statuses++
		case report.GetTraffic() != nil:
			loads++
		}
	}
	assert.Assert(t, statuses <= seconds*int(time.Second/usageReportInterval)+1, "%d statuses", statuses)
	assert.Assert(t, loads <= seconds*int(time.Second/loadReportInterval)+1, "%d loads", loads)
	assert.Assert(t, loads >= seconds*4, "%d loads", loads)
	for len(f.orderer.Changed()) > 0 {
		<-f.orderer.Changed()
	}
	f.engine.loaded["d"] = []string{}
	f.clock.Advance(20 * time.Millisecond)
	f.orderer.poll(context.Background())
	<-f.orderer.Changed()
	assert.DeepEqual(t, f.orderer.Report(f.clock.Now(), false).GetCondition().GetModels(), []string{"a", "d"})
}

// TestAssignmentExpires checks that an assignment stays in effect while its relay sends
// batches, even without a new assignment, and for assignmentLifetime afterwards.
// Assignments of another relay are in effect at the same time.
func TestAssignmentExpires(t *testing.T) {
	f := newFixture()
	f.run(100 * time.Millisecond)
	f.assign([]string{"a"}, nil)
	for range 10 {
		f.run(400 * time.Millisecond)
		f.sendBatch(nil)
	}
	assert.Equal(t, len(f.orderer.assignments), 1)
	f.run(assignmentLifetime - 200*time.Millisecond)
	f.orderer.Receive(f.clock.Now(), "", &wire.Batch{Relay: "s"}, true)
	assert.Equal(t, len(f.orderer.assignments), 2)
	f.run(400 * time.Millisecond)
	assert.Equal(t, len(f.orderer.assignments), 1)
	f.run(assignmentLifetime)
	assert.Equal(t, len(f.orderer.assignments), 0)
}

// TestIdentifyEngine checks that the engine's ID is taken from the listed server with the
// engine's address and start, so that a restarted engine is not mistaken for the one
// before it, and that the directory is asked only if there is no relay.
func TestIdentifyEngine(t *testing.T) {
	f := newFixture()
	listed := func(id string, started int64) *wire.ListedServer {
		return &wire.ListedServer{Id: id, Address: "x", Born: started}
	}
	f.orderer.Receive(f.clock.Now(), "", &wire.Batch{Relay: "r", Items: []*wire.ListedServer{listed("old", 0), {Id: "far", Address: "y", Born: 1}}}, true)
	f.run(100 * time.Millisecond)
	assert.Equal(t, f.orderer.status.GetServer(), "")
	f.orderer.Receive(f.clock.Now(), "", &wire.Batch{Relay: "r", Items: []*wire.ListedServer{listed("i", 1)}}, false)
	f.run(100 * time.Millisecond)
	assert.Equal(t, f.orderer.status.GetServer(), "i")
	alone := newFixture()
	alone.run(100 * time.Millisecond)
	assert.Equal(t, alone.orderer.status.GetServer(), serverID(1))
}

// TestNoStatusWithoutConfiguration checks that the status leaves the engine out until
// there is a configuration with the sizes of its models. Without the sizes, the engine's
// memory would appear to be full of models that cannot be unloaded.
func TestNoStatusWithoutConfiguration(t *testing.T) {
	f := newFixture()
	f.engine.loaded["a"] = []string{}
	known := f.orderer.config.View().Snapshot()
	f.orderer.config = configurer.New()
	f.run(time.Second)
	assert.Equal(t, f.orderer.status.GetServer(), "")
	f.orderer.config.Restore(known)
	f.run(time.Second)
	assert.Equal(t, f.orderer.status.GetServer(), serverID(1))
	assert.Equal(t, len(f.orderer.status.GetResidents()), 1)
}
