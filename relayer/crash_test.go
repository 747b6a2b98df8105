package relayer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/quarantiner"
	"oleanderstall/wire"
)

// recordCrash records the crash of a numbered server with one suspect. The caller holds the
// process's lock.
func (p *process) recordCrash(server int, fingerprint uint64) {
	crashed := quarantiner.Process{Server: fmt.Sprint("s", server), Started: 1}
	p.crashes.RecordCrash(p.fleet.clock(), crashed, "p", []quarantiner.Fingerprint{{ID: fingerprint}})
}

// entries returns the entries of the fleet.
func (f *fleet) entries() []*process {
	var list []*process
	for _, p := range f.processes {
		if p.link.GetRole() == Entry {
			list = append(list, p)
		}
	}
	return list
}

// crashesOf returns the suspects of the crashes that an entry knows, by server.
func crashesOf(p *process) map[string][]*wire.Suspect {
	return locked(p, func() map[string][]*wire.Suspect {
		known := map[string][]*wire.Suspect{}
		for _, c := range p.crashes.All(p.fleet.clock()) {
			known[c.GetServer()] = c.GetSuspects()
		}
		return known
	})
}

// crashesAgree reports whether all entries know the same crashes with the same suspects.
func (f *fleet) crashesAgree() bool {
	entries := f.entries()
	first := fmt.Sprint(crashesOf(entries[0]))
	for _, p := range entries[1:] {
		if fmt.Sprint(crashesOf(p)) != first {
			return false
		}
	}
	return true
}

// quarantined reports whether all entries refuse requests with a fingerprint.
func (f *fleet) quarantined(fingerprint uint64) bool {
	for _, p := range f.entries() {
		if locked(p, func() bool {
			return p.crashes.Check(f.clock(), "r", "p", []quarantiner.Fingerprint{{ID: fingerprint}}) == nil
		}) {
			return false
		}
	}
	return true
}

// TestCrashesReachAllEntries guards against entries that go on sending requests on which
// engines crash, because the crashes were noticed by others: one crash is noticed in each of
// three data centres, none of them a proof. All entries must know soon, by the relays alone;
// also those whose relay is killed just then, those that start later, and after all relays
// were killed at once.
func TestCrashesReachAllEntries(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 4)
		f.await("start", 3*time.Second, f.statusesKnown)
		for c := range 3 {
			p := f.processes[entryName(c, 1)]
			p.set(func() { p.recordCrash(c, 7) })
			time.Sleep(300 * time.Millisecond)
		}
		elapsed := f.await("quarantine", time.Second, func() bool { return f.quarantined(7) })
		assert.Assert(t, elapsed < 200*time.Millisecond, "%v", elapsed)

		f.kill(f.relays()[0])
		for c := range 3 {
			p := f.processes[entryName(c, 2)]
			p.set(func() { p.recordCrash(10+c, 8) })
			time.Sleep(300 * time.Millisecond)
		}
		f.await("quarantine after the loss of a relay", 2*time.Second, func() bool { return f.quarantined(8) })

		f.start(Entry, 0, 0)
		f.await("a started entry", time.Second, func() bool { return f.quarantined(7) && f.quarantined(8) })

		for _, name := range f.relays() {
			f.kill(name)
		}
		f.start(Entry, 1, 0)
		f.await("an entry that starts after the loss of all relays", 3*time.Second, func() bool { return f.quarantined(7) && f.quarantined(8) })
	})
}

// TestAnswerClearsEverywhere checks that an answer at one entry clears a fingerprint at all of
// them.
func TestAnswerClearsEverywhere(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, 2)
		f.await("start", 3*time.Second, f.statusesKnown)
		p := f.processes[entryName(0, 0)]
		for i := range 3 {
			p.set(func() { p.recordCrash(i, 7) })
			time.Sleep(300 * time.Millisecond)
		}
		f.await("quarantine", time.Second, func() bool { return f.quarantined(7) })
		other := f.processes[entryName(1, 1)]
		other.set(func() { other.crashes.RecordAnswer(f.clock(), "p", []quarantiner.Fingerprint{{ID: 7}}) })
		f.await("end of the quarantine", time.Second, func() bool { return !f.quarantined(7) && f.crashesAgree() })
	})
}
