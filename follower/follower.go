// Package follower keeps a copy of one table of the store up to date.
//
// A row of the copy never goes back to an earlier version, whatever the store answers:
// answers may arrive late, and a snapshot may be older than the changes read before it.
package follower

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/storer"
	"oleanderstall/timer"
)

// Limits of the back-off after a call that failed, and of the calls made because of Wake.
const (
	minBackOff = 50 * time.Millisecond
	maxBackOff = 400 * time.Millisecond
	// quickPollTimeout replaces the long-poll timeout in the first call after one that failed or
	// that was given up, so that its answer tells soon whether the store works.
	quickPollTimeout = 20 * time.Millisecond
	// wakeDivisor bounds the rate of the calls caused by Wake: such a call starts no sooner
	// after the start of the previous one than the minimum interval divided by wakeDivisor.
	wakeDivisor = 6
)

// Options are the settings of a follower.
type Options struct {
	Table string
	// LongPollTimeout is the longest time for which the store holds a call while there are
	// no changes.
	LongPollTimeout time.Duration
	// MinInterval is the shortest time between the starts of two calls, apart from Wake.
	MinInterval time.Duration
	// KeepLost keeps the rows that a store has lost by coming back from an earlier copy of itself,
	// because nobody removes rows of the table and their writers write them again.
	KeepLost bool
}

// Follower follows one table. It is safe for concurrent use.
type Follower struct {
	options   Options
	clock     timer.Clock
	feed      storer.ChangeFeed
	apply     func(now time.Duration, rows []storer.Row)
	log       *log.Logger
	wake      chan struct{}
	resume    chan struct{}
	firstSync chan struct{}
	done      chan struct{}

	firstSyncOnce sync.Once
	mu            sync.Mutex
	rows          map[string]storer.Row
	// version is the version of the table up to which changes were read.
	version uint64
	// synced is set once the copy has been complete, the last time as of completeAsOf.
	synced       bool
	completeAsOf time.Duration
	// answeringSince is the instant since which the store has answered without a failure, or
	// 0 if the last call failed. firstAnswer is the instant of its first answer.
	answeringSince time.Duration
	firstAnswer    time.Duration
	// suspended is set while no calls are to be made.
	suspended bool
	// giveUp cancels the call under way, which the store may hold for callTimeout. It is nil between
	// calls. givenUp is set once it was called, and quick while the next call is a quick one.
	giveUp      context.CancelFunc
	callTimeout time.Duration
	givenUp     bool
	quick       bool
	// omitted is the largest number of rows without a key that an answer had.
	omitted int
}

// New returns a follower that passes each changed row to apply, a removed one marked as
// deleted.
func New(options Options, clock timer.Clock, feed storer.ChangeFeed, apply func(now time.Duration, rows []storer.Row), l *log.Logger) *Follower {
	return &Follower{
		options:   options,
		clock:     clock,
		feed:      feed,
		apply:     apply,
		log:       l,
		wake:      make(chan struct{}, 1),
		resume:    make(chan struct{}, 1),
		firstSync: make(chan struct{}),
		done:      make(chan struct{}),
		rows:      map[string]storer.Row{},
	}
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Wake makes Run start the next call soon, because the table has changes that the copy
// lacks.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Suspend stops or resumes the calls. They are stopped while another process sends the
// changes.
func (f *Follower) Suspend(suspended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspended == suspended {
		return
	}
	f.suspended = suspended
	f.log.Info().Str("table", f.options.Table).Bool("held", suspended).Msg("store: polling suspended or resumed")
	select {
	case f.resume <- struct{}{}:
	default:
	}
}

// waitResumed waits until calls may be made or ctx ends.
func (f *Follower) waitResumed(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		suspended := f.suspended
		f.mu.Unlock()
		if !suspended {
			return
		}
		select {
		case <-ctx.Done():
		case <-f.resume:
		}
	}
}

// SetIntervals sets the longest time for which the store holds a call while there are no
// changes, and the shortest time between two calls. While the store answers, their sum
// bounds the time since the copy was complete. A call under way that the store may hold for longer
// is given up.
func (f *Follower) SetIntervals(longPollTimeout, minInterval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.LongPollTimeout, f.options.MinInterval = longPollTimeout, minInterval
	if f.callTimeout > longPollTimeout {
		f.giveUpCall()
	}
}

