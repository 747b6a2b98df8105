// Package syncer synchronizes a process's copy of the configuration with the
// platform's store and publishes changes there.
//
// Each change is a row, numbered by its version; the head row names the newest
// version and the newest snapshot. A process whose copy is older than that
// snapshot, such as one that starts, loads the snapshot object first.
package syncer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/configurer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// snapshotInterval is the number of changes between two snapshot objects.
const snapshotInterval = 32

// gapTimeout is how long a change that cannot be read holds up the copy. Other processes that
// have the change can supply it meanwhile.
const gapTimeout = 2 * time.Second

// UnreadableChangeError reports a change whose row cannot be read.
type UnreadableChangeError struct {
	Version uint64
	cause   error
}

// Error names the version, with the cause if there is one.
func (e *UnreadableChangeError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("the row of change %d holds another change", e.Version)
	}
	return fmt.Sprintf("change %d cannot be read: %v", e.Version, e.cause)
}

// Unwrap returns the cause.
func (e *UnreadableChangeError) Unwrap() error { return e.cause }

// StaleBaseError reports that a change was not accepted because the configuration
// is no longer at the version that the change is based on.
type StaleBaseError struct {
	// Base is the version that the change is based on, Current the newest version known.
	Base    uint64
	Current uint64
}

// Error returns a message with both versions.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("made from version %d, the configuration is at %d", e.Base, e.Current)
}

// Syncer reads the configuration from the store and publishes changes to it. It
// is safe for concurrent use.
type Syncer struct {
	table  storer.Table
	store  storer.ObjectStore
	config *configurer.Configurer
	mu     sync.Mutex
	// currentAt is the latest instant at which config is known to have been the
	// newest configuration. It is valid if everCurrent is set.
	currentAt   time.Duration
	everCurrent bool
	// unreadable is the version of the change that could not be read since unreadableSince,
	// or 0. gaps are the versions of the changes that the copy lacks for that reason.
	unreadable      uint64
	unreadableSince time.Duration
	gaps            []uint64
	// unconfirmedEra is the latest era of the store in which the head was not confirmed at first, known
	// since unconfirmedSince.
	unconfirmedEra   uint64
	unconfirmedSince time.Duration
}

// New returns a syncer that updates the copy config.
func New(table storer.Table, store storer.ObjectStore, config *configurer.Configurer) *Syncer {
	return &Syncer{table: table, store: store, config: config}
}

// LastCurrent returns the latest instant at which the copy is known to have been the
// newest configuration, and false if there is none.
func (s *Syncer) LastCurrent() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentAt, s.everCurrent
}

// Gaps returns the versions of the changes that the copy lacks because they cannot be read. What
// they set or withdrew has to be set or withdrawn again.
func (s *Syncer) Gaps() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.gaps)
}

// MarkCurrent records that the copy was the newest configuration at the instant at. It
// has no effect if a later instant is already recorded.
func (s *Syncer) MarkCurrent(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.everCurrent || at > s.currentAt {
		s.currentAt, s.everCurrent = at, true
	}
}

// Pull updates the copy to the head in the store and then marks it as current at
// now, which must be the instant of the call and so lies before the read of the
// head. If the head is older than the copy, the copy stays as it is and is marked
// as current too. If the store has come back from a copy since the head was written, the error is an
// *UnconfirmedError.
func (s *Syncer) Pull(ctx context.Context, now time.Duration) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if err := s.applyUpTo(ctx, now, head); err != nil {
		return err
	}
	if err := s.checkConfirmed(now, head); err != nil {
		return err
	}
	if s.config.View().Version() >= head.GetVersion() {
		s.MarkCurrent(now)
	}
	return nil
}

// readHead returns the head and the version of its row, which is 0 if there is no
// configuration yet.
func (s *Syncer) readHead(ctx context.Context) (*wire.Head, uint64, error) {
	row, err := s.table.Get(ctx, storer.ConfigHeadKey)
	if err != nil {
		return nil, 0, err
	}
	head := &wire.Head{}
	return head, row.Version, storer.Decode(row.Value, head)
}

