// Package restorer writes the claims of a process again after the store has lost their rows, and
// finds out whether all processes have done so.
package restorer

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/claimer"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Restorer holds the claims of one process, writes them, and writes them again in a later era of the
// store. It is safe for concurrent use.
type Restorer struct {
	// name is that of the process, by which it confirms that its claims are written, or empty if it
	// does not confirm that.
	name  string
	table storer.Table
	clock timer.Clock
	log   *log.Logger

	// sweeping is held during Sweep. claiming is held for reading during Claim, so that Sweep can
	// wait until the claims that were written in an earlier era are remembered.
	sweeping sync.Mutex
	claiming sync.RWMutex
	// mu guards the fields below.
	mu     sync.Mutex
	memory *claimer.Memory
	gate   claimer.Gate
	// confirmed is the latest era in which this process has written its claims.
	confirmed uint64
}

// New returns the restorer of a process. Others wait until a process with a name has confirmed that
// its claims are written; the name is empty for an entry.
func New(name string, table storer.Table, clock timer.Clock, l *log.Logger) *Restorer {
	return &Restorer{name: name, table: table, clock: clock, log: l, memory: claimer.NewMemory()}
}

// Claim writes the claim of a key, which must have no row, and remembers it. It returns the version
// of the row, or 0 if another call has claimed the key. If the commit failed, its answer may have
// been lost, so the row is read and compared with the claim's own token. After an error the key is
// not claimed, as far as is known.
func (r *Restorer) Claim(ctx context.Context, key string, record *wire.Claim) (uint64, error) {
	r.claiming.RLock()
	defer r.claiming.RUnlock()
	value, err := storer.Encode(record)
	if err != nil {
		return 0, err
	}
	versions, err := r.table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: key}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	})
	if err == nil {
		r.remember(key, record, versions[0])
		return versions[0], nil
	}
	existing, version, readErr := r.Read(ctx, key)
	switch {
	case readErr != nil:
		return 0, readErr
	case version != 0 && existing.GetToken() == record.GetToken():
		r.remember(key, record, version)
		return version, nil
	case version != 0:
		return 0, nil
	}
	return 0, err
}

// remember remembers a claim whose call runs from now on, with the version of its row.
func (r *Restorer) remember(key string, record *wire.Claim, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Add(r.clock(), key, record, version)
}

// Read returns the claim of a key and the version of its row, which is 0 if there is none.
func (r *Restorer) Read(ctx context.Context, key string) (*wire.Claim, uint64, error) {
	row, err := r.table.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	claim := &wire.Claim{}
	return claim, row.Version, storer.Decode(row.Value, claim)
}

// Expect remembers that the call with a key is being sent to a sidecar, which writes the claim. It
// returns false if the key is remembered already.
func (r *Restorer) Expect(key string, digest []byte) bool {
	era := max(r.table.Era(), storer.FirstEra)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.memory.Find(key); ok {
		return false
	}
	r.memory.Add(r.clock(), key, &wire.Claim{Digest: digest}, storer.NewVersion(era, 1))
	return true
}

