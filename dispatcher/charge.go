package dispatcher

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/holder"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// refundTimeout bounds one refund call to another holder after a request.
const refundTimeout = 2 * time.Second

// holderBackOff is how long a holder that did not answer a charge is skipped, so that
// few requests wait for the timeout of a lost holder.
const holderBackOff = 2 * time.Second

// shareGrant holds the tokens that one bucket share granted to a request.
type shareGrant struct {
	share  uint32
	grant  *wire.Grant
	tokens float64
}

// bill lists the tokens that a request was charged, by bucket share.
type bill struct {
	dispatcher *Dispatcher
	workspace  string
	grants     []shareGrant
}

// Charge implements Charger with the workspace's bucket shares.
func (d *Dispatcher) Charge(ctx context.Context, r *Request) (Bill, error) {
	if r.Cost == 0 {
		return &bill{}, nil
	}
	workspace := d.member.View().Workspace(r.Workspace)
	if workspace == nil {
		return nil, refuser.New(refuser.NotFound, "the workspace was removed")
	}
	b, err := d.chargeWorkspace(ctx, workspace, r.Cost)
	if err != nil {
		return nil, err
	}
	return b, nil
}

// Settle implements Bill. The used tokens are kept from the shares in the order in which
// they were charged, so the last share is refunded first. A refund is not repeated: if it
// is lost, the workspace loses those tokens once.
func (b *bill) Settle(used float64) {
	remaining := used
	for _, g := range b.grants {
		kept := min(g.tokens, remaining)
		remaining -= kept
		if unused := g.tokens - kept; unused > 0 {
			b.dispatcher.refund(b.workspace, g, unused)
		}
	}
}

// chargeWorkspace takes cost tokens from the bucket shares of a workspace. It charges
// one share after another in the order of shareOrder, each for the tokens still
// missing. If all shares together have too few, every grant is refunded and the refusal
// states when to retry. Shares whose holder does not answer are skipped.
func (d *Dispatcher) chargeWorkspace(ctx context.Context, workspace *wire.Workspace, cost float64) (*bill, error) {
	if cost > workspace.GetBurst() {
		return nil, refuser.New(refuser.TooLarge, "the request may use more tokens than the workspace's burst")
	}
	charged := &bill{dispatcher: d, workspace: workspace.GetName()}
	missing, answered := cost, false
	var retryAfter time.Duration
	for _, share := range d.shareOrder(workspace) {
		grant, err := d.chargeShare(ctx, &wire.Charge{Workspace: workspace.GetName(), Share: share, Want: missing})
		if err != nil {
			continue
		}
		answered = true
		charged.grants = append(charged.grants, shareGrant{share: share, grant: grant, tokens: grant.GetTokens()})
		missing -= grant.GetTokens()
		if missing <= 0 {
			return charged, nil
		}
		if wait := timer.FromMillis(grant.GetRetry()); retryAfter == 0 || wait < retryAfter {
			retryAfter = wait
		}
	}
	charged.Settle(0)
	if !answered {
		return nil, refuser.New(refuser.PlatformUnavailable, "no holder of the workspace's limit answered").WithRetryAfter(time.Second)
	}
	return nil, refuser.New(refuser.RateLimited, "the workspace has used its rate and burst").
		WithRetryAfter(max(retryAfter, 10*time.Millisecond))
}

// maxShares is the highest number of shares of a workspace that are charged.
const maxShares = 32

// shareOrder returns the shares of a workspace, those held in this data centre first.
// Entries begin at different shares, so that charges spread over the holders. There are no
// more than maxShares.
func (d *Dispatcher) shareOrder(workspace *wire.Workspace) []uint32 {
	var localShares, remoteShares []uint32
	shares := min(workspace.GetShares(), maxShares)
	if shares == 0 {
		return nil
	}
	first := uint32(router.Score(d.member.Self().Name, router.Hash(workspace.GetName())) % uint64(shares))
	for i := range shares {
		share := (first + i) % shares
		address, self := d.holder.HolderAddress(holder.BucketShard(workspace.GetName(), share, d.shards))
		if self || d.inLocalCentre(address) {
			localShares = append(localShares, share)
		} else {
			remoteShares = append(remoteShares, share)
		}
	}
	return append(localShares, remoteShares...)
}

// inLocalCentre reports whether the entry at address is listed in this data centre.
func (d *Dispatcher) inLocalCentre(address string) bool {
	for _, in := range d.member.Instances("entry") {
		if in.Address == address {
			return in.Centre == d.member.Self().Centre
		}
	}
	return false
}

// chargeShare takes tokens from one bucket share, in this process or by a call to the
// share's holder. It may grant fewer tokens than the charge asks for; any other number is an
// unexpected reply. After a call that fails, the shard rows are read again; a holder that sent no reply is skipped for
// holderBackOff.
func (d *Dispatcher) chargeShare(ctx context.Context, charge *wire.Charge) (*wire.Grant, error) {
	address, self := d.holder.HolderAddress(holder.BucketShard(charge.GetWorkspace(), charge.GetShare(), d.shards))
	if self {
		return d.holder.Charge(charge)
	}
	if address == "" || d.holderBackingOff(address) {
		return nil, refuser.New(refuser.NotResident, "the share has no holder now")
	}
	callCtx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	reply, err := peer.Call(callCtx, d.caller, address, &wire.Call{Body: &wire.Call_Charge{Charge: charge}})
	if err != nil {
		d.holder.Refresh()
		var sendErr *peer.SendError
		if eris.As(err, &sendErr) {
			d.backOffHolder(address)
		}
		return nil, err
	}
	grant := reply.GetGrant()
	if grant == nil || !(grant.GetTokens() >= 0 && grant.GetTokens() <= charge.GetWant()) {
		return nil, peer.UnexpectedReply(reply)
	}
	return grant, nil
}

// holderBackingOff reports whether the holder at address failed to answer less than
// holderBackOff ago.
func (d *Dispatcher) holderBackingOff(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	failedAt, ok := d.holderFailures[address]
	if ok && d.clock()-failedAt >= holderBackOff {
		delete(d.holderFailures, address)
		return false
	}
	return ok
}

// backOffHolder records that the holder at address did not answer.
func (d *Dispatcher) backOffHolder(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holderFailures[address] = d.clock()
}

// refund returns tokens to the share that granted them. A call to another holder runs
// in the background and its failure is ignored.
func (d *Dispatcher) refund(workspace string, granted shareGrant, tokens float64) {
	r := &wire.Refund{
		Workspace: workspace,
		Share:     granted.share,
		Epoch:     granted.grant.GetEpoch(),
		At:        granted.grant.GetAt(),
		Tokens:    tokens,
	}
	address, self := d.holder.HolderAddress(holder.BucketShard(workspace, granted.share, d.shards))
	if self {
		_ = d.holder.Refund(r)
		return
	}
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), refundTimeout)
	go func() {
		defer cancel()
		_, _ = peer.Call(ctx, d.caller, address, &wire.Call{Body: &wire.Call_Refund{Refund: r}})
	}()
}
