package relayer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/peer"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// fleet is a number of processes on a network in memory: in each data centre some
// entries and some sidecars.
type fleet struct {
	t         *testing.T
	network   *faker.Network
	clock     func() time.Duration
	processes map[string]*process
	rows      uint64
}

// process is one process of the fleet. It implements subscriber.Process.
type process struct {
	fleet   *fleet
	link    *wire.Link
	relayer *Relayer
	book    *subscriber.Membership
	copy    *configurer.Configurer
	links   *subscriber.Subscriber
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// engine is the state of a sidecar's engine, told what its relay wants of it.
	engine *wire.EngineStatus
	told   bool
	tell   *wire.Assignment
	// needs, uses and spent are an entry's.
	needs map[string]*wire.LoadRequest
	uses  map[pair]uint32
	spent map[string]float64
	fresh bool
	// known is what an entry knows of the engines, heard what others have spent.
	known    map[string]*wire.EngineStatus
	lost     map[string]bool
	outlooks map[string]*wire.ReadyEstimate
	heard    map[string]float64
	ready    uint32
	entries  uint32
	absent   uint32
	change   chan struct{}
}

const testModels = 12

func newFleet(t *testing.T, centres, entries, sidecars int) *fleet {
	begun := time.Now()
	f := &fleet{
		t: t, network: faker.NewNetwork(), processes: map[string]*process{},
		clock: func() time.Duration { return time.Hour + time.Since(begun) },
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
	f.rows++
	p := &process{
		fleet: f, copy: configurer.New(), book: subscriber.NewMembership(), done: make(chan struct{}),
		link:  &wire.Link{Name: name, Role: role, Centre: fmt.Sprint("c", centre), Started: int64(f.rows), Backend: "engine " + name},
		needs: map[string]*wire.LoadRequest{}, uses: map[pair]uint32{}, spent: map[string]float64{}, change: make(chan struct{}, 1),
		known: map[string]*wire.EngineStatus{}, lost: map[string]bool{}, outlooks: map[string]*wire.ReadyEstimate{}, heard: map[string]float64{},
	}
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}}}
	for m := range testModels {
		change.Models = append(change.Models, &wire.Model{Name: testModel(m), Pool: "p", Bytes: 40, Remote: 6000, Disk: 500, Memory: 400})
	}
	p.copy.Restore(change)
	if role == Sidecar {
		p.engine = &wire.EngineStatus{Server: "e-" + name, Born: 1, Started: p.link.GetStarted(), Number: 1, Free: 100}
		for m := range testModels {
			p.engine.Disk = append(p.engine.Disk, testModel(m))
		}
	}
	p.relayer = New(p.link, f.clock, p.copy, faker.Silent())
	f.processes[name] = p
	f.network.Attach(name, p.relayer.Handle)
	f.list()
	p.run()
	return p
}

// list tells all processes of all processes and engines, as the store would.
func (f *fleet) list() {
	var members []*wire.Member
	var items []*wire.ListedServer
	for name, p := range f.processes {
		members = append(members, &wire.Member{
			Name: name, Role: p.link.GetRole(), Centre: p.link.GetCentre(), Address: name,
			Started: p.link.GetStarted(), Row: uint64(p.link.GetStarted()),
		})
		if p.engine != nil {
			items = append(items, &wire.ListedServer{Id: p.engine.GetServer(), Row: 1, Pool: "p", Address: "engine " + name, Centre: p.link.GetCentre(), Slots: 16, Born: 1})
		}
	}
	for _, p := range f.processes {
		p.book.Update(members...)
		p.relayer.UpdateMembers(members)
		p.relayer.UpdateServers(f.clock(), items)
	}
}

