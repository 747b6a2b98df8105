package locator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/relayer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Times for which tests wait.
const (
	// maxFetchDelay, searchPeriod and scaleUpPeriod are those of the allocator's decisions
	// about loads.
	maxFetchDelay = 300 * time.Millisecond
	searchPeriod  = 100 * time.Millisecond
	scaleUpPeriod = 100 * time.Millisecond
	// exchangeInterval is the time between two exchanges with the relay.
	exchangeInterval = 50 * time.Millisecond
)

// fixture is a locator linked to a relay. The test reports the statuses of the engines.
type fixture struct {
	t           *testing.T
	locator     *Locator
	fleetState  *relayer.FleetState
	clock       func() time.Duration
	config      *configurer.Configurer
	lastRequest int
	rowVersion  uint64
	// entryLink is the link of the locator's entry, othersLink one that stands for all
	// other entries, relayLink that of the relay itself, and sidecars are the links of the sidecars, by number of the engine.
	entryLink  uint64
	othersLink uint64
	relayLink  uint64
	sidecars   map[int]*sidecar
	// rates are the requests per second through other entries, by model.
	rates       map[string]float64
	firstReport bool
	// permitDelay is the time that the relay takes to answer a request for a permit, or negative if
	// it does not answer. permits counts the permits given.
	permitDelay time.Duration
	permits     int
	// mu guards the relay's state, the links, the rates and the permits.
	mu sync.Mutex
}

// noPermits is a PermitSource of tests in which no server names a limit.
type noPermits struct{}

// RequestPermit implements PermitSource.
func (noPermits) RequestPermit(context.Context, string, *wire.PermitRequest) (*wire.Permit, error) {
	return nil, refuser.New(refuser.NotFound, "no pacer")
}

// RequestPermit implements PermitSource.
func (fx *fixture) RequestPermit(ctx context.Context, _ string, request *wire.PermitRequest) (*wire.Permit, error) {
	if fx.permitDelay < 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(fx.permitDelay)
	fx.mu.Lock()
	defer fx.mu.Unlock()
	permit, err := fx.fleetState.Permit(fx.clock(), request)
	if permit.GetGiven() {
		fx.permits++
	}
	return permit, err
}

// sidecar is the link of one sidecar to the relay, with its latest assignment.
type sidecar struct {
	link         uint64
	statusNumber uint64
	// lost is set once the sidecar has stopped reporting.
	lost       bool
	assignment *wire.Assignment
}

// newFixture returns a fixture with a number of engines whose sidecars report and that
// hold no model, and exchanges reports and batches until the test ends.
func newFixture(t *testing.T, engines int) *fixture {
	start := time.Now()
	fx := &fixture{
		t: t, clock: func() time.Duration { return time.Hour + time.Since(start) }, config: configurer.New(),
		sidecars: map[int]*sidecar{}, rates: map[string]float64{}, firstReport: true,
	}
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 32}}}}
	for _, name := range []string{"m", "n", "o"} {
		change.Models = append(change.Models, &wire.Model{Name: name, Pool: "p", Bytes: 40, Remote: 6000, Disk: 800, Memory: 400})
		change.Models = append(change.Models, &wire.Model{Name: name + "/a1", Base: name, Pool: "p"})
	}
	fx.config.Restore(change)
	logger := faker.DiscardLogger()
	fx.locator = New("z", fx.clock, fx.config, dispatcher.NewQuarantine(fx.clock, recorder.New("entry", 16), logger), fx, logger)
	fx.fleetState = relayer.NewFleetState("relay", "z", fx.config, logger)
	fx.fleetState.SetRelayInUse("relay")
	fx.fleetState.UpdateMembers([]*wire.Member{{Name: "relay", Role: relayer.Sidecar, Centre: "z", Address: "relay", Row: 1}})
	fx.relayLink = fx.fleetState.Join(fx.clock(), &wire.Link{Name: "relay", Role: relayer.Sidecar, Centre: "z"})
	fx.entryLink = fx.fleetState.Join(fx.clock(), &wire.Link{Name: "entry", Role: relayer.Entry, Centre: "z"})
	fx.othersLink = fx.fleetState.Join(fx.clock(), &wire.Link{Name: "others", Role: relayer.Entry, Centre: "z"})
	fx.listEngines(engines)
	for i := range engines {
		fx.reportStatus(i, nil)
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go fx.exchange(done)
	return fx
}

