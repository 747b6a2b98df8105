// Package tracker keeps what an entry believes of the backend servers: what the
// platform lists, what their sidecars tell, and what this entry has under way.
package tracker

import (
	"maps"
	"slices"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// stateLife is how long a state counts after its sidecar has fallen silent.
const stateLife = 2500 * time.Millisecond

// Server is a backend server as the platform lists it.
type Server struct {
	ID      string
	Pool    string
	Address string
	// Centre is the data centre.
	Centre string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving servers finish what they have and take nothing new.
	Leaving bool
	// Started is the start of the server's process, in Unix milliseconds.
	Started int64
	Inventory
}

// Inventory is what an engine holds.
type Inventory struct {
	// Models are the models and adapters that serve requests, sorted by name.
	Models []string
	// Loading are the adapters that are being loaded.
	Loading []string
	// Memory and Disk list the models whose weights are cached on the instance.
	Memory []string
	Disk   []string
}

// LoadTime is the duration of the load of a base model by where its checkpoint is
// cached. It reports whether the checkpoint comes from the weight store.
func (h Inventory) LoadTime(m *wire.Model) (took time.Duration, fetch bool) {
	switch {
	case slices.Contains(h.Memory, m.GetName()):
		return timer.FromMillis(m.GetMemory()), false
	case slices.Contains(h.Disk, m.GetName()):
		return timer.FromMillis(m.GetDisk()), false
	}
	return timer.FromMillis(m.GetRemote()), true
}

// Has reports whether a model or adapter serves requests.
func (h Inventory) Has(name string) bool {
	_, ok := slices.BinarySearch(h.Models, name)
	return ok
}

// word is what a sidecar told at an instant.
type word struct {
	state *wire.EngineStatus
	told  time.Duration
}

// Fleet holds the backend servers by id. It is not safe for concurrent use.
type Fleet struct {
	backends map[string]*Backend
	// pools are the servers that are listed as taking new work, or nil if the list
	// has changed.
	pools map[string][]*Backend
	// unlisted holds the words on servers that are not listed yet.
	unlisted map[string]word
	// heard is the instant at which the sidecars that are not lost were known to be
	// heard.
	heard time.Duration
	// holders are the servers that may hold a model or an adapter, by name.
	holders map[string][]*Backend
	// parted are the starts of the servers that have said that they leave, by id.
	parted map[string]int64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		backends: map[string]*Backend{},
		unlisted: map[string]word{},
		holders:  map[string][]*Backend{},
		parted:   map[string]int64{},
	}
}

// UpdateServer takes a server as the platform lists it now.
func (f *Fleet) UpdateServer(s Server) {
	b := f.backends[s.ID]
	if b == nil {
		b = &Backend{fleet: f, inflight: map[string]int{}}
		f.backends[s.ID] = b
	}
	if b.server.Started != s.Started {
		b.stood, b.rest = 0, 0
	}
	defer f.index(b, b.ModelNames())
	b.server, b.disowned = s, false
	f.pools = nil
	if w, ok := f.unlisted[s.ID]; ok {
		delete(f.unlisted, s.ID)
		f.UpdateStatus(w.told, w.state)
	}
}

// RemoveServer removes a server that is listed no more.
func (f *Fleet) RemoveServer(id string) {
	b := f.backends[id]
	if b == nil {
		return
	}
	delete(f.backends, id)
	f.pools = nil
	for name := range b.ModelNames() {
		f.unindex(b, name)
	}
}

// RefreshStatuses takes note that the sidecars that are not lost are heard at an instant.
func (f *Fleet) RefreshStatuses(now time.Duration) { f.heard = now }

// MarkSidecarLost takes note that the sidecar of a server has fallen silent.
func (f *Fleet) MarkSidecarLost(now time.Duration, id string) {
	delete(f.unlisted, id)
	if b := f.backends[id]; b != nil && b.lost == 0 {
		b.lost = now
	}
}

