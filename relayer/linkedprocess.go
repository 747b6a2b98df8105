package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderstall/allocator"
	"oleanderstall/limiter"
	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// reportTimeout is how long a process may go without a report, or the relay of another data
// centre without a batch, before its state is dropped.
const reportTimeout = 1500 * time.Millisecond

// linkedProcess is a process that is linked to this relay.
type linkedProcess struct {
	link *wire.Link
	// joinedAt is the instant of the link, or of the end of this relay's latest pause.
	joinedAt time.Duration
	// lastReportAt is the instant of its newest report, or of the link if it has sent none.
	lastReportAt time.Duration
	// reportNumber is the number of its newest report, and batchNumber that of the newest
	// batch sent to it.
	reportNumber uint64
	batchNumber  uint64
	// server is the ID of a sidecar's engine, empty until the sidecar reports it.
	server string
	// usage, demands and ready are as reported by an entry.
	usage   map[serverModel]uint32
	demands map[string]allocator.Demand
	ready   bool
	// newUntil is the instant until which an entry counts as new.
	newUntil time.Duration
	// sentVersions are the versions up to which the state was sent to it.
	sentVersions stateVersions
	// arrivals, tokensUsed and saturations are to be sent with the next batch, as are the
	// ready estimates of the models in estimatesDue.
	arrivals     map[string]float64
	tokensUsed   map[string]float64
	saturations  []*wire.Saturation
	estimatesDue map[string]bool
	// speeds are the reports of speeds to be sent to another relay with the next batch.
	speeds map[string]*wire.ServerSpeed
	// sentTotals are the totals up to which token usage was sent to another relay, and
	// unconfirmedTotals those of the batches that it has not confirmed.
	sentTotals        map[string]float64
	unconfirmedTotals []sentTotal
	// levelsDue is set until an entry is sent the levels of the token buckets.
	levelsDue bool
	// assignment is the latest one sent to a sidecar.
	assignment *assignment
	// urgent is set if the next batch is to be sent at once. lastBatchAt is the instant of
	// the latest batch.
	urgent      bool
	lastBatchAt time.Duration
}

// stateVersions are versions of the maps of a FleetState and, for entries, its
// entriesVersion.
type stateVersions struct {
	statuses, engineLoads, lostSidecars, departures, estimates, servers, members, usage, demands, loadRequests, crashes, limits, speeds, entries, pacers, evacuations, origins uint64
}

// Join links a process and returns the ID of the link. An earlier link of the same process
// in the same role ends.
func (fs *FleetState) Join(now time.Duration, link *wire.Link) uint64 {
	fs.latest = max(fs.latest, now)
	for id, lp := range fs.processes {
		if lp.link.GetName() == link.GetName() && lp.link.GetRole() == link.GetRole() {
			fs.Leave(now, id)
		}
	}
	fs.lastLinkID++
	lp := &linkedProcess{
		link:         link,
		joinedAt:     now,
		lastReportAt: now,
		newUntil:     newEntryUntil(now, link),
		usage:        map[serverModel]uint32{},
		demands:      map[string]allocator.Demand{},
		arrivals:     map[string]float64{},
		tokensUsed:   map[string]float64{},
		estimatesDue: map[string]bool{},
		levelsDue:    link.GetRole() == Entry,
		urgent:       true,
	}
	fs.processes[fs.lastLinkID] = lp
	if link.GetRole() == Relay {
		lp.sentTotals = fs.localUsage.baseline(link.GetCentre())
	} else {
		fs.processesByCentre[link.GetCentre()]++
	}
	if link.GetRole() == Entry {
		fs.ledger.SetSource(now, link.GetName(), limiter.EntryCount{Entries: 1})
		fs.entriesVersion++
		fs.markUrgent(Entry, Relay)
	}
	fs.log.Info().Str("process", link.GetName()).Str("role", link.GetRole()).Str("centre", link.GetCentre()).Msg("link: opened")
	return fs.lastLinkID
}

// Leave ends a link and drops what the process reported. An entry stays in the ledger, which
// reserves tokens for its further usage.
func (fs *FleetState) Leave(now time.Duration, id uint64) {
	lp := fs.processes[id]
	if lp == nil {
		return
	}
	delete(fs.processes, id)
	if centre := lp.link.GetCentre(); lp.link.GetRole() != Relay {
		if fs.processesByCentre[centre]--; fs.processesByCentre[centre] == 0 {
			delete(fs.processesByCentre, centre)
		}
	}
	for key := range lp.usage {
		fs.updateUsage(key)
	}
	for name := range lp.demands {
		fs.updateDemand(name)
	}
	fs.checkReportSources(now, lp.server)
	fs.entriesVersion++
	fs.markUrgent(Entry, Relay)
	fs.log.Info().Str("process", lp.link.GetName()).Str("role", lp.link.GetRole()).Msg("link: ended")
}

