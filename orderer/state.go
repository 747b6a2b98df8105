package orderer

import (
	"context"
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// describe returns the state as last seen. The caller holds the lock.
func (o *Orderer) describe(now time.Duration) *wire.EngineStatus {
	r := o.report
	s := &wire.EngineStatus{Address: o.terms.Address, Started: o.terms.Started, Born: r.Started}
	// Without a configuration the sizes of the models are not known.
	if r.Started == 0 || o.born != r.Started || o.copy.View().Version() == 0 {
		return s
	}
	s.Server = o.server
	s.Sequence = r.Sequence
	s.Models = r.Models
	s.Coming = r.Loading
	s.Memory, s.Disk = r.Memory, r.Disk
	s.Leaving = r.Leaving
	s.Running, s.Waiting = uint32(r.Running), uint32(r.Waiting)
	s.Used, s.Cache = uint32(r.Used), uint32(r.Cache)
	s.Free = o.free()
	for _, h := range o.held(now) {
		s.Residents = append(s.Residents, &wire.Resident{
			Model:    h.Model,
			Bytes:    h.Bytes,
			Inflight: uint32(h.Inflight),
			Keep:     h.Keep(),
			Rate:     h.Rate,
			Closing:  h.Model == o.closing || o.current.Op == placer.Unload && o.current.Model == h.Model,
		})
	}
	o.describeTasks(now, s)
	return s
}

// describeTasks lists the loads to come. The caller holds the lock.
func (o *Orderer) describeTasks(now time.Duration, s *wire.EngineStatus) {
	view := o.copy.View()
	left := time.Duration(0)
	if o.current.Op == placer.Load {
		m := view.Model(o.current.Model)
		left = max(0, o.begun+o.loadTime(m)-now)
		s.Tasks = append(s.Tasks, &wire.PendingLoad{Model: o.current.Model, Left: timer.ToMillis(left)})
		_, s.Fetching = o.report.LoadTime(m)
	}
	wants, held, free := o.wants(), o.held(now), o.free()
	for _, w := range wants {
		if o.report.Has(w.Model) || w.Model == o.current.Model && o.current.Op == placer.Load {
			continue
		}
		left += w.Time
		blocked := false
		if free < w.Bytes {
			_, room := placer.EvictionFor(now, free, held, wants, w)
			blocked = !room
		}
		s.Tasks = append(s.Tasks, &wire.PendingLoad{Model: w.Model, Left: timer.ToMillis(left), Blocked: blocked})
	}
}

// adapters loads the adapters that requests wait for. It reports whether any is on
// its way or an engine that is busy lacks one.
func (o *Orderer) adapters(ctx context.Context, now time.Duration) bool {
	o.mu.Lock()
	missing, victims := o.missingAdapters(now)
	ready := o.ready() && !o.report.Busy
	o.mu.Unlock()
	if !ready {
		return len(missing) > 0 || len(o.report.Loading) > 0
	}
	for _, name := range victims {
		if !o.orderAdapter(ctx, placer.Unload, name) {
			// Without the unload there is no room for all.
			return true
		}
	}
	for _, name := range missing {
		if !o.orderAdapter(ctx, placer.Load, name) {
			break
		}
	}
	return len(missing) > 0 || len(o.report.Loading) > 0
}

// orderAdapter reports whether the engine carries the order out.
func (o *Orderer) orderAdapter(ctx context.Context, op placer.Op, name string) bool {
	o.mu.Lock()
	model := o.copy.View().Model(name).GetBase()
	order := o.order(op, model, name)
	o.mu.Unlock()
	outcome := o.send(ctx, order, name)
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome != Accepted && outcome != Done {
		return false
	}
	// An unload of an adapter that no request uses is done at once.
	if outcome == Accepted || op == placer.Unload {
		o.report.Sequence++
	}
	if op == placer.Load {
		o.report.Loading = append(slices.Clone(o.report.Loading), name)
	}
	return true
}

// adaptersMoving is the most adapters on their way to an engine at once.
const adaptersMoving = 4

// missingAdapters returns the adapters to load now and those to unload before.
// The caller holds the lock.
func (o *Orderer) missingAdapters(now time.Duration) (missing, victims []string) {
	view := o.copy.View()
	wanted, inuse := map[string]bool{}, map[string]bool{}
	for _, t := range o.tells {
		for _, w := range t.tell.GetWants() {
			m := view.Model(w.GetModel())
			if m.GetBase() != "" && o.report.Has(m.GetBase()) && m.GetPool() == o.terms.Pool {
				wanted[m.GetName()] = true
			}
		}
		for _, d := range t.tell.GetDemands() {
			if d.GetInflight() > 0 {
				inuse[d.GetModel()] = true
			}
		}
	}
	var have, idle []string
	for _, name := range o.report.Models {
		if view.Model(name).GetBase() == "" {
			continue
		}
		have = append(have, name)
		if inuse[name] {
			o.used[name] = now
		}
		if !wanted[name] && !inuse[name] && now-o.since[name] >= adapterSettle {
			idle = append(idle, name)
		}
	}
	slices.SortStableFunc(idle, func(a, b string) int { return int(o.used[a] - o.used[b]) })
	room := int(view.Pool(o.terms.Pool).GetEngines().GetAdapters()) - len(have) - len(o.report.Loading)
	for name := range wanted {
		if !o.report.Has(name) && !slices.Contains(o.report.Loading, name) {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	missing = missing[:min(len(missing), max(0, adaptersMoving-len(o.report.Loading)))]
	need := len(missing) - room
	if need > 0 {
		victims = idle[:min(need, len(idle))]
		missing = missing[:max(0, min(len(missing), room+len(victims)))]
	}
	return missing, victims
}

// adapterSettle is how long an adapter stays after its load, so that the requests
// that waited for it arrive.
const adapterSettle = 150 * time.Millisecond
