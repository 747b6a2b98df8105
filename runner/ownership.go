package runner

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/storer"
	"oleanderstall/timer"
)

// ownership is the right of a process to order one engine. It is recorded in the
// engine's holder row in the store.
type ownership struct {
	clock timer.Clock
	// key is the key of the holder row, and self its value while this process holds the
	// engine.
	key   string
	self  holderRow
	lease time.Duration
	// eras are the eras of the store. A fencing number of an earlier era than the latest one that is
	// known is not valid, since the store may have lost the row.
	eras storeEras
	// takeoverWait is the wait between acquiring the engine and the first order. After another holder
	// it is that of waitAfter. If the store may have lost the row of another holder by coming back from
	// an earlier copy of itself, it is the rest of adoptedLeases since this process heard of that.
	// Otherwise it is 0.
	takeoverWait time.Duration
	// fence is the fencing number, or 0 before the engine is acquired.
	fence atomic.Uint64
	// validFrom is the time from which orders may be sent, in nanoseconds.
	validFrom atomic.Int64
}

// storeEras are the eras of the store as this process knows them.
type storeEras interface {
	// Era returns the latest era that is known.
	Era() uint64
	// EraKnownSince returns the instant since which an era, or a later one, is known here.
	EraKnownSince(era uint64) time.Duration
}

// newOwnership returns the ownership of the engine at an address, not acquired yet.
func newOwnership(clock timer.Clock, address string, self holderRow, lease time.Duration, eras storeEras) *ownership {
	return &ownership{clock: clock, key: storer.HolderKey(address), self: self, lease: lease, eras: eras}
}

// Fence returns the fencing number, or 0 while no order may be sent.
func (o *ownership) Fence() uint64 {
	if int64(o.clock()) < o.validFrom.Load() || o.outdated() {
		return 0
	}
	return o.fence.Load()
}

// outdated reports whether the engine was acquired in an earlier era of the store, so that it has
// to be acquired again.
func (o *ownership) outdated() bool {
	fence := o.fence.Load()
	return fence > 0 && storer.Era(fence) < o.eras.Era()
}

// renew prepares to acquire the engine again in a later era of the store. A wait for the lease of
// another holder goes on.
func (o *ownership) renew() {
	o.takeoverWait = max(0, time.Duration(o.validFrom.Load())-o.clock())
}

// adoptedLeases is the number of leases to wait after the row of an adopting process was replaced or
// lost. The process notices, and its orders in flight end, within one lease. The first order of the
// next holder has to come a lease later.
const adoptedLeases = 2

// holderRow is the value of an engine's holder row: the process that orders the engine.
type holderRow struct {
	// Holder is the name of the process, and Started its start, in Unix nanoseconds.
	Holder  string `json:"holder"`
	Started int64  `json:"started"`
	// Adopted is set if the process is not the engine's sidecar. Started is then the
	// time of the adoption.
	Adopted bool `json:"adopted,omitempty"`
	// Waits is set while the first order of the process waits for the right of another holder to end,
	// so that the process waits as long if it starts again meanwhile.
	Waits bool `json:"waits,omitempty"`
}

// sameProcess reports whether two rows name the same process.
func (h holderRow) sameProcess(other holderRow) bool {
	h.Waits, other.Waits = false, false
	return h == other
}

// HasSidecarError reports that an engine has a sidecar, or may have one. No other process may
// acquire the engine, since the sidecar might continue to order it without noticing.
type HasSidecarError struct {
	// Holder is the sidecar's name, or empty if the holder row does not tell.
	Holder string
}

// Error returns a text with the sidecar's name.
func (e *HasSidecarError) Error() string { return "the engine has a sidecar: " + e.Holder }

