package runner

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"oleanderstall/storer"
	"oleanderstall/timer"
)

// tenure is the right to order one engine.
type tenure struct {
	clock timer.Clock
	key   string
	self  holderRow
	lease time.Duration
	// wait is the time before the first order: a lease if another instance was the
	// holder before.
	wait  time.Duration
	fence atomic.Uint64
	// from is the instant from which orders may be sent.
	from atomic.Int64
}

// newTenure returns the tenure of a process, which it does not hold yet, of the engine
// at an address.
func newTenure(clock timer.Clock, address string, self holderRow, lease time.Duration) *tenure {
	return &tenure{clock: clock, key: storer.HolderKey(address), self: self, lease: lease}
}

// Fence returns the fencing number, or 0 while no order may be sent.
func (t *tenure) Fence() uint64 {
	if int64(t.clock()) < t.from.Load() {
		return 0
	}
	return t.fence.Load()
}

// holderRow is the process that orders an engine.
type holderRow struct {
	Holder  string `json:"holder"`
	Started int64  `json:"started"`
	// Adopted is set if the process is not the engine's sidecar.
	Adopted bool `json:"adopted,omitempty"`
}

// SidecarError reports that an engine has a sidecar, which may order it without hearing
// that another process would take it.
type SidecarError struct {
	// Holder is the sidecar's name.
	Holder string
}

// Error names the sidecar.
func (e *SidecarError) Error() string { return "the engine has a sidecar: " + e.Holder }

// take makes this process the one that orders the engine, if the engine's row is still
// the one known, and writes other rows with it. The fencing number is the version of
// the row, which grows with each process that takes it. After another instance, orders
// wait for the time of a lease. Nobody takes an engine from its sidecar; the error is a
// *SidecarError then.
func (t *tenure) take(ctx context.Context, table storer.Table, known storer.Row, puts ...storer.Put) error {
	have, err := decodeHolder(known)
	if err != nil {
		return err
	}
	if t.self.Adopted && have.Holder != "" && !have.Adopted {
		return &SidecarError{Holder: have.Holder}
	}
	if have.Holder != "" && have.Holder != t.self.Holder {
		t.wait = t.lease
	}
	if have == t.self {
		t.hold(known.Version)
		return nil
	}
	value, err := json.Marshal(t.self)
	if err != nil {
		return storer.NewFormatError("the row of an engine's holder cannot be encoded", err)
	}
	versions, err := table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: t.key, Version: known.Version}},
		Puts:   append([]storer.Put{{Key: t.key, Value: value}}, puts...),
	})
	if err != nil {
		return err
	}
	t.hold(versions[0])
	return nil
}

// hold makes orders allowed once the wait is over.
func (t *tenure) hold(version uint64) {
	t.from.Store(int64(t.clock() + t.wait))
	t.fence.Store(version)
}

// again takes the engine after a try of which the outcome is not known, or which came
// after another one.
func (t *tenure) again(ctx context.Context, table storer.Table, puts ...storer.Put) error {
	row, err := table.Get(ctx, t.key)
	if err != nil {
		return err
	}
	return t.take(ctx, table, row, puts...)
}

// decodeHolder decodes the row of an engine's holder, or of none.
func decodeHolder(row storer.Row) (holderRow, error) {
	var have holderRow
	if row.Version == 0 {
		return have, nil
	}
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return have, storer.NewFormatError("the row of an engine's holder cannot be read", err)
	}
	return have, nil
}
