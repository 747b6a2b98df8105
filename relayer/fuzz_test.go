package relayer

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleanderstall/limiter"
	"oleanderstall/wire"
)

// oddStatus is a status of an engine with odd entries in all its lists.
var oddStatus = &wire.EngineStatus{
	Server: "x", Born: -1, Started: math.MaxInt64, Number: math.MaxUint64, Running: math.MaxUint32, Waiting: math.MaxUint32,
	Models: []string{"", "odd", "", "odd"}, Coming: []string{""}, Memory: []string{""}, Free: math.MaxUint64, Fetching: true,
	Residents: []*wire.Resident{{}, {Model: "odd", Bytes: math.MaxUint64, Keep: math.NaN(), Rate: math.Inf(1)}},
	Tasks:     []*wire.PendingLoad{{}, {Model: "odd", Left: math.MaxUint32}, {Model: "odd"}},
}

// oddLists are the lists of a report or a batch with odd entries.
var (
	oddSpent  = map[string]float64{"": math.NaN(), "w": math.Inf(-1), "unknown": 1e300}
	oddCrash  = []*wire.Crash{{}, {Server: "x", Age: math.MaxUint32, Suspects: []*wire.Suspect{{}, {Depth: math.MaxUint32}}}}
	oddParted = []*wire.Departure{{}, {Server: "x", Born: math.MaxInt64}}
	oddSpeeds = []*wire.ServerSpeed{{}, {Server: "x", Speed: math.MaxUint32, Count: math.MaxUint32, Pace: math.MaxUint32}, {Server: "e", Count: 1}, {Server: "e", Speed: 1, Count: 1}, {Server: "e", Pace: 10001}}
	oddFelt   = []*wire.Saturation{{}, {Server: "x", Strain: float32(math.NaN())}, {Server: "x", Strain: float32(math.Inf(-1))}}
	oddUses   = []*wire.EngineUsage{{}, {Server: "x", Model: "odd", Inflight: math.MaxUint32}}
)

// marshal returns the encoding of a message.
func marshal(t testing.TB, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	assert.NilError(t, err)
	return data
}

// newSoundState returns the state of a relay to which a sound sidecar, a sound entry and the
// relay of another data centre are linked. The entry waits for the model "sound".
func newSoundState() *FleetState {
	fs := newTestState()
	fs.SetLimits(time.Hour, []limiter.Limit{{Workspace: "w", Rate: 10, Burst: 100}})
	fs.UpdateServers(time.Hour, []*wire.ListedServer{{Id: "e", Row: 1, Pool: "p", Address: "e", Centre: "c0", Born: 1, Slots: 16}})
	side := fs.Join(time.Hour, &wire.Link{Name: "side", Role: Sidecar, Centre: "c0"})
	fs.Report(time.Hour, side, &wire.Report{Condition: &wire.EngineStatus{Server: "e", Born: 1, Started: 1, Number: 1, Free: 100, Disk: []string{"sound"}}})
	fs.Report(time.Hour, joinEntry(fs, "entry"), &wire.Report{Waiting: true, Needs: []*wire.LoadRequest{{Model: "sound", Count: 1, Worth: 1, Goal: 1000}}})
	fs.Join(time.Hour, &wire.Link{Name: "other", Role: Relay, Centre: "c1"})
	return fs
}

// checkSound checks that the relay still decides for the sound entry, that all batches can be
// sent, and that no number in them is odd.
func checkSound(t *testing.T, fs *FleetState) {
	now := time.Hour + reportTimeout/2
	fs.Tick(now)
	fs.Due(now)
	request, ok := fs.loadRequests.get(serverModel{"e", "sound"})
	assert.Assert(t, ok && request.count >= 1)
	entry := joinEntry(fs, "late")
	for id := range fs.processes {
		batch := fs.Batch(now, id)
		marshal(t, batch)
		checkNumbers(t, batch)
		if id == entry {
			assert.Assert(t, len(batch.GetConditions()) > 0)
			assert.Assert(t, batch.GetLevels()["w"] >= 0)
		}
	}
}

