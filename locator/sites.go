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

// fetchesAtOnce is the number of loads from the weight store at full speed.
const fetchesAtOnce = 4

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
	fetching := l.fetching(now, m.GetPool())
	hash := router.Hash(name)
	var sites []placer.Site
	for _, b := range pool {
		state := b.State(now)
		if state == nil || tried[b.Server().ID] || b.Silence(now) >= 1 {
			continue
		}
		site := placer.Site{ID: b.Server().ID, Free: state.GetFree(), Score: router.Score(b.Server().ID, hash)}
		held := b.Holding(now)
		site.Planned = held.Has(m.GetName())
		site.Load, site.Fetch = held.Load(m)
		if site.Fetch {
			site.Load = stretched(site.Load, fetching)
		}
		before(&site, state.GetTasks(), m.GetName())
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

// before sets the duration of the loads before that of a model.
func before(s *placer.Site, tasks []*wire.Task, model string) {
	for _, t := range tasks {
		left := timer.Span(t.GetLeft())
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

// fetching is the number of engines of a pool that load from the weight store. The
// caller holds the lock.
func (l *Locator) fetching(now time.Duration, pool string) int {
	n := 0
	for _, b := range l.fleet.Pool(pool) {
		if b.State(now).GetFetching() {
			n++
		}
	}
	return n
}

// heldOf is a model in memory as a sidecar tells it. Keep comes as a whole.
func heldOf(r *wire.Resident) placer.Held {
	return placer.Held{Model: r.GetModel(), Bytes: r.GetBytes(), Rate: r.GetKeep(), Reload: time.Second, Inflight: int(r.GetInflight())}
}

// stretched is the duration of a load from the weight store while others run.
func stretched(load time.Duration, fetching int) time.Duration {
	if fetching < fetchesAtOnce {
		return load
	}
	return load * time.Duration(fetching+1) / fetchesAtOnce
}
