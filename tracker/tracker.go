// Package tracker keeps a process's view of the backend servers: what the platform
// lists, what their sidecars report, and the requests that the process has in flight.
package tracker

import (
	"maps"
	"slices"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// statusTTL is how long a status stays in use after its sidecar was last known to be
// reporting.
const statusTTL = 2500 * time.Millisecond

// Server is a backend server as the platform lists it.
type Server struct {
	ID      string
	Pool    string
	Address string
	// Centre is the name of the data centre.
	Centre string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set for a server that finishes its requests and takes no new ones.
	Leaving bool
	// Started is the start of the server's process, in Unix milliseconds.
	Started int64
	// Software is the version of the server's software, or empty if it is not known. What two
	// versions write does not fit together.
	Software string
	// RowWrites is the number of times that the process has written its row in the list, or 0 if
	// that is not known.
	RowWrites uint64
	// ColdStated is set if the row says for how long the server is still cold, which is ColdLeft.
	ColdStated bool
	ColdLeft   time.Duration
	Inventory
}

// Inventory lists the models and adapters on an engine and the weights cached on its
// instance.
type Inventory struct {
	// Models are the models and adapters that are ready to serve, sorted by name.
	Models []string
	// Loading are the adapters that are being loaded.
	Loading []string
	// Memory and Disk are the models whose weights are cached in the instance's memory
	// and on its disk.
	Memory []string
	Disk   []string
	// Omitted is the number of models and adapters that are left out because they cannot be
	// read.
	Omitted int
}

// LoadTime returns the duration of a load of a base model, which depends on where its
// checkpoint is cached. It reports whether the checkpoint is fetched from the weight
// store.
func (i Inventory) LoadTime(m *wire.Model) (duration time.Duration, fetch bool) {
	switch {
	case slices.Contains(i.Memory, m.GetName()):
		return timer.FromMillis(m.GetMemory()), false
	case slices.Contains(i.Disk, m.GetName()):
		return timer.FromMillis(m.GetDisk()), false
	}
	return timer.FromMillis(m.GetRemote()), true
}

// Has reports whether a model or an adapter is ready to serve.
func (i Inventory) Has(name string) bool {
	_, ok := slices.BinarySearch(i.Models, name)
	return ok
}

// unlistedStatus is a sidecar's status of a server that is not listed yet.
type unlistedStatus struct {
	status     *wire.EngineStatus
	receivedAt time.Duration
}

// Fleet holds the backend servers by ID. It is not safe for concurrent use, except for
// Backend.RecordActivity.
type Fleet struct {
	backends map[string]*Backend
	// pools are the servers whose serving is set, by pool and sorted by ID, or nil if the
	// list or a mismatch has changed since they were computed.
	pools map[string][]*Backend
	// unlisted holds the latest statuses of servers that are not listed yet, by ID.
	unlisted map[string]unlistedStatus
	// sidecarsReportedAt is the latest instant at which all sidecars that are not
	// marked lost were known to be reporting.
	sidecarsReportedAt time.Duration
	// holders are the servers that may hold a model or an adapter, by its name and
	// sorted by ID.
	holders map[string][]*Backend
	// leavingStarts maps the IDs of the servers that have said that they are leaving to
	// the starts of their processes, in Unix milliseconds.
	leavingStarts map[string]int64
	// estimates are the estimates of the pools that have servers.
	estimates map[string]*poolEstimates
	// evacuated are the data centres whose servers get no new work.
	evacuated map[string]bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		backends:      map[string]*Backend{},
		unlisted:      map[string]unlistedStatus{},
		holders:       map[string][]*Backend{},
		leavingStarts: map[string]int64{},
		estimates:     map[string]*poolEstimates{},
	}
}

// UpdateServer adds a server that the platform lists, or updates it to its current row. It
// applies a status that arrived before the server was listed, and clears a mismatch that
// MarkMismatched recorded. If the process of the server has been restarted, a stall and a
// back-off end.
func (f *Fleet) UpdateServer(s Server) {
	b := f.backends[s.ID]
	if b == nil {
		b = &Backend{fleet: f, inflightByModel: map[string]int{}}
		f.backends[s.ID] = b
	}
	if b.server.Started != s.Started {
		b.stalledAt, b.backOffUntil, b.coldUntil, b.crashed = 0, 0, 0, false
	}
	before := b.ModelNames()
	f.updateEstimates(b, s)
	b.server, b.mismatched = s, false
	f.reindex(b, before)
	f.pools = nil
	if pending, ok := f.unlisted[s.ID]; ok {
		delete(f.unlisted, s.ID)
		f.UpdateStatus(pending.receivedAt, pending.status)
	}
}

// RemoveServer removes a server that is no longer listed.
func (f *Fleet) RemoveServer(id string) {
	b := f.backends[id]
	if b == nil {
		return
	}
	delete(f.backends, id)
	f.dropEstimates(b.server.Pool)
	f.pools = nil
	for name := range b.ModelNames() {
		f.unindex(b, name)
	}
}

// RefreshStatuses records that all sidecars that are not marked lost were reporting at an
// instant.
func (f *Fleet) RefreshStatuses(now time.Duration) { f.sidecarsReportedAt = now }

// MarkSidecarLost records that the sidecar of a server has stopped reporting, and drops a
// status kept for a server that is not listed yet.
func (f *Fleet) MarkSidecarLost(now time.Duration, id string) {
	delete(f.unlisted, id)
	if b := f.backends[id]; b != nil && b.lostAt == 0 {
		b.lostAt = now
	}
}