// newQuarantine returns a quarantine for tests in which no server crashes.
func newQuarantine() *dispatcher.Quarantine {
	return dispatcher.NewQuarantine(func() time.Duration { return 0 }, recorder.New("entry", 16), faker.DiscardLogger())
}

// exchange exchanges reports and batches until done is closed.
func (fx *fixture) exchange(done <-chan struct{}) {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			fx.report(fx.othersLink, &wire.Report{Arrivals: fx.arrivals()})
			fx.sync()
		}
	}
}

// report delivers a report to the relay.
func (fx *fixture) report(link uint64, report *wire.Report) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.fleetState.Report(fx.clock(), link, report)
}

// sync delivers the locator's report to the relay and the relay's batch to the locator,
// twice, so that the decisions that follow from the report are known.
func (fx *fixture) sync() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for range 2 {
		now := fx.clock()
		report := &wire.Report{}
		fx.locator.Report(now, fx.firstReport, report)
		for name := range report.GetArrivals() {
			// The test's own requests don't count in the rates, which setRate sets.
			report.Arrivals[name] = 0
		}
		fx.fleetState.Report(now, fx.entryLink, report)
		fx.fleetState.Report(now, fx.othersLink, &wire.Report{})
		fx.fleetState.Report(now, fx.relayLink, &wire.Report{})
		for _, s := range fx.sidecars {
			if !s.lost {
				fx.fleetState.Report(now, s.link, &wire.Report{})
			}
		}
		fx.fleetState.Tick(now)
		fx.fleetState.Due(now)
		fx.locator.Receive(now, fx.fleetState.Batch(now, fx.entryLink), fx.firstReport)
		for _, s := range fx.sidecars {
			if batch := fx.fleetState.Batch(now, s.link); batch.GetTell() != nil {
				s.assignment = batch.GetTell()
			}
		}
		fx.firstReport = false
	}
}

// arrivals returns the requests through other entries in one exchangeInterval, by model.
func (fx *fixture) arrivals() map[string]float64 {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	counts := map[string]float64{}
	for name, rate := range fx.rates {
		counts[name] = rate * exchangeInterval.Seconds()
	}
	return counts
}

// setRate makes other entries receive a number of requests per second for a model, and
// reports as many arrivals as if they had done so for a long time.
func (fx *fixture) setRate(model string, rate float64) {
	// decaySeconds is the time constant of tracker.ArrivalMeter, in seconds.
	const decaySeconds = 4
	fx.mu.Lock()
	fx.rates[model] = rate
	fx.mu.Unlock()
	fx.report(fx.othersLink, &wire.Report{Arrivals: map[string]float64{model: decaySeconds * rate}})
}

// listEngines lists a number of engines.
func (fx *fixture) listEngines(engines int) {
	for i := range engines {
		fx.listServer(tracker.Server{ID: engineName(i), Pool: "p", Address: engineName(i), Centre: "z", Slots: 32, Started: 1})
	}
}

// listServer lists a server for the locator and the relay.
func (fx *fixture) listServer(s tracker.Server) {
	fx.rowVersion++
	listed := s.ListedServer(fx.rowVersion)
	fx.locator.UpdateServer(listed)
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.fleetState.UpdateServers(fx.clock(), []*wire.ListedServer{listed})
}

