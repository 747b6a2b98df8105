package relayer

import (
	"time"

	"oleanderstall/allocator"
	"oleanderstall/limiter"
	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// centrePrefix begins the names of the usage sources that stand for other data centres.
const centrePrefix = "centre/"

// remoteFeed is the state published by the relay of another data centre.
type remoteFeed struct {
	relay string
	// receivedAt is the instant of its latest batch.
	receivedAt time.Duration
	// servers are the servers whose sidecars are linked to that relay.
	servers      map[string]bool
	usage        map[serverModel]uint32
	demands      map[string]allocator.Demand
	loadRequests map[serverModel]loadRequest
	// entries counts the entries there. absent, newEntries and readyEntries are how many of
	// them do not report, are new and accept connections.
	entries      uint32
	absent       uint32
	newEntries   uint32
	readyEntries uint32
}

// OpenFeed opens the feed of another data centre's relay. An earlier feed of that data
// centre is closed.
func (fs *FleetState) OpenFeed(now time.Duration, centre, relay string) {
	if rf := fs.remoteFeeds[centre]; rf != nil {
		fs.CloseFeed(now, centre, rf.relay)
	}
	fs.remoteFeeds[centre] = &remoteFeed{
		relay:        relay,
		receivedAt:   now,
		servers:      map[string]bool{},
		usage:        map[serverModel]uint32{},
		demands:      map[string]allocator.Demand{},
		loadRequests: map[serverModel]loadRequest{},
	}
	fs.log.Info().Str("centre", centre).Str("relay", relay).Msg("relay: answers")
}

// readsFeedOf reports whether the feed of a relay is open for another data centre than the given
// one.
func (fs *FleetState) readsFeedOf(relay, centre string) bool {
	for other, rf := range fs.remoteFeeds {
		if rf.relay == relay && other != centre {
			return true
		}
	}
	return false
}

// CloseFeed closes the feed of another data centre if the named relay publishes it. The data
// centre stays in the ledger, which reserves tokens for its further usage.
func (fs *FleetState) CloseFeed(now time.Duration, centre, relay string) {
	rf := fs.remoteFeeds[centre]
	if rf == nil || rf.relay != relay {
		return
	}
	delete(fs.remoteFeeds, centre)
	for id := range rf.servers {
		fs.checkReportSources(now, id)
	}
	for name := range rf.demands {
		fs.updateTotalDemand(name)
	}
	for name := range fs.estimates.all() {
		fs.withdrawEstimate(centre, name)
	}
	fs.decisionStale = true
	fs.markUrgent(Entry)
	fs.log.Info().Str("centre", centre).Str("relay", relay).Msg("relay: lost")
}

// withdrawEstimate removes the ready estimate of a model if the relay of a data centre made it.
func (fs *FleetState) withdrawEstimate(centre, name string) {
	if known, ok := fs.estimates.get(name); ok && !known.local && known.centre == centre {
		fs.estimates.remove(name)
	}
}

// ApplyFeed applies a batch of another data centre's relay at an address, if its feed is open.
func (fs *FleetState) ApplyFeed(now time.Duration, centre, address string, batch *wire.Batch) {
	rf := fs.remoteFeeds[centre]
	if rf == nil {
		return
	}
	rf.receivedAt = now
	fs.latest = max(fs.latest, now)
	fs.SetEra(batch.GetEra())
	fs.applyConfigVersion(now, address, batch)
	fs.UpdateEvacuated(now, batch.GetEvacuations().GetVersion(), batch.GetEvacuations().GetCentres())
	for _, status := range batch.GetConditions() {
		rf.servers[status.GetServer()] = true
		fs.recordStatus(now, status, false)
	}
	for _, load := range batch.GetTraffic() {
		fs.recordLoad(now, load)
	}
	for _, id := range batch.GetLost() {
		if rf.servers[id] {
			delete(rf.servers, id)
			fs.checkReportSources(now, id)
		}
	}
	for _, d := range batch.GetParted() {
		fs.markLeaving(d.GetServer(), d.GetBorn())
	}
	_ = fs.mergeCrashes(now, batch.GetCrashes())
	fs.mergeLimits(batch.GetLimits())
	fs.mergeOrigins(now, batch.GetOrigins())
	fs.UpdateServers(now-timer.FromMillis(batch.GetAge()), batch.GetItems())
	fs.applyDemands(now, rf, batch)
	fs.applyDecisions(now, centre, rf, batch)
	fs.applyEntryCounts(now, centre, rf, batch)
	if len(batch.GetConditions())+len(batch.GetLost())+len(batch.GetParted())+len(batch.GetOutlooks()) > 0 {
		fs.markUrgent(Entry)
	}
}

// applyDemands applies usage, demands, arrivals and saturations from the entries of another
// data centre. It ignores demands that are not plausible.
func (fs *FleetState) applyDemands(now time.Duration, rf *remoteFeed, batch *wire.Batch) {
	for _, u := range batch.GetUses() {
		key := serverModel{u.GetServer(), u.GetModel()}
		previous := rf.usage[key]
		rf.usage[key] = min(u.GetInflight(), placer.MaxRequests)
		if u.GetInflight() == 0 {
			delete(rf.usage, key)
		}
		if (previous == 0) != (u.GetInflight() == 0) {
			fs.markServerUrgent(key.server)
		}
	}
	for _, r := range batch.GetNeeds() {
		if !placer.Plausible(r) {
			continue
		}
		if r.GetCount() == 0 && r.GetWorth() == 0 {
			delete(rf.demands, r.GetModel())
		} else {
			rf.demands[r.GetModel()] = decodeDemand(now, r)
		}
		fs.updateTotalDemand(r.GetModel())
	}
	fs.recordArrivals(now, batch.GetArrivals())
	fs.recordSaturations(now, batch.GetFelt())
	fs.recordSpeeds(now, batch.GetSpeeds())
}

// applyDecisions applies the load requests and ready estimates of another relay. It ignores
// load requests that are not plausible.
func (fs *FleetState) applyDecisions(now time.Duration, centre string, rf *remoteFeed, batch *wire.Batch) {
	for _, r := range batch.GetWants() {
		if !placer.Plausible(r) {
			continue
		}
		key := serverModel{r.GetServer(), r.GetModel()}
		if request, ok := decodeLoadRequest(now, r); ok {
			rf.loadRequests[key] = request
		} else {
			delete(rf.loadRequests, key)
		}
		fs.markServerUrgent(key.server)
	}
	for _, e := range batch.GetOutlooks() {
		if e.GetGone() {
			fs.withdrawEstimate(centre, e.GetModel())
		} else {
			fs.estimates.set(e.GetModel(), readyEstimate{ready: now + timer.FromMillis(e.GetLeft()), centre: centre})
		}
	}
}

// applyEntryCounts applies the entry counts and token usage of another data centre. Entries
// that have moved there leave the ledger here, which would otherwise count them as absent.
func (fs *FleetState) applyEntryCounts(now time.Duration, centre string, rf *remoteFeed, batch *wire.Batch) {
	rf.entries, rf.absent, rf.newEntries, rf.readyEntries = batch.GetEntries(), batch.GetAbsent(), batch.GetYoung(), batch.GetReady()
	source := centrePrefix + centre
	fs.ledger.SetSource(now, source, limiter.EntryCount{Entries: int(rf.entries), Absent: int(rf.absent)})
	for _, name := range batch.GetNames() {
		if !fs.isLinked(name) {
			fs.ledger.RemoveSource(name)
		}
	}
	fs.forwardTokenUsage(source, fs.ledger.RecordUsage(now, source, batch.GetSpent()))
}

// isLinked reports whether a process is linked to this relay.
func (fs *FleetState) isLinked(name string) bool {
	for _, lp := range fs.processes {
		if lp.link.GetName() == name {
			return true
		}
	}
	return false
}

// isOwner reports whether this relay is the owner of a model or an adapter, which decides
// about its loads. An adapter has the owner of its base model.
func (fs *FleetState) isOwner(name string) bool {
	if model := fs.config.View().Model(name); model.GetBase() != "" {
		name = model.GetBase()
	}
	return fs.ranksFirst(name)
}

// serverListKey is the key by which the one relay is chosen that reads the list of backend
// servers for the fleet.
const serverListKey = "list of backend servers"

// ReadsServerList reports whether this relay is the one that reads the list of backend
// servers, and the time since the list known here was complete.
func (fs *FleetState) ReadsServerList(now time.Duration) (reads bool, age time.Duration) {
	return fs.ranksFirst(serverListKey), now - fs.serversCompleteAsOf
}

// ranksFirst reports whether this relay ranks first for a name among the relays of all data
// centres, by rendezvous hashing.
func (fs *FleetState) ranksFirst(name string) bool {
	key, owner := router.Hash(name), fs.centre
	for centre := range fs.processesByCentre {
		owner = higherRanked(owner, centre, key)
	}
	for centre := range fs.remoteFeeds {
		owner = higherRanked(owner, centre, key)
	}
	return fs.servesCentre(owner)
}

// higherRanked returns the one of two data centres that has the higher score for a key, or
// the later name if the scores are equal.
func higherRanked(a, b string, key uint64) string {
	x, y := router.Score(a, key), router.Score(b, key)
	if y > x || y == x && b > a {
		return b
	}
	return a
}

// servesCentre reports whether a data centre is the relay's own or has processes that are
// linked to this relay.
func (fs *FleetState) servesCentre(centre string) bool {
	return centre == fs.centre || fs.processesByCentre[centre] > 0
}

// updateTotalDemand passes the demand of all data centres for a model or an adapter on to
// the allocator.
func (fs *FleetState) updateTotalDemand(name string) {
	total, found := fs.demands.get(name)
	for _, rf := range fs.remoteFeeds {
		if demand, ok := rf.demands[name]; ok {
			total = mergeDemands(total, demand, !found)
			found = true
		}
	}
	if found {
		fs.allocator.SetDemand(name, total)
	} else {
		fs.allocator.RemoveDemand(name)
	}
	fs.decisionStale = true
}

// decide renews the load requests and ready estimates of the models that this relay owns.
func (fs *FleetState) decide(now time.Duration) {
	fs.decisionStale = false
	fs.decidedAt = now
	decision := fs.allocator.Decide(now, fs.isOwner)
	requests := map[serverModel]loadRequest{}
	for _, r := range decision.Loads {
		key := serverModel{r.GetServer(), r.GetModel()}
		request, _ := decodeLoadRequest(now, r)
		if known, ok := requests[key]; ok {
			request = known.merge(request)
		}
		requests[key] = request
	}
	for key, r := range requests {
		known, ok := fs.loadRequests.get(key)
		if !ok || !known.same(r) {
			fs.loadRequests.set(key, r)
			fs.markServerUrgent(key.server)
		}
	}
	for key := range fs.loadRequests.all() {
		if _, ok := requests[key]; !ok {
			fs.loadRequests.remove(key)
			fs.markServerUrgent(key.server)
		}
	}
	fs.publishEstimates(decision.Estimates)
}

// minEstimateChange is the change of a ready estimate above which it is published again.
const minEstimateChange = 100 * time.Millisecond

// publishEstimates publishes the ready estimates of this relay and withdraws those that it
// no longer makes.
func (fs *FleetState) publishEstimates(estimates []allocator.ReadyEstimate) {
	estimated := map[string]bool{}
	for _, e := range estimates {
		estimated[e.Model] = true
		known, ok := fs.estimates.get(e.Model)
		if !ok || !known.local || (e.Ready-known.ready).Abs() > minEstimateChange {
			fs.estimates.set(e.Model, readyEstimate{ready: e.Ready, local: true})
			fs.markUrgent(Relay, Entry)
		}
	}
	for name, e := range fs.estimates.all() {
		if e.local && !estimated[name] {
			fs.estimates.remove(name)
			fs.markUrgent(Relay, Entry)
		}
	}
}
