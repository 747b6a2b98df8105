package relayer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/wire"
)

// TestMadeUpCentres guards against tokens that are counted twice, and links that end again and
// again, because rows of the list of processes name data centres that do not exist.
func TestMadeUpCentres(t *testing.T) {
	// Each process looks for a preferred relay once a second.
	const maxCalls = 100
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 3)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 2 })
		for i := range 8 {
			odd := &wire.Member{Name: fmt.Sprint("odd", i), Role: "sidecar", Centre: fmt.Sprint("made up ", i), Address: "nowhere", Row: 1}
			for _, p := range f.processes {
				p.membership.Update(odd)
				p.relayer.UpdateMembers([]*wire.Member{odd})
			}
		}
		time.Sleep(10 * time.Second)
		calls := f.network.Calls()
		time.Sleep(10 * time.Second)
		calls = f.network.Calls() - calls
		assert.Check(t, calls < maxCalls, "%d calls in 10 s", calls)
		spender := f.processes[entryName(0, 0)]
		spender.set(func() { spender.tokensUsed["w"] = 100 })
		time.Sleep(5 * time.Second)
		for name, p := range f.processes {
			if p.link.GetRole() == Entry && name != entryName(0, 0) {
				assert.Check(t, locked(p, func() bool { return p.remoteTokens["w"] == 100 }), "%s: %v", name, locked(p, func() float64 { return p.remoteTokens["w"] }))
			}
		}
	})
}
