package locator

import (
	"cmp"
	"slices"
	"time"

	"oleanderstall/quarantiner"
	"oleanderstall/wire"
)

// serverModel is a model or an adapter at a server.
type serverModel struct{ server, model string }

// unreported holds the changes since the last report to a relay.
type unreported struct {
	// usage holds the models at servers whose numbers of requests have changed.
	usage map[serverModel]bool
	// arrivals counts the requests by model and by adapter.
	arrivals    map[string]float64
	saturations []*wire.Saturation
	// departures holds the servers that have said that they are leaving: the starts of
	// their processes, in Unix milliseconds, by ID.
	departures map[string]int64
	// demandsChanged is set if the next report lists the demands.
	demandsChanged bool
}

func newUnreported() unreported {
	return unreported{usage: map[serverModel]bool{}, arrivals: map[string]float64{}, departures: map[string]int64{}}
}

// Changed returns a channel that is signalled when there is something to report immediately.
func (l *Locator) Changed() <-chan struct{} { return l.reportNow }

// signalReport signals that there is something to report immediately.
func (l *Locator) signalReport() {
	select {
	case l.reportNow <- struct{}{}:
	default:
	}
}

// Report adds this entry's usage, demands, arrivals, saturations, departures, records of crashes
// and limits of servers to a report. A full report has the usage of all models, all demands, all
// records of crashes and all limits, any other one the changes since the previous report.
func (l *Locator) Report(now time.Duration, full bool, r *wire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if full {
		l.markAllUnreported()
	}
	for key := range l.unreported.usage {
		r.Uses = append(r.Uses, &wire.EngineUsage{Server: key.server, Model: key.model, Inflight: uint32(l.inflight(key))})
	}
	for server, started := range l.unreported.departures {
		r.Parted = append(r.Parted, &wire.Departure{Server: server, Born: started})
	}
	r.Crashes = l.quarantine.TakeUnsent(full)
	l.reportLimits(full, r)
	l.reportStreams(now, full, r)
	r.Arrivals, r.Felt = l.unreported.arrivals, l.unreported.saturations
	r.Speeds = l.takeSpeeds(now)
	if l.unreported.demandsChanged {
		r.Waiting = true
		for name, d := range l.demands {
			if d.ended(now) {
				delete(l.demands, name)
				continue
			}
			r.Needs = append(r.Needs, d.loadRequest(now, l.regions))
		}
		slices.SortFunc(r.Needs, func(a, b *wire.LoadRequest) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	}
	l.unreported = newUnreported()
	l.unreported.demandsChanged = l.awaitsRetries(now)
}

// markAllUnreported makes the next report include the usage of all models and all demands.
// The caller holds the lock.
func (l *Locator) markAllUnreported() {
	l.unreported.demandsChanged = true
	for _, b := range l.fleet.All() {
		for _, name := range b.ModelsInUse() {
			l.unreported.usage[serverModel{b.Server().ID, name}] = true
		}
	}
}

// awaitsRetries reports whether a demand lasts only for expected retries. Since such a demand
// ends by time alone, the next report must list the demands again. The caller holds the lock.
func (l *Locator) awaitsRetries(now time.Duration) bool {
	for _, d := range l.demands {
		if len(d.waiting) == 0 && now < d.retriesUntil {
			return true
		}
	}
	return false
}

// inflight returns the number of this entry's requests for a model at a server. The caller
// holds the lock.
func (l *Locator) inflight(key serverModel) int {
	if b := l.fleet.Get(key.server); b != nil {
		return b.InflightOf(key.model)
	}
	return 0
}

// RestoreUnconfirmed adds the arrivals of reports that no relay has confirmed to the next report.
func (l *Locator) RestoreUnconfirmed(reports []*wire.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		for name, count := range r.GetArrivals() {
			l.unreported.arrivals[name] += count
		}
	}
}

// Wake requests an immediate report.
func (l *Locator) Wake() { l.signalReport() }

// Receive applies a batch from a relay. The first batch of a link is complete: sidecars
// whose statuses it lacks are marked lost.
func (l *Locator) Receive(now time.Duration, batch *wire.Batch, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastBatchAt = now
	l.fleet.RefreshStatuses(now)
	if first {
		for _, b := range l.fleet.All() {
			l.fleet.MarkSidecarLost(now, b.Server().ID)
		}
	}
	l.receivePacers(batch.GetPacers())
	for _, listed := range batch.GetItems() {
		l.updateServer(listed)
	}
	for _, status := range batch.GetConditions() {
		l.updateStatus(now, status)
	}
	for _, load := range batch.GetTraffic() {
		l.fleet.RecordLoad(now, load.GetServer(), int(load.GetRunning())+int(load.GetWaiting()))
		l.recordWaiting(now, load)
	}
	for _, id := range batch.GetLost() {
		l.fleet.MarkSidecarLost(now, id)
	}
	for _, departure := range batch.GetParted() {
		l.fleet.MarkLeaving(departure.GetServer(), departure.GetBorn())
	}
	l.receiveLimits(now, batch.GetLimits())
	l.receiveSpeeds(now, batch.GetSpeeds())
	l.applyCrashes(now, l.quarantine.Merge(batch.GetCrashes()))
	for _, estimate := range batch.GetOutlooks() {
		l.updateEstimate(now, estimate)
	}
}

// MergeSavedCrashes adds the records of crashes that were read from the store.
func (l *Locator) MergeSavedCrashes(crashes []*wire.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyCrashes(l.clock(), l.quarantine.MergeSaved(crashes))
}

// applyCrashes applies the records of crashes that are new here. The caller holds the lock.
func (l *Locator) applyCrashes(now time.Duration, crashes []*wire.Crash) {
	for _, crash := range crashes {
		l.markCrashed(now, quarantiner.Process{Server: crash.GetServer(), Started: crash.GetBorn()})
	}
	l.wakeQuarantined()
}
