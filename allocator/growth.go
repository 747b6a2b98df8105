package allocator

import (
	"math"
	"slices"
	"time"

	"oleanderstall/placer"
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
	// growthPeriod is between two looks for an engine for another copy.
	growthPeriod = 100 * time.Millisecond
	// growthLife is how long the wish for more copies lasts without a new reason.
	growthLife = 1500 * time.Millisecond
)

// The wish for another copy counts as growthCount requests that wait, worth
// growthWorth of one together.
const (
	growthCount = 2
	growthWorth = 0.5
)

// growth is the wish for another copy of a model that serves already, until an
// instant.
type growth struct {
	until time.Duration
	// looked is the instant of the latest look for an engine.
	looked time.Duration
	// asked holds the instants at which engines were asked that do not serve yet.
	asked map[string]time.Duration
}

// copies returns the number of copies that a model serves with and that it should
// have.
func (a *Allocator) copies(now time.Duration, model string) (have, want int) {
	room := false
	for b := range a.serving(now, model) {
		if b.Unloading(now, model) {
			continue
		}
		have++
		room = room || b.Saturation(now) < strained && float64(b.ReportedLoad()) < filled*float64(b.Server().Slots)
	}
	want = int(math.Ceil(a.demand.Rate(now, model) / copyRate))
	if !room {
		want = max(want, have+1)
	}
	return have, want
}

// RequestCopies asks for more copies of a model that has just been asked for if the engines
// that serve it are too few.
func (a *Allocator) RequestCopies(now time.Duration, model string) {
	have, want := a.copies(now, model)
	if have == 0 || have >= want {
		return
	}
	g := a.growing[model]
	if g == nil {
		g = &growth{asked: map[string]time.Duration{}}
		a.growing[model] = g
	}
	g.until = now + growthLife
}

// grow asks the engine that can serve another copy first, unless one was asked just
// now or will have it soon. One copy is fetched at a time, and others may be loaded
// from nearer meanwhile.
func (a *Allocator) grow(now time.Duration, model string, g *growth) {
	if now < g.looked+growthPeriod {
		return
	}
	g.looked = now
	m := a.copy.View().Model(model)
	if m == nil || g.recent(now) {
		return
	}
	var holders []string
	for b := range a.serving(now, model) {
		holders = append(holders, b.Server().ID)
	}
	sites, planned := split(a.sites(now, model, m, holders))
	if slices.ContainsFunc(planned, func(s placer.Candidate) bool { return s.Queue <= moveLate }) {
		return
	}
	i, left := placer.ChooseEngine(sites, m.GetBytes())
	if i < 0 || a.early(now, m.GetPool(), sites[i]) {
		return
	}
	if room, _ := a.line.Room(now); sites[i].Fetch && room <= 0 {
		return
	}
	if len(planned) > 0 && (sites[i].Fetch || left > moveLate) {
		return
	}
	id := sites[i].ID
	g.asked[id] = now
	a.log.Info().Str("model", model).Str("server", id).Int("sites", len(sites)).
		Int64("left", left.Milliseconds()).Int64("load", sites[i].Load.Milliseconds()).Msg("want: another copy")
}

// settle asks engines no longer that have the copy, or that are not heard. An engine
// that unloads the copy later does so for something better.
func (a *Allocator) settle(now time.Duration, model string, g *growth) {
	for id := range g.asked {
		b := a.fleet.Get(id)
		if b == nil || b.Status(now) == nil || b.Inventory(now).Has(model) {
			delete(g.asked, id)
		}
	}
}

// recent reports whether an engine was asked for another copy just now.
func (g *growth) recent(now time.Duration) bool {
	for _, at := range g.asked {
		if now-at < chooseAgain {
			return true
		}
	}
	return false
}

// split parts the sites that are to load the model anyway from the others.
func split(all []placer.Candidate) (sites, planned []placer.Candidate) {
	for _, s := range all {
		if s.Planned {
			planned = append(planned, s)
		} else {
			sites = append(sites, s)
		}
	}
	return sites, planned
}

// growthWants appends the copies that engines are asked for.
func (a *Allocator) growthWants(now time.Duration, wants []*wire.LoadRequest) []*wire.LoadRequest {
	for model, g := range a.growing {
		if now > g.until {
			delete(a.growing, model)
			continue
		}
		a.settle(now, model, g)
		a.grow(now, model, g)
		for id := range g.asked {
			wants = append(wants, &wire.LoadRequest{Server: id, Model: model, Count: growthCount, Worth: growthWorth, Goal: math.MaxInt32})
		}
	}
	return wants
}
