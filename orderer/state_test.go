package orderer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
)

// TestStatesBounded is an engine whose load changes all the time before many entries:
// the sidecar sends them about 40 messages a second together, and tells at once that
// a model has come.
func TestStatesBounded(t *testing.T) {
	for _, entries := range []int{2, 26, 100} {
		r := newRig()
		r.run(time.Second)
		for range entries {
			r.orderer.watches[make(chan struct{}, 1)] = struct{}{}
		}
		before := r.orderer.state.GetNumber()
		const seconds = 10
		for range seconds * 50 {
			r.clock.Advance(20 * time.Millisecond)
			r.engine.running++
			r.orderer.tick(context.Background())
		}
		rate := float64(r.orderer.state.GetNumber()-before) * float64(entries) / seconds
		assert.Assert(t, rate <= 45, "%d entries: %.0f messages a second", entries, rate)
		r.engine.held["d"] = []string{}
		r.clock.Advance(20 * time.Millisecond)
		r.orderer.tick(context.Background())
		assert.DeepEqual(t, r.orderer.state.GetModels(), []string{"d"})
	}
}

// TestIdleEntryCounts keeps the word of an entry that uses nothing for longer than
// that of one that does.
func TestIdleEntryCounts(t *testing.T) {
	r := newRig()
	r.run(100 * time.Millisecond)
	r.tell(nil, nil)
	r.orderer.tells["e"].tell.Idle = true
	r.run(tellLife + 100*time.Millisecond)
	assert.Equal(t, len(r.orderer.tells), 1)
	r.run(idleLife)
	assert.Equal(t, len(r.orderer.tells), 0)
	r.tell([]string{"a"}, nil)
	r.run(tellLife + 100*time.Millisecond)
	assert.Equal(t, len(r.orderer.tells), 0)
}

// TestSilentWithoutConfiguration says nothing of the engine before a configuration
// tells what its models take: its memory would seem full of what cannot be unloaded.
func TestSilentWithoutConfiguration(t *testing.T) {
	r := newRig()
	r.engine.held["a"] = []string{}
	known := r.orderer.copy.View().Snapshot()
	r.orderer.copy = configurer.New()
	r.run(time.Second)
	assert.Equal(t, r.orderer.state.GetServer(), "")
	r.orderer.copy.Restore(known)
	r.run(time.Second)
	assert.Equal(t, r.orderer.state.GetServer(), id(1))
	assert.Equal(t, len(r.orderer.state.GetResidents()), 1)
}
