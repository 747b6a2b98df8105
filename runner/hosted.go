package runner

import (
	"context"
	"errors"
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
	"oleanderstall/pacer"
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

// Intervals at which a process follows the tables of the store: the longest time that the
// store holds a call without changes, and the shortest time between two calls.
const (
	configLongPollTimeout = 25 * time.Second
	configMinInterval     = 200 * time.Millisecond
	// configShortPollTimeout replaces configLongPollTimeout in the relay that vouches for the
	// configuration, and in a process for which no relay does. A call that the store has swallowed
	// is noticed within it.
	configShortPollTimeout = time.Second
	// minRestartInterval is the shortest time between two times at which the calls under way are
	// made anew because the store answers again.
	minRestartInterval   = time.Second
	fleetLongPollTimeout = 20 * time.Second
	fleetMinInterval     = time.Second
	// relayFleetLongPollTimeout replaces fleetLongPollTimeout in a relay. If a call is
	// lost, the relay misses new processes for that long.
	relayFleetLongPollTimeout = 3 * time.Second
)

// hostedProcess holds the common parts of an entry and a sidecar on a hosting platform.
type hostedProcess struct {
	settings atomic.Pointer[checker.Settings]
	log      *log.Logger
	clock    timer.Clock
	store    *platform.Store
	// node is the peer listener. It is nil until join has opened it.
	node *peer.Node
	// started is the start of the process, in Unix nanoseconds.
	started  int64
	config   *configurer.Configurer
	recorder *recorder.Recorder
	meter    *meter.Meter
	tasks    *taskGroup
	guard    *callerGuard
	admin    *httpServer

	// membership knows the processes of the fleet; relayer is the relay in this process.
	membership *subscriber.Membership
	relayer    *relayer.Relayer
	// configs, fleet and lister follow the store's tables of the configuration, of the
	// fleet and of the backend servers.
	configs *follower.Follower
	fleet   *follower.Follower
	lister  *lister.Lister
	// fetchingConfig is set while a configuration is fetched from another process.
	fetchingConfig atomic.Bool
	// configFreshAsOf is the instant as of which the relay in use last knew that the configuration
	// here was the newest, in nanoseconds.
	configFreshAsOf atomic.Int64
	// storeLost is set while the latest call to the store has had no answer. restartedAt is the
	// instant at which the calls under way were last made anew, in nanoseconds.
	storeLost   atomic.Bool
	restartedAt atomic.Int64
	// secret is the fleet's secret, known once join has returned, and eraChanged is signalled when
	// the store has come back from an earlier copy of itself.
	secret     string
	eraChanged chan struct{}
	// latestEra is the latest era of the store that is known, or nil if the store names none.
	latestEra atomic.Pointer[eraStart]
	// joinEra is the era of the store in which this process first read the fleet's rows.
	joinEra uint64
	// onConfigChange is called after a new configuration has come into force, and
	// onServersChange with changes of the list of backend servers that this process has
	// read from the store.
	onConfigChange func()
	// onEvacuationsChange is called with the evacuated data centres after they have changed.
	onEvacuationsChange func(centres []string)
	onServersChange     func(completeAsOf time.Duration, servers []*wire.ListedServer)
	// onCrashesRead is called with records of crashes that were read from the store, and
	// crashSaver writes those of the relay in this process.
	onCrashesRead func(crashes []*wire.Crash)
	crashSaver    *rowSaver
	// onSoftwareRead is called with the row of the versions that servers have had, and softwareSaver
	// writes that row.
	onSoftwareRead func(value []byte, at time.Time) error
	softwareSaver  *rowSaver
	evacuations    *evacuations
}

// newHostedProcess builds the common parts. The list of backend servers is not followed
// yet; a sidecar does not follow the configuration yet either.
func newHostedProcess(s *checker.Settings, l *log.Logger) *hostedProcess {
	h := &hostedProcess{
		log:        l,
		clock:      timer.Now,
		started:    time.Now().UnixNano(),
		config:     configurer.New(),
		recorder:   recorder.New(s.Name, recorderSize),
		meter:      meter.New(),
		tasks:      newTaskGroup(),
		membership: subscriber.NewMembership(),
		eraChanged: make(chan struct{}, 1),

		evacuations: newEvacuations(), onEvacuationsChange: func([]string) {},
		onCrashesRead:  func([]*wire.Crash) {},
		onSoftwareRead: func([]byte, time.Time) error { return nil },
	}
	h.guard = newCallerGuard(s.Hosted.MaxMemoryMB*bytesPerMB, h.clock, h.meter, l)
	h.tasks.run(h.guard.run)
	h.store = platform.NewStore(s.Hosted.StoreAddress, h.recordStoreCall, h.storeEraChanged)
	h.settings.Store(s)
	h.relayer = relayer.New(&wire.Link{Name: s.Name, Centre: s.Centre, Started: h.started}, h.clock, h.config, l)
	if platform.CallersCompete(s.Hosted.Contracts) {
		h.relayer.ScaleByLoad()
	}
	h.relayer.SetColdTiming(pacer.NewColdTiming(s.Hosted.ColdOver))
	h.meter.RegisterEvacuated(h.evacuations.count)
	h.meter.RegisterColdPermits(h.relayer.ColdPermits)
	h.configs = follower.New(follower.Options{Table: platform.ConfigTable, LongPollTimeout: configLongPollTimeout, MinInterval: configMinInterval}, h.clock, h.store, h.applyConfigRows, l)
	h.fleet = follower.New(follower.Options{Table: storer.FleetTable, LongPollTimeout: fleetLongPollTimeout, MinInterval: fleetMinInterval, KeepLost: true}, h.clock, h.store, h.applyFleetRows, l)
	h.crashSaver = newRowSaver(h.relayCrashes(s.Centre), h.store, h.clock, l)
	h.softwareSaver = newRowSaver(h.softwareState(), h.store, h.clock, l)
	h.lister = lister.New(platform.ServerTable, platform.DecodeServer, h.clock, h.store, h.updateServers, l)
	h.lister.Follower().Suspend(true)
	h.configs.Suspend(s.Role == "sidecar")
	return h
}

// startAdmin starts the admin listener, if its address is set. If that fails, the
// process runs without metrics.
func (h *hostedProcess) startAdmin(ready func() bool) {
	var err error
	if h.admin, err = startAdminServer(h.settings.Load().AdminAddress, h.meter, ready, h.guard); err != nil {
		h.log.Error().Err(err).Msg("start: no metrics")
	}
}

// recordStoreCall records the outcome and the duration of a call to the store. The first answer
// after a failure shows that the store works again: calls that are under way may have been swallowed
// meanwhile, and are made anew.
func (h *hostedProcess) recordStoreCall(call string, duration time.Duration, err error) {
	h.meter.RecordStoreCall(call, storer.OutcomeLabel(err), duration)
	switch {
	case errors.Is(err, context.Canceled):
	case !storer.Answered(err):
		h.storeLost.Store(true)
	case h.storeLost.CompareAndSwap(true, false):
		now := h.clock()
		if last := h.restartedAt.Load(); now-time.Duration(last) >= minRestartInterval && h.restartedAt.CompareAndSwap(last, int64(now)) {
			h.log.Info().Str("call", call).Msg("store: answers again, calls are made anew")
			for _, f := range []*follower.Follower{h.configs, h.fleet, h.lister.Follower()} {
				f.Restart()
			}
		}
	}
}

// Meter returns the metrics of the process.
func (h *hostedProcess) Meter() *meter.Meter { return h.meter }

// Reload replaces the settings. A later stop uses the new grace periods.
func (h *hostedProcess) Reload(s *checker.Settings) { h.settings.Store(s) }

// join waits for the first complete read of the fleet's rows, gets the fleet's secret
// and opens the peer listener, with retries. It returns this process as it is to be listed, or an
// error if ctx ends or if the identity cannot be created.
func (h *hostedProcess) join(ctx context.Context) (storer.Instance, error) {
	select {
	case <-h.fleet.Synced():
	case <-ctx.Done():
		return storer.Instance{}, ctx.Err()
	}
	h.joinEra = h.store.Era()
	h.awaitLostSecret(ctx)
	err := retryUntilSuccess(ctx, h.log, "reading the fleet's secret", func(ctx context.Context) (err error) {
		known, _ := h.fleet.Row(storer.SecretKey)
		h.secret, err = fleetSecret(ctx, h.store, known)
		return err
	})
	if err != nil {
		return storer.Instance{}, err
	}
	s := h.settings.Load()
	identity, err := peer.NewIdentity(h.secret, s.Name)
	if err != nil {
		return storer.Instance{}, err
	}
	// The port may be taken for as long as a predecessor drains.
	err = retryUntilSuccess(ctx, h.log, "opening the peer port", func(context.Context) (err error) {
		node, err := peer.New(s.PeerAddress, identity)
		if err == nil {
			h.node = node
		}
		return err
	})
	if err != nil {
		return storer.Instance{}, err
	}
	h.tasks.run(func(ctx context.Context) { h.node.Serve(ctx, h.handle) })
	return storer.Instance{Name: s.Name, Role: s.Role, Centre: s.Centre, Address: h.node.Address(), Started: h.started}, nil
}

// handle replies to a call of another process.
func (h *hostedProcess) handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	switch b := call.GetBody().(type) {
	case *wire.Call_Link:
		h.relayer.Handle(ctx, call, s)
	case *wire.Call_Probe:
		_ = s.Send(&wire.Reply{Body: &wire.Reply_News{News: h.probeResult(b.Probe.GetVersion())}})
	case *wire.Call_Permit:
		permit, err := h.relayer.Permit(b.Permit)
		if err != nil {
			_ = s.Send(refuser.FromError(err).Reply())
			return
		}
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Permit{Permit: permit}})
	case *wire.Call_Origin:
		_ = s.Send(h.answerOrigin(b.Origin))
	default:
		_ = s.Send(refuser.New(refuser.InvalidRequest, "this process does not answer this call").Reply())
	}
}

