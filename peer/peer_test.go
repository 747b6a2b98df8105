package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/receiver"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// TestCallReturnsReply checks that the reply of the handler reaches the caller.
func TestCallReturnsReply(t *testing.T) {
	server, client := newNode(t, "secret", grantWanted), newNode(t, "secret", grantWanted)
	reply, err := Call(context.Background(), client, server.Address(), chargeCall)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetGrant().GetTokens(), 512.0)
}

// TestOtherSecretRefused checks that a call between processes with different
// secrets fails and does not reach the handler.
func TestOtherSecretRefused(t *testing.T) {
	called := make(chan struct{}, 1)
	server := newNode(t, "secret", func(context.Context, *wire.Call, Stream) { called <- struct{}{} })
	client := newNode(t, "another", grantWanted)
	_, err := Call(context.Background(), client, server.Address(), chargeCall)
	assert.Assert(t, err != nil)
	select {
	case <-called:
		t.Fatal("a call from a process with another secret was handled")
	default:
	}
}

// TestUnreachableAddressNotSent checks that a call to an address without a
// listener is reported as not sent, so that it can be retried safely.
func TestUnreachableAddressNotSent(t *testing.T) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := socket.LocalAddr().String()
	assert.NilError(t, socket.Close())
	client := newNode(t, "secret", grantWanted)
	_, err = Call(context.Background(), client, address, chargeCall)
	var send *SendError
	assert.Assert(t, eris.As(err, &send))
	assert.Assert(t, !send.Sent)
}

// TestServerLostAfterCallSent closes the server while it handles a call. The
// error must report the call as sent, since it may have been executed.
func TestServerLostAfterCallSent(t *testing.T) {
	arrived := make(chan struct{})
	server := newNode(t, "secret", func(ctx context.Context, _ *wire.Call, _ Stream) {
		close(arrived)
		<-ctx.Done()
	})
	client := newNode(t, "secret", grantWanted)
	go func() {
		<-arrived
		server.Close()
	}()
	_, err := Call(context.Background(), client, server.Address(), chargeCall)
	var send *SendError
	assert.Assert(t, eris.As(err, &send))
	assert.Assert(t, send.Sent)
}

// TestCancelReachesHandler checks that the handler's context ends when the caller
// cancels.
func TestCancelReachesHandler(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	server := newNode(t, "secret", func(ctx context.Context, _ *wire.Call, _ Stream) {
		close(arrived)
		<-ctx.Done()
		close(ended)
	})
	client := newNode(t, "secret", grantWanted)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := Call(ctx, client, server.Address(), chargeCall)
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the handler's context did not end")
	}
}

// TestReplyBeforeCloseSend guards against losing a call whose server replies and
// closes the stream before the caller has closed its sending side.
func TestReplyBeforeCloseSend(t *testing.T) {
	server, client := newNode(t, "secret", grantWanted), newNode(t, "secret", grantWanted)
	pc, err := client.connect(context.Background(), server.Address())
	assert.NilError(t, err)
	qs, err := pc.conn.OpenStreamSync(context.Background())
	assert.NilError(t, err)
	s := newStream(qs)
	assert.NilError(t, s.SendCall(chargeCall))
	reply, err := s.Recv()
	assert.NilError(t, err)
	_, err = s.reader.ReadByte()
	assert.Assert(t, eris.Is(err, io.EOF))
	s.closeSend()
	assert.Equal(t, reply.GetGrant().GetTokens(), 512.0)
}

// replyAccount is an account with a limit.
type replyAccount struct{ held, limit int64 }

func (a *replyAccount) Reserve(_ context.Context, n int64) error {
	if a.held+n > a.limit {
		return receiver.NoRoom()
	}
	a.held += n
	return nil
}

func (a *replyAccount) Release(n int64) { a.held -= n }

// TestLargeReplyIsReserved guards against a large reply that is received without room in the account
// of its request, and against an error that says that the call has not run.
func TestLargeReplyIsReserved(t *testing.T) {
	const size = 100 << 10
	server := newNode(t, "secret", func(_ context.Context, _ *wire.Call, s Stream) {
		_ = s.Send(&wire.Reply{Body: &wire.Reply_Text{Text: &wire.Text{Data: make([]byte, size)}}})
	})
	client := newNode(t, "secret", grantWanted)
	a := &replyAccount{limit: 1 << 20}
	_, err := Call(receiver.WithAccount(t.Context(), a), client, server.Address(), chargeCall)
	assert.NilError(t, err)
	assert.Assert(t, a.held >= replyCopies*size)
	_, err = Call(receiver.WithAccount(t.Context(), &replyAccount{}), client, server.Address(), chargeCall)
	var send *SendError
	assert.Assert(t, eris.As(err, &send) && send.Sent)
	assert.Assert(t, !refuser.FromError(err).NeverRan())
}
