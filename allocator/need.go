package allocator

import (
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// chooseAgain is how long an engine may take to announce a load before another
// one is asked.
const chooseAgain = 600 * time.Millisecond

// Limits of the search for another engine while the one that was asked has no
// model to unload or other loads to do first.
const (
	// moveLate is the time until a load ends from which others are looked at.
	moveLate = 1200 * time.Millisecond
	// movePeriod is between two searches.
	movePeriod = 100 * time.Millisecond
	// moveGain is what another engine has to be earlier.
	moveGain = 300 * time.Millisecond
)

// turnDelay is the longest time between the end of a load from the weight store and
// the next one that a process asks for. Each process has a delay of its own, so that
// mostly one asks.
const turnDelay = 300 * time.Millisecond

// Demand is a model or an adapter that requests wait for, of all entries.
type Demand struct {
	// Count is the number of requests that wait and Worth what they are worth
	// together, on time.
	Count uint32
	Worth float64
	// Goal is the instant after which the first of them is late, and Since that of
	// its arrival.
	Goal  time.Duration
	Since time.Duration
	// Avoid names the engines that have the model but that the requests cannot use.
	Avoid []string
}

// need is a model of which this process is the home.
type need struct {
	Demand
	name string
	// server is the engine that was asked, at the instant asked, and ready the
	// instant at which the model is expected there.
	server string
	asked  time.Duration
	ready  time.Duration
	// fetch is set if the engine that was asked loads from the weight store, lined if
	// what is needed waits for its turn there.
	fetch bool
	lined bool
	// searched is the instant of the latest search for an engine.
	searched time.Duration
}

// SetDemand sets what requests wait for under a name.
func (a *Allocator) SetDemand(name string, n Demand) {
	have := a.needs[name]
	if have == nil {
		have = &need{name: name}
		a.needs[name] = have
	}
	have.Demand = n
}

// RemoveDemand forgets a need.
func (a *Allocator) RemoveDemand(name string) { delete(a.needs, name) }

// ask chooses the engine that should load what is needed, unless one that was
// asked is still expected to.
func (a *Allocator) ask(now time.Duration, n *need) {
	m := a.base(n.name)
	if m == nil {
		return
	}
	if n.lined && now-n.searched < movePeriod || !slices.Contains(n.Avoid, n.server) && a.expects(now, n, m) {
		return
	}
	n.searched, n.lined = now, false
	sites := a.sites(now, n.name, m, n.Avoid)
	i, left := placer.ChooseEngine(sites, m.GetBytes())
	if i < 0 || a.early(now, m.GetPool(), sites[i]) {
		n.server = ""
		return
	}
	have := slices.IndexFunc(sites, func(s placer.Candidate) bool { return s.ID == n.server })
	if have >= 0 && (sites[have].Waits || sites[have].Planned) {
		if stay := sites[have].Cost(m.GetBytes()); have == i || stay < left+moveGain {
			n.ready = now + stay
			return
		}
	}
	n.fetch = sites[i].Fetch && !sites[i].Planned
	if n.fetch && !a.turn(now, n, m) {
		return
	}
	n.server, n.asked, n.ready = sites[i].ID, now, now+left
	a.log.Info().Str("model", n.name).Str("server", n.server).Uint32("waiting", n.Count).Int("sites", len(sites)).
		Int64("left", left.Milliseconds()).Int64("load", sites[i].Load.Milliseconds()).
		Int64("queue", sites[i].Queue.Milliseconds()).Msg("want")
}

// expects reports whether the engine that was asked is going to load what is
// needed soon, or may still say so, or was compared with the others just now.
func (a *Allocator) expects(now time.Duration, n *need, m *wire.Model) bool {
	b := a.fleet.Get(n.server)
	if b == nil {
		return false
	}
	s := b.Status(now)
	i := slices.IndexFunc(s.GetTasks(), func(t *wire.PendingLoad) bool { return t.GetModel() == m.GetName() })
	if i < 0 {
		return s != nil && !s.GetLeaving() && now-n.asked < chooseAgain
	}
	task := s.GetTasks()[i]
	left := b.TimeToReady(now, task) + a.late(now, s)
	if task.GetBlocked() || left > moveLate {
		return now-n.searched < movePeriod
	}
	n.ready = now + left
	return true
}

// turn reports whether n's model may be loaded from the weight store now. If not, n
// is lined up, and ready is when it is expected.
func (a *Allocator) turn(now time.Duration, n *need, m *wire.Model) bool {
	room, opened := a.line.Room(now)
	before := 0
	for _, o := range a.needs {
		switch {
		case o == n:
		case o.lined && prior(o, n):
			before++
		case o.fetch && o.server != "" && now-o.asked < chooseAgain && !a.line.Runs(o.server):
			room--
		}
	}
	delay := time.Duration(router.Score(a.name, router.Hash(m.GetName())) % uint64(turnDelay))
	if before < room && now >= opened+delay {
		return true
	}
	n.server, n.lined = "", true
	n.ready = now + a.line.Wait(now, timer.FromMillis(m.GetRemote()), before)
	return false
}

// prior reports whether x is loaded before y.
func prior(x, y *need) bool {
	if x.Worth != y.Worth {
		return x.Worth > y.Worth
	}
	return x.name < y.name
}
