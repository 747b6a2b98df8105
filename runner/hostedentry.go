package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/admitter"
	"oleanderstall/charger"
	"oleanderstall/checker"
	"oleanderstall/dispatcher"
	"oleanderstall/locator"
	"oleanderstall/pacer"
	"oleanderstall/peer"
	"oleanderstall/platform"
	"oleanderstall/refuser"
	"oleanderstall/relayer"
	"oleanderstall/reserver"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/subscriber"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// HostedEntry is a running entry on a hosting platform.
type HostedEntry struct {
	*hostedProcess
	locator *locator.Locator
	// quarantine refuses the requests that backend servers crash on.
	quarantine *dispatcher.Quarantine
	charger    *charger.Charger
	core       *dispatcher.Core
	frontend   *platform.Frontend
	// callerServer is for requests, and readyServer for the platform's readiness checks.
	callerServer *httpServer
	readyServer  *httpServer
	// serversKnown is set once the list of backend servers is known.
	serversKnown atomic.Bool
	// stopping is set once the entry drains.
	stopping atomic.Bool
	requests requestCounter
	// link is the link to the relay, or nil before the entry has joined the fleet.
	link atomic.Pointer[linker]
	// finished is set after the last request. The next report to the relay is then the
	// final one.
	finished atomic.Bool
	// serverListAge is the age of the relay's list of backend servers at its latest
	// batch, in nanoseconds.
	serverListAge atomic.Int64
	// otherReadyEntries is the number of other entries that accept requests.
	otherReadyEntries atomic.Int64
}

// slackFraction is the fraction of the slack of a limit that the entries plan to use. The
// rest is for late messages and for entries that are not known yet.
const slackFraction = 0.5

// StartHostedEntry starts an entry. It returns once the listeners for callers and
// readiness checks are open; the entry joins the fleet in the background. It returns an
// error if one of the two cannot be opened.
func StartHostedEntry(s *checker.Settings, l *log.Logger) (*HostedEntry, error) {
	e := &HostedEntry{hostedProcess: newHostedProcess(s, l)}
	e.onConfigChange, e.onServersChange = e.applyLimits, e.updateLocator
	options := charger.Options{LimitWindow: time.Duration(s.Hosted.LimitWindow), TokenSlack: slackFraction * s.Hosted.TokenSlack}
	retries := router.RetryLimits{Ratio: slackFraction * s.Hosted.Retries.Ratio, Burst: slackFraction * s.Hosted.Retries.Burst}
	e.quarantine = dispatcher.NewQuarantine(e.clock, e.recorder, l)
	e.meter.RegisterQuarantines(e.quarantine.List)
	e.locator = locator.New(s.Centre, e.clock, e.config, e.quarantine, e, l)
	e.onCrashesRead, e.onSoftwareRead = e.locator.MergeSavedCrashes, e.locator.RestoreSoftware
	e.meter.RegisterPools(e.locator.PoolSpeeds)
	e.locator.SetColdTiming(pacer.NewColdTiming(s.Hosted.ColdOver))
	e.meter.RegisterColdServers(e.locator.ColdServers)
	e.locator.SetRegions(s.Hosted.Zones)
	e.onEvacuationsChange = e.locator.SetEvacuated
	e.meter.RegisterEvacuatedRequests(e.locator.InflightAtEvacuated)
	e.charger = charger.New(options, e.clock, e.config, l)
	backends := platform.NewBackends(e.clock)
	e.core = dispatcher.NewCore(e.clock, e.charger, e.locator, backends, alwaysGranted{}, router.NewRetryBudget(retries), e.recorder, e.meter, l)
	e.frontend = platform.NewFrontend(e)
	var err error
	if e.callerServer, err = startServer(s.Entry.CallerAddress, e.frontend, nil, e.guard, reserver.Callers); err != nil {
		return nil, err
	}
	if e.readyServer, err = startServer(s.Hosted.ReadinessAddress, platform.ReadyHandler(e.isReady), nil, e.guard, reserver.Control); err != nil {
		return nil, err
	}
	e.startAdmin(e.isReady)
	e.tasks.run(func(ctx context.Context) { e.locator.Probe(ctx, backends) })
	for _, task := range []func(context.Context){backends.Run, e.configs.Run, e.fleet.Run, e.lister.Run, e.runCharger, e.joinFleet} {
		e.tasks.run(task)
	}
	return e, nil
}

