package runner

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/admitter"
	"oleanderstall/checker"
	"oleanderstall/dispatcher"
	"oleanderstall/follower"
	"oleanderstall/gossiper"
	"oleanderstall/locator"
	"oleanderstall/peer"
	"oleanderstall/platform"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/watcher"
	"oleanderstall/wire"
)

// Periods with which the processes of a fleet are followed.
const (
	memberWait   = 10 * time.Second
	memberPeriod = 500 * time.Millisecond
)

// HostedEntry is a running entry on a platform that hosts it.
type HostedEntry struct {
	*hosted
	locator  *locator.Locator
	watcher  *watcher.Watcher
	gossiper *gossiper.Gossiper
	core     *dispatcher.Core
	front    *platform.Front
	callers  *server
	ready    *server
	list     *follower.Follower
	// processes follows the processes of the fleet.
	processes *follower.Follower
	// peers are the entries of the fleet, this one included.
	peers map[string]bool
	// servers is set once the backend servers are known.
	servers  atomic.Bool
	stopping atomic.Bool
}

// slackPart is the part of a limit's slack that the entries use on purpose; the
// rest is for messages that come late and for entries that are not known yet.
const slackPart = 0.5

// StartHostedEntry starts an entry. It returns once all listeners are open.
func StartHostedEntry(s *checker.Settings, l *log.Logger) (*HostedEntry, error) {
	e := &HostedEntry{hosted: newHosted(s, l), peers: map[string]bool{}}
	terms := gossiper.Terms{Window: time.Duration(s.Hosted.Window), Slack: slackPart * s.Hosted.Slack}
	retries := router.Retries{Ratio: slackPart * s.Hosted.Retries.Ratio, Most: slackPart * s.Hosted.Retries.Slack}
	e.locator = locator.New(s.Name, s.Centre, e.started, e.clock, e.copy, l)
	e.gossiper = gossiper.New(s.Name, e.started, terms, e.clock, e.copy, l)
	backends := platform.NewBackends(e.clock)
	e.core = dispatcher.NewCore(e.clock, e.gossiper, e.locator, backends, granted{}, router.NewBudget(retries), e.recorder, e.meter, l)
	e.front = platform.NewFront(e)
	var err error
	if e.callers, err = listen(s.Entry.Callers, e.front, nil); err != nil {
		return nil, err
	}
	if e.ready, err = listen(s.Hosted.Ready, platform.Ready(e.isReady), nil); err != nil {
		return nil, err
	}
	e.startAdmin(e.isReady)
	e.tasks.run(backends.Run)
	e.follow(follower.Terms{Table: platform.ConfigTable, Wait: configWait}, func(now time.Duration, rows []storer.Row) {
		e.configured(now, rows)
		e.gossiper.Configured()
	})
	e.list = follower.New(follower.Terms{Table: platform.ServerTable, Wait: serverWait, Period: serverPeriod}, e.clock, e.store, e.listed, l)
	e.tasks.run(e.list.Run)
	e.tasks.run(e.sweep)
	e.tasks.run(e.meet)
	return e, nil
}

// meet joins the fleet and keeps in touch with the sidecars.
func (e *HostedEntry) meet(ctx context.Context) {
	if err := e.join(ctx, storer.Instance{}, e.handle); err != nil {
		e.log.Error().Err(err).Msg("start: not joined")
		return
	}
	e.watcher = watcher.New(e.settings.Load().Name, e.node, desk{e.locator, e.list}, e.log)
	e.tasks.run(e.watcher.Run)
	e.tasks.run(func(ctx context.Context) { e.gossiper.Run(ctx, e.node) })
	e.processes = follower.New(follower.Terms{Table: storer.MemberTable, Wait: memberWait, Period: memberPeriod}, e.clock, e.store, e.members, e.log)
	e.tasks.run(e.processes.Run)
}

// desk is what the sidecars' words go to.
type desk struct {
	*locator.Locator
	list *follower.Follower
}

// State implements watcher.Desk. The list is read again if it lacks the engine.
func (d desk) State(s *wire.Condition) bool {
	listed := d.Locator.State(s)
	if !listed {
		d.list.Hurry()
	}
	return listed
}