// Restart gives the call under way up, which the store may never answer, and makes another one.
func (f *Follower) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.giveUpCall()
}

// giveUpCall does the work of Restart. The caller holds the lock.
func (f *Follower) giveUpCall() {
	if f.giveUp != nil {
		f.givenUp = true
		f.giveUp()
	}
}

// beginCall returns the context of a call and the longest time for which the store may hold it.
func (f *Follower) beginCall(ctx context.Context) (context.Context, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	callCtx, giveUp := context.WithCancel(ctx)
	timeout := f.options.LongPollTimeout
	if f.quick {
		timeout = min(timeout, quickPollTimeout)
	}
	f.giveUp, f.callTimeout, f.givenUp = giveUp, timeout, false
	return callCtx, timeout
}

// endCall ends a call. It reports whether the call was given up, so that its failure does not count.
func (f *Follower) endCall(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.giveUp()
	givenUp := f.givenUp
	f.giveUp, f.callTimeout = nil, 0
	f.quick = err != nil
	return givenUp && err != nil
}

// minInterval returns the shortest time between two calls.
func (f *Follower) minInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.MinInterval
}

// Row returns the row of a key. It returns false if there is none.
func (f *Follower) Row(key string) (storer.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[key]
	return r, ok
}

// RowsWithPrefix returns the rows whose keys begin with a prefix, in no order, and the version of the
// table as of which they are complete.
func (f *Follower) RowsWithPrefix(prefix string) (rows []storer.Row, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, r := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, r)
		}
	}
	return rows, f.version
}

// Synced returns a channel that is closed once the copy has been complete.
func (f *Follower) Synced() <-chan struct{} { return f.firstSync }

// CompleteAsOf returns the latest instant as of which the copy was complete. It returns
// false if the copy never was.
func (f *Follower) CompleteAsOf() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeAsOf, f.synced
}

// AnsweringSince returns the instant since which the store has answered without a failure.
// It returns false if the last call failed or none was answered.
func (f *Follower) AnsweringSince() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeringSince, f.answeringSince > 0
}

// FirstAnswer returns the instant of the store's first answer. It returns false if there was
// none.
func (f *Follower) FirstAnswer() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstAnswer, f.firstAnswer > 0
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	backOff := minBackOff
	for f.waitResumed(ctx); ctx.Err() == nil; f.waitResumed(ctx) {
		start := f.clock()
		callCtx, timeout := f.beginCall(ctx)
		err := f.poll(callCtx, start, timeout)
		if f.endCall(err) {
			continue
		}
		if err != nil {
			f.recordFailure(ctx, err)
			timer.Wait(ctx, max(backOff, f.minInterval()-(f.clock()-start)), nil)
			backOff = min(2*backOff, maxBackOff)
			continue
		}
		backOff = minBackOff
		timer.Wait(ctx, f.minInterval()/wakeDivisor-(f.clock()-start), nil)
		timer.Wait(ctx, f.minInterval()-(f.clock()-start), f.wake)
	}
}

// poll makes one call that starts at now: for a snapshot until the copy has been complete,
// and for changes after that, which the store may hold for timeout. If the store no longer has all
// changes since the last call, poll reads another snapshot.
func (f *Follower) poll(ctx context.Context, now, timeout time.Duration) error {
	f.mu.Lock()
	synced, version := f.synced, f.version
	f.mu.Unlock()
	if !synced {
		return f.snapshot(ctx, now)
	}
	changes, err := f.feed.Follow(ctx, f.options.Table, version, timeout)
	var compactedErr *storer.CompactedError
	if errors.As(err, &compactedErr) {
		f.log.Warn().Str("table", f.options.Table).Uint64("after", version).Msg("store: changes no longer available, reading snapshot")
		return f.snapshot(ctx, f.clock())
	}
	if err != nil {
		return err
	}
	f.applyChanges(now, changes, false)
	return nil
}

