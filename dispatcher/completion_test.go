package dispatcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// scriptedStream is the stream of a sidecar that sends the given replies and then ends.
type scriptedStream struct {
	peer.Stream
	replies  []*wire.Reply
	canceled bool
}

// Recv implements peer.Stream.
func (s *scriptedStream) Recv() (*wire.Reply, error) {
	if len(s.replies) == 0 {
		return nil, io.EOF
	}
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply, nil
}

// Cancel implements peer.Stream.
func (s *scriptedStream) Cancel() { s.canceled = true }

// replyCaller is a Caller whose sidecar sends the given replies to each call.
type replyCaller struct{ replies []*wire.Reply }

// Open implements peer.Caller.
func (c replyCaller) Open(context.Context, string, *wire.Call) (peer.Stream, error) {
	return &scriptedStream{replies: c.replies}, nil
}

// scriptedServer is the Finder and Sender of one server, whose sidecar sends the given replies
// to one request, and the Output of that request.
type scriptedServer struct {
	replies []*wire.Reply
	tried   bool
	// passed holds the indexes of the events that were passed on.
	passed []uint64
}

// Find implements Finder.
func (s *scriptedServer) Find(context.Context, *Request, *History) (*Reservation, error) {
	if s.tried {
		return nil, refuser.New(refuser.Busy, "there is no other server")
	}
	s.tried = true
	return &Reservation{Name: "a", Release: func(AttemptResult) {}}, nil
}

// Send implements Sender.
func (s *scriptedServer) Send(_ context.Context, _ *Reservation, r *Request, from uint64) (Answer, error) {
	return &completionStream{stream: &scriptedStream{replies: s.replies}, requestID: r.ID, received: from}, nil
}

// Begin implements Output.
func (s *scriptedServer) Begin(any) error { return nil }

// Pass implements Output.
func (s *scriptedServer) Pass(e Event) error {
	s.passed = append(s.passed, e.Index)
	return nil
}

// TestEndOfCompletion guards against a stream that ends as complete before its last token, or
// has tokens of another answer: only an end of this answer with the number of tokens that were
// passed on ends it. Two tokens were passed on by an earlier attempt.
func TestEndOfCompletion(t *testing.T) {
	refusal := refuser.New(refuser.NotResident, "the engine does not have the model").Reply()
	done := &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}
	for _, tt := range []struct {
		name     string
		replies  []*wire.Reply
		complete bool
		// neverRan is what the error says.
		neverRan bool
	}{
		{name: "whole", replies: []*wire.Reply{pieceReply("r", 2), pieceReply("r", 3), finishReply("r", 4)}, complete: true},
		{name: "nothing left", replies: []*wire.Reply{finishReply("r", 2)}, complete: true},
		{name: "fewer tokens", replies: []*wire.Reply{pieceReply("r", 2), pieceReply("r", 3), finishReply("r", 3)}},
		{name: "more tokens", replies: []*wire.Reply{pieceReply("r", 2), finishReply("r", 4)}},
		{name: "tokens of this attempt only", replies: []*wire.Reply{pieceReply("r", 2), finishReply("r", 1)}},
		{name: "no end", replies: []*wire.Reply{pieceReply("r", 2)}},
		{name: "nothing", replies: nil},
		{name: "end of another", replies: []*wire.Reply{finishReply("other", 2)}},
		{name: "token of another", replies: []*wire.Reply{pieceReply("other", 2), finishReply("r", 3)}},
		{name: "token missing", replies: []*wire.Reply{pieceReply("r", 3), finishReply("r", 4)}},
		{name: "token twice", replies: []*wire.Reply{pieceReply("r", 2), pieceReply("r", 2), finishReply("r", 3)}},
		{name: "unknown reply", replies: []*wire.Reply{{}, finishReply("r", 2)}},
		{name: "reply of another kind", replies: []*wire.Reply{done, finishReply("r", 2)}},
		{name: "refusal", replies: []*wire.Reply{refusal}, neverRan: true},
		{name: "refusal after a token", replies: []*wire.Reply{pieceReply("r", 2), refusal}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := &scriptedServer{replies: tt.replies}
			clock := func() time.Duration { return time.Hour }
			core := NewCore(clock, freeCharger{}, server, server, freeCharger{}, router.NewRetryBudget(router.RetryLimits{Burst: 5}), recorder.New("a", 4), meter.New(), faker.DiscardLogger())
			_, err := core.Serve(t.Context(), &Request{ID: "r", Kind: Resumable, MaxAttempts: 1, FirstIndex: 2, Deadline: 2 * time.Hour}, server)
			assert.Equal(t, err == nil, tt.complete, "%v", err)
			if !tt.complete {
				assert.Equal(t, refuser.FromError(err).NeverRan(), tt.neverRan, "%v", err)
			}
			for i, index := range server.passed {
				assert.Equal(t, index, uint64(2+i))
			}
		})
	}
}

// TestNothingAfterEnd checks that a second end, or a token after the end, is never read as a
// part of the answer.
func TestNothingAfterEnd(t *testing.T) {
	for _, later := range []*wire.Reply{finishReply("r", 1), pieceReply("r", 1)} {
		stream := &completionStream{stream: &scriptedStream{replies: []*wire.Reply{pieceReply("r", 0), finishReply("r", 1), later}}, requestID: "r"}
		_, err := stream.Next()
		assert.NilError(t, err)
		for range 2 {
			_, err = stream.Next()
			assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		}
		assert.Equal(t, stream.End().(completionEnd).GetOutput(), uint32(1))
	}
}

// TestAnswerOfOtherCall guards against an answer to another call, or a reply of another kind,
// that is passed on as the answer of a service.
func TestAnswerOfOtherCall(t *testing.T) {
	for _, reply := range []*wire.Reply{
		{},
		finishReply("i", 0),
		{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "other", Status: 201}}},
		{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: "i"}}},
	} {
		d := &Dispatcher{clock: faker.NewClock().Now, caller: replyCaller{replies: []*wire.Reply{reply}}}
		call := &ServiceCall{ID: "i"}
		_, err := d.sendService(t.Context(), &Reservation{}, &Request{}, call)
		assert.Assert(t, refuser.Is(err, refuser.ConnectionLost), "%v", err)
		assert.Assert(t, !refuser.FromError(err).NeverRan())
	}
}
