package executor

import (
	"context"
	"sync"
	"time"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// signalDrained closes drained if the sidecar is draining and nothing is in flight.
// The caller holds the lock.
func (x *Executor) signalDrained() {
	if !x.draining || x.active > 0 {
		return
	}
	select {
	case <-x.drained:
	default:
		close(x.drained)
	}
}

// refuseIfDraining returns a refusal if the instance is leaving.
func (x *Executor) refuseIfDraining() error {
	if x.Draining() {
		return refuser.New(refuser.Leaving, "the instance is leaving")
	}
	return nil
}

// Drain refuses new work, notifies all entries, and waits for the requests and
// loads in flight or until ctx ends. Then it unloads all models and reports their
// slots free.
func (x *Executor) Drain(ctx context.Context) {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.log.Info().Msg("drain: started, new work is refused")
	x.announceLeaving(ctx)
	x.awaitDrained(ctx)
	if x.engine != nil {
		x.unloadAll(ctx)
		x.reportFreedSlots(ctx)
	}
	x.log.Info().Msg("drain: complete")
}

// announceTimeout limits the time for notifying the entries.
const announceTimeout = time.Second

// announceLeaving notifies every entry that this instance takes no new work. An
// entry that does not answer is skipped.
func (x *Executor) announceLeaving(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	self := x.member.Self()
	call := &wire.Call{Body: &wire.Call_Leave{Leave: &wire.LeaveNotice{Instance: self.Name, Started: self.Started}}}
	var wg sync.WaitGroup
	for _, in := range x.member.Instances("entry") {
		wg.Go(func() { _, _ = peer.Call(timeoutCtx, x.caller, in.Address, call) })
	}
	wg.Wait()
}

// awaitDrained waits until no request and no load is in flight, or until ctx ends.
func (x *Executor) awaitDrained(ctx context.Context) {
	x.mu.Lock()
	x.signalDrained()
	x.mu.Unlock()
	select {
	case <-x.drained:
	case <-ctx.Done():
		x.log.Warn().Msg("drain: cut short")
	}
}

// Draining reports whether the instance refuses new work.
func (x *Executor) Draining() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.draining
}
