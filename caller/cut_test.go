package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/refuser"
	"oleanderstall/resetter"
	"oleanderstall/wire"
)

// post sends a request with the key of workspace w and returns the head of the answer, what
// could be read of its body, and the error of reading it.
func post(t *testing.T, s *httptest.Server, path, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer k.secret")
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}

// TestFailedStreamIsCut guards against a stream that has failed and looks complete to a client
// that looks at HTTP only. The refusal is the last event, and then the answer breaks off.
func TestFailedStreamIsCut(t *testing.T) {
	for _, kind := range []refuser.Kind{refuser.ConnectionLost, refuser.Unauthorized, refuser.DeadlineExceeded} {
		for path, body := range map[string]string{
			"/v1/completions":      `{"model":"m","stream":true,"prompt":"how?"}`,
			"/v1/chat/completions": `{"model":"m","stream":true,"messages":[{"role":"user","content":"how?"}]}`,
		} {
			f, s := newFleet(t)
			f.err = refuser.MayHaveRun(kind, "cut")
			res, data, err := post(t, s, path, body)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			events := strings.Split(strings.TrimSuffix(data, "\n\n"), "\n\n")
			assert.Equal(t, len(events), 3, data)
			assert.Assert(t, strings.Contains(events[2], `"code":"`+kind.String()+`"`), data)
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%s %s: %v", kind, path, err)
		}
	}
}

// TestFailedBeforeStream checks that a request that fails before its first token gets a whole
// refusal, with or without a stream.
func TestFailedBeforeStream(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		f, s := newFleet(t)
		f.err = refuser.MayHaveRun(refuser.ConnectionLost, "cut")
		if stream == "true" {
			f.tokens = nil
		}
		res, data, err := post(t, s, "/v1/completions", `{"model":"m","stream":`+stream+`,"prompt":"how?"}`)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusBadGateway)
		assert.Assert(t, strings.Contains(data, `"run":"unknown"`), data)
	}
}

// TestWholeAnswerHasLength guards against a part of a long answer that looks complete because
// its end is that of the connection, or a chunk that was not the last one.
func TestWholeAnswerHasLength(t *testing.T) {
	f, s := newFleet(t)
	f.tokens = []string{strings.Repeat("fold ", 1<<12)}
	res, data, err := post(t, s, "/v1/completions", `{"model":"m","prompt":"how?"}`)
	assert.NilError(t, err)
	assert.Equal(t, res.ContentLength, int64(len(data)))
	f.answer = &wire.Answer{Status: 201, Body: []byte(strings.Repeat("map ", 1<<12))}
	res, data, err = post(t, s, "/orders", "500 maps")
	assert.NilError(t, err)
	assert.Equal(t, res.ContentLength, int64(len(data)))
	f.answer = &wire.Answer{Status: 204}
	res, _, err = post(t, s, "/orders", "500 maps")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get("Content-Length"), "")
}

// brokenWriter is a response writer whose connection breaks after some writes.
type brokenWriter struct {
	*httptest.ResponseRecorder
	writes int
}

var errBroken = errors.New("broken")

func (b *brokenWriter) Write(p []byte) (int, error) {
	if b.writes == 0 {
		return 0, errBroken
	}
	b.writes--
	return b.ResponseRecorder.Write(p)
}

// TestWriteErrorCutsAnswer guards against an answer that is ended properly although a part of
// it could not be written.
func TestWriteErrorCutsAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		writes int
		write  func(o *completionWriter)
	}{
		{name: "whole answer", write: func(o *completionWriter) { o.finish(&wire.Finish{Reason: "stop"}, false) }},
		{name: "refusal", write: func(o *completionWriter) { o.fail(refuser.New(refuser.Busy, "full")) }},
		{name: "finish reason", write: func(o *completionWriter) { o.stream = true; o.finish(&wire.Finish{Reason: "stop"}, true) }},
		{name: "usage", writes: 1, write: func(o *completionWriter) { o.stream = true; o.finish(&wire.Finish{Reason: "stop"}, true) }},
		{name: "end event", writes: 2, write: func(o *completionWriter) { o.stream = true; o.finish(&wire.Finish{Reason: "stop"}, true) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			writer := &brokenWriter{ResponseRecorder: httptest.NewRecorder(), writes: tt.writes}
			tt.write(&completionWriter{w: writer, request: httptest.NewRequest(http.MethodPost, "/", nil)})
			t.Fatal("the answer was ended properly")
		})
	}
}

// TestFailedStreamOfOldCaller guards against a stream that has failed and ends as a complete one
// for a caller of HTTP/1.0, to whom it has neither length nor chunks.
func TestFailedStreamOfOldCaller(t *testing.T) {
	for _, failure := range []error{nil, refuser.MayHaveRun(refuser.ConnectionLost, "cut")} {
		f, s := newFleet(t)
		s.Close()
		s = httptest.NewUnstartedServer(s.Config.Handler)
		s.Config.ConnContext = resetter.WithConn
		s.Start()
		f.err = failure
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(t, err)
		body := `{"model":"m","stream":true,"prompt":"how?"}`
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer k.secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		assert.NilError(t, err)
		_, err = io.ReadAll(conn)
		assert.Equal(t, err == nil, failure == nil, "%v", err)
		_ = conn.Close()
		s.Close()
	}
}
