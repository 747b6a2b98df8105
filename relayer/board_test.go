package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/wire"
)

// TestSpeakers keeps what is known of an engine as long as a link or the relay of any
// data centre speaks for it, in whatever order they come and go.
func TestSpeakers(t *testing.T) {
	word := &wire.EngineStatus{Server: "e", Born: 1, Started: 1, Number: 1}
	side := &wire.Link{Name: "side", Role: Sidecar, Centre: "c2"}
	publish := func(b *FleetState, centre string) {
		b.OpenFeed(time.Hour, centre, "relay of "+centre)
		b.ApplyFeed(time.Hour, centre, &wire.Batch{Conditions: []*wire.EngineStatus{word}})
	}
	for _, c := range []struct {
		name  string
		steps func(b *FleetState)
		known bool
	}{
		{"one page ends", func(b *FleetState) { publish(b, "c1"); publish(b, "c2"); b.CloseFeed(time.Hour, "c1", "relay of c1") }, true},
		{"both pages end", func(b *FleetState) {
			publish(b, "c1")
			publish(b, "c2")
			b.CloseFeed(time.Hour, "c1", "relay of c1")
			b.CloseFeed(time.Hour, "c2", "relay of c2")
		}, false},
		{"one page loses it", func(b *FleetState) {
			publish(b, "c1")
			publish(b, "c2")
			b.ApplyFeed(time.Hour, "c2", &wire.Batch{Lost: []string{"e"}})
		}, true},
		{"the link ends", func(b *FleetState) {
			publish(b, "c1")
			id := b.Join(time.Hour, side)
			b.Report(time.Hour, id, &wire.Report{Condition: word})
			b.Leave(time.Hour, id)
		}, true},
		{"the page ends beside a link", func(b *FleetState) {
			id := b.Join(time.Hour, side)
			b.Report(time.Hour, id, &wire.Report{Condition: word})
			publish(b, "c1")
			b.CloseFeed(time.Hour, "c1", "relay of c1")
		}, true},
		{"the only link ends", func(b *FleetState) {
			id := b.Join(time.Hour, side)
			b.Report(time.Hour, id, &wire.Report{Condition: word})
			b.Leave(time.Hour, id)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewFleetState("relay", "c0", configurer.New(), faker.Silent())
			c.steps(b)
			_, known := b.states.get("e")
			assert.Equal(t, known, c.known)
		})
	}
}
