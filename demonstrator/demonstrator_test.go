package demonstrator

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRun runs the demo of the README.
func TestRun(t *testing.T) {
	assert.NilError(t, Run(context.Background()))
}
