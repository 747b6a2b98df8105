package allocator

import (
	"time"

	"oleanderstall/tracker"
)

// moveSearchPeriod is the time between two searches for models whose copies are all evacuated.
const moveSearchPeriod = 200 * time.Millisecond

// SetEvacuated replaces the data centres whose engines get no loads. Loads that were requested there
// are requested elsewhere.
func (a *Allocator) SetEvacuated(centres []string) {
	a.fleet.SetEvacuated(centres)
	for _, p := range a.demands {
		if a.evacuatedEngine(p.server) {
			p.server = ""
		}
	}
	for _, s := range a.scaleUps {
		for id := range s.requested {
			if a.evacuatedEngine(id) {
				delete(s.requested, id)
			}
		}
	}
	a.resetSearches()
	a.moveSearchedAt = 0
}

// evacuatedEngine reports whether a server is in an evacuated data centre.
func (a *Allocator) evacuatedEngine(id string) bool {
	b := a.fleet.Get(id)
	return b != nil && b.Evacuated()
}

// requestMoves starts or renews a scale-up of each model for which requests have arrived lately and
// whose copies are all in evacuated data centres, if owns returns true for it. A copy elsewhere is then
// loaded before requests wait for it, as far as the weight store allows.
func (a *Allocator) requestMoves(now time.Duration, owns func(model string) bool) {
	if now-a.moveSearchedAt < moveSearchPeriod {
		return
	}
	a.moveSearchedAt = now
	for _, b := range a.fleet.All() {
		if b.Evacuated() {
			a.requestMovesFrom(now, b, owns)
		}
	}
}

// requestMovesFrom does the work of requestMoves for the models of one engine.
func (a *Allocator) requestMovesFrom(now time.Duration, b *tracker.Backend, owns func(model string) bool) {
	for _, name := range b.Inventory(now).Models {
		m := a.config.View().Model(name)
		if m == nil || m.GetBase() != "" || a.arrivals.Rate(now, name) == 0 || !owns(name) || a.Copies(now, name) > 0 {
			continue
		}
		s := a.scaleUps[name]
		if s == nil {
			s = newScaleUp()
			a.scaleUps[name] = s
			a.log.Info().Str("model", name).Str("server", b.Server().ID).Float64("rate", a.arrivals.Rate(now, name)).Msg("want: moves from an evacuated data centre")
		}
		s.expiresAt = now + scaleUpLifetime
	}
}
