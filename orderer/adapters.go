package orderer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"oleanderstall/placer"
)

const (
	// maxLoadingAdapters is the maximum number of adapters that an engine loads at once.
	maxLoadingAdapters = 4
	// minAdapterResidence is how long an adapter stays in memory after its load, so that the
	// requests that waited for it can arrive.
	minAdapterResidence = 150 * time.Millisecond
	// waitLogInterval is the shortest time between two log lines about adapters that wait.
	waitLogInterval = time.Second
)

// orderAdapters orders the adapter loads that requests wait for, and the unloads of adapters that
// make room for them. It reports whether such orders are due or adapters are being loaded. If only the
// unload of a model makes room for an adapter, it returns that step without ordering it.
func (o *Orderer) orderAdapters(ctx context.Context, now time.Duration) (bool, placer.Step) {
	o.mu.Lock()
	plan := o.planAdapters(now)
	ready := o.canOrder() && !o.report.Busy
	if ready {
		o.logWaiting(now, plan.waiting)
	}
	pending := len(plan.loads) > 0 || len(plan.unloads) > 0 || plan.model.Op != placer.None || len(o.report.Loading) > 0
	o.mu.Unlock()
	if !ready {
		return pending, placer.Step{}
	}
	if !o.unloadAdapters(ctx, plan.unloads) {
		// The other adapters do not fit without these unloads.
		return true, placer.Step{}
	}
	for _, name := range plan.loads {
		if o.orderAdapter(ctx, placer.Load, name) == Unknown {
			break
		}
	}
	return pending, plan.model
}

// unloadAdapters orders the unloads of adapters and reports whether their memory is free.
func (o *Orderer) unloadAdapters(ctx context.Context, names []string) bool {
	for _, name := range names {
		if o.orderAdapter(ctx, placer.Unload, name) != Done {
			return false
		}
	}
	return true
}

// orderAdapter orders the load or unload of one adapter and returns the engine's answer, or Unknown
// if the order was not sent since the ledger has no room for it.
func (o *Orderer) orderAdapter(ctx context.Context, op placer.Op, name string) Outcome {
	o.mu.Lock()
	order, err := o.newOrder(o.clock(), op, o.config.View().Model(name).GetBase(), name)
	o.mu.Unlock()
	if err != nil {
		return Unknown
	}
	outcome := o.sendOrder(ctx, order, name)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle(order, outcome)
	if outcome != Accepted && outcome != Done {
		return Unknown
	}
	o.report.Sequence = o.ledger.Sequence()
	if op == placer.Load {
		o.report.Loading = append(slices.Clone(o.report.Loading), name)
	}
	return outcome
}

// adapterPlan is what the engine is ordered for the adapters that requests wait for.
type adapterPlan struct {
	// loads are the adapters that fit after unloads. The others wait.
	loads   []string
	unloads []string
	// model is the unload of a model for an adapter that does not fit otherwise.
	model placer.Step
	// waiting is the first adapter that does not fit, or empty.
	waiting placer.Item
}

// logWaiting logs that an adapter waits for room, unless it was the last one logged. The caller holds the lock.
func (o *Orderer) logWaiting(now time.Duration, waiting placer.Item) {
	if waiting.Name == o.waitingAdapter || waiting.Name != "" && now-o.waitLoggedAt < waitLogInterval {
		return
	}
	o.waitingAdapter = waiting.Name
	if waiting.Name == "" {
		return
	}
	o.waitLoggedAt = now
	o.log.Info().Str("server", o.serverID).Str("adapter", waiting.Name).Uint64("bytes", waiting.Bytes).
		Uint64("free", o.ledger.Free()).Int("slots", o.ledger.FreeSlots()).Msg("adapter: waits for room")
}

// planAdapters returns the adapters to load now and the idle adapters to unload first, least recently
// used first. An adapter that does not fit replaces idle adapters or else an idle model. The caller
// holds the lock.
func (o *Orderer) planAdapters(now time.Duration) adapterPlan {
	missing := o.missingAdapters()
	var plan adapterPlan
	idle := o.idleAdapters(now)
	free, slots := o.ledger.Free(), o.ledger.FreeSlots()
	for _, r := range missing[:min(len(missing), max(0, maxLoadingAdapters-len(o.report.Loading)))] {
		victims, freed := 0, uint64(0)
		for victims < len(idle) && (free+freed < r.Bytes || slots+victims < 1) {
			freed += o.item(idle[victims]).Bytes
			victims++
		}
		if free+freed >= r.Bytes && slots+victims >= 1 {
			plan.unloads, idle = append(plan.unloads, idle[:victims]...), idle[victims:]
			plan.loads = append(plan.loads, r.Model)
			free, slots = free+freed-r.Bytes, slots+victims-1
			continue
		}
		if plan.model.Op == placer.None && free+freed < r.Bytes {
			if models, ok := placer.EvictionFor(now, free, o.loadedModels(now), o.loadRequests(), r); ok {
				plan.model = placer.Step{Op: placer.Unload, Model: models[0].Model, Requested: r.Model}
				continue
			}
		}
		if plan.waiting.Name == "" {
			plan.waiting = o.item(r.Model)
		}
	}
	return plan
}

// missingAdapters returns the adapters that requests wait for and that the engine can load, since it
// has their models, sorted by name. The caller holds the lock.
func (o *Orderer) missingAdapters() []placer.LoadRequest {
	view := o.config.View()
	merged := map[string]placer.LoadRequest{}
	for _, a := range o.assignments {
		for _, r := range a.assignment.GetWants() {
			m := view.Model(r.GetModel())
			if m.GetBase() == "" || !o.report.Has(m.GetBase()) || m.GetPool() != o.options.Pool || !placer.Plausible(r) {
				continue
			}
			if o.report.Has(m.GetName()) || slices.Contains(o.report.Loading, m.GetName()) {
				continue
			}
			request := merged[m.GetName()]
			request.Model, request.Bytes = m.GetName(), m.GetBytes()
			request.Count += int(r.GetCount())
			merged[m.GetName()] = request
		}
	}
	list := make([]placer.LoadRequest, 0, len(merged))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		list = append(list, merged[name])
	}
	return list
}

// idleAdapters returns the loaded adapters that may be unloaded, least recently used first. The
// caller holds the lock.
func (o *Orderer) idleAdapters(now time.Duration) []string {
	needed := map[string]bool{}
	for _, a := range o.assignments {
		for _, r := range a.assignment.GetWants() {
			needed[r.GetModel()] = true
		}
		for _, u := range a.assignment.GetDemands() {
			if u.GetInflight() > 0 {
				needed[u.GetModel()] = true
				if o.report.Has(u.GetModel()) {
					o.lastUsed[u.GetModel()] = now
				}
			}
		}
	}
	var idle []string
	for _, name := range o.report.Models {
		if o.item(name).Base != "" && !needed[name] && now-o.loadedAt[name] >= minAdapterResidence {
			idle = append(idle, name)
		}
	}
	slices.SortStableFunc(idle, func(a, b string) int { return cmp.Compare(o.lastUsed[a], o.lastUsed[b]) })
	return idle
}