// run runs the tasks of a process.
func (p *process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	pace := subscriber.EntryTiming
	if p.link.GetRole() == Sidecar {
		pace = subscriber.SidecarTiming
	}
	network := caller{p.fleet.network, p.link.GetName()}
	host := subscriber.Host{
		Name: p.link.GetName(), Clock: p.fleet.clock, Joiner: network, Local: p.relayer.Handle, Book: p.book, Log: faker.Silent(),
	}
	p.links = subscriber.New(host, p.link, p.link.GetCentre(), pace, p)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){
		p.relayer.Run, p.links.Run,
		func(ctx context.Context) { p.relayer.ReadFeeds(ctx, network, p.book) },
		p.follow,
	} {
		tasks.Go(func() { task(ctx) })
	}
	go func() {
		tasks.Wait()
		close(p.done)
	}()
}

// follow tells the process's own relay which one the process uses.
func (p *process) follow(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.relayer.Follow(p.links.Relay())
		}
	}
}

// kill ends a process without a word.
func (f *fleet) kill(name string) {
	p := f.processes[name]
	if p == nil {
		return
	}
	delete(f.processes, name)
	f.network.Detach(name)
	p.cancel()
	<-p.done
}

// stop ends all processes.
func (f *fleet) stop() {
	for name := range f.processes {
		f.kill(name)
	}
}

// Report implements subscriber.Process.
func (p *process) Report(_ time.Duration, whole bool) *wire.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &wire.Report{Ready: true}
	if p.engine != nil {
		if whole || !p.told {
			r.Condition, p.told = p.engine, true
		}
		return r
	}
	for u, n := range p.uses {
		r.Uses = append(r.Uses, &wire.EngineUsage{Server: u.server, Model: u.model, Inflight: n})
	}
	r.Waiting = true
	for _, w := range p.needs {
		r.Needs = append(r.Needs, w)
	}
	r.Spent, p.spent = p.spent, map[string]float64{}
	return r
}

// Take implements subscriber.Process.
func (p *process) Receive(_ time.Duration, _ string, t *wire.Batch, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first {
		clear(p.known)
	}
	for _, c := range t.GetConditions() {
		p.known[c.GetServer()] = c
		delete(p.lost, c.GetServer())
	}
	for _, id := range t.GetLost() {
		p.lost[id] = true
		delete(p.known, id)
	}
	for _, o := range t.GetOutlooks() {
		p.outlooks[o.GetModel()] = o
		if o.GetGone() {
			delete(p.outlooks, o.GetModel())
		}
	}
	if t.GetTell() != nil {
		p.tell = t.GetTell()
	}
	sum(p.heard, t.GetSpent())
	p.ready, p.entries, p.absent = t.GetReady(), t.GetEntries(), t.GetAbsent()
}

// Lost implements subscriber.Process.
func (p *process) LinkLost(_ time.Duration, _ string, reports []*wire.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		sum(p.spent, r.GetSpent())
	}
}

// Changed implements subscriber.Process.
func (p *process) Changed() <-chan struct{} { return p.change }

// set changes a process and makes it report.
func (p *process) set(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	select {
	case p.change <- struct{}{}:
	default:
	}
}

// hold makes a sidecar's engine hold models.
func (p *process) hold(models ...string) {
	p.set(func() {
		next := &wire.EngineStatus{
			Server: p.engine.GetServer(), Born: 1, Started: p.engine.GetStarted(), Number: p.engine.GetNumber() + 1,
			Models: models, Disk: p.engine.GetDisk(), Free: 100 - 40*uint64(len(models)),
		}
		for _, m := range models {
			next.Residents = append(next.Residents, &wire.Resident{Model: m, Bytes: 40})
		}
		p.engine, p.told = next, false
	})
}

// see reads what a process knows.
func see[T any](p *process, read func() T) T {
	p.mu.Lock()
	defer p.mu.Unlock()
	return read()
}

// relays are the names of the processes that are in use as relays.
func (f *fleet) relays() []string {
	var names []string
	for name, p := range f.processes {
		p.relayer.mu.Lock()
		if p.relayer.board.Serving() {
			names = append(names, name)
		}
		p.relayer.mu.Unlock()
	}
	return names
}

