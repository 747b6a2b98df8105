package dialer

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefuses checks an open port, a closed one, and an attempt that has no time left.
func TestRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.Assert(t, !Refuses(t.Context(), address))
	assert.NilError(t, l.Close())
	assert.Assert(t, Refuses(t.Context(), address))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !Refuses(ended, address))
}
