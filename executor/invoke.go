package executor

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/refuser"
	"oleanderstall/service"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of claims.
const (
	// claimTimeout limits the time for writing a claim or recording its outcome.
	claimTimeout = 2 * time.Second
	// claimPollInterval is the time between two reads of a claim that belongs to
	// another request.
	claimPollInterval = 100 * time.Millisecond
	// maxStoredAnswer is the largest body of an answer that is stored with a claim,
	// in bytes.
	maxStoredAnswer = 64 << 10
)

// invoke serves one call of the plain service. A call with an idempotency key on a
// route that is not idempotent is made at most once.
func (x *Executor) invoke(ctx context.Context, req *wire.Invoke) (*wire.Answer, error) {
	if x.service == nil {
		return nil, refuser.New(refuser.NotResident, "no plain service is here")
	}
	arrived := x.clock()
	deadline := arrived + timer.FromMillis(req.GetLeft())
	check := func() error {
		return x.checkRequest(ctx, req.GetKey(), req.GetWorkspace(), req.GetConfig(), arrived, deadline)
	}
	if err := x.refuseIfDraining(); err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		return nil, err
	}
	if err := x.refuseBeyondLimit(); err != nil {
		return nil, err
	}
	route := x.member.View().Route(req.GetRoute())
	if route == nil {
		return nil, refuser.New(refuser.StaleConfiguration, "the route is not in the configuration here").WithRetryAfter(time.Second)
	}
	if err := x.startCall(); err != nil {
		return nil, err
	}
	defer x.endCall()
	if route.GetIdempotent() || req.GetOnce() == "" {
		return x.callService(ctx, route, req, deadline, check)
	}
	return x.invokeOnce(ctx, route, req, deadline, check)
}

// startCall counts a call as running, or refuses it at the concurrency limit.
func (x *Executor) startCall() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= x.options.Concurrency {
		return refuser.New(refuser.Busy, "too many calls at once").WithRetryAfter(max(x.meanServiceTime, time.Second))
	}
	x.running++
	return nil
}

// endCall counts a call as ended.
func (x *Executor) endCall() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// callService calls the service once. Deadline and key are checked again just before
// that, since the process may have been paused. A failed call is not repeated here.
func (x *Executor) callService(ctx context.Context, route *wire.Route, req *wire.Invoke, deadline time.Duration, check func() error) (*wire.Answer, error) {
	if err := check(); err != nil {
		return nil, err
	}
	number, err := x.admitSend(req.GetId())
	if err != nil {
		return nil, err
	}
	started := x.clock()
	timeoutCtx, cancel := context.WithTimeout(ctx, deadline-started)
	defer cancel()
	answer, err := x.service.Call(timeoutCtx, service.Request{
		ID:             req.GetId(),
		Method:         route.GetMethod(),
		Path:           req.GetPath(),
		Query:          req.GetQuery(),
		ContentType:    req.GetType(),
		Workspace:      req.GetWorkspace(),
		IdempotencyKey: req.GetOnce(),
		Body:           req.GetBody(),
		OnLimit:        func(rate float64) { x.recordLimit(number, rate) },
	})
	x.mu.Lock()
	x.recordServiceTime(x.clock() - started)
	x.mu.Unlock()
	if err != nil {
		return nil, x.withCrash(ctx, refusalFor(err))
	}
	if err := x.checkEnd(ctx, answer); err != nil {
		return nil, err
	}
	return &wire.Answer{Id: req.GetId(), Status: uint32(answer.Status), Type: answer.ContentType, Body: answer.Body}, nil
}

// refusalFor returns the refusal for a failed call. It says that the call never ran
// only if no byte of it was sent.
func refusalFor(err error) *refuser.Refusal {
	var callErr *service.CallError
	if eris.As(err, &callErr) && !callErr.Sent {
		return refuser.New(refuser.ConnectionLost, "the service could not be reached").WithRetryAfter(time.Second)
	}
	return refuser.MayHaveRun(refuser.ConnectionLost, "the service did not answer: "+err.Error())
}

// invokeOnce makes a call with an idempotency key at most once. It writes a claim to
// the table before the call, so that only one of all sidecars that receive the key
// makes the call; the others return its answer. The call goes on if the caller
// disconnects, so that a repetition finds the answer.
func (x *Executor) invokeOnce(ctx context.Context, route *wire.Route, req *wire.Invoke, deadline time.Duration, check func() error) (*wire.Answer, error) {
	key := storer.ClaimKey(req.GetWorkspace(), req.GetRoute(), req.GetOnce())
	ownClaim := &wire.Claim{Token: rand.Text(), Digest: requestDigest(req)}
	version, err := x.writeClaim(ctx, key, ownClaim)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return x.awaitClaimedAnswer(ctx, key, req, deadline)
	}
	answer, err := x.callService(context.WithoutCancel(ctx), route, req, deadline, check)
	x.recordOutcome(key, version, ownClaim, answer, err)
	return answer, err
}

