package executor

import (
	"context"
	"time"

	"oleanderstall/assembler"
	"oleanderstall/refuser"
	"oleanderstall/service"
	"oleanderstall/timer"
)

const (
	// crashCheckTimeout bounds a check whether the backend server runs.
	crashCheckTimeout = 250 * time.Millisecond
	// restartPollInterval is the time between two checks whether a crashed backend server
	// runs again.
	restartPollInterval = 100 * time.Millisecond
)

// withCrash returns the refusal of a call that the backend server did not answer. If nobody
// listens at its address any more, the server has crashed; a refusal of a call that may have
// run then states when.
func (x *Executor) withCrash(ctx context.Context, refusal *refuser.Refusal) error {
	if !x.backendRefuses(context.WithoutCancel(ctx)) {
		return refusal
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.crashedAt == 0 {
		x.crashedAt = time.Now().UnixMilli()
		x.log.Info().Int("running", x.running).Msg("server: crashed")
		x.suspectRestart()
	}
	if refusal.NeverRan() {
		return refusal
	}
	return refusal.WithCrash(x.crashedAt)
}

// checkEnd returns a refusal of a call whose answer may have been cut: its body ended with its
// connection, and it is not certain that the service's process ran after that.
func (x *Executor) checkEnd(ctx context.Context, answer *service.Answer) error {
	err := assembler.CheckEnd(answer.Framing, func() bool { return answer.ServiceRuns })
	if err != nil {
		return x.withCrash(ctx, refuser.FromError(err))
	}
	return nil
}

// backendRefuses reports whether nobody listens at the backend server's address.
func (x *Executor) backendRefuses(ctx context.Context) bool {
	if x.options.Refuses == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return x.options.Refuses(limited)
}

// suspectRestart records that the engine may have started again, without what it had loaded,
// and has its status read. The caller holds the lock.
func (x *Executor) suspectRestart() {
	x.mayHaveRestarted = true
	select {
	case x.restartSuspected <- struct{}{}:
	default:
	}
}

// markModelMissing records that the engine answered that it does not have a model.
func (x *Executor) markModelMissing() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.suspectRestart()
}

// awaitRestart waits until the backend server runs again after a crash, or until ctx ends. It
// returns at once if there was none.
func (x *Executor) awaitRestart(ctx context.Context) {
	for x.crashed() && !x.runsAgain(ctx) {
		if !timer.Wait(ctx, restartPollInterval, nil) {
			return
		}
	}
}

// runsAgain reports whether the backend server runs again after a crash.
func (x *Executor) runsAgain(ctx context.Context) bool {
	if x.backendRefuses(ctx) {
		return false
	}
	if x.engine != nil {
		x.pollEngine(ctx)
		return !x.crashed()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recordAlive()
	return true
}

// crashed reports whether the backend server has crashed and does not run again yet.
func (x *Executor) crashed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.crashedAt != 0
}

// recordAlive records that the backend server answers, so that its next end is another crash.
// The caller holds the lock.
func (x *Executor) recordAlive() {
	if x.crashedAt != 0 {
		x.log.Info().Msg("server: runs again")
	}
	x.crashedAt = 0
}
