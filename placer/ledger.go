package placer

import (
	"fmt"
	"slices"
	"time"
)

// maxOrderDelay is how long an order without an answer may still be carried out. It is longer than
// the lease of 3 s, for which the orders of an earlier holder of the engine count as on their way.
const maxOrderDelay = 5 * time.Second

// Item is a model or an adapter in the memory of an engine.
type Item struct {
	Name string
	// Base is the model of an adapter, or empty for a model.
	Base  string
	Bytes uint64
}

// slots returns the number of adapter slots that the item takes.
func (i Item) slots() int {
	if i.Base != "" {
		return 1
	}
	return 0
}

// Capacity is the memory of an engine for models and adapters together, in bytes, and the number of
// its adapter slots.
type Capacity struct {
	Bytes uint64
	Slots int
}

// Contents are what an engine reports: the items in its memory and those that it loads.
type Contents struct {
	// Server is the ID of the engine, and Sequence the number of orders that it has accepted.
	Server   string
	Sequence uint64
	Loaded   []Item
	Loading  []Item
}

// Ledger decides which loads fit on one engine. It accounts for the models and adapters in memory,
// for loads in progress, and for loads that an order without an answer may still cause. The engine
// accepts an order only with the sequence number that it has reached, so of two orders with the same
// number at most one is carried out, and none with a lower number than the engine's. An order with a
// higher number may be carried out later: the engine may have restarted under its ID since. It is
// not safe for concurrent use.
type Ledger struct {
	capacity Capacity
	contents Contents
	// sizes are the sizes of the items in memory, so that one which the configuration has dropped
	// keeps its size.
	sizes map[string]uint64
	// unanswered are the loads that were ordered and have no answer yet.
	unanswered []unansweredLoad
}

// unansweredLoad is the order of a load that was sent at sentAt.
type unansweredLoad struct {
	server   string
	sequence uint64
	item     Item
	sentAt   time.Duration
}

// RoomError reports a load that exceeds the memory or the adapter slots of an engine.
type RoomError struct {
	Item Item
	// FreeBytes and FreeSlots are what is left.
	FreeBytes uint64
	FreeSlots int
}

// Error names the item with its size and what is free.
func (e *RoomError) Error() string {
	return fmt.Sprintf("%s needs %d bytes and %d adapter slots, %d bytes and %d slots are free", e.Item.Name, e.Item.Bytes, e.Item.slots(), e.FreeBytes, e.FreeSlots)
}

// BusyBaseError reports the unload of a model of which the engine loads an adapter.
type BusyBaseError struct {
	Model   string
	Adapter string
}

// Error names the model and the adapter.
func (e *BusyBaseError) Error() string { return e.Model + " is needed for the load of " + e.Adapter }

// NewLedger returns the ledger of an engine of which nothing is known; nothing fits.
func NewLedger() *Ledger { return &Ledger{sizes: map[string]uint64{}} }

// Update replaces the capacity and the contents by those of the engine's latest report.
func (l *Ledger) Update(now time.Duration, capacity Capacity, contents Contents) {
	l.capacity = capacity
	sizes := map[string]uint64{}
	for _, items := range [][]Item{contents.Loaded, contents.Loading} {
		for i := range items {
			if items[i].Bytes == 0 {
				items[i].Bytes = l.sizes[items[i].Name]
			}
			sizes[items[i].Name] = items[i].Bytes
		}
	}
	l.contents, l.sizes = contents, sizes
	l.unanswered = slices.DeleteFunc(l.unanswered, func(u unansweredLoad) bool {
		return u.server != contents.Server || now-u.sentAt >= maxOrderDelay
	})
}

// Free returns the memory that is neither in use nor reserved for a load that an order without an answer
// may still cause.
func (l *Ledger) Free() uint64 {
	used := saturatingSum(l.contents.Loaded, l.contents.Loading, l.possibleLoads(func(i Item) uint64 { return i.Bytes }))
	return l.capacity.Bytes - min(used, l.capacity.Bytes)
}

// FreeSlots returns the number of adapter slots that are neither in use nor reserved for a load that an
// order without an answer may still cause.
func (l *Ledger) FreeSlots() int {
	used := 0
	for _, items := range [][]Item{l.contents.Loaded, l.contents.Loading, l.possibleLoads(func(i Item) uint64 { return uint64(i.slots()) })} {
		for _, i := range items {
			used += i.slots()
		}
	}
	return max(0, l.capacity.Slots-used)
}

// Sequence returns the number of orders that the engine has accepted.
func (l *Ledger) Sequence() uint64 { return l.contents.Sequence }

// possibleLoads returns the loads that orders without an answer may still cause after the next order.
// The engine carries out at most one of the orders with the same number, so of these only the load with
// the greatest cost is returned. Orders with the engine's current number are excluded by the next one.
func (l *Ledger) possibleLoads(cost func(Item) uint64) []Item {
	greatest := map[uint64]Item{}
	for _, u := range l.unanswered {
		if u.sequence <= l.contents.Sequence {
			continue
		}
		if known, ok := greatest[u.sequence]; !ok || cost(u.item) > cost(known) {
			greatest[u.sequence] = u.item
		}
	}
	items := make([]Item, 0, len(greatest))
	for _, i := range greatest {
		items = append(items, i)
	}
	return items
}

// saturatingSum returns the sum of the sizes of items, or the largest number if that is exceeded.
func saturatingSum(lists ...[]Item) uint64 {
	sum := uint64(0)
	for _, items := range lists {
		for _, i := range items {
			sum += min(i.Bytes, ^uint64(0)-sum)
		}
	}
	return sum
}

// ReserveLoad reserves room for an item whose load is about to be ordered. It returns a *RoomError if
// the item does not fit; the order must not be sent then.
func (l *Ledger) ReserveLoad(now time.Duration, item Item) error {
	if free, slots := l.Free(), l.FreeSlots(); item.Bytes > free || item.slots() > slots {
		return &RoomError{Item: item, FreeBytes: free, FreeSlots: slots}
	}
	l.unanswered = append(l.unanswered, unansweredLoad{server: l.contents.Server, sequence: l.contents.Sequence, item: item, sentAt: now})
	return nil
}

// CheckUnload returns a *BusyBaseError if the engine loads an adapter of the model; the unload must not
// be ordered then.
func (l *Ledger) CheckUnload(name string) error {
	for _, i := range l.contents.Loading {
		if i.Base == name {
			return &BusyBaseError{Model: name, Adapter: i.Name}
		}
	}
	return nil
}

// Accepted records that the engine loads the item that was ordered last.
func (l *Ledger) Accepted() {
	l.Present()
	l.contents.Sequence++
}

// Present records that the engine has or loads the item that was ordered last without this order.
func (l *Ledger) Present() {
	item := l.settle()
	l.contents.Loading = append(slices.Clip(l.contents.Loading), item)
	l.sizes[item.Name] = item.Bytes
}

// Refused records that the load that was ordered last will not be carried out.
func (l *Ledger) Refused() { l.settle() }

// settle removes the load that was ordered last from those without an answer and returns it.
func (l *Ledger) settle() Item {
	last := len(l.unanswered) - 1
	item := l.unanswered[last].item
	l.unanswered = l.unanswered[:last]
	return item
}

// Unloaded records that the engine has accepted the unload of an item. gone is set if its memory is
// free already.
func (l *Ledger) Unloaded(name string, gone bool) {
	l.contents.Sequence++
	if gone {
		l.contents.Loaded = slices.DeleteFunc(slices.Clone(l.contents.Loaded), func(i Item) bool { return i.Name == name })
	}
}
