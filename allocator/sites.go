package allocator

import (
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// meetTime is how long after a sidecar's first word no engine is let fetch a
// checkpoint that another, whose sidecar was not heard yet, may have.
const meetTime = 800 * time.Millisecond

// early reports whether a site would fetch a checkpoint although sidecars of the
// pool that may know a nearer copy have not been heard yet.
func (a *Allocator) early(now time.Duration, pool string, s placer.Candidate) bool {
	if s.Planned || !s.Fetch || now-a.met >= meetTime {
		return false
	}
	return slices.ContainsFunc(a.fleet.Pool(pool), func(b *tracker.Backend) bool { return b.Status(now) == nil })
}

// sites lists the engines whose sidecars may load a model, or an adapter of it.
func (a *Allocator) sites(now time.Duration, name string, m *wire.Model, avoid []string) []placer.Candidate {
	hash := router.Hash(name)
	var sites []placer.Candidate
	for _, b := range a.fleet.Pool(m.GetPool()) {
		id := b.Server().ID
		if b.Status(now) == nil || b.SidecarLost() || slices.Contains(avoid, id) {
			continue
		}
		sites = append(sites, a.site(now, b, m, router.Score(id, hash)))
	}
	return sites
}

// site is an engine as one that may load a model.
func (a *Allocator) site(now time.Duration, b *tracker.Backend, m *wire.Model, score uint64) placer.Candidate {
	state, held := b.Status(now), b.Inventory(now)
	site := placer.Candidate{ID: b.Server().ID, Free: state.GetFree(), Score: score, Planned: held.Has(m.GetName())}
	site.Load, site.Fetch = held.LoadTime(m)
	if site.Fetch {
		site.Load = a.line.Time(site.Load)
	}
	a.before(now, &site, b, m.GetName())
	for _, r := range state.GetResidents() {
		h := heldOf(r)
		switch {
		case a.needs[h.Model] != nil:
		case h.Inflight == 0:
			site.Idle = append(site.Idle, h)
		default:
			site.Busy = append(site.Busy, h)
		}
	}
	return site
}

// before sets the duration of the loads before that of a model.
func (a *Allocator) before(now time.Duration, s *placer.Candidate, b *tracker.Backend, model string) {
	state := b.Status(now)
	late := a.late(now, state)
	for _, t := range state.GetTasks() {
		left := b.TimeToReady(now, t) + late
		switch {
		case t.GetModel() != model:
			s.Queue = max(s.Queue, left)
			continue
		case t.GetBlocked():
			s.Waits, s.Queue = true, max(0, left-s.Load)
		default:
			s.Planned, s.Queue = true, left
		}
		return
	}
}

// late is how much longer the loads of an engine take than its sidecar tells, since
// others load from the weight store as well.
func (a *Allocator) late(now time.Duration, s *wire.EngineStatus) time.Duration {
	if !s.GetFetching() || len(s.GetTasks()) == 0 {
		return 0
	}
	return max(0, a.line.Left(now, s.GetServer())-timer.FromMillis(s.GetTasks()[0].GetLeft()))
}

// heldOf is a model in memory as a sidecar tells it. Keep comes as a whole.
func heldOf(r *wire.Resident) placer.LoadedModel {
	return placer.LoadedModel{Model: r.GetModel(), Bytes: r.GetBytes(), Rate: r.GetKeep(), Reload: time.Second, Inflight: int(r.GetInflight())}
}
