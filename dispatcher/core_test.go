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

// TestShouldRetry checks after which errors another attempt is made. An attempt whose
// request may have reached a server is charged to the retry budget, even if nothing ran
// there; one that never reached a server is retried with an empty budget.
func TestShouldRetry(t *testing.T) {
	logger := faker.DiscardLogger()
	for _, c := range []struct {
		name   string
		err    error
		budget float64
		retry  bool
	}{
		{"not resident, budget empty", refuser.New(refuser.NotResident, "x"), 0, false},
		{"not resident", refuser.New(refuser.NotResident, "x"), 10, true},
		{"busy, budget empty", refuser.New(refuser.Busy, "x"), 0, false},
		{"busy", refuser.New(refuser.Busy, "x"), 10, true},
		{"no connection, budget empty", refuser.New(refuser.ConnectionLost, "x"), 0, true},
		{"host does not answer, budget empty", refuser.New(refuser.BackendSilent, "x"), 0, true},
		{"connection lost after sending, budget empty", refuser.MayHaveRun(refuser.ConnectionLost, "x"), 0, false},
		{"host stopped answering after sending, budget empty", refuser.MayHaveRun(refuser.BackendSilent, "x"), 0, false},
		{"deadline exceeded", refuser.New(refuser.DeadlineExceeded, "x"), 10, false},
	} {
		clock := func() time.Duration { return time.Hour }
		core := NewCore(clock, nil, nil, nil, nil, router.NewRetryBudget(router.RetryLimits{Burst: c.budget}), recorder.New("a", 4), meter.New(), logger)
		p := &progress{request: &Request{Kind: Idempotent, Deadline: 2 * time.Hour}}
		assert.Equal(t, core.shouldRetry(p, c.err), c.retry, c.name)
	}
}
