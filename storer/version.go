package storer

import "fmt"

// numberBits is the number of bits of a version below its era.
const numberBits = 40

// Bounds of the parts of a version.
const (
	// MaxNumber is the greatest number that a store gives out in one era.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the latest era, and FirstEra that of a store that has never come back from a copy.
	MaxEra   = 1 << 13
	FirstEra = 1
)

// NewVersion returns the version for a number that a store has given out in an era. A store that
// comes back from an earlier copy of itself begins another era and gives the numbers since the
// copy out again; versions of a later era are higher than all before. The number 0 stands for no
// version in any era.
func NewVersion(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<numberBits | number
}

// NextNumber returns a fencing number above previous, for a sequence whose rows the store may have lost:
// no process that read them in an earlier era has given it out. In the first era it is the next one.
func NextNumber(previous, era uint64) uint64 {
	if era > FirstEra && Era(previous) < era-FirstEra {
		return NewVersion(era-FirstEra, Number(previous)+1)
	}
	return previous + 1
}

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> numberBits }

// Number returns the number that the store gave out for a version.
func Number(version uint64) uint64 { return version & MaxNumber }

// EraError reports an answer that does not count, since the store has come back from an earlier
// copy of itself around it. A write has been lost, or its checks held for other rows than those
// that were read.
type EraError struct {
	// Era is that of the answer, Known the one in which the call was made.
	Era, Known uint64
}

// Error names the eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("the answer is of era %d of the store, the call of era %d", e.Era, e.Known)
}
