// Package charger charges workspaces for the requests of one entry. A request waits if its
// tokens will be available soon; otherwise it is refused at once.
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

// maxWaitShare is the share of the time to its latency target that a request may wait for
// tokens. A short wait costs the caller nothing, a refusal costs it another request.
const maxWaitShare = 0.35

// Options configure how limits are kept.
type Options struct {
	// LimitWindow is the length of the windows over which a limit holds, or 0 for any length.
	LimitWindow time.Duration
	// TokenSlack is the number of tokens that all entries together may use beyond the limit of a
	// workspace because they have not reported them to each other yet.
	TokenSlack float64
}

// Charger charges workspaces. It is safe for concurrent use.
type Charger struct {
	options Options
	clock   timer.Clock
	config  *configurer.Configurer
	log     *log.Logger

	mu     sync.Mutex
	ledger *limiter.Ledger
	// configVersion is the version of the configuration whose limits are applied.
	configVersion uint64
	// waiting are the requests that wait for tokens, by workspace; changed is closed
	// to make them check again.
	waiting map[string][]*dispatcher.Request
	changed chan struct{}
}

// New returns a charger without limits.
func New(o Options, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Charger {
	return &Charger{
		options: o,
		clock:   clock,
		config:  c,
		log:     l,
		ledger:  limiter.NewLedger(clock(), o.TokenSlack),
		waiting: map[string][]*dispatcher.Request{},
		changed: make(chan struct{}),
	}
}

// Limits returns the limits of the workspaces of a configuration, with their bursts spread
// over window.
func Limits(view *configurer.View, window time.Duration) []limiter.Limit {
	var limits []limiter.Limit
	for _, w := range view.Workspaces() {
		limits = append(limits, limiter.Limit{Workspace: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst()}.SpreadBurst(window))
	}
	return limits
}

// ApplyConfiguration applies the limits of the current configuration unless it has done so.
func (c *Charger) ApplyConfiguration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.config.View()
	if view.Version() <= c.configVersion {
		return
	}
	c.configVersion = view.Version()
	for _, limit := range c.ledger.SetLimits(c.clock(), Limits(view, c.options.LimitWindow)) {
		c.log.Info().Str("workspace", limit.Workspace).Float64("rate", limit.Rate).Float64("burst", limit.Burst).
			Uint64("config", c.configVersion).Msg("limit: in force")
	}
	c.wake()
}

// Receive applies a batch from a relay: the entry count, the levels of the buckets and the
// usage of the other entries. first is set for the first batch of a link.
func (c *Charger) Receive(now time.Duration, b *wire.Batch, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first {
		c.ledger.SwitchRelay(now)
	}
	c.ledger.SetEntryCount(now, limiter.EntryCount{Entries: int(b.GetEntries()), Absent: int(b.GetAbsent())})
	c.ledger.AdoptLevels(now, b.GetLevels())
	c.ledger.AddRemoteUsage(now, b.GetSpent())
	c.wake()
}

// AssumeEntries sets the assumed number of entries until a relay reports it.
func (c *Charger) AssumeEntries(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.AssumeEntries(c.clock(), entries)
}

// Tick reserves tokens for the other entries while they do not report.
func (c *Charger) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Tick(c.clock())
}

// TakeUnsent returns the tokens used that have not been sent to a relay yet, by workspace, and
// marks them as sent.
func (c *Charger) TakeUnsent() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.TakeUnsent()
}

// MarkUnsent adds the tokens of a report that no relay has confirmed to those that have not
// been sent yet.
func (c *Charger) MarkUnsent(used map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.MarkUnsent(used)
}

// Charge implements dispatcher.Charger. Requests of a workspace wait in the order of
// dispatcher.Compare: by priority, then by latency target.
func (c *Charger) Charge(ctx context.Context, r *dispatcher.Request) (dispatcher.Bill, error) {
	latest := r.Started + time.Duration(maxWaitShare*float64(r.TargetTime-r.Started))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(r)
	defer c.dequeue(r)
	for {
		now := c.clock()
		ahead := c.tokensAhead(r)
		wait := c.ledger.TimeUntil(now, r.Workspace, ahead+r.Cost)
		if ahead == 0 && wait == 0 && c.ledger.Charge(now, r.Workspace, r.Cost) {
			return &bill{charger: c, workspace: r.Workspace, tokens: r.Cost}, nil
		}
		if now+wait > latest {
			retryAfter := c.ledger.RetryAfter(now, r.Workspace, ahead+r.Cost)
			return nil, refuser.New(refuser.RateLimited, "the workspace has used its rate and burst").WithRetryAfter(retryAfter)
		}
		if !c.waitForChange(ctx, max(wait, time.Millisecond)) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

// waitForChange waits until changed is closed, for at most d. It releases the lock
// meanwhile and reports false if ctx has ended.
func (c *Charger) waitForChange(ctx context.Context, d time.Duration) bool {
	changed := c.changed
	c.mu.Unlock()
	defer c.mu.Lock()
	return timer.Wait(ctx, d, changed)
}

// enqueue adds r to the waiting requests of its workspace. The caller holds the lock.
func (c *Charger) enqueue(r *dispatcher.Request) {
	queue := c.waiting[r.Workspace]
	i, _ := slices.BinarySearchFunc(queue, r, dispatcher.Compare)
	c.waiting[r.Workspace] = slices.Insert(queue, i, r)
}

// dequeue removes r from the waiting requests. The caller holds the lock.
func (c *Charger) dequeue(r *dispatcher.Request) {
	queue := c.waiting[r.Workspace]
	if i := slices.Index(queue, r); i >= 0 {
		queue = slices.Delete(queue, i, i+1)
	}
	if len(queue) == 0 {
		delete(c.waiting, r.Workspace)
		return
	}
	c.waiting[r.Workspace] = queue
	c.wake()
}

// tokensAhead returns the tokens of the requests that are served before r. The caller holds
// the lock.
func (c *Charger) tokensAhead(r *dispatcher.Request) float64 {
	sum := 0.0
	for _, o := range c.waiting[r.Workspace] {
		if o == r {
			break
		}
		sum += o.Cost
	}
	return sum
}

// wake makes the waiting requests check again. The caller holds the lock.
func (c *Charger) wake() {
	if len(c.waiting) == 0 {
		return
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// bill is the charge of one request.
type bill struct {
	charger   *Charger
	workspace string
	tokens    float64
}

// Settle implements dispatcher.Bill. It refunds the charge of a request that used nothing;
// any other request keeps its full charge.
func (b *bill) Settle(used float64) {
	if used > 0 {
		return
	}
	b.charger.mu.Lock()
	defer b.charger.mu.Unlock()
	b.charger.ledger.Refund(b.charger.clock(), b.workspace, b.tokens)
	b.charger.wake()
}
