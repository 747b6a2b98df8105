package allocator

import (
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// ReadyEstimate is the instant at which a model with waiting requests is expected to
// serve.
type ReadyEstimate struct {
	Model string
	Ready time.Duration
}

// Decision lists the loads to request from engines, and when models with waiting requests
// are expected to serve.
type Decision struct {
	Loads     []*wire.LoadRequest
	Estimates []ReadyEstimate
}

// Pending reports whether there are models to decide about.
func (a *Allocator) Pending() bool { return len(a.demands)+len(a.scaleUps) > 0 }

// Decide assigns an engine to each model that has demand. It returns the loads to request for
// these models and for scale-ups, and the ready estimates of the models with demand. It
// withdraws the assignment of a model for which owned returns false, because another process
// decides about that model.
func (a *Allocator) Decide(now time.Duration, owned func(model string) bool) Decision {
	var d Decision
	a.fleet.RefreshStatuses(now)
	a.rankDemands(now)
	for _, p := range a.demands {
		if !owned(p.name) {
			p.server, p.queued = "", false
			continue
		}
		a.assign(now, p)
		if p.server != "" {
			d.Loads = append(d.Loads, p.loadRequest(now))
		}
		if p.server != "" || p.queued {
			d.Estimates = append(d.Estimates, ReadyEstimate{Model: p.name, Ready: p.readyAt})
		}
	}
	a.requestMoves(now, owned)
	d.Loads = a.appendScaleUps(now, d.Loads)
	return d
}

// loadRequest returns the message that requests the load.
func (p *pendingDemand) loadRequest(now time.Duration) *wire.LoadRequest {
	return &wire.LoadRequest{
		Model:  p.name,
		Server: p.server,
		Count:  p.Count,
		Worth:  p.rank,
		Goal:   timer.ToSignedMillis(p.TargetTime - now),
		Age:    timer.ToMillis(now - p.FirstArrival),
	}
}