// hasLinkedSidecar reports whether the sidecar of a server is linked to this relay.
func (fs *FleetState) hasLinkedSidecar(server string) bool {
	for _, lp := range fs.processes {
		if lp.server == server {
			return true
		}
	}
	return false
}

// Report applies a report of a linked process. It returns false if the link has ended.
func (fs *FleetState) Report(now time.Duration, id uint64, report *wire.Report) bool {
	lp := fs.processes[id]
	if lp == nil {
		return false
	}
	fs.latest = max(fs.latest, now)
	lp.lastReportAt, lp.reportNumber = now, report.GetNumber()
	lp.confirmBatches(fs.localUsage, report.GetHeard(), report.GetReady())
	if status := report.GetCondition(); status != nil {
		fs.recordLinkedStatus(now, lp, status)
	}
	if load := report.GetTraffic(); load != nil && load.GetServer() == lp.server {
		fs.recordLoad(now, load)
	}
	if lp.link.GetRole() == Entry {
		fs.recordEntryReport(now, lp, report)
	}
	fs.mergeReportedCrashes(now, lp, report.GetCrashes())
	fs.mergeLimits(report.GetLimits())
	fs.recordOrigins(now, report.GetOrigins())
	for _, d := range report.GetParted() {
		fs.markLeaving(d.GetServer(), d.GetBorn())
		fs.markUrgent(Entry, Relay)
	}
	return true
}

// recordLinkedStatus records the status reported by a linked sidecar, which may have changed
// its engine.
func (fs *FleetState) recordLinkedStatus(now time.Duration, lp *linkedProcess, status *wire.EngineStatus) {
	previous := lp.server
	lp.server = status.GetServer()
	if previous != lp.server {
		fs.checkReportSources(now, previous)
	}
	fs.recordStatus(now, status, true)
	fs.markUrgent(Entry, Relay)
}

// recordEntryReport applies the report of a linked entry and forwards arrivals, saturations
// and token usage.
func (fs *FleetState) recordEntryReport(now time.Duration, lp *linkedProcess, report *wire.Report) {
	for _, u := range report.GetUses() {
		key := serverModel{u.GetServer(), u.GetModel()}
		if u.GetInflight() == 0 {
			delete(lp.usage, key)
		} else {
			lp.usage[key] = min(u.GetInflight(), placer.MaxRequests)
		}
		fs.updateUsage(key)
	}
	if report.GetWaiting() {
		fs.replaceDemands(now, lp, report.GetNeeds())
	}
	if lp.ready != report.GetReady() {
		lp.ready = report.GetReady()
		fs.markUrgent(Entry, Relay)
	}
	fs.recordArrivals(now, report.GetArrivals())
	fs.recordSaturations(now, report.GetFelt())
	fs.recordSpeeds(now, report.GetSpeeds())
	fs.forwardSpeeds(report.GetSpeeds())
	for _, other := range fs.processes {
		if other.link.GetRole() == Relay {
			addArrivals(other.arrivals, report.GetArrivals())
			other.saturations = append(other.saturations, report.GetFelt()...)
		}
	}
	fs.forwardTokenUsage(lp.link.GetName(), fs.ledger.RecordUsage(now, lp.link.GetName(), report.GetSpent()))
	if report.GetLast() {
		fs.ledger.RemoveSource(lp.link.GetName())
	}
}

// replaceDemands replaces the demands of an entry, and ignores those that are not plausible.
// The entry is sent the ready estimate of each model that is new among them.
func (fs *FleetState) replaceDemands(now time.Duration, lp *linkedProcess, requests []*wire.LoadRequest) {
	previous := lp.demands
	lp.demands = map[string]allocator.Demand{}
	for _, r := range requests {
		if !placer.Plausible(r) {
			continue
		}
		lp.demands[r.GetModel()] = decodeDemand(now, r)
		if _, ok := previous[r.GetModel()]; !ok {
			lp.estimatesDue[r.GetModel()] = true
		}
		fs.updateDemand(r.GetModel())
	}
	for name := range previous {
		if _, ok := lp.demands[name]; !ok {
			fs.updateDemand(name)
		}
	}
}

// decodeDemand converts a load request, which an entry or another relay has sent with times
// relative to now, to a demand.
func decodeDemand(now time.Duration, r *wire.LoadRequest) allocator.Demand {
	return allocator.Demand{
		Count:        r.GetCount(),
		Value:        r.GetWorth(),
		TargetTime:   now + time.Duration(r.GetGoal())*time.Millisecond,
		FirstArrival: now - min(timer.FromMillis(r.GetAge()), placer.MaxWait),
		Avoid:        r.GetAvoid(),
		Centres:      r.GetCentres(),
		Software:     r.GetSoftware(),
	}
}

