// Package gossiper keeps the entries of a fleet in touch with each other: each
// tells the others what the workspaces have used, and hands on a configuration
// that another one lacks.
package gossiper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/limiter"
	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Periods of the messages to another entry.
const (
	// period is between two looks for something to tell, and share what each other
	// entry adds to it beyond that.
	period = 100 * time.Millisecond
	share  = 20 * time.Millisecond
	// quietTime is the time after which an entry tells all the same, in a fleet with
	// a shorter period.
	quietTime  = 300 * time.Millisecond
	greetLimit = 400 * time.Millisecond
	fetchLimit = time.Second
	// lostAfter is the number of messages without an answer after which an entry
	// counts as lost.
	lostAfter = 4
)

// Gossiper talks to the other entries. It is safe for concurrent use.
type Gossiper struct {
	name    string
	started int64
	terms   Terms
	clock   timer.Clock
	caller  peer.Caller
	copy    *configurer.Configurer
	log     *log.Logger
	done    chan struct{}

	mu      sync.Mutex
	ctx     context.Context
	tasks   sync.WaitGroup
	ledger  *limiter.Ledger
	version uint64
	entries map[string]entry
	// waiting are the requests that wait for tokens, by workspace; changed is closed
	// when one of them may look again.
	waiting map[string][]*dispatcher.Request
	changed chan struct{}
}

// entry is the task for one other entry.
type entry struct {
	in     storer.Instance
	cancel context.CancelFunc
}

// Terms say how limits are kept.
type Terms struct {
	// Window is the length of the windows over which a limit holds, or 0 for any.
	Window time.Duration
	// Slack are the tokens of a workspace that the entries together may use beyond
	// its limit because they have not told each other yet.
	Slack float64
}

// New returns a gossiper of an entry that was started at an instant in Unix
// nanoseconds.
func New(name string, started int64, t Terms, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Gossiper {
	return &Gossiper{
		name:    name,
		started: started,
		terms:   t,
		clock:   clock,
		copy:    c,
		log:     l,
		done:    make(chan struct{}),
		ledger:  limiter.NewLedger(t.Slack),
		entries: map[string]entry{},
		waiting: map[string][]*dispatcher.Request{},
		changed: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Run talks to the other entries until ctx ends.
func (g *Gossiper) Run(ctx context.Context, c peer.Caller) {
	defer close(g.done)
	g.mu.Lock()
	g.ctx, g.caller = ctx, c
	for name, e := range g.entries {
		g.entries[name] = g.start(e.in)
	}
	g.mu.Unlock()
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			g.tasks.Wait()
			return
		case <-tick.C:
			g.mu.Lock()
			g.ledger.Tick(g.clock())
			g.mu.Unlock()
		}
	}
}

// Add talks to another entry, in place of an earlier process of the same name.
func (g *Gossiper) Add(in storer.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	have, ok := g.entries[in.Name]
	if in.Name == g.name || ok && have.in == in {
		return
	}
	if have.cancel != nil {
		have.cancel()
	}
	g.entries[in.Name] = entry{in: in}
	if g.ctx != nil {
		g.entries[in.Name] = g.start(in)
	}
	g.ledger.Peers(g.clock(), slices.Collect(maps.Keys(g.entries)))
}

// Remove forgets another entry.
func (g *Gossiper) Remove(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.entries[name]; ok && e.cancel != nil {
		e.cancel()
	}
	delete(g.entries, name)
	g.ledger.Peers(g.clock(), slices.Collect(maps.Keys(g.entries)))
}

// start begins the task for another entry. The caller holds the lock.
func (g *Gossiper) start(in storer.Instance) entry {
	ctx, cancel := context.WithCancel(g.ctx)
	g.tasks.Go(func() { g.talk(ctx, in) })
	return entry{in: in, cancel: cancel}
}

// talk tells one other entry what is new until ctx ends.
func (g *Gossiper) talk(ctx context.Context, in storer.Instance) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	var told *wire.Greet
	var silent []string
	var last time.Duration
	missed := 0
	for {
		tick.Reset(g.period())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		next := g.greet(silent)
		quiet := g.clock()-last < quietTime && len(silent) == 0
		if told != nil && quiet && maps.Equal(told.GetSpent(), next.GetSpent()) && told.GetConfig() == next.GetConfig() {
			continue
		}
		last = g.clock()
		greeting, err := g.exchange(ctx, in, next)
		if err != nil {
			missed++
			told, silent = nil, nil
			if missed == lostAfter && ctx.Err() == nil {
				g.log.Warn().Str("entry", in.Name).Err(err).Msg("entry: lost")
			}
			continue
		}
		if missed >= lostAfter || told == nil && missed == 0 {
			g.log.Info().Str("entry", in.Name).Msg("entry: answers")
		}
		told, missed = next, 0
		silent = greeting.GetSilent()
	}
}

// period is the time between two looks for something to tell to an entry. It grows
// with the number of entries, so that each sends about as many messages in a fleet
// of any size.
func (g *Gossiper) period() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(period, time.Duration(len(g.entries))*share)
}

