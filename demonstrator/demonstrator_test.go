package demonstrator

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRun checks that the demo that the README describes runs without an error.
func TestRun(t *testing.T) {
	assert.NilError(t, Run(context.Background()))
}