// updateUsage adds up the requests of the linked entries for a model at a server. Only a
// change from or to 0 is urgent.
func (fs *FleetState) updateUsage(key serverModel) {
	total := uint32(0)
	for _, lp := range fs.processes {
		total += lp.usage[key]
	}
	known, _ := fs.usage.get(key)
	switch {
	case total == known:
		return
	case total == 0:
		fs.usage.remove(key)
	default:
		fs.usage.set(key, total)
	}
	if total == 0 || known == 0 {
		fs.markUrgent(Relay)
		fs.markServerUrgent(key.server)
	}
}

// updateDemand adds up the demands of the linked entries for a model or an adapter.
func (fs *FleetState) updateDemand(name string) {
	var total allocator.Demand
	found := false
	for _, lp := range fs.processes {
		if demand, ok := lp.demands[name]; ok {
			total = mergeDemands(total, demand, !found)
			found = true
		}
	}
	known, ok := fs.demands.get(name)
	switch {
	case found && ok && sameDemand(known, total):
		return
	case found:
		fs.demands.set(name, total)
	default:
		fs.demands.remove(name)
	}
	fs.updateTotalDemand(name)
	fs.markUrgent(Relay)
}

// sameDemand reports whether two demands are the same apart from their times.
func sameDemand(a, b allocator.Demand) bool {
	return a.Count == b.Count && a.Value == b.Value && slices.Equal(a.Avoid, b.Avoid) && slices.Equal(a.Centres, b.Centres) && slices.Equal(a.Software, b.Software)
}

// mergeDemands adds a demand to a total, which is ignored if the demand is the first one.
func mergeDemands(total, demand allocator.Demand, first bool) allocator.Demand {
	if first {
		return demand
	}
	return allocator.Demand{
		Count:        total.Count + demand.Count,
		Value:        total.Value + demand.Value,
		TargetTime:   min(total.TargetTime, demand.TargetTime),
		FirstArrival: min(total.FirstArrival, demand.FirstArrival),
		Avoid:        append(total.Avoid[:len(total.Avoid):len(total.Avoid)], demand.Avoid...),
		Centres:      mergeCentres(total.Centres, demand.Centres),
		Software:     mergeSoftware(total.Software, demand.Software),
	}
}

// mergeCentres returns the data centres of two demands, or none if one of them may be served in all.
func mergeCentres(a, b []string) []string {
	if len(a) == 0 || len(b) == 0 {
		return nil
	}
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// forwardTokenUsage forwards the tokens used by a source, which is an entry or another data
// centre, to all linked entries except the source. Those used by an entry are also sent to
// the other relays.
func (fs *FleetState) forwardTokenUsage(source string, used map[string]float64) {
	if !strings.HasPrefix(source, centrePrefix) {
		fs.localUsage.add(used)
	}
	for _, lp := range fs.processes {
		if lp.link.GetRole() == Entry && lp.link.GetName() != source {
			addAll(lp.tokensUsed, used)
		}
	}
}

// addArrivals adds the plausible numbers of more to those in to.
func addArrivals(to, more map[string]float64) {
	for name, count := range more {
		if tracker.PlausibleArrivals(count) {
			to[name] += count
		}
	}
}

// addAll adds each value of more to the value of the same key in to.
func addAll(to, more map[string]float64) {
	for name, n := range more {
		to[name] += n
	}
}

// markUrgent makes the next batches to the processes with these roles urgent.
func (fs *FleetState) markUrgent(roles ...string) {
	for _, lp := range fs.processes {
		for _, role := range roles {
			lp.urgent = lp.urgent || lp.link.GetRole() == role
		}
	}
}

// markServerUrgent makes the next batch to the sidecar of a server urgent, or those to the
// other relays if the sidecar is not linked to this one.
func (fs *FleetState) markServerUrgent(server string) {
	for _, lp := range fs.processes {
		if lp.server == server {
			lp.urgent = true
			return
		}
	}
	fs.markUrgent(Relay)
}

// Tick ends the links of processes and the feeds of relays that have been silent for
// reportTimeout, reserves tokens for sources of usage that do not report, and finds out which
// process paces which servers.
func (fs *FleetState) Tick(now time.Duration) {
	fs.latest = max(fs.latest, now)
	for id, lp := range maps.Clone(fs.processes) {
		if now-lp.lastReportAt > reportTimeout {
			fs.Leave(now, id)
		}
	}
	for centre, rf := range maps.Clone(fs.remoteFeeds) {
		if now-rf.receivedAt > reportTimeout {
			fs.CloseFeed(now, centre, rf.relay)
		}
	}
	fs.expireCrashes(now)
	fs.expireOrigins(now)
	fs.tickEvacuated(now)
	fs.updatePacing(now)
	fs.localUsage.rotate(now)
	for source, used := range fs.ledger.Tick(now) {
		fs.forwardTokenUsage(source, used)
	}
}
