package runner

import (
	"context"
	"strings"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/archiver"
	"oleanderstall/dispatcher"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// crashSaveInterval is the time between two checks of a native entry whether a write is due.
const crashSaveInterval = 100 * time.Millisecond

// ownCrashes returns the records of crashes of an entry as state that is written to a row.
func ownCrashes(name string, q *dispatcher.Quarantine) savedState {
	return savedState{
		key: storer.CrashKey(name), revision: q.Revision,
		encode: func(at time.Time) ([]byte, error) { return archiver.Encode(q.All(), at) },
	}
}

// relayCrashes returns the records of crashes of the relay in this process as state that is written to
// the row of a data centre.
func (h *hostedProcess) relayCrashes(centre string) savedState {
	return savedState{
		key: storer.CrashKey(centre), revision: h.relayer.CrashRevision,
		encode: func(at time.Time) ([]byte, error) { return archiver.Encode(h.relayer.Crashes(), at) },
	}
}

// keepCrashes reads the records of crashes that earlier entries have written, and writes those of this
// one until ctx ends.
func (e *Entry) keepCrashes(ctx context.Context) {
	_ = retryUntilSuccess(ctx, e.log, "reading the records of crashes", func(ctx context.Context) error {
		rows, err := e.platform.List(ctx, storer.CrashPrefix)
		if err == nil {
			applyCrashRows(rows, e.log, func(crashes []*wire.Crash) { e.dispatcher.Quarantine().MergeSaved(crashes) })
		}
		return err
	})
	saver := newRowSaver(ownCrashes(e.settings.Name, e.dispatcher.Quarantine()), e.platform, e.clock, e.log)
	ticker := time.NewTicker(crashSaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			saver.update(e.clock(), e.tasks)
		}
	}
}

// applyCrashRows passes the records of crashes in changed rows of the fleet's table to merge.
func applyCrashRows(rows []storer.Row, l *log.Logger, merge func([]*wire.Crash)) {
	for _, r := range rows {
		if r.Deleted || !strings.HasPrefix(r.Key, storer.CrashPrefix) {
			continue
		}
		crashes, err := archiver.Decode(r.Value, time.Now())
		if err != nil {
			l.Warn().Err(err).Str("key", r.Key).Uint64("row", r.Version).Msg("crashes: unreadable row, not used")
			continue
		}
		l.Info().Str("key", r.Key).Int("crashes", len(crashes)).Uint64("row", r.Version).Msg("crashes: read from the store")
		merge(crashes)
	}
}

// mergeCrashesRead adds records of crashes that were read from the store.
func (h *hostedProcess) mergeCrashesRead(crashes []*wire.Crash) {
	h.relayer.MergeSavedCrashes(crashes)
	h.onCrashesRead(crashes)
}
