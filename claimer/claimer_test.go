package claimer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

func newClaim(token string) *wire.Claim { return &wire.Claim{Token: token} }

// TestLost guards against claims that are not written again: those of all earlier eras are
// returned, the latest first, and none whose row is of the present era.
func TestLost(t *testing.T) {
	m := NewMemory()
	for i, version := range []uint64{storer.NewVersion(1, 5), storer.NewVersion(2, 3), storer.NewVersion(1, 9)} {
		m.Add(0, fmt.Sprint(i), newClaim("t"), version)
	}
	keys := func(era uint64) string {
		text := ""
		for _, c := range m.Lost(era) {
			text += c.Key
		}
		return text
	}
	assert.Equal(t, keys(1), "")
	assert.Equal(t, keys(2), "20")
	assert.Equal(t, keys(3), "120")
	m.SetVersion("2", "t", storer.NewVersion(3, 1))
	assert.Equal(t, keys(3), "10")
}

// TestOutcomes checks what is known of a claim after its call: that it ran, with or without an
// answer, or that it did not, so that the key may be claimed again.
func TestOutcomes(t *testing.T) {
	m := NewMemory()
	m.Add(0, "k", newClaim("first"), 1)
	m.Release("k", "other")
	_, ok := m.Find("k")
	assert.Assert(t, ok)
	m.Release("k", "first")
	_, ok = m.Find("k")
	assert.Assert(t, !ok)
	assert.Assert(t, m.Lost(1)[0].Released)

	m.Add(0, "k", newClaim("second"), 2)
	before, _ := m.Find("k")
	m.Finish("k", "second", &wire.Answer{Status: 201})
	after, _ := m.Find("k")
	assert.Assert(t, !before.Record.GetDone())
	assert.Assert(t, after.Record.GetDone())
	assert.Equal(t, after.Record.GetAnswer().GetStatus(), uint32(201))

	m.Add(0, "unknown", newClaim("t"), 3)
	m.Finish("unknown", "t", nil)
	unknown, ok := m.Find("unknown")
	assert.Assert(t, ok && !unknown.Record.GetDone())
}

// TestMemoryIsBounded guards against a process that holds ever more claims: by age, number and
// bytes of answers. A claim without its answer still counts as one that ran, and one whose call
// runs is kept.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory()
	m.Add(0, "runs", newClaim("t"), 1)
	const size = 1 << 20
	for i := range maxAnswerBytes/size + 2 {
		key := fmt.Sprint("large-", i)
		m.Add(0, key, newClaim("t"), 1)
		m.Finish(key, "t", &wire.Answer{Body: make([]byte, size)})
	}
	assert.Assert(t, m.answerBytes <= maxAnswerBytes)
	first, ok := m.Find("large-0")
	assert.Assert(t, ok && first.Record.GetDone() && first.Record.GetAnswer() == nil)

	for i := range 2 * maxClaims {
		key := fmt.Sprint(i)
		m.Add(0, key, newClaim("t"), 1)
		m.Finish(key, "t", nil)
	}
	assert.Assert(t, m.Len() <= maxClaims+maxClaims/8+1, "%d claims", m.Len())
	_, ok = m.Find(fmt.Sprint(2*maxClaims - 1))
	assert.Assert(t, ok)

	m.Add(2*memoryTime, "last", newClaim("t"), 1)
	assert.Equal(t, m.Len(), 2)
	assert.Equal(t, len(m.latest), 2)
	assert.Equal(t, m.answerBytes, 0)
	_, ok = m.Find("runs")
	assert.Assert(t, ok)
}

// TestGate guards against a call that is claimed while its claim may be missing, and against
// calls that are never claimed again because a process that has ended is still listed.
func TestGate(t *testing.T) {
	listed := []string{"a", "b"}
	var g Gate
	assert.Assert(t, g.Settled(0) && g.Settled(1) && !g.Settled(2))
	g.RecordEra(time.Hour, 1)
	g.RecordEra(2*time.Hour, 2)
	since := 2 * time.Hour
	g.RecordEra(since+time.Second, 2)
	assert.Equal(t, g.Wait(since+restoreTime-1, listed, listed), time.Duration(1))
	assert.Equal(t, g.Wait(since+restoreTime, listed, listed), time.Duration(0))
	assert.Equal(t, g.Wait(since+restoreTime, listed, []string{"b", "c"}), confirmRetry)
	assert.Equal(t, g.Wait(since+maxRestoreTime, listed, nil), time.Duration(0))
	g.RecordSettled(2)
	assert.Assert(t, g.Settled(2) && !g.Settled(3))
	g.RecordEra(3*time.Hour, 3)
	assert.Equal(t, g.Wait(3*time.Hour, listed, listed), restoreTime)
}
