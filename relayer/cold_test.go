package relayer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/pacer"
	"oleanderstall/wire"
)

// coldRelay is a relay of data centre "c" with linked entries, to which servers of a pool are listed
// that take 16 requests a second while they are cold.
type coldRelay struct {
	*FleetState
	now  time.Duration
	link uint64
	row  uint64
}

func newColdRelay(t *testing.T) *coldRelay {
	c := configurer.New()
	c.Restore(&wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", ColdTime: 3000, ColdRate: 16}}})
	r := &coldRelay{FleetState: NewFleetState("relay", "c", c, faker.DiscardLogger()), now: time.Hour}
	r.SetRelayInUse("relay")
	r.UpdateMembers([]*wire.Member{{Name: "a", Role: Sidecar, Centre: "c", Address: "a", Row: 1}})
	r.Join(r.now, &wire.Link{Name: "a", Role: Sidecar, Centre: "c"})
	r.link = r.Join(r.now, &wire.Link{Name: "entry", Role: Entry, Centre: "c"})
	r.pass(votingDelay + time.Second)
	r.Batch(r.now, r.link)
	assert.Equal(t, r.pacingShare(r.now), 1.0)
	return r
}

// pass lets time pass while the linked processes report.
func (r *coldRelay) pass(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += tickInterval {
		for id := range r.processes {
			r.Report(r.now, id, &wire.Report{})
		}
		r.Tick(r.now)
	}
}

// list applies the next row of server "s". left is the time for which it says that it is cold, or
// negative if it does not say so.
func (r *coldRelay) list(born int64, left time.Duration) {
	r.row++
	server := &wire.ListedServer{Id: "s", Row: r.row, Pool: "p", Address: "a", Centre: "c", Born: born, Writes: r.row}
	if left >= 0 {
		server.ColdLeft = proto.Uint32(uint32(left.Milliseconds()))
	}
	r.Tick(r.now)
	r.UpdateServers(r.now, []*wire.ListedServer{server})
}

// ask asks for a permit as an entry does that knows of a cold phase with the given rest.
func (r *coldRelay) ask(born int64, left, wait time.Duration) (*wire.Permit, error) {
	request := &wire.PermitRequest{Limit: pacer.Limit{Server: "s", Started: born}.Message(), Wait: uint32(wait.Milliseconds())}
	if left > 0 {
		request.ColdLeft, request.ColdRate = uint32(left.Milliseconds()), 16
	}
	return r.Permit(r.now, request)
}

// given asks for permits every 5 ms for a second and returns the number of those given.
func (r *coldRelay) given(t *testing.T, born int64, left time.Duration) int {
	n := 0
	for range 200 {
		permit, err := r.ask(born, left, 0)
		assert.NilError(t, err)
		if permit.GetGiven() {
			n++
		}
		r.now += 5 * time.Millisecond
	}
	return n
}

// TestColdServerIsPaced guards against a cold server that gets more permits than its rate: by its
// row, and by what an entry knows that has seen it start before its row says so. After the phase it
// needs none.
func TestColdServerIsPaced(t *testing.T) {
	for _, source := range []string{"row", "entry"} {
		t.Run(source, func(t *testing.T) {
			r := newColdRelay(t)
			if source == "row" {
				r.list(1, 3*time.Second)
			} else {
				r.list(1, -1)
			}
			n := r.given(t, 1, 3*time.Second)
			assert.Assert(t, n >= 15 && n <= 18, "%d permits in a second at 16 a second", n)
			r.now += 3 * time.Second
			permit, err := r.ask(1, 0, 0)
			if err == nil {
				assert.Assert(t, !permit.GetGiven() && permit.GetLimit().GetRate() == 0, "%v", permit)
			}
		})
	}
}

// TestLowerLimitOfColdServerApplies guards against a cold server that names a limit below its cold
// rate and gets more, or one that gets more than its cold rate because its limit is higher.
func TestLowerLimitOfColdServerApplies(t *testing.T) {
	for _, c := range []struct {
		limit    float64
		min, max int
	}{{4, 3, 6}, {100, 15, 18}} {
		r := newColdRelay(t)
		r.list(1, 3*time.Second)
		r.mergeLimit(pacer.Limit{Server: "s", Started: 1, Number: 1, Rate: c.limit})
		n := r.given(t, 1, 2*time.Second)
		assert.Assert(t, n >= c.min && n <= c.max, "%d permits in a second with a limit of %v", n, c.limit)
	}
}

// TestReservedPermitsOfColdServerCount guards against a limit that a cold server names and that
// makes the permits forgotten that were reserved in advance.
func TestReservedPermitsOfColdServerCount(t *testing.T) {
	r := newColdRelay(t)
	r.list(1, 10*time.Second)
	reserved := 0
	for {
		permit, err := r.ask(1, 9*time.Second, time.Second)
		assert.NilError(t, err)
		if !permit.GetGiven() {
			break
		}
		reserved++
	}
	assert.Assert(t, reserved >= 15, "%d", reserved)
	r.mergeLimit(pacer.Limit{Server: "s", Started: 1, Number: 1, Rate: 16})
	n := r.given(t, 1, 9*time.Second)
	assert.Assert(t, n <= 2, "%d permits in the second for which %d were reserved", n, reserved)
}

// TestColdRowIsSentOn guards against an entry that does not learn that a server has become cold
// again, and against a batch for each of the rows that a cold server writes as its time passes.
func TestColdRowIsSentOn(t *testing.T) {
	r := newColdRelay(t)
	batch := func() *wire.Batch { return r.Batch(r.now, r.link) }
	r.list(1, 0)
	items := batch().GetItems()
	assert.Equal(t, len(items), 1)
	r.list(1, 3*time.Second)
	items = batch().GetItems()
	assert.Equal(t, len(items), 1)
	assert.Equal(t, items[0].GetColdLeft(), uint32(3000))
	for range 10 {
		r.pass(200 * time.Millisecond)
		left := 3*time.Second - (r.now - time.Hour - votingDelay - time.Second)
		r.list(1, max(0, left))
		assert.Equal(t, len(batch().GetItems()), 0, "a row that says what is known is sent on")
	}
	r.list(1, 3*time.Second)
	assert.Equal(t, len(batch().GetItems()), 1, "a server that is cold again is not sent on")
	r.pass(time.Second)
	late := r.Join(r.now, &wire.Link{Name: "late", Role: Entry, Centre: "c"})
	items = r.Batch(r.now, late).GetItems()
	assert.Assert(t, items[0].GetColdLeft() <= 2000, "an entry that links later is told %d ms", items[0].GetColdLeft())
	r.list(1, 0)
	items = batch().GetItems()
	assert.Equal(t, len(items), 1, "the end of the phase is not sent on")
	assert.Equal(t, items[0].GetColdLeft(), uint32(0))
}

// TestPacersAreSent guards against an entry that does not know whom to ask when it first sees a cold
// server, and against batches with pacers where no server is ever cold.
func TestPacersAreSent(t *testing.T) {
	r := newColdRelay(t)
	entry := r.Join(r.now, &wire.Link{Name: "new", Role: Entry, Centre: "c"})
	pacers := r.Batch(r.now, entry).GetPacers()
	assert.Equal(t, len(pacers), 1)
	assert.Equal(t, pacers[0].GetCentre(), "c")
	assert.Equal(t, pacers[0].GetProcess(), "relay")
	assert.Equal(t, len(r.Batch(r.now, entry).GetPacers()), 0)
	r.SetRelayInUse("next")
	r.pass(2 * pacingInterval)
	pacers = r.Batch(r.now, entry).GetPacers()
	assert.Equal(t, len(pacers), 1)
	assert.Equal(t, pacers[0].GetProcess(), "next")
	r.config.Restore(&wire.Change{Version: 2, Pools: []*wire.Pool{{Name: "p"}}})
	other := r.Join(r.now, &wire.Link{Name: "other", Role: Entry, Centre: "c"})
	assert.Equal(t, len(r.Batch(r.now, other).GetPacers()), 0)
}

// TestClaimOfEarlierProcessIsIgnored guards against a server that is paced because an entry asks for
// a permit for the process before the listed one.
func TestClaimOfEarlierProcessIsIgnored(t *testing.T) {
	r := newColdRelay(t)
	r.list(5, 0)
	_, err := r.ask(4, 3*time.Second, 0)
	assert.Assert(t, err != nil)
	assert.Equal(t, r.coldRate("s"), 0.0)
}
