package relayer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/pacer"
	"oleanderstall/peer"
	"oleanderstall/quarantiner"
	"oleanderstall/refuser"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// fleet is a set of processes on an in-memory network: some entries and some sidecars in
// each data centre.
type fleet struct {
	t         *testing.T
	network   *faker.Network
	clock     func() time.Duration
	processes map[string]*process
	// onStart, if set, is called with each process that starts.
	onStart func(p *process)
	// starts counts the starts of processes. Its value at the start of a process is also
	// the process's start time and row version.
	starts uint64
}

// process is one process of the fleet. It implements subscriber.Process.
type process struct {
	fleet      *fleet
	link       *wire.Link
	relayer    *Relayer
	membership *subscriber.Membership
	config     *configurer.Configurer
	subscriber *subscriber.Subscriber
	// ctx ends, by cancel, when the process ends. senders are the tasks that send requests to
	// servers for it.
	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup
	done    chan struct{}

	mu sync.Mutex
	// engine is the status of a sidecar's engine, statusSent is set once it was reported, and
	// assignment is the latest one from the relay.
	engine     *wire.EngineStatus
	statusSent bool
	assignment *wire.Assignment
	// demands, usage and tokensUsed are what an entry reports.
	demands    map[string]*wire.LoadRequest
	usage      map[serverModel]uint32
	tokensUsed map[string]float64
	crashes    *quarantiner.Quarantiner
	fresh      bool
	// limits are the limits that an entry knows, and pacers who gives out the permits, by server.
	limits *pacer.Limits
	pacers map[string]string
	// The rest is what an entry has received; remoteTokens are the tokens used by others.
	statuses     map[string]*wire.EngineStatus
	lost         map[string]bool
	estimates    map[string]*wire.ReadyEstimate
	remoteTokens map[string]float64
	ready        uint32
	entries      uint32
	absent       uint32
	changed      chan struct{}
}

const testModels = 12

func newFleet(t *testing.T, centres, entries, sidecars int) *fleet {
	start := time.Now()
	f := &fleet{
		t: t, network: faker.NewNetwork(), processes: map[string]*process{},
		clock: func() time.Duration { return time.Hour + time.Since(start) },
	}
	t.Cleanup(f.stop)
	for c := range centres {
		for i := range entries {
			f.start(Entry, c, i)
		}
		for i := range sidecars {
			f.start(Sidecar, c, i)
		}
	}
	return f
}

func entryName(centre, i int) string { return fmt.Sprintf("entry-%d-%d", centre, i) }

func sidecarName(centre, i int) string { return fmt.Sprintf("sidecar-%d-%d", centre, i) }

func testModel(i int) string { return fmt.Sprint("m", i) }

// start starts a process, in place of an earlier one of the same name.
func (f *fleet) start(role string, centre, i int) *process {
	name := entryName(centre, i)
	if role == Sidecar {
		name = sidecarName(centre, i)
	}
	f.kill(name)
	f.starts++
	p := &process{
		fleet: f, config: configurer.New(), membership: subscriber.NewMembership(), done: make(chan struct{}),
		link:    &wire.Link{Name: name, Role: role, Centre: fmt.Sprint("c", centre), Started: int64(f.starts), Backend: "engine " + name},
		demands: map[string]*wire.LoadRequest{}, usage: map[serverModel]uint32{}, tokensUsed: map[string]float64{}, changed: make(chan struct{}, 1), crashes: quarantiner.New(0),
		limits: pacer.NewLimits(), pacers: map[string]string{},
		statuses: map[string]*wire.EngineStatus{}, lost: map[string]bool{}, estimates: map[string]*wire.ReadyEstimate{}, remoteTokens: map[string]float64{},
	}
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}}}
	for m := range testModels {
		change.Models = append(change.Models, &wire.Model{Name: testModel(m), Pool: "p", Bytes: 40, Remote: 6000, Disk: 500, Memory: 400})
	}
	p.config.Restore(change)
	if role == Sidecar {
		p.engine = &wire.EngineStatus{Server: "e-" + name, Born: 1, Started: p.link.GetStarted(), Number: 1, Free: 100}
		for m := range testModels {
			p.engine.Disk = append(p.engine.Disk, testModel(m))
		}
	}
	p.relayer = New(p.link, f.clock, p.config, faker.DiscardLogger())
	f.processes[name] = p
	f.network.Attach(name, p.handle)
	f.publishLists()
	p.run()
	if f.onStart != nil {
		f.onStart(p)
	}
	return p
}

