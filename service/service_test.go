package service

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/assembler"
	"oleanderstall/faker"
)

var orderRequest = Request{ID: "i", Method: http.MethodPost, Path: "/orders", IdempotencyKey: "key", Body: []byte("500 maps")}

// TestNoReplayOnClosedConnection answers one call and closes the connection of the
// next one after it was received. On a kept-alive connection, net/http would repeat
// that call because of its Idempotency-Key.
func TestNoReplayOnClosedConnection(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	c := New(s.URL)
	_, err := c.Call(context.Background(), orderRequest)
	assert.NilError(t, err)
	_, err = c.Call(context.Background(), orderRequest)
	var callErr *CallError
	assert.Assert(t, eris.As(err, &callErr))
	assert.Assert(t, callErr.Sent)
	assert.Equal(t, runs.Load(), int64(2))
}

// TestNoReplayOnRedirect answers with status 307, on which net/http's Client would
// repeat the POST. The redirect must be returned as the answer.
func TestNoReplayOnRedirect(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/orders", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	answer, err := New(s.URL).Call(context.Background(), orderRequest)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, runs.Load(), int64(1))
}

// TestConnectionRefused calls a port without a listener. The error must say that
// nothing was sent.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, err = New("http://"+l.Addr().String()).Call(context.Background(), orderRequest)
	var callErr *CallError
	assert.Assert(t, eris.As(err, &callErr))
	assert.Assert(t, !callErr.Sent)
}

// TestTruncatedAnswer ends an answer before its Content-Length. The call must fail
// as one that was sent.
func TestTruncatedAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}))
	defer s.Close()
	_, err := New(s.URL).Call(context.Background(), orderRequest)
	var callErr *CallError
	assert.Assert(t, eris.As(err, &callErr))
	assert.Assert(t, callErr.Sent)
}

// httpAnswer returns an HTTP answer with a status line, headers and a body.
func httpAnswer(status, body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, strings.Join(header, ""), len(body), body)
}

// repeatingService starts a service that writes an earlier answer once more on a kept
// connection, and returns a client of it.
func repeatingService(t *testing.T, answer func(r *http.Request) string) *Client {
	t.Helper()
	p, err := faker.NewRepeater(answer)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return New("http://" + p.Address())
}

// TestRepeatedAnswer guards against callers who get the answer to another call: an earlier
// answer that is written once more on a kept connection was taken for the next one.
func TestRepeatedAnswer(t *testing.T) {
	c := repeatingService(t, func(r *http.Request) string { return httpAnswer("200 OK", r.URL.RawQuery) })
	for _, query := range []string{"order=1", "order=2", "order=3"} {
		answer, err := c.Call(t.Context(), Request{ID: query, Method: http.MethodGet, Path: "/status", Query: query})
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), query)
	}
}

// TestAnswerOfOtherRequest guards against an answer that bears the ID of another request and
// was passed on. The call must fail as one that was sent.
func TestAnswerOfOtherRequest(t *testing.T) {
	c := repeatingService(t, func(*http.Request) string {
		return httpAnswer("201 Created", "300 maps", "X-Request-Id: other\r\n")
	})
	_, err := c.Call(t.Context(), orderRequest)
	var callErr *CallError
	assert.Assert(t, eris.As(err, &callErr), "%v", err)
	assert.Assert(t, callErr.Sent)
}

// TestHeadCutShort guards against an answer that is passed on as whole although the service stopped in
// the middle of its head, which is cut after each of its bytes. The call must fail as one that was
// sent.
func TestHeadCutShort(t *testing.T) {
	for _, text := range []string{
		httpAnswer("201 Created", "", "X-Request-Id: i\r\n"),
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: i\r\nX-Last: 1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for cut := range len(text) {
			for _, reset := range []bool{false, true} {
				s := httptest.NewServer(faker.CutAnswer(text[:cut], reset))
				_, err := New(s.URL).Call(t.Context(), orderRequest)
				s.Close()
				var callErr *CallError
				assert.Assert(t, eris.As(err, &callErr), "%q: %v", text[:cut], err)
				assert.Assert(t, callErr.Sent)
			}
		}
	}
}

// TestNoFinalStatus guards against an answer that an entry cannot pass on, since its status is
// none of an answer: the entry's handler panicked, or changed the protocol.
func TestNoFinalStatus(t *testing.T) {
	for _, status := range []string{"000 None", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"} {
		c := repeatingService(t, func(*http.Request) string { return httpAnswer(status, "") })
		_, err := c.Call(t.Context(), orderRequest)
		var callErr *CallError
		assert.Assert(t, eris.As(err, &callErr), "%s: %v", status, err)
		assert.Assert(t, callErr.Sent)
	}
}

// TestUnframed checks which answers are known to be whole by their head, so that the end of
// their connection is not taken for the end of a body.
func TestUnframed(t *testing.T) {
	for _, tt := range []struct {
		name, method, answer string
		unframed             bool
	}{
		{name: "length", answer: httpAnswer("200 OK", "maps")},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmaps\r\n0\r\n\r\n"},
		{name: "no body", answer: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "head", method: http.MethodHead, answer: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "neither", answer: "HTTP/1.1 200 OK\r\n\r\nmaps", unframed: true},
		{name: "old protocol", answer: "HTTP/1.0 200 OK\r\n\r\nmaps", unframed: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := repeatingService(t, func(*http.Request) string { return tt.answer })
			answer, err := c.Call(t.Context(), Request{ID: "i", Method: tt.method, Path: "/"})
			assert.NilError(t, err)
			assert.Equal(t, answer.Framing == assembler.Connection, tt.unframed)
		})
	}
}

// TestEncodedAnswer guards against a body that callers cannot read: the encoding that a service
// chose unasked is not passed on with it.
func TestEncodedAnswer(t *testing.T) {
	for encoding, broken := range map[string]bool{"gzip": true, "br": true, "identity": false} {
		c := repeatingService(t, func(*http.Request) string {
			return httpAnswer("200 OK", "encoded", "Content-Encoding: "+encoding+"\r\n")
		})
		_, err := c.Call(t.Context(), orderRequest)
		var callErr *CallError
		assert.Equal(t, eris.As(err, &callErr), broken, encoding)
		assert.Assert(t, !broken || callErr.Sent)
	}
}

// TestLimitInAnswer checks that the limit that a service names in its answer is passed on, and that
// an answer to another call says nothing about it.
func TestLimitInAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		want   []float64
	}{
		{"a limit", httpAnswer("200 OK", "x", "X-Rate-Limit: 1.5\r\n"), []float64{1.5}},
		{"a limit with a failure", httpAnswer("500 Oops", "x", "X-Rate-Limit: 3\r\n"), []float64{3}},
		{"none", httpAnswer("200 OK", "x"), []float64{0}},
		{"one that cannot be read", httpAnswer("200 OK", "x", "X-Rate-Limit: few\r\n"), nil},
		{"that of another call", httpAnswer("200 OK", "x", "X-Request-Id: other\r\n", "X-Rate-Limit: 3\r\n"), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := repeatingService(t, func(*http.Request) string { return c.answer })
			var got []float64
			request := orderRequest
			request.OnLimit = func(rate float64) { got = append(got, rate) }
			_, _ = service.Call(context.Background(), request)
			assert.DeepEqual(t, got, c.want)
		})
	}
}
