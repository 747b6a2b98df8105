package runner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
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
		if !timer.Wait(ctx, pause, nil) {
			return ctx.Err()
		}
		pause = min(2*pause, joinMaxPause)
	}
}

// secret returns the fleet's secret, of which the row is known or not. The first
// process of the fleet makes it.
func secret(ctx context.Context, t storer.Table, known storer.Row) (string, error) {
	if known.Version > 0 {
		return string(known.Value), nil
	}
	made := rand.Text()
	_, err := t.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: storer.SecretKey}},
		Puts:   []storer.Put{{Key: storer.SecretKey, Value: []byte(made)}},
	})
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) && err != nil {
		return "", err
	}
	row, err := t.Get(ctx, storer.SecretKey)
	return string(row.Value), err
}

// memberPut writes a process's row.
func memberPut(in storer.Instance) (storer.Put, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return storer.Put{}, storer.NewFormatError("the row of this process cannot be encoded", err)
	}
	return storer.Put{Key: storer.MemberKey(in.Name), Value: data}, nil
}