// handle answers a call of another process.
func (p *process) handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	if call.GetPermit() == nil {
		p.relayer.Handle(ctx, call, s)
		return
	}
	permit, err := p.relayer.Permit(call.GetPermit())
	if err != nil {
		_ = s.Send(refuser.FromError(err).Reply())
		return
	}
	_ = s.Send(&wire.Reply{Body: &wire.Reply_Permit{Permit: permit}})
}

// publishLists passes the lists of processes and engines to all processes, as the store
// would.
func (f *fleet) publishLists() {
	var members []*wire.Member
	var servers []*wire.ListedServer
	for name, p := range f.processes {
		members = append(members, &wire.Member{
			Name: name, Role: p.link.GetRole(), Centre: p.link.GetCentre(), Address: name,
			Started: p.link.GetStarted(), Row: uint64(p.link.GetStarted()),
		})
		if p.engine != nil {
			servers = append(servers, &wire.ListedServer{Id: p.engine.GetServer(), Row: 1, Pool: "p", Address: "engine " + name, Centre: p.link.GetCentre(), Slots: 16, Born: 1})
		}
	}
	for _, p := range f.processes {
		p.membership.Update(members...)
		p.relayer.UpdateMembers(members)
		p.relayer.UpdateServers(f.clock(), servers)
	}
}

// run runs the tasks of a process.
func (p *process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx, p.cancel = ctx, cancel
	timing := subscriber.EntryTiming
	if p.link.GetRole() == Sidecar {
		timing = subscriber.SidecarTiming
	}
	network := caller{p.fleet.network, p.link.GetName()}
	host := subscriber.Host{
		Name: p.link.GetName(), Clock: p.fleet.clock, Caller: network, Local: p.relayer.Handle, Membership: p.membership, Log: faker.DiscardLogger(),
	}
	p.subscriber = subscriber.New(host, p.link, p.link.GetCentre(), timing, p)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){
		p.relayer.Run, p.subscriber.Run,
		func(ctx context.Context) { p.relayer.ReadFeeds(ctx, network, p.membership) },
		p.followRelay,
	} {
		tasks.Go(func() { task(ctx) })
	}
	go func() {
		tasks.Wait()
		close(p.done)
	}()
}

// followRelay keeps the process's own relay informed of the relay that the process uses.
func (p *process) followRelay(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.relayer.SetRelayInUse(p.subscriber.Relay())
		}
	}
}

// kill ends a process without a last report.
func (f *fleet) kill(name string) {
	p := f.processes[name]
	if p == nil {
		return
	}
	delete(f.processes, name)
	f.network.Detach(name)
	p.cancel()
	<-p.done
	p.senders.Wait()
}

// startNamed starts a process that was killed.
func (f *fleet) startNamed(name string) *process {
	role, centre, i := Entry, 0, 0
	if _, err := fmt.Sscanf(name, Entry+"-%d-%d", &centre, &i); err != nil {
		role = Sidecar
		_, err = fmt.Sscanf(name, Sidecar+"-%d-%d", &centre, &i)
		assert.NilError(f.t, err)
	}
	return f.start(role, centre, i)
}

// relayOf returns the name of the relay that the processes of a data centre use.
func (f *fleet) relayOf(centre string) string {
	for _, p := range f.processes {
		if p.link.GetCentre() == centre && p.link.GetRole() == Entry {
			return p.subscriber.Relay()
		}
	}
	return ""
}

// stop ends all processes.
func (f *fleet) stop() {
	for name := range f.processes {
		f.kill(name)
	}
}

// Report implements subscriber.Process.
func (p *process) Report(_ time.Duration, complete bool) *wire.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &wire.Report{Ready: true}
	if p.engine != nil {
		if complete || !p.statusSent {
			r.Condition, p.statusSent = p.engine, true
		}
		return r
	}
	for key, n := range p.usage {
		r.Uses = append(r.Uses, &wire.EngineUsage{Server: key.server, Model: key.model, Inflight: n})
	}
	r.Waiting = true
	for _, request := range p.demands {
		r.Needs = append(r.Needs, request)
	}
	r.Spent, p.tokensUsed = p.tokensUsed, map[string]float64{}
	r.Crashes = p.crashes.TakeUnsent(p.fleet.clock(), complete)
	for _, l := range p.limits.TakeUnsent(complete) {
		r.Limits = append(r.Limits, l.Message())
	}
	return r
}

