package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/assembler"
	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
)

// scriptedServers is a Finder and Sender of which each attempt gets the next answer.
type scriptedServers struct{ answers []*scriptedAnswer }

// Find implements Finder.
func (s *scriptedServers) Find(_ context.Context, _ *Request, h *History) (*Reservation, error) {
	if len(s.answers) == 0 {
		return nil, refuser.New(refuser.Busy, "no server left")
	}
	return &Reservation{Name: fmt.Sprint("server-", len(h.Tried)), Release: func(AttemptResult) {}}, nil
}

// Send implements Sender.
func (s *scriptedServers) Send(context.Context, *Reservation, *Request, uint64) (Answer, error) {
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer, nil
}

// scriptedAnswer is an answer with the given events. It ends with err, or is complete if that
// is nil.
type scriptedAnswer struct {
	head   assembler.Head
	events []uint64
	err    error
	// serverEnded is set if the server's process ends with the answer.
	serverEnded bool
}

func (a *scriptedAnswer) Head() any            { return a.head }
func (a *scriptedAnswer) Info() assembler.Head { return a.head }
func (a *scriptedAnswer) End() any             { return nil }
func (a *scriptedAnswer) Close()               {}

// ServerRuns implements Answer.
func (a *scriptedAnswer) ServerRuns(context.Context) bool { return !a.serverEnded }

// Next implements Answer.
func (a *scriptedAnswer) Next() (Event, error) {
	if len(a.events) == 0 && a.err != nil {
		return Event{}, a.err
	}
	if len(a.events) == 0 {
		return Event{}, io.EOF
	}
	e := Event{Index: a.events[0], Data: []byte{byte(a.events[0])}}
	a.events = a.events[1:]
	return e, nil
}

// receivedAnswer is an output that records the heads and the events.
type receivedAnswer struct {
	heads  []any
	events []uint64
}

// Begin implements Output.
func (r *receivedAnswer) Begin(head any) error {
	r.heads = append(r.heads, head)
	return nil
}

// Pass implements Output.
func (r *receivedAnswer) Pass(e Event) error {
	r.events = append(r.events, e.Index)
	return nil
}

// newTestCore returns a core that sends requests to the servers, with a budget of five retries.
func newTestCore(servers *scriptedServers) *Core {
	clock := func() time.Duration { return time.Hour }
	budget := router.NewRetryBudget(router.RetryLimits{Burst: 5})
	return NewCore(clock, freeCharger{}, servers, servers, freeCharger{}, budget, recorder.New("a", 4), meter.New(), faker.DiscardLogger())
}

// TestResumedStreamEnds guards against a stream that broke off and ends as complete for the
// caller although the next server answered with something else than the rest of the stream.
func TestResumedStreamEnds(t *testing.T) {
	stream := assembler.Head{Status: http.StatusOK, Stream: true, Framing: assembler.Chunks}
	failure := assembler.Head{Status: http.StatusInternalServerError, Failed: true, Framing: assembler.Length}
	lost := refuser.MayHaveRun(refuser.ConnectionLost, "the stream broke off")
	for _, c := range []struct {
		name   string
		second *scriptedAnswer
		events []uint64
		whole  bool
	}{
		{"the rest", &scriptedAnswer{head: stream, events: []uint64{2, 3}}, []uint64{0, 1, 2, 3}, true},
		{"nothing is left", &scriptedAnswer{head: stream}, []uint64{0, 1}, true},
		{"a failure", &scriptedAnswer{head: failure}, []uint64{0, 1}, false},
		{"a refusal with a seal", &scriptedAnswer{head: assembler.Head{Status: http.StatusNotFound}}, []uint64{0, 1}, false},
		{"a whole answer", &scriptedAnswer{head: assembler.Head{Status: http.StatusOK, Framing: assembler.Length}}, []uint64{0, 1}, false},
		{"a stream with another status", &scriptedAnswer{head: assembler.Head{Status: http.StatusPartialContent, Stream: true}, events: []uint64{2}}, []uint64{0, 1}, false},
		{"the whole stream again", &scriptedAnswer{head: stream, events: []uint64{0, 1, 2, 3}}, []uint64{0, 1}, false},
		{"an event is missing", &scriptedAnswer{head: stream, events: []uint64{3}}, []uint64{0, 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := &scriptedServers{answers: []*scriptedAnswer{{head: stream, events: []uint64{0, 1}, err: lost}, c.second}}
			out := &receivedAnswer{}
			core := newTestCore(servers)
			_, err := core.Serve(t.Context(), &Request{Kind: Resumable, Deadline: 2 * time.Hour}, out)
			assert.Equal(t, err == nil, c.whole, "%v", err)
			assert.DeepEqual(t, out.events, c.events)
			assert.Equal(t, len(out.heads), 1)
			if err != nil {
				assert.Assert(t, !refuser.FromError(err).NeverRan(), "%v", err)
			}
		})
	}
}

