package pinner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const start = time.Hour

// TestFind checks which version a stream goes on at: the one that began it, if that is remembered, else
// the only one that servers of the pool have had of late.
func TestFind(t *testing.T) {
	p := New()
	_, ok := p.Find(start, "p", 1)
	assert.Assert(t, !ok, "no server is known")
	p.UpdateServer(start, "a", "p", "v1")
	p.UpdateServer(start, "x", "other", "v9")
	version, ok := p.Find(start, "p", 1)
	assert.Assert(t, ok)
	assert.Equal(t, version, "v1")

	p.Record(start, 1, "v1")
	p.UpdateServer(start+time.Minute, "b", "p", "v2")
	version, ok = p.Find(start+time.Minute, "p", 1)
	assert.Assert(t, ok)
	assert.Equal(t, version, "v1")
	_, ok = p.Find(start+time.Minute, "p", 2)
	assert.Assert(t, !ok, "either version may have begun it")

	left := start + 2*time.Minute
	p.RemoveServer(left, "a")
	_, ok = p.Find(left+Lifetime, "p", 2)
	assert.Assert(t, !ok, "the old version has just left")
	version, ok = p.Find(left+Lifetime+1, "p", 2)
	assert.Assert(t, ok)
	assert.Equal(t, version, "v2")
}

// TestServerWithAnotherVersion checks that a server which is listed with another version counts for
// both for a while.
func TestServerWithAnotherVersion(t *testing.T) {
	p := New()
	p.UpdateServer(start, "a", "p", "v1")
	revision := p.Revision()
	p.UpdateServer(start+time.Second, "a", "p", "v1")
	assert.Equal(t, p.Revision(), revision)
	p.UpdateServer(start+2*time.Second, "a", "p", "v2")
	assert.Assert(t, p.Revision() > revision)
	assert.DeepEqual(t, p.Recent(start+3*time.Second, "p"), []string{"v1", "v2"})
	assert.Assert(t, p.AnyMixed(start+3*time.Second))
	assert.Assert(t, !p.AnyMixed(start+3*time.Second+Lifetime))
	assert.DeepEqual(t, p.Recent(start+3*time.Second+Lifetime, "p"), []string{"v2"})
}

// TestExchange checks that streams which one process has recorded are known at another, with their
// ages, and are forgotten after Lifetime at both.
func TestExchange(t *testing.T) {
	a, b := New(), New()
	for i := range uint64(3) {
		a.Record(start+time.Duration(i)*time.Second, i, "v1")
	}
	now := start + 10*time.Second
	for _, o := range a.TakeUnsent(now, false) {
		assert.Assert(t, b.Merge(now, o.GetStream(), o.GetSoftware(), time.Duration(o.GetAge())*time.Millisecond))
		assert.Assert(t, !b.Merge(now, o.GetStream(), "v2", 0), "a known stream changes its version")
	}
	assert.Equal(t, len(a.TakeUnsent(now, false)), 0)
	assert.Equal(t, len(a.TakeUnsent(now, true)), 3)
	for i := range uint64(3) {
		version, ok := b.Stream(i)
		assert.Assert(t, ok)
		assert.Equal(t, version, "v1")
	}
	b.Expire(start + Lifetime + time.Second)
	_, ok := b.Stream(0)
	assert.Assert(t, !ok)
	_, ok = b.Stream(2)
	assert.Assert(t, ok)
}

// TestBounds checks that streams without number leave a bounded state, in which the latest are kept.
func TestBounds(t *testing.T) {
	p := New()
	for i := range uint64(2 * maxStreams) {
		p.Record(start, i, "v1")
	}
	assert.Assert(t, len(p.streams) <= maxStreams)
	_, ok := p.Stream(2*maxStreams - 1)
	assert.Assert(t, ok)
	p.DropUnsent()
	assert.Equal(t, len(p.TakeUnsent(start, false)), 0)
}

// TestRestore guards against a process that starts when the servers of the old version have just left,
// and takes the new version for the only one.
func TestRestore(t *testing.T) {
	day := time.UnixMilli(1_800_000_000_000)
	before := New()
	before.UpdateServer(start, "a", "p", "v1")
	before.UpdateServer(start, "b", "p", "v2")
	before.RemoveServer(start+time.Second, "a")
	row, err := before.Encode(start+2*time.Second, day)
	assert.NilError(t, err)
	for _, c := range []struct {
		elapsed time.Duration
		mixed   bool
	}{{0, true}, {Lifetime - 2*time.Second, true}, {Lifetime, false}, {-time.Minute, true}} {
		p := New()
		p.UpdateServer(start, "b", "p", "v2")
		assert.NilError(t, p.Restore(start, row, day.Add(c.elapsed)))
		assert.Equal(t, p.AnyMixed(start), c.mixed, "%v", c.elapsed)
	}
	listed, err := before.Encode(start, day)
	assert.NilError(t, err)
	p := New()
	assert.NilError(t, p.Restore(start, listed, day.Add(time.Hour)))
	assert.DeepEqual(t, p.Recent(start, "p"), []string{"v2"})
	assert.Assert(t, p.Restore(start, []byte{0xff}, day) != nil)
}