// applyLimits applies the limits of a new configuration.
func (e *HostedEntry) applyLimits() {
	e.charger.ApplyConfiguration()
	limits := e.config.View().Limits()
	e.guard.applyConfig(limits.GetHeader(), limits.GetWait(), limits.GetIdle())
}

// chargerTickInterval is the time between two checks by the charger of how long the other
// entries have not reported.
const chargerTickInterval = 100 * time.Millisecond

// runCharger ticks the charger until ctx ends, so that the limits hold while other
// entries do not report.
func (e *HostedEntry) runCharger(ctx context.Context) {
	tick := time.NewTicker(chargerTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.charger.Tick()
		}
	}
}

// sidecarSearchTime is how long an entry waits for a sidecar to be listed before it lists
// itself, after which it may become a relay.
const sidecarSearchTime = 3 * time.Second

// joinFleet joins the fleet and starts the link to the relay. If no sidecar is listed
// after sidecarSearchTime, it lists this entry.
func (e *HostedEntry) joinFleet(ctx context.Context) {
	instance, err := e.join(ctx)
	if err != nil {
		e.log.Error().Err(err).Msg("start: joining the fleet failed")
		return
	}
	e.charger.AssumeEntries(len(e.membership.All()))
	self := &wire.Link{Name: instance.Name, Role: relayer.Entry, Centre: instance.Centre, Started: e.started}
	unlinkedSaver := newRowSaver(ownCrashes(instance.Name, e.quarantine), e.store, e.clock, e.log)
	link := e.startLink(self, unlinkedSaver, subscriber.EntryTiming, e, func() time.Duration { return time.Duration(e.serverListAge.Load()) })
	e.link.Store(link)
	select {
	case <-ctx.Done():
		return
	case <-time.After(sidecarSearchTime):
	}
	if !e.membership.HasRole("sidecar") {
		e.publishMember(ctx, instance)
		e.followEras(ctx, func(ctx context.Context) { e.publishMember(ctx, instance) })
		return
	}
	e.followEras(ctx, func(context.Context) {})
}

// publishMember writes this entry's row to the store, so that it may become a relay.
func (e *HostedEntry) publishMember(ctx context.Context, instance storer.Instance) {
	e.log.Info().Msg("start: no sidecars, this entry may become a relay")
	put, err := memberPut(instance)
	if err == nil {
		err = retryUntilSuccess(ctx, e.log, "listing this entry", func(ctx context.Context) error {
			_, err := e.store.Commit(ctx, storer.Transaction{Puts: []storer.Put{put}})
			return err
		})
	}
	if err != nil {
		e.log.Error().Err(err).Msg("start: this entry was not listed")
		return
	}
	e.addSelf(instance)
}

// Report implements subscriber.Process. It includes the tokens used since the last report.
func (e *HostedEntry) Report(now time.Duration, full bool) *wire.Report {
	report := &wire.Report{Ready: e.acceptsRequests(), Config: e.config.View().Version(), Spent: e.charger.TakeUnsent(), Last: e.finished.Load()}
	e.locator.Report(now, full, report)
	return report
}

// Receive implements subscriber.Process. It applies a batch of the relay.
func (e *HostedEntry) Receive(now time.Duration, address string, batch *wire.Batch, first bool) {
	e.applyBatch(address, batch)
	e.serverListAge.Store(int64(timer.FromMillis(batch.GetAge())))
	e.setEntryCounts(int(batch.GetEntries()), int(batch.GetReady()))
	e.charger.Receive(now, batch, first)
	e.locator.Receive(now, batch, first)
	if len(batch.GetItems()) > 0 {
		e.serversKnown.Store(true)
	}
}

// acceptsRequests reports whether the entry can serve requests and accepts all kinds of
// them.
func (e *HostedEntry) acceptsRequests() bool {
	return e.serversKnown.Load() && e.config.View().Version() > 0 && drainPhase(e.requests.phase.Load()) == phaseServing
}