// TestAnswerEndsWithServer guards against an answer without framing that counts as complete
// although it ended because its server's process did.
func TestAnswerEndsWithServer(t *testing.T) {
	stream := assembler.Head{Status: http.StatusOK, Stream: true, Framing: assembler.Connection}
	whole := assembler.Head{Status: http.StatusOK, Framing: assembler.Connection}
	for _, c := range []struct {
		name   string
		kind   Kind
		first  *scriptedAnswer
		served bool
		events []uint64
	}{
		{"stream, server runs", AtMostOnce, &scriptedAnswer{head: stream, events: []uint64{0, 1}}, true, []uint64{0, 1}},
		{"stream, server ended", AtMostOnce, &scriptedAnswer{head: stream, events: []uint64{0, 1}, serverEnded: true}, false, []uint64{0, 1}},
		{"resumable stream, server ended", Resumable, &scriptedAnswer{head: stream, events: []uint64{0, 1}, serverEnded: true}, true, []uint64{0, 1, 2}},
		{"empty stream, server ended", AtMostOnce, &scriptedAnswer{head: stream, serverEnded: true}, false, nil},
		{"whole, server runs", AtMostOnce, &scriptedAnswer{head: whole}, true, nil},
		{"whole, server ended", AtMostOnce, &scriptedAnswer{head: whole, serverEnded: true}, false, nil},
		{"whole with a length, server ended", AtMostOnce, &scriptedAnswer{head: assembler.Head{Status: http.StatusOK, Framing: assembler.Length}, serverEnded: true}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			rest := &scriptedAnswer{head: assembler.Head{Status: http.StatusOK, Stream: true, Framing: assembler.Chunks}, events: []uint64{2}}
			out := &receivedAnswer{}
			core := newTestCore(&scriptedServers{answers: []*scriptedAnswer{c.first, rest}})
			_, err := core.Serve(t.Context(), &Request{Kind: c.kind, Deadline: 2 * time.Hour}, out)
			assert.Equal(t, err == nil, c.served, "%v", err)
			assert.DeepEqual(t, out.events, c.events)
			if err != nil {
				assert.Assert(t, !refuser.FromError(err).NeverRan(), "%v", err)
			}
		})
	}
}

// TestCallerResumes guards against a caller that resumes a stream itself and gets events that it
// has already, or a stream with a gap.
func TestCallerResumes(t *testing.T) {
	stream := assembler.Head{Status: http.StatusOK, Stream: true, Framing: assembler.Chunks}
	failure := assembler.Head{Status: http.StatusInternalServerError, Failed: true, Framing: assembler.Length}
	for _, c := range []struct {
		name    string
		answers []*scriptedAnswer
		heads   []any
		events  []uint64
		whole   bool
	}{
		{"the rest", []*scriptedAnswer{{head: stream, events: []uint64{5, 6}}}, []any{stream}, []uint64{5, 6}, true},
		{"the whole stream", []*scriptedAnswer{{head: stream, events: []uint64{0, 1}}}, nil, nil, false},
		{"a gap", []*scriptedAnswer{{head: stream, events: []uint64{6}}}, nil, nil, false},
		{"the whole stream, then the rest", []*scriptedAnswer{{head: stream, events: []uint64{0}}, {head: stream, events: []uint64{5}}}, []any{stream}, []uint64{5}, true},
		{"the rest in two parts", []*scriptedAnswer{{head: stream, events: []uint64{5}, err: refuser.MayHaveRun(refuser.ConnectionLost, "x")}, {head: stream, events: []uint64{6}}}, []any{stream}, []uint64{5, 6}, true},
		{"a part, then a failure", []*scriptedAnswer{{head: stream, events: []uint64{5}, err: refuser.MayHaveRun(refuser.ConnectionLost, "x")}, {head: failure}}, []any{stream}, []uint64{5}, false},
	} {
		out := &receivedAnswer{}
		core := newTestCore(&scriptedServers{answers: c.answers})
		_, err := core.Serve(t.Context(), &Request{Kind: Resumable, FirstIndex: 5, Deadline: 2 * time.Hour}, out)
		assert.Equal(t, err == nil, c.whole, "%s: %v", c.name, err)
		assert.DeepEqual(t, out.heads, c.heads)
		assert.DeepEqual(t, out.events, c.events)
	}
}

// TestStreamIsNotJoined guards against a stream that is put together from the events of two runs
// although its route does not allow it to be resumed.
func TestStreamIsNotJoined(t *testing.T) {
	stream := assembler.Head{Status: http.StatusOK, Stream: true, Framing: assembler.Chunks}
	lost := refuser.MayHaveRun(refuser.ConnectionLost, "the stream broke off")
	for kind, events := range map[Kind][]uint64{AtMostOnce: {0, 1}, Idempotent: {0, 1}, Resumable: {0, 1, 2}} {
		servers := &scriptedServers{answers: []*scriptedAnswer{{head: stream, events: []uint64{0, 1}, err: lost}, {head: stream, events: []uint64{2}}}}
		out := &receivedAnswer{}
		_, err := newTestCore(servers).Serve(t.Context(), &Request{Kind: kind, Deadline: 2 * time.Hour}, out)
		assert.Equal(t, err == nil, kind == Resumable, "%v: %v", kind, err)
		assert.DeepEqual(t, out.events, events)
	}
}
