package archiver

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

// TestBegin checks when records are written: at each change, in a new era of the store, again after a
// failure, and never two at a time.
func TestBegin(t *testing.T) {
	a, now := New(), time.Hour
	assert.Assert(t, !a.Begin(now, 0, 1), "no records")
	assert.Assert(t, a.Begin(now, 1, 1))
	assert.Assert(t, !a.Begin(now+time.Minute, 2, 1), "a write is under way")
	a.End(now, nil)
	assert.Assert(t, !a.Begin(now+time.Minute, 1, 1), "nothing has changed")
	assert.Assert(t, a.Begin(now+time.Minute, 2, 1))
	a.End(now+time.Minute, storer.NewFormatError("a failure", nil))
	assert.Assert(t, !a.Begin(now+time.Minute+retryInterval-1, 2, 1))
	assert.Assert(t, a.Begin(now+time.Minute+retryInterval, 2, 1))
	a.End(now+time.Minute+retryInterval, nil)
	assert.Assert(t, !a.Begin(now+time.Minute+retryInterval+1, 3, 1), "right after the last write")
	assert.Assert(t, a.Begin(now+2*time.Minute, 2, 2), "a new era")
}

// TestDecode checks that ages grow by the time since the row was written, and never shrink.
func TestDecode(t *testing.T) {
	written := time.UnixMilli(1_800_000_000_000)
	value, err := Encode([]*wire.Crash{{Server: "a", Age: 500}, {Server: "b", Age: 1500}}, written)
	assert.NilError(t, err)
	for _, c := range []struct{ elapsed, want time.Duration }{
		{0, 500 * time.Millisecond},
		{-3 * time.Second, 500 * time.Millisecond},
		{10 * time.Second, 10500 * time.Millisecond},
		{10000 * time.Hour, maxElapsed + 500*time.Millisecond},
	} {
		crashes, err := Decode(value, written.Add(c.elapsed))
		assert.NilError(t, err)
		assert.Equal(t, len(crashes), 2)
		assert.Equal(t, time.Duration(crashes[0].GetAge())*time.Millisecond, c.want)
		assert.Equal(t, crashes[1].GetAge()-crashes[0].GetAge(), uint32(1000))
	}
}

// TestDecodeOddRows checks that a value of another form is an error and nothing else.
func TestDecodeOddRows(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("{}"), {0xff, 0xff}, {0x18, 0x00}} {
		_, err := Decode(value, time.UnixMilli(1))
		var format *storer.FormatError
		assert.Assert(t, errors.As(err, &format), "%x", value)
	}
}

// TestEncodeManyRecords checks that a row of more records than fit holds the latest ones.
func TestEncodeManyRecords(t *testing.T) {
	var crashes []*wire.Crash
	for i := range 128 {
		crash := &wire.Crash{Server: fmt.Sprint("server-", i), Pool: "p", Age: uint32(1000 * (128 - i))}
		for j := range 256 {
			crash.Suspects = append(crash.Suspects, &wire.Suspect{Print: uint64(i*1000 + j), Whole: j%2 == 0})
		}
		crashes = append(crashes, crash)
	}
	now := time.UnixMilli(1_800_000_000_000)
	value, err := Encode(crashes, now)
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= maxRowBytes+16, "%d bytes", len(value))
	kept, err := Decode(value, now)
	assert.NilError(t, err)
	assert.Assert(t, len(kept) > 8, "%d records", len(kept))
	assert.Equal(t, kept[0].GetServer(), "server-127")
}
