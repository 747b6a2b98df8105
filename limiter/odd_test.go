package limiter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oddNumbers are numbers of tokens that no process can have used.
var oddNumbers = []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1e300}

// testLimits are the limits of two workspaces.
var testLimits = []Limit{{Workspace: "odd", Rate: 10, Burst: 100}, {Workspace: "sound", Rate: 10, Burst: 100}}

// TestOddUsageAtEntry guards against a workspace that is without a limit, or refused, for good
// because a relay sent an odd number of tokens used. The usage beside it counts.
func TestOddUsageAtEntry(t *testing.T) {
	for _, odd := range oddNumbers {
		now := time.Hour
		l := NewLedger(now, 0)
		l.SetEntryCount(now, EntryCount{Entries: 1})
		l.SetLimits(now, testLimits)
		now += time.Minute
		l.AddRemoteUsage(now, map[string]float64{"odd": odd, "sound": 40})
		assert.Equal(t, l.accounts["odd"].bucket.Level(now), 100.0, "after %v", odd)
		assert.Equal(t, l.accounts["sound"].bucket.Level(now), 60.0)
	}
}

// TestOddUsageAtRelay guards against an odd number of tokens in the report of one entry that a
// relay passes on to all others.
func TestOddUsageAtRelay(t *testing.T) {
	for _, odd := range oddNumbers {
		now := time.Hour
		l := NewRelayLedger()
		l.SetSource(now, "entry", EntryCount{Entries: 1})
		l.SetLimits(now, testLimits)
		now += time.Second
		used := l.RecordUsage(now, "entry", map[string]float64{"odd": odd, "sound": 4})
		assert.DeepEqual(t, used, map[string]float64{"sound": 4})
		assert.Equal(t, l.Levels(now)["odd"], 10.0, "after %v", odd)
		for name, tokens := range l.Tick(now + expectedAfter)["entry"] {
			assert.Equal(t, name, "sound", "%v reserved", tokens)
		}
	}
}

// TestOddLevels guards against a bucket of a new entry that has no level, or is overdrawn for
// good, because a relay sent an odd level.
func TestOddLevels(t *testing.T) {
	for _, odd := range oddNumbers {
		now := time.Hour
		l := NewLedger(now, 0)
		l.SetEntryCount(now, EntryCount{Entries: 1})
		l.SetLimits(now, testLimits)
		l.AdoptLevels(now, map[string]float64{"odd": odd, "sound": 40})
		level := l.accounts["odd"].bucket.Level(now)
		assert.Assert(t, level >= 0 && level <= 100, "%v after %v", level, odd)
		assert.Equal(t, l.accounts["sound"].bucket.Level(now), 40.0)
	}
}

// TestOddEntryCount guards against limits that are cut to nothing because a relay counts more
// entries than a fleet can have.
func TestOddEntryCount(t *testing.T) {
	now := time.Hour
	odd := EntryCount{Entries: math.MaxUint32, Absent: math.MaxUint32}
	l := NewLedger(now, 0)
	l.SetLimits(now, testLimits)
	l.SetEntryCount(now, EntryCount{Entries: 2})
	l.AddRemoteUsage(now, nil)
	l.SetEntryCount(now, odd)
	assert.Equal(t, l.accounts["odd"].bucket.Burst(), 100.0)

	r := NewRelayLedger()
	r.SetSource(now, "a", EntryCount{Entries: 2})
	r.SetSource(now, "b", EntryCount{Entries: 2})
	r.SetSource(now, "b", odd)
	r.SetSource(now, "c", odd)
	assert.Equal(t, r.EntryCount(), EntryCount{Entries: 4})
}

// TestAbsentSourceWithoutEntries guards against buckets without a level after a data centre that
// has no entries was silent while no entry was known at all.
func TestAbsentSourceWithoutEntries(t *testing.T) {
	now := time.Hour
	l := NewRelayLedger()
	l.SetLimits(now, testLimits)
	l.SetSource(now, "centre", EntryCount{})
	now += 2 * absentAfter
	l.Tick(now)
	l.SetSource(now, "entry", EntryCount{Entries: 1})
	for _, tokens := range l.RecordUsage(now, "centre", nil) {
		assert.Equal(t, tokens, 0.0)
	}
	assert.Assert(t, l.Levels(now)["sound"] > 0)
}

// TestOddWait guards against a wait that is negative or 0, differently on each kind of machine,
// because the tokens missing or the time until they accrue are out of range.
func TestOddWait(t *testing.T) {
	now := time.Hour
	assert.Equal(t, NewBucket(now, 10, 100).Wait(now, math.NaN()), maxWait)
	assert.Equal(t, NewBucket(now, 1e-300, 100).Wait(now, 50), maxWait)
	l := NewLedger(now, 0)
	l.SetEntryCount(now, EntryCount{Entries: 1})
	l.SetLimits(now, []Limit{{Workspace: "w", Rate: 1e-300, Burst: 100}})
	for _, wait := range []time.Duration{l.TimeUntil(now, "w", 50), l.RetryAfter(now, "w", 50)} {
		assert.Assert(t, now+wait > now, "%v", wait)
	}
}
