package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/checker"
	"oleanderstall/configurer"
	"oleanderstall/follower"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/platform"
	"oleanderstall/recorder"
	"oleanderstall/storer"
	"oleanderstall/timer"
)

// Periods with which a hosted entry follows the store.
const (
	configWait   = 4 * time.Second
	serverWait   = 2 * time.Second
	serverPeriod = 900 * time.Millisecond
	// serverShare and memberShare are what each entry adds to the periods beyond
	// them, up to longestPeriod, so that the store gets about as many calls from a
	// fleet of any size.
	serverShare   = 150 * time.Millisecond
	memberShare   = 100 * time.Millisecond
	longestPeriod = 2500 * time.Millisecond
)

// hosted is what both roles have in common on a platform that hosts them.
type hosted struct {
	settings atomic.Pointer[checker.Settings]
	log      *log.Logger
	clock    timer.Clock
	store    *platform.Store
	node     *peer.Node
	started  int64
	copy     *configurer.Configurer
	recorder *recorder.Recorder
	meter    *meter.Meter
	tasks    *group
	admin    *server
}

func newHosted(s *checker.Settings, l *log.Logger) *hosted {
	h := &hosted{
		log:      l,
		clock:    timer.Now,
		started:  time.Now().UnixNano(),
		copy:     configurer.New(),
		recorder: recorder.New(s.Name, records),
		meter:    meter.New(),
		tasks:    newGroup(),
	}
	h.store = platform.NewStore(s.Hosted.Store, h.called)
	h.settings.Store(s)
	return h
}

// startAdmin serves metrics and health. A process whose address for them is taken
// serves without them.
func (h *hosted) startAdmin(ready func() bool) {
	var err error
	if h.admin, err = listenAdmin(h.settings.Load().Admin, h.meter, ready); err != nil {
		h.log.Error().Err(err).Msg("start: no metrics")
	}
}

// called counts a call to the store.
func (h *hosted) called(call string, took time.Duration, err error) {
	h.meter.Call(call, storer.Outcome(err), took)
}

// Meter returns the metrics of the process.
func (h *hosted) Meter() *meter.Meter { return h.meter }

// Reload takes settings that were changed. A stop that comes later goes by them.
func (h *hosted) Reload(s *checker.Settings) { h.settings.Store(s) }

// join makes this process known to the others and opens its connection to them.
func (h *hosted) join(ctx context.Context, in storer.Instance, handle peer.Handler) error {
	var text string
	err := insist(ctx, h.log, "reading the fleet's secret", func(ctx context.Context) (err error) {
		text, err = secret(ctx, h.store)
		return err
	})
	if err != nil {
		return err
	}
	s := h.settings.Load()
	identity, err := peer.NewIdentity(text, s.Name)
	if err != nil {
		return err
	}
	if h.node, err = peer.New(s.Peer, identity); err != nil {
		return err
	}
	h.tasks.run(func(ctx context.Context) { h.node.Serve(ctx, handle) })
	in.Name, in.Role, in.Centre = s.Name, s.Role, s.Centre
	in.Address, in.Started = h.node.Address(), h.started
	return insist(ctx, h.log, "joining the fleet", func(ctx context.Context) error {
		return register(ctx, h.store, in)
	})
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
		h.meter.Config(change.GetVersion())
		h.log.Info().Uint64("version", change.GetVersion()).Uint64("before", before).Uint64("row", r.Version).
			Int("routes", len(change.GetRoutes())).Int("keys", len(change.GetKeys())).Msg("config: in force")
	}
}