// acquire writes this process into the engine's holder row, together with other rows, if
// the holder row is still the given one. It writes nothing if the row names this process
// already. The fencing number is the version of the row, which grows with each
// acquisition. If another process was the holder before, or may have been in an earlier era of the
// store, the first order waits. A row that cannot be read counts as that of another process, a sidecar.
// An adopting process does not acquire an engine from its sidecar; the error is then a
// *HasSidecarError. If the row has another version by now, it is a *storer.ConflictError.
func (o *ownership) acquire(ctx context.Context, table storer.Table, row storer.Row, puts ...storer.Put) error {
	current := decodeHolder(row)
	held := row.Version > 0
	fromSidecar := held && !current.Adopted
	if o.self.Adopted && held && !current.Adopted {
		return &HasSidecarError{Holder: current.Holder}
	}
	switch {
	case current.sameProcess(o.self):
		o.setAcquired(row.Version, false)
		return nil
	case held && current.Holder != o.self.Holder:
		o.takeoverWait = max(o.takeoverWait, o.waitAfter(current))
	case current.Waits:
		// An earlier start of this process had not ordered yet.
		o.takeoverWait = adoptedLeases * o.lease
	}
	next := o.self
	next.Waits = o.takeoverWait > 0 || !fromSidecar && o.waitForLostHolder(o.eras.Era()) > 0
	value, err := json.Marshal(next)
	if err != nil {
		return storer.NewFormatError("the row of an engine's holder cannot be encoded", err)
	}
	versions, err := table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: o.key, Version: row.Version}},
		Puts:   append([]storer.Put{{Key: o.key, Value: value}}, puts...),
	})
	var eraErr *storer.EraError
	if errors.As(err, &eraErr) {
		// The check may have held for the row of another holder.
		o.takeoverWait = adoptedLeases * o.lease
	}
	if err != nil {
		return err
	}
	o.setAcquired(versions[0], fromSidecar)
	return nil
}

// waitAfter returns the wait before the first order after another holder's right. An adopting process
// may order until it reads the new row; a sidecar that was replaced no longer runs.
func (o *ownership) waitAfter(other holderRow) time.Duration {
	if other.Adopted {
		return adoptedLeases * o.lease
	}
	return o.lease
}

// setAcquired sets the fencing number and allows orders once takeoverWait is over. fromSidecar is set
// if the row was that of a sidecar before.
func (o *ownership) setAcquired(version uint64, fromSidecar bool) {
	if !fromSidecar {
		o.takeoverWait = max(o.takeoverWait, o.waitForLostHolder(storer.Era(version)))
	}
	o.validFrom.Store(int64(o.clock() + o.takeoverWait))
	o.fence.Store(version)
}

// waitForLostHolder returns how long a process that acquires the engine in an era waits, since the
// store may have lost the row of another holder. A sidecar that was the holder in the era before knows
// that there was none: nobody takes an engine from its sidecar. An adopting process may have been
// followed by the sidecar.
func (o *ownership) waitForLostHolder(era uint64) time.Duration {
	known := o.fence.Load()
	if era <= storer.FirstEra || !o.self.Adopted && known != 0 && storer.Era(known)+1 >= era {
		return 0
	}
	return max(0, o.eras.EraKnownSince(era)+adoptedLeases*o.lease-o.clock())
}

// confirm writes the holder row without Waits once the wait before the first order is over, so that
// later starts of this process do not wait. It tries until it succeeds, the row has changed, the store
// has come back from an earlier copy, or ctx ends.
func (o *ownership) confirm(ctx context.Context, table storer.Table, l *log.Logger) {
	if !timer.Wait(ctx, time.Duration(o.validFrom.Load())-o.clock(), nil) || o.outdated() {
		return
	}
	err := retryUntilSuccess(ctx, l, "confirming the holder of an engine", func(ctx context.Context) error {
		err := o.writeConfirmed(ctx, table)
		var conflict *storer.ConflictError
		var eraErr *storer.EraError
		if errors.As(err, &conflict) || errors.As(err, &eraErr) {
			return nil
		}
		return err
	})
	if err != nil && ctx.Err() == nil {
		l.Error().Err(err).Str("row", o.key).Msg("engine: holder not confirmed")
	}
}

// writeConfirmed writes the holder row without Waits if it is still the one that was acquired.
func (o *ownership) writeConfirmed(ctx context.Context, table storer.Table) error {
	version := o.fence.Load()
	value, err := json.Marshal(o.self)
	if err != nil {
		return storer.NewFormatError("the row of an engine's holder cannot be encoded", err)
	}
	versions, err := table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: o.key, Version: version}},
		Puts:   []storer.Put{{Key: o.key, Value: value}},
	})
	if err != nil {
		return err
	}
	o.fence.CompareAndSwap(version, versions[0])
	return nil
}

// reacquire reads the holder row and acquires the engine with it. It is for a row that
// is not known, and for a retry after an attempt that failed, found a newer row or has an
// unknown outcome.
func (o *ownership) reacquire(ctx context.Context, table storer.Table, puts ...storer.Put) error {
	row, err := table.Get(ctx, o.key)
	if err != nil {
		return err
	}
	return o.acquire(ctx, table, row, puts...)
}

// decodeHolder decodes an engine's holder row. The result is empty if there is no row or if the
// row names no holder.
func decodeHolder(row storer.Row) holderRow {
	var holder holderRow
	if err := json.Unmarshal(row.Value, &holder); err != nil {
		return holderRow{}
	}
	return holder
}
