// Package relayer distributes state between the processes of a fleet. One process of each
// data centre, its relay, is linked to the other processes there and to the relays of the
// other data centres, so that no process keeps a connection to all others.
//
// A relay publishes the reports of the processes linked to it and its own decisions. Other
// relays forward these to their processes, but not to further relays. All of it is soft
// state: a relay starts empty, and the processes that link to it send complete reports.
package relayer

import (
	"time"

	"github.com/phuslu/log"

	"oleanderstall/allocator"
	"oleanderstall/configurer"
	"oleanderstall/evacuator"
	"oleanderstall/limiter"
	"oleanderstall/pacer"
	"oleanderstall/pinner"
	"oleanderstall/quarantiner"
	"oleanderstall/wire"
)

// Roles of the processes that link to a relay.
const (
	Entry   = "entry"
	Sidecar = "sidecar"
	Relay   = "relay"
)

// serverModel is a model or an adapter at a server.
type serverModel struct{ server, model string }

// engineStatus is the latest status of an engine as reported by its sidecar.
type engineStatus struct {
	status     *wire.EngineStatus
	receivedAt time.Duration
	// local is set if the sidecar is linked to this relay.
	local bool
}

// readyEstimate is the instant at which a model is expected to serve.
type readyEstimate struct {
	ready time.Duration
	// local is set if this relay made the estimate. Otherwise that of the data centre did.
	local  bool
	centre string
}

// FleetState is the state of the fleet as one relay knows it. It is not safe for
// concurrent use.
type FleetState struct {
	name       string
	centre     string
	config     *configurer.Configurer
	log        *log.Logger
	allocator  *allocator.Allocator
	ledger     *limiter.RelayLedger
	localUsage *localUsage

	// processes are the processes linked to this relay, by link ID, and remoteFeeds the
	// state published by the other relays, by data centre. lastLinkID is the ID of the
	// newest link.
	processes   map[uint64]*linkedProcess
	remoteFeeds map[string]*remoteFeed
	lastLinkID  uint64
	// processesByCentre counts the linked processes other than relays, by data centre.
	processesByCentre map[string]int

	// lostSidecars holds the servers whose sidecars no longer report; the value is set if
	// the sidecar was linked to this relay. departures holds the start of each server that
	// announced that it is leaving, in Unix milliseconds.
	statuses     *versionedMap[string, engineStatus]
	engineLoads  *versionedMap[string, *wire.EngineLoad]
	lostSidecars *versionedMap[string, bool]
	departures   *versionedMap[string, int64]
	estimates    *versionedMap[string, readyEstimate]
	servers      *versionedMap[string, *wire.ListedServer]
	members      *versionedMap[string, *wire.Member]
	// crashes holds the crashed processes of servers, whose records quarantiner holds.
	crashes     *versionedMap[quarantiner.Process, struct{}]
	quarantiner *quarantiner.Quarantiner
	// streams holds which versions of their software servers have and which streams they began, and
	// origins the instants at which the streams began that linked processes have reported.
	streams *pinner.Pinner
	origins *versionedMap[uint64, time.Duration]
	// originsExpiredAt is the instant of the latest search for streams that are no longer remembered.
	originsExpiredAt time.Duration
	// crashRevision counts the changes of records of crashes that linked processes reported.
	crashRevision uint64
	// limits holds the limits that servers have named, and pacing is who gives out the permits.
	limits *versionedMap[string, pacedLimit]
	pacing pacing
	// speedMeans are the means of the speeds of servers, and speeds what entries are sent of them.
	speedMeans map[string]*speedMean
	speeds     *versionedMap[string, *wire.ServerSpeed]
	// cold holds the cold phases of servers, and coldTiming is how permits for them may be used.
	cold       map[string]coldPhase
	coldTiming pacer.ColdTiming
	// coldPermits counts the permits given out for cold servers.
	coldPermits uint64
	// evacuator holds the evacuated data centres, and evacuationsRevision counts their changes.
	evacuator           *evacuator.Evacuator
	evacuationsRevision uint64
	// latest is the latest instant that this relay was told.
	latest time.Duration
	// usage and demands are sums over the entries linked to this relay, loadRequests the
	// loads that this relay decided on.
	usage        *versionedMap[serverModel, uint32]
	demands      *versionedMap[string, allocator.Demand]
	loadRequests *versionedMap[serverModel, loadRequest]

	// era is the latest era of the platform's store that this relay has heard of.
	era uint64
	// configFreshAsOf is the latest instant as of which the configuration here was the newest.
	// newerConfig is the version of a newer one that another relay has, whose address is
	// newerConfigAddress, or 0.
	configFreshAsOf    time.Duration
	newerConfig        uint64
	newerConfigAddress string
	// entriesVersion is raised whenever an entry links or any process leaves.
	entriesVersion uint64
	// serversCompleteAsOf is the latest instant as of which servers was complete.
	serversCompleteAsOf time.Duration
	// decisionStale is set if an input has changed since the decision at decidedAt.
	decisionStale bool
	decidedAt     time.Duration
}

