package peer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// TestCutStreamHasNoEnd checks that a stream that was cut does not end as one whose handler has
// returned: after the replies that arrived, only the latter ends with io.EOF.
func TestCutStreamHasNoEnd(t *testing.T) {
	for _, tt := range []struct {
		name string
		// cut ends the stream, from its handler, after the first reply.
		cut func(server *Node, s *stream)
		end bool
	}{
		{name: "returned", cut: func(*Node, *stream) {}, end: true},
		{name: "process ends", cut: func(server *Node, _ *stream) { server.Close() }},
		{name: "canceled", cut: func(_ *Node, s *stream) { s.Cancel() }},
		{name: "half a length", cut: func(_ *Node, s *stream) { _, _ = s.quicStream.Write([]byte{0x80}) }},
		{name: "half a reply", cut: func(_ *Node, s *stream) { _, _ = s.quicStream.Write([]byte{9, 1, 2}) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var server *Node
			started, received := make(chan struct{}), make(chan struct{})
			server = newNode(t, "secret", func(ctx context.Context, call *wire.Call, s Stream) {
				<-started
				grantWanted(ctx, call, s)
				<-received
				tt.cut(server, s.(*stream))
			})
			close(started)
			client := newNode(t, "secret", grantWanted)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			s, err := client.Open(ctx, server.Address(), chargeCall)
			assert.NilError(t, err)
			defer s.Cancel()
			_, err = s.Recv()
			assert.NilError(t, err)
			close(received)
			_, err = s.Recv()
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			assert.Equal(t, eris.Is(err, io.EOF), tt.end, "%v", err)
		})
	}
}

// TestPipeHasNoEnd checks that a stream in memory never ends with io.EOF.
func TestPipeHasNoEnd(t *testing.T) {
	s := Pipe(t.Context(), grantWanted, chargeCall)
	_, err := s.Recv()
	assert.NilError(t, err)
	_, err = s.Recv()
	assert.Assert(t, err != nil && !eris.Is(err, io.EOF), "%v", err)
}
