package placer

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// ledgerEngine carries out orders as engines do, at once, later, or never.
type ledgerEngine struct {
	capacity Capacity
	sequence uint64
	loaded   []Item
	loading  []Item
	late     []ledgerOrder
}

// ledgerOrder is the order of a load or an unload with its sequence number, executed at dueAt if it is late.
type ledgerOrder struct {
	unload   bool
	sequence uint64
	item     Item
	dueAt    time.Duration
}

// execute carries an order out and reports whether it was accepted.
func (e *ledgerEngine) execute(o ledgerOrder) bool {
	holds := func(items []Item, name string) bool {
		return slices.ContainsFunc(items, func(i Item) bool { return i.Name == name })
	}
	if o.sequence != e.sequence || !o.unload && (holds(e.loaded, o.item.Name) || holds(e.loading, o.item.Name)) || o.unload && !holds(e.loaded, o.item.Name) {
		return false
	}
	if o.item.Base != "" && !holds(e.loaded, o.item.Base) {
		return false
	}
	e.sequence++
	if o.unload {
		e.loaded = slices.DeleteFunc(e.loaded, func(i Item) bool { return i.Name == o.item.Name || i.Base == o.item.Name })
		return true
	}
	e.loading = append(e.loading, o.item)
	return true
}

// overload returns what exceeds the engine's capacity, or an empty text.
func (e *ledgerEngine) overload() string {
	bytes, slots := uint64(0), 0
	for _, i := range append(slices.Clone(e.loaded), e.loading...) {
		bytes += i.Bytes
		slots += i.slots()
	}
	if bytes > e.capacity.Bytes || slots > e.capacity.Slots {
		return fmt.Sprintf("%d bytes and %d slots of %+v", bytes, slots, e.capacity)
	}
	return ""
}

// advance ends the loads in progress and carries out the late orders that are due.
func (e *ledgerEngine) advance(now time.Duration) {
	e.loaded, e.loading = append(e.loaded, e.loading...), nil
	e.late = slices.DeleteFunc(e.late, func(o ledgerOrder) bool {
		if o.dueAt <= now {
			e.execute(o)
		}
		return o.dueAt <= now
	})
}

// report passes a report to the ledger.
func (e *ledgerEngine) report(now time.Duration, l *Ledger) {
	l.Update(now, e.capacity, Contents{Server: "e", Sequence: e.sequence, Loaded: slices.Clone(e.loaded), Loading: slices.Clone(e.loading)})
}

// TestLedgerKeepsCapacity draws models and adapters, orders without an answer, orders that are
// carried out late, repeated reports, and restarts of the engine under its ID. It guards against a
// load, ordered or late, that exceeds the memory or the slots.
func TestLedgerKeepsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []Item
		for i := range 3 {
			base := Item{Name: fmt.Sprint("m", i), Bytes: rapid.Uint64Range(10, 80).Draw(t, "model")}
			items = append(items, base)
			for j := range 2 {
				items = append(items, Item{Name: fmt.Sprint(base.Name, "/a", j), Base: base.Name, Bytes: rapid.Uint64Range(0, 30).Draw(t, "adapter")})
			}
		}
		e := &ledgerEngine{capacity: Capacity{Bytes: rapid.Uint64Range(80, 200).Draw(t, "memory"), Slots: rapid.IntRange(0, 3).Draw(t, "slots")}}
		l := NewLedger()
		now := time.Hour
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				e.sequence, e.loaded, e.loading = 0, nil, nil
			}
			e.advance(now)
			assert.Equal(t, e.overload(), "")
			if rapid.IntRange(0, 4).Draw(t, "no report") > 0 {
				e.report(now, l)
			}
			for range rapid.IntRange(0, 3).Draw(t, "orders") {
				o := ledgerOrder{
					sequence: l.Sequence(), item: rapid.SampledFrom(items).Draw(t, "item"), unload: rapid.IntRange(0, 3).Draw(t, "unload") == 0,
					dueAt: now + time.Duration(rapid.Int64Range(0, int64(maxOrderDelay)-1).Draw(t, "delay")),
				}
				if o.unload && l.CheckUnload(o.item.Name) != nil || !o.unload && l.ReserveLoad(now, o.item) != nil {
					continue
				}
				fault := rapid.IntRange(0, 3).Draw(t, "fault")
				if fault == 1 {
					e.late = append(e.late, o)
				}
				accepted := fault != 1 && fault != 2 && e.execute(o)
				assert.Equal(t, e.overload(), "")
				switch {
				case fault != 0:
					// The answer is lost, whether the order is carried out or not.
				case o.unload && accepted:
					l.Unloaded(o.item.Name, true)
				case o.unload:
				case accepted:
					l.Accepted()
				default:
					l.Refused()
				}
				if fault != 0 {
					break
				}
			}
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause"))
		}
	})
}

// TestLedgerRoom checks that models and adapters share the memory, that adapters need slots besides,
// and that the error names what is free.
func TestLedgerRoom(t *testing.T) {
	l := NewLedger()
	assert.Assert(t, l.ReserveLoad(0, Item{Name: "m", Bytes: 1}) != nil)
	l.Update(0, Capacity{Bytes: 100, Slots: 1}, Contents{Server: "e", Loaded: []Item{{Name: "m", Bytes: 90}}})
	var room *RoomError
	assert.Assert(t, errors.As(l.ReserveLoad(0, Item{Name: "m/a1", Base: "m", Bytes: 11}), &room))
	assert.Equal(t, room.FreeBytes, uint64(10))
	assert.NilError(t, l.ReserveLoad(0, Item{Name: "m/a2", Base: "m", Bytes: 4}))
	l.Accepted()
	assert.Equal(t, l.Free(), uint64(6))
	assert.Assert(t, errors.As(l.ReserveLoad(0, Item{Name: "m/a3", Base: "m", Bytes: 4}), &room))
	assert.Equal(t, room.FreeSlots, 0)
	var busy *BusyBaseError
	assert.Assert(t, errors.As(l.CheckUnload("m"), &busy))
	assert.Equal(t, busy.Adapter, "m/a2")
}

// TestLedgerKeepsSizes guards against memory that seems free because the configuration has dropped a
// model that the engine still holds.
func TestLedgerKeepsSizes(t *testing.T) {
	l := NewLedger()
	l.Update(0, Capacity{Bytes: 100}, Contents{Server: "e", Loaded: []Item{{Name: "m", Bytes: 90}}})
	l.Update(0, Capacity{Bytes: 100}, Contents{Server: "e", Loaded: []Item{{Name: "m"}}})
	assert.Equal(t, l.Free(), uint64(10))
}