// removeServer removes a server from the list.
func (fx *fixture) removeServer(id string) {
	fx.rowVersion++
	listed := &wire.ListedServer{Id: id, Row: fx.rowVersion, Gone: true}
	fx.locator.UpdateServer(listed)
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.fleetState.UpdateServers(fx.clock(), []*wire.ListedServer{listed})
}

func engineName(i int) string { return fmt.Sprint("e", i) }

// reportStatus reports a sidecar's status to the relay: the engine serves the given models
// and has all models on its disk. If change is not nil, it changes the status first.
func (fx *fixture) reportStatus(i int, change func(*wire.EngineStatus), models ...string) {
	link, number := fx.linkSidecar(i)
	s := &wire.EngineStatus{Server: engineName(i), Born: 1, Started: 1, Number: number, Free: 100, Models: models, Disk: []string{"m", "n", "o"}}
	for _, m := range models {
		s.Free -= 40
		s.Residents = append(s.Residents, &wire.Resident{Model: m, Bytes: 40})
	}
	if change != nil {
		change(s)
	}
	fx.report(link, &wire.Report{Condition: s})
	fx.sync()
}

// linkSidecar links an engine's sidecar to the relay, unless it is linked, and returns its
// link and the number of its next status.
func (fx *fixture) linkSidecar(i int) (link, number uint64) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	s := fx.sidecars[i]
	if s == nil {
		s = &sidecar{link: fx.fleetState.Join(fx.clock(), &wire.Link{Name: fmt.Sprint("sidecar ", i), Role: relayer.Sidecar, Centre: "z"})}
		fx.sidecars[i] = s
	}
	s.statusNumber++
	return s.link, s.statusNumber
}

// newRequest returns a request for a model that has a deadline from now.
func (fx *fixture) newRequest(model string, deadline time.Duration) *dispatcher.Request {
	fx.lastRequest++
	now := fx.clock()
	return &dispatcher.Request{
		ID: fmt.Sprint(fx.lastRequest), Pool: "p", Model: model, Started: now, TargetTime: now + 400*time.Millisecond, Deadline: now + deadline,
		FirstEventDeadline: now + deadline,
		MaxGap:             250 * time.Millisecond, InputTokens: 800,
	}
}

// findResult is what Find returned, and when.
type findResult struct {
	reservation *dispatcher.Reservation
	err         error
	at          time.Duration
}

// find calls Find in a goroutine. It returns once Find has returned or the relay knows what the
// request waits for.
func (fx *fixture) find(ctx context.Context, request *dispatcher.Request) <-chan findResult {
	results := make(chan findResult, 1)
	go func() {
		reservation, err := fx.locator.Find(ctx, request, &dispatcher.History{Tried: map[string]bool{}})
		results <- findResult{reservation, err, fx.clock()}
	}()
	synctest.Wait()
	fx.sync()
	synctest.Wait()
	return results
}

// assignedLoads returns the models and adapters whose loads are assigned to an engine.
func (fx *fixture) assignedLoads(i int) []string {
	synctest.Wait()
	fx.sync()
	fx.mu.Lock()
	defer fx.mu.Unlock()
	var names []string
	if s := fx.sidecars[i]; s != nil {
		for _, w := range s.assignment.GetWants() {
			names = append(names, w.GetModel())
		}
	}
	return names
}

// assignedCount returns the number of requests that wait for the first load that is assigned
// to an engine.
func (fx *fixture) assignedCount(i int) uint32 {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.sidecars[i].assignment.GetWants()[0].GetCount()
}

// loseSidecar makes the sidecar of an engine stop reporting.
func (fx *fixture) loseSidecar(i int) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.sidecars[i].lost = true
}

// assignedEngine returns the first of a number of engines to which the load of a model is
// assigned, or -1.
func (fx *fixture) assignedEngine(model string, engines int) int {
	for i := range engines {
		if slices.Contains(fx.assignedLoads(i), model) {
			return i
		}
	}
	return -1
}
