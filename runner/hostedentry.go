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
	"oleanderstall/platform"
	"oleanderstall/refuser"
	"oleanderstall/relayer"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/subscriber"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// HostedEntry is a running entry on a platform that hosts it.
type HostedEntry struct {
	*hosted
	locator *locator.Locator
	charger *charger.Charger
	core    *dispatcher.Core
	front   *platform.Front
	callers *server
	ready   *server
	// servers is set once the backend servers are known.
	servers  atomic.Bool
	stopping atomic.Bool
	traffic  traffic
	// leaving is set once the entry uses nothing more.
	leaving atomic.Bool
	// age is the age of the relay's list of backend servers, in nanoseconds, and open the
	// number of other entries that take requests.
	age  atomic.Int64
	open atomic.Int64
}

// slackPart is the part of a limit's slack that the entries use on purpose; the
// rest is for messages that come late and for entries that are not known yet.
const slackPart = 0.5

// StartHostedEntry starts an entry. It returns once all listeners are open.
func StartHostedEntry(s *checker.Settings, l *log.Logger) (*HostedEntry, error) {
	e := &HostedEntry{hosted: newHosted(s, l)}
	e.changed, e.listed = e.limits, e.items
	terms := charger.Options{Window: time.Duration(s.Hosted.Window), Slack: slackPart * s.Hosted.Slack}
	retries := router.Retries{Ratio: slackPart * s.Hosted.Retries.Ratio, Most: slackPart * s.Hosted.Retries.Slack}
	e.locator = locator.New(s.Centre, e.clock, e.copy, l)
	e.charger = charger.New(terms, e.clock, e.copy, l)
	backends := platform.NewBackends(e.clock)
	e.core = dispatcher.NewCore(e.clock, e.charger, e.locator, backends, granted{}, router.NewBudget(retries), e.recorder, e.meter, l)
	e.front = platform.NewFront(e)
	var err error
	if e.callers, err = listen(s.Entry.Callers, e.front, nil); err != nil {
		return nil, err
	}
	if e.ready, err = listen(s.Hosted.Ready, platform.Ready(e.isReady), nil); err != nil {
		return nil, err
	}
	e.startAdmin(e.isReady)
	e.tasks.run(func(ctx context.Context) { e.locator.Probe(ctx, backends) })
	for _, task := range []func(context.Context){backends.Run, e.configs.Run, e.fleet.Run, e.lister.Run, e.tick, e.meet} {
		e.tasks.run(task)
	}
	return e, nil
}

// limits brings the limits of a new configuration into force.
func (e *HostedEntry) limits() { e.charger.ApplyConfiguration() }

// chargePeriod is between two looks of the charger at how long the others are silent.
const chargePeriod = 100 * time.Millisecond

// tick keeps the limits while other entries are silent.
func (e *HostedEntry) tick(ctx context.Context) {
	tick := time.NewTicker(chargePeriod)
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

// loneTime is how long an entry looks for a sidecar before it lets itself be a relay.
const loneTime = 3 * time.Second

// meet joins the fleet and keeps in touch with the relay.
func (e *HostedEntry) meet(ctx context.Context) {
	in, err := e.join(ctx)
	if err != nil {
		e.log.Error().Err(err).Msg("start: not joined")
		return
	}
	e.charger.AssumeEntries(len(e.book.All()))
	self := &wire.Link{Name: in.Name, Role: relayer.Entry, Centre: in.Centre, Started: e.started}
	e.link(self, subscriber.EntryTiming, e, func() time.Duration { return time.Duration(e.age.Load()) })
	select {
	case <-ctx.Done():
		return
	case <-time.After(loneTime):
	}
	if !e.book.Has("sidecar") {
		e.enlist(ctx, in)
	}
}

// enlist makes this entry known to all, so that it may be a relay.
func (e *HostedEntry) enlist(ctx context.Context, in storer.Instance) {
	e.log.Info().Msg("start: no sidecars, this entry may be a relay")
	put, err := memberPut(in)
	if err == nil {
		err = insist(ctx, e.log, "joining the fleet", func(ctx context.Context) error {
			_, err := e.store.Commit(ctx, storer.Transaction{Puts: []storer.Put{put}})
			return err
		})
	}
	if err != nil {
		e.log.Error().Err(err).Msg("start: not listed")
		return
	}
	e.know(in)
}

// Report implements subscriber.Process.
func (e *HostedEntry) Report(now time.Duration, whole bool) *wire.Report {
	r := &wire.Report{Ready: e.takes(), Config: e.copy.View().Version(), Spent: e.charger.Unsent(), Last: e.leaving.Load()}
	e.locator.Report(now, whole, r)
	return r
}

// Receive implements subscriber.Process.
func (e *HostedEntry) Receive(now time.Duration, address string, t *wire.Batch, first bool) {
	e.hear(address, t)
	e.age.Store(int64(timer.FromMillis(t.GetAge())))
	e.share(int(t.GetEntries()), int(t.GetReady()))
	e.charger.Receive(now, t, first)
	e.locator.Receive(now, t, first)
	if len(t.GetItems()) > 0 {
		e.servers.Store(true)
	}
}

// takes reports whether the entry takes requests.
func (e *HostedEntry) takes() bool {
	return e.servers.Load() && e.copy.View().Version() > 0 && step(e.traffic.step.Load()) == serving
}

// share makes this entry one among several, of which some take requests.
func (e *HostedEntry) share(entries, ready int) {
	if e.takes() {
		ready--
	}
	e.open.Store(int64(max(0, ready)))
	e.core.Share(entries)
}

// LinkLost implements subscriber.Process.
func (e *HostedEntry) LinkLost(_ time.Duration, _ string, reports []*wire.Report) {
	for _, r := range reports {
		e.charger.MarkUnsent(r.GetSpent())
	}
	e.locator.Unconfirmed(reports)
}

// Changed implements subscriber.Process.
func (e *HostedEntry) Changed() <-chan struct{} { return e.locator.Changed() }

// items takes changes of the list of backend servers that this entry reads itself.
func (e *HostedEntry) items(proven time.Duration, items []*wire.ListedServer) {
	for _, it := range items {
		e.locator.UpdateServer(it)
	}
	if proven > 0 {
		e.servers.Store(true)
	}
}

// granted lets every stream that has begun go on.
type granted struct{}

// Granted implements dispatcher.Checker.
func (granted) Granted(string) bool { return true }

// isReady reports whether the entry takes new connections: it knows how to serve
// and is not about to stop.
func (e *HostedEntry) isReady() bool {
	return !e.stopping.Load() && e.copy.View().Version() > 0 && e.servers.Load()
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
	if !e.traffic.begin(r.Model != "" || r.Kind == dispatcher.Resumable) {
		return refuser.New(refuser.Leaving, "the entry stops").After(backTime)
	}
	defer func() { e.traffic.end(e.clock()) }()
	call := q.Content.(*platform.Call)
	call.Workspace = r.Workspace
	_, err = e.core.Serve(ctx, r, out)
	return err
}

// Addresses returns where the entry listens.
func (e *HostedEntry) Addresses() Addresses {
	return Addresses{Callers: e.callers.address(), Admin: e.admin.address()}
}

// Run serves until ctx ends, and then drains.
func (e *HostedEntry) Run(ctx context.Context) {
	<-ctx.Done()
	e.Stop()
}
