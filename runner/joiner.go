package runner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/storer"
	"oleanderstall/timer"
)

// Pauses between two tries of a call that has to succeed.
const (
	joinPause    = 100 * time.Millisecond
	joinMaxPause = time.Second
	joinLimit    = 2 * time.Second
)

// insist calls f until it succeeds or ctx ends.
func insist(ctx context.Context, l *log.Logger, what string, f func(ctx context.Context) error) error {
	pause := joinPause
	for {
		limited, cancel := context.WithTimeout(ctx, joinLimit)
		err := f(limited)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		l.Warn().Err(err).Msg("start: " + what + " failed")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, joinMaxPause)
	}
}

// secret returns the fleet's secret. The first process of the fleet makes it.
func secret(ctx context.Context, t storer.Table) (string, error) {
	row, err := t.Get(ctx, storer.SecretKey)
	if err != nil || row.Version > 0 {
		return string(row.Value), err
	}
	made := rand.Text()
	_, err = t.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: storer.SecretKey}},
		Puts:   []storer.Put{{Key: storer.SecretKey, Value: []byte(made)}},
	})
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) && err != nil {
		return "", err
	}
	row, err = t.Get(ctx, storer.SecretKey)
	return string(row.Value), err
}

// register writes this process's row.
func register(ctx context.Context, t storer.Table, in storer.Instance) error {
	data, err := json.Marshal(in)
	if err != nil {
		return storer.NewFormatError("the row of this process cannot be encoded", err)
	}
	_, err = t.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: storer.MemberKey(in.Name), Value: data}}})
	return err
}

// tenure is the right to order one engine.
type tenure struct {
	clock timer.Clock
	fence atomic.Uint64
	// from is the instant from which orders may be sent.
	from atomic.Int64
	// wait is the time of a lease if another instance was the holder before.
	wait time.Duration
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
}

// take makes this process the one that orders the engine at an address. The
// fencing number is the version of the row, which grows with each process that
// takes it. After another instance, orders wait for the time of a lease.
func (t *tenure) take(ctx context.Context, table storer.Table, address string, self holderRow, lease time.Duration) error {
	key := storer.HolderKey(address)
	have, version, err := readHolder(ctx, table, key)
	if err != nil {
		return err
	}
	if have.Holder != "" && have.Holder != self.Holder {
		t.wait = lease
	}
	if have != self {
		value, err := json.Marshal(self)
		if err != nil {
			return storer.NewFormatError("the row of an engine's holder cannot be encoded", err)
		}
		if _, err := table.Commit(ctx, storer.Transaction{
			Checks: []storer.Check{{Key: key, Version: version}},
			Puts:   []storer.Put{{Key: key, Value: value}},
		}); err != nil {
			return err
		}
		if have, version, err = readHolder(ctx, table, key); err != nil {
			return err
		}
	}
	if have != self {
		return &storer.ConflictError{Key: key}
	}
	t.from.Store(int64(t.clock() + t.wait))
	t.fence.Store(version)
	return nil
}

// readHolder returns the process that orders an engine and the version of its
// row.
func readHolder(ctx context.Context, table storer.Table, key string) (holderRow, uint64, error) {
	var have holderRow
	row, err := table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return have, 0, err
	}
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return have, 0, storer.NewFormatError("the row of an engine's holder cannot be read", err)
	}
	return have, row.Version, nil
}
