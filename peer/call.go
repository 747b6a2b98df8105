package peer

import (
	"context"
	"fmt"

	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// ReplyError reports a reply of an unexpected kind.
type ReplyError struct {
	Got string
}

// Error names the kind.
func (e *ReplyError) Error() string { return "unexpected reply " + e.Got }

// One sends call and returns its only reply. A refusal comes back as an error of
// type *refuser.Refusal.
func One(ctx context.Context, c Caller, address string, call *wire.Call) (*wire.Reply, error) {
	s, err := c.Open(ctx, address, call)
	if err != nil {
		return nil, err
	}
	defer s.Cancel()
	reply, err := s.Recv()
	if err != nil {
		return nil, &SendError{Address: address, Sent: true, cause: err}
	}
	if r := reply.GetRefusal(); r != nil {
		return nil, refuser.Parse(r)
	}
	return reply, nil
}

// Unexpected returns the error for a reply of another kind than awaited. That for a
// refusal is a *refuser.Refusal.
func Unexpected(r *wire.Reply) error {
	if f := r.GetRefusal(); f != nil {
		return refuser.Parse(f)
	}
	return &ReplyError{Got: fmt.Sprintf("%T", r.GetBody())}
}