// NewFleetState returns the empty state of the named relay in a data centre.
func NewFleetState(name, centre string, c *configurer.Configurer, l *log.Logger) *FleetState {
	return &FleetState{
		name:              name,
		centre:            centre,
		config:            c,
		log:               l,
		allocator:         allocator.New(name, c, l),
		ledger:            limiter.NewRelayLedger(),
		localUsage:        newLocalUsage(),
		processes:         map[uint64]*linkedProcess{},
		processesByCentre: map[string]int{},
		remoteFeeds:       map[string]*remoteFeed{},
		statuses:          newVersionedMap[string, engineStatus](),
		engineLoads:       newVersionedMap[string, *wire.EngineLoad](),
		lostSidecars:      newVersionedMap[string, bool](),
		departures:        newVersionedMap[string, int64](),
		estimates:         newVersionedMap[string, readyEstimate](),
		servers:           newVersionedMap[string, *wire.ListedServer](),
		members:           newVersionedMap[string, *wire.Member](),
		crashes:           newVersionedMap[quarantiner.Process, struct{}](),
		quarantiner:       quarantiner.New(0),
		streams:           pinner.New(),
		origins:           newVersionedMap[uint64, time.Duration](),
		limits:            newVersionedMap[string, pacedLimit](),
		pacing:            newPacing(),
		speedMeans:        map[string]*speedMean{},
		speeds:            newVersionedMap[string, *wire.ServerSpeed](),
		cold:              map[string]coldPhase{},
		coldTiming:        pacer.NewColdTiming(0),
		evacuator:         evacuator.New(),
		usage:             newVersionedMap[serverModel, uint32](),
		demands:           newVersionedMap[string, allocator.Demand](),
		loadRequests:      newVersionedMap[serverModel, loadRequest](),
	}
}

// SetLimits replaces the limits of the workspaces.
func (fs *FleetState) SetLimits(now time.Duration, limits []limiter.Limit) {
	fs.ledger.SetLimits(now, limits)
}

// SetEra records an era of the platform's store and sends the latest one on.
func (fs *FleetState) SetEra(era uint64) {
	if era > fs.era {
		fs.era = era
		fs.markUrgent(Entry, Sidecar, Relay)
	}
}

// Links returns the number of processes linked to this relay, other relays included.
func (fs *FleetState) Links() int { return len(fs.processes) }

// Serving reports whether processes other than relays are linked to this relay.
func (fs *FleetState) Serving() bool { return len(fs.processesByCentre) > 0 }

// ReportingSidecars returns the number of engines whose sidecars report.
func (fs *FleetState) ReportingSidecars(now time.Duration) int {
	return fs.allocator.ReportingSidecars(now)
}

