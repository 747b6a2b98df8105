package allocator

import (
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// ReadyEstimate is when a model that requests wait for is expected to serve.
type ReadyEstimate struct {
	Model string
	Ready time.Duration
}

// Decision is what engines are to load, and when it is expected.
type Decision struct {
	Loads     []*wire.LoadRequest
	Estimates []ReadyEstimate
}

// Pending reports whether there is anything to decide about.
func (a *Allocator) Pending() bool { return len(a.needs)+len(a.growing) > 0 }

// Decide chooses an engine for each model that is needed or wants another copy, if
// home reports that this process decides about it.
func (a *Allocator) Decide(now time.Duration, home func(model string) bool) Decision {
	var d Decision
	a.fleet.RefreshStatuses(now)
	for _, n := range a.needs {
		if !home(n.name) {
			n.server, n.lined = "", false
			continue
		}
		a.ask(now, n)
		if n.server != "" {
			d.Loads = append(d.Loads, n.want(now))
		}
		if n.server != "" || n.lined {
			d.Estimates = append(d.Estimates, ReadyEstimate{Model: n.name, Ready: n.ready})
		}
	}
	d.Loads = a.growthWants(now, d.Loads)
	return d
}

// want is the message for what is needed.
func (n *need) want(now time.Duration) *wire.LoadRequest {
	return &wire.LoadRequest{
		Model:  n.name,
		Server: n.server,
		Count:  n.Count,
		Worth:  n.Worth,
		Goal:   int32((n.Goal - now).Milliseconds()),
		Age:    timer.ToMillis(now - n.Since),
	}
}
