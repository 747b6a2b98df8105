// Package archiver decides when a process writes its records of crashes to the store, and encodes
// them as the value of a row. The rows outlast the processes, and they reach processes that cannot
// reach each other.
//
// A row holds all records that its writer knows. A record's age is that at the time of writing;
// readers add the time since then by their time of day, which moves all records of a row alike.
package archiver

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Limits of the rows and of their writes.
const (
	// minInterval is the shortest time between the starts of two writes of a process, and
	// retryInterval that after a write that failed.
	minInterval   = 500 * time.Millisecond
	retryInterval = time.Second
	// maxRowBytes bounds the value of a row. Stores take at least 64 KiB.
	maxRowBytes = 60 << 10
	// maxElapsed bounds the time since a row was written that is added to the ages.
	maxElapsed = 24 * time.Hour
)

// Archiver decides when the records of one process are written. It is not safe for concurrent use.
type Archiver struct {
	// saved is the state that the row has, and writing that which a write under way will have
	// written.
	saved, writing state
	// nextAt is the earliest instant of the next write, and busy is set while one is under way.
	nextAt time.Duration
	busy   bool
}

// state is a state of the records that a row may have: their revision, and the era of the store in
// which they were written.
type state struct {
	revision uint64
	era      uint64
}

// New returns the archiver of a process that has written nothing.
func New() *Archiver { return &Archiver{} }

// Begin reports whether the records are to be written now: their revision has changed, or the store
// has come back from a copy since they were written. Revision 0 has no records. The caller calls
// End once the write has ended.
func (a *Archiver) Begin(now time.Duration, revision, era uint64) bool {
	current := state{revision: revision, era: era}
	if a.busy || revision == 0 || current == a.saved || now < a.nextAt {
		return false
	}
	a.busy, a.writing, a.nextAt = true, current, now+minInterval
	return true
}

// End records that the write that Begin has started ended.
func (a *Archiver) End(now time.Duration, err error) {
	a.busy = false
	if err != nil {
		a.nextAt = now + retryInterval
		return
	}
	a.saved = a.writing
}

// Encode returns the value of a row that is written at a time of day. If there are too many records
// for a row, the oldest are left out.
func Encode(crashes []*wire.Crash, at time.Time) ([]byte, error) {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b *wire.Crash) int {
		return cmp.Or(cmp.Compare(a.GetAge(), b.GetAge()), cmp.Compare(a.GetServer(), b.GetServer()))
	})
	row, size := &wire.Crashes{Saved: at.UnixMilli()}, 0
	for _, crash := range sorted {
		// The tag and the length of a record take at most four bytes.
		if size += proto.Size(crash) + 4; size > maxRowBytes {
			break
		}
		row.Crashes = append(row.Crashes, crash)
	}
	value, err := proto.Marshal(row)
	if err != nil {
		return nil, storer.NewFormatError("the records of crashes cannot be encoded", err)
	}
	return value, nil
}

// Decode returns the records in a row with their ages at a time of day. An error is a
// *storer.FormatError: the value is not that of such a row.
func Decode(value []byte, now time.Time) ([]*wire.Crash, error) {
	row := &wire.Crashes{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, storer.NewFormatError("the row of crashes cannot be read", err)
	}
	if row.GetSaved() <= 0 {
		return nil, storer.NewFormatError("the row of crashes does not say when it was written", nil)
	}
	elapsed := min(max(0, now.Sub(time.UnixMilli(row.GetSaved()))), maxElapsed)
	for _, crash := range row.GetCrashes() {
		// Ages that do not fit are beyond all times for which records are kept.
		crash.Age = uint32(min(int64(crash.GetAge())+elapsed.Milliseconds(), 1<<32-1))
	}
	return row.GetCrashes(), nil
}
