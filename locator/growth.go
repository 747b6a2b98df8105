package locator

import (
	"math"
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// Limits of the copies of a busy model.
const (
	// strained is the strain of an engine from which its models want more copies.
	strained = 0.6
	// filled is the part of an engine's slots from which they do.
	filled = 0.5
	// copyRate is the number of requests a second for a model that one engine is to
	// serve.
	copyRate = 6.0
	// growthDelay is the longest time before an entry asks for another copy. Each
	// entry has a delay of its own, so that mostly one asks.
	growthDelay = 300 * time.Millisecond
	// growthPeriod is between two looks for an engine for another copy.
	growthPeriod = 100 * time.Millisecond
	// growthLife is how long the wish for more copies lasts without a new reason.
	growthLife = 1500 * time.Millisecond
)

// growth is the wish for another copy of a model that serves already, from the
// instant due until the instant until.
type growth struct {
	due   time.Duration
	until time.Duration
	// looked is the instant of the latest look for an engine.
	looked time.Duration
	// asked holds the instants at which engines were asked.
	asked map[string]time.Duration
}

// copies returns the number of copies that a model serves with and that it should
// have. The caller holds the lock.
func (l *Locator) copies(now time.Duration, pool, model string) (have, want int) {
	rate, room := 0.0, false
	for _, b := range l.fleet.Pool(pool) {
		if !b.Holding(now).Has(model) || b.Closing(now, model) {
			continue
		}
		have++
		rate = max(rate, b.Rate(now, model))
		room = room || !b.Resting(now) && b.Strain(now) < strained && float64(b.Load()) < filled*float64(b.Server().Slots)
	}
	want = int(math.Ceil(rate / copyRate))
	if !room {
		want = max(want, have+1)
	}
	return have, want
}

// press asks for more copies of r's model if the engines that serve it are too few.
// The caller holds the lock.
func (l *Locator) press(now time.Duration, r *dispatcher.Request) {
	if r.Model == "" {
		return
	}
	have, want := l.copies(now, r.Pool, r.Model)
	if have >= want {
		return
	}
	g := l.growing[r.Model]
	if g == nil {
		delay := time.Duration(router.Score(l.name, router.Hash(r.Model)) % uint64(growthDelay))
		g = &growth{due: now + delay, asked: map[string]time.Duration{}}
		l.growing[r.Model] = g
	}
	g.until = now + growthLife
	if now >= g.due {
		l.grow(now, r.Model, g)
	}
}

// grow asks the engine that can serve another copy first, unless one was asked just
// now or will have it soon. One copy is fetched at a time, and others may be loaded
// from nearer meanwhile. The caller holds the lock.
func (l *Locator) grow(now time.Duration, model string, g *growth) {
	if now < g.looked+growthPeriod {
		return
	}
	g.looked = now
	m := l.copy.View().Model(model)
	skip := map[string]bool{}
	for _, b := range l.fleet.Pool(m.GetPool()) {
		id := b.Server().ID
		at, asked := g.asked[id]
		switch {
		case b.Holding(now).Has(model):
			skip[id] = true
		case asked && now-at < chooseAgain:
			return
		}
	}
	all := l.sites(now, model, m, skip)
	sites, planned := split(all)
	if slices.ContainsFunc(planned, func(s placer.Site) bool { return s.Queue <= moveLate }) {
		return
	}
	i, left := placer.Pick(sites, m.GetBytes())
	if i < 0 || l.early(now, m.GetPool(), sites[i]) {
		return
	}
	if room, _ := l.line.Room(now); sites[i].Fetch && room <= 0 {
		return
	}
	if len(planned) > 0 && (sites[i].Fetch || left > moveLate) {
		return
	}
	id := sites[i].ID
	g.asked[id] = now
	l.log.Info().Str("model", model).Str("server", id).Int("sites", len(sites)).
		Int64("left", left.Milliseconds()).Int64("load", sites[i].Load.Milliseconds()).Msg("want: another copy")
	l.tell(id)
}

// split parts the sites that are to load the model anyway from the others.
func split(all []placer.Site) (sites, planned []placer.Site) {
	for _, s := range all {
		if s.Planned {
			planned = append(planned, s)
		} else {
			sites = append(sites, s)
		}
	}
	return sites, planned
}

// growthWants appends the copies that an engine was asked for. The caller holds the
// lock.
func (l *Locator) growthWants(now time.Duration, server string, wants []*wire.Want) []*wire.Want {
	for model, g := range l.growing {
		if now > g.until {
			delete(l.growing, model)
			continue
		}
		if now >= g.due {
			l.grow(now, model, g)
		}
		if _, ok := g.asked[server]; ok {
			wants = append(wants, &wire.Want{Model: model, Count: growthCount, Worth: growthWorth, Goal: math.MaxInt32})
		}
	}
	return wants
}

// The wish for another copy counts as growthCount requests that wait, worth
// growthWorth of one together.
const (
	growthCount = 2
	growthWorth = 0.5
)
