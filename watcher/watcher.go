// Package watcher keeps an entry in touch with the sidecars: it watches the state
// of each engine and tells the sidecar what the entry wants of it.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Periods of the exchange with one sidecar.
const (
	// tellLeast is the shortest and tellMost the longest time between two messages.
	tellLeast = 20 * time.Millisecond
	tellMost  = 500 * time.Millisecond
	// idleMost is the longest time between two messages of which the first says
	// that the entry neither waits for the engine nor uses it.
	idleMost  = 2 * time.Second
	tellLimit = 700 * time.Millisecond
	// silence ends a watch on which no state arrives, though one is due each
	// second.
	silence = 2200 * time.Millisecond
	// pauseLeast and pauseMost bound the pause before a watch is tried again.
	pauseLeast = 100 * time.Millisecond
	pauseMost  = time.Second
)

// Desk is the entry's knowledge of the engines.
type Desk interface {
	// State takes a sidecar's word on its engine. It reports false if the engine is
	// not listed yet.
	State(s *wire.Condition) bool
	// Tell returns what the sidecar of a server is to know.
	Tell(server string) *wire.Tell
	// Wanted returns a channel that is signalled when there is something to tell.
	Wanted(server string) <-chan struct{}
}

// Watcher watches the sidecars. It is safe for concurrent use.
type Watcher struct {
	name   string
	caller peer.Caller
	desk   Desk
	log    *log.Logger
	done   chan struct{}

	mu      sync.Mutex
	ctx     context.Context
	tasks   sync.WaitGroup
	watched map[string]watch
}

// watch is the task for one sidecar.
type watch struct {
	in     storer.Instance
	cancel context.CancelFunc
}

// New returns a watcher of an entry. It watches nothing before Run.
func New(name string, c peer.Caller, d Desk, l *log.Logger) *Watcher {
	return &Watcher{name: name, caller: c, desk: d, log: l, done: make(chan struct{}), watched: map[string]watch{}}
}

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run keeps the watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	w.mu.Lock()
	w.ctx = ctx
	for name, t := range w.watched {
		w.watched[name] = w.start(t.in)
	}
	w.mu.Unlock()
	<-ctx.Done()
	w.tasks.Wait()
}

// Add watches a sidecar, in place of an earlier process of the same name.
func (w *Watcher) Add(in storer.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	have, ok := w.watched[in.Name]
	if ok && have.in == in {
		return
	}
	w.stop(in.Name)
	w.watched[in.Name] = watch{in: in}
	if w.ctx != nil {
		w.watched[in.Name] = w.start(in)
	}
}

// Remove ends the watch of a sidecar.
func (w *Watcher) Remove(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop(name)
	delete(w.watched, name)
}

// stop ends a task. The caller holds the lock.
func (w *Watcher) stop(name string) {
	if t, ok := w.watched[name]; ok && t.cancel != nil {
		t.cancel()
	}
}

// start begins a task. The caller holds the lock.
func (w *Watcher) start(in storer.Instance) watch {
	ctx, cancel := context.WithCancel(w.ctx)
	w.tasks.Go(func() { w.keep(ctx, in) })
	return watch{in: in, cancel: cancel}
}

// keep watches one sidecar until ctx ends.
func (w *Watcher) keep(ctx context.Context, in storer.Instance) {
	pause := pauseLeast
	for ctx.Err() == nil {
		met, err := w.watch(ctx, in)
		if ctx.Err() != nil {
			return
		}
		if met {
			pause = pauseLeast
			w.log.Warn().Str("sidecar", in.Name).Err(err).Msg("sidecar: lost")
		}
		sleep(ctx, pause)
		pause = min(2*pause, pauseMost)
	}
}

// watch takes the states of one sidecar until the stream ends. It reports whether
// one arrived.
func (w *Watcher) watch(ctx context.Context, in storer.Instance) (met bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := w.caller.Open(ctx, in.Address, &wire.Call{Body: &wire.Call_Watch{Watch: &wire.Watch{Entry: w.name}}})
	if err != nil {
		return false, err
	}
	defer s.Cancel()
	quiet := time.AfterFunc(silence, cancel)
	defer quiet.Stop()
	told := ""
	for {
		reply, err := s.Recv()
		if err != nil {
			return met, err
		}
		quiet.Reset(silence)
		state := reply.GetCondition()
		if state == nil {
			return met, peer.Unexpected(reply)
		}
		if !met {
			w.log.Info().Str("sidecar", in.Name).Str("server", state.GetServer()).Msg("sidecar: answers")
		}
		met = true
		w.desk.State(state)
		if server := state.GetServer(); server != "" && server != told {
			told = server
			w.tasks.Go(func() { w.tell(ctx, in, server) })
		}
	}
}

// tell tells one sidecar what is wanted of its engine until ctx ends.
func (w *Watcher) tell(ctx context.Context, in storer.Instance, server string) {
	wanted := w.desk.Wanted(server)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, tellLimit)
		news := w.desk.Tell(server)
		_, err := peer.One(limited, w.caller, in.Address, &wire.Call{Body: &wire.Call_Tell{Tell: news}})
		cancel()
		if err != nil && ctx.Err() == nil {
			w.log.Warn().Str("sidecar", in.Name).Err(err).Msg("sidecar: not told")
		}
		sleep(ctx, tellLeast)
		t := time.NewTimer(longest(news))
		select {
		case <-ctx.Done():
		case <-wanted:
		case <-t.C:
		}
		t.Stop()
	}
}

// longest is the longest time until the next message to a sidecar.
func longest(t *wire.Tell) time.Duration {
	if t.GetIdle() {
		return idleMost
	}
	return tellMost
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