// Answered records the answer to a call that was expected, or nil if its outcome is not known.
func (r *Restorer) Answered(key string, answer *wire.Answer) {
	if answer != nil && len(answer.GetBody()) > claimer.MaxAnswer {
		answer = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Finish(key, "", answer)
}

// NeverRan records that a call that was expected never ran.
func (r *Restorer) NeverRan(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Forget(key, "")
}

// Find returns the claim of this process for a key, unless its call never ran.
func (r *Restorer) Find(key string) (claimer.Claim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.Find(key)
}

// Finish records the end of the call of a claim, with its answer or nil, and writes an answer to
// the row of the claim.
func (r *Restorer) Finish(ctx context.Context, key, token string, answer *wire.Answer) error {
	r.mu.Lock()
	r.memory.Finish(key, token, answer)
	claim, ok := r.memory.Find(key)
	r.mu.Unlock()
	if answer == nil || !ok || claim.Record.GetToken() != token {
		return nil
	}
	return r.update(ctx, claim)
}

// Release records that the call of a claim never ran, and deletes the row of the claim.
func (r *Restorer) Release(ctx context.Context, key, token string) error {
	r.mu.Lock()
	claim, ok := r.memory.Find(key)
	r.memory.Release(key, token)
	r.mu.Unlock()
	if !ok || claim.Record.GetToken() != token {
		return nil
	}
	claim.Released = true
	return r.update(ctx, claim)
}

// update writes what is known of a claim to its row, which has the claim's version. If the row
// has another version, or is lost, what it holds now decides.
func (r *Restorer) update(ctx context.Context, c claimer.Claim) error {
	err := r.commit(ctx, c, c.Version)
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	_, err = r.compare(ctx, c)
	return err
}

// commit writes what is known of a claim to its row if the row has a version. If the call of the
// claim has ended meanwhile, it writes that too.
func (r *Restorer) commit(ctx context.Context, c claimer.Claim, version uint64) error {
	tx := storer.Transaction{Checks: []storer.Check{{Key: c.Key, Version: version}}}
	if c.Released {
		tx.Deletes = []string{c.Key}
	} else {
		value, err := storer.Encode(c.Record)
		if err != nil {
			return err
		}
		tx.Puts = []storer.Put{{Key: c.Key, Value: value}}
	}
	era := r.table.Era()
	versions, err := r.table.Commit(ctx, tx)
	if err != nil {
		r.markUncertain(c)
		return err
	}
	// A deleted row has no version.
	written := storer.NewVersion(era, storer.Number(c.Version))
	if len(versions) > 0 {
		written = versions[0]
	}
	r.setVersion(c, written)
	r.mu.Lock()
	latest, ok := r.memory.Lookup(c.Key, c.Record.GetToken())
	r.mu.Unlock()
	if ok && (latest.Released != c.Released || latest.Record.GetDone() != c.Record.GetDone()) {
		_, err = r.compare(ctx, latest)
	}
	return err
}

// setVersion records the version of the row of a claim.
func (r *Restorer) setVersion(c claimer.Claim, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.SetVersion(c.Key, c.Record.GetToken(), version)
}

// markUncertain records that a write of the row of a claim may have taken effect.
func (r *Restorer) markUncertain(c claimer.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.MarkUncertain(c.Key, c.Record.GetToken())
}

// compare reads the row of a claim and writes what is known of the claim, unless the row holds that
// already, the claim of a sidecar in place of that of an entry, or the answer to another call. It
// reports whether the row shows that the copy of the store has the claim. Claims of entries have no
// token.
func (r *Restorer) compare(ctx context.Context, c claimer.Claim) (unchanged bool, err error) {
	row, err := r.table.Get(ctx, c.Key)
	if err != nil {
		return false, err
	}
	stored := &wire.Claim{}
	// A row that cannot be decoded holds nothing that is known of the claim.
	same := storer.Decode(row.Value, stored) == nil && stored.GetToken() == c.Record.GetToken()
	switch {
	case c.Released && (row.Version == 0 || !same):
		// The row is deleted already.
		r.setVersion(c, storer.NewVersion(r.table.Era(), storer.Number(c.Version)))
		return false, nil
	case row.Version != 0 && same && !c.Released && (stored.GetDone() || !c.Record.GetDone()):
		// The row holds all that is known. That of an entry may have been written after the store
		// came back, so it shows nothing of the copy.
		r.setVersion(c, row.Version)
		return c.Record.GetToken() != "", nil
	case row.Version != 0 && c.Record.GetToken() == "" && stored.GetToken() != "":
		// The sidecar's claim is there.
		r.setVersion(c, row.Version)
		return true, nil
	case row.Version != 0 && !same && stored.GetDone() && stored.GetToken() == "":
		// An entry has written an answer, which stands.
		r.setVersion(c, row.Version)
		return false, nil
	case row.Version != 0 && !same && stored.GetDone():
		r.log.Error().Str("key", c.Key).Bool("done", stored.GetDone()).Msg("claim: lost to another call")
		r.setVersion(c, row.Version)
		return false, nil
	}
	return false, r.commit(ctx, c, row.Version)
}

// Times of Run.
const (
	// sweepInterval is the time between two sweeps.
	sweepInterval = time.Second
	// sweepTimeout bounds a sweep. The next one goes on with the claims that are left.
	sweepTimeout = 5 * time.Second
)

// Run sweeps every sweepInterval until ctx ends.
func (r *Restorer) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limited, cancel := context.WithTimeout(ctx, sweepTimeout)
		if err := r.Sweep(limited); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("claim: not written again")
		}
		cancel()
	}
}

// Sweep writes the claims again that the store may have lost, and confirms that.
func (r *Restorer) Sweep(ctx context.Context) error {
	r.sweeping.Lock()
	defer r.sweeping.Unlock()
	era, err := r.pollEra(ctx)
	if err != nil || era <= storer.FirstEra {
		return err
	}
	r.mu.Lock()
	confirmed := r.confirmed
	r.mu.Unlock()
	if r.name != "" && confirmed < era {
		// Waits for the calls of Claim in progress, which may have written in an earlier era. Claims
		// that are written from here on are of this era or a later one.
		r.claiming.Lock()
		r.claiming.Unlock()
	}
	if err := r.restore(ctx, era); err != nil || r.name == "" || confirmed >= era {
		return err
	}
	return r.confirm(ctx, era)
}

