package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/wire"
)

// TestStatusKeptWhileReported checks that the status of an engine is kept exactly as long as
// a link or the feed of any data centre reports it, in whatever order these open and close.
func TestStatusKeptWhileReported(t *testing.T) {
	status := &wire.EngineStatus{Server: "e", Born: 1, Started: 1, Number: 1}
	link := &wire.Link{Name: "side", Role: Sidecar, Centre: "c2"}
	publish := func(fs *FleetState, centre string) {
		fs.OpenFeed(time.Hour, centre, "relay of "+centre)
		fs.ApplyFeed(time.Hour, centre, "address", &wire.Batch{Conditions: []*wire.EngineStatus{status}})
	}
	for _, c := range []struct {
		name  string
		steps func(fs *FleetState)
		known bool
	}{
		{"one feed closes", func(fs *FleetState) {
			publish(fs, "c1")
			publish(fs, "c2")
			fs.CloseFeed(time.Hour, "c1", "relay of c1")
		}, true},
		{"both feeds close", func(fs *FleetState) {
			publish(fs, "c1")
			publish(fs, "c2")
			fs.CloseFeed(time.Hour, "c1", "relay of c1")
			fs.CloseFeed(time.Hour, "c2", "relay of c2")
		}, false},
		{"one feed reports it lost", func(fs *FleetState) {
			publish(fs, "c1")
			publish(fs, "c2")
			fs.ApplyFeed(time.Hour, "c2", "address", &wire.Batch{Lost: []string{"e"}})
		}, true},
		{"the link ends", func(fs *FleetState) {
			publish(fs, "c1")
			id := fs.Join(time.Hour, link)
			fs.Report(time.Hour, id, &wire.Report{Condition: status})
			fs.Leave(time.Hour, id)
		}, true},
		{"the feed closes beside a link", func(fs *FleetState) {
			id := fs.Join(time.Hour, link)
			fs.Report(time.Hour, id, &wire.Report{Condition: status})
			publish(fs, "c1")
			fs.CloseFeed(time.Hour, "c1", "relay of c1")
		}, true},
		{"the only link ends", func(fs *FleetState) {
			id := fs.Join(time.Hour, link)
			fs.Report(time.Hour, id, &wire.Report{Condition: status})
			fs.Leave(time.Hour, id)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			fs := NewFleetState("relay", "c0", configurer.New(), faker.DiscardLogger())
			c.steps(fs)
			_, known := fs.statuses.get("e")
			assert.Equal(t, known, c.known)
		})
	}
}

// TestCloseFeedWithdrawsEstimates guards against callers that are refused, or wait, because of
// the ready estimate of a relay that is gone. Estimates of other relays stay.
func TestCloseFeedWithdrawsEstimates(t *testing.T) {
	fs := NewFleetState("relay", "c0", configurer.New(), faker.DiscardLogger())
	for _, centre := range []string{"c1", "c2"} {
		fs.OpenFeed(time.Hour, centre, "relay of "+centre)
		fs.ApplyFeed(time.Hour, centre, "address", &wire.Batch{Outlooks: []*wire.ReadyEstimate{{Model: "model of " + centre, Left: 5000}}})
	}
	fs.estimates.set("own", readyEstimate{local: true})
	fs.CloseFeed(time.Hour, "c1", "relay of c1")
	for _, name := range []string{"model of c2", "own"} {
		_, known := fs.estimates.get(name)
		assert.Assert(t, known, name)
	}
	_, known := fs.estimates.get("model of c1")
	assert.Assert(t, !known)
}