// UpdateStatus applies a sidecar's status of its engine, unless it is about another
// process of the server than the listed one. It reports false for a server that is not
// listed yet; the status is then applied once the server is listed.
func (f *Fleet) UpdateStatus(now time.Duration, s *wire.EngineStatus) bool {
	b := f.backends[s.GetServer()]
	if b == nil {
		f.keepUnlisted(now, s)
		return false
	}
	if b.server.Started != s.GetBorn() {
		return true
	}
	before := b.ModelNames()
	if b.mismatched {
		f.pools = nil
	}
	b.status, b.statusAt, b.lostAt, b.mismatched = withSortedModels(s), now, 0, false
	f.reindex(b, before)
	b.otherRequests = max(0, int(s.GetRunning())+int(s.GetWaiting())-b.inflight)
	b.otherRequestsAt = now
	b.RecordWaiting(now, int(s.GetWaiting()))
	b.recordMemory(now, int(s.GetUsed()), int(s.GetCache()))
	return true
}

// keepUnlisted keeps the status of a server that is not listed yet, and drops those older
// than statusTTL.
func (f *Fleet) keepUnlisted(now time.Duration, s *wire.EngineStatus) {
	for id, pending := range f.unlisted {
		if now-pending.receivedAt > statusTTL {
			delete(f.unlisted, id)
		}
	}
	if s.GetServer() != "" {
		f.unlisted[s.GetServer()] = unlistedStatus{status: s, receivedAt: now}
	}
}

// RecordLoad records the number of requests at a server, of all processes, as the server
// or its sidecar reports it.
func (f *Fleet) RecordLoad(now time.Duration, id string, requests int) {
	if b := f.backends[id]; b != nil {
		b.otherRequests, b.otherRequestsAt = max(0, requests-b.inflight), now
	}
}

// StartRequest counts a request of this process as in flight at a server from an instant
// on, under the names of its model and adapter.
func (f *Fleet) StartRequest(now time.Duration, id string, names ...string) {
	b := f.backends[id]
	if b == nil {
		return
	}
	if len(b.inflightByModel) == 0 {
		b.busySince = now
	}
	b.inflight++
	b.unreadPrompts++
	for _, name := range names {
		b.inflightByModel[name]++
	}
}

// MarkPromptRead records that a server has read the prompt of a request.
func (f *Fleet) MarkPromptRead(id string) {
	if b := f.backends[id]; b != nil && b.unreadPrompts > 0 {
		b.unreadPrompts--
	}
}

// EndRequest ends the count of a request that StartRequest began; promptRead is set if
// MarkPromptRead was called for it. A server whose stall score is above 0 when its last
// request for a model ends is marked stalled.
func (f *Fleet) EndRequest(now time.Duration, id string, promptRead bool, names ...string) {
	b := f.backends[id]
	if b == nil || b.inflight == 0 {
		return
	}
	stalling := b.StallScore(now) > 0
	b.inflight--
	if !promptRead {
		f.MarkPromptRead(id)
	}
	for _, name := range names {
		if b.inflightByModel[name]--; b.inflightByModel[name] <= 0 {
			delete(b.inflightByModel, name)
		}
	}
	if stalling && len(b.inflightByModel) == 0 {
		b.MarkStalled(now)
	}
}

// Pool returns the servers of a pool that take new work, sorted by ID. Of several servers
// listed at one address, only the one that started last can still exist, unless its address
// answered for another server.
func (f *Fleet) Pool(name string) []*Backend {
	f.rebuildPools()
	var list []*Backend
	for _, b := range f.pools[name] {
		if f.acceptsWork(b) {
			list = append(list, b)
		}
	}
	return list
}

// acceptsWork reports whether a server takes new work: the list says so, its address
// answers as listed, it is not leaving, and its data centre is not evacuated.
func (f *Fleet) acceptsWork(b *Backend) bool {
	f.rebuildPools()
	return b.serving && !b.mismatched && !b.Evacuated() && !f.isLeaving(b)
}

// rebuildPools groups the servers that take new work according to the list by pool, if the
// list or a mismatch has changed.
func (f *Fleet) rebuildPools() {
	if f.pools != nil {
		return
	}
	newest := map[string]*Backend{}
	for _, b := range f.backends {
		b.serving = false
		if b.mismatched {
			continue
		}
		if n := newest[b.server.Address]; n == nil || b.server.Started > n.server.Started {
			newest[b.server.Address] = b
		}
	}
	f.pools = map[string][]*Backend{}
	for _, b := range newest {
		if !b.server.Leaving {
			b.serving = true
			f.pools[b.server.Pool] = append(f.pools[b.server.Pool], b)
		}
	}
	for _, list := range f.pools {
		slices.SortFunc(list, byID)
	}
}

// All returns all servers, sorted by ID.
func (f *Fleet) All() []*Backend {
	return slices.SortedFunc(maps.Values(f.backends), byID)
}

// Get returns the server with an ID, or nil if it is not listed.
func (f *Fleet) Get(id string) *Backend { return f.backends[id] }

// ReportingSidecars returns the number of servers with a current status from a sidecar.
func (f *Fleet) ReportingSidecars(now time.Duration) int {
	n := 0
	for _, b := range f.backends {
		if b.Status(now) != nil {
			n++
		}
	}
	return n
}
