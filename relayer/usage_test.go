package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
)

// TestUsageIsSummed checks that a sidecar learns how many requests all entries have in
// flight at its engine, without those of an entry that was killed.
func TestUsageIsSummed(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, 2)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		s := f.processes[sidecarName(1, 0)]
		s.setModels("m1")
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				p.set(func() { p.usage[serverModel{s.engine.GetServer(), "m1"}] = 2 })
			}
		}
		inflight := func() uint32 {
			return locked(s, func() uint32 {
				for _, d := range s.assignment.GetDemands() {
					if d.GetModel() == "m1" {
						return d.GetInflight()
					}
				}
				return 0
			})
		}
		f.await("requests of all entries", time.Second, func() bool { return inflight() == 12 })
		f.kill(entryName(2, 1))
		f.await("requests without those of the killed entry", 3*time.Second, func() bool { return inflight() == 10 })
	})
}

// TestTokenUsageIsSummed checks that every entry receives the tokens used through all others
// once. When a relay is killed, the tokens that its entries use meanwhile are not lost.
func TestTokenUsageIsSummed(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2, 3)
		f.await("start", 3*time.Second, f.statusesKnown)
		f.await("one relay in each centre", 5*time.Second, func() bool { return len(f.relays()) == 3 })
		time.Sleep(time.Second)
		spend := func() {
			for _, p := range f.processes {
				if p.link.GetRole() == Entry {
					p.set(func() { p.tokensUsed["w"] += 10 })
				}
			}
		}
		killedCentre := ""
		received := func(want float64) func() bool {
			return func() bool {
				for _, p := range f.processes {
					if p.link.GetRole() == Entry && p.link.GetCentre() != killedCentre && locked(p, func() float64 { return p.remoteTokens["w"] }) < want {
						return false
					}
				}
				return true
			}
		}
		for i := range 10 {
			spend()
			f.await("token usage", time.Second, received(50*float64(i+1)))
		}
		relay := f.relays()[0]
		killedCentre = f.processes[relay].link.GetCentre()
		f.kill(relay)
		for range 10 {
			spend()
			time.Sleep(100 * time.Millisecond)
		}
		f.await("token usage after the failover", 3*time.Second, received(50*20))
		time.Sleep(time.Second)
		for _, p := range f.processes {
			if p.link.GetRole() == Entry {
				got := locked(p, func() float64 { return p.remoteTokens["w"] })
				assert.Assert(t, got <= 50*20+60, "%g", got)
				assert.Assert(t, got >= 50*10, "%g", got)
				assert.Equal(t, locked(p, func() uint32 { return p.entries }), uint32(6))
				assert.Equal(t, locked(p, func() uint32 { return p.ready }), uint32(6))
			}
		}
	})
}