// UpdateStatus takes a sidecar's word on its engine. It reports false for a server that is
// not listed yet; the word counts once it is.
func (f *Fleet) UpdateStatus(now time.Duration, s *wire.EngineStatus) bool {
	b := f.backends[s.GetServer()]
	if b == nil {
		f.keep(now, s)
		return false
	}
	if b.server.Started != s.GetBorn() {
		return true
	}
	before := b.ModelNames()
	b.state, b.told, b.lost, b.disowned = s, now, 0, false
	f.index(b, before)
	b.others = max(0, int(s.GetRunning()+s.GetWaiting())-b.sum)
	b.heard = now
	return true
}

// keep keeps a word on a server that is not listed, and forgets the old ones.
func (f *Fleet) keep(now time.Duration, s *wire.EngineStatus) {
	for id, w := range f.unlisted {
		if now-w.told > stateLife {
			delete(f.unlisted, id)
		}
	}
	if s.GetServer() != "" {
		f.unlisted[s.GetServer()] = word{state: s, told: now}
	}
}

// RecordLoad takes the load that a server told with an answer.
func (f *Fleet) RecordLoad(now time.Duration, id string, requests int) {
	if b := f.backends[id]; b != nil {
		b.others, b.heard = max(0, requests-b.sum), now
	}
}

// StartRequest counts a request of this entry in at an instant, under the names of its
// model and adapter.
func (f *Fleet) StartRequest(now time.Duration, id string, names ...string) {
	b := f.backends[id]
	if b == nil {
		return
	}
	if len(b.inflight) == 0 {
		b.busy = now
	}
	b.sum++
	b.pending++
	for _, name := range names {
		b.inflight[name]++
	}
}

// MarkPromptRead takes note that a server has read the prompt of a request.
func (f *Fleet) MarkPromptRead(id string) {
	if b := f.backends[id]; b != nil && b.pending > 0 {
		b.pending--
	}
}

// EndRequest counts a request of this entry out at an instant, that had begun or not. A
// server that has been silent until its last request left stands still.
func (f *Fleet) EndRequest(now time.Duration, id string, begun bool, names ...string) {
	b := f.backends[id]
	if b == nil || b.sum == 0 {
		return
	}
	silent := b.StallScore(now) > 0
	b.sum--
	if !begun {
		f.MarkPromptRead(id)
	}
	for _, name := range names {
		if b.inflight[name]--; b.inflight[name] <= 0 {
			delete(b.inflight, name)
		}
	}
	if silent && len(b.inflight) == 0 {
		b.MarkStalled(now)
	}
}

// Pool returns the servers of a pool that take new work, by id. Of several at one
// address, only the one that was started last can be there.
func (f *Fleet) Pool(name string) []*Backend {
	f.sort()
	var list []*Backend
	for _, b := range f.pools[name] {
		if f.takes(b) {
			list = append(list, b)
		}
	}
	return list
}

// takes reports whether a server takes new work.
func (f *Fleet) takes(b *Backend) bool {
	f.sort()
	return b.serving && !b.disowned && !f.leaves(b)
}

// sort parts the servers that are listed as taking new work by pool, if the list has
// changed.
func (f *Fleet) sort() {
	if f.pools != nil {
		return
	}
	newest := map[string]*Backend{}
	for _, b := range f.backends {
		b.serving = false
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

// All returns all servers, by id.
func (f *Fleet) All() []*Backend {
	return slices.SortedFunc(maps.Values(f.backends), byID)
}

// Get returns the server with that id, or nil.
func (f *Fleet) Get(id string) *Backend { return f.backends[id] }

// ReportingSidecars returns the number of engines whose sidecars are heard.
func (f *Fleet) ReportingSidecars(now time.Duration) int {
	n := 0
	for _, b := range f.backends {
		if b.Status(now) != nil {
			n++
		}
	}
	return n
}
