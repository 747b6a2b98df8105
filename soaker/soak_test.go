package soaker

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
	"oleanderstall/timer"
)

var (
	seedCount    = flag.Int("seeds", 1, "number of seeds to run")
	firstSeed    = flag.Uint64("first", 1, "first seed")
	faultSeconds = flag.Int("seconds", 8, "duration of the faults of each seed, in seconds")
	entryCount   = flag.Int("entries", 3, "number of entries")
	sidecarCount = flag.Int("sidecars", 3, "number of engines, each with a sidecar")
	program      = flag.String("program", "", "path of the program to test, which is built if this is empty")
	withRawRows  = flag.Bool("rawrows", true, "odd rows whose value is not base64 too, in TestSoakStreamEnds")
	fatalShare   = flag.Float64("fatal", 0.05, "share of requests with a part on which engines crash, in TestSoakFatalPart")
)

// Parameters of a run.
const (
	// maxFaultGap bounds the time between the starts of two faults. A fault of a link
	// or a pause of a process lasts up to 200ms longer than maxFaultDuration.
	maxFaultGap      = 700 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// recoveryTime is how long the fleet has to recover after the last fault.
	recoveryTime = 6 * time.Second
	// verifyTime is the time after that in which at least the ratio minServedRatio of
	// the requests has to be served.
	verifyTime     = 2 * time.Second
	minServedRatio = 0.9
	callerCount    = 10
	// wireCallerCount is the number of callers of a run with faults of answers.
	wireCallerCount = 16
	maxAttempts     = 2
	restartDelay    = 300 * time.Millisecond
	// crashTime is the time from the crash of an engine to its next start. With faults of answers
	// it is shortCrashTime for every second seed: less than an entry waits before it asks whether
	// the process that answered still runs. maxLateFatalRuns is the number of requests with
	// fatalPart that may reach engines after the recovery.
	crashTime        = time.Second
	shortCrashTime   = 20 * time.Millisecond
	maxLateFatalRuns = 3
)

// soakMode selects what a run does beside the faults of all runs.
type soakMode struct {
	// fatalShare is the share of requests with fatalPart.
	fatalShare float64
	// streamEnds adds faults of answers and odd rows, and makes callers read answers byte by
	// byte.
	streamEnds bool
	// serverLimits makes backend servers name limits.
	serverLimits bool
	// coldServers makes backend servers cold.
	coldServers bool
	// evacuations makes the operator evacuate data centres.
	evacuations bool
	// fatalRequest makes the requests on which engines crash repeats of one request, and versions gives
	// engines two versions of their software and adds callers who take streams up. Both kill all entries at
	// once.
	fatalRequest bool
	versions     bool
	// storeTrouble makes the store silent, unreachable and set back, and replaces most other faults.
	storeTrouble bool
}

// callers returns the number of callers.
func (m soakMode) callers() int {
	if m.streamEnds {
		return wireCallerCount
	}
	return callerCount
}

// soakRun is the test run of one seed.
type soakRun struct {
	options  imitator.SiteOptions
	site     *imitator.Site
	binary   string
	entries  []*member
	sidecars []*member
	// serverLinks are the links in front of the backend servers.
	serverLinks []*link
	mode        soakMode
	// planned holds the backend servers whose answers have faults, guarded by the lock of
	// results.
	planned map[*imitator.Backend]bool
	// faultyAnswers is the number of answers that were to have a fault.
	faultyAnswers atomic.Int64
	results       results
	// takeUps are the streams that callers have taken up, guarded by the lock of results.
	takeUps []takeUp
	// limitPeriods are the limits that servers have named, which limitRandom draws.
	limitPeriods []limitPeriod
	limitRandom  *rand.Rand
	// evacuations are those of the run.
	evacuations []evacuation
	// configChanges is the number of changes of the configuration, keyChecks that of requests that
	// check which keys an entry serves.
	configChanges int
	keyChecks     int
	// paused is the time during which the machine did not run the test, and longestPause the
	// longest part of it.
	paused       time.Duration
	longestPause time.Duration
	// faultLog has a line for each fault.
	faultLog io.WriteCloser
	random   *rand.Rand
	clock    timer.Clock
}