// recordStatus records the status of an engine; local is set if its sidecar is linked to this
// relay. A status contains the load, so that it replaces the load recorded before. A status
// that is older than the known one is ignored, and so is a remote one that is no newer than
// one received from the sidecar itself.
func (fs *FleetState) recordStatus(now time.Duration, status *wire.EngineStatus, local bool) {
	id := status.GetServer()
	if id == "" {
		return
	}
	known, ok := fs.statuses.get(id)
	if ok && (olderStatus(status, known.status) || known.local && !local && !olderStatus(known.status, status)) {
		return
	}
	fs.lostSidecars.remove(id)
	fs.engineLoads.remove(id)
	fs.statuses.set(id, engineStatus{status: status, receivedAt: now, local: local})
	fs.allocator.UpdateStatus(now, status)
	fs.decisionStale = true
}

// olderStatus reports whether status was made before known: by an earlier process of the
// sidecar, or by the same process with a lower number.
func olderStatus(status, known *wire.EngineStatus) bool {
	if status.GetStarted() != known.GetStarted() {
		return status.GetStarted() < known.GetStarted()
	}
	return status.GetNumber() < known.GetNumber()
}

// recordLoad records the load of an engine whose status is known.
func (fs *FleetState) recordLoad(now time.Duration, load *wire.EngineLoad) {
	if _, ok := fs.statuses.get(load.GetServer()); !ok {
		return
	}
	fs.engineLoads.set(load.GetServer(), load)
	fs.allocator.RecordLoad(now, load.GetServer(), int(load.GetRunning())+int(load.GetWaiting()))
}

// checkReportSources is called after a source of reports about a server has ended, which is
// a link or the feed of another data centre. The sidecar counts as lost if there is no other
// source, and its status is no longer local if only feeds are left.
func (fs *FleetState) checkReportSources(now time.Duration, id string) {
	status, ok := fs.statuses.get(id)
	if !ok || fs.hasLinkedSidecar(id) {
		return
	}
	if !fs.reportedRemotely(id) {
		fs.markSidecarLost(now, id)
		return
	}
	if status.local {
		status.local = false
		fs.statuses.set(id, status)
	}
}

// reportedRemotely reports whether the feed of another data centre includes a server.
func (fs *FleetState) reportedRemotely(id string) bool {
	for _, rf := range fs.remoteFeeds {
		if rf.servers[id] {
			return true
		}
	}
	return false
}

// markSidecarLost marks the sidecar of a server as not reporting and drops the status and
// load of its engine.
func (fs *FleetState) markSidecarLost(now time.Duration, id string) {
	status, ok := fs.statuses.get(id)
	if !ok {
		return
	}
	fs.statuses.remove(id)
	fs.engineLoads.remove(id)
	fs.lostSidecars.set(id, status.local)
	fs.allocator.MarkSidecarLost(now, id)
	fs.decisionStale = true
	fs.log.Info().Str("server", id).Msg("sidecar: not heard")
}

// maxDepartures is the number of known departures at which those of servers that are not listed
// are dropped.
const maxDepartures = 4096

// markLeaving records that a server announced that it is leaving. started is the start of
// the server in Unix milliseconds.
func (fs *FleetState) markLeaving(id string, started int64) {
	if known, ok := fs.departures.get(id); ok && known >= started {
		return
	}
	fs.departures.set(id, started)
	if fs.departures.count() > maxDepartures {
		fs.dropDepartures()
	}
	fs.allocator.MarkLeaving(id, started)
	fs.decisionStale = true
}

// dropDepartures drops the departures of servers that are not listed.
func (fs *FleetState) dropDepartures() {
	for id := range fs.departures.all() {
		if server, ok := fs.servers.get(id); !ok || server.GetGone() {
			fs.departures.remove(id)
		}
	}
}

// recordSaturations passes the saturations of engines on to the allocator.
func (fs *FleetState) recordSaturations(now time.Duration, saturations []*wire.Saturation) {
	for _, s := range saturations {
		fs.allocator.RecordSaturation(now, s.GetServer(), float64(s.GetStrain()))
	}
}

// recordArrivals counts the requests that arrived, by model or adapter. For those that this
// relay owns it lets the allocator request more copies.
func (fs *FleetState) recordArrivals(now time.Duration, arrivals map[string]float64) {
	for name, count := range arrivals {
		fs.allocator.AddArrivals(now, name, count)
		if fs.isOwner(name) {
			fs.allocator.RequestCopies(now, name)
		}
	}
}
