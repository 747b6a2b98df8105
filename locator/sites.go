package locator

import (
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// meetTime is how long an entry that has just started waits for the word of the
// sidecars before it sends by the list alone, or lets an engine fetch a checkpoint
// that another may have.
const meetTime = 800 * time.Millisecond

// early reports whether a site would fetch a checkpoint although sidecars of the
// pool that may know a nearer copy have not been heard yet. The caller holds the
// lock.
func (l *Locator) early(now time.Duration, pool string, s placer.Site) bool {
	if s.Planned || !s.Fetch || now-l.met >= meetTime {
		return false
	}
	return slices.ContainsFunc(l.fleet.Pool(pool), func(b *tracker.Backend) bool { return b.State(now) == nil })
}

// sites lists the engines whose sidecars may load a model, or an adapter of it. The
// caller holds the lock.
func (l *Locator) sites(now time.Duration, name string, m *wire.Model, tried map[string]bool) []placer.Site {
	pool := l.fleet.Pool(m.GetPool())
	hash := router.Hash(name)
	var sites []placer.Site
	for _, b := range pool {
		state := b.State(now)
		if state == nil || tried[b.Server().ID] || b.Resting(now) || b.Silence(now) >= 1 {
			continue
		}
		site := placer.Site{ID: b.Server().ID, Free: state.GetFree(), Score: router.Score(b.Server().ID, hash)}
		held := b.Holding(now)
		site.Planned = held.Has(m.GetName())
		site.Load, site.Fetch = held.Load(m)
		if site.Fetch {
			site.Load = l.line.Time(site.Load)
		}
		before(&site, state.GetTasks(), m.GetName(), l.late(now, state))
		for _, res := range state.GetResidents() {
			h := heldOf(res)
			h.Inflight = max(h.Inflight, b.InflightOf(h.Model))
			switch {
			case l.needs[h.Model] != nil:
			case h.Inflight == 0:
				site.Idle = append(site.Idle, h)
			default:
				site.Busy = append(site.Busy, h)
			}
		}
		sites = append(sites, site)
	}
	return sites
}

// before sets the duration of the loads before that of a model, which are late.
func before(s *placer.Site, tasks []*wire.Task, model string, late time.Duration) {
	for _, t := range tasks {
		left := timer.Span(t.GetLeft()) + late
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
// others load from the weight store as well. The caller holds the lock.
func (l *Locator) late(now time.Duration, s *wire.Condition) time.Duration {
	if !s.GetFetching() || len(s.GetTasks()) == 0 {
		return 0
	}
	return max(0, l.line.Left(now, s.GetServer())-timer.Span(s.GetTasks()[0].GetLeft()))
}

// heard takes note of an engine's load from the weight store. The caller holds the
// lock.
func (l *Locator) heard(now time.Duration, s *wire.Condition) {
	if !s.GetFetching() || len(s.GetTasks()) == 0 {
		l.line.Ends(now, s.GetServer())
		return
	}
	name := s.GetTasks()[0].GetModel()
	l.line.Fetches(now, s.GetServer(), name, timer.Span(l.copy.View().Model(name).GetRemote()))
}

// heldOf is a model in memory as a sidecar tells it. Keep comes as a whole.
func heldOf(r *wire.Resident) placer.Held {
	return placer.Held{Model: r.GetModel(), Bytes: r.GetBytes(), Rate: r.GetKeep(), Reload: time.Second, Inflight: int(r.GetInflight())}
}
