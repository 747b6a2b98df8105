package executor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/refuser"
)

// TestWithCrash checks which refusals state that the backend server has crashed: those of calls
// that may have run, if nobody listens there any more. All calls of one crash state the same
// time, until the server answers again.
func TestWithCrash(t *testing.T) {
	refuses := true
	x := &Executor{log: faker.DiscardLogger()}
	x.options.Refuses = func(context.Context) bool { return refuses }
	lost := refuser.MayHaveRun(refuser.ConnectionLost, "no answer")
	first := refuser.CrashTime(x.withCrash(t.Context(), lost))
	assert.Assert(t, first > 0)
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), lost)), first)
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), refuser.New(refuser.ConnectionLost, "not sent"))), int64(0))

	x.recordAlive()
	assert.Equal(t, x.crashedAt, int64(0))
	refuses = false
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), lost)), int64(0))
	x.options.Refuses = nil
	assert.Equal(t, refuser.CrashTime(x.withCrash(t.Context(), lost)), int64(0))
}
