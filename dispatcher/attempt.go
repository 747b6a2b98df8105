package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"oleanderstall/assembler"
	"oleanderstall/refuser"
)

// attempt sends the request to the reserved backend server and passes the answer on
// to the caller. It returns what followed the last event, and releases the reservation
// with the result of the attempt.
func (c *Core) attempt(ctx context.Context, p *progress, reservation *Reservation) (end any, err error) {
	started := c.clock()
	var result AttemptResult
	p.maxGap, p.answer, p.passed = 0, assembler.Head{}, 0
	defer func() {
		result.Err, result.End, result.MaxGap = err, end, p.maxGap
		if result.MayBeCrash() {
			p.lostUnanswered++
		}
		reservation.Release(result)
	}()
	attemptCtx, cancel := c.attemptContext(ctx, p.request, reservation)
	defer cancel()
	answer, err := c.sender.Send(attemptCtx, reservation, p.request, p.assembly.Next())
	if err != nil {
		return nil, c.attemptError(ctx, attemptCtx, err)
	}
	defer answer.Close()
	p.answer = answer.Info()
	if err := p.assembly.CheckHead(p.answer); err != nil {
		result.Answered = true
		return nil, err
	}
	for {
		e, err := answer.Next()
		if result.TimeToFirst == 0 {
			result.TimeToFirst = c.clock() - started
			if reservation.OnPromptRead != nil {
				reservation.OnPromptRead()
			}
		}
		if errors.Is(err, io.EOF) {
			if err := c.endAnswer(attemptCtx, p, answer); err != nil {
				return nil, c.attemptError(ctx, attemptCtx, err)
			}
			result.Answered = true
			return answer.End(), c.beginAnswer(p, answer)
		}
		if err != nil {
			return nil, c.attemptError(ctx, attemptCtx, err)
		}
		result.Answered = true
		if err := c.passEvent(p, reservation, answer, e); err != nil {
			return nil, err
		}
	}
}

// errHostSilent is the cancellation cause of an attempt that is abandoned because the
// host of its backend server does not answer.
var errHostSilent = refuser.MayHaveRun(refuser.BackendSilent, "the backend server's host does not answer")

// attemptContext returns the context of an attempt. It ends with ctx, at the request's
// deadline, or when the attempt is abandoned; its cause is then errHostSilent.
func (c *Core) attemptContext(ctx context.Context, r *Request, reservation *Reservation) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithTimeout(ctx, r.Deadline-c.clock())
	if reservation.AbandonContext == nil {
		return attemptCtx, cancel
	}
	attemptCtx, abandon := context.WithCancelCause(attemptCtx)
	stop := context.AfterFunc(reservation.AbandonContext, func() { abandon(errHostSilent) })
	return attemptCtx, func() {
		stop()
		abandon(nil)
		cancel()
	}
}

// attemptError returns the refusal for an attempt that ended with err. If the attempt was
// cut short because the caller gave up, the host of the backend server did not answer
// or the deadline passed, the refusal names that cause; it keeps what err says about
// whether the request ran and when to retry.
func (c *Core) attemptError(ctx, attemptCtx context.Context, err error) error {
	refusal := refuser.FromError(err)
	kind, text := refuser.Kind(0), ""
	switch {
	case ctx.Err() != nil:
		kind, text = endedBy(ctx)
	case errors.Is(context.Cause(attemptCtx), errHostSilent):
		kind, text = errHostSilent.Kind(), errHostSilent.Text()
	case attemptCtx.Err() != nil:
		kind, text = refuser.DeadlineExceeded, "the deadline has passed"
	default:
		return refusal
	}
	if refusal.NeverRan() {
		return refuser.New(kind, text).WithRetryAfter(refusal.RetryAfter())
	}
	return refuser.MayHaveRun(kind, text).WithRetryAfter(refusal.RetryAfter())
}

// endedBy returns the kind and the text of the refusal for a request whose context has ended. If its
// cause is none, the caller has given up.
func endedBy(ctx context.Context) (refuser.Kind, string) {
	var refusal *refuser.Refusal
	if errors.As(context.Cause(ctx), &refusal) {
		return refusal.Kind(), refusal.Text()
	}
	return refuser.Canceled, "the caller has given up"
}

// endAnswer returns an error if the end of an answer does not show that it is complete.
func (c *Core) endAnswer(ctx context.Context, p *progress, answer Answer) error {
	return assembler.CheckEnd(p.answer.Framing, func() bool { return answer.ServerRuns(ctx) })
}

// beginAnswer passes the head of the answer on, once per request. If the backend server
// answered that it failed and another attempt is allowed, it returns a refusal instead
// and the caller does not see the failure.
func (c *Core) beginAnswer(p *progress, answer Answer) error {
	if p.assembly.Begun() {
		return nil
	}
	if answer.Info().Failed && p.request.Kind == Idempotent && c.retryPossible(p) {
		return refuser.MayHaveRun(refuser.BackendFailed, "the backend server answered that it failed")
	}
	p.assembly.Begin(p.answer)
	if p.output.Begin(answer.Head()) != nil {
		return refuser.MayHaveRun(refuser.Canceled, "the caller has given up")
	}
	return nil
}

// retryPossible reports whether the limit on attempts and the retry budget allow another
// attempt after the current one.
func (c *Core) retryPossible(p *progress) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	attemptsLeft := p.request.MaxAttempts == 0 || p.possibleRuns+1 < p.request.MaxAttempts
	return attemptsLeft && c.budget.HasRetry(p.request.Pool)
}

// passEvent passes one event on. It refuses an event that is not the next one, and ends the
// stream if the caller's key was withdrawn.
func (c *Core) passEvent(p *progress, reservation *Reservation, answer Answer, e Event) error {
	if !c.checker.Granted(p.request.KeyID) {
		return refuser.MayHaveRun(refuser.Unauthorized, "the key was withdrawn during the answer")
	}
	if err := p.assembly.CheckEvent(e.Index); err != nil {
		return err
	}
	if err := c.beginAnswer(p, answer); err != nil {
		return err
	}
	if p.request.Kind == Resumable {
		p.request.Software = OnlySoftware(reservation.Software)
	}
	if p.output.Pass(e) != nil {
		return refuser.MayHaveRun(refuser.Canceled, "the caller has given up")
	}
	c.recordEvent(p, reservation, c.clock())
	p.assembly.Pass()
	p.passed++
	return nil
}

// recordEvent records that an event was passed on at now. It updates the time to the
// first event or the longest gap, and calls the callbacks of the reservation.
func (c *Core) recordEvent(p *progress, reservation *Reservation, now time.Duration) {
	if p.timeToFirst == 0 {
		p.timeToFirst = now - p.request.Started
		c.meter.RecordTimeToFirstToken(p.request.Workspace, p.timeToFirst)
	} else if gap := now - p.lastEvent; gap > p.maxGap {
		p.maxGap = gap
		if reservation.OnSlow != nil {
			reservation.OnSlow(gap)
		}
	}
	p.lastEvent = now
	if reservation.OnActivity != nil {
		reservation.OnActivity(now)
	}
}
