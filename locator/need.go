package locator

import (
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/placer"
	"oleanderstall/refuser"
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

// need is a model or an adapter that requests wait for.
type need struct {
	name string
	// waiting are the requests, with the instants of their arrival.
	waiting map[*dispatcher.Request]struct{}
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
	// promised is the instant until which requests that were refused are expected
	// back.
	promised time.Duration
}

// over reports whether nobody waits for what is needed, nor is expected back.
func (n *need) over(now time.Duration) bool { return len(n.waiting) == 0 && now >= n.promised }

// join makes r wait for its model. The caller holds the lock.
func (l *Locator) join(r *dispatcher.Request) (*need, error) {
	name := needed(r)
	if l.copy.View().Model(name) == nil {
		return nil, refuser.New(refuser.Absent, "no engine of the pool knows the model").After(retryMost)
	}
	n := l.needs[name]
	if n == nil {
		n = &need{name: name, waiting: map[*dispatcher.Request]struct{}{}}
		l.needs[name] = n
	}
	n.waiting[r] = struct{}{}
	return n, nil
}

// expect asks an engine for the model that r waits for and refuses r if it cannot
// be there in time. The caller holds the lock.
func (l *Locator) expect(now time.Duration, r *dispatcher.Request, n *need, h *dispatcher.History) error {
	last := last(r)
	if l.stopping {
		return refuser.New(refuser.Leaving, "the entry stops before the model can be there").After(retryLeast)
	}
	if now >= last {
		return n.refuse(now, "the model was not there in time")
	}
	l.ask(now, n, h.Tried)
	if (n.server != "" || n.lined) && n.ready > last {
		return n.refuse(now, "the model cannot be there in time")
	}
	return nil
}

// backTime is how long after the time told a caller may come back.
const backTime = time.Second

// refuse tells a caller to come back when the model is expected. The model stays
// wanted until then.
func (n *need) refuse(now time.Duration, text string) error {
	retry := min(max(n.ready-now, retryLeast), retryMost)
	n.promised = max(n.promised, now+retry+backTime)
	return refuser.New(refuser.Late, text).After(retry)
}

// leave ends the wait of r, if it waits.
func (l *Locator) leave(r *dispatcher.Request, n *need) {
	if n == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(n.waiting, r)
	if n.over(l.clock()) && l.needs[n.name] == n {
		delete(l.needs, n.name)
		l.tell(n.server)
	}
}

// ask chooses the engine that should load what is needed, unless one that was
// asked is still expected to. The caller holds the lock.
func (l *Locator) ask(now time.Duration, n *need, tried map[string]bool) {
	m := l.copy.View().Model(n.name)
	if m.GetBase() != "" {
		m = l.copy.View().Model(m.GetBase())
	}
	if n.lined && now-n.searched < movePeriod || !tried[n.server] && l.expects(now, n, m) {
		return
	}
	n.searched, n.lined = now, false
	sites := l.sites(now, n.name, m, tried)
	i, left := placer.Pick(sites, m.GetBytes())
	if i < 0 || l.early(now, m.GetPool(), sites[i]) {
		n.server = ""
		return
	}
	have := slices.IndexFunc(sites, func(s placer.Site) bool { return s.ID == n.server })
	if have >= 0 && (sites[have].Waits || sites[have].Planned) {
		if stay := sites[have].Cost(m.GetBytes()); have == i || stay < left+moveGain {
			n.ready = now + stay
			return
		}
	}
	n.fetch = sites[i].Fetch && !sites[i].Planned
	if n.fetch && !l.turn(now, n, m) {
		return
	}
	n.server, n.asked, n.ready = sites[i].ID, now, now+left
	l.log.Info().Str("model", n.name).Str("server", n.server).Int("waiting", len(n.waiting)).Int("sites", len(sites)).
		Int64("left", left.Milliseconds()).Int64("load", sites[i].Load.Milliseconds()).
		Int64("queue", sites[i].Queue.Milliseconds()).Msg("want")
	l.tell(n.server)
}

// expects reports whether the engine that was asked is going to load what is
// needed soon, or may still say so, or was compared with the others just now. The
// caller holds the lock.
func (l *Locator) expects(now time.Duration, n *need, m *wire.Model) bool {
	b := l.fleet.Get(n.server)
	if b == nil {
		return false
	}
	s := b.State(now)
	i := slices.IndexFunc(s.GetTasks(), func(t *wire.Task) bool { return t.GetModel() == m.GetName() })
	if i < 0 {
		return s != nil && !s.GetLeaving() && now-n.asked < chooseAgain
	}
	task := s.GetTasks()[i]
	left := timer.Span(task.GetLeft()) + l.late(now, s)
	if task.GetBlocked() || left > moveLate {
		return now-n.searched < movePeriod
	}
	n.ready = now + left
	return true
}
