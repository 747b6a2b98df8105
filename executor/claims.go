package executor

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"oleanderstall/claimer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Limits of claims.
const (
	// claimTimeout limits the time for writing a claim or recording its outcome.
	claimTimeout = 2 * time.Second
	// claimPollInterval is the time between two reads of a claim that belongs to
	// another request.
	claimPollInterval = 100 * time.Millisecond
	// restoreTimeout limits the time for writing lost claims again. The next sweep goes on.
	restoreTimeout = 5 * time.Second
)

// invokeOnce makes a call with an idempotency key at most once. It writes a claim to
// the table before the call, so that only one of all sidecars that receive the key
// makes the call; the others return its answer. The call goes on if the caller
// disconnects, so that a repetition finds the answer.
func (x *Executor) invokeOnce(ctx context.Context, route *wire.Route, req *wire.Invoke, deadline time.Duration, check func() error) (*wire.Answer, error) {
	key := storer.ClaimKey(req.GetWorkspace(), req.GetRoute(), req.GetOnce())
	if _, ok := x.claims.Find(key); ok {
		return x.awaitClaimedAnswer(ctx, key, req, deadline)
	}
	claim := &wire.Claim{Token: rand.Text(), Digest: requestDigest(req)}
	claimed, err := x.claim(ctx, key, claim)
	if err != nil {
		return nil, err
	}
	if !claimed {
		return x.awaitClaimedAnswer(ctx, key, req, deadline)
	}
	answer, err := x.callService(context.WithoutCancel(ctx), route, req, deadline, check)
	x.recordOutcome(key, claim, answer, err)
	return answer, err
}

// requestDigest returns a hash of the path, query and body of a call.
func requestDigest(req *wire.Invoke) []byte {
	return claimer.Digest(req.GetPath(), req.GetQuery(), req.GetBody())
}

// claim writes the claim of a key. It returns false if another request has claimed the key. In an
// era of the store in which claims may be missing, a key without one is not claimed.
func (x *Executor) claim(ctx context.Context, key string, claim *wire.Claim) (bool, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	era, wait, err := x.claims.Admit(timeoutCtx, x.claimants())
	if err != nil {
		return false, refuser.New(refuser.PlatformUnavailable, "the platform does not answer, so the order was not placed").
			WithRetryAfter(claimTimeout)
	}
	if wait > 0 {
		return false, x.refuseUnlessClaimed(timeoutCtx, key, wait)
	}
	version, err := x.claims.Claim(timeoutCtx, key, claim)
	switch {
	case x.table.Era() != era:
		if version != 0 {
			x.releaseClaim(key, claim)
		}
		return false, undecided(claimPollInterval)
	case err != nil:
		return false, refuser.New(refuser.PlatformUnavailable, "the platform did not take the claim, so the order was not placed").
			WithRetryAfter(claimTimeout)
	}
	return version != 0, nil
}

// claimants returns the names of the listed sidecars that make calls with a claim.
func (x *Executor) claimants() []string {
	var names []string
	for _, in := range x.member.Instances("sidecar") {
		if in.Pool != storer.EnginePool {
			names = append(names, in.Name)
		}
	}
	return names
}

// refuseUnlessClaimed returns nil if a key has a claim, or else the refusal of a call that cannot
// be told from a repetition for a time.
func (x *Executor) refuseUnlessClaimed(ctx context.Context, key string, wait time.Duration) error {
	if _, version, err := x.claims.Read(ctx, key); err == nil && version != 0 {
		return nil
	}
	return undecided(wait)
}

// undecided returns the refusal of a call whose key may have been claimed before the store lost
// claims. It is not made, but an earlier call with its key may have been.
func undecided(wait time.Duration) error {
	return refuser.MayHaveRun(refuser.Undecided, "the platform came back from a copy, and it is not known yet whether an earlier request with this key ran").
		WithRetryAfter(wait)
}

// awaitClaimedAnswer waits until the request that claimed the key has an answer and
// returns it. It refuses if that request did not run, differs from req, or has no
// answer by the deadline. A claim that is done without an answer never gets one.
func (x *Executor) awaitClaimedAnswer(ctx context.Context, key string, req *wire.Invoke, deadline time.Duration) (*wire.Answer, error) {
	ticker := time.NewTicker(claimPollInterval)
	defer ticker.Stop()
	era := x.table.Era()
	for {
		claim, version, err := x.claims.Read(ctx, key)
		switch {
		case err != nil:
		case version == 0 && x.claimMayBeLost(key, era):
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

// claimMayBeLost reports whether a key that had a claim in an era may have it still, although it
// has no row.
func (x *Executor) claimMayBeLost(key string, era uint64) bool {
	_, own := x.claims.Find(key)
	return own || x.table.Era() != era || !x.claims.Settled()
}

// recordOutcome stores the answer with the claim. It releases the claim of a call that
// never ran, so that the key can be used again. The claim of a call whose outcome is
// unknown, or whose answer is too large to be stored, is left as it is.
func (x *Executor) recordOutcome(key string, claim *wire.Claim, answer *wire.Answer, err error) {
	if err != nil && refuser.FromError(err).NeverRan() {
		x.releaseClaim(key, claim)
		return
	}
	if err != nil || len(answer.GetBody()) > claimer.MaxAnswer {
		answer = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := x.claims.Finish(ctx, key, claim.GetToken(), answer); err != nil {
		x.log.Warn().Err(err).Msg("claim: outcome not recorded")
	}
}

// releaseClaim releases the claim of a call that never ran.
func (x *Executor) releaseClaim(key string, claim *wire.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := x.claims.Release(ctx, key, claim.GetToken()); err != nil {
		x.log.Warn().Err(err).Msg("claim: outcome not recorded")
	}
}

// restoreClaims writes the claims again that the store has lost.
func (x *Executor) restoreClaims(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	if err := x.claims.Sweep(limited); err != nil && !errors.Is(err, context.Canceled) {
		x.log.Warn().Err(err).Msg("claim: not written again")
	}
}
