package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/faker"
)

// Events of a stream: one with a token, and one with the finish reason.
const (
	tokenEvent = `{"choices":[{"text":"a"}]}`
	stopEvent  = `{"choices":[{"finish_reason":"stop"}]}`
)

// events returns a stream of server-sent events with the data.
func events(data ...string) string {
	return "data: " + strings.Join(data, "\n\ndata: ") + "\n\n"
}

// TestEvents reads whole and broken streams. Only a stream with a finish reason and
// a [DONE] event may count as complete.
func TestEvents(t *testing.T) {
	tests := []struct {
		name   string
		stream string
		text   string
		broken bool
	}{
		{
			name:   "whole",
			stream: "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
			text:   "a",
		},
		{
			name:   "chat",
			stream: "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: {\"choices\":[{\"finish_reason\":\"length\"}]}\n\ndata:[DONE]\n",
			text:   "b",
		},
		{
			name:   "comments and other fields",
			stream: ": hello\nevent: x\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\r\n\r\ndata: [DONE]\r\n\r\n",
			text:   "a",
		},
		{name: "empty", stream: "", broken: true},
		{name: "no end event", stream: "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n", text: "a", broken: true},
		{name: "no reason", stream: "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n", text: "a", broken: true},
		{name: "half an event", stream: "data: {\"choices\":[{\"te", broken: true},
		{
			name:   "usage after the reason, no error",
			stream: events(`{"id":"x","error":null,"choices":[{"text":"a"}]}`, stopEvent, `{"id":"x","choices":[],"usage":{}}`, "[DONE]"),
			text:   "a",
		},
		{name: "more after the end event", stream: events(tokenEvent, stopEvent, "[DONE]", tokenEvent, "[DONE]"), text: "a"},
		{name: "end event first", stream: events("[DONE]", tokenEvent, stopEvent, "[DONE]"), broken: true},
		{name: "error", stream: events(tokenEvent, `{"error":{"message":"lost"}}`, tokenEvent, stopEvent, "[DONE]"), text: "a", broken: true},
		{name: "error after the reason", stream: events(tokenEvent, stopEvent, `{"error":"lost"}`, "[DONE]"), text: "a", broken: true},
		{name: "error object", stream: events(tokenEvent, `{"object":"error","message":"lost"}`, stopEvent, "[DONE]"), text: "a", broken: true},
		{name: "error by name", stream: events(tokenEvent) + "event: error\n" + events("{}", stopEvent, "[DONE]"), text: "a", broken: true},
		{name: "text after the reason", stream: events(tokenEvent, stopEvent, tokenEvent, "[DONE]"), text: "a", broken: true},
		{name: "two reasons", stream: events(tokenEvent, stopEvent, stopEvent, "[DONE]"), text: "a", broken: true},
		{
			name:   "event of another request",
			stream: events(`{"id":"x","choices":[{"text":"a"}]}`, `{"id":"y","choices":[{"text":"b"}]}`, stopEvent, "[DONE]"),
			text:   "a", broken: true,
		},
		{name: "another choice", stream: events(tokenEvent, `{"choices":[{"index":1,"text":"b"}]}`, stopEvent, "[DONE]"), text: "a", broken: true},
		{name: "not JSON", stream: "data: hello\n\ndata: [DONE]\n\n", broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var text strings.Builder
			_, err := ReadEvents(strings.NewReader(tt.stream), func(s string) error {
				text.WriteString(s)
				return nil
			})
			var streamErr *StreamError
			assert.Equal(t, eris.As(err, &streamErr), tt.broken)
			assert.Equal(t, text.String(), tt.text)
		})
	}
}

// FuzzEvents checks that no stream without an end event or a finish reason counts as
// complete.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	f.Add("data: {}\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		r, err := ReadEvents(strings.NewReader(in), func(string) error { return nil })
		if err == nil && (!strings.Contains(in, "[DONE]") || r.FinishReason == "") {
			t.Fatal("an incomplete stream counts as complete")
		}
	})
}

// TestAnswerOfOtherRequest answers a request with the stream of another one. No
// token of that stream may be passed on.
func TestAnswerOfOtherRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "other")
		_, _ = w.Write([]byte("data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	}))
	defer s.Close()
	_, err := New(s.URL).Generate(context.Background(), Request{ID: "mine", Body: []byte("{}")}, func(string) error {
		t.Fatal("a token of another request was passed on")
		return nil
	})
	var streamErr *StreamError
	assert.Assert(t, eris.As(err, &streamErr))
}

// TestHeadCutShort guards against an answer that counts as whole although the engine stopped in the
// middle of its head, which is cut after each of its bytes.
func TestHeadCutShort(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: mine\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(head) + 1 {
		for _, reset := range []bool{false, true} {
			s := httptest.NewServer(faker.CutAnswer(head[:cut], reset))
			_, err := New(s.URL).Generate(t.Context(), Request{ID: "mine", Body: []byte("{}")}, func(string) error {
				t.Fatalf("%q: a token", head[:cut])
				return nil
			})
			s.Close()
			var connectErr *ConnectError
			assert.Assert(t, err != nil, "%q", head[:cut])
			assert.Assert(t, !eris.As(err, &connectErr), "%q: %v", head[:cut], err)
		}
	}
}

// TestConnectError checks that a request to an engine that does not run is known not to have
// been sent.
func TestConnectError(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(server.URL).Generate(t.Context(), Request{ID: "r", Body: []byte("{}")}, nil)
	var connectErr *ConnectError
	assert.Assert(t, eris.As(err, &connectErr), "%v", err)
}

// TestErrorTextIsShort guards against refusals that cannot be sent, since they quote bytes that
// are no text, or megabytes of an engine's answer.
func TestErrorTextIsShort(t *testing.T) {
	body := strings.Repeat("é", 1<<20) + "\xff"
	err := &StatusError{Status: http.StatusInternalServerError, Body: body[1:]}
	assert.Assert(t, len(err.Error()) < 2*maxQuote)
	assert.Assert(t, utf8.ValidString(err.Error()))
}

// TestLimitInAnswer checks that the limit that an engine names in its answer to a request or in its
// status is passed on, also with a failure.
func TestLimitInAnswer(t *testing.T) {
	status := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rate-Limit", "1.5")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(status)
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	for _, status = range []int{http.StatusOK, http.StatusInternalServerError} {
		got := -1.0
		request := Request{ID: "mine", Body: []byte("{}"), OnLimit: func(rate float64) { got = rate }}
		_, _ = New(s.URL).Generate(context.Background(), request, func(string) error { return nil })
		assert.Equal(t, got, 1.5)
	}
	status = http.StatusOK
	state, err := New(s.URL).Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, state.Limit, 1.5)
}
