// Package locator finds the backend server for a request from what the entry
// believes of the fleet. A request for a model that no server has waits for it.
package locator

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/tracker"
)

// Locator finds backend servers. It is safe for concurrent use.
type Locator struct {
	centre string
	clock  timer.Clock
	log    *log.Logger

	mu    sync.Mutex
	fleet *tracker.Fleet
}

// New returns a locator of an entry in a data centre.
func New(centre string, clock timer.Clock, l *log.Logger) *Locator {
	return &Locator{centre: centre, clock: clock, log: l, fleet: tracker.New()}
}

// List takes a server as the platform lists it now.
func (l *Locator) List(s tracker.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.List(s)
}

// Drop removes a server that is listed no more.
func (l *Locator) Drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Drop(id)
}

// Find implements dispatcher.Finder.
func (l *Locator) Find(_ context.Context, r *dispatcher.Request, h *dispatcher.History) (*dispatcher.Place, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *tracker.Backend
	for _, b := range l.fleet.Pool(r.Pool) {
		s := b.Server()
		if h.Tried[s.ID] || !holds(s, r) {
			continue
		}
		if best == nil || b.Inflight() < best.Inflight() {
			best = b
		}
	}
	if best == nil {
		return nil, refuser.New(refuser.Absent, "no backend server has the model").After(time.Second)
	}
	return l.place(best), nil
}

// holds reports whether a server can run r now.
func holds(s tracker.Server, r *dispatcher.Request) bool {
	if r.Model == "" {
		return true
	}
	return s.Has(r.Model) && (r.Adapter == "" || s.Has(r.Adapter))
}

func (l *Locator) place(b *tracker.Backend) *dispatcher.Place {
	s := b.Server()
	l.fleet.Begin(s.ID)
	return &dispatcher.Place{
		Name:    s.ID,
		Address: s.Address,
		Expect:  s.ID,
		Urgency: 5,
		Release: func(dispatcher.Report) { l.release(s.ID) },
	}
}

func (l *Locator) release(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.End(id)
}