// greet returns what an entry is to know that does not hear the silent ones.
func (g *Gossiper) greet(silent []string) *wire.Greet {
	g.mu.Lock()
	defer g.mu.Unlock()
	greet := &wire.Greet{Entry: g.name, Started: g.started, Spent: g.ledger.Totals(), Config: g.copy.View().Version()}
	for _, w := range g.ledger.Relay(g.clock(), silent) {
		greet.Relayed = append(greet.Relayed, &wire.Spent{Entry: w.Entry, Started: w.Started, Spent: w.Totals})
	}
	return greet
}

// Leave tells the other entries that this one uses nothing more.
func (g *Gossiper) Leave(ctx context.Context) {
	last := g.greet(nil)
	last.Last = true
	g.mu.Lock()
	caller := g.caller
	entries := slices.Collect(maps.Values(g.entries))
	g.mu.Unlock()
	if caller == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, greetLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			if _, err := peer.One(limited, caller, e.in.Address, &wire.Call{Body: &wire.Call_Greet{Greet: last}}); err != nil {
				g.log.Warn().Str("entry", e.in.Name).Err(err).Msg("stop: an entry was not told")
			}
		})
	}
	wg.Wait()
}

// exchange sends one message and fetches a configuration that is newer there.
func (g *Gossiper) exchange(ctx context.Context, in storer.Instance, next *wire.Greet) (*wire.Greeting, error) {
	limited, cancel := context.WithTimeout(ctx, greetLimit)
	defer cancel()
	reply, err := peer.One(limited, g.caller, in.Address, &wire.Call{Body: &wire.Call_Greet{Greet: next}})
	if err != nil {
		return nil, err
	}
	greeting := reply.GetGreeting()
	if greeting == nil {
		return nil, peer.Unexpected(reply)
	}
	if greeting.GetConfig() > g.copy.View().Version() {
		return greeting, g.fetch(ctx, in)
	}
	return greeting, nil
}

// fetch brings the configuration up to that of another entry.
func (g *Gossiper) fetch(ctx context.Context, in storer.Instance) error {
	limited, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	version := g.copy.View().Version()
	reply, err := peer.One(limited, g.caller, in.Address, &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{Version: version}}})
	if err != nil {
		return err
	}
	for _, change := range reply.GetNews().GetChanges() {
		g.copy.Restore(change)
	}
	g.log.Info().Uint64("version", g.copy.View().Version()).Uint64("before", version).Str("entry", in.Name).
		Msg("config: in force, from another entry")
	g.Configured()
	return nil
}

// Configured brings the limits of the configuration in force.
func (g *Gossiper) Configured() {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.copy.View()
	if view.Version() <= g.version {
		return
	}
	g.version = view.Version()
	var limits []limiter.Limit
	for _, w := range view.Workspaces() {
		limits = append(limits, limiter.Limit{Workspace: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst()}.Even(g.terms.Window))
	}
	for _, limit := range g.ledger.Set(g.clock(), limits) {
		g.log.Info().Str("workspace", limit.Workspace).Float64("rate", limit.Rate).Float64("burst", limit.Burst).
			Uint64("config", g.version).Msg("limit: in force")
	}
	g.wake()
}

// Answer answers a call of another entry. It returns nil for a call of another
// kind.
func (g *Gossiper) Answer(call *wire.Call) *wire.Reply {
	switch b := call.GetBody().(type) {
	case *wire.Call_Greet:
		return &wire.Reply{Body: &wire.Reply_Greeting{Greeting: g.hear(b.Greet)}}
	case *wire.Call_Probe:
		view := g.copy.View()
		news := &wire.News{Version: view.Version()}
		if view.Version() > b.Probe.GetVersion() {
			news.Changes = []*wire.Change{view.Snapshot()}
		}
		return &wire.Reply{Body: &wire.Reply_News{News: news}}
	}
	return nil
}

// hear takes the word of another entry.
func (g *Gossiper) hear(w *wire.Greet) *wire.Greeting {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.ledger.Hear(now, limiter.Word{Entry: w.GetEntry(), Started: w.GetStarted(), Totals: w.GetSpent(), Last: w.GetLast()})
	for _, r := range w.GetRelayed() {
		g.ledger.Learn(now, limiter.Word{Entry: r.GetEntry(), Started: r.GetStarted(), Totals: r.GetSpent()})
	}
	g.wake()
	return &wire.Greeting{Config: g.copy.View().Version(), Silent: g.ledger.Silent()}
}

// bill is what a request was charged.
type bill struct {
	gossiper  *Gossiper
	workspace string
	tokens    float64
}

// Settle implements dispatcher.Bill. A request that has run counts as a whole.
func (b *bill) Settle(used float64) {
	if used > 0 {
		return
	}
	b.gossiper.mu.Lock()
	defer b.gossiper.mu.Unlock()
	b.gossiper.ledger.Give(b.gossiper.clock(), b.workspace, b.tokens)
	b.gossiper.wake()
}
