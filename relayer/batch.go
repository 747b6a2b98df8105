package relayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/allocator"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Longest times between two batches to a process. Changes that are not urgent, such as loads
// of engines and token usage, are sent only then.
const (
	batchInterval        = 120 * time.Millisecond
	sidecarBatchInterval = 300 * time.Millisecond
)

// decisionInterval is the longest time between two decisions while there is demand.
const decisionInterval = 50 * time.Millisecond

// batchInterval returns the longest time between two batches to a process.
func (lp *linkedProcess) batchInterval() time.Duration {
	if lp.link.GetRole() == Sidecar {
		return sidecarBatchInterval
	}
	return batchInterval
}

// Due returns the IDs of the links to which a batch is to be sent at now. It first renews
// the decisions if they are stale or decisionInterval has passed.
func (fs *FleetState) Due(now time.Duration) []uint64 {
	if fs.decisionStale || fs.allocator.Pending() && now-fs.decidedAt >= decisionInterval {
		fs.decide(now)
	}
	var due []uint64
	for id, lp := range fs.processes {
		if lp.urgent || now-lp.lastBatchAt >= lp.batchInterval() {
			due = append(due, id)
		}
	}
	return due
}

// Batch returns the next batch of a link, or nil if it has ended.
func (fs *FleetState) Batch(now time.Duration, id uint64) *wire.Batch {
	lp := fs.processes[id]
	if lp == nil {
		return nil
	}
	fs.latest = max(fs.latest, now)
	lp.urgent, lp.lastBatchAt = false, now
	lp.batchNumber++
	batch := &wire.Batch{
		Number: lp.batchNumber,
		Heard:  lp.reportNumber,
		Relay:  fs.name,
		Links:  uint32(fs.Links()),
		Config: fs.config.View().Version(),
		Age:    timer.ToMillis(now - fs.serversCompleteAsOf),
		Era:    fs.era,
		Fresh:  timer.ToMillis(now - fs.configFreshAsOf),
	}
	switch lp.link.GetRole() {
	case Entry:
		fs.fillForEntry(now, lp, batch)
	case Sidecar:
		fs.fillForSidecar(now, lp, batch)
	case Relay:
		fs.fillForRelay(now, lp, batch)
	}
	fs.addCommon(lp, batch)
	return batch
}

// fillForEntry adds to an entry's batch what it needs to dispatch requests: statuses and
// loads of engines, servers, ready estimates, and counts and token usage for the limits.
func (fs *FleetState) fillForEntry(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.statuses.since(lp.sentVersions.statuses) {
		if !c.removed {
			batch.Conditions = append(batch.Conditions, statusForEntries(c.value.status))
		}
	}
	fs.addLoads(lp, batch, false)
	for c := range fs.servers.since(lp.sentVersions.servers) {
		batch.Items = append(batch.Items, fs.listedAsOf(now, c.value))
	}
	lp.sentVersions.servers = fs.servers.version
	fs.addPacers(lp, batch)
	fs.addEstimates(now, lp, batch)
	fs.addCrashes(now, lp, batch)
	fs.addLimits(lp, batch)
	fs.addSpeeds(now, lp, batch)
	if lp.levelsDue {
		batch.Levels, lp.levelsDue = fs.ledger.Levels(now), false
	}
	batch.Entries, batch.Absent, batch.Ready = fs.entryCountsFor(now, lp)
	batch.Spent, lp.tokensUsed = lp.tokensUsed, map[string]float64{}
}

// statusForEntries returns a status without the fields that only relays need. Of the models
// in memory it keeps those that are about to be unloaded.
func statusForEntries(status *wire.EngineStatus) *wire.EngineStatus {
	out := &wire.EngineStatus{
		Server:  status.GetServer(),
		Born:    status.GetBorn(),
		Started: status.GetStarted(),
		Number:  status.GetNumber(),
		Models:  status.GetModels(),
		Leaving: status.GetLeaving(),
		Running: status.GetRunning(),
		Waiting: status.GetWaiting(),
		Used:    status.GetUsed(),
		Cache:   status.GetCache(),
	}
	for _, r := range status.GetResidents() {
		if r.GetClosing() {
			out.Residents = append(out.Residents, &wire.Resident{Model: r.GetModel(), Closing: true})
		}
	}
	return out
}

// addEstimates adds the ready estimates of the models that an entry's requests wait for, if
// they are new to the entry or have changed.
func (fs *FleetState) addEstimates(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.estimates.since(lp.sentVersions.estimates) {
		if _, ok := lp.demands[c.key]; ok {
			lp.estimatesDue[c.key] = true
		}
	}
	lp.sentVersions.estimates = fs.estimates.version
	for name := range lp.estimatesDue {
		estimate, ok := fs.estimates.get(name)
		batch.Outlooks = append(batch.Outlooks, &wire.ReadyEstimate{Model: name, Left: timer.ToMillis(estimate.ready - now), Gone: !ok})
	}
	clear(lp.estimatesDue)
}

