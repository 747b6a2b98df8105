package orderer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/placer"
	"oleanderstall/wire"
)

// TestDrainReplacesAnnouncement guards against a model that gets no requests and stays loaded: its
// unload was announced, and another model was to be drained before it was carried out.
func TestDrainReplacesAnnouncement(t *testing.T) {
	f := newFixture()
	f.assignRepeatedly(2*time.Second, "a", "b")
	assert.Assert(t, f.holds("a") && f.holds("b"))
	o, now := f.orderer, f.clock.Now()
	drain := func(model string) string {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.drain(now, placer.Step{Op: placer.Drain, Model: model, Requested: "c"})
		return o.announcedUnload
	}
	f.sendBatch(&wire.Assignment{Demands: []*wire.ModelUsage{{Model: "b", Inflight: 1, Copies: 1}}})
	o.unloadAnnounced(now, "a")
	assert.Equal(t, drain("b"), "b")
	assert.Equal(t, drain("a"), "b", "a drain of a model in use is not given up for another")
}