// requestDigest returns a hash of the path, query and body of a call. It shows
// whether an idempotency key is used again for a different request.
func requestDigest(req *wire.Invoke) []byte {
	hash := sha256.New()
	hash.Write([]byte(req.GetPath()))
	hash.Write([]byte{0})
	hash.Write([]byte(req.GetQuery()))
	hash.Write([]byte{0})
	hash.Write(req.GetBody())
	return hash.Sum(nil)
}

// writeClaim writes the claim of a key. It returns the version of the row, or 0 if
// another request has claimed the key. If the commit failed, its answer may have
// been lost, so the row is read and compared with the claim's own token.
func (x *Executor) writeClaim(ctx context.Context, key string, claim *wire.Claim) (uint64, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := storer.Encode(claim)
	if err != nil {
		return 0, err
	}
	versions, err := x.table.Commit(timeoutCtx, storer.Transaction{
		Checks: []storer.Check{{Key: key}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	})
	if err == nil {
		return versions[0], nil
	}
	existing, version, readErr := x.readClaim(timeoutCtx, key)
	switch {
	case readErr != nil:
		return 0, refuser.New(refuser.PlatformUnavailable, "the platform does not answer, so the order was not placed").
			WithRetryAfter(claimTimeout)
	case existing.GetToken() == claim.GetToken():
		return version, nil
	case version != 0:
		return 0, nil
	}
	return 0, refuser.New(refuser.PlatformUnavailable, "the platform did not take the claim, so the order was not placed").
		WithRetryAfter(claimTimeout)
}

// readClaim returns the claim of a key and the version of its row, which is 0 if
// there is none.
func (x *Executor) readClaim(ctx context.Context, key string) (*wire.Claim, uint64, error) {
	row, err := x.table.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	claim := &wire.Claim{}
	return claim, row.Version, storer.Decode(row.Value, claim)
}

// awaitClaimedAnswer waits until the request that claimed the key has an answer and
// returns it. It refuses if that request did not run, differs from req, or has no
// answer by the deadline. A claim that is done without an answer never gets one.
func (x *Executor) awaitClaimedAnswer(ctx context.Context, key string, req *wire.Invoke, deadline time.Duration) (*wire.Answer, error) {
	ticker := time.NewTicker(claimPollInterval)
	defer ticker.Stop()
	for {
		claim, version, err := x.readClaim(ctx, key)
		switch {
		case err != nil:
		case version == 0:
			return nil, refuser.New(refuser.Busy, "an earlier request with this key did not run").WithRetryAfter(claimPollInterval)
		case string(claim.GetDigest()) != string(requestDigest(req)):
			return nil, refuser.New(refuser.Conflict, "the idempotency key was used for another request")
		case claim.GetDone() && claim.GetAnswer() != nil:
			answer := claim.GetAnswer()
			answer.Id = req.GetId()
			return answer, nil
		}
		if x.clock()+claimPollInterval >= deadline {
			return nil, refuser.MayHaveRun(refuser.DeadlineExceeded, "an earlier request with this key has no answer yet").
				WithRetryAfter(time.Second)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, refuser.MayHaveRun(refuser.Canceled, "the caller has given up")
		}
	}
}

// recordOutcome stores the answer with the claim. It deletes the claim of a call that
// never ran, so that the key can be used again. The claim of a call whose outcome is
// unknown, or whose answer is too large to be stored, is left as it is.
func (x *Executor) recordOutcome(key string, version uint64, claim *wire.Claim, answer *wire.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	tx := storer.Transaction{Checks: []storer.Check{{Key: key, Version: version}}}
	switch {
	case err == nil && len(answer.GetBody()) <= maxStoredAnswer:
		claim.Done, claim.Answer = true, answer
		value, encodeErr := storer.Encode(claim)
		if encodeErr != nil {
			return
		}
		tx.Puts = []storer.Put{{Key: key, Value: value}}
	case err != nil && refuser.FromError(err).NeverRan():
		tx.Deletes = []string{key}
	default:
		return
	}
	if _, err := x.table.Commit(ctx, tx); err != nil {
		x.log.Warn().Err(err).Msg("claim: outcome not recorded")
	}
}