// probeResult returns the configuration's version, with a snapshot of the configuration
// if it is newer than the given version.
func (h *hostedProcess) probeResult(version uint64) *wire.ProbeResult {
	view := h.config.View()
	result := &wire.ProbeResult{Version: view.Version()}
	if view.Version() > version {
		result.Changes = []*wire.Change{view.Snapshot()}
	}
	return result
}

// configFetchTimeout bounds a fetch of the configuration from another process.
const configFetchTimeout = time.Second

// applyBatch applies the parts of a relay's batch that concern every process: changes of
// the fleet, the era of the store, and the version of the relay's configuration. If that is newer, the
// configuration is fetched from the relay in the background.
func (h *hostedProcess) applyBatch(address string, batch *wire.Batch) {
	if len(batch.GetMembers()) > 0 {
		h.membership.Update(batch.GetMembers()...)
		h.relayer.UpdateMembers(batch.GetMembers())
	}
	h.store.SetEra(batch.GetEra())
	h.receiveEvacuations(batch.GetEvacuations())
	if batch.GetConfig() == h.config.View().Version() {
		h.configFreshAsOf.Store(int64(h.clock() - timer.FromMillis(batch.GetFresh())))
	}
	h.fetchNewerConfig(batch.GetConfig(), address)
}

// fetchNewerConfig fetches the configuration from the process at an address in the background if
// the version there is newer than the one here.
func (h *hostedProcess) fetchNewerConfig(version uint64, address string) {
	if version > h.config.View().Version() && h.fetchingConfig.CompareAndSwap(false, true) {
		h.tasks.run(func(ctx context.Context) {
			defer h.fetchingConfig.Store(false)
			h.fetchConfig(ctx, address)
		})
	}
}

