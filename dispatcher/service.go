package dispatcher

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

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
	d.earn()
	answer, err := d.invokeAny(ctx, v)
	name := v.Key.GetWorkspace()
	if err != nil {
		r := refuser.Of(err)
		d.meter.Request(name, r.Kind().String())
		d.meter.Wrongful(name, r.Kind().String())
		d.recorder.Note(time.Now(), "request/"+v.ID, "route "+v.Route.GetName()+": "+r.Error())
		return nil, r
	}
	d.meter.Request(name, "served")
	return answer, nil
}

func (d *Dispatcher) invokeAny(ctx context.Context, v *Service) (*wire.Answer, error) {
	list := d.pool(v.Route.GetPool())
	names := make([]string, len(list))
	for i, in := range list {
		names[i] = in.Name
	}
	tried, open := map[string]bool{}, false
	var last error = refuser.New(refuser.Busy, "no instance of the pool takes calls now").After(time.Second)
	for {
		i := d.choose(names, tried, 0)
		if i < 0 {
			return nil, outcome(last, open)
		}
		tried[names[i]] = true
		answer, err := d.invoke(ctx, v, names[i], list[i].Address)
		if err == nil {
			return answer, nil
		}
		last, open = err, open || !refuser.Of(err).Never()
		if !d.repeatable(v, err) {
			return nil, outcome(err, open)
		}
	}
}

// repeatable reports whether a failed call may go to another sidecar.
func (d *Dispatcher) repeatable(v *Service, err error) bool {
	r := refuser.Of(err)
	if !r.Never() && !v.Route.GetIdempotent() {
		return false
	}
	switch r.Kind() {
	case refuser.Leaving, refuser.Absent:
		return true
	case refuser.Busy, refuser.Lost, refuser.Stale:
		return d.clock() < v.Deadline && d.spend()
	}
	return false
}

func (d *Dispatcher) invoke(ctx context.Context, v *Service, name, address string) (*wire.Answer, error) {
	d.begin(name)
	defer d.end(name, -1)
	limited, cancel := context.WithTimeout(ctx, v.Deadline-d.clock())
	defer cancel()
	reply, err := peer.One(limited, d.caller, address, &wire.Call{Body: &wire.Call_Invoke{Invoke: &wire.Invoke{
		Id:        v.ID,
		Workspace: v.Key.GetWorkspace(),
		Key:       v.Key.GetId(),
		Config:    v.Config,
		Route:     v.Route.GetName(),
		Path:      v.Path,
		Query:     v.Query,
		Type:      v.Type,
		Body:      v.Body,
		Left:      timer.Millis(v.Deadline - d.clock()),
		Once:      v.Once,
	}}})
	var r *refuser.Refusal
	switch {
	case eris.As(err, &r):
		return nil, r
	case err != nil:
		return nil, d.broken(ctx, limited, err)
	case reply.GetAnswer() == nil || reply.GetAnswer().GetId() != v.ID:
		return nil, refuser.Unknown(refuser.Lost, "the answer to another call arrived")
	}
	return reply.GetAnswer(), nil
}
