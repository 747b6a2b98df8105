package executor

import (
	"context"
	"time"

	"oleanderstall/refuser"
)

// crashCheckTimeout bounds the check whether the backend server has ended.
const crashCheckTimeout = 250 * time.Millisecond

// withCrash returns the refusal of a call that the backend server did not answer. It states
// when the server crashed if nobody listens at its address any more.
func (x *Executor) withCrash(ctx context.Context, refusal *refuser.Refusal) error {
	if refusal.NeverRan() || x.options.Refuses == nil {
		return refusal
	}
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	if !x.options.Refuses(checkCtx) {
		return refusal
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.crashedAt == 0 {
		x.crashedAt = time.Now().UnixMilli()
		x.log.Info().Int("running", x.running).Msg("server: crashed")
	}
	return refusal.WithCrash(x.crashedAt)
}

// recordAlive records that the backend server answers, so that its next end is another crash.
// The caller holds the lock.
func (x *Executor) recordAlive() { x.crashedAt = 0 }