// addLoads adds the changed loads of engines and the sidecars that no longer report. With
// localOnly it leaves out those whose sidecars are not linked to this relay. It also records
// the statuses as sent, which the caller has added before.
func (fs *FleetState) addLoads(lp *linkedProcess, batch *wire.Batch, localOnly bool) {
	for c := range fs.engineLoads.since(lp.sentVersions.engineLoads) {
		if known, ok := fs.statuses.get(c.key); !c.removed && ok && (known.local || !localOnly) {
			batch.Traffic = append(batch.Traffic, c.value)
		}
	}
	for c := range fs.lostSidecars.since(lp.sentVersions.lostSidecars) {
		if !c.removed && (c.value || !localOnly) {
			batch.Lost = append(batch.Lost, c.key)
		}
	}
	lp.sentVersions.statuses, lp.sentVersions.engineLoads, lp.sentVersions.lostSidecars = fs.statuses.version, fs.engineLoads.version, fs.lostSidecars.version
}

// fillForRelay adds to another relay's batch the reports of the processes linked to this
// one and the decisions made here.
func (fs *FleetState) fillForRelay(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.statuses.since(lp.sentVersions.statuses) {
		if !c.removed && c.value.local {
			batch.Conditions = append(batch.Conditions, statusAsOf(now, c.value))
		}
	}
	fs.addLoads(lp, batch, true)
	for c := range fs.usage.since(lp.sentVersions.usage) {
		batch.Uses = append(batch.Uses, &wire.EngineUsage{Server: c.key.server, Model: c.key.model, Inflight: c.value})
	}
	for c := range fs.demands.since(lp.sentVersions.demands) {
		batch.Needs = append(batch.Needs, demandMessage(now, c))
	}
	for c := range fs.loadRequests.since(lp.sentVersions.loadRequests) {
		request := &wire.LoadRequest{Server: c.key.server, Model: c.key.model}
		if !c.removed {
			request = c.value.message(now, c.key)
		}
		batch.Wants = append(batch.Wants, request)
	}
	for c := range fs.estimates.since(lp.sentVersions.estimates) {
		if c.removed || c.value.local {
			batch.Outlooks = append(batch.Outlooks, &wire.ReadyEstimate{Model: c.key, Left: timer.ToMillis(c.value.ready - now), Gone: c.removed})
		}
	}
	lp.sentVersions.usage, lp.sentVersions.demands, lp.sentVersions.loadRequests, lp.sentVersions.estimates = fs.usage.version, fs.demands.version, fs.loadRequests.version, fs.estimates.version
	batch.Arrivals, lp.arrivals = lp.arrivals, map[string]float64{}
	batch.Spent = lp.nextTokenUsage(fs.localUsage, batch.GetNumber())
	batch.Felt, lp.saturations = lp.saturations, nil
	batch.Speeds = lp.takeSpeeds()
	if reads, _ := fs.ReadsServerList(now); reads {
		for c := range fs.servers.since(lp.sentVersions.servers) {
			batch.Items = append(batch.Items, fs.listedAsOf(now, c.value))
		}
		lp.sentVersions.servers = fs.servers.version
	}
	fs.addCrashes(now, lp, batch)
	fs.addLimits(lp, batch)
	fs.addOrigins(now, lp, batch)
	fs.addEntryCounts(now, lp, batch)
}

// statusAsOf returns a status in which the times left for pending loads are as of now.
func statusAsOf(now time.Duration, known engineStatus) *wire.EngineStatus {
	elapsed := now - known.receivedAt
	if len(known.status.GetTasks()) == 0 || elapsed < time.Millisecond {
		return known.status
	}
	status := proto.Clone(known.status).(*wire.EngineStatus)
	for _, task := range status.GetTasks() {
		task.Left = timer.ToMillis(timer.FromMillis(task.GetLeft()) - elapsed)
	}
	return status
}

// demandMessage returns the message for a demand. A message without count and value says
// that the demand has ended.
func demandMessage(now time.Duration, c *change[string, allocator.Demand]) *wire.LoadRequest {
	if c.removed {
		return &wire.LoadRequest{Model: c.key}
	}
	demand := c.value
	return &wire.LoadRequest{
		Model: c.key,
		Count: demand.Count,
		Worth: demand.Value,
		Goal:  timer.ToSignedMillis(demand.TargetTime - now),
		Age:   timer.ToMillis(now - demand.FirstArrival),
		Avoid: demand.Avoid,

		Centres:  demand.Centres,
		Software: demand.Software,
	}
}

// addCommon adds what every process gets: departures, evacuated data centres and the list of
// processes.
func (fs *FleetState) addCommon(lp *linkedProcess, batch *wire.Batch) {
	fs.addEvacuated(lp, batch)
	for c := range fs.departures.since(lp.sentVersions.departures) {
		if !c.removed {
			batch.Parted = append(batch.Parted, &wire.Departure{Server: c.key, Born: c.value})
		}
	}
	for c := range fs.members.since(lp.sentVersions.members) {
		batch.Members = append(batch.Members, c.value)
	}
	lp.sentVersions.departures, lp.sentVersions.members = fs.departures.version, fs.members.version
}
