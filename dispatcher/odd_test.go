package dispatcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

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
