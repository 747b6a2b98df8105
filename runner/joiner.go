package runner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/relayer"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Times of the attempts at a call that has to succeed. The pause between two attempts
// doubles from retryMinPause up to retryMaxPause; attemptTimeout bounds each attempt.
const (
	retryMinPause  = 100 * time.Millisecond
	retryMaxPause  = time.Second
	attemptTimeout = 2 * time.Second
)

// retryUntilSuccess calls call until it succeeds or ctx ends, in which case it returns
// an error. It logs each failure under the name of the task.
func retryUntilSuccess(ctx context.Context, l *log.Logger, task string, call func(ctx context.Context) error) error {
	pause := retryMinPause
	for {
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := call(limited)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		l.Warn().Err(err).Msg("start: " + task + " failed")
		if !timer.Wait(ctx, pause, nil) {
			return ctx.Err()
		}
		pause = min(2*pause, retryMaxPause)
	}
}

// minFleetSecretBytes is the length of the shortest secret of a fleet, in bytes.
const minFleetSecretBytes = 16

// fleetSecret returns the fleet's secret: from its row, if that is known, or else from the
// store. If the store has none yet, or the known row holds none, it creates one. A
// *storer.FormatError reports that the row in the store, which is newer, holds none.
func fleetSecret(ctx context.Context, table storer.Table, known storer.Row) (string, error) {
	if len(known.Value) >= minFleetSecretBytes {
		return string(known.Value), nil
	}
	created := rand.Text()
	_, err := table.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: storer.SecretKey, Version: known.Version}},
		Puts:   []storer.Put{{Key: storer.SecretKey, Value: []byte(created)}},
	})
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) && err != nil {
		return "", err
	}
	row, err := table.Get(ctx, storer.SecretKey)
	if err == nil && len(row.Value) < minFleetSecretBytes {
		return "", storer.NewFormatError("the row of the fleet's secret holds none", nil)
	}
	return string(row.Value), err
}

// memberPut returns the write of a process's row.
func memberPut(instance storer.Instance) (storer.Put, error) {
	data, err := json.Marshal(instance)
	if err != nil {
		return storer.Put{}, storer.NewFormatError("the row of this process cannot be encoded", err)
	}
	return storer.Put{Key: storer.MemberKey(instance.Name), Value: data}, nil
}

// decodeMember decodes the row of the process with the given name. An error is a
// *storer.FormatError: the row names no process that can be reached.
func decodeMember(name string, row storer.Row) (*wire.Member, error) {
	var instance storer.Instance
	if err := json.Unmarshal(row.Value, &instance); err != nil {
		return nil, storer.NewFormatError("the row of a process cannot be read", err)
	}
	if instance.Role != relayer.Entry && instance.Role != relayer.Sidecar || instance.Centre == "" {
		return nil, storer.NewFormatError("the row of a process lacks its role or its data centre", nil)
	}
	if address, err := netip.ParseAddrPort(instance.Address); err != nil || address.Port() == 0 {
		return nil, storer.NewFormatError("the address in the row of a process is not an IP and a port", err)
	}
	return &wire.Member{
		Name: name, Row: row.Version, Role: instance.Role, Centre: instance.Centre, Address: instance.Address,
		Started: instance.Started, Backend: instance.Backend,
	}, nil
}
