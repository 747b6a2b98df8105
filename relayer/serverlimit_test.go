package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/pacer"
	"oleanderstall/peer"
	"oleanderstall/wire"
)

// What a server may get that has named a limit: in any limitWindow, limitExcess times what the
// limit allows and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// receiveLimit applies a limit from the relay. The caller holds the lock.
func (p *process) receiveLimit(message *wire.ServerLimit) {
	if l, ok := pacer.FromMessage(message); ok {
		p.limits.Merge(l)
		p.pacers[l.Server] = message.GetPacer()
	}
}

// limitedServer is a server that names a limit, and what entries send it.
type limitedServer struct {
	*fleet
	id string
	mu sync.Mutex
	// rate is the limit that the server names, or 0.
	rate float64
	// sent are the instants at which requests arrived.
	sent []time.Duration
}

// newLimitedServer makes the engine of a sidecar name a limit and every entry send to it as fast
// as it may, until the test ends.
func (f *fleet) newLimitedServer(sidecar string, rate float64) *limitedServer {
	s := &limitedServer{fleet: f, id: "e-" + sidecar, rate: rate}
	for _, p := range f.processes {
		if p.link.GetRole() == Entry {
			s.startSender(p)
		}
	}
	return s
}

// setRate makes the server name another limit, or none if it is 0.
func (s *limitedServer) setRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

// startSender makes an entry send requests to the server until the entry ends.
func (s *limitedServer) startSender(p *process) {
	ctx := p.ctx
	p.senders.Go(func() {
		for ctx.Err() == nil {
			s.sendOnce(ctx, p)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// sendOnce sends a request if no limit is known to the entry or it gets a permit, which it uses at
// some instant of its lifetime.
func (s *limitedServer) sendOnce(ctx context.Context, p *process) {
	known := locked(p, func() pacer.Limit { return p.limits.Get(s.id, 1) })
	if known.Rate == 0 {
		s.send(ctx, p, known.Number)
		return
	}
	if permit := s.requestPermit(ctx, p, known); permit.GetGiven() {
		p.senders.Go(func() {
			time.Sleep(time.Duration(permit.GetWait())*time.Millisecond + time.Duration(rand.Int64N(int64(pacer.PermitLifetime))))
			s.send(ctx, p, permit.GetNumber())
		})
	}
}

// send sends a request with a number and records what the answer says, unless ctx has ended.
func (s *limitedServer) send(ctx context.Context, p *process, number uint64) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	rate := s.rate
	s.sent = append(s.sent, s.clock())
	s.mu.Unlock()
	p.set(func() {
		if rate > 0 || p.limits.Get(s.id, 1).Rate > 0 {
			p.limits.Record(pacer.Limit{Server: s.id, Started: 1, Number: number, Rate: rate})
		}
	})
}

// requestPermit asks the pacer that an entry knows for a permit.
func (s *limitedServer) requestPermit(ctx context.Context, p *process, known pacer.Limit) *wire.Permit {
	name := locked(p, func() string { return p.pacers[s.id] })
	if name == "" {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	reply, err := peer.Call(callCtx, caller{s.network, p.link.GetName()}, name, &wire.Call{Body: &wire.Call_Permit{Permit: &wire.PermitRequest{Limit: known.Message(), Wait: 100}}})
	if err != nil {
		return nil
	}
	p.set(func() {
		if l, ok := pacer.FromMessage(reply.GetPermit().GetLimit()); ok {
			p.limits.Merge(l)
		}
	})
	return reply.GetPermit()
}

// takeSent returns the instants from which on requests were sent, and forgets them.
func (s *limitedServer) takeSent() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent
	s.sent = nil
	return sent
}

// most returns the largest number of instants within limitWindow.
func most(times []time.Duration) int {
	slices.Sort(times)
	result, first := 0, 0
	for i, at := range times {
		for at-times[first] > limitWindow {
			first++
		}
		result = max(result, i-first+1)
	}
	return result
}

// allowed returns how many requests a server with a limit may get within limitWindow.
func allowed(rate float64) int { return int(limitExcess*rate*limitWindow.Seconds()) + limitSlack }

// TestServerLimitBindsAllEntries guards against entries that together send a server more than the
// limit that it names: at 1 a second and at 20, in calm, when the relay that gives out the permits
// is killed, and when it comes back. Permits are used until their end.
func TestServerLimitBindsAllEntries(t *testing.T) {
	for _, rate := range []float64{1, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 3, 4)
				f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
				time.Sleep(3 * time.Second)
				relay := f.relayOf("c0")
				sidecar := sidecarName(0, 0)
				if sidecar == relay {
					sidecar = sidecarName(0, 1)
				}
				s := f.newLimitedServer(sidecar, rate)
				time.Sleep(time.Second)
				s.takeSent()
				time.Sleep(10 * time.Second)
				calm := len(s.takeSent())
				assert.Assert(t, float64(calm) >= 0.8*rate*10, "%d requests in 10 s of calm", calm)
				f.kill(relay)
				time.Sleep(10 * time.Second)
				f.startNamed(relay)
				time.Sleep(10 * time.Second)
				sent := s.takeSent()
				assert.Assert(t, most(sent) <= allowed(rate), "%d requests in %v, allowed %d", most(sent), limitWindow, allowed(rate))
				assert.Assert(t, float64(len(sent)) >= 0.4*rate*20, "%d requests in 20 s with a relay killed", len(sent))
			})
		})
	}
}

