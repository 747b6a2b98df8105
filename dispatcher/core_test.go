package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
)

// TestAgain lists the ends of an attempt after which another one is made, and that
// each takes from the retry budget if a server received the request, also where nothing
// ran.
func TestAgain(t *testing.T) {
	l := faker.Silent()
	for _, c := range []struct {
		name   string
		err    error
		budget float64
		again  bool
	}{
		{"not there, nothing left", refuser.New(refuser.Absent, "x"), 0, false},
		{"not there", refuser.New(refuser.Absent, "x"), 10, true},
		{"busy, nothing left", refuser.New(refuser.Busy, "x"), 0, false},
		{"busy", refuser.New(refuser.Busy, "x"), 10, true},
		{"no connection, nothing left", refuser.New(refuser.Lost, "x"), 0, true},
		{"host that stands still, nothing left", refuser.New(refuser.Silent, "x"), 0, true},
		{"broken off, nothing left", refuser.Unknown(refuser.Lost, "x"), 0, false},
		{"silent after it was sent, nothing left", refuser.Unknown(refuser.Silent, "x"), 0, false},
		{"too late", refuser.New(refuser.Late, "x"), 10, false},
	} {
		clock := func() time.Duration { return time.Hour }
		core := NewCore(clock, nil, nil, nil, nil, router.NewBudget(router.Retries{Most: c.budget}), recorder.New("a", 4), meter.New(), l)
		p := &progress{request: &Request{Kind: Idempotent, Deadline: 2 * time.Hour}}
		assert.Equal(t, core.again(p, c.err), c.again, c.name)
	}
}
