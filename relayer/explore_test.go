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

	"oleanderstall/peer"
	"oleanderstall/wire"
)

var (
	seeds = flag.Int("seeds", 4, "number of seeds to explore")
	first = flag.Uint64("first", 1, "first seed to explore")
)

// Bounds of an exploration.
const (
	exploreSteps = 25
	// healTime is how long after the last fault all has to be known again. It covers the
	// longest doubt about a process and the time for which a silent entry is counted.
	healTime = 25 * time.Second
	// slowTime is how late a slow process answers.
	slowTime = 300 * time.Millisecond
)

// explorer disturbs a fleet and changes what there is to know.
type explorer struct {
	*fleet
	rand *rand.Rand
	// dead are processes that were killed, by name.
	dead map[string]func()
	// sick are processes that are slow, cut off or not heard.
	sick map[string]bool
}

// TestExplore kills and restarts processes, cuts them off in one or both directions and
// makes them slow, while engines, needs and uses change. Once the faults have ended, one
// relay of each data centre is in use, every entry knows every engine and every other
// entry, every sidecar the uses of its engine, and one engine is told to load each model
// that is needed.
func TestExplore(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				x := &explorer{
					fleet: newFleet(t, 2+r.IntN(2), 2, 3), rand: r, dead: map[string]func(){}, sick: map[string]bool{},
				}
				for range exploreSteps {
					x.disturb()
					x.change()
					time.Sleep(time.Duration(20+r.IntN(500)) * time.Millisecond)
				}
				x.heal()
				x.await("one relay a data centre", healTime, func() bool { return len(x.relays()) == x.centres() })
				x.await("the engines", healTime, x.complete)
				x.await("the entries", healTime, x.counted)
				x.await("the uses", healTime, x.used)
				x.decided(t)
			})
		})
	}
}

// names are the names of the living processes.
func (x *explorer) names() []string { return slices.Sorted(maps.Keys(x.processes)) }

// centres is the number of data centres.
func (x *explorer) centres() int {
	found := map[string]bool{}
	for _, p := range x.processes {
		found[p.link.GetCentre()] = true
	}
	return len(found)
}

// disturb draws a fault or the end of one. Relays are hit as often as all others.
func (x *explorer) disturb() {
	names := x.names()
	name := names[x.rand.IntN(len(names))]
	if relays := x.relays(); len(relays) > 0 && x.rand.IntN(2) == 0 {
		slices.Sort(relays)
		name = relays[x.rand.IntN(len(relays))]
	}
	switch x.rand.IntN(6) {
	case 0:
		x.strike(name)
	case 1:
		x.network.Cut(name, true)
		x.sick[name] = true
	case 2:
		x.network.Lose(name, true)
		x.sick[name] = true
	case 3:
		handle := x.processes[name].relayer.Handle
		x.network.Attach(name, func(ctx context.Context, call *wire.Call, s peer.Stream) {
			time.Sleep(slowTime)
			handle(ctx, call, s)
		})
		x.sick[name] = true
	case 4:
		for _, again := range x.dead {
			again()
		}
		clear(x.dead)
	case 5:
		x.cure()
	}
}

// strike kills a process, unless it is the last but one of its role in its data centre.
func (x *explorer) strike(name string) {
	p := x.processes[name]
	var centre, i int
	_, err := fmt.Sscanf(name, p.link.GetRole()+"-%d-%d", &centre, &i)
	assert.NilError(x.t, err)
	role, left := p.link.GetRole(), 0
	for _, o := range x.processes {
		if o.link.GetRole() == role && o.link.GetCentre() == p.link.GetCentre() {
			left++
		}
	}
	if left <= 1 {
		return
	}
	x.kill(name)
	x.dead[name] = func() { x.start(role, centre, i) }
}

// cure ends what is wrong with the living processes.
func (x *explorer) cure() {
	for name := range x.sick {
		x.network.Cut(name, false)
		x.network.Lose(name, false)
		if p := x.processes[name]; p != nil {
			x.network.Attach(name, p.relayer.Handle)
		}
	}
	clear(x.sick)
}

// heal ends all faults.
func (x *explorer) heal() {
	for _, name := range slices.Sorted(maps.Keys(x.dead)) {
		x.dead[name]()
	}
	x.cure()
}

// change changes what one process holds, needs and uses.
func (x *explorer) change() {
	names := x.names()
	p := x.processes[names[x.rand.IntN(len(names))]]
	model := testModel(x.rand.IntN(testModels))
	if p.link.GetRole() == Sidecar {
		p.hold(model)
		return
	}
	o := x.processes[names[x.rand.IntN(len(names))]]
	p.set(func() {
		for _, m := range o.engine.GetModels() {
			p.uses[pair{o.engine.GetServer(), m}] = uint32(x.rand.IntN(3))
		}
		p.needs[model] = &wire.LoadRequest{Model: model, Count: 1, Worth: 1}
		p.spent["w"]++
	})
}

// counted reports whether every entry knows how many entries there are, none of which is
// absent.
func (x *explorer) counted() bool {
	all := uint32(0)
	for _, p := range x.processes {
		if p.link.GetRole() == Entry {
			all++
		}
	}
	for _, p := range x.processes {
		if p.link.GetRole() == Entry && see(p, func() bool { return p.entries != all || p.absent != 0 }) {
			return false
		}
	}
	return true
}

// used reports whether every sidecar knows the uses of what its engine holds.
func (x *explorer) used() bool {
	want := map[pair]uint32{}
	for _, p := range x.processes {
		for u, n := range see(p, func() map[pair]uint32 { return maps.Clone(p.uses) }) {
			want[u] += n
		}
	}
	for _, p := range x.processes {
		if p.engine == nil {
			continue
		}
		got := map[string]uint32{}
		for _, d := range see(p, func() []*wire.ModelUsage { return p.tell.GetDemands() }) {
			got[d.GetModel()] = d.GetInflight()
		}
		for _, m := range p.engine.GetModels() {
			if got[m] != want[pair{p.engine.GetServer(), m}] {
				return false
			}
		}
	}
	return true
}

// decided checks that one engine is told to load each model that is needed and that no
// engine holds.
func (x *explorer) decided(t *testing.T) {
	time.Sleep(2 * time.Second)
	synctest.Wait()
	needed, held, told := map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, p := range x.processes {
		for m := range p.needs {
			needed[m] = true
		}
		for _, m := range p.engine.GetModels() {
			held[m] = true
		}
		for _, w := range p.tell.GetWants() {
			told[w.GetModel()]++
		}
	}
	for m := range needed {
		if !held[m] {
			assert.Equal(t, told[m], 1, m)
		}
	}
}