// fetchConfig fetches the configuration from the process at an address, which has a
// newer one, and brings it into force.
func (h *hostedProcess) fetchConfig(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	previous := h.config.View().Version()
	reply, err := peer.Call(limited, h.node, address, &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{Version: previous}}})
	if err != nil {
		h.log.Warn().Err(err).Str("address", address).Msg("config: fetch from another process failed")
		return
	}
	for _, change := range reply.GetNews().GetChanges() {
		h.config.Restore(change)
	}
	h.configApplied(previous, address)
}

// maxLoggedParts is the number of unusable parts of one configuration that are logged by name.
const maxLoggedParts = 8

// applyConfigRows brings a new configuration from the store into force. One that cannot
// be decoded leaves the previous configuration in force.
func (h *hostedProcess) applyConfigRows(_ time.Duration, rows []storer.Row) {
	h.applyEvacuationRows(rows)
	for _, r := range rows {
		if r.Key != platform.ConfigKey || r.Deleted {
			continue
		}
		change, omitted, err := platform.DecodeConfig(r.Value)
		if err != nil {
			h.log.Error().Err(err).Uint64("row", r.Version).Msg("config: row cannot be decoded, the previous configuration stays in force")
			continue
		}
		if len(omitted) > 0 {
			h.log.Error().Errs("parts", omitted[:min(len(omitted), maxLoggedParts)]).Int("omitted", len(omitted)).Uint64("row", r.Version).Msg("config: parts left out")
		}
		previous := h.config.View().Version()
		h.config.Restore(change)
		h.log.Info().Uint64("version", change.GetVersion()).Uint64("before", previous).Uint64("row", r.Version).Msg("config: read")
		h.configApplied(previous, "store")
	}
}

