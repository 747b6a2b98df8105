package executor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/refuser"
	"oleanderstall/service"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// invoke serves one call of the plain service. A call with an idempotency key on a
// route that is not idempotent is made at most once.
func (x *Executor) invoke(ctx context.Context, req *wire.Invoke) (*wire.Answer, error) {
	if x.service == nil {
		return nil, refuser.New(refuser.NotResident, "no plain service is here")
	}
	arrived := x.clock()
	deadline := arrived + timer.FromMillis(req.GetLeft())
	check := func() error {
		return x.checkRequest(ctx, req.GetKey(), req.GetWorkspace(), req.GetConfig(), arrived, deadline)
	}
	if err := x.refuseIfDraining(); err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		return nil, err
	}
	if err := x.refuseBeyondLimit(); err != nil {
		return nil, err
	}
	route := x.member.View().Route(req.GetRoute())
	if route == nil {
		return nil, refuser.New(refuser.StaleConfiguration, "the route is not in the configuration here").WithRetryAfter(time.Second)
	}
	if err := x.startCall(); err != nil {
		return nil, err
	}
	defer x.endCall()
	if route.GetIdempotent() || req.GetOnce() == "" {
		return x.callService(ctx, route, req, deadline, check)
	}
	return x.invokeOnce(ctx, route, req, deadline, check)
}

// startCall counts a call as running, or refuses it at the concurrency limit.
func (x *Executor) startCall() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= x.options.Concurrency {
		return refuser.New(refuser.Busy, "too many calls at once").WithRetryAfter(max(x.meanServiceTime, time.Second))
	}
	x.running++
	return nil
}

// endCall counts a call as ended.
func (x *Executor) endCall() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// callService calls the service once. Deadline and key are checked again just before
// that, since the process may have been paused. A failed call is not repeated here.
func (x *Executor) callService(ctx context.Context, route *wire.Route, req *wire.Invoke, deadline time.Duration, check func() error) (*wire.Answer, error) {
	if err := check(); err != nil {
		return nil, err
	}
	number, err := x.admitSend(req.GetId())
	if err != nil {
		return nil, err
	}
	started := x.clock()
	timeoutCtx, cancel := context.WithTimeout(ctx, deadline-started)
	defer cancel()
	answer, err := x.service.Call(timeoutCtx, service.Request{
		ID:             req.GetId(),
		Method:         route.GetMethod(),
		Path:           req.GetPath(),
		Query:          req.GetQuery(),
		ContentType:    req.GetType(),
		Workspace:      req.GetWorkspace(),
		IdempotencyKey: req.GetOnce(),
		Body:           req.GetBody(),
		OnLimit:        func(rate float64) { x.recordLimit(number, rate) },
	})
	x.mu.Lock()
	x.recordServiceTime(x.clock() - started)
	x.mu.Unlock()
	if err != nil {
		return nil, x.withCrash(ctx, refusalFor(err))
	}
	if err := x.checkEnd(ctx, answer); err != nil {
		return nil, err
	}
	return &wire.Answer{Id: req.GetId(), Status: uint32(answer.Status), Type: answer.ContentType, Body: answer.Body}, nil
}

// refusalFor returns the refusal for a failed call. It says that the call never ran
// only if no byte of it was sent.
func refusalFor(err error) *refuser.Refusal {
	var callErr *service.CallError
	if eris.As(err, &callErr) && !callErr.Sent {
		return refuser.New(refuser.ConnectionLost, "the service could not be reached").WithRetryAfter(time.Second)
	}
	return refuser.MayHaveRun(refuser.ConnectionLost, "the service did not answer: "+err.Error())
}
