package peer

import (
	"context"

	"github.com/rotisserie/eris"

	"oleanderstall/wire"
)

// pipeBuffer is the number of messages that a pipe buffers in each direction.
const pipeBuffer = 1024

// pipe is a stream in memory. Both ends share one value and one context.
type pipe struct {
	ctx     context.Context
	cancel  context.CancelFunc
	calls   chan *wire.Call
	replies chan *wire.Reply
}

// Pipe calls h in a goroutine of this process, as if call had arrived from
// another process, and returns the caller's stream. The handler's context ends
// with ctx or when the stream is cancelled.
func Pipe(ctx context.Context, h Handler, call *wire.Call) Stream {
	ctx, cancel := context.WithCancel(ctx)
	p := &pipe{ctx: ctx, cancel: cancel, calls: make(chan *wire.Call, pipeBuffer), replies: make(chan *wire.Reply, pipeBuffer)}
	go func() {
		h(ctx, call, p)
		close(p.replies)
	}()
	return p
}

// Recv implements Stream.
func (p *pipe) Recv() (*wire.Reply, error) {
	select {
	case r, ok := <-p.replies:
		if !ok {
			return nil, eris.New("the stream has ended")
		}
		return r, nil
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

// Send implements Stream.
func (p *pipe) Send(r *wire.Reply) error {
	select {
	case p.replies <- r:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// SendCall implements Stream.
func (p *pipe) SendCall(c *wire.Call) error {
	select {
	case p.calls <- c:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// RecvCall implements Stream.
func (p *pipe) RecvCall() (*wire.Call, error) {
	select {
	case c := <-p.calls:
		return c, nil
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

// Context implements Stream.
func (p *pipe) Context() context.Context { return p.ctx }

// Cancel implements Stream.
func (p *pipe) Cancel() { p.cancel() }
