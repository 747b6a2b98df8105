package runner

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/archiver"
	"oleanderstall/storer"
	"oleanderstall/timer"
)

// savedState is state of a process that is written to a row of the store whenever it changes.
type savedState struct {
	// key is the key of the row.
	key string
	// revision counts the changes of the state. It is 0 while there is nothing to write.
	revision func() uint64
	// encode returns the value of the row, at a time of day.
	encode func(at time.Time) ([]byte, error)
}

// rowSaver writes a state to its row. Its method update is called by one task only.
type rowSaver struct {
	state    savedState
	table    storer.Table
	clock    timer.Clock
	log      *log.Logger
	archiver *archiver.Archiver
	written  chan error
}

func newRowSaver(state savedState, table storer.Table, clock timer.Clock, l *log.Logger) *rowSaver {
	return &rowSaver{state: state, table: table, clock: clock, log: l, archiver: archiver.New(), written: make(chan error, 1)}
}

// update starts a write in the background if one is due.
func (s *rowSaver) update(now time.Duration, tasks *taskGroup) {
	select {
	case err := <-s.written:
		s.archiver.End(now, err)
	default:
	}
	if !s.archiver.Begin(now, s.state.revision(), s.table.Era()) {
		return
	}
	value, err := s.state.encode(time.Now())
	tasks.run(func(ctx context.Context) {
		if err == nil {
			err = s.write(ctx, value)
		}
		s.log.Info().Str("key", s.state.key).Int("bytes", len(value)).AnErr("cause", err).Msg("state: written to the store")
		s.written <- err
	})
}

// write writes the row.
func (s *rowSaver) write(ctx context.Context, value []byte) error {
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := s.table.Commit(limited, storer.Transaction{Puts: []storer.Put{{Key: s.state.key, Value: value}}})
	return err
}
