// Package charger charges workspaces for the requests of one entry. A request whose
// tokens come in soon waits for them; any other one is refused at once.
package charger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/limiter"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// waitPart is the part of the time to its goal that a request waits for tokens of
// its workspace. A short wait costs the caller nothing, a refusal a new request.
const waitPart = 0.35

// Options say how limits are kept.
type Options struct {
	// Window is the length of the windows over which a limit holds, or 0 for any.
	Window time.Duration
	// Slack are the tokens of a workspace that the entries together may use beyond
	// its limit because they have not told each other yet.
	Slack float64
}

// Charger charges workspaces. It is safe for concurrent use.
type Charger struct {
	terms Options
	clock timer.Clock
	copy  *configurer.Configurer
	log   *log.Logger

	mu      sync.Mutex
	ledger  *limiter.Ledger
	version uint64
	// waiting are the requests that wait for tokens, by workspace; changed is closed
	// when one of them may look again.
	waiting map[string][]*dispatcher.Request
	changed chan struct{}
}

// New returns a charger without limits.
func New(t Options, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Charger {
	return &Charger{
		terms:   t,
		clock:   clock,
		copy:    c,
		log:     l,
		ledger:  limiter.NewLedger(clock(), t.Slack),
		waiting: map[string][]*dispatcher.Request{},
		changed: make(chan struct{}),
	}
}

// Limits are the limits of a configuration, as they are kept.
func Limits(view *configurer.View, window time.Duration) []limiter.Limit {
	var limits []limiter.Limit
	for _, w := range view.Workspaces() {
		limits = append(limits, limiter.Limit{Workspace: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst()}.Even(window))
	}
	return limits
}

// ApplyConfiguration brings the limits of the configuration in force.
func (c *Charger) ApplyConfiguration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.copy.View()
	if view.Version() <= c.version {
		return
	}
	c.version = view.Version()
	for _, limit := range c.ledger.SetLimits(c.clock(), Limits(view, c.terms.Window)) {
		c.log.Info().Str("workspace", limit.Workspace).Float64("rate", limit.Rate).Float64("burst", limit.Burst).
			Uint64("config", c.version).Msg("limit: in force")
	}
	c.wake()
}

// Receive takes what a relay tells of the use of the other entries; first is set for its
// first word.
func (c *Charger) Receive(now time.Duration, t *wire.Batch, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first {
		c.ledger.Relink(now)
	}
	c.ledger.SetEntryCount(now, limiter.EntryCount{Entries: int(t.GetEntries()), Absent: int(t.GetAbsent())})
	c.ledger.Adopt(now, t.GetLevels())
	c.ledger.AddRemoteUsage(now, t.GetSpent())
	c.wake()
}

// AssumeEntries takes the number of entries that there may be, until a relay tells it.
func (c *Charger) AssumeEntries(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.AssumeEntries(c.clock(), entries)
}

// Tick keeps to this entry's part of the limits while the others are not heard.
func (c *Charger) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Tick(c.clock())
}

// Unsent returns the tokens used that were not told yet, and counts them as told.
func (c *Charger) Unsent() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Unsent()
}

// MarkUnsent counts tokens as not told.
func (c *Charger) MarkUnsent(used map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.MarkUnsent(used)
}

// Charge implements dispatcher.Charger. Requests wait by rank and goal.
func (c *Charger) Charge(ctx context.Context, r *dispatcher.Request) (dispatcher.Bill, error) {
	end := r.Started + time.Duration(waitPart*float64(r.Goal-r.Started))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(r)
	defer c.leave(r)
	for {
		now := c.clock()
		ahead := c.ahead(r)
		left := c.ledger.TimeUntil(now, r.Workspace, ahead+r.Cost)
		if ahead == 0 && left == 0 && c.ledger.Charge(now, r.Workspace, r.Cost) {
			return &bill{charger: c, workspace: r.Workspace, tokens: r.Cost}, nil
		}
		if now+left > end {
			later := c.ledger.RetryAfter(now, r.Workspace, ahead+r.Cost)
			return nil, refuser.New(refuser.Limited, "the workspace has used its rate and burst").After(later)
		}
		if !c.pause(ctx, max(left, time.Millisecond)) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

// pause waits until something has changed, for at most d. It gives up the lock
// meanwhile and reports false if ctx has ended.
func (c *Charger) pause(ctx context.Context, d time.Duration) bool {
	changed := c.changed
	c.mu.Unlock()
	defer c.mu.Lock()
	return timer.Wait(ctx, d, changed)
}

// enter puts r among those that wait. The caller holds the lock.
func (c *Charger) enter(r *dispatcher.Request) {
	list := c.waiting[r.Workspace]
	i, _ := slices.BinarySearchFunc(list, r, dispatcher.Compare)
	c.waiting[r.Workspace] = slices.Insert(list, i, r)
}

// leave ends the wait of r. The caller holds the lock.
func (c *Charger) leave(r *dispatcher.Request) {
	list := c.waiting[r.Workspace]
	if i := slices.Index(list, r); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(c.waiting, r.Workspace)
		return
	}
	c.waiting[r.Workspace] = list
	c.wake()
}

// ahead returns the tokens of those that are served before r. The caller holds the
// lock.
func (c *Charger) ahead(r *dispatcher.Request) float64 {
	sum := 0.0
	for _, o := range c.waiting[r.Workspace] {
		if o == r {
			break
		}
		sum += o.Cost
	}
	return sum
}

// wake lets the requests that wait look again. The caller holds the lock.
func (c *Charger) wake() {
	if len(c.waiting) == 0 {
		return
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// bill is what a request was charged.
type bill struct {
	charger   *Charger
	workspace string
	tokens    float64
}

// Settle implements dispatcher.Bill. A request that has run counts as a whole.
func (b *bill) Settle(used float64) {
	if used > 0 {
		return
	}
	b.charger.mu.Lock()
	defer b.charger.mu.Unlock()
	b.charger.ledger.Refund(b.charger.clock(), b.workspace, b.tokens)
	b.charger.wake()
}