// configApplied updates what depends on the configuration, if its version is newer than
// previous. The source, which is logged, is "store" or the address of another process.
func (h *hostedProcess) configApplied(previous uint64, source string) {
	view := h.config.View()
	if view.Version() <= previous {
		return
	}
	h.meter.RecordConfigVersion(view.Version())
	h.relayer.SetLimits(charger.Limits(view, time.Duration(h.settings.Load().Hosted.LimitWindow)))
	h.log.Info().Uint64("version", view.Version()).Uint64("before", previous).Str("source", source).
		Int("routes", len(view.Routes())).Int("keys", len(view.Keys())).Msg("config: in force")
	h.relayer.Wake()
	h.onConfigChange()
}

// applyFleetRows applies changed rows of the fleet's table.
func (h *hostedProcess) applyFleetRows(now time.Duration, rows []storer.Row) {
	h.applyMemberRows(now, rows)
	applyCrashRows(rows, h.log, h.mergeCrashesRead)
	h.applySoftwareRow(rows)
}

// applyMemberRows applies changed rows of processes to the membership and to the relay. A
// process whose row cannot be used counts as gone. Other rows of the table are skipped.
func (h *hostedProcess) applyMemberRows(_ time.Duration, rows []storer.Row) {
	var members []*wire.Member
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, storer.MemberPrefix)
		if !ok {
			continue
		}
		gone := &wire.Member{Name: name, Row: r.Version, Gone: true}
		if r.Deleted {
			members = append(members, gone)
			continue
		}
		m, err := decodeMember(name, r)
		if err != nil {
			h.log.Warn().Err(err).Str("process", name).Uint64("row", r.Version).Msg("process: unreadable row, not used")
			m = gone
		}
		members = append(members, m)
	}
	if len(members) == 0 {
		return
	}
	h.log.Info().Int("changed", len(members)).Msg("processes: list changed")
	h.membership.Update(members...)
	h.relayer.UpdateMembers(members)
}

// addSelf adds this process to its own membership without waiting for its row from the
// store.
func (h *hostedProcess) addSelf(instance storer.Instance) {
	h.membership.Update(&wire.Member{Name: instance.Name, Role: instance.Role, Centre: instance.Centre, Address: instance.Address, Started: instance.Started})
}

// updateServers applies changes of the list of backend servers, read from the store and
// complete as of completeAsOf.
func (h *hostedProcess) updateServers(completeAsOf time.Duration, servers []*wire.ListedServer) {
	for _, server := range servers {
		h.log.Info().Str("server", server.GetId()).Str("pool", server.GetPool()).Str("software", server.GetSoftware()).Str("address", server.GetAddress()).
			Bool("leaving", server.GetLeaving()).Bool("gone", server.GetGone()).Strs("models", server.GetModels()).
			Uint64("row", server.GetRow()).Msg("server: listed")
	}
	h.relayer.UpdateServers(completeAsOf, servers)
	h.onServersChange(completeAsOf, servers)
}