// checkNumbers checks the numbers of a batch that other processes add up.
func checkNumbers(t *testing.T, batch *wire.Batch) {
	for _, numbers := range []map[string]float64{batch.GetSpent(), batch.GetLevels(), batch.GetArrivals()} {
		for name, n := range numbers {
			assert.Assert(t, !math.IsNaN(n) && !math.IsInf(n, 0), "%q: %v", name, n)
		}
	}
	for _, list := range [][]*wire.LoadRequest{batch.GetNeeds(), batch.GetWants(), batch.GetTell().GetWants()} {
		for _, r := range list {
			assert.Assert(t, r.GetWorth() >= 0 && r.GetRate() >= 0, "%v", r)
		}
	}
}

// isOfOthers reports whether a status is not one of the sound engine.
func isOfOthers(s *wire.EngineStatus) bool { return s.GetServer() != "e" }

// FuzzReport checks that no report of an odd process ends the relay, or costs another process.
func FuzzReport(f *testing.F) {
	f.Add(Entry, marshal(f, &wire.Report{
		Number: math.MaxUint64, Heard: math.MaxUint64, Uses: oddUses, Needs: oddRequests, Waiting: true, Ready: true, Last: true,
		Arrivals: oddSpent, Spent: oddSpent, Felt: oddFelt, Speeds: oddSpeeds, Parted: oddParted, Crashes: oddCrash,
	}))
	f.Add(Sidecar, marshal(f, &wire.Report{Condition: oddStatus, Traffic: &wire.EngineLoad{Server: "x", Running: math.MaxUint32, Waiting: 1}}))
	f.Add(Relay, marshal(f, &wire.Report{Heard: math.MaxUint64, Ready: true}))
	f.Add("another role", marshal(f, &wire.Report{Condition: oddStatus, Uses: oddUses}))
	f.Fuzz(func(t *testing.T, role string, data []byte) {
		report := &wire.Report{}
		if proto.Unmarshal(data, report) != nil || !isOfOthers(report.GetCondition()) || leaves(report.GetParted(), "e") {
			return
		}
		fs := newSoundState()
		id := fs.Join(time.Hour, &wire.Link{Name: "odd", Role: role, Centre: "c2"})
		for range 2 {
			fs.Report(time.Hour, id, report)
			fs.Batch(time.Hour, id)
		}
		checkSound(t, fs)
	})
}

// leaves reports whether departures name a server.
func leaves(departures []*wire.Departure, server string) bool {
	for _, d := range departures {
		if d.GetServer() == server {
			return true
		}
	}
	return false
}

// FuzzBatch checks that no batch of an odd relay ends this one, or costs its processes.
func FuzzBatch(f *testing.F) {
	f.Add(marshal(f, &wire.Batch{
		Number: math.MaxUint64, Heard: math.MaxUint64, Links: math.MaxUint32, Conditions: []*wire.EngineStatus{{}, oddStatus},
		Traffic: []*wire.EngineLoad{{}, {Server: "x", Running: math.MaxUint32, Waiting: 1}}, Lost: []string{"", "x", "x"},
		Uses: oddUses, Needs: oddRequests, Wants: oddRequests, Outlooks: []*wire.ReadyEstimate{{}, {Model: "odd", Left: math.MaxUint32}},
		Arrivals: oddSpent, Spent: oddSpent, Levels: oddSpent, Felt: oddFelt, Speeds: oddSpeeds, Parted: oddParted, Crashes: oddCrash,
		Entries: math.MaxUint32, Absent: math.MaxUint32, Young: math.MaxUint32, Ready: math.MaxUint32, Names: []string{"", "odd", "odd"},
		Items: []*wire.ListedServer{{}, {Id: "x", Slots: math.MaxUint32, Born: math.MinInt64}, {Id: "gone", Gone: true}},
		Age:   math.MaxUint32,
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &wire.Batch{}
		if proto.Unmarshal(data, batch) != nil || leaves(batch.GetParted(), "e") {
			return
		}
		for _, s := range batch.GetConditions() {
			if !isOfOthers(s) {
				return
			}
		}
		for _, s := range batch.GetItems() {
			if s.GetId() == "e" || s.GetAddress() == "e" {
				return
			}
		}
		fs := newSoundState()
		fs.OpenFeed(time.Hour, "c2", "odd")
		for range 2 {
			fs.ApplyFeed(time.Hour, "c2", "address", batch)
		}
		fs.CloseFeed(time.Hour, "c2", "odd")
		checkSound(t, fs)
	})
}
