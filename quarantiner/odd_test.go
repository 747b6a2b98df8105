package quarantiner

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// newQuarantined returns a quarantiner on which the fatal fingerprint is quarantined, and the
// instant of that.
func newQuarantined() (*Quarantiner, time.Duration) {
	q, now := New(0), time.Hour
	for i := range minCrashes {
		now += time.Second
		q.RecordCrash(now, process(i), "p", prints(shared, fatal))
	}
	return q, now
}

// TestOddCrash guards against a quarantine that ends because a process sends an odd record of one
// of the crashes, or of others.
func TestOddCrash(t *testing.T) {
	var many []*wire.Suspect
	for i := range maxSuspects + 1 {
		many = append(many, &wire.Suspect{Print: uint64(own + i)})
	}
	for _, c := range []struct {
		name  string
		crash *wire.Crash
	}{
		{"an age of weeks", &wire.Crash{Server: process(0).Server, Born: 0, Pool: "p", Age: math.MaxUint32}},
		{"more suspects than a record has", &wire.Crash{Server: process(0).Server, Born: 0, Pool: "p", Suspects: many}},
		{"no server", &wire.Crash{Pool: "p", Born: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, now := newQuarantined()
			before := len(q.crashes)
			q.Merge(now, c.crash)
			assert.Equal(t, len(q.crashes), before)
			assert.Equal(t, len(q.crashes[process(0)].suspects), 2)
			assert.Equal(t, q.crashes[process(0)].at, time.Hour+time.Second)
			assert.Assert(t, q.Check(now+time.Second, "r", "p", prints(shared, fatal, own)) != nil)
		})
	}
}
