package relayer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/placer"
	"oleanderstall/wire"
)

// newTestState returns the state of a relay with a configuration.
func newTestState() *FleetState {
	config := configurer.New()
	config.Restore(&wire.Change{
		Version: 1,
		Pools:   []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}},
		Models:  []*wire.Model{{Name: "odd", Pool: "p", Bytes: 40}, {Name: "sound", Pool: "p", Bytes: 40}},
	})
	return NewFleetState("relay", "c0", config, faker.DiscardLogger())
}

// joinEntry links an entry to the relay.
func joinEntry(fs *FleetState, name string) uint64 {
	return fs.Join(time.Hour, &wire.Link{Name: name, Role: Entry, Centre: "c0"})
}

// byModel returns load requests by the names of their models.
func byModel(list []*wire.LoadRequest) map[string]*wire.LoadRequest {
	requests := map[string]*wire.LoadRequest{}
	for _, r := range list {
		requests[r.GetModel()] = r
	}
	return requests
}

// oddRequests are load requests with numbers that no process can mean.
var oddRequests = []*wire.LoadRequest{
	{Model: "odd", Count: 1, Worth: math.Inf(1)},
	{Model: "odd", Count: 1, Worth: -1},
	{Model: "odd", Count: 1, Worth: 1e300},
	{Model: "odd", Count: math.MaxUint32, Worth: 1},
	{Model: "", Count: 1, Worth: 1},
	{Model: "odd", Count: 1, Worth: math.NaN()},
}

// TestOddDemand guards against a demand with an odd number that never equals itself, so that
// every report of the entry causes batches to all relays, and that outweighs all sound ones.
func TestOddDemand(t *testing.T) {
	for _, odd := range oddRequests {
		fs := newTestState()
		fs.Join(time.Hour, &wire.Link{Name: "other", Role: Relay, Centre: "c1"})
		relay := fs.lastLinkID
		report := &wire.Report{Waiting: true, Needs: []*wire.LoadRequest{odd, {Model: "sound", Count: 2, Worth: 2}}}
		id := joinEntry(fs, "entry")
		fs.Report(time.Hour, id, report)
		needs := byModel(fs.Batch(time.Hour, relay).GetNeeds())
		assert.Equal(t, len(needs), 1, "%v", odd)
		assert.Equal(t, needs["sound"].GetWorth(), 2.0)
		fs.Report(time.Hour, id, proto.CloneOf(report))
		assert.Equal(t, len(fs.Batch(time.Hour, relay).GetNeeds()), 0, "%v", odd)

		fs.OpenFeed(time.Hour, "c1", "other")
		fs.ApplyFeed(time.Hour, "c1", "address", &wire.Batch{Needs: report.GetNeeds()})
		assert.Equal(t, len(fs.remoteFeeds["c1"].demands), 1, "%v", odd)
	}
}

// TestOddLoadRequest guards against a load request of another relay with an odd number, which a
// sidecar is then sent with every batch.
func TestOddLoadRequest(t *testing.T) {
	oddRate := &wire.LoadRequest{Model: "odd", Count: 1, Worth: 1, Rate: math.NaN()}
	for _, odd := range append(oddRequests, oddRate) {
		fs := newTestState()
		id := fs.Join(time.Hour, &wire.Link{Name: "side", Role: Sidecar, Centre: "c0"})
		fs.Report(time.Hour, id, &wire.Report{Condition: &wire.EngineStatus{Server: "e", Born: 1, Started: 1}})
		fs.OpenFeed(time.Hour, "c1", "other")
		message := proto.CloneOf(odd)
		message.Server = "e"
		fs.ApplyFeed(time.Hour, "c1", "address", &wire.Batch{Wants: []*wire.LoadRequest{message, {Server: "e", Model: "sound", Count: 1, Worth: 1}}})
		wants := byModel(fs.Batch(time.Hour, id).GetTell().GetWants())
		assert.Equal(t, len(wants), 1, "%v", odd)
		assert.Assert(t, wants["sound"] != nil)
		assert.Assert(t, fs.Batch(time.Hour, id).GetTell() == nil)
	}
}