// pollEra returns the latest era of the store. A process with claims reads a row, any one, since each
// answer of the store names its era. A process without claims relies on its other calls.
func (r *Restorer) pollEra(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	claims := r.memory.Len()
	r.mu.Unlock()
	if claims > 0 {
		if _, err := r.table.Get(ctx, storer.SettledKey(storer.FirstEra)); err != nil {
			return 0, err
		}
	}
	return r.recordEra(), nil
}

// recordEra records the latest era that is known and returns it.
func (r *Restorer) recordEra() uint64 {
	era := r.table.Era()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.RecordEra(r.clock(), era)
	return era
}

// maxClaimDelay is the longest time from the sending of a call by an entry until its sidecar has
// claimed the key, with a margin for its way.
const maxClaimDelay = 5 * time.Second

// evidence is what is known of the copy from which the store came back. The copy holds all rows up to
// some version, so that one unchanged row shows that those with lower versions are unchanged too.
type evidence struct {
	// era is that of the rows that were found unchanged, or 0. Rows of sidecars with lower versions
	// of that era are unchanged too.
	era uint64
	// sentBy is the instant up to which the claims of the calls that this entry sent are there.
	sentBy time.Duration
}

// covers reports whether the row of a claim is certainly unchanged. A row that a later write may
// have changed shows nothing.
func (v *evidence) covers(c claimer.Claim) bool {
	if c.Released || c.Uncertain {
		return false
	}
	if c.Record.GetToken() == "" {
		return c.At <= v.sentBy
	}
	return storer.Era(c.Version) == v.era
}

// add records that the row of a claim was found unchanged.
func (v *evidence) add(c claimer.Claim) {
	switch {
	case c.Uncertain:
	case c.Record.GetToken() == "":
		v.sentBy = max(v.sentBy, c.At-maxClaimDelay)
	default:
		v.era = storer.Era(c.Version)
	}
}

// restore writes the claims again whose rows are of earlier eras and may be lost.
func (r *Restorer) restore(ctx context.Context, era uint64) error {
	r.mu.Lock()
	lost := r.memory.Lost(era)
	r.mu.Unlock()
	written := 0
	var known evidence
	for _, c := range lost {
		if known.covers(c) {
			r.setVersion(c, storer.NewVersion(era, storer.Number(c.Version)))
			continue
		}
		unchanged, err := r.compare(ctx, c)
		if err != nil {
			return err
		}
		if unchanged {
			known.add(c)
		} else {
			written++
		}
	}
	if written > 0 {
		r.log.Info().Uint64("era", era).Int("claims", written).Msg("claim: written again")
	}
	return nil
}

// confirm confirms that the claims of this process are written in an era.
func (r *Restorer) confirm(ctx context.Context, era uint64) error {
	versions, err := r.table.Commit(ctx, storer.Transaction{
		Puts: []storer.Put{{Key: storer.RestoredKey(era, r.name), Value: []byte(r.name)}},
	})
	if err != nil || storer.Era(versions[0]) != era {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = max(r.confirmed, era)
	return nil
}

// Admit returns the era of the store and how long a key without a row may still have been claimed
// in an earlier one. Zero means that it has not been. listed are the processes that may have
// claims.
func (r *Restorer) Admit(ctx context.Context, listed []string) (era uint64, wait time.Duration, err error) {
	era = r.recordEra()
	if r.settled(era) {
		return era, 0, nil
	}
	row, err := r.table.Get(ctx, storer.SettledKey(era))
	if err != nil {
		return era, 0, err
	}
	if row.Version == 0 {
		if wait, err = r.settle(ctx, era, listed); err != nil || wait > 0 {
			return era, wait, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.RecordSettled(era)
	return era, 0, nil
}

// Settled reports whether a key without a row is known not to have been claimed.
func (r *Restorer) Settled() bool { return r.settled(r.recordEra()) }

func (r *Restorer) settled(era uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Settled(era)
}

// settle writes the row which says that the claims of an era are complete, or returns how long they
// may still be incomplete.
func (r *Restorer) settle(ctx context.Context, era uint64, listed []string) (time.Duration, error) {
	rows, err := r.table.List(ctx, storer.RestoredPrefix(era))
	if err != nil {
		return 0, err
	}
	var confirmed []string
	for _, row := range rows {
		confirmed = append(confirmed, strings.TrimPrefix(row.Key, storer.RestoredPrefix(era)))
	}
	r.mu.Lock()
	wait := r.gate.Wait(r.clock(), append(listed, r.name), confirmed)
	r.mu.Unlock()
	if wait > 0 {
		return wait, nil
	}
	_, err = r.table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: storer.SettledKey(era)}},
		Puts:   []storer.Put{{Key: storer.SettledKey(era), Value: []byte(r.name)}},
	})
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return 0, err
	}
	r.log.Info().Uint64("era", era).Int("listed", len(listed)).Int("confirmed", len(confirmed)).Msg("claim: taken again")
	return 0, nil
}
