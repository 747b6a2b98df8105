// Package tracker keeps what an entry believes of the backend servers: what the
// platform lists, what their sidecars tell, and what this entry has under way.
package tracker

import (
	"cmp"
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
	// Born is the start of the server's process, in Unix milliseconds.
	Born int64
	Holding
}

// Holding is what an engine holds.
type Holding struct {
	// Models are the models and adapters that serve requests, sorted by name.
	Models []string
	// Coming are the adapters that are being loaded.
	Coming []string
	// Memory and Disk list the models whose weights are cached on the instance.
	Memory []string
	Disk   []string
}

// Load is the duration of the load of a base model by where its checkpoint is
// cached. It reports whether the checkpoint comes from the weight store.
func (h Holding) Load(m *wire.Model) (took time.Duration, fetch bool) {
	switch {
	case slices.Contains(h.Memory, m.GetName()):
		return timer.Span(m.GetMemory()), false
	case slices.Contains(h.Disk, m.GetName()):
		return timer.Span(m.GetDisk()), false
	}
	return timer.Span(m.GetRemote()), true
}

// Has reports whether a model or adapter serves requests.
func (h Holding) Has(name string) bool {
	_, ok := slices.BinarySearch(h.Models, name)
	return ok
}

// word is what a sidecar told at an instant.
type word struct {
	state *wire.Condition
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
	// parted are the starts of the servers that have said that they leave, by id.
	parted map[string]int64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{backends: map[string]*Backend{}, unlisted: map[string]word{}, parted: map[string]int64{}}
}

// List takes a server as the platform lists it now.
func (f *Fleet) List(s Server) {
	b := f.backends[s.ID]
	if b == nil {
		b = &Backend{inflight: map[string]int{}}
		f.backends[s.ID] = b
	}
	if b.server.Born != s.Born {
		b.stood, b.rest = 0, 0
	}
	b.server, b.doubted, b.disowned = s, 0, false
	f.pools = nil
	if w, ok := f.unlisted[s.ID]; ok {
		delete(f.unlisted, s.ID)
		f.Tell(w.told, w.state)
	}
}

// Doubt keeps a server until an instant though it is listed no more, since the
// platform's list may lack it for a while.
func (f *Fleet) Doubt(id string, until time.Duration) {
	if b := f.backends[id]; b != nil {
		b.doubted = until
	}
}

// Sweep drops the servers that were doubted for long enough and returns their
// ids.
func (f *Fleet) Sweep(now time.Duration) []string {
	var gone []string
	for id, b := range f.backends {
		if b.doubted > 0 && now >= b.doubted {
			f.Drop(id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Drop removes a server that is listed no more.
func (f *Fleet) Drop(id string) {
	delete(f.backends, id)
	f.pools = nil
}

// Tell takes a sidecar's word on its engine. It reports false for a server that is
// not listed yet; the word counts once it is.
func (f *Fleet) Tell(now time.Duration, s *wire.Condition) bool {
	b := f.backends[s.GetServer()]
	if b == nil {
		f.keep(now, s)
		return false
	}
	if b.server.Born != s.GetBorn() {
		return true
	}
	b.state, b.told, b.disowned = s, now, false
	b.others = max(0, int(s.GetRunning()+s.GetWaiting())-b.sum)
	b.heard = now
	return true
}

// keep keeps a word on a server that is not listed, and forgets the old ones.
func (f *Fleet) keep(now time.Duration, s *wire.Condition) {
	for id, w := range f.unlisted {
		if now-w.told > stateLife {
			delete(f.unlisted, id)
		}
	}
	if s.GetServer() != "" {
		f.unlisted[s.GetServer()] = word{state: s, told: now}
	}
}

// Hear takes the load that a server told with an answer.
func (f *Fleet) Hear(now time.Duration, id string, requests int) {
	if b := f.backends[id]; b != nil {
		b.others, b.heard = max(0, requests-b.sum), now
	}
}

// Begin counts a request of this entry in at an instant, under the names of its
// model and adapter.
func (f *Fleet) Begin(now time.Duration, id string, names ...string) {
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

// Begun takes note that a server has read the prompt of a request.
func (f *Fleet) Begun(id string) {
	if b := f.backends[id]; b != nil && b.pending > 0 {
		b.pending--
	}
}

// End counts a request of this entry out at an instant, that had begun or not. A
// server that has been silent until its last request left stands still.
func (f *Fleet) End(now time.Duration, id string, begun bool, names ...string) {
	b := f.backends[id]
	if b == nil || b.sum == 0 {
		return
	}
	silent := b.Silence(now) > 0
	b.sum--
	if !begun {
		f.Begun(id)
	}
	for _, name := range names {
		if b.inflight[name]--; b.inflight[name] <= 0 {
			delete(b.inflight, name)
		}
	}
	if silent && len(b.inflight) == 0 {
		b.Stand(now)
	}
}

// Pool returns the servers of a pool that take new work, by id. Of several at one
// address, only the one that was started last can be there.
func (f *Fleet) Pool(name string) []*Backend {
	if f.pools == nil {
		f.pools = f.sort()
	}
	var list []*Backend
	for _, b := range f.pools[name] {
		if !b.disowned && !f.leaves(b) {
			list = append(list, b)
		}
	}
	return list
}

// sort returns the servers of each pool that are listed as taking new work.
func (f *Fleet) sort() map[string][]*Backend {
	newest := map[string]*Backend{}
	for _, b := range f.backends {
		if n := newest[b.server.Address]; n == nil || b.server.Born > n.server.Born {
			newest[b.server.Address] = b
		}
	}
	pools := map[string][]*Backend{}
	for _, b := range newest {
		if !b.server.Leaving {
			pools[b.server.Pool] = append(pools[b.server.Pool], b)
		}
	}
	for _, list := range pools {
		slices.SortFunc(list, func(a, b *Backend) int { return cmp.Compare(a.server.ID, b.server.ID) })
	}
	return pools
}

// Get returns the server with that id, or nil.
func (f *Fleet) Get(id string) *Backend { return f.backends[id] }

// At returns the server at an address, or nil.
func (f *Fleet) At(address string) *Backend {
	for _, b := range f.backends {
		if b.server.Address == address {
			return b
		}
	}
	return nil
}

// Watched returns the number of engines whose sidecars are heard.
func (f *Fleet) Watched(now time.Duration) int {
	n := 0
	for _, b := range f.backends {
		if b.State(now) != nil {
			n++
		}
	}
	return n
}
