package runner

import (
	"context"
	"strings"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/archiver"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// crashSource is where records of crashes that are to be written to the store come from: the relay in
// a process, or an entry without a relay.
type crashSource interface {
	// Revision counts the changes of records that the source is to write.
	Revision() uint64
	// All returns all records that are known.
	All() []*wire.Crash
}

// crashSaver writes the records of crashes of one source to a row of the store.
type crashSaver struct {
	key      string
	source   crashSource
	table    storer.Table
	clock    timer.Clock
	log      *log.Logger
	archiver *archiver.Archiver
	written  chan error
}

func newCrashSaver(key string, source crashSource, table storer.Table, clock timer.Clock, l *log.Logger) *crashSaver {
	return &crashSaver{key: key, source: source, table: table, clock: clock, log: l, archiver: archiver.New(), written: make(chan error, 1)}
}

// update starts a write in the background if one is due. It is called by one task only.
func (c *crashSaver) update(now time.Duration, tasks *taskGroup) {
	select {
	case err := <-c.written:
		c.archiver.End(now, err)
	default:
	}
	if !c.archiver.Begin(now, c.source.Revision(), c.table.Era()) {
		return
	}
	crashes := c.source.All()
	tasks.run(func(ctx context.Context) { c.written <- c.write(ctx, crashes) })
}

// write writes the row.
func (c *crashSaver) write(ctx context.Context, crashes []*wire.Crash) error {
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	value, err := archiver.Encode(crashes, time.Now())
	if err == nil {
		_, err = c.table.Commit(limited, storer.Transaction{Puts: []storer.Put{{Key: c.key, Value: value}}})
	}
	c.log.Info().Str("key", c.key).Int("crashes", len(crashes)).Int("bytes", len(value)).AnErr("cause", err).Msg("crashes: written to the store")
	return err
}

// crashSaveInterval is the time between two checks of a native entry whether a write is due.
const crashSaveInterval = 100 * time.Millisecond

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
	saver := newCrashSaver(storer.CrashKey(e.settings.Name), e.dispatcher.Quarantine(), e.platform, e.clock, e.log)
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

// relayCrashes are the records of crashes of the relay in a process.
type relayCrashes struct{ *hostedProcess }

// Revision implements crashSource.
func (r relayCrashes) Revision() uint64 { return r.relayer.CrashRevision() }

// All implements crashSource.
func (r relayCrashes) All() []*wire.Crash { return r.relayer.Crashes() }
