// Package syncer keeps a process's configuration in step with the platform and
// appends accepted changes.
//
// Changes are rows numbered by version; one head row names the newest. A process
// that starts, or that is far behind, loads a snapshot object first.
package syncer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/configurer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// snapshotEvery is the number of changes between two snapshot objects.
const snapshotEvery = 32

// OvertakenError reports that the configuration moved on before a change was
// accepted.
type OvertakenError struct {
	Base uint64
	Now  uint64
}

// Error names the two versions.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("made from version %d, the configuration is at %d", e.Base, e.Now)
}

// Syncer reads and extends the configuration. It is safe for concurrent use.
type Syncer struct {
	table  storer.Table
	store  storer.Store
	copy   *configurer.Configurer
	mu     sync.Mutex
	proven time.Duration
	known  bool
}

// New returns a syncer for a process's copy.
func New(table storer.Table, store storer.Store, c *configurer.Configurer) *Syncer {
	return &Syncer{table: table, store: store, copy: c}
}

// Proven returns the instant since which the copy is known to have been the
// newest, and false if it never was.
func (s *Syncer) Proven() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proven, s.known
}

// Prove records that the copy held the newest configuration at the instant at.
func (s *Syncer) Prove(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || at > s.proven {
		s.proven, s.known = at, true
	}
}

// Pull brings the copy up to the head. It was called at now, which becomes the
// instant of the proof.
func (s *Syncer) Pull(ctx context.Context, now time.Duration) error {
	head, _, err := s.head(ctx)
	if err != nil {
		return err
	}
	if err := s.fetch(ctx, head); err != nil {
		return err
	}
	if s.copy.View().Version() >= head.GetVersion() {
		s.Prove(now)
	}
	return nil
}

func (s *Syncer) head(ctx context.Context) (*wire.Head, uint64, error) {
	row, err := s.table.Get(ctx, storer.HeadKey)
	if err != nil {
		return nil, 0, err
	}
	head := &wire.Head{}
	return head, row.Version, storer.Decode(row.Value, head)
}

// fetch applies all changes up to head.
func (s *Syncer) fetch(ctx context.Context, head *wire.Head) error {
	if s.copy.View().Version() < head.GetSnapshot() {
		if err := s.restore(ctx, head.GetSnapshot()); err != nil {
			return err
		}
	}
	for v := s.copy.View().Version() + 1; v <= head.GetVersion(); v++ {
		row, err := s.table.Get(ctx, storer.ChangeKey(v))
		if err != nil {
			return err
		}
		if row.Version == 0 {
			return &configurer.GapError{Have: v - 1, Got: head.GetVersion()}
		}
		change := &wire.Change{}
		if err := storer.Decode(row.Value, change); err != nil {
			return err
		}
		if err := s.copy.Apply(change); err != nil {
			return err
		}
	}
	return nil
}

func (s *Syncer) restore(ctx context.Context, version uint64) error {
	data, err := s.store.Load(ctx, storer.SnapshotName(version))
	if err != nil {
		return err
	}
	snapshot := &wire.Change{}
	if err := storer.Decode(data, snapshot); err != nil {
		return err
	}
	s.copy.Restore(snapshot)
	return nil
}

// Publish accepts change as the successor of version base, together with the
// writes in extra, and brings the copy up to it. It returns an OvertakenError if
// the configuration is at another version. If the answer of the platform was
// lost, it reads its own write back.
func (s *Syncer) Publish(ctx context.Context, now time.Duration, base uint64, change *wire.Change, extra storer.Transaction) error {
	head, version, err := s.head(ctx)
	if err != nil {
		return err
	}
	if head.GetVersion() != base {
		return &OvertakenError{Base: base, Now: head.GetVersion()}
	}
	change.Version = base + 1
	next := &wire.Head{Version: base + 1, Snapshot: s.snapshot(ctx, head)}
	tx, err := join(next, version, change, extra)
	if err != nil {
		return err
	}
	if err := s.commit(ctx, tx, change); err != nil {
		return err
	}
	return s.Pull(ctx, now)
}

// snapshot saves a snapshot of the copy when one is due and returns the version
// of the newest snapshot. A snapshot that fails is tried again at the next
// change.
func (s *Syncer) snapshot(ctx context.Context, head *wire.Head) uint64 {
	view := s.copy.View()
	if view.Version() > head.GetVersion() || view.Version() < head.GetSnapshot()+snapshotEvery {
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

func join(head *wire.Head, version uint64, change *wire.Change, extra storer.Transaction) (storer.Transaction, error) {
	first, err := storer.Encode(head)
	if err != nil {
		return extra, err
	}
	second, err := storer.Encode(change)
	if err != nil {
		return extra, err
	}
	extra.Checks = append(extra.Checks, storer.Check{Key: storer.HeadKey, Version: version})
	extra.Puts = append(
		extra.Puts,
		storer.Put{Key: storer.HeadKey, Value: first},
		storer.Put{Key: storer.ChangeKey(head.GetVersion()), Value: second},
	)
	return extra, nil
}

// commit applies tx. After an error that leaves the outcome open it looks for
// the change's token.
func (s *Syncer) commit(ctx context.Context, tx storer.Transaction, change *wire.Change) error {
	_, err := s.table.Commit(ctx, tx)
	if err == nil {
		return nil
	}
	var conflict *storer.ConflictError
	certain := eris.As(err, &conflict)
	row, readErr := s.table.Get(ctx, storer.ChangeKey(change.GetVersion()))
	if readErr != nil {
		return err
	}
	found := &wire.Change{}
	if decodeErr := storer.Decode(row.Value, found); decodeErr != nil {
		return err
	}
	switch {
	case found.GetToken() != "" && found.GetToken() == change.GetToken():
		return nil
	case row.Version != 0 || certain:
		return &OvertakenError{Base: change.GetVersion() - 1, Now: max(found.GetVersion(), change.GetVersion())}
	}
	return err
}