// complete reports whether every entry knows the state of every engine.
func (f *fleet) complete() bool {
	for _, p := range f.processes {
		if p.link.GetRole() != Entry {
			continue
		}
		for _, s := range f.processes {
			if s.engine == nil {
				continue
			}
			number := see(p, func() uint64 { return p.known[s.engine.GetServer()].GetNumber() })
			if number != s.engine.GetNumber() {
				return false
			}
		}
	}
	return true
}

// await waits for at most d until done reports true, and returns the time it took.
func (f *fleet) await(what string, d time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	begun := f.clock()
	for {
		synctest.Wait()
		if done() {
			return f.clock() - begun
		}
		if f.clock()-begun > d {
			assert.Assert(f.t, false, "%s: not within %v", what, d)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// caller opens streams in the name of a process.
type caller struct {
	*faker.Network
	name string
}

// TestKnowsAll lets every entry know every engine through one relay in each data
// centre, soon after the start and after each change.
func TestKnowsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay a centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		for i := range 5 {
			f.processes[sidecarName(i%3, i%4)].hold(testModel(i))
			f.await("change", 150*time.Millisecond, f.complete)
		}
	})
}

// TestRelayDies kills the relay of a data centre: all is known again within a second
// after its processes have noticed.
func TestRelayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay a centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		dead := f.relays()[0]
		f.kill(dead)
		took := f.await("takeover", 3*time.Second, f.complete)
		assert.Assert(t, took <= subscriber.SidecarTiming.Timeout+time.Second, "%v", took)
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				f.await("the dead one's engine is lost", 2*time.Second, func() bool {
					return see(p, func() bool { return p.known["e-"+dead] == nil })
				})
			}
		}
	})
}

// TestSlowRelay starts an entry while the relay of its data centre takes long to answer:
// the entry waits for it, since the next ones use it themselves. Once the relay is dead
// and the others have noticed, another one takes the entry at once.
func TestSlowRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 4)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay", 5*time.Second, func() bool { return len(f.relays()) == 1 })
		first := f.relays()[0]
		handle := f.processes[first].relayer.Handle
		f.network.Attach(first, func(ctx context.Context, call *wire.Call, s peer.Stream) {
			time.Sleep(400 * time.Millisecond)
			handle(ctx, call, s)
		})
		p := f.start(Entry, 0, 2)
		f.await("the slow relay", time.Second, func() bool { return p.links.Relay() != "" })
		assert.Equal(t, p.links.Relay(), first)
		assert.DeepEqual(t, f.relays(), []string{first})
		f.kill(first)
		time.Sleep(2 * subscriber.SidecarTiming.Timeout)
		p = f.start(Entry, 0, 3)
		f.await("another relay", time.Second, func() bool { return p.links.Relay() != "" })
	})
}

// TestYoung counts entries that have just started as absent, for the other entries of
// all data centres and not for themselves.
func TestYoung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 2)
		f.await("start", 3*time.Second, f.complete)
		absent := func(name string, want uint32) func() bool {
			p := f.processes[name]
			return func() bool { return see(p, func() uint32 { return p.absent }) == want }
		}
		time.Sleep(startTime + youngTime)
		f.start(Entry, 0, 0)
		for _, c := range []struct {
			name   string
			absent uint32
		}{{entryName(0, 0), 0}, {entryName(0, 1), 1}, {entryName(1, 0), 1}} {
			f.await(c.name, time.Second, absent(c.name, c.absent))
		}
		time.Sleep(youngTime)
		f.await("not young any more", time.Second, absent(entryName(1, 1), 0))
	})
}

// TestRelayIsCutOff cuts the relay of a data centre off, in both directions, for a
// while: knowledge heals, and the processes go back to it when it has been back.
func TestRelayIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 3)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay a centre", 5*time.Second, func() bool { return len(f.relays()) == 2 })
		first := f.relays()[0]
		f.network.Cut(first, true)
		f.processes[sidecarName(1, 0)].hold(testModel(3))
		f.processes[sidecarName(0, 1)].hold(testModel(4))
		f.await("heals", 3*time.Second, func() bool {
			for _, p := range f.processes {
				if p.link.GetRole() != Entry {
					continue
				}
				for _, s := range []string{sidecarName(1, 0), sidecarName(0, 1)} {
					if s == first {
						continue
					}
					if see(p, func() uint64 { return p.known["e-"+s].GetNumber() }) != 2 {
						return false
					}
				}
			}
			return true
		})
		f.network.Cut(first, false)
		f.await("returns", 20*time.Second, func() bool { return f.complete() && len(f.relays()) == 2 })
	})
}