// members takes changes of the list of processes.
func (e *HostedEntry) members(_ time.Duration, rows []storer.Row) {
	for _, r := range rows {
		name := r.Key[len(storer.MemberTable)+1:]
		var in storer.Instance
		if r.Deleted {
			e.watcher.Remove(name)
			e.gossiper.Remove(name)
			delete(e.peers, name)
			continue
		}
		if err := json.Unmarshal(r.Value, &in); err != nil {
			e.log.Warn().Err(err).Str("process", name).Msg("member: unreadable row")
			continue
		}
		e.log.Info().Str("process", name).Str("role", in.Role).Str("address", in.Address).Msg("member: listed")
		if in.Role == "sidecar" {
			e.watcher.Add(in)
		} else {
			e.gossiper.Add(in)
			e.peers[name] = true
		}
	}
	e.share(len(e.peers))
}

// share makes this entry one among several.
func (e *HostedEntry) share(entries int) {
	e.core.Share(entries)
	e.list.Pace(paced(serverPeriod, serverShare, entries))
	e.processes.Pace(paced(memberPeriod, memberShare, entries))
}

// paced is a period that grows with the number of entries.
func paced(period, share time.Duration, entries int) time.Duration {
	return min(longestPeriod, max(period, time.Duration(entries)*share))
}

// handle answers a call of another process.
func (e *HostedEntry) handle(_ context.Context, call *wire.Call, s peer.Stream) {
	reply := e.gossiper.Answer(call)
	if reply == nil {
		reply = refuser.New(refuser.Invalid, "an entry does not answer this call").Reply()
	}
	_ = s.Send(reply)
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

// listed takes changes of the list of backend servers.
func (e *HostedEntry) listed(now time.Duration, rows []storer.Row) {
	e.servers.Store(true)
	for _, r := range rows {
		id := r.Key[len(platform.ServerTable)+1:]
		if r.Deleted {
			e.gone(now, id, r.Version)
			continue
		}
		s, err := platform.Server(r)
		if err != nil {
			e.log.Warn().Err(err).Str("server", id).Uint64("row", r.Version).Msg("server: unreadable row, not used")
			e.locator.Drop(id)
			continue
		}
		e.log.Info().Str("server", s.ID).Str("pool", s.Pool).Str("address", s.Address).Bool("leaving", s.Leaving).
			Strs("models", s.Models).Uint64("row", r.Version).Msg("server: listed")
		e.locator.List(s)
	}
}

// returnTime is how long after an outage of the store the rows of the servers that
// live are back.
const returnTime = 2500 * time.Millisecond

// gone takes the end of a server's row. While the store was away rows may have
// lapsed, and come back shortly after it.
func (e *HostedEntry) gone(now time.Duration, id string, row uint64) {
	since, _ := e.list.Since()
	if first, _ := e.list.First(); now-since < returnTime && since > first {
		e.log.Info().Str("server", id).Uint64("row", row).Int64("since", (now - since).Milliseconds()).Msg("server: doubted")
		e.locator.Doubt(id, since+returnTime)
		return
	}
	e.log.Info().Str("server", id).Uint64("row", row).Msg("server: gone")
	e.locator.Drop(id)
}

// sweepPeriod is between two looks for servers that did not come back.
const sweepPeriod = 250 * time.Millisecond

// sweep drops the servers that did not come back after an outage of the store.
func (e *HostedEntry) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.locator.Sweep()
		}
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
func (e *HostedEntry) Addresses() Addresses {
	return Addresses{Callers: e.callers.address(), Admin: e.admin.address()}
}

// Run serves until ctx ends, and then drains.
func (e *HostedEntry) Run(ctx context.Context) {
	<-ctx.Done()
	e.Stop()
}

// stopMargin is left of the grace period when the last request is given up.
const stopMargin = 800 * time.Millisecond

// Stop drains the entry: the platform is told first, then the listener ends, then
// the requests in hand are finished, for as long as the grace period allows.
func (e *HostedEntry) Stop() {
	begun := e.clock()
	e.log.Info().Msg("stop: draining")
	e.stopping.Store(true)
	e.front.Drain()
	time.Sleep(time.Duration(e.settings.Load().Entry.Grace))
	last := time.Duration(e.settings.Load().Hosted.Grace) - stopMargin - (e.clock() - begun)
	waiting := time.AfterFunc(last-waitMargin, e.locator.Stop)
	defer waiting.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), last)
	defer cancel()
	e.callers.stop(ctx)
	e.gossiper.Leave(context.Background())
	e.tasks.cancel()
	if e.node != nil {
		e.node.Close()
	}
	e.tasks.stop()
	e.ready.stop(ctx)
	e.admin.stop(ctx)
	e.log.Info().Int64("took", (e.clock() - begun).Milliseconds()).Msg("stop: complete")
}

// waitMargin is the time before the end at which the requests that still wait for
// a model are refused.
const waitMargin = 600 * time.Millisecond