// setEntryCounts sets the number of entries, among which the retry budget is divided, and
// the number of those that accept requests, both with this entry included.
func (e *HostedEntry) setEntryCounts(entries, readyEntries int) {
	if e.acceptsRequests() {
		readyEntries--
	}
	e.otherReadyEntries.Store(int64(max(0, readyEntries)))
	e.core.SetEntryCount(entries)
}

// LinkLost implements subscriber.Process. The used tokens and the arrivals in the
// unconfirmed reports are reported again.
func (e *HostedEntry) LinkLost(_ time.Duration, _ string, reports []*wire.Report) {
	for _, r := range reports {
		e.charger.MarkUnsent(r.GetSpent())
	}
	e.locator.RestoreUnconfirmed(reports)
}

// RequestPermit implements locator.PermitSource.
func (e *HostedEntry) RequestPermit(ctx context.Context, pacer string, request *wire.PermitRequest) (*wire.Permit, error) {
	if pacer == e.settings.Load().Name {
		return e.relayer.Permit(request)
	}
	member := e.membership.Find(pacer)
	if member == nil {
		return nil, refuser.New(refuser.NotFound, "the pacer is not listed")
	}
	reply, err := peer.Call(ctx, e.node, member.GetAddress(), &wire.Call{Body: &wire.Call_Permit{Permit: request}})
	if err != nil {
		return nil, err
	}
	if reply.GetPermit() == nil {
		return nil, peer.UnexpectedReply(reply)
	}
	return reply.GetPermit(), nil
}

// Changed implements subscriber.Process.
func (e *HostedEntry) Changed() <-chan struct{} { return e.locator.Changed() }

// updateLocator applies changes of the list of backend servers that this entry has read
// from the store itself. The list is complete as of completeAsOf, or not known to be
// complete if that is 0.
func (e *HostedEntry) updateLocator(completeAsOf time.Duration, servers []*wire.ListedServer) {
	for _, server := range servers {
		e.locator.UpdateServer(server)
	}
	if completeAsOf > 0 {
		e.serversKnown.Store(true)
	}
}

// alwaysGranted is a dispatcher.Checker that lets every started stream continue.
type alwaysGranted struct{}

// Granted implements dispatcher.Checker.
func (alwaysGranted) Granted(string) bool { return true }

// isReady reports whether the entry is ready for new connections: it knows a
// configuration and the backend servers, and is not draining.
func (e *HostedEntry) isReady() bool {
	return !e.stopping.Load() && e.config.View().Version() > 0 && e.serversKnown.Load()
}

// MaxBodyBytes implements platform.Handler. It returns the largest request body, in bytes.
func (e *HostedEntry) MaxBodyBytes() int64 { return int64(e.config.View().Limits().GetBody()) }

// Serve implements platform.Handler. It admits a request, unless the entry stops, and
// passes it to a backend server.
func (e *HostedEntry) Serve(ctx context.Context, received *admitter.CallerRequest, out *platform.Reply) error {
	request, err := admitter.Admit(e.clock(), e.config.View(), received)
	if err != nil {
		e.log.Info().Str("request", received.ID).Str("host", received.Host).Str("path", received.Path).Err(err).Msg("not admitted")
		return err
	}
	if !e.requests.begin(request) {
		return refuser.New(refuser.Leaving, "the entry stops").WithRetryAfter(refusalRetryAfter)
	}
	defer func() { e.requests.end(e.clock()) }()
	call := received.Content.(*platform.ForwardedRequest)
	call.Workspace = request.Workspace
	if err := e.pinSoftware(ctx, request); err != nil {
		return err
	}
	_, err = e.core.Serve(ctx, request, out)
	return err
}

// Addresses returns the addresses of the listener for callers and of the admin listener.
func (e *HostedEntry) Addresses() Addresses {
	return Addresses{Callers: e.callerServer.address(), Admin: e.admin.address()}
}

// Run serves until ctx ends, and then drains the entry.
func (e *HostedEntry) Run(ctx context.Context) {
	<-ctx.Done()
	e.Stop()
}