// TestServerLimitEnds guards against a limit that some entry keeps after the server has ceased to
// name it, and one that is not kept when the server names it again.
func TestServerLimitEnds(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 3)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 2 })
		time.Sleep(3 * time.Second)
		s := f.newLimitedServer(sidecarName(0, 0), 2)
		for range 3 {
			s.setRate(2)
			time.Sleep(time.Second)
			s.takeSent()
			time.Sleep(5 * time.Second)
			assert.Assert(t, most(s.takeSent()) <= allowed(2))
			s.setRate(0)
			f.await("no limit at any entry", 3*time.Second, func() bool {
				for _, p := range f.processes {
					if locked(p, func() float64 { return p.limits.Get(s.id, 1).Rate }) != 0 {
						return false
					}
				}
				return true
			})
			s.takeSent()
			time.Sleep(time.Second)
			assert.Assert(t, len(s.takeSent()) > 100)
		}
	})
}

// TestEntryStartsWithLimit guards against an entry that has just started and sends to a server
// without a permit: the first batch of its relay tells it the limit.
func TestEntryStartsWithLimit(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 3)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 2 })
		f.newLimitedServer(sidecarName(0, 0), 1)
		time.Sleep(2 * time.Second)
		p := f.start(Entry, 1, 0)
		f.await("link", time.Second, func() bool { return p.subscriber.Relay() != "" })
		assert.Equal(t, locked(p, func() float64 { return p.limits.Get("e-"+sidecarName(0, 0), 1).Rate }), 1.0)
	})
}

// TestShareOfLimit guards against processes that take themselves for the relay of one data centre
// and together give out more than a limit: each has the share of the processes that are linked to
// it. One that has just linked does not count, nor does any after a pause; one that is not heard
// of for long is no longer missing.
func TestShareOfLimit(t *testing.T) {
	fs := NewFleetState("relay", "c", configurer.New(), faker.DiscardLogger())
	fs.UpdateServers(0, []*wire.ListedServer{{Id: "s", Row: 1, Pool: "p", Address: "a", Centre: "c", Born: 1}})
	for _, name := range []string{"a", "b", "c", "d"} {
		fs.UpdateMembers([]*wire.Member{{Name: name, Role: Sidecar, Centre: "c", Address: name, Row: 1}})
	}
	now := time.Hour
	pass := func(d time.Duration) {
		for end := now + d; now < end; now += tickInterval {
			for id := range fs.processes {
				fs.Report(now, id, &wire.Report{})
			}
			fs.Tick(now)
		}
	}
	fs.Join(now, &wire.Link{Name: "a", Role: Sidecar, Centre: "c"})
	fs.Join(now, &wire.Link{Name: "entry", Role: Entry, Centre: "c"})
	fs.Join(now, &wire.Link{Name: "far", Role: Relay, Centre: "d"})
	pass(votingDelay / 2)
	assert.Equal(t, fs.pacingShare(now), 0.0)
	pass(votingDelay)
	assert.Equal(t, fs.pacingShare(now), 0.25)
	fs.Join(now, &wire.Link{Name: "b", Role: Sidecar, Centre: "c"})
	assert.Equal(t, fs.pacingShare(now), 0.25)
	pass(votingDelay + tickInterval)
	assert.Equal(t, fs.pacingShare(now), 0.5)
	now += maxTickGap + tickInterval
	fs.Tick(now)
	assert.Equal(t, fs.pacingShare(now), 0.0)
	pass(votingDelay + tickInterval)
	assert.Equal(t, fs.pacingShare(now), 0.5)
	pass(voterMemory)
	assert.Equal(t, fs.pacingShare(now), 1.0)
}