// applyUpTo loads the newest snapshot if the copy is older than it, and applies
// the changes that follow up to head. If the snapshot cannot be used, it applies the
// changes before it as well. A missing change is a *configurer.GapError.
func (s *Syncer) applyUpTo(ctx context.Context, now time.Duration, head *wire.Head) error {
	var snapshotErr error
	if s.config.View().Version() < head.GetSnapshot() {
		snapshotErr = s.loadSnapshot(ctx, head.GetSnapshot())
	}
	for v := s.config.View().Version() + 1; v <= head.GetVersion(); v++ {
		err := s.applyChange(ctx, now, v, head)
		if err != nil && snapshotErr != nil {
			return snapshotErr
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// applyChange applies the change of a version. One that cannot be read is an
// *UnreadableChangeError until gapTimeout has passed, and is then skipped.
func (s *Syncer) applyChange(ctx context.Context, now time.Duration, version uint64, head *wire.Head) error {
	row, err := s.table.Get(ctx, storer.ChangeKey(version))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return &configurer.GapError{Have: version - 1, Got: head.GetVersion()}
	}
	change := &wire.Change{}
	err = storer.Decode(row.Value, change)
	if err != nil || change.GetVersion() != version {
		return s.skip(now, &UnreadableChangeError{Version: version, cause: err})
	}
	return s.config.Apply(change)
}

// skip skips a change that cannot be read, or returns unreadable if gapTimeout has not passed yet.
// It does nothing if another process has supplied the change.
func (s *Syncer) skip(now time.Duration, unreadable *UnreadableChangeError) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.View().Version() >= unreadable.Version {
		return nil
	}
	if s.unreadable != unreadable.Version {
		s.unreadable, s.unreadableSince = unreadable.Version, now
	}
	if now-s.unreadableSince < gapTimeout {
		return unreadable
	}
	if err := s.config.Skip(unreadable.Version); err != nil {
		return err
	}
	s.gaps = append(s.gaps, unreadable.Version)
	return nil
}

// loadSnapshot restores the copy from the snapshot of a version.
func (s *Syncer) loadSnapshot(ctx context.Context, version uint64) error {
	data, err := s.store.Load(ctx, storer.SnapshotName(version))
	if err != nil {
		return err
	}
	snapshot := &wire.Change{}
	if err := storer.Decode(data, snapshot); err != nil {
		return err
	}
	if snapshot.GetVersion() != version {
		return storer.NewFormatError("the snapshot is of another version", nil)
	}
	s.config.Restore(snapshot)
	return nil
}

// Publish writes change as the successor of version base, in one transaction with
// the checks and writes in extra, and then pulls with now. It sets the version of
// change. It returns a *StaleBaseError if the configuration is at another version
// or a check fails, and an *UnconfirmedError as Pull does. If the store's reply is lost, it reads the row of the change
// back to learn the outcome, which requires a unique token in change.
func (s *Syncer) Publish(ctx context.Context, now time.Duration, base uint64, change *wire.Change, extra storer.Transaction) error {
	head, rowVersion, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if err := s.checkConfirmed(now, head); err != nil {
		return err
	}
	if head.GetVersion() != base {
		return &StaleBaseError{Base: base, Current: head.GetVersion()}
	}
	change.Version = base + 1
	next := &wire.Head{Version: base + 1, Snapshot: s.saveSnapshot(ctx, head), Era: storer.Era(rowVersion)}
	tx, err := publishTransaction(next, rowVersion, change, extra)
	if err != nil {
		return err
	}
	if err := s.commit(ctx, tx, change); err != nil {
		return err
	}
	// The store may lose the change before it is read.
	if s.config.View().Version() == base {
		if err := s.config.Apply(change); err != nil {
			return err
		}
	}
	return s.Pull(ctx, now)
}

// saveSnapshot saves a snapshot of the copy if the copy is at least
// snapshotInterval versions ahead of the newest snapshot, and returns the version
// of the newest snapshot. A failure is ignored, since the next change tries
// again.
func (s *Syncer) saveSnapshot(ctx context.Context, head *wire.Head) uint64 {
	view := s.config.View()
	if view.Version() > head.GetVersion() || view.Version() < head.GetSnapshot()+snapshotInterval {
		return head.GetSnapshot()
	}
	data, err := storer.Encode(view.Snapshot())
	if err != nil {
		return head.GetSnapshot()
	}
	if err := s.store.Save(ctx, storer.SnapshotName(view.Version()), data); err != nil {
		return head.GetSnapshot()
	}
	return view.Version()
}

// publishTransaction adds to extra the writes of head and change, on condition
// that the row of the head is still at rowVersion.
func publishTransaction(head *wire.Head, rowVersion uint64, change *wire.Change, extra storer.Transaction) (storer.Transaction, error) {
	headData, err := storer.Encode(head)
	if err != nil {
		return extra, err
	}
	changeData, err := storer.Encode(change)
	if err != nil {
		return extra, err
	}
	extra.Checks = append(extra.Checks, storer.Check{Key: storer.ConfigHeadKey, Version: rowVersion})
	extra.Puts = append(
		extra.Puts,
		storer.Put{Key: storer.ConfigHeadKey, Value: headData},
		storer.Put{Key: storer.ChangeKey(head.GetVersion()), Value: changeData},
	)
	return extra, nil
}

// commit applies tx. After an error it reads the row of the change's version back:
// with the token of change in it, the change was accepted after all. With another
// change in it, or after a conflict, the change was not accepted and commit
// returns a *StaleBaseError. Otherwise the outcome stays open and it returns the
// original error.
func (s *Syncer) commit(ctx context.Context, tx storer.Transaction, change *wire.Change) error {
	_, err := s.table.Commit(ctx, tx)
	if err == nil {
		return nil
	}
	var conflict *storer.ConflictError
	conflicted := eris.As(err, &conflict)
	row, readErr := s.table.Get(ctx, storer.ChangeKey(change.GetVersion()))
	if readErr != nil {
		return err
	}
	stored := &wire.Change{}
	if decodeErr := storer.Decode(row.Value, stored); decodeErr != nil {
		return err
	}
	switch {
	case stored.GetToken() != "" && stored.GetToken() == change.GetToken():
		return nil
	case row.Version != 0 || conflicted:
		return &StaleBaseError{Base: change.GetVersion() - 1, Current: max(stored.GetVersion(), change.GetVersion())}
	}
	return err
}
