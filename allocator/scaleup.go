package allocator

import (
	"math"
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/wire"
)

// Limits for scaling up busy models.
const (
	// saturationLimit is the saturation of an engine from which its models need more
	// copies.
	saturationLimit = 0.6
	// scaleUpPeriod is the least time between two searches for an engine for another copy.
	scaleUpPeriod = 100 * time.Millisecond
	// scaleUpLifetime is how long a scale-up lasts after it was last renewed.
	scaleUpLifetime = 1500 * time.Millisecond
)

// The request for another copy counts as scaleUpCount waiting requests with a total value
// of scaleUpValue, relative to one request that is on time.
const (
	scaleUpCount = 2
	scaleUpValue = 0.5
)

// scaleLimits are the limits from which a model needs more copies.
type scaleLimits struct {
	// slotUse is the used share of the slots of each engine that serves it.
	slotUse float64
	// ratePerCopy is the rate of requests that one engine should serve, in requests a second.
	ratePerCopy float64
}

// limitsOf returns the limits for the models of a pool. With load-based scaling they are lower:
// engines read prompts between the events of running answers, so that the gaps between events
// exceed their limit well before the slots are used up.
func (a *Allocator) limitsOf(pool string) scaleLimits {
	if a.loadScaled(pool) {
		return scaleLimits{slotUse: 0.25, ratePerCopy: 4}
	}
	return scaleLimits{slotUse: 0.5, ratePerCopy: 6}
}

// scaleUp is the state of adding copies of a model that already serves. It ends at
// expiresAt unless it is renewed.
type scaleUp struct {
	expiresAt time.Duration
	// searchedAt is the instant of the latest search for an engine.
	searchedAt time.Duration
	// requested holds the requests to engines that do not serve the model yet, by server ID.
	requested map[string]copyRequest
	// missing is the number of further copies that the model should have, and value what
	// another one is worth, in waiting requests that are on time.
	missing int
	value   float64
	// queued is set while another copy waits for capacity of the weight store.
	queued bool
}

// newScaleUp returns a scale-up that asks for one copy of the least value.
func newScaleUp() *scaleUp {
	return &scaleUp{requested: map[string]copyRequest{}, missing: 1, value: scaleUpValue}
}

// copyRequest is a request to an engine for another copy.
type copyRequest struct {
	at time.Duration
	// fetches is set if the engine loads the copy from the weight store.
	fetches bool
	// relief is the rate of requests that the copy would take over, in requests a second.
	relief float64
}

// copyCounts returns the number of copies that serve a model, without those about to be
// unloaded, and the number that it should have. If no copy has spare capacity, that is at
// least one more.
func (a *Allocator) copyCounts(now time.Duration, model string) (current, desired int) {
	spare := false
	limits := a.limitsOf(a.config.View().Model(model).GetPool())
	for b := range a.serving(now, model) {
		if b.Unloading(now, model) {
			continue
		}
		current++
		spare = spare || b.Saturation(now) < saturationLimit && float64(b.ReportedLoad()) < limits.slotUse*float64(b.Server().Slots)
	}
	desired = int(math.Ceil(a.arrivals.Rate(now, model) / limits.ratePerCopy))
	if !spare {
		desired = max(desired, current+1)
	}
	return current, desired
}

// RequestCopies starts or renews a scale-up of a model that a request has just arrived
// for, if too few engines serve it. It does nothing for a model that none serves.
func (a *Allocator) RequestCopies(now time.Duration, model string) {
	current, desired := a.copyCounts(now, model)
	if current == 0 || current >= desired {
		return
	}
	s := a.scaleUps[model]
	if s == nil {
		s = newScaleUp()
		a.scaleUps[model] = s
	}
	s.expiresAt, s.missing, s.value = now+scaleUpLifetime, desired-current, scaleUpValue
	if pool := a.config.View().Model(model).GetPool(); a.loadScaled(pool) {
		s.value = a.copyValue(now, model, current)
	}
}

