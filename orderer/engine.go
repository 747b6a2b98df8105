package orderer

import (
	"context"
	"math"
	"slices"

	"oleanderstall/placer"
	"oleanderstall/tracker"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is an engine's response to an order.
type Outcome int

// Possible responses to an order.
const (
	// Unknown means that no response arrived, or one with an unexpected status. The
	// engine may execute the order now, later or never.
	Unknown  Outcome = iota // unknown
	Accepted                // accepted
	// Done means that the requested state already holds.
	Done // done
	// Busy means that the engine executes another order, or that the order's sequence
	// number is wrong because the engine has accepted an order that the sender does not
	// know of.
	Busy // busy
	// Fenced means that the engine has seen a higher fencing number than the order's.
	Fenced // fenced
	// WrongServer means that the order reached another engine at the same address.
	WrongServer // elsewhere
	// Invalid means that the engine cannot execute such an order.
	Invalid // invalid
)

// Report is the state that an engine reports.
type Report struct {
	// Started is the start of the engine's process in Unix milliseconds.
	Started int64
	// Sequence is the number of orders that the engine has accepted since then.
	Sequence uint64
	Busy     bool
	Leaving  bool
	// Limit is the limit that the engine names in its answer, in requests a second of all
	// processes together, or 0.
	Limit float64
	tracker.Inventory
	Running int
	Waiting int
	// UsedTokens is the number of KV cache tokens that cannot be freed, and CacheTokens the
	// capacity of the KV cache in tokens.
	UsedTokens  int
	CacheTokens int
}

// normalized returns the report with numbers that fit into a status, and with each model and
// adapter named once.
func (r Report) normalized() Report {
	for _, n := range []*int{&r.Running, &r.Waiting, &r.UsedTokens, &r.CacheTokens} {
		*n = min(math.MaxUint32, max(0, *n))
	}
	r.Models, r.Loading = sortedUnique(r.Models), sortedUnique(r.Loading)
	return r
}

// sortedUnique returns the names sorted and without repetitions. It does not change the list.
func sortedUnique(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

// Order is an order to load or unload a model or an adapter.
type Order struct {
	Op placer.Op
	// Model is the base model. Adapter is the full name of one of its adapters, or
	// empty.
	Model   string
	Adapter string
	// Server is the ID of the engine that the order is meant for.
	Server string
	// Sequence is the number of orders that the engine must have accepted for this order
	// to be executed.
	Sequence uint64
	Holder   string
	Fence    uint64
}

// item returns the name of the model or adapter that the order loads or unloads.
func (o Order) item() string {
	if o.Adapter != "" {
		return o.Adapter
	}
	return o.Model
}

// Engine is a client of the engine that an Orderer controls.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order returns Unknown and an error if no response arrived.
	Order(ctx context.Context, o Order) (Outcome, error)
}
