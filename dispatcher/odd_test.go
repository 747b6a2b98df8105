package dispatcher

import (
	"context"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// TestOddShares guards against requests that end an entry, because the configuration gives their
// workspace no bucket shares, or more than the memory holds.
func TestOddShares(t *testing.T) {
	fx := newFixture(t, storer.EnginePool, 1, nil)
	none := &wire.Workspace{Name: "none", Burst: 100}
	_, err := fx.dispatcher.chargeWorkspace(context.Background(), none, 10)
	assert.Assert(t, refuser.Is(err, refuser.PlatformUnavailable))
	many := &wire.Workspace{Name: "w", Burst: 100, Shares: 1_000_000}
	assert.Equal(t, len(fx.dispatcher.shareOrder(many)), 32)
}

// TestOddGrant guards against a request that is refused because one of the holders grants an odd
// number of tokens: the other shares have enough.
func TestOddGrant(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
		fx := newFixture(t, storer.EnginePool, 1, nil)
		replies := 0
		answer := func(_ context.Context, call *wire.Call, s peer.Stream) {
			replies++
			grant := &wire.Grant{Tokens: call.GetCharge().GetWant()}
			if replies == 1 {
				grant.Tokens = odd
			}
			_ = s.Send(&wire.Reply{Body: &wire.Reply_Grant{Grant: grant}})
		}
		fx.holdElsewhere(answer)
		charged, err := fx.dispatcher.chargeWorkspace(context.Background(), fx.view.Workspace("w"), 10)
		assert.NilError(t, err, "%v", odd)
		assert.Equal(t, len(charged.grants), 1)
		assert.Equal(t, charged.grants[0].tokens, 10.0)
	}
}

// holdElsewhere gives all shards to another entry, which answers calls with answer.
func (fx *fixture) holdElsewhere(answer peer.Handler) {
	other := storer.Instance{Name: "other", Role: "entry", Centre: "c", Address: "other"}
	fx.platform.SetInstances(fx.dispatcher.member.Self(), other)
	fx.network.Attach("other", answer)
	value, err := storer.Encode(&wire.ShardRow{Shard: 0, Holder: "other", Epoch: 9})
	assert.NilError(fx.t, err)
	_, err = fx.platform.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{{Key: storer.ShardKey(0), Value: value}}})
	assert.NilError(fx.t, err)
	fx.clock.Advance(3 * time.Second)
	fx.dispatcher.member.Poll(context.Background())
	fx.dispatcher.holder.Refresh()
	fx.dispatcher.holder.Tick(context.Background())
}

// TestOddStatus guards against a panic for an answer whose status HTTP cannot have.
func TestOddStatus(t *testing.T) {
	for _, status := range []uint32{0, 99, 100, 1000, math.MaxUint32} {
		f := &scriptedSidecar{scripts: []func(*wire.Call, peer.Stream){
			sendReplies(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "o1", Status: status}}}),
		}}
		fx := newFixture(t, "orders", 1, map[string]*scriptedSidecar{"a": f})
		_, err := fx.dispatcher.Invoke(context.Background(), newOrder("o1", false))
		assert.Assert(t, refuser.Is(err, refuser.ConnectionLost), "%d", status)
		assert.Assert(t, !refuser.FromError(err).NeverRan())
	}
}