// TestOneDecision lets all entries need the same models at once: one engine is told to
// load each, by the relay that is its home, and the entries are told when.
func TestOneDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay a centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		time.Sleep(2 * time.Second)
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				p.set(func() {
					for m := range testModels {
						p.needs[testModel(m)] = &wire.LoadRequest{Model: testModel(m), Count: 1, Worth: 1, Goal: 400}
					}
				})
			}
		}
		told := func() map[string]int {
			out := map[string]int{}
			for _, p := range f.processes {
				for _, w := range see(p, func() []*wire.LoadRequest { return p.tell.GetWants() }) {
					out[w.GetModel()]++
				}
			}
			return out
		}
		f.await("wanted", 500*time.Millisecond, func() bool { return len(told()) == testModels })
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		for m, n := range told() {
			assert.Equal(t, n, 1, m)
		}
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				assert.Equal(t, see(p, func() int { return len(p.outlooks) }), testModels)
			}
		}
	})
}

// TestUsesAddUp tells a sidecar how many requests all entries have at its engine, and
// none of those of an entry that has died.
func TestUsesAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, 2)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay a centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		s := f.processes[sidecarName(1, 0)]
		s.hold("m1")
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				p.set(func() { p.uses[pair{s.engine.GetServer(), "m1"}] = 2 })
			}
		}
		inflight := func() uint32 {
			return see(s, func() uint32 {
				for _, d := range s.tell.GetDemands() {
					if d.GetModel() == "m1" {
						return d.GetInflight()
					}
				}
				return 0
			})
		}
		f.await("all", time.Second, func() bool { return inflight() == 12 })
		f.kill(entryName(2, 1))
		f.await("but the dead one", 3*time.Second, func() bool { return inflight() == 10 })
	})
}

// TestSpentAddsUp tells every entry what all others have used, once. When a relay dies,
// what its entries used meanwhile is told as well.
func TestSpentAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, 3)
		f.await("start", 3*time.Second, f.complete)
		f.await("one relay a centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		time.Sleep(time.Second)
		spend := func() {
			for _, p := range f.processes {
				if p.link.GetRole() == Entry {
					p.set(func() { p.spent["w"] += 10 })
				}
			}
		}
		dead := ""
		heard := func(want float64) func() bool {
			return func() bool {
				for _, p := range f.processes {
					if p.link.GetRole() == Entry && p.link.GetCentre() != dead && see(p, func() float64 { return p.heard["w"] }) < want {
						return false
					}
				}
				return true
			}
		}
		for i := range 10 {
			spend()
			f.await("heard", time.Second, heard(50*float64(i+1)))
		}
		relay := f.relays()[0]
		dead = f.processes[relay].link.GetCentre()
		f.kill(relay)
		for range 10 {
			spend()
			time.Sleep(100 * time.Millisecond)
		}
		f.await("heard after the death", 3*time.Second, heard(50*20))
		time.Sleep(time.Second)
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				got := see(p, func() float64 { return p.heard["w"] })
				assert.Assert(t, got <= 50*20+60, "%g", got)
				assert.Assert(t, got >= 50*10, "%g", got)
				assert.Equal(t, see(p, func() uint32 { return p.entries }), uint32(6))
				assert.Equal(t, see(p, func() uint32 { return p.ready }), uint32(6))
			}
		}
	})
}

// TestEntriesAlone makes an entry the relay where there are no sidecars.
func TestEntriesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, 0)
		f.await("linked", 3*time.Second, func() bool {
			for _, p := range f.processes {
				if see(p, func() uint32 { return p.entries }) != 6 {
					return false
				}
			}
			return true
		})
	})
}
