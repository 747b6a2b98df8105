package locator

import (
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Values of requests, relative to one that waits and is on time, and timeouts of demands.
const (
	// retryValue is the total value of the refused requests of a demand that are expected
	// to be retried. They add nothing to the count of a load request, so that no model is
	// unloaded for them.
	retryValue = 0.05
	// lateValue is the value of a late answer.
	lateValue = 0.25
	// retryGrace is how long after the suggested time a refused caller is still expected
	// to retry.
	retryGrace = time.Second
	// relayTimeout is how long an entry may be without batches from a relay before it
	// refuses the requests that wait for a model.
	relayTimeout = 2 * time.Second
)

// demand is a model or an adapter that requests wait for.
type demand struct {
	name    string
	waiting map[*dispatcher.Request]struct{}
	// readyAt is the instant at which the model is expected to serve, if readyKnown.
	readyAt    time.Duration
	readyKnown bool
	// retriesUntil is the instant until which requests that were refused are expected
	// to be retried.
	retriesUntil time.Duration
	// avoid names the engines that hold the model but that a request could not use.
	avoid []string
	// centres are the data centres in which the requests that waited last may run, or nil if one of
	// them may run in all.
	centres []string
	// software are the versions at which those of the waiting requests may run that may not run at
	// all.
	software []string
}

// ended reports whether no request waits and none is expected to be retried.
func (d *demand) ended(now time.Duration) bool { return len(d.waiting) == 0 && now >= d.retriesUntil }

// joinDemand adds r to the requests that wait for its model, and signals that there is
// something to report. It refuses r if the model is not in the configuration. The caller holds the lock.
func (l *Locator) joinDemand(now time.Duration, r *dispatcher.Request) (*demand, error) {
	name := requestedName(r)
	if l.config.View().Model(name) == nil {
		return nil, refuser.New(refuser.NotResident, "no engine of the pool knows the model").WithRetryAfter(maxRetryAfter)
	}
	d := l.demands[name]
	if d == nil {
		d = &demand{name: name, waiting: map[*dispatcher.Request]struct{}{}}
		l.demands[name] = d
	}
	d.waiting[r] = struct{}{}
	for _, b := range l.fleet.Holders(name) {
		if id := b.Server().ID; b.Inventory(now).Has(name) && !slices.Contains(d.avoid, id) {
			d.avoid = append(d.avoid, id)
		}
	}
	l.unreported.demandsChanged = true
	l.signalReport()
	return d, nil
}

// leaveDemand removes r from the requests of a demand, which may be nil, and signals that
// there is something to report.
func (l *Locator) leaveDemand(r *dispatcher.Request, d *demand) {
	if d == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(d.waiting, r)
	if len(d.waiting) == 0 {
		d.avoid = nil
	}
	if d.ended(l.clock()) && l.demands[d.name] == d {
		delete(l.demands, d.name)
	}
	l.unreported.demandsChanged = true
	l.signalReport()
}

// checkModelInTime refuses r if the model that it waits for is not expected to serve in time,
// if no relay can be reached, or if the entry stops. The caller holds the lock.
func (l *Locator) checkModelInTime(now time.Duration, r *dispatcher.Request, d *demand) error {
	latest := latestSend(r)
	switch {
	case l.stopping:
		return refuser.New(refuser.Leaving, "the entry stops before the model can be there").WithRetryAfter(minRetryAfter)
	case now >= latest:
		return d.refuse(now, "the model was not there in time")
	case d.readyKnown && d.readyAt > latest:
		return d.refuse(now, "the model cannot be there in time")
	case now-l.lastBatchAt > relayTimeout:
		return refuser.New(refuser.PlatformUnavailable, "no relay can be asked for the model").WithRetryAfter(time.Second)
	}
	return nil
}

// refuse returns a refusal that asks the caller to retry when the model is expected to serve.
// The demand lasts until retryGrace after that.
func (d *demand) refuse(now time.Duration, text string) error {
	retryAfter := min(max(d.readyAt-now, minRetryAfter), maxRetryAfter)
	d.retriesUntil = max(d.retriesUntil, now+retryAfter+retryGrace)
	return refuser.New(refuser.DeadlineExceeded, text).WithRetryAfter(retryAfter)
}

// updateEstimate applies a ready estimate of a relay, or its withdrawal, and wakes the
// requests that wait for the model. The caller holds the lock.
func (l *Locator) updateEstimate(now time.Duration, estimate *wire.ReadyEstimate) {
	d := l.demands[estimate.GetModel()]
	if d == nil {
		return
	}
	d.readyKnown = !estimate.GetGone()
	d.readyAt = now + timer.FromMillis(estimate.GetLeft())
	l.notifier.notify(d.name)
}

// loadRequest returns the message that reports the demand to a relay. While no request
// waits, its target time is 1<<30 ms ahead.
func (d *demand) loadRequest(now time.Duration, regions map[string]string) *wire.LoadRequest {
	d.updateCentres(regions)
	d.updateSoftware()
	request := &wire.LoadRequest{Model: d.name, Count: uint32(len(d.waiting)), Goal: 1 << 30, Avoid: d.avoid, Centres: d.centres, Software: d.software}
	if now < d.retriesUntil {
		request.Worth += retryValue
	}
	for r := range d.waiting {
		value := requestValue(r)
		if now > r.TargetTime {
			value *= lateValue
		}
		request.Worth += value
		request.Goal = min(request.Goal, timer.ToSignedMillis(r.TargetTime-now))
		request.Age = max(request.Age, timer.ToMillis(now-r.Started))
	}
	return request
}

// requestValue returns the value of a request relative to one of priority 0, the highest.
// Each step towards lowestPriority halves the value.
func requestValue(r *dispatcher.Request) float64 {
	value := 1.0
	for range min(r.Priority, lowestPriority) {
		value /= 2
	}
	return value
}
