package runner

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"oleanderstall/admitter"
	"oleanderstall/checker"
	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/follower"
	"oleanderstall/locator"
	"oleanderstall/meter"
	"oleanderstall/platform"
	"oleanderstall/recorder"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
)

// memoryPart is the part of a process's memory that the garbage collector may
// let the heap grow to.
const memoryPart = 0.7

// Periods with which a hosted entry follows the store.
const (
	configWait   = time.Second
	serverWait   = time.Second
	serverPeriod = 500 * time.Millisecond
)

// hosted is what both roles have in common on a platform that hosts them.
type hosted struct {
	settings *checker.Settings
	log      *log.Logger
	clock    timer.Clock
	store    *platform.Store
	copy     *configurer.Configurer
	recorder *recorder.Recorder
	meter    *meter.Meter
	tasks    *group
}

func newHosted(s *checker.Settings, l *log.Logger) *hosted {
	if s.Hosted.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Hosted.Memory) * memoryPart))
	}
	runtime.GOMAXPROCS(1)
	return &hosted{
		settings: s,
		log:      l,
		clock:    timer.Now,
		store:    platform.NewStore(s.Hosted.Store),
		copy:     configurer.New(),
		recorder: recorder.New(s.Name, records),
		meter:    meter.New(),
		tasks:    newGroup(),
	}
}

// follow keeps a copy of a table in step until the process ends.
func (h *hosted) follow(t follower.Terms, apply func(time.Duration, []storer.Row)) *follower.Follower {
	f := follower.New(t, h.clock, h.store, apply, h.log)
	h.tasks.run(f.Run)
	return f
}

// configured brings a new configuration into force.
func (h *hosted) configured(_ time.Duration, rows []storer.Row) {
	for _, r := range rows {
		if r.Key != platform.ConfigKey || r.Deleted {
			continue
		}
		change, err := platform.Config(r.Value)
		if err != nil {
			h.log.Error().Err(err).Uint64("row", r.Version).Msg("config: unreadable, the one before stays in force")
			continue
		}
		before := h.copy.View().Version()
		h.copy.Restore(change)
		h.log.Info().Uint64("version", change.GetVersion()).Uint64("before", before).Uint64("row", r.Version).
			Int("routes", len(change.GetRoutes())).Int("keys", len(change.GetKeys())).Msg("config: in force")
	}
}

// HostedEntry is a running entry on a platform that hosts it.
type HostedEntry struct {
	*hosted
	locator *locator.Locator
	core    *dispatcher.Core
	front   *platform.Front
	callers *server
	ready   *server
}

// StartHostedEntry starts an entry. It returns once all listeners are open.
func StartHostedEntry(s *checker.Settings, l *log.Logger) (*HostedEntry, error) {
	e := &HostedEntry{hosted: newHosted(s, l)}
	e.locator = locator.New(s.Centre, e.clock, l)
	backends := platform.NewBackends(e.clock)
	e.core = dispatcher.NewCore(e.clock, unlimited{}, e.locator, backends, granted{}, router.NewBudget(0.1, 10), e.recorder, e.meter, l)
	e.front = platform.NewFront(e)
	var err error
	if e.callers, err = listen(s.Entry.Callers, e.front, nil); err != nil {
		return nil, err
	}
	if e.ready, err = listen(s.Hosted.Ready, platform.Ready(e.isReady), nil); err != nil {
		return nil, err
	}
	e.tasks.run(backends.Run)
	e.follow(follower.Terms{Table: platform.ConfigTable, Wait: configWait}, e.configured)
	e.follow(follower.Terms{Table: platform.ServerTable, Wait: serverWait, Period: serverPeriod}, e.listed)
	return e, nil
}

// unlimited charges nothing.
type unlimited struct{}

// Charge implements dispatcher.Charger.
func (unlimited) Charge(context.Context, *dispatcher.Request) (*dispatcher.Bill, error) {
	return &dispatcher.Bill{}, nil
}

// Settle implements dispatcher.Charger.
func (unlimited) Settle(*dispatcher.Bill, float64) {}

// granted lets every stream that has begun go on.
type granted struct{}

// Granted implements dispatcher.Checker.
func (granted) Granted(string) bool { return true }

func (e *HostedEntry) isReady() bool { return e.copy.View().Version() > 0 }

// listed takes changes of the list of backend servers.
func (e *HostedEntry) listed(_ time.Duration, rows []storer.Row) {
	for _, r := range rows {
		s, err := platform.Server(r)
		if r.Deleted {
			e.log.Info().Str("server", s.ID).Str("key", r.Key).Uint64("row", r.Version).Msg("server: gone")
			e.locator.Drop(r.Key[len(platform.ServerTable)+1:])
			continue
		}
		if err != nil {
			e.log.Warn().Err(err).Uint64("row", r.Version).Msg("server: unreadable row")
			continue
		}
		e.log.Info().Str("server", s.ID).Str("pool", s.Pool).Str("address", s.Address).Bool("leaving", s.Leaving).
			Uint64("sequence", s.Sequence).Strs("models", s.Models).Uint64("row", r.Version).Msg("server: listed")
		e.locator.List(s)
	}
}

// Body implements platform.Handler.
func (e *HostedEntry) Body() int64 { return int64(e.copy.View().Limits().GetBody()) }

// Serve implements platform.Handler.
func (e *HostedEntry) Serve(ctx context.Context, q *admitter.Inquiry, out *platform.Reply) error {
	r, err := admitter.Admit(e.clock(), e.copy.View(), q)
	if err != nil {
		e.log.Info().Str("request", q.ID).Str("host", q.Host).Str("path", q.Path).Err(err).Msg("not admitted")
		return err
	}
	call := q.Content.(*platform.Call)
	call.Workspace = r.Workspace
	_, err = e.core.Serve(ctx, r, out)
	return err
}

// Addresses returns where the entry listens.
func (e *HostedEntry) Addresses() Addresses { return Addresses{Callers: e.callers.address()} }

// Run serves until ctx ends, and then drains.
func (e *HostedEntry) Run(ctx context.Context) {
	<-ctx.Done()
	e.Stop()
}

// Stop drains the entry.
func (e *HostedEntry) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Hosted.Grace))
	defer cancel()
	e.front.Drain()
	e.callers.stop(ctx)
	e.ready.stop(ctx)
	e.tasks.stop()
}

var (
	_ http.Handler = (*platform.Front)(nil)
	_ net.Listener
	_ = eris.Wrap
)
