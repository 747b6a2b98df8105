// Package follower keeps a copy of one table of the store in step with it.
//
// A row never goes back to an earlier version, whatever an answer of the store
// says: answers may be late, and a snapshot may be older than the feed.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/storer"
	"oleanderstall/timer"
)

// Pauses after a call that failed.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// hurryParts is the part of the period that passes at least between two calls of
	// which the later was hurried.
	hurryParts = 6
)

// Options set how a table is followed.
type Options struct {
	Table string
	// Wait is the longest time that the store holds a call without changes.
	Wait time.Duration
	// Period is the shortest time between two calls.
	Period time.Duration
}

// Follower follows one table. It is safe for concurrent use.
type Follower struct {
	terms  Options
	clock  timer.Clock
	feeder storer.Feeder
	apply  func(now time.Duration, rows []storer.Row)
	log    *log.Logger
	hurry  chan struct{}
	resume chan struct{}
	ready  chan struct{}
	done   chan struct{}

	once   sync.Once
	mu     sync.Mutex
	rows   map[string]storer.Row
	after  uint64
	synced bool
	proven time.Duration
	// since is the instant since which the store answers again, or 0 if it does
	// not, and first that of its first answer.
	since time.Duration
	first time.Duration
	// held is set while no calls are made.
	held bool
}

// New returns a follower that passes each row that changed to apply, a removed
// one marked as deleted.
func New(t Options, clock timer.Clock, f storer.Feeder, apply func(now time.Duration, rows []storer.Row), l *log.Logger) *Follower {
	return &Follower{
		terms:  t,
		clock:  clock,
		feeder: f,
		apply:  apply,
		log:    l,
		hurry:  make(chan struct{}, 1),
		resume: make(chan struct{}, 1),
		ready:  make(chan struct{}),
		done:   make(chan struct{}),
		rows:   map[string]storer.Row{},
	}
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Wake makes the next call soon, since there is news that the copy lacks.
func (f *Follower) Wake() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// Suspend stops the calls, since another process tells what has changed, or lets them go
// on.
func (f *Follower) Suspend(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == held {
		return
	}
	f.held = held
	f.log.Info().Str("table", f.terms.Table).Bool("held", held).Msg("store: followed or not")
	select {
	case f.resume <- struct{}{}:
	default:
	}
}

// pass waits until calls may be made.
func (f *Follower) pass(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		held := f.held
		f.mu.Unlock()
		if !held {
			return
		}
		select {
		case <-ctx.Done():
		case <-f.resume:
		}
	}
}

// SetIntervals sets the longest time that the store holds a call without changes, and the
// shortest one between two calls. Their sum is how old the proof that the copy is
// complete may grow.
func (f *Follower) SetIntervals(wait, period time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.terms.Wait, f.terms.Period = wait, period
}

// period is the shortest time between two calls.
func (f *Follower) period() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.terms.Period
}

// Row returns the row of a key, if there is one.
func (f *Follower) Row(key string) (storer.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[key]
	return r, ok
}

// Synced is closed once the copy was complete.
func (f *Follower) Synced() <-chan struct{} { return f.ready }

// Proven returns the instant as of which the copy was complete, and false if it
// never was.
func (f *Follower) Proven() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proven, f.synced
}

// AnsweringSince returns the instant since which the store answers, and false if its last
// call failed.
func (f *Follower) AnsweringSince() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since, f.since > 0
}

// FirstAnswer returns the instant of the store's first answer, and false if there was
// none.
func (f *Follower) FirstAnswer() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first, f.first > 0
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	pause := firstPause
	for f.pass(ctx); ctx.Err() == nil; f.pass(ctx) {
		begun := f.clock()
		err := f.step(ctx, begun)
		if err != nil {
			f.failed(ctx, err)
			timer.Wait(ctx, max(pause, f.period()-(f.clock()-begun)), nil)
			pause = min(2*pause, maxPause)
			continue
		}
		pause = firstPause
		timer.Wait(ctx, f.period()/hurryParts-(f.clock()-begun), nil)
		timer.Wait(ctx, f.period()-(f.clock()-begun), f.hurry)
	}
}

// step makes one call, begun at now.
func (f *Follower) step(ctx context.Context, now time.Duration) error {
	f.mu.Lock()
	synced, after, wait := f.synced, f.after, f.terms.Wait
	f.mu.Unlock()
	if !synced {
		return f.snapshot(ctx, now)
	}
	c, err := f.feeder.Follow(ctx, f.terms.Table, after, wait)
	var lost *storer.HistoryError
	if errors.As(err, &lost) {
		f.log.Warn().Str("table", f.terms.Table).Uint64("after", after).Msg("store: history is gone, reading all rows")
		return f.snapshot(ctx, f.clock())
	}
	if err != nil {
		return err
	}
	f.take(now, c, false)
	return nil
}

func (f *Follower) snapshot(ctx context.Context, now time.Duration) error {
	c, err := f.feeder.Snapshot(ctx, f.terms.Table)
	if err != nil {
		return err
	}
	f.take(now, c, true)
	return nil
}

// take applies changes that the store held at now.
func (f *Follower) take(now time.Duration, c storer.Changes, whole bool) {
	changed := f.merge(now, c, whole)
	if len(changed) > 0 {
		f.apply(f.clock(), changed)
	}
	f.once.Do(func() { close(f.ready) })
}

// merge brings the copy forward and returns the rows that changed.
func (f *Follower) merge(now time.Duration, c storer.Changes, whole bool) []storer.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since == 0 {
		f.since = f.clock()
		if f.first == 0 {
			f.first = f.since
		}
		f.log.Info().Str("table", f.terms.Table).Uint64("version", c.Version).Msg("store: answers")
	}
	var changed []storer.Row
	present := map[string]bool{}
	for _, r := range c.Rows {
		present[r.Key] = true
		have, ok := f.rows[r.Key]
		// A row that the complete copy lacks, though it is no newer, was removed.
		if ok && r.Version <= have.Version || !ok && f.synced && r.Version <= f.after {
			continue
		}
		f.keep(r)
		changed = append(changed, r)
	}
	if whole {
		changed = append(changed, f.missing(c.Version, present)...)
	}
	f.after = max(f.after, c.Version)
	f.synced = true
	f.proven = max(f.proven, now)
	return changed
}

// missing removes the rows that a snapshot of that version lacks.
func (f *Follower) missing(version uint64, present map[string]bool) []storer.Row {
	var gone []storer.Row
	for key, r := range f.rows {
		if present[key] || r.Version > version {
			continue
		}
		gone = append(gone, storer.Row{Key: key, Version: version, Deleted: true})
		delete(f.rows, key)
	}
	return gone
}

// keep stores a row, or forgets one that was removed. The caller holds the lock.
func (f *Follower) keep(r storer.Row) {
	if r.Deleted {
		delete(f.rows, r.Key)
		return
	}
	f.rows[r.Key] = r
}

// failed takes note of a call without an answer.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since > 0 {
		f.log.Warn().Str("table", f.terms.Table).Err(err).Msg("store: lost")
	}
	f.since = 0
}