// Receive implements subscriber.Process.
func (p *process) Receive(_ time.Duration, _ string, batch *wire.Batch, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first {
		clear(p.statuses)
	}
	for _, c := range batch.GetConditions() {
		p.statuses[c.GetServer()] = c
		delete(p.lost, c.GetServer())
	}
	for _, id := range batch.GetLost() {
		p.lost[id] = true
		delete(p.statuses, id)
	}
	for _, e := range batch.GetOutlooks() {
		p.estimates[e.GetModel()] = e
		if e.GetGone() {
			delete(p.estimates, e.GetModel())
		}
	}
	if batch.GetTell() != nil {
		p.assignment = batch.GetTell()
	}
	addAll(p.remoteTokens, batch.GetSpent())
	for _, message := range batch.GetCrashes() {
		p.crashes.Merge(p.fleet.clock(), message)
	}
	for _, message := range batch.GetLimits() {
		p.receiveLimit(message)
	}
	p.ready, p.entries, p.absent = batch.GetReady(), batch.GetEntries(), batch.GetAbsent()
}

// LinkLost implements subscriber.Process. Tokens whose report was not confirmed are reported
// again.
func (p *process) LinkLost(_ time.Duration, _ string, reports []*wire.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		addAll(p.tokensUsed, r.GetSpent())
	}
}

// Changed implements subscriber.Process.
func (p *process) Changed() <-chan struct{} { return p.changed }

// set changes a process and makes it report.
func (p *process) set(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// setModels replaces the models of a sidecar's engine.
func (p *process) setModels(models ...string) {
	p.set(func() {
		next := &wire.EngineStatus{
			Server: p.engine.GetServer(), Born: 1, Started: p.engine.GetStarted(), Number: p.engine.GetNumber() + 1,
			Models: models, Disk: p.engine.GetDisk(), Free: 100 - 40*uint64(len(models)),
		}
		for _, m := range models {
			next.Residents = append(next.Residents, &wire.Resident{Model: m, Bytes: 40})
		}
		p.engine, p.statusSent = next, false
	})
}

// locked calls read with the process locked and returns its result.
func locked[T any](p *process, read func() T) T {
	p.mu.Lock()
	defer p.mu.Unlock()
	return read()
}

// relays returns the names of the processes that are in use as relays.
func (f *fleet) relays() []string {
	var names []string
	for name, p := range f.processes {
		p.relayer.mu.Lock()
		if p.relayer.state.Serving() {
			names = append(names, name)
		}
		p.relayer.mu.Unlock()
	}
	return names
}

// statusesKnown reports whether every entry knows the latest status of every engine.
func (f *fleet) statusesKnown() bool {
	for _, p := range f.processes {
		if p.link.GetRole() != Entry {
			continue
		}
		for _, s := range f.processes {
			if s.engine == nil {
				continue
			}
			number := locked(p, func() uint64 { return p.statuses[s.engine.GetServer()].GetNumber() })
			if number != s.engine.GetNumber() {
				return false
			}
		}
	}
	return true
}

// await waits for at most d until the condition is true, and returns the time that took.
func (f *fleet) await(what string, d time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	start := f.clock()
	for {
		synctest.Wait()
		if condition() {
			return f.clock() - start
		}
		if f.clock()-start > d {
			assert.Assert(f.t, false, "%s: not within %v", what, d)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// caller is the network as used by a named process.
type caller struct {
	*faker.Network
	name string
}

// TestEntriesKnowAllEngines checks that every entry learns the status of every engine
// through one relay in each data centre, soon after the start and after each change.
func TestEntriesKnowAllEngines(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		for i := range 5 {
			f.processes[sidecarName(i%3, i%4)].setModels(testModel(i))
			f.await("change", 150*time.Millisecond, f.statusesKnown)
		}
	})
}

// TestRelayFailover kills the relay of a data centre and checks that within a second after
// its processes have noticed every entry knows the status of every running engine. The
// engine of the killed process, a sidecar, counts as lost.
func TestRelayFailover(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		killed := f.relays()[0]
		f.kill(killed)
		elapsed := f.await("takeover", 3*time.Second, f.statusesKnown)
		assert.Assert(t, elapsed <= subscriber.SidecarTiming.Timeout+time.Second, "%v", elapsed)
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				f.await("engine of the killed sidecar is lost", 2*time.Second, func() bool {
					return locked(p, func() bool { return p.statuses["e-"+killed] == nil })
				})
			}
		}
	})
}