// requestCopy asks the engine on which another copy would serve first, unless one was
// asked less than announceTimeout ago or will have it soon.
func (a *Allocator) requestCopy(now time.Duration, model string, s *scaleUp) {
	if now < s.searchedAt+scaleUpPeriod {
		return
	}
	s.searchedAt = now
	m := a.config.View().Model(model)
	if m == nil || s.requestedRecently(now) {
		return
	}
	var holders []string
	for b := range a.serving(now, model) {
		holders = append(holders, b.Server().ID)
	}
	candidates, planned := splitPlanned(a.copyCandidates(now, m, holders))
	relief := a.arrivals.Rate(now, model) / float64(len(holders)+1)
	candidates = slices.DeleteFunc(candidates, func(c placer.Candidate) bool { return !a.hasRoom(now, c, m.GetBytes(), relief) })
	s.queued = false
	if slices.ContainsFunc(planned, func(c placer.Candidate) bool { return c.QueueTime <= moveThreshold }) {
		return
	}
	chosen, cost := placer.ChooseEngine(candidates, m.GetBytes())
	if chosen < 0 || a.fetchesTooEarly(now, m.GetPool(), candidates[chosen]) {
		return
	}
	if !a.mayRequestCopy(now, s, m, len(planned), candidates[chosen].Fetch, cost) {
		return
	}
	id := candidates[chosen].ID
	s.requested[id] = copyRequest{at: now, fetches: candidates[chosen].Fetch, relief: relief}
	a.log.Info().Str("model", model).Str("server", id).Int("sites", len(candidates)).
		Int64("left", cost.Milliseconds()).Int64("load", candidates[chosen].LoadTime.Milliseconds()).Msg("want: another copy")
}

// dropFinished drops the requests to engines that have the copy or no longer report. The
// request does not outlive the load, because an engine that unloads the copy later does so
// for a more valuable model.
func (a *Allocator) dropFinished(now time.Duration, model string, s *scaleUp) {
	for id := range s.requested {
		b := a.fleet.Get(id)
		if b == nil || b.Status(now) == nil || b.Inventory(now).Has(model) {
			delete(s.requested, id)
		}
	}
}

// hasRoom reports whether a copy of need bytes that takes over relief requests a second fits
// into an engine in place of models whose copies serve fewer.
func (a *Allocator) hasRoom(now time.Duration, c placer.Candidate, need uint64, relief float64) bool {
	room := c.Free
	b := a.fleet.Get(c.ID)
	for _, loaded := range slices.Concat(c.Idle, c.Busy) {
		// The report has the rate apart from the expected misses.
		loaded.Rate, loaded.Copies = b.RequestRate(now, loaded.Model), a.Copies(now, loaded.Model)
		if loaded.RatePerCopy() < relief {
			room += loaded.Bytes
		}
	}
	return room >= need
}

// requestedRecently reports whether an engine was asked for another copy less than
// announceTimeout ago.
func (s *scaleUp) requestedRecently(now time.Duration) bool {
	for _, r := range s.requested {
		if now-r.at < announceTimeout {
			return true
		}
	}
	return false
}

// splitPlanned separates the candidates that already plan to load the model from the
// others.
func splitPlanned(all []placer.Candidate) (others, planned []placer.Candidate) {
	for _, c := range all {
		if c.Planned {
			planned = append(planned, c)
		} else {
			others = append(others, c)
		}
	}
	return others, planned
}

// appendScaleUps appends a load request for each engine that is asked for another copy, and
// removes expired scale-ups. The requests have the latest possible target time, so that they
// are never late.
func (a *Allocator) appendScaleUps(now time.Duration, requests []*wire.LoadRequest) []*wire.LoadRequest {
	for model, s := range a.scaleUps {
		if now > s.expiresAt {
			delete(a.scaleUps, model)
			continue
		}
		a.dropFinished(now, model, s)
		a.requestCopy(now, model, s)
		for id, r := range s.requested {
			requests = append(requests, &wire.LoadRequest{Server: id, Model: model, Count: scaleUpCount, Worth: s.value, Goal: math.MaxInt32, Rate: r.relief, Drain: a.loadScaled(a.config.View().Model(model).GetPool())})
		}
	}
	return requests
}
