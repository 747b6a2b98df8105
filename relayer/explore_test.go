package relayer

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/peer"
	"oleanderstall/wire"
)

var (
	seedCount = flag.Int("seeds", 4, "number of seeds to explore")
	firstSeed = flag.Uint64("first", 1, "first seed to explore")
)

// Bounds of an exploration.
const (
	exploreSteps = 25
	// recoveryTime is the time after the last fault within which all state has to be
	// consistent again. It covers the longest back-off from a relay and the time for which
	// an absent entry stays in the ledger.
	recoveryTime = 25 * time.Second
	// slowDelay is the delay of each link to a slow process.
	slowDelay = 300 * time.Millisecond
)

// explorer injects faults into a fleet and changes the state that it distributes.
type explorer struct {
	*fleet
	rand *rand.Rand
	// killed holds functions that restart the processes that were killed, by name.
	killed map[string]func()
	// faulty are processes that are slow or whose links are cut or lose replies.
	faulty map[string]bool
}

// TestExplore kills and restarts processes, cuts links to them in one or both directions and
// slows them down, while engines, demands and usage change. It checks that after the faults
// one relay of each data centre is in use, every entry knows the status of every engine and
// the number of entries, every sidecar knows the usage of its engine, and each model in
// demand is assigned to one engine.
func TestExplore(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				x := &explorer{
					fleet: newFleet(t, 2+r.IntN(2), 2, 3), rand: r, killed: map[string]func(){}, faulty: map[string]bool{},
				}
				for range exploreSteps {
					x.injectFault()
					x.changeInputs()
					time.Sleep(time.Duration(20+r.IntN(500)) * time.Millisecond)
				}
				x.recoverAll()
				x.await("one relay in each data centre", recoveryTime, func() bool { return len(x.relays()) == x.centres() })
				x.await("statuses of all engines", recoveryTime, x.statusesKnown)
				x.await("counts of entries", recoveryTime, x.entryCountsKnown)
				x.await("crashes", recoveryTime, x.crashesAgree)
				x.await("usage of all engines", recoveryTime, x.usageKnown)
				x.checkAssignments(t)
			})
		})
	}
}

// processNames returns the names of the running processes, sorted.
func (x *explorer) processNames() []string { return slices.Sorted(maps.Keys(x.processes)) }

// centres returns the number of data centres with running processes.
func (x *explorer) centres() int {
	found := map[string]bool{}
	for _, p := range x.processes {
		found[p.link.GetCentre()] = true
	}
	return len(found)
}

// injectFault draws a fault or the end of faults. In half of the draws the process is a
// relay in use.
func (x *explorer) injectFault() {
	names := x.processNames()
	name := names[x.rand.IntN(len(names))]
	if relays := x.relays(); len(relays) > 0 && x.rand.IntN(2) == 0 {
		slices.Sort(relays)
		name = relays[x.rand.IntN(len(relays))]
	}
	switch x.rand.IntN(6) {
	case 0:
		x.killSpare(name)
	case 1:
		x.network.SetUnreachable(name, true)
		x.faulty[name] = true
	case 2:
		x.network.SetReplyLoss(name, true)
		x.faulty[name] = true
	case 3:
		handle := x.processes[name].handle
		x.network.Attach(name, func(ctx context.Context, call *wire.Call, s peer.Stream) {
			time.Sleep(slowDelay)
			handle(ctx, call, s)
		})
		x.faulty[name] = true
	case 4:
		for _, restart := range x.killed {
			restart()
		}
		clear(x.killed)
	case 5:
		x.clearFaults()
	}
}

// killSpare kills a process, unless it is the last one of its role in its data centre.
func (x *explorer) killSpare(name string) {
	p := x.processes[name]
	var centre, i int
	_, err := fmt.Sscanf(name, p.link.GetRole()+"-%d-%d", &centre, &i)
	assert.NilError(x.t, err)
	role, remaining := p.link.GetRole(), 0
	for _, other := range x.processes {
		if other.link.GetRole() == role && other.link.GetCentre() == p.link.GetCentre() {
			remaining++
		}
	}
	if remaining <= 1 {
		return
	}
	x.kill(name)
	x.killed[name] = func() { x.start(role, centre, i) }
}

// clearFaults ends the faults of the running processes.
func (x *explorer) clearFaults() {
	for name := range x.faulty {
		x.network.SetUnreachable(name, false)
		x.network.SetReplyLoss(name, false)
		if p := x.processes[name]; p != nil {
			x.network.Attach(name, p.handle)
		}
	}
	clear(x.faulty)
}

// recoverAll restarts the killed processes and ends all faults.
func (x *explorer) recoverAll() {
	for _, name := range slices.Sorted(maps.Keys(x.killed)) {
		x.killed[name]()
	}
	x.clearFaults()
}

// changeInputs changes the models of one sidecar's engine, or the usage, demands and tokens
// used of one entry.
func (x *explorer) changeInputs() {
	names := x.processNames()
	p := x.processes[names[x.rand.IntN(len(names))]]
	model := testModel(x.rand.IntN(testModels))
	if p.link.GetRole() == Sidecar {
		p.setModels(model)
		return
	}
	other := x.processes[names[x.rand.IntN(len(names))]]
	p.set(func() {
		for _, m := range other.engine.GetModels() {
			p.usage[serverModel{other.engine.GetServer(), m}] = uint32(x.rand.IntN(3))
		}
		p.demands[model] = &wire.LoadRequest{Model: model, Count: 1, Worth: 1}
		p.tokensUsed["w"]++
		if x.rand.IntN(3) == 0 {
			p.recordCrash(x.rand.IntN(100), uint64(x.rand.IntN(5)))
		}
	})
}

// entryCountsKnown reports whether every entry knows the number of entries and counts none
// of them as absent.
func (x *explorer) entryCountsKnown() bool {
	total := uint32(0)
	for _, p := range x.processes {
		if p.link.GetRole() == Entry {
			total++
		}
	}
	for _, p := range x.processes {
		if p.link.GetRole() == Entry && locked(p, func() bool { return p.entries != total || p.absent != 0 }) {
			return false
		}
	}
	return true
}

// usageKnown reports whether every sidecar knows the usage of its engine's models.
func (x *explorer) usageKnown() bool {
	want := map[serverModel]uint32{}
	for _, p := range x.processes {
		for key, n := range locked(p, func() map[serverModel]uint32 { return maps.Clone(p.usage) }) {
			want[key] += n
		}
	}
	for _, p := range x.processes {
		if p.engine == nil {
			continue
		}
		got := map[string]uint32{}
		for _, d := range locked(p, func() []*wire.ModelUsage { return p.assignment.GetDemands() }) {
			got[d.GetModel()] = d.GetInflight()
		}
		for _, m := range p.engine.GetModels() {
			if got[m] != want[serverModel{p.engine.GetServer(), m}] {
				return false
			}
		}
	}
	return true
}

// checkAssignments checks that each model in demand that no engine serves is assigned to
// exactly one engine.
func (x *explorer) checkAssignments(t *testing.T) {
	time.Sleep(2 * time.Second)
	synctest.Wait()
	demanded, loaded, assigned := map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, p := range x.processes {
		for m := range p.demands {
			demanded[m] = true
		}
		for _, m := range p.engine.GetModels() {
			loaded[m] = true
		}
		for _, r := range p.assignment.GetWants() {
			assigned[r.GetModel()]++
		}
	}
	for m := range demanded {
		if !loaded[m] {
			assert.Equal(t, assigned[m], 1, m)
		}
	}
}
