package syncer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

// eraVersions is the number of versions of each era of the store. The first version that is confirmed in
// an era is above all of the eras before, so that no version is given out twice.
const eraVersions = 1_000_000

// confirmTimeout is the time in a new era after which the newest version is confirmed although not all
// entries have told theirs.
const confirmTimeout = 10 * time.Second

// UnconfirmedError reports that the store has come back from an earlier copy of itself and may have lost
// changes, so that its head does not tell the newest version. No change is accepted meanwhile.
type UnconfirmedError struct {
	// Era is that of the store, Head the version of its head.
	Era  uint64
	Head uint64
}

// Error names the era and the version.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("the store came back from a copy (era %d), and its version %d is not confirmed yet", e.Era, e.Head)
}

// checkConfirmed returns an *UnconfirmedError if the head was written in an earlier era than the present
// one, which is recorded as known from now on.
func (s *Syncer) checkConfirmed(now time.Duration, head *wire.Head) error {
	era := s.table.Era()
	if era <= storer.FirstEra || head.GetEra() >= era {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfirmedEra != era {
		s.unconfirmedEra, s.unconfirmedSince = era, now
	}
	return &UnconfirmedError{Era: era, Head: head.GetVersion()}
}

// Confirm writes what this process has in force to the store as the newest version, after a Pull at now
// has failed with an *UnconfirmedError. newest is set if no entry has a newer version; without it Confirm
// waits for confirmTimeout in the era. It does nothing while another process confirms another version.
func (s *Syncer) Confirm(ctx context.Context, now time.Duration, newest bool) error {
	head, rowVersion, err := s.readHead(ctx)
	if err != nil || s.checkConfirmed(now, head) == nil {
		return err
	}
	s.mu.Lock()
	waited := now - s.unconfirmedSince
	s.mu.Unlock()
	if !newest && waited < confirmTimeout {
		return nil
	}
	era := s.table.Era()
	snapshot := proto.CloneOf(s.config.View().Snapshot())
	snapshot.Version = firstVersion(era, max(s.config.View().Version(), head.GetVersion()))
	if err := s.confirm(ctx, snapshot, era, rowVersion); err != nil {
		return err
	}
	return s.Pull(ctx, now)
}

// firstVersion returns the version that is confirmed first in an era in which version is the newest one
// that is known.
func firstVersion(era, version uint64) uint64 {
	return max(version+1, (era-storer.FirstEra)*eraVersions+(version+1)%eraVersions)
}

// confirm writes a snapshot, and a head with its version on condition that the row of the head is still
// at rowVersion.
func (s *Syncer) confirm(ctx context.Context, snapshot *wire.Change, era, rowVersion uint64) error {
	data, err := storer.Encode(snapshot)
	if err != nil {
		return err
	}
	version := snapshot.GetVersion()
	if err := s.store.Save(ctx, storer.SnapshotName(version), data); err != nil {
		return err
	}
	head, err := storer.Encode(&wire.Head{Version: version, Snapshot: version, Era: era})
	if err != nil {
		return err
	}
	_, err = s.table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: storer.ConfigHeadKey, Version: rowVersion}},
		Puts:   []storer.Put{{Key: storer.ConfigHeadKey, Value: head}},
	})
	return err
}