// newSoakRun starts the stand-in site and the processes of the fleet, whose settings
// and logs go into dir. On an error it returns nil and leaves running what it has
// started.
func newSoakRun(seed uint64, mode soakMode, binary, dir string) (*soakRun, error) {
	start := time.Now()
	s := &soakRun{
		binary: binary, mode: mode, planned: map[*imitator.Backend]bool{},
		random: rand.New(rand.NewPCG(seed, 1)), limitRandom: rand.New(rand.NewPCG(seed, 4)), clock: func() time.Duration { return time.Since(start) },
	}
	s.options = imitator.SiteOptions{
		Engines: *sidecarCount, Services: 2, Models: 2 * *sidecarCount, ModelsPerEngine: 2, LoadTime: 60 * time.Millisecond, EventInterval: 8 * time.Millisecond,
		EventsPerStream: eventsPerStream, ServiceTime: 10 * time.Millisecond, Rate: 1e7, Burst: 1e7, Proxy: s.addServerLink, RestartTime: crashTime,
	}
	if mode.streamEnds && seed%2 == 0 {
		s.options.RestartTime = shortCrashTime
	}
	if mode.storeTrouble {
		// More models than fit keep all engines ordered.
		s.options.Models += *sidecarCount
	}
	if mode.evacuations {
		s.options.Centres = soakCentres
	}
	if mode.versions {
		for i := range *sidecarCount {
			s.options.EngineSoftware = append(s.options.EngineSoftware, fmt.Sprint("v", 1+i%2))
		}
	}
	if mode.coldServers {
		s.options.ColdTime, s.options.ColdRate = coldTime, coldRate
	}
	var err error
	if s.faultLog, err = os.Create(filepath.Join(dir, "faults.log")); err != nil {
		return nil, err
	}
	if s.site, err = imitator.NewSite(s.options); err != nil {
		return nil, err
	}
	if _, err = s.site.Configure(imitator.SiteKey, withdrawnKey); err != nil {
		return nil, err
	}
	for _, b := range s.site.Engines {
		b.CrashOn(fatalPart, fatalTarget)
	}
	for i := range *entryCount {
		s.entries = append(s.entries, &member{name: fmt.Sprintf("entry-%d", i), role: "entry", dir: dir})
	}
	for i, address := range s.site.EngineAddresses {
		s.sidecars = append(s.sidecars, &member{name: fmt.Sprintf("sidecar-%d", i), role: "sidecar", engineAddress: address, dir: dir})
	}
	for _, m := range s.members() {
		m.lease = leaseDuration
		if mode.storeTrouble {
			m.lease = storeLeaseDuration
		}
		if m.storeLink, err = newLink(s.site.StoreAddress); err != nil {
			return nil, err
		}
		if m == s.lateSidecar() {
			continue
		}
		if err = m.start(binary); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addServerLink adds a link in front of a backend server and returns the address of
// the link.
func (s *soakRun) addServerLink(address string) (string, error) {
	k, err := newLink(address)
	if err != nil {
		return "", err
	}
	s.serverLinks = append(s.serverLinks, k)
	return k.address, nil
}

// lateSidecar returns the sidecar that is started by loseHolder only, or nil.
func (s *soakRun) lateSidecar() *member {
	if !s.mode.storeTrouble {
		return nil
	}
	return s.sidecars[len(s.sidecars)-1]
}

func (s *soakRun) members() []*member {
	return append(append([]*member{}, s.entries...), s.sidecars...)
}

// stop ends all processes, links and stand-ins of the run.
func (s *soakRun) stop() {
	for _, m := range s.members() {
		if m.done != nil {
			m.stop()
		}
	}
	for _, k := range s.serverLinks {
		k.close()
	}
	s.site.Stop()
	_ = s.faultLog.Close()
}

// run injects faults for faultSeconds while callers send requests, waits for the fleet
// to recover and checks the guarantees.
func (s *soakRun) run() {
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients, faults sync.WaitGroup
	clients.Go(func() { s.measurePauses(ctx) })
	for i := range s.mode.callers() {
		run := s.newCaller(fmt.Sprint("caller-", i))
		clients.Go(func() { run(ctx) })
	}
	if !s.mode.storeTrouble {
		clients.Go(func() { s.withdrawKey(ctx) })
	}
	if s.mode.serverLimits {
		faults.Go(s.nameLimits)
	}
	if s.mode.versions {
		for i := range takerCount {
			run := s.newTaker(fmt.Sprint("taker-", i))
			clients.Go(func() { run(ctx) })
		}
	}
	if s.mode.versions || s.mode.fatalRequest {
		faults.Go(s.killEntries)
	}
	if s.mode.evacuations {
		faults.Go(s.evacuate)
	}
	if s.mode.coldServers {
		faults.Go(s.turnCold)
	}
	if s.mode.storeTrouble {
		s.loseHolder()
		s.disturbStore(&faults)
	} else {
		s.injectFaults(&faults)
	}
	faults.Wait()
	time.Sleep(recoveryTime)
	recoveredAt, fatalRuns := s.clock(), s.fatalRuns()
	time.Sleep(verifyTime)
	s.checkRecovery(recoveredAt)
	s.checkFatalRuns(fatalRuns)
	s.checkTakeUps(recoveredAt)
	cancel()
	clients.Wait()
	s.checkGuarantees()
	s.checkLimits()
	if s.mode.storeTrouble {
		s.checkTurns()
	}
	s.checkCold()
	s.checkEvacuations()
	s.checkProcesses()
	if s.mode.streamEnds {
		s.checkOutcomes()
		s.checkAddedService()
	}
}

// newCaller returns the function that sends a caller's requests until its context ends.
func (s *soakRun) newCaller(name string) func(context.Context) {
	seed := s.random.Uint64()
	random := rand.New(rand.NewPCG(seed, 2))
	if s.mode.streamEnds {
		return (&wireCaller{name: name, random: random, soakRun: s, connections: map[*member]*wireConn{}}).run
	}
	return (&caller{
		name: name, client: &http.Client{Transport: &http.Transport{}}, soakRun: s,
		random: random, fatalRandom: rand.New(rand.NewPCG(seed, 3)),
	}).run
}

// fatalRuns returns the number of requests with fatalPart that have reached engines.
func (s *soakRun) fatalRuns() int {
	n := 0
	for _, b := range s.site.Engines {
		n += b.FatalRuns()
	}
	return n
}

// checkFatalRuns checks that at most maxLateFatalRuns requests with fatalPart have reached
// engines beyond a number.
func (s *soakRun) checkFatalRuns(before int) {
	if late := s.fatalRuns() - before; late > maxLateFatalRuns {
		s.results.addViolation("%d requests with the fatal part reached engines after the recovery, %d before", late, before)
	}
}

// checkRecovery checks that at least minServedRatio of the requests without fatalPart sent
// since a time were served.
func (s *soakRun) checkRecovery(since time.Duration) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	sent, served := 0, 0
	for _, r := range s.results.requests {
		if r.sentAt >= since && r.kind != "fatal" {
			sent++
			if r.served {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedRatio*float64(sent) {
		s.results.violations = append(s.results.violations, fmt.Sprintf("%v after the last fault only %d of %d requests were served", recoveryTime, served, sent))
	}
}

// checkGuarantees compares the answers that callers received with the requests that
// backend servers executed, and checks the orders to engines and the memory of the
// processes. A request with side effects (kind order) runs at most once; requests of
// other kinds run at most maxAttempts times, except resumable streams (kind brief).
func (s *soakRun) checkGuarantees() {
	executions := map[string]int{}
	for _, h := range append(append([]*imitator.Backend{}, s.site.Engines...), s.site.Services...) {
		for id, n := range h.Runs() {
			executions[id] += n
		}
		if h.Overcommits() > 0 {
			s.results.addViolation("an engine was ordered to load more than its memory holds")
		}
		for i, f := range h.Fences() {
			if i > 0 && f < h.Fences()[i-1] {
				s.results.addViolation("an engine received an order with fencing number %d after %d", f, h.Fences()[i-1])
			}
		}
	}
	for _, r := range s.results.requests {
		n := executions[r.id]
		if r.kind == "order" && n > 1 || n > maxAttempts && r.kind != "brief" {
			s.results.addViolation("%s %s ran %d times", r.kind, r.id, n)
		}
		if r.notExecuted && n > 0 {
			s.results.addViolation("%s %s ran although its answer stated that it did not", r.kind, r.id)
		}
	}
	for _, m := range s.members() {
		if used := m.peakMemory(); used > maxMemory {
			s.results.addViolation("%s used %d bytes of memory", m.name, used)
		}
	}
}

// servedCount returns the number of requests that were served.
func (s *soakRun) servedCount() int {
	n := 0
	for _, r := range s.results.requests {
		if r.served {
			n++
		}
	}
	return n
}

// TestSoak checks the guarantees under random faults, in one run for each seed.
func TestSoak(t *testing.T) { soak(t, soakMode{}) }

// TestSoakFatalPart is TestSoak with requests that hold a part on which engines crash. It
// guards against entries that forget, under faults, what engines crash on.
func TestSoakFatalPart(t *testing.T) { soak(t, soakMode{fatalShare: *fatalShare}) }

// TestSoakFatalRequest is TestSoakFatalPart with one request that comes again and a kill of all entries.
// It guards against entries that learn anew what the request does to engines.
func TestSoakFatalRequest(t *testing.T) {
	soak(t, soakMode{fatalShare: *fatalShare, fatalRequest: true})
}

// TestSoakVersions is TestSoak with engines of two versions of their software, callers who take streams up
// and a kill of all entries. It guards against streams with events of both versions, and against streams
// that could go on and don't.
func TestSoakVersions(t *testing.T) { soak(t, soakMode{versions: true}) }

// TestSoakStreamEnds is TestSoak with faulty answers of the backend servers and odd rows of
// another writer. It guards against streams that end as complete before their last event, bytes
// that belong to no request, false statements about what ran, and processes that stop following
// a table.
func TestSoakStreamEnds(t *testing.T) { soak(t, soakMode{streamEnds: true}) }

// TestSoakServerLimits is TestSoak with backend servers that name limits. It guards against servers
// that get more than that while processes are killed, pause and lose the store.
func TestSoakServerLimits(t *testing.T) { soak(t, soakMode{serverLimits: true}) }

// TestSoakCold is TestSoak with backend servers that become cold. It guards against servers that get
// more than they tolerate then, while processes are killed, pause and lose the store.
func TestSoakCold(t *testing.T) { soak(t, soakMode{coldServers: true}) }

// TestSoakEvacuation is TestSoak with data centres that are evacuated. It guards against requests that
// reach one then, while processes are killed, pause and lose the store.
func TestSoakEvacuation(t *testing.T) { soak(t, soakMode{evacuations: true}) }

// TestSoakStore is TestSoak with a store that is silent, or comes back from a copy. It guards against
// a configuration that is not in force in time or comes back older, against fencing numbers that
// are given out twice, and against a holder of an engine that orders within the lease of one whose row
// the store has lost.
func TestSoakStore(t *testing.T) { soak(t, soakMode{storeTrouble: true}) }

// soak runs all seeds in a mode.
func soak(t *testing.T, mode soakMode) {
	dir, err := os.MkdirTemp("", "soak")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	binary := *program
	if binary == "" {
		binary = filepath.Join(dir, "oleanderstall")
		out, err := exec.Command("go", "build", "-o", binary, "../cmd/oleanderstall").CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			logs := filepath.Join(dir, fmt.Sprint(seed))
			assert.NilError(t, os.Mkdir(logs, 0o700))
			s, err := newSoakRun(seed, mode, binary, logs)
			if s != nil {
				defer s.stop()
			}
			assert.NilError(t, err)
			s.run()
			t.Logf("seed %d: %d requests, %d served, %d with the fatal part reached engines", seed, len(s.results.requests), s.servedCount(), s.fatalRuns())
			t.Logf("seed %d: %d faulty answers; the machine did not run the test for %v, at most %v at once", seed, s.faultyAnswers.Load(), s.paused.Round(time.Millisecond), s.longestPause.Round(time.Millisecond))
			if mode.versions {
				t.Logf("seed %d: %d times a stream was taken up", seed, len(s.takeUps))
			}
			for _, text := range s.results.violations {
				t.Error(text)
			}
			if t.Failed() {
				t.Log("logs:", logs)
			}
		})
	}
}
