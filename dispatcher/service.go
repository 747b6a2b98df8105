package dispatcher

import (
	"context"
	"io"
	"time"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Service is an admitted call of a plain service.
type Service struct {
	ID string
	// Key is nil on an open route.
	Key      *wire.Key
	Route    *wire.Route
	Path     string
	Query    string
	Type     string
	Once     string
	Body     []byte
	Config   uint64
	Deadline time.Duration
}

// Invoke serves a call of a plain service. Once a byte of it may have left for
// the back end, a call that may not be repeated is not tried again: the answer
// is the back end's or a refusal whose run is unknown. An error is a
// *refuser.Refusal.
func (d *Dispatcher) Invoke(ctx context.Context, v *Service) (*wire.Answer, error) {
	end, err := d.core.Serve(ctx, v.request(d.clock()), nowhere{})
	if err != nil {
		return nil, err
	}
	return end.(*wire.Answer), nil
}

// request returns what the core reads of v.
func (v *Service) request(now time.Duration) *Request {
	r := &Request{
		ID:        v.ID,
		Workspace: v.Key.GetWorkspace(),
		Key:       v.Key.GetId(),
		Route:     v.Route.GetName(),
		Pool:      v.Route.GetPool(),
		Config:    v.Config,
		Started:   now,
		Deadline:  v.Deadline,
		Content:   v,
	}
	if v.Route.GetIdempotent() {
		r.Kind = Idempotent
	}
	return r
}

// nowhere is the output of a call whose answer is returned as a whole.
type nowhere struct{}

// Begin implements Output.
func (nowhere) Begin(any) error { return nil }

// Pass implements Output.
func (nowhere) Pass(Event) error { return nil }

// findInstance returns an instance of the request's pool.
func (d *Dispatcher) findInstance(r *Request, h *History) (*Reservation, error) {
	list := d.pool(r.Pool)
	names := make([]string, len(list))
	for i, in := range list {
		names[i] = in.Name
	}
	i := d.choose(names, h.Tried, 0)
	if i < 0 && h.Last != nil {
		return nil, h.Last
	}
	if i < 0 {
		return nil, refuser.New(refuser.Busy, "no instance of the pool takes calls now").After(time.Second)
	}
	d.begin(names[i])
	return &Reservation{
		Name:    names[i],
		Address: list[i].Address,
		Release: func(AttemptResult) { d.end(names[i], -1) },
	}, nil
}

// sendService sends a call to the sidecar of a plain service.
func (d *Dispatcher) sendService(ctx context.Context, p *Reservation, r *Request, v *Service) (Answer, error) {
	got, err := peer.One(ctx, d.caller, p.Address, &wire.Call{Body: &wire.Call_Invoke{Invoke: &wire.Invoke{
		Id:        v.ID,
		Workspace: r.Workspace,
		Key:       r.Key,
		Config:    r.Config,
		Route:     r.Route,
		Path:      v.Path,
		Query:     v.Query,
		Type:      v.Type,
		Body:      v.Body,
		Left:      timer.ToMillis(v.Deadline - d.clock()),
		Once:      v.Once,
	}}})
	if err != nil {
		return nil, broken(err)
	}
	if got.GetAnswer() == nil || got.GetAnswer().GetId() != v.ID {
		return nil, refuser.Unknown(refuser.Lost, "the answer to another call arrived")
	}
	return reply{answer: got.GetAnswer()}, nil
}

// reply is the answer of a plain service.
type reply struct {
	answer *wire.Answer
}

// Head implements Answer.
func (reply) Head() any { return nil }

// Failed implements Answer.
func (reply) Failed() bool { return false }

// Next implements Answer.
func (reply) Next() (Event, error) { return Event{}, io.EOF }

// End implements Answer.
func (r reply) End() any { return r.answer }

// Close implements Answer.
func (reply) Close() {}
