package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"oleanderstall/refuser"
)

// attempt sends the request to one backend server and passes the answer on.
func (c *Core) attempt(ctx context.Context, p *progress, place *Reservation) (end any, err error) {
	begun := c.clock()
	var report AttemptResult
	p.gap = 0
	defer func() {
		report.Err, report.End, report.Gap = err, end, p.gap
		place.Release(report)
	}()
	limited, cancel := c.limited(ctx, p.request, place)
	defer cancel()
	answer, err := c.sender.Send(limited, place, p.request, p.next)
	if err != nil {
		return nil, c.given(ctx, limited, err)
	}
	defer answer.Close()
	for {
		e, err := answer.Next()
		if report.First == 0 {
			report.First = c.clock() - begun
			if place.OnPromptRead != nil {
				place.OnPromptRead()
			}
		}
		if errors.Is(err, io.EOF) {
			return answer.End(), c.begin(p, answer)
		}
		if err != nil {
			return nil, c.given(ctx, limited, err)
		}
		if err := c.pass(p, place, answer, e); err != nil {
			return nil, err
		}
	}
}

// errStands is the cause of the end of an attempt at a server that stands still.
var errStands = refuser.Unknown(refuser.Silent, "the backend server's host does not answer")

// limited returns the context of an attempt: it ends at the deadline, or when the
// attempt is abandoned.
func (c *Core) limited(ctx context.Context, r *Request, place *Reservation) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithTimeout(ctx, r.Deadline-c.clock())
	if place.Held == nil {
		return limited, cancel
	}
	limited, abandon := context.WithCancelCause(limited)
	stop := context.AfterFunc(place.Held, func() { abandon(errStands) })
	return limited, func() {
		stop()
		abandon(nil)
		cancel()
	}
}

// given replaces the error of an attempt that ended because the caller has given
// up or the deadline has passed.
func (c *Core) given(ctx, limited context.Context, err error) error {
	r := refuser.Of(err)
	kind, text := refuser.Kind(0), ""
	switch {
	case ctx.Err() != nil:
		kind, text = refuser.Canceled, "the caller has given up"
	case errors.Is(context.Cause(limited), errStands):
		kind, text = errStands.Kind(), errStands.Text()
	case limited.Err() != nil:
		kind, text = refuser.Late, "the deadline has passed"
	default:
		return r
	}
	if r.Never() {
		return refuser.New(kind, text).After(r.Retry())
	}
	return refuser.Unknown(kind, text).After(r.Retry())
}

// begin passes the head on once. A failure that another backend server may put
// right is held back.
func (c *Core) begin(p *progress, answer Answer) error {
	if p.begun {
		return nil
	}
	if answer.Failed() && p.request.Kind == Idempotent && c.more(p) {
		return refuser.Unknown(refuser.Failed, "the backend server answered that it failed")
	}
	p.begun = true
	if p.out.Begin(answer.Head()) != nil {
		return refuser.Unknown(refuser.Canceled, "the caller has given up")
	}
	return nil
}

// more reports whether another attempt is allowed after this one.
func (c *Core) more(p *progress) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := p.request.Attempts == 0 || p.runs+1 < p.request.Attempts
	return left && c.budget.Left(p.request.Pool)
}

// pass passes one event on. Events have to follow one another without a gap.
func (c *Core) pass(p *progress, place *Reservation, answer Answer, e Event) error {
	if e.Index != p.next {
		return refuser.Unknown(refuser.Lost, "an event of another answer or place arrived")
	}
	if !c.checker.Granted(p.request.Key) {
		return refuser.Unknown(refuser.Unauthorized, "the key was withdrawn during the answer")
	}
	if err := c.begin(p, answer); err != nil {
		return err
	}
	if p.out.Pass(e) != nil {
		return refuser.Unknown(refuser.Canceled, "the caller has given up")
	}
	c.passed(p, place, c.clock())
	p.next = e.Index + 1
	return nil
}

// passed takes note of an event that was passed on at now.
func (c *Core) passed(p *progress, place *Reservation, now time.Duration) {
	if p.first == 0 {
		p.first = now - p.request.Started
		c.meter.First(p.request.Workspace, p.first)
	} else if gap := now - p.last; gap > p.gap {
		p.gap = gap
		if place.OnSlow != nil {
			place.OnSlow(gap)
		}
	}
	p.last = now
	if place.OnActivity != nil {
		place.OnActivity(now)
	}
}
