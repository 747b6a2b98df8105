// Package tracker keeps what an entry believes of the backend servers: what the
// platform lists, what their sidecars tell, and what this entry has under way.
package tracker

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
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

// Backend is a backend server with this entry's view of it.
type Backend struct {
	server Server
	// state is what the sidecar told last, at the instant told.
	state *wire.Condition
	told  time.Duration
	// inflight counts this entry's requests there, by model.
	inflight map[string]int
	sum      int
	// pending counts those whose prompts were not read yet.
	pending int
	// trouble is the part of the attempts of late that failed, as of the instant
	// failed.
	trouble float64
	failed  time.Duration
	// others is the number of other entries' requests, as of the instant heard.
	others int
	heard  time.Duration
	// strain is how near the answers of late came to being late, 1 being just so.
	strain float64
	felt   time.Duration
	// alive is the instant of the latest event from the server, in nanoseconds, and
	// busy that since which it has had a request of this entry.
	alive atomic.Int64
	busy  time.Duration
	// disowned is set once an answer from the server's address was not its own.
	disowned bool
	// doubted is the instant at which a server is dropped unless it is listed again,
	// or 0.
	doubted time.Duration
}

// Server returns what is listed.
func (b *Backend) Server() Server { return b.server }

// Inflight returns the number of this entry's requests there.
func (b *Backend) Inflight() int { return b.sum }

// InflightOf returns the number of this entry's requests there for a model or
// adapter.
func (b *Backend) InflightOf(name string) int { return b.inflight[name] }

// Pending returns the number of this entry's requests whose prompts the server has
// not read yet.
func (b *Backend) Pending() int { return b.pending }

// troubleTime is the time in which past failures come to count for a third, and
// troubleWeight the weight of a new attempt.
const (
	troubleTime   = 3 * time.Second
	troubleWeight = 0.3
)

// Trouble is the part of the attempts of late that failed. It fades while there are
// none, so that the server is tried again.
func (b *Backend) Trouble(now time.Duration) float64 {
	return b.trouble * math.Exp(-float64(max(0, now-b.failed))/float64(troubleTime))
}

// Try takes note of the end of an attempt.
func (b *Backend) Try(now time.Duration, failed bool) {
	next := b.Trouble(now) * (1 - troubleWeight)
	if failed {
		next += troubleWeight
	}
	b.trouble, b.failed = next, now
}

// Limits of the silence of a server that has requests of this entry.
const (
	// quietTime is the longest silence that says nothing.
	quietTime = 700 * time.Millisecond
	// stillTime is the further silence after which the server counts as one at which
	// every attempt fails.
	stillTime = 700 * time.Millisecond
)

// Alive takes note of an event from the server. It may be called at any time.
func (b *Backend) Alive(now time.Duration) { b.alive.Store(int64(now)) }

// Silence is how far an engine is towards standing still, from 0 to 1: it has
// requests of this entry for models, and no event has come for long.
func (b *Backend) Silence(now time.Duration) float64 {
	if len(b.inflight) == 0 {
		return 0
	}
	quiet := now - max(b.busy, time.Duration(b.alive.Load())) - quietTime
	return min(1, max(0, float64(quiet)/float64(stillTime)))
}

// Load estimates the requests at the server.
func (b *Backend) Load() int { return b.sum + b.others }

// strainTime is the time in which a past strain comes to count for a third, and
// strainWeight the weight of a new answer.
const (
	strainTime   = 3 * time.Second
	strainWeight = 0.25
)

// Strain is how near the answers of late came to being late, 1 being just so. It
// fades while there are none.
func (b *Backend) Strain(now time.Duration) float64 {
	return b.strain * math.Exp(-float64(max(0, now-b.felt))/float64(strainTime))
}

// Feel takes note of how near an answer came to being late.
func (b *Backend) Feel(now time.Duration, strain float64) {
	b.strain = b.Strain(now)*(1-strainWeight) + min(strain, 2)*strainWeight
	b.felt = now
}

// State returns what the sidecar told, or nil if it is silent.
func (b *Backend) State(now time.Duration) *wire.Condition {
	if b.state == nil || now-b.told > stateLife {
		return nil
	}
	return b.state
}

// Holding returns what the engine holds, by the sidecar's word or, if it is
// silent, by the list.
func (b *Backend) Holding(now time.Duration) Holding {
	s := b.State(now)
	if s == nil || s.GetBorn() != b.server.Born {
		return b.server.Holding
	}
	return Holding{Models: s.GetModels(), Coming: s.GetComing(), Memory: s.GetMemory(), Disk: s.GetDisk()}
}

// Rate returns the requests a second for a model of late, through all entries.
func (b *Backend) Rate(now time.Duration, model string) float64 {
	for _, r := range b.State(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetRate()
		}
	}
	return 0
}

// Closing reports whether a model is about to be unloaded.
func (b *Backend) Closing(now time.Duration, model string) bool {
	for _, r := range b.State(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetClosing()
		}
	}
	return false
}

// Disown takes note that what answered at the server's address does not serve as
// listed. The server gets no work until it is listed anew or its sidecar speaks. The
// word of a sidecar that is heard goes before such an answer.
func (b *Backend) Disown(now time.Duration) {
	if b.State(now) == nil {
		b.disowned = true
	}
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
}

// New returns an empty fleet.
func New() *Fleet { return &Fleet{backends: map[string]*Backend{}, unlisted: map[string]word{}} }

// List takes a server as the platform lists it now.
func (f *Fleet) List(s Server) {
	b := f.backends[s.ID]
	if b == nil {
		b = &Backend{inflight: map[string]int{}}
		f.backends[s.ID] = b
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

// End counts a request of this entry out that had begun or not.
func (f *Fleet) End(id string, begun bool, names ...string) {
	b := f.backends[id]
	if b == nil || b.sum == 0 {
		return
	}
	b.sum--
	if !begun {
		f.Begun(id)
	}
	for _, name := range names {
		if b.inflight[name]--; b.inflight[name] <= 0 {
			delete(b.inflight, name)
		}
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
		if !b.disowned && !b.state.GetLeaving() {
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
