package engine

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/faker"
)

// wholeStream is the stream of a whole answer with one token.
const wholeStream = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

// httpAnswer returns an HTTP answer with a status line, headers and a body.
func httpAnswer(status, body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, strings.Join(header, ""), len(body), body)
}

// repeatingEngine starts an engine that writes an earlier answer once more on a kept
// connection, and returns a client of it.
func repeatingEngine(t *testing.T, answer func(r *http.Request) string) *Client {
	t.Helper()
	p, err := faker.NewRepeater(answer)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return New("http://" + p.Address())
}

// TestRepeatedRefusal guards against requests that are called not run although the engine runs
// them: an earlier "model is not loaded" that is written once more on a kept connection was
// taken for the answer to the next request.
func TestRepeatedRefusal(t *testing.T) {
	c := repeatingEngine(t, func(r *http.Request) string {
		if r.Header.Get("X-Request-Id") == "first" {
			return httpAnswer("404 Not Found", "model is not loaded")
		}
		return httpAnswer("200 OK", wholeStream)
	})
	ignore := func(string) error { return nil }
	_, err := c.Generate(t.Context(), Request{ID: "first", Body: []byte("{}")}, ignore)
	var statusErr *StatusError
	assert.Assert(t, eris.As(err, &statusErr), "%v", err)
	_, err = c.Generate(t.Context(), Request{ID: "second", Body: []byte("{}")}, ignore)
	assert.NilError(t, err)
}

// TestRepeatedAnswer guards against answers of other requests: the stream of an earlier one
// without an X-Request-Id, or a confirmation of an earlier load, was taken for the answer to
// the next call.
func TestRepeatedAnswer(t *testing.T) {
	c := repeatingEngine(t, func(r *http.Request) string {
		switch r.URL.Path {
		case "/v1/completions":
			return httpAnswer("200 OK", strings.ReplaceAll(wholeStream, `"a"`, `"`+r.Header.Get("X-Request-Id")+`"`))
		case "/v1/load_model":
			return httpAnswer("409 Conflict", "out of memory")
		}
		return httpAnswer("200 OK", "{}")
	})
	for _, id := range []string{"first", "second"} {
		text := ""
		_, err := c.Generate(t.Context(), Request{ID: id, Body: []byte("{}")}, func(s string) error { text += s; return nil })
		assert.NilError(t, err)
		assert.Equal(t, text, id)
	}
	_, err := c.Status(t.Context())
	assert.NilError(t, err)
	var statusErr *StatusError
	err = c.Load(t.Context(), Order{Model: "m"})
	assert.Assert(t, eris.As(err, &statusErr), "%v", err)
	assert.NilError(t, c.Unload(t.Context(), Order{Model: "m"}))
}

// TestRefusalOfOtherRequest guards against a refusal that bears the ID of another request and
// was taken as proof that this one did not run.
func TestRefusalOfOtherRequest(t *testing.T) {
	c := repeatingEngine(t, func(*http.Request) string {
		return httpAnswer("404 Not Found", "model is not loaded", "X-Request-Id: other\r\n")
	})
	_, err := c.Generate(t.Context(), Request{ID: "mine", Body: []byte("{}")}, nil)
	var streamErr *StreamError
	assert.Assert(t, eris.As(err, &streamErr), "%v", err)
}

// TestOrderIsNotRedirected guards against an order that is carried out twice: the HTTP client
// repeated it on a redirect.
func TestOrderIsNotRedirected(t *testing.T) {
	loads := 0
	c := repeatingEngine(t, func(*http.Request) string {
		loads++
		return httpAnswer("307 Temporary Redirect", "", "Location: /v1/load_model\r\n")
	})
	err := c.Load(t.Context(), Order{Model: "m"})
	var statusErr *StatusError
	assert.Assert(t, eris.As(err, &statusErr), "%v", err)
	assert.Equal(t, loads, 1)
}

// TestCutAnswer guards against an answer that is cut at the limit and then looks complete: a
// confirmation, or a status whose cut rest is blank.
func TestCutAnswer(t *testing.T) {
	c := repeatingEngine(t, func(*http.Request) string {
		return httpAnswer("200 OK", "{}"+strings.Repeat(" ", maxAnswer)+"no JSON")
	})
	_, err := c.Status(t.Context())
	var sizeErr *SizeError
	assert.Assert(t, eris.As(err, &sizeErr), "%v", err)
	err = c.Load(t.Context(), Order{Model: "m"})
	assert.Assert(t, eris.As(err, &sizeErr), "%v", err)
}

// TestTruncatedRefusal checks that a refusal that ends before its length proves nothing.
func TestTruncatedRefusal(t *testing.T) {
	c := repeatingEngine(t, func(r *http.Request) string {
		r.Close = true
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 100\r\n\r\nmodel is not loaded"
	})
	_, err := c.Generate(t.Context(), Request{ID: "mine", Body: []byte("{}")}, nil)
	var statusErr *StatusError
	assert.Assert(t, err != nil && !eris.As(err, &statusErr), "%v", err)
}
