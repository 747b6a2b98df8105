package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"oleanderstall/assembler"
	"oleanderstall/claimer"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// ServiceCall is an admitted call of a plain service.
type ServiceCall struct {
	ID string
	// Key is nil on an open route.
	Key         *wire.Key
	Route       *wire.Route
	Path        string
	Query       string
	ContentType string
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	Body           []byte
	ConfigVersion  uint64
	Deadline       time.Duration
}

// Invoke serves a call of a plain service. A call that is not idempotent is not retried
// once a byte of it may have reached the back end: the caller gets the answer of the
// back end or a refusal that does not claim that nothing ran. An error is a
// *refuser.Refusal.
func (d *Dispatcher) Invoke(ctx context.Context, call *ServiceCall) (*wire.Answer, error) {
	end, err := d.core.Serve(ctx, call.request(d.clock()), discardOutput{})
	if err != nil {
		return nil, err
	}
	return end.(*wire.Answer), nil
}

// request returns c as a request of the core.
func (c *ServiceCall) request(now time.Duration) *Request {
	r := &Request{
		ID:            c.ID,
		Workspace:     c.Key.GetWorkspace(),
		KeyID:         c.Key.GetId(),
		Route:         c.Route.GetName(),
		Pool:          c.Route.GetPool(),
		ConfigVersion: c.ConfigVersion,
		Started:       now,
		Deadline:      c.Deadline,
		Digest:        NewDigest(c.Key.GetWorkspace(), router.HashParts([]byte(c.Route.GetMethod()), []byte(c.Path), []byte(c.Query), c.Body)),
		Content:       c,
	}
	if c.Route.GetIdempotent() {
		r.Kind = Idempotent
	}
	return r
}

// discardOutput is the output of a call whose answer is returned as a whole by Invoke.
type discardOutput struct{}

// Begin implements Output.
func (discardOutput) Begin(any) error { return nil }

// Pass implements Output.
func (discardOutput) Pass(Event) error { return nil }

// findInstance returns a reservation at an instance of the request's pool.
func (d *Dispatcher) findInstance(r *Request, h *History) (*Reservation, error) {
	instances := d.poolInstances(r.Pool)
	names := make([]string, len(instances))
	for i, in := range instances {
		names[i] = in.Name
	}
	i := d.choose(names, h.Tried, 0)
	if i < 0 && h.LastError != nil && !refuser.Is(h.LastError, refuser.BackendLimited) {
		return nil, h.LastError
	}
	if i < 0 {
		return nil, d.noneTakes(names, "no instance of the pool takes calls now")
	}
	d.requestStarted(names[i])
	return &Reservation{
		Name:    names[i],
		Address: instances[i].Address,
		Release: func(result AttemptResult) {
			d.requestEnded(names[i], -1)
			d.recordResult(names[i], result)
		},
	}, nil
}

// maxStatus is the highest status that an HTTP answer can have.
const maxStatus = 999

// sendService sends a call to the sidecar of a plain service. A call that the sidecar claims by its
// idempotency key is remembered unless it was certainly not made.
func (d *Dispatcher) sendService(ctx context.Context, reservation *Reservation, r *Request, call *ServiceCall) (Answer, error) {
	if call.Route.GetIdempotent() || call.IdempotencyKey == "" {
		return d.callSidecar(ctx, reservation, r, call)
	}
	key := storer.ClaimKey(r.Workspace, r.Route, call.IdempotencyKey)
	expected := d.claims.Expect(key, claimer.Digest(call.Path, call.Query, call.Body))
	answer, err := d.callSidecar(ctx, reservation, r, call)
	switch {
	case err == nil:
		d.claims.Answered(key, answer.answer)
	case !refuser.FromError(err).NeverRan() && !refuser.Is(err, refuser.Undecided):
		d.claims.Answered(key, nil)
	case expected:
		d.claims.NeverRan(key)
	}
	return answer, err
}

// callSidecar sends a call to the sidecar of a plain service and returns its answer.
func (d *Dispatcher) callSidecar(ctx context.Context, reservation *Reservation, r *Request, call *ServiceCall) (serviceAnswer, error) {
	reply, err := peer.Call(ctx, d.caller, reservation.Address, &wire.Call{Body: &wire.Call_Invoke{Invoke: &wire.Invoke{
		Id:        call.ID,
		Workspace: r.Workspace,
		Key:       r.KeyID,
		Config:    r.ConfigVersion,
		Route:     r.Route,
		Path:      call.Path,
		Query:     call.Query,
		Type:      call.ContentType,
		Body:      call.Body,
		Left:      timer.ToMillis(call.Deadline - d.clock()),
		Once:      call.IdempotencyKey,
	}}})
	if err != nil {
		return serviceAnswer{}, sidecarRefusal(err)
	}
	answer := reply.GetAnswer()
	if answer == nil || answer.GetId() != call.ID || answer.GetStatus() < http.StatusOK || answer.GetStatus() > maxStatus {
		return serviceAnswer{}, refuser.MayHaveRun(refuser.ConnectionLost, "the answer to another call arrived, or none")
	}
	return serviceAnswer{answer: answer}, nil
}

// serviceAnswer is the answer of a plain service. It has no events.
type serviceAnswer struct {
	answer *wire.Answer
}

// Head implements Answer.
func (serviceAnswer) Head() any { return nil }

// Info implements Answer.
func (a serviceAnswer) Info() assembler.Head {
	return assembler.Head{Status: int(a.answer.GetStatus()), Framing: assembler.Message}
}

// Next implements Answer.
func (serviceAnswer) Next() (Event, error) { return Event{}, io.EOF }

// ServerRuns implements Answer. It is not asked, since the end of the answer is a message.
func (serviceAnswer) ServerRuns(context.Context) bool { return true }

// End implements Answer.
func (a serviceAnswer) End() any { return a.answer }

// Close implements Answer.
func (serviceAnswer) Close() {}
