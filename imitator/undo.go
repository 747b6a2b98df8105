package imitator

import "time"

// undoTime is how far a store can be set back.
const undoTime = time.Minute

// replacedRow is what a change of a row replaced.
type replacedRow[K comparable, R any] struct {
	at  time.Time
	key K
	// row is the row before the change, if it existed, and version the version of the store then.
	row     R
	existed bool
	version uint64
}

// undoLog holds what the changes of the last undoTime replaced, the latest last.
type undoLog[K comparable, R any] []replacedRow[K, R]

// record records the row of a key that is about to change, with the version of the store before.
func (l *undoLog[K, R]) record(rows map[K]R, key K, version uint64) {
	now := time.Now()
	for len(*l) > 0 && now.Sub((*l)[0].at) > undoTime {
		*l = (*l)[1:]
	}
	row, existed := rows[key]
	*l = append(*l, replacedRow[K, R]{at: now, key: key, row: row, existed: existed, version: version})
}

// undo sets rows back to what they were at a time, at most undoTime ago. It returns the version of the
// store then, which is present if nothing has changed since.
func (l *undoLog[K, R]) undo(rows map[K]R, to time.Time, present uint64) uint64 {
	for i := len(*l) - 1; i >= 0 && (*l)[i].at.After(to); i-- {
		r := (*l)[i]
		if r.existed {
			rows[r.key] = r.row
		} else {
			delete(rows, r.key)
		}
		present = r.version
		*l = (*l)[:i]
	}
	return present
}