// TestOddUsage guards against a number of requests in flight that wraps around when the numbers
// of two entries are added, so that a model in use looks idle and is unloaded.
func TestOddUsage(t *testing.T) {
	fs := newTestState()
	id := fs.Join(time.Hour, &wire.Link{Name: "side", Role: Sidecar, Centre: "c0"})
	fs.Report(time.Hour, id, &wire.Report{Condition: &wire.EngineStatus{Server: "e", Born: 1, Started: 1, Models: []string{"odd"}}})
	odd := []*wire.EngineUsage{{Server: "e", Model: "odd", Inflight: math.MaxUint32}}
	fs.Report(time.Hour, joinEntry(fs, "a"), &wire.Report{Uses: odd})
	fs.Report(time.Hour, joinEntry(fs, "b"), &wire.Report{Uses: []*wire.EngineUsage{{Server: "e", Model: "odd", Inflight: 1}}})
	assert.Assert(t, fs.modelUsageAt(time.Hour, "e")["odd"].inflight > 0)
	fs.OpenFeed(time.Hour, "c1", "other")
	fs.ApplyFeed(time.Hour, "c1", "address", &wire.Batch{Uses: odd})
	assert.Assert(t, fs.modelUsageAt(time.Hour, "e")["odd"].inflight > 0)
}

// TestOddAge guards against a request that says that it has waited for weeks and therefore goes
// before all others at an engine.
func TestOddAge(t *testing.T) {
	odd := &wire.LoadRequest{Model: "odd", Count: 1, Age: math.MaxUint32}
	assert.Equal(t, decodeDemand(time.Hour, odd).FirstArrival, time.Hour-placer.MaxWait)
	request, _ := decodeLoadRequest(time.Hour, odd)
	assert.Equal(t, request.firstArrival, time.Hour-placer.MaxWait)
}

// TestAbsurdNumberOfCrashes guards against a relay that is busy for minutes, and loses all its
// links, because one process sends an absurdly long list of crashes.
func TestAbsurdNumberOfCrashes(t *testing.T) {
	fs := newTestState()
	var list []*wire.Crash
	for i := range 2000 {
		list = append(list, &wire.Crash{Server: "made up", Born: int64(i), Pool: "p"})
	}
	fs.Report(time.Hour, joinEntry(fs, "entry"), &wire.Report{Crashes: list})
	assert.Equal(t, len(fs.crashes.elements), 128)
}

// TestOddArrivals guards against the arrivals of a sound entry that other relays do not count
// because they were added to an odd number.
func TestOddArrivals(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		fs := newTestState()
		relay := fs.Join(time.Hour, &wire.Link{Name: "other", Role: Relay, Centre: "c1"})
		fs.Report(time.Hour, joinEntry(fs, "a"), &wire.Report{Arrivals: map[string]float64{"odd": 4, "sound": 1}})
		fs.Report(time.Hour, joinEntry(fs, "b"), &wire.Report{Arrivals: map[string]float64{"odd": odd, "sound": 1}})
		assert.DeepEqual(t, fs.Batch(time.Hour, relay).GetArrivals(), map[string]float64{"odd": 4, "sound": 2})
	}
}

// TestEmptyServerName guards against a server without a name that takes the place of the one
// which really is at its address.
func TestEmptyServerName(t *testing.T) {
	fs := newTestState()
	id := joinEntry(fs, "entry")
	fs.UpdateServers(time.Hour, []*wire.ListedServer{
		{Id: "", Row: 1, Pool: "p", Address: "x", Born: 9},
		{Id: "e", Row: 1, Pool: "p", Address: "x", Born: 1},
	})
	fs.UpdateMembers([]*wire.Member{{Name: "", Row: 1, Address: "x"}, {Name: "side", Row: 1, Address: "y"}})
	batch := fs.Batch(time.Hour, id)
	assert.Equal(t, len(batch.GetItems()), 1)
	assert.Equal(t, batch.GetItems()[0].GetId(), "e")
	assert.Equal(t, len(batch.GetMembers()), 1)
	assert.Equal(t, fs.members.version, uint64(1))
}

// TestDeparturesBounded guards against memory, and first batches, that grow with each server that
// has ever left, or that a process has made up. The departures of listed servers stay.
func TestDeparturesBounded(t *testing.T) {
	fs := newTestState()
	fs.UpdateServers(time.Hour, []*wire.ListedServer{{Id: "e", Row: 1, Pool: "p", Address: "e", Born: 1}})
	parted := []*wire.Departure{{Server: "e", Born: 1}}
	for i := range 3 * maxDepartures {
		parted = append(parted, &wire.Departure{Server: fmt.Sprint(i), Born: 1})
	}
	fs.Report(time.Hour, joinEntry(fs, "a"), &wire.Report{Parted: parted})
	got := fs.Batch(time.Hour, joinEntry(fs, "b")).GetParted()
	assert.Assert(t, len(got) <= maxDepartures, "%d departures", len(got))
	assert.Assert(t, leaves(got, "e"))
}
