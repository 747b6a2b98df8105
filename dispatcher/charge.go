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

// settleLimit bounds the settlement after a request.
const settleLimit = 2 * time.Second

// silentLife is how long a holder that did not answer is not asked again, so
// that a request waits for a lost holder only now and then.
const silentLife = 2 * time.Second

// part is what one share granted to a request.
type part struct {
	share  uint32
	grant  *wire.Grant
	tokens float64
}

// bill is what a request was charged, share by share.
type bill struct {
	dispatcher *Dispatcher
	workspace  string
	parts      []part
}

// Charge implements Charger.
func (d *Dispatcher) Charge(ctx context.Context, r *Request) (Bill, error) {
	if r.Cost == 0 {
		return &bill{}, nil
	}
	w := d.member.View().Workspace(r.Workspace)
	if w == nil {
		return nil, refuser.New(refuser.NotFound, "the workspace was removed")
	}
	b, err := d.charge(ctx, w, r.Cost)
	if err != nil {
		return nil, err
	}
	return b, nil
}

// Settle implements Bill. The last part goes back first. A settlement that is lost
// costs the workspace those tokens once.
func (b *bill) Settle(used float64) {
	spent := used
	for _, p := range b.parts {
		keep := min(p.tokens, spent)
		spent -= keep
		if back := p.tokens - keep; back > 0 {
			b.dispatcher.refund(b.workspace, p, back)
		}
	}
}

// charge takes cost tokens of a workspace. It asks share after share, beginning
// with one that depends on this entry's data centre, and gathers what each has.
// If the sum falls short, everything goes back.
func (d *Dispatcher) charge(ctx context.Context, w *wire.Workspace, cost float64) (*bill, error) {
	if cost > w.GetBurst() {
		return nil, refuser.New(refuser.TooLarge, "the request may use more tokens than the workspace's burst")
	}
	b := &bill{dispatcher: d, workspace: w.GetName()}
	missing, answered := cost, false
	var retry time.Duration
	for _, share := range d.order(w) {
		g, err := d.chargeShare(ctx, &wire.Charge{Workspace: w.GetName(), Share: share, Want: missing})
		if err != nil {
			continue
		}
		answered = true
		b.parts = append(b.parts, part{share: share, grant: g, tokens: g.GetTokens()})
		missing -= g.GetTokens()
		if missing <= 0 {
			return b, nil
		}
		if wait := timer.FromMillis(g.GetRetry()); retry == 0 || wait < retry {
			retry = wait
		}
	}
	b.Settle(0)
	if !answered {
		return nil, refuser.New(refuser.Outage, "no holder of the workspace's limit answered").After(time.Second)
	}
	return nil, refuser.New(refuser.Limited, "the workspace has used its rate and burst").
		After(max(retry, 10*time.Millisecond))
}

// order returns the shares of a workspace, those held in this data centre first.
// Entries begin at different shares, so that the load spreads.
func (d *Dispatcher) order(w *wire.Workspace) []uint32 {
	var near, far []uint32
	first := uint32(router.Score(d.member.Self().Name, router.Hash(w.GetName())) % uint64(w.GetShares()))
	for i := range w.GetShares() {
		share := (first + i) % w.GetShares()
		address, self := d.holder.Address(holder.BucketShard(w.GetName(), share, d.shards))
		if self || d.local(address) {
			near = append(near, share)
		} else {
			far = append(far, share)
		}
	}
	return append(near, far...)
}

// local reports whether an entry at address is in this data centre.
func (d *Dispatcher) local(address string) bool {
	for _, in := range d.member.Instances("entry") {
		if in.Address == address {
			return in.Centre == d.member.Self().Centre
		}
	}
	return false
}

func (d *Dispatcher) chargeShare(ctx context.Context, c *wire.Charge) (*wire.Grant, error) {
	address, self := d.holder.Address(holder.BucketShard(c.GetWorkspace(), c.GetShare(), d.shards))
	if self {
		return d.holder.Charge(c)
	}
	if address == "" || d.silent(address) {
		return nil, refuser.New(refuser.Absent, "the share has no holder now")
	}
	limited, cancel := context.WithTimeout(ctx, holderLimit)
	defer cancel()
	reply, err := peer.One(limited, d.caller, address, &wire.Call{Body: &wire.Call_Charge{Charge: c}})
	if err != nil {
		d.holder.Refresh()
		var lost *peer.SendError
		if eris.As(err, &lost) {
			d.hush(address)
		}
		return nil, err
	}
	if reply.GetGrant() == nil {
		return nil, peer.Unexpected(reply)
	}
	return reply.GetGrant(), nil
}

// silent reports whether the process at address has not answered lately.
func (d *Dispatcher) silent(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.hushed[address]
	if ok && d.clock()-at >= silentLife {
		delete(d.hushed, address)
		return false
	}
	return ok
}

// hush takes note that the process at address did not answer.
func (d *Dispatcher) hush(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hushed[address] = d.clock()
}

func (d *Dispatcher) refund(workspace string, p part, tokens float64) {
	r := &wire.Refund{
		Workspace: workspace,
		Share:     p.share,
		Epoch:     p.grant.GetEpoch(),
		At:        p.grant.GetAt(),
		Tokens:    tokens,
	}
	address, self := d.holder.Address(holder.BucketShard(workspace, p.share, d.shards))
	if self {
		_ = d.holder.Refund(r)
		return
	}
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	go func() {
		defer cancel()
		_, _ = peer.One(ctx, d.caller, address, &wire.Call{Body: &wire.Call_Refund{Refund: r}})
	}()
}
