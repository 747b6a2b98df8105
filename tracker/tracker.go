// Package tracker keeps what an entry believes of the backend servers: what the
// platform lists, what their sidecars tell, and what this entry has under way.
package tracker

import (
	"cmp"
	"slices"
	"time"
)

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
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64
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

// Has reports whether a model or adapter serves requests.
func (h Holding) Has(name string) bool {
	_, ok := slices.BinarySearch(h.Models, name)
	return ok
}

// Backend is a backend server with this entry's view of it.
type Backend struct {
	server   Server
	inflight int
	// queue is the number of requests that others have there, as of the instant at.
	others int
	at     time.Duration
}

// Server returns what is listed.
func (b *Backend) Server() Server { return b.server }

// Inflight returns the number of this entry's requests there.
func (b *Backend) Inflight() int { return b.inflight }

// Fleet holds the backend servers by id. It is not safe for concurrent use.
type Fleet struct {
	backends map[string]*Backend
}

// New returns an empty fleet.
func New() *Fleet { return &Fleet{backends: map[string]*Backend{}} }

// List takes a server as the platform lists it now.
func (f *Fleet) List(s Server) {
	b := f.backends[s.ID]
	if b == nil {
		b = &Backend{}
		f.backends[s.ID] = b
	}
	b.server = s
}

// Drop removes a server that is listed no more.
func (f *Fleet) Drop(id string) { delete(f.backends, id) }

// Begin counts a request of this entry in.
func (f *Fleet) Begin(id string) {
	if b := f.backends[id]; b != nil {
		b.inflight++
	}
}

// End counts a request of this entry out.
func (f *Fleet) End(id string) {
	if b := f.backends[id]; b != nil && b.inflight > 0 {
		b.inflight--
	}
}

// Pool returns the servers of a pool that take new work, by id.
func (f *Fleet) Pool(name string) []*Backend {
	var list []*Backend
	for _, b := range f.backends {
		if b.server.Pool == name && !b.server.Leaving {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *Backend) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return list
}

// Get returns the server with that id, or nil.
func (f *Fleet) Get(id string) *Backend { return f.backends[id] }
