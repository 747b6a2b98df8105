package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainEnds guards against a drain that never ends: the drained model was idle, and was not
// unloaded because more requests would miss it than wait for the copy.
func TestDrainEnds(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 1.9} {
		m, other := loadedModel("a", 60, rate), loadedModel("b", 60, 0)
		m.Inflight, other.Inflight = 3, 1
		r := drainingCopy("m", 8)
		assert.Equal(t, NextStep(now, 0, []LoadedModel{m}, []LoadRequest{r}), Step{Drain, "a", "m"})
		m.Inflight = 0
		assert.Equal(t, NextStep(now, 0, []LoadedModel{m, other}, []LoadRequest{r}), Step{Unload, "a", "m"}, "rate %v", rate)
	}
}

// TestRequestedModelNotDrained guards against requests that wait for a model that is loaded and being
// drained for as long as the request for the other copy lasts.
func TestRequestedModelNotDrained(t *testing.T) {
	m := loadedModel("a", 60, 1)
	m.Inflight = 1
	requests := []LoadRequest{drainingCopy("m", 8), loadRequest("a", 60, 1, time.Second)}
	assert.Equal(t, NextStep(now, 0, []LoadedModel{m}, requests), Step{})
}
