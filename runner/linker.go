package runner

import (
	"context"
	"time"

	"oleanderstall/lister"
	"oleanderstall/relayer"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// Times of the link to the relay.
const (
	// linkCheckInterval is the time between two checks of what the process has to read
	// from the store itself.
	linkCheckInterval = 100 * time.Millisecond
	// relayTimeout is how long a process may receive no batch of a relay before it
	// follows the store itself.
	relayTimeout = 600 * time.Millisecond
	// maxServerListAge is the age of a relay's list of backend servers above which a
	// process reads the list itself.
	maxServerListAge = lister.LongPollTimeout + 1500*time.Millisecond
	// maxConfigAge is the time since the configuration was last known to be the newest above which
	// a relay no longer relies on a long call for changes, and maxRelayedConfigAge that for a process
	// that hears of it from its relay. The store may have swallowed the call.
	maxConfigAge        = configShortPollTimeout + 1500*time.Millisecond
	maxRelayedConfigAge = maxConfigAge + time.Second
	// configGapAge is the time without news of the configuration after which, once there is some
	// again, a process makes its own call anew: what has kept the news away may have swallowed it.
	configGapAge = maxConfigAge + 100*time.Millisecond
)

// linker keeps a process linked to its relay, and makes the process follow the tables of
// the store that it does not receive from a relay.
type linker struct {
	*hostedProcess
	subscriber *subscriber.Subscriber
	// needsServerList is set if the process needs the list of backend servers.
	needsServerList bool
	// unlinkedSaver writes the records of crashes of this process while it has no relay, or is nil.
	unlinkedSaver *rowSaver
	// searchStart is the time at which the process began to look for a relay.
	searchStart time.Duration
	// relayListAge returns the age of the relay's list of backend servers at its latest
	// batch.
	relayListAge func() time.Duration
	// configAge is the time since the configuration was last known to be the newest, at the latest
	// update.
	configAge time.Duration
}

// startLink starts the link of a process that has joined the fleet, the relay in this
// process, and the adoption of engines.
func (h *hostedProcess) startLink(self *wire.Link, unlinkedSaver *rowSaver, timing subscriber.Timing, process subscriber.Process, relayListAge func() time.Duration) *linker {
	l := &linker{hostedProcess: h, unlinkedSaver: unlinkedSaver, relayListAge: relayListAge, searchStart: h.clock(), needsServerList: self.GetRole() == relayer.Entry}
	l.subscriber = subscriber.New(h.subscriberHost(), self, self.GetCentre(), timing, process)
	h.tasks.run(h.relayer.Run)
	h.tasks.run(func(ctx context.Context) { h.relayer.ReadFeeds(ctx, h.node, h.membership) })
	h.tasks.run(l.subscriber.Run)
	h.tasks.run(h.runAdopter)
	h.tasks.run(l.run)
	return l
}

// subscriberHost returns what a subscriber needs of this process.
func (h *hostedProcess) subscriberHost() subscriber.Host {
	return subscriber.Host{
		Name: h.settings.Load().Name, Clock: h.clock, Caller: h.node, Local: h.relayer.Handle, Membership: h.membership, Log: h.log,
	}
}

// run calls update every linkCheckInterval until ctx ends.
func (l *linker) run(ctx context.Context) {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		l.update(l.clock())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// update passes the relay in use to the relayer, exchanges with it the latest era of the store, and
// suspends or resumes the reading of each table of the store.
func (l *linker) update(now time.Duration) {
	l.tickEvacuations(now)
	l.relayer.SetRelayInUse(l.subscriber.Relay())
	l.store.SetEra(l.relayer.SetEra(l.store.Era()))
	lastBatch, _ := l.subscriber.LastBatch()
	linked, active := now-max(lastBatch, l.searchStart) < relayTimeout, l.relayer.Active()
	l.lister.Follower().Suspend(!l.shouldReadServerList(now, lastBatch, active))
	l.fleet.Suspend(linked && !active)
	// Entries always follow the configuration, so that each applies what it has read from
	// the store itself.
	l.configs.Suspend(linked && !active && !l.needsServerList)
	l.saveState(now, active, linked)
	l.configs.SetIntervals(l.configPollTimeout(now, active), configMinInterval)
	if version, address := l.relayer.NewerConfig(); active && version > 0 {
		l.fetchNewerConfig(version, address)
	}
}

// saveState writes to the store what no other process writes: the records of crashes of the relay in
// this process, or of this process if it has no relay, and the versions that servers have had, if this
// relay reads the list of servers for the fleet.
func (l *linker) saveState(now time.Duration, active, linked bool) {
	if responsible, _ := l.relayer.ReadsServerList(); responsible && active {
		l.softwareSaver.update(now, l.tasks)
	}
	switch {
	case active:
		l.crashSaver.update(now, l.tasks)
	case !linked && l.unlinkedSaver != nil:
		l.unlinkedSaver.update(now, l.tasks)
	}
}

// configPollTimeout returns how long the store may hold a call for changes of the configuration. One
// relay of the fleet makes short calls and vouches for the configuration; the others rely on that
// and make long ones.
func (l *linker) configPollTimeout(now time.Duration, active bool) time.Duration {
	freshAsOf, _ := l.configs.CompleteAsOf()
	age, maxAge := l.relayer.SetConfigFresh(freshAsOf), maxConfigAge
	responsible, _ := l.relayer.ReadsServerList()
	if !active {
		age, maxAge, responsible = now-time.Duration(l.configFreshAsOf.Load()), maxRelayedConfigAge, false
	}
	if l.configAge > configGapAge && age <= configGapAge {
		l.configs.Restart()
	}
	l.configAge = age
	if responsible || age > maxAge {
		return configShortPollTimeout
	}
	return configLongPollTimeout
}

// shouldReadServerList reports whether the process has to read the list of backend servers
// from the store: an active relay if it reads the list for all relays or if the list that
// it knows is too old, and another entry if the list of its relay is too old.
func (l *linker) shouldReadServerList(now, lastBatch time.Duration, active bool) bool {
	if active {
		responsible, age := l.relayer.ReadsServerList()
		return responsible || age > maxServerListAge
	}
	return l.needsServerList && now-max(lastBatch, l.searchStart)+l.relayListAge() > maxServerListAge
}
