package executor

import "oleanderstall/refuser"

// refuseBeyondLimit refuses a request before it waits for anything if the backend server has named
// a limit and takes none now.
func (x *Executor) refuseBeyondLimit() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if wait := x.gate.Wait(x.clock()); wait > 0 {
		return refuser.New(refuser.BackendLimited, "the backend server gets as many requests as it takes").WithRetryAfter(wait)
	}
	return nil
}

// admitSend numbers a request with an ID that is about to be sent to the backend server, or refuses
// it if the server has named a limit and takes none now.
func (x *Executor) admitSend(id string) (uint64, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	number, wait, ok := x.gate.Admit(x.clock())
	if !ok {
		x.log.Info().Str("request", id).Int64("retry", wait.Milliseconds()).Msg("server: beyond its limit")
		return 0, refuser.New(refuser.BackendLimited, "the backend server gets as many requests as it takes").WithRetryAfter(wait)
	}
	return number, nil
}

// recordLimit records the limit that the backend server names in its answer to the request with a
// number, in requests a second, or 0 if it names none.
func (x *Executor) recordLimit(number uint64, rate float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.applyLimit(number, rate)
}

// applyLimit does the work of recordLimit. The caller holds the lock.
func (x *Executor) applyLimit(number uint64, rate float64) {
	if x.gate.Record(x.clock(), number, rate) {
		x.log.Info().Float64("limit", rate).Uint64("number", number).Msg("server: limit, by its answer")
	}
}
