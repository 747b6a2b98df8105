package runner

import (
	"context"
	"time"

	"oleanderstall/lister"
	"oleanderstall/relayer"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// Times of the care for the link to the relay.
const (
	linkPeriod = 100 * time.Millisecond
	// aloneAfter is how long a process may hear no relay before it follows the store
	// itself, and staleAfter how old a relay's list of backend servers may be.
	aloneAfter = 600 * time.Millisecond
	staleAfter = lister.Wait + 1500*time.Millisecond
)

// linker keeps a process linked to its relay, and lets it follow the store where no
// relay does.
type linker struct {
	*hosted
	relay *subscriber.Subscriber
	// listens is set if the process needs the list of backend servers.
	listens bool
	// begun is the instant at which the process began to look for its relay.
	begun time.Duration
	// age is the age of the relay's list, as of its latest batch.
	age func() time.Duration
}

// link starts the link of a process that has joined the fleet.
func (h *hosted) link(self *wire.Link, p subscriber.Timing, d subscriber.Process, age func() time.Duration) *linker {
	l := &linker{hosted: h, age: age, begun: h.clock(), listens: self.GetRole() == relayer.Entry}
	l.relay = subscriber.New(h.host(), self, self.GetCentre(), p, d)
	h.tasks.run(h.relayer.Run)
	h.tasks.run(func(ctx context.Context) { h.relayer.ReadFeeds(ctx, h.node, h.book) })
	h.tasks.run(l.relay.Run)
	h.tasks.run(h.adopt)
	h.tasks.run(l.run)
	return l
}

// host is this process as subscribers need it.
func (h *hosted) host() subscriber.Host {
	return subscriber.Host{
		Name: h.settings.Load().Name, Clock: h.clock, Joiner: h.node, Local: h.relayer.Handle, Book: h.book, Log: h.log,
	}
}

// run looks after the links until ctx ends.
func (l *linker) run(ctx context.Context) {
	tick := time.NewTicker(linkPeriod)
	defer tick.Stop()
	for {
		l.look(l.clock())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look lets the process follow what it has to.
func (l *linker) look(now time.Duration) {
	l.relayer.Follow(l.relay.Relay())
	heard, _ := l.relay.LastBatch()
	linked, active := now-max(heard, l.begun) < aloneAfter, l.relayer.Active()
	l.lister.Follower().Suspend(!l.reads(now, heard, active))
	l.fleet.Suspend(linked && !active)
	// Entries always follow the configuration, so that each is bound by what the store
	// has told it itself.
	l.configs.Suspend(linked && !active && !l.listens)
}

// reads reports whether the process is to read the list of backend servers: a relay if
// it does so for all, or if nobody does, and an entry if its relay knows no fresh one.
func (l *linker) reads(now, heard time.Duration, active bool) bool {
	if active {
		lists, age := l.relayer.ReadsServerList()
		return lists || age > staleAfter
	}
	return l.listens && now-max(heard, l.begun)+l.age() > staleAfter
}
