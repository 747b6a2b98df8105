package imitator

import (
	"net/http"
	"strconv"
	"time"
)

// Restore sets the store back to what it was at a time, at most undoTime ago, and begins the next
// era: versions that were given out since are given out again. Connections stay open; calls that
// wait go on in the next era.
func (s *RowStore) Restore(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = s.undo.undo(s.rows, to, s.version)
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
