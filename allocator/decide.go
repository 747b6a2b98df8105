package allocator

import (
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Outlook is when a model that requests wait for is expected to serve.
type Outlook struct {
	Model string
	Ready time.Duration
}

// Decision is what engines are to load, and when it is expected.
type Decision struct {
	Wants    []*wire.Want
	Outlooks []Outlook
}

// Pending reports whether there is anything to decide about.
func (a *Allocator) Pending() bool { return len(a.needs)+len(a.growing) > 0 }

// Decide chooses an engine for each model that is needed or wants another copy, if
// home reports that this process decides about it.
func (a *Allocator) Decide(now time.Duration, home func(model string) bool) Decision {
	var d Decision
	a.fleet.Refresh(now)
	for _, n := range a.needs {
		if !home(n.name) {
			n.server, n.lined = "", false
			continue
		}
		a.ask(now, n)
		if n.server != "" {
			d.Wants = append(d.Wants, n.want(now))
		}
		if n.server != "" || n.lined {
			d.Outlooks = append(d.Outlooks, Outlook{Model: n.name, Ready: n.ready})
		}
	}
	d.Wants = a.growthWants(now, d.Wants)
	return d
}

// want is the message for what is needed.
func (n *need) want(now time.Duration) *wire.Want {
	return &wire.Want{
		Model:  n.name,
		Server: n.server,
		Count:  n.Count,
		Worth:  n.Worth,
		Goal:   int32((n.Goal - now).Milliseconds()),
		Age:    timer.Millis(now - n.Since),
	}
}