// TestSlowRelay starts an entry while the relay of its data centre is slow to answer. The
// entry must wait for it rather than split the data centre: the next candidates refuse the
// link, since they use that relay themselves. Once the relay was killed and the others have
// noticed, another one accepts a new entry soon.
func TestSlowRelay(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 4)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay", 5*time.Second, func() bool { return len(f.relays()) == 1 })
		relay := f.relays()[0]
		handle := f.processes[relay].handle
		f.network.Attach(relay, func(ctx context.Context, call *wire.Call, s peer.Stream) {
			time.Sleep(400 * time.Millisecond)
			handle(ctx, call, s)
		})
		p := f.start(Entry, 0, 2)
		f.await("link to the slow relay", time.Second, func() bool { return p.subscriber.Relay() != "" })
		assert.Equal(t, p.subscriber.Relay(), relay)
		assert.DeepEqual(t, f.relays(), []string{relay})
		f.kill(relay)
		time.Sleep(2 * subscriber.SidecarTiming.Timeout)
		p = f.start(Entry, 0, 3)
		f.await("link to another relay", time.Second, func() bool { return p.subscriber.Relay() != "" })
	})
}

// TestNewEntriesCountAsAbsent checks that an entry which has just started counts as absent
// for the other entries of all data centres, but not for itself.
func TestNewEntriesCountAsAbsent(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 2)
		f.await("start", 3*time.Second, f.statusesKnown)
		absent := func(name string, want uint32) func() bool {
			p := f.processes[name]
			return func() bool { return locked(p, func() uint32 { return p.absent }) == want }
		}
		time.Sleep(newProcessAge + newEntryTime)
		f.start(Entry, 0, 0)
		for _, c := range []struct {
			name   string
			absent uint32
		}{{entryName(0, 0), 0}, {entryName(0, 1), 1}, {entryName(1, 0), 1}} {
			f.await(c.name, time.Second, absent(c.name, c.absent))
		}
		time.Sleep(newEntryTime)
		f.await("no longer new", time.Second, absent(entryName(1, 1), 0))
	})
}

// TestRelayPartitioned cuts the links to the relay of a data centre, in both directions, for
// a while. Every entry must learn new statuses through another relay, and afterwards there
// is one relay in each data centre again.
func TestRelayPartitioned(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 3)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 2 })
		relay := f.relays()[0]
		f.network.SetUnreachable(relay, true)
		f.processes[sidecarName(1, 0)].setModels(testModel(3))
		f.processes[sidecarName(0, 1)].setModels(testModel(4))
		f.await("statuses through another relay", 3*time.Second, func() bool {
			for _, p := range f.processes {
				if p.link.GetRole() != Entry {
					continue
				}
				for _, s := range []string{sidecarName(1, 0), sidecarName(0, 1)} {
					if s == relay {
						continue
					}
					if locked(p, func() uint64 { return p.statuses["e-"+s].GetNumber() }) != 2 {
						return false
					}
				}
			}
			return true
		})
		f.network.SetUnreachable(relay, false)
		f.await("one relay in each centre again", 20*time.Second, func() bool { return f.statusesKnown() && len(f.relays()) == 2 })
	})
}

// TestOneLoadPerModel has all entries demand the same models at once. Each model must be
// assigned to exactly one engine, by its owner relay, and every entry gets its ready
// estimate.
func TestOneLoadPerModel(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		time.Sleep(2 * time.Second)
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				p.set(func() {
					for m := range testModels {
						p.demands[testModel(m)] = &wire.LoadRequest{Model: testModel(m), Count: 1, Worth: 1, Goal: 400}
					}
				})
			}
		}
		assigned := func() map[string]int {
			out := map[string]int{}
			for _, p := range f.processes {
				for _, r := range locked(p, func() []*wire.LoadRequest { return p.assignment.GetWants() }) {
					out[r.GetModel()]++
				}
			}
			return out
		}
		f.await("assignment of all models", 500*time.Millisecond, func() bool { return len(assigned()) == testModels })
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		for m, n := range assigned() {
			assert.Equal(t, n, 1, m)
		}
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				assert.Equal(t, locked(p, func() int { return len(p.estimates) }), testModels)
			}
		}
	})
}

// TestEntryAsRelay checks that an entry becomes the relay of a data centre without sidecars.
func TestEntryAsRelay(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, 0)
		f.await("linked", 3*time.Second, func() bool {
			for _, p := range f.processes {
				if locked(p, func() uint32 { return p.entries }) != 6 {
					return false
				}
			}
			return true
		})
	})
}
