package imitator

import (
	"net/http"
	"strconv"
	"time"
)

// undoTime is how far a store can be set back.
const undoTime = time.Minute

// replacedRow is what a change of a row replaced.
type replacedRow struct {
	at  time.Time
	key rowKey
	// row is the row before the change, if it existed, and version the version of the store then.
	row     Row
	existed bool
	version uint64
}

// recordReplaced records a row that is about to change at the current version, so that Restore can
// undo the change. The caller holds the lock.
func (s *RowStore) recordReplaced(k rowKey) {
	now := time.Now()
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > undoTime {
		s.undo = s.undo[1:]
	}
	row, existed := s.rows[k]
	s.undo = append(s.undo, replacedRow{at: now, key: k, row: row, existed: existed, version: s.version - 1})
}

// Restore sets the store back to what it was at a time, at most undoTime ago, and begins the next
// era: versions that were given out since are given out again. Connections stay open; calls that
// wait go on in the next era.
func (s *RowStore) Restore(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.undo) - 1; i >= 0 && s.undo[i].at.After(to); i-- {
		r := s.undo[i]
		if r.existed {
			s.rows[r.key] = r.row
		} else {
			delete(s.rows, r.key)
		}
		s.version = r.version
		s.undo = s.undo[:i]
	}
	s.compactedTo = min(s.compactedTo, s.version)
	s.era++
	s.wakeFeeds()
}

// Era returns the present era.
func (s *RowStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetSilent makes the store swallow all calls that arrive, and the answers to those that wait, or
// ends that. What was swallowed is never answered.
func (s *RowStore) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// swallow waits until a caller gives its call up, and ends the call without an answer.
func swallow(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// beginAnswer begins the answer to a call that has waited, unless the store is silent.
func (s *RowStore) beginAnswer(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if silent {
		swallow(r)
	}
}

// Value returns the value of a row and whether it exists.
func (s *RowStore) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table: table, key: key}]
	return row.Value, ok && !row.Deleted
}
