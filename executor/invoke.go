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
	claimLimit = 2 * time.Second
	// claimPoll is the time between two looks at a claim that another sidecar
	// works on.
	claimPoll = 100 * time.Millisecond
	// maxKept is the largest answer kept with a claim, in bytes.
	maxKept = 64 << 10
)

// invoke serves one call of the plain service.
func (x *Executor) invoke(ctx context.Context, v *wire.Invoke) (*wire.Answer, error) {
	if x.service == nil {
		return nil, refuser.New(refuser.Absent, "no plain service is here")
	}
	arrived := x.clock()
	deadline := arrived + timer.FromMillis(v.GetLeft())
	check := func() error {
		return x.admit(ctx, v.GetKey(), v.GetWorkspace(), v.GetConfig(), arrived, deadline)
	}
	if err := x.open(); err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		return nil, err
	}
	route := x.member.View().Route(v.GetRoute())
	if route == nil {
		return nil, refuser.New(refuser.Stale, "the route is not in the configuration here").After(time.Second)
	}
	if err := x.enter(); err != nil {
		return nil, err
	}
	defer x.exit()
	if route.GetIdempotent() || v.GetOnce() == "" {
		return x.send(ctx, route, v, deadline, check)
	}
	return x.once(ctx, route, v, deadline, check)
}

// enter takes a place among the concurrent calls.
func (x *Executor) enter() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= x.terms.Concurrency {
		return refuser.New(refuser.Busy, "too many calls at once").After(max(x.pace, time.Second))
	}
	x.running++
	return nil
}

func (x *Executor) exit() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// send makes the call. Deadline and key are checked once more just before it,
// since the process may have been paused. Nothing repeats the call after that.
func (x *Executor) send(ctx context.Context, route *wire.Route, v *wire.Invoke, deadline time.Duration, check func() error) (*wire.Answer, error) {
	if err := check(); err != nil {
		return nil, err
	}
	begun := x.clock()
	limited, cancel := context.WithTimeout(ctx, deadline-begun)
	defer cancel()
	answer, err := x.service.Call(limited, service.Request{
		ID:         v.GetId(),
		Method:     route.GetMethod(),
		Path:       v.GetPath(),
		Query:      v.GetQuery(),
		Type:       v.GetType(),
		Workspace:  v.GetWorkspace(),
		Key:        v.GetOnce(),
		Body:       v.GetBody(),
		Idempotent: route.GetIdempotent(),
	})
	x.mu.Lock()
	x.record(x.clock() - begun)
	x.mu.Unlock()
	if err != nil {
		return nil, refusal(err)
	}
	return &wire.Answer{Id: v.GetId(), Status: uint32(answer.Status), Type: answer.Type, Body: answer.Body}, nil
}

// refusal tells whether a failed call may have run.
func refusal(err error) error {
	var call *service.CallError
	if eris.As(err, &call) && !call.Sent {
		return refuser.New(refuser.Lost, "the service could not be reached").After(time.Second)
	}
	return refuser.Unknown(refuser.Lost, "the service did not answer: "+err.Error())
}

// once makes a call with an idempotency key. The claim in the table is written
// before the call, so that of all sidecars that get the key one makes the call;
// the others give its answer. The call goes on when its caller leaves, so that a
// repetition finds the answer.
func (x *Executor) once(ctx context.Context, route *wire.Route, v *wire.Invoke, deadline time.Duration, check func() error) (*wire.Answer, error) {
	key := storer.ClaimKey(v.GetWorkspace(), v.GetRoute(), v.GetOnce())
	mine := &wire.Claim{Token: rand.Text(), Digest: digest(v)}
	version, err := x.claim(ctx, key, mine)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return x.follow(ctx, key, v, deadline)
	}
	answer, err := x.send(context.WithoutCancel(ctx), route, v, deadline, check)
	x.conclude(key, version, mine, answer, err)
	return answer, err
}

func digest(v *wire.Invoke) []byte {
	h := sha256.New()
	h.Write([]byte(v.GetPath()))
	h.Write([]byte{0})
	h.Write([]byte(v.GetQuery()))
	h.Write([]byte{0})
	h.Write(v.GetBody())
	return h.Sum(nil)
}

// claim writes the claim of a key. It returns the version of the row, or 0 if
// another request has the key. If the answer of the platform was lost, it looks
// for its own token.
func (x *Executor) claim(ctx context.Context, key string, c *wire.Claim) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	value, err := storer.Encode(c)
	if err != nil {
		return 0, err
	}
	versions, err := x.table.Commit(limited, storer.Transaction{
		Checks: []storer.Check{{Key: key}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	})
	if err == nil {
		return versions[0], nil
	}
	found, version, readErr := x.readClaim(limited, key)
	switch {
	case readErr != nil:
		return 0, refuser.New(refuser.Outage, "the platform does not answer, so the order was not placed").
			After(claimLimit)
	case found.GetToken() == c.GetToken():
		return version, nil
	case version != 0:
		return 0, nil
	}
	return 0, refuser.New(refuser.Outage, "the platform did not take the claim, so the order was not placed").
		After(claimLimit)
}

func (x *Executor) readClaim(ctx context.Context, key string) (*wire.Claim, uint64, error) {
	row, err := x.table.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	c := &wire.Claim{}
	return c, row.Version, storer.Decode(row.Value, c)
}

// follow waits for the answer to a key that another request claimed.
func (x *Executor) follow(ctx context.Context, key string, v *wire.Invoke, deadline time.Duration) (*wire.Answer, error) {
	tick := time.NewTicker(claimPoll)
	defer tick.Stop()
	for {
		c, version, err := x.readClaim(ctx, key)
		switch {
		case err != nil:
		case version == 0:
			return nil, refuser.New(refuser.Busy, "an earlier request with this key did not run").After(claimPoll)
		case string(c.GetDigest()) != string(digest(v)):
			return nil, refuser.New(refuser.Conflict, "the idempotency key was used for another request")
		case c.GetDone():
			answer := c.GetAnswer()
			answer.Id = v.GetId()
			return answer, nil
		}
		if x.clock()+claimPoll >= deadline {
			return nil, refuser.Unknown(refuser.Late, "an earlier request with this key has no answer yet").
				After(time.Second)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, refuser.Unknown(refuser.Canceled, "the caller has given up")
		}
	}
}

// conclude records the outcome with the claim. A call that never ran gives the
// key back; one whose outcome is open keeps it for good.
func (x *Executor) conclude(key string, version uint64, c *wire.Claim, answer *wire.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimLimit)
	defer cancel()
	tx := storer.Transaction{Checks: []storer.Check{{Key: key, Version: version}}}
	switch {
	case err == nil && len(answer.GetBody()) <= maxKept:
		c.Done, c.Answer = true, answer
		value, encodeErr := storer.Encode(c)
		if encodeErr != nil {
			return
		}
		tx.Puts = []storer.Put{{Key: key, Value: value}}
	case err != nil && refuser.Of(err).Never():
		tx.Deletes = []string{key}
	default:
		return
	}
	if _, err := x.table.Commit(ctx, tx); err != nil {
		x.log.Warn().Err(err).Msg("claim: outcome not recorded")
	}
}
