package orderer

import (
	"context"

	"oleanderstall/placer"
	"oleanderstall/tracker"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is an engine's answer to an order.
type Outcome int

// Answers to an order.
const (
	// Unknown orders got no answer: they may be carried out, now or later.
	Unknown  Outcome = iota // unknown
	Accepted                // accepted
	// Done orders ask for what already holds.
	Done // done
	// Busy engines carry out another order, or have accepted one that the sender
	// does not know of.
	Busy // busy
	// Fenced orders bear a fencing number below one that the engine has seen.
	Fenced // fenced
	// Elsewhere orders reached another engine at the same address.
	Elsewhere // elsewhere
	// Invalid orders are not possible.
	Invalid // invalid
)

// Report is the state of an engine as it says itself.
type Report struct {
	// Started is the start of the engine's process, in Unix milliseconds.
	Started int64
	// Sequence is the number of orders accepted since then.
	Sequence uint64
	Busy     bool
	Leaving  bool
	tracker.Inventory
	Running int
	Waiting int
	// Used are the tokens in memory that cannot be given up, Cache all that fit.
	Used  int
	Cache int
}

// Order is an order to an engine.
type Order struct {
	Op placer.Op
	// Model is the base model, Adapter the whole name of an adapter of it or empty.
	Model   string
	Adapter string
	// Server is the id of the engine that is meant.
	Server string
	// Sequence is the number of orders that the engine has accepted if this one is
	// to be carried out.
	Sequence uint64
	Holder   string
	Fence    uint64
}

// Engine is the engine on the sidecar's instance.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order returns Unknown with the error of a call without an answer.
	Order(ctx context.Context, o Order) (Outcome, error)
}