// TestPacerOfServer guards against two data centres whose relays give out the permits for a
// server: the server's own does and, once no process there has been heard of for long, the one
// that ranks first.
func TestPacerOfServer(t *testing.T) {
	fs := NewFleetState("relay", "c", configurer.New(), faker.DiscardLogger())
	fs.UpdateServers(0, []*wire.ListedServer{{Id: "s", Row: 1, Pool: "p", Address: "a", Centre: "far", Born: 1}})
	fs.UpdateMembers([]*wire.Member{{Name: "a", Role: Sidecar, Centre: "far", Address: "a", Row: 1}, {Name: "b", Role: Sidecar, Centre: "c", Address: "b", Row: 1}})
	fs.SetRelayInUse("relay")
	fs.Join(time.Hour, &wire.Link{Name: "b", Role: Sidecar, Centre: "c"})
	tick := func(now time.Duration) {
		fs.Report(now, 1, &wire.Report{})
		fs.Tick(now)
	}
	request := &wire.PermitRequest{Limit: pacer.Limit{Server: "s", Started: 1, Rate: 2}.Message()}
	fs.OpenFeed(time.Hour, "far", "other")
	tick(time.Hour)
	assert.Equal(t, fs.pacerOf("s"), "other")
	_, err := fs.Permit(time.Hour, request)
	assert.Assert(t, err != nil, "a relay of another data centre gave a permit")
	fs.CloseFeed(time.Hour, "far", "other")
	tick(time.Hour + voterMemory - time.Second)
	assert.Equal(t, fs.pacerOf("s"), "")
	tick(time.Hour + voterMemory + time.Second)
	assert.Equal(t, fs.pacerOf("s"), "relay")
	assert.Equal(t, fs.pacerOf("unlisted"), "")
}

// TestExplorePermits draws kills, cuts and slowness of processes while all entries send to two
// servers with limits as fast as they may. The limits hold all the while, and after the faults the
// servers are used again.
func TestExplorePermits(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 2))
				x := &explorer{fleet: newFleet(t, 2+r.IntN(2), 2, 3), rand: r, killed: map[string]func(){}, faulty: map[string]bool{}}
				time.Sleep(5 * time.Second)
				servers := []*limitedServer{x.newLimitedServer(sidecarName(0, 0), 1), x.newLimitedServer(sidecarName(1, 1), 10)}
				x.onStart = func(p *process) {
					for _, s := range servers {
						if p.link.GetRole() == Entry {
							s.startSender(p)
						}
					}
				}
				time.Sleep(time.Second)
				servers[0].takeSent()
				servers[1].takeSent()
				for range exploreSteps {
					x.injectFault()
					time.Sleep(time.Duration(20+r.IntN(900)) * time.Millisecond)
				}
				x.recoverAll()
				time.Sleep(recoveryTime)
				for _, s := range servers {
					sent := s.takeSent()
					assert.Check(t, most(sent) <= allowed(s.rate), "%s: %d requests in %v, allowed %d", s.id, most(sent), limitWindow, allowed(s.rate))
				}
				time.Sleep(10 * time.Second)
				for _, s := range servers {
					n := len(s.takeSent())
					assert.Check(t, float64(n) >= 0.8*s.rate*10, "%s: %d requests in 10 s", s.id, n)
				}
			})
		})
	}
}
