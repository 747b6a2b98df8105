package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oleanderstall/storer"
	"oleanderstall/timer"
)

const (
	// lostRowsTime is how long the processes of a fleet take to write rows again that the store has
	// lost. maxEraDelay bounds the time before each begins, so that they do not all call at once.
	lostRowsTime = 2 * time.Second
	maxEraDelay  = 300 * time.Millisecond
)

// eraStart is an era of the store and the instant at which this process first heard of it.
type eraStart struct {
	era uint64
	at  time.Duration
}

// Era implements storeEras.
func (h *hostedProcess) Era() uint64 { return h.store.Era() }

// EraKnownSince implements storeEras. An era that storeEraChanged has not recorded yet counts as known
// since now.
func (h *hostedProcess) EraKnownSince(era uint64) time.Duration {
	if latest := h.latestEra.Load(); latest != nil && latest.era >= era {
		return latest.at
	}
	return h.clock()
}

// storeEraChanged is called with each era of the store that is later than those before.
func (h *hostedProcess) storeEraChanged(era uint64) {
	h.log.Info().Uint64("era", era).Msg("store: era")
	start := &eraStart{era: era, at: h.clock()}
	for known := h.latestEra.Load(); known == nil || known.era < era; known = h.latestEra.Load() {
		if h.latestEra.CompareAndSwap(known, start) {
			break
		}
	}
	select {
	case h.eraChanged <- struct{}{}:
	default:
	}
}

// followEras calls restore each time the store has come back from an earlier copy of itself, until
// ctx ends, so that the rows of this process are written again. A relay also writes the fleet's
// secret again if the store has lost it.
func (h *hostedProcess) followEras(ctx context.Context, restore func(ctx context.Context)) {
	known := h.joinEra
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.eraChanged:
		}
		// A store that begins to name its era has not come back from a copy.
		era, named := h.store.Era(), known > 0
		if known == era {
			continue
		}
		if known = era; !named {
			continue
		}
		timer.Wait(ctx, time.Duration(rand.Int64N(int64(maxEraDelay))), nil)
		h.log.Info().Uint64("era", known).Msg("store: rows written again")
		restore(ctx)
		if h.relayer.Active() {
			h.restoreSecret(ctx)
		}
	}
}

// restoreSecret writes the fleet's secret again if the store has lost it.
func (h *hostedProcess) restoreSecret(ctx context.Context) {
	err := retryUntilSuccess(ctx, h.log, "writing the fleet's secret again", func(ctx context.Context) error {
		_, err := h.store.Commit(ctx, storer.Transaction{
			Checks: []storer.Check{{Key: storer.SecretKey}},
			Puts:   []storer.Put{{Key: storer.SecretKey, Value: []byte(h.secret)}},
		})
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			return nil
		}
		return err
	})
	if err != nil && ctx.Err() == nil {
		h.log.Error().Err(err).Msg("store: the fleet's secret was not written again")
	}
}

// awaitLostSecret waits for the processes that know the fleet's secret to write it again, if the
// store has none and has come back from a copy: it may have lost it.
func (h *hostedProcess) awaitLostSecret(ctx context.Context) {
	if _, ok := h.fleet.Row(storer.SecretKey); !ok && h.store.Era() > storer.FirstEra {
		timer.Wait(ctx, lostRowsTime, nil)
	}
}
