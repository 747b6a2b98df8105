package runner

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/charger"
	"oleanderstall/checker"
	"oleanderstall/configurer"
	"oleanderstall/follower"
	"oleanderstall/lister"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/platform"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/relayer"
	"oleanderstall/storer"
	"oleanderstall/subscriber"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Times with which a process follows the store: the longest that a call waits for news,
// and the shortest between two calls.
const (
	configWait   = 25 * time.Second
	configPeriod = 200 * time.Millisecond
	fleetWait    = 20 * time.Second
	fleetPeriod  = time.Second
	// relayWait is fleetWait of a relay, which would miss new processes for as long if a
	// call were lost.
	relayWait = 3 * time.Second
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

	// book knows the processes of the fleet, relayer is the relay in this process.
	book    *subscriber.Membership
	relayer *relayer.Relayer
	// configs, fleet and lister follow the tables of the store.
	configs *follower.Follower
	fleet   *follower.Follower
	lister  *lister.Lister
	// catching is set while a configuration is fetched from another process.
	catching atomic.Bool
	// changed is told of a new configuration, and listed of changes of the list.
	changed func()
	listed  func(proven time.Duration, items []*wire.ListedServer)
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
		book:     subscriber.NewMembership(),
	}
	h.store = platform.NewStore(s.Hosted.Store, h.called)
	h.settings.Store(s)
	h.relayer = relayer.New(&wire.Link{Name: s.Name, Centre: s.Centre, Started: h.started}, h.clock, h.copy, l)
	h.configs = follower.New(follower.Options{Table: platform.ConfigTable, Wait: configWait, Period: configPeriod}, h.clock, h.store, h.configured, l)
	h.fleet = follower.New(follower.Options{Table: storer.FleetTable, Wait: fleetWait, Period: fleetPeriod}, h.clock, h.store, h.joined, l)
	h.lister = lister.New(platform.ServerTable, platform.Server, h.clock, h.store, h.list, l)
	h.lister.Follower().Suspend(true)
	h.configs.Suspend(s.Role == "sidecar")
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

// join opens this process to the others, once it knows them. It returns the process as
// they are to know it.
func (h *hosted) join(ctx context.Context) (storer.Instance, error) {
	select {
	case <-h.fleet.Synced():
	case <-ctx.Done():
		return storer.Instance{}, ctx.Err()
	}
	var text string
	err := insist(ctx, h.log, "reading the fleet's secret", func(ctx context.Context) (err error) {
		known, _ := h.fleet.Row(storer.SecretKey)
		text, err = secret(ctx, h.store, known)
		return err
	})
	if err != nil {
		return storer.Instance{}, err
	}
	s := h.settings.Load()
	identity, err := peer.NewIdentity(text, s.Name)
	if err != nil {
		return storer.Instance{}, err
	}
	if h.node, err = peer.New(s.Peer, identity); err != nil {
		return storer.Instance{}, err
	}
	h.tasks.run(func(ctx context.Context) { h.node.Serve(ctx, h.handle) })
	return storer.Instance{Name: s.Name, Role: s.Role, Centre: s.Centre, Address: h.node.Address(), Started: h.started}, nil
}

// handle answers a call of another process.
func (h *hosted) handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	switch b := call.GetBody().(type) {
	case *wire.Call_Link:
		h.relayer.Handle(ctx, call, s)
	case *wire.Call_Probe:
		_ = s.Send(&wire.Reply{Body: &wire.Reply_News{News: h.news(b.Probe.GetVersion())}})
	default:
		_ = s.Send(refuser.New(refuser.Invalid, "this process does not answer this call").Reply())
	}
}

// news is the configuration, if it is newer than a version.
func (h *hosted) news(version uint64) *wire.ProbeResult {
	view := h.copy.View()
	news := &wire.ProbeResult{Version: view.Version()}
	if view.Version() > version {
		news.Changes = []*wire.Change{view.Snapshot()}
	}
	return news
}

// catchLimit bounds the fetch of a configuration from another process.
const catchLimit = time.Second

// hear takes what every batch of a relay tells.
func (h *hosted) hear(address string, t *wire.Batch) {
	if len(t.GetMembers()) > 0 {
		h.book.Update(t.GetMembers()...)
		h.relayer.UpdateMembers(t.GetMembers())
	}
	if t.GetConfig() > h.copy.View().Version() && h.catching.CompareAndSwap(false, true) {
		h.tasks.run(func(ctx context.Context) {
			defer h.catching.Store(false)
			h.catchUp(ctx, address)
		})
	}
}

// catchUp fetches the configuration from a process that has a newer one.
func (h *hosted) catchUp(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, catchLimit)
	defer cancel()
	before := h.copy.View().Version()
	reply, err := peer.One(limited, h.node, address, &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{Version: before}}})
	if err != nil {
		h.log.Warn().Err(err).Str("address", address).Msg("config: not fetched")
		return
	}
	for _, change := range reply.GetNews().GetChanges() {
		h.copy.Restore(change)
	}
	h.inForce(before, address)
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
		h.inForce(before, "store")
	}
}

// inForce takes note of a configuration that came from somewhere.
func (h *hosted) inForce(before uint64, source string) {
	view := h.copy.View()
	if view.Version() <= before {
		return
	}
	h.meter.Config(view.Version())
	h.relayer.SetLimits(charger.Limits(view, time.Duration(h.settings.Load().Hosted.Window)))
	h.log.Info().Uint64("version", view.Version()).Uint64("before", before).Str("source", source).
		Int("routes", len(view.Routes())).Int("keys", len(view.Keys())).Msg("config: in force")
	h.relayer.Wake()
	h.changed()
}

// joined takes changes of the list of processes.
func (h *hosted) joined(_ time.Duration, rows []storer.Row) {
	var members []*wire.Member
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, storer.MemberPrefix)
		if !ok {
			continue
		}
		m := &wire.Member{Name: name, Row: r.Version, Gone: r.Deleted}
		var in storer.Instance
		if err := json.Unmarshal(r.Value, &in); err != nil && !r.Deleted {
			h.log.Warn().Err(err).Str("process", name).Msg("process: unreadable row")
			continue
		}
		m.Role, m.Centre, m.Address, m.Started, m.Backend = in.Role, in.Centre, in.Address, in.Started, in.Backend
		members = append(members, m)
	}
	if len(members) == 0 {
		return
	}
	h.log.Info().Int("changed", len(members)).Msg("processes: listed")
	h.book.Update(members...)
	h.relayer.UpdateMembers(members)
}

// know takes this process into its own list, before the store has its row.
func (h *hosted) know(in storer.Instance) {
	h.book.Update(&wire.Member{Name: in.Name, Role: in.Role, Centre: in.Centre, Address: in.Address, Started: in.Started})
}

// list takes changes of the list of backend servers.
func (h *hosted) list(proven time.Duration, items []*wire.ListedServer) {
	for _, it := range items {
		h.log.Info().Str("server", it.GetId()).Str("pool", it.GetPool()).Str("address", it.GetAddress()).
			Bool("leaving", it.GetLeaving()).Bool("gone", it.GetGone()).Strs("models", it.GetModels()).
			Uint64("row", it.GetRow()).Msg("server: listed")
	}
	h.relayer.UpdateServers(proven, items)
	h.listed(proven, items)
}
