package peer

import (
	"context"
	"fmt"

	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// UnexpectedReplyError reports a reply of an unexpected type.
type UnexpectedReplyError struct {
	// Got is the Go type of the reply's body.
	Got string
}

// Error returns a message with the type.
func (e *UnexpectedReplyError) Error() string { return "unexpected reply " + e.Got }

// Call sends call to address, waits for its only reply and returns it. A refusal
// is returned as a *refuser.Refusal, any other failure as a *SendError. A failure
// after the call was sent leaves open whether the other side executed it.
func Call(ctx context.Context, c Caller, address string, call *wire.Call) (*wire.Reply, error) {
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
		return nil, refuser.FromWire(r)
	}
	return reply, nil
}

// UnexpectedReply returns the error for a reply of another type than expected: a
// *refuser.Refusal if the reply is a refusal, otherwise an *UnexpectedReplyError.
func UnexpectedReply(r *wire.Reply) error {
	if refusal := r.GetRefusal(); refusal != nil {
		return refuser.FromWire(refusal)
	}
	return &UnexpectedReplyError{Got: fmt.Sprintf("%T", r.GetBody())}
}
