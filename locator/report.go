package locator

import (
	"cmp"
	"slices"
	"time"

	"oleanderstall/wire"
)

// use is a model or an adapter at a server.
type use struct{ server, model string }

// news is what was not reported yet.
type news struct {
	uses     map[use]bool
	arrivals map[string]float64
	felt     []*wire.Saturation
	parted   map[string]int64
	needs    bool
}

func newNews() news {
	return news{uses: map[use]bool{}, arrivals: map[string]float64{}, parted: map[string]int64{}}
}

// Changed is signalled when there is something to report at once.
func (l *Locator) Changed() <-chan struct{} { return l.change }

// changed signals that there is something to report at once.
func (l *Locator) changed() {
	select {
	case l.change <- struct{}{}:
	default:
	}
}

// Report adds what this entry uses and needs to a report. A whole one tells all of it,
// another one what has changed.
func (l *Locator) Report(now time.Duration, whole bool, r *wire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole {
		l.everything()
	}
	for u := range l.news.uses {
		r.Uses = append(r.Uses, &wire.EngineUsage{Server: u.server, Model: u.model, Inflight: uint32(l.inflight(u))})
	}
	for server, born := range l.news.parted {
		r.Parted = append(r.Parted, &wire.Departure{Server: server, Born: born})
	}
	r.Arrivals, r.Felt = l.news.arrivals, l.news.felt
	if l.news.needs {
		r.Waiting = true
		for name, n := range l.needs {
			if n.over(now) {
				delete(l.needs, name)
				continue
			}
			r.Needs = append(r.Needs, n.want(now))
		}
		slices.SortFunc(r.Needs, func(a, b *wire.LoadRequest) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	}
	l.news = newNews()
	l.news.needs = l.promises(now)
}

// everything makes the next report a whole one. The caller holds the lock.
func (l *Locator) everything() {
	l.news.needs = true
	for _, b := range l.fleet.All() {
		for _, name := range b.ModelsInUse() {
			l.news.uses[use{b.Server().ID, name}] = true
		}
	}
}

// promises reports whether a need is to end without another reason to report. The
// caller holds the lock.
func (l *Locator) promises(now time.Duration) bool {
	for _, n := range l.needs {
		if len(n.waiting) == 0 && now < n.promised {
			return true
		}
	}
	return false
}

// inflight is the number of this entry's requests for a model at a server. The caller
// holds the lock.
func (l *Locator) inflight(u use) int {
	if b := l.fleet.Get(u.server); b != nil {
		return b.InflightOf(u.model)
	}
	return 0
}

// Unconfirmed takes back what reports told that no relay has confirmed.
func (l *Locator) Unconfirmed(reports []*wire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		for name, count := range r.GetArrivals() {
			l.news.arrivals[name] += count
		}
	}
}

// Wake makes the next report be made at once.
func (l *Locator) Wake() { l.changed() }

// Receive takes a batch of a relay. The first one of a link is complete: what it does not
// tell is not known to the relay.
func (l *Locator) Receive(now time.Duration, t *wire.Batch, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linked = now
	l.fleet.RefreshStatuses(now)
	if first {
		for _, b := range l.fleet.All() {
			l.fleet.MarkSidecarLost(now, b.Server().ID)
		}
	}
	for _, it := range t.GetItems() {
		l.item(it)
	}
	for _, c := range t.GetConditions() {
		l.state(now, c)
	}
	for _, c := range t.GetTraffic() {
		l.fleet.RecordLoad(now, c.GetServer(), int(c.GetRunning()+c.GetWaiting()))
	}
	for _, id := range t.GetLost() {
		l.fleet.MarkSidecarLost(now, id)
	}
	for _, p := range t.GetParted() {
		l.fleet.MarkLeaving(p.GetServer(), p.GetBorn())
	}
	for _, o := range t.GetOutlooks() {
		l.outlook(now, o)
	}
}