func (f *Follower) snapshot(ctx context.Context, now time.Duration) error {
	changes, err := f.feed.Snapshot(ctx, f.options.Table)
	if err != nil {
		return err
	}
	f.applyChanges(now, changes, true)
	return nil
}

// applyChanges merges the changes or the snapshot into the copy and passes the changed rows
// on. now is the instant at which the call started; the copy is then complete as of now.
func (f *Follower) applyChanges(now time.Duration, changes storer.Changes, isSnapshot bool) {
	changed := f.merge(now, changes, isSnapshot)
	if len(changed) > 0 {
		f.apply(f.clock(), changed)
	}
	f.firstSyncOnce.Do(func() { close(f.firstSync) })
}

// merge updates the copy from a call that started at now and returns the rows that changed.
func (f *Follower) merge(now time.Duration, changes storer.Changes, isSnapshot bool) []storer.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeringSince == 0 {
		f.answeringSince = f.clock()
		if f.firstAnswer == 0 {
			f.firstAnswer = f.answeringSince
		}
		f.log.Info().Str("table", f.options.Table).Uint64("version", changes.Version).Msg("store: answers")
	}
	if f.synced && storer.Era(changes.Version) > storer.Era(f.version) {
		f.log.Warn().Str("table", f.options.Table).Uint64("era", storer.Era(changes.Version)).Uint64("version", changes.Version).
			Uint64("before", f.version).Msg("store: came back from a copy")
		f.answeringSince = f.clock()
	}
	f.recordOmitted(changes.Omitted)
	var changed []storer.Row
	present := map[string]bool{}
	for _, r := range changes.Rows {
		present[r.Key] = true
		known, ok := f.rows[r.Key]
		// Skip a row that is no newer than the copy's. If a complete copy of the same or a
		// later version lacks the row, the row has been removed and the answer is outdated.
		if ok && r.Version <= known.Version || !ok && f.synced && r.Version <= f.version {
			f.logSkipped(r, known)
			continue
		}
		f.storeRow(r)
		changed = append(changed, r)
	}
	if isSnapshot {
		changed = append(changed, f.removeMissing(changes.Version, present)...)
	}
	f.version = max(f.version, changes.Version)
	f.synced = true
	f.completeAsOf = max(f.completeAsOf, now)
	return changed
}

// logSkipped logs a row that is skipped although it differs from the one of the copy. The caller
// holds the lock.
func (f *Follower) logSkipped(r, known storer.Row) {
	if !bytes.Equal(r.Value, known.Value) {
		f.log.Info().Str("table", f.options.Table).Str("key", r.Key).Uint64("row", r.Version).Uint64("known", known.Version).
			Uint64("after", f.version).Msg("store: row counts as old")
	}
}

// recordOmitted logs the number of rows that an answer leaves out, if no answer before left out
// as many. The caller holds the lock.
func (f *Follower) recordOmitted(omitted int) {
	if omitted <= f.omitted {
		return
	}
	f.omitted = omitted
	f.log.Warn().Str("table", f.options.Table).Int("rows", omitted).Msg("store: rows without a key left out")
}

// removeMissing removes the rows that a snapshot lacks and returns them, marked as deleted.
// The snapshot has the given version and the keys in present. Rows newer than the snapshot
// are kept, and with KeepLost those of earlier eras. The caller holds the lock.
func (f *Follower) removeMissing(version uint64, present map[string]bool) []storer.Row {
	var removed []storer.Row
	for key, r := range f.rows {
		if present[key] || r.Version > version || f.options.KeepLost && storer.Era(r.Version) < storer.Era(version) {
			continue
		}
		removed = append(removed, storer.Row{Key: key, Version: version, Deleted: true})
		delete(f.rows, key)
	}
	return removed
}

// storeRow stores a row, or deletes it if it was removed. The caller holds the lock.
func (f *Follower) storeRow(row storer.Row) {
	if row.Deleted {
		delete(f.rows, row.Key)
		return
	}
	f.rows[row.Key] = row
}

// recordFailure records and logs a failed call, unless ctx has ended.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeringSince > 0 {
		f.log.Warn().Str("table", f.options.Table).Err(err).Msg("store: lost")
	}
	f.answeringSince = 0
}
