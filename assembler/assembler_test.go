package assembler

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFindOwner guards against refusals of earlier requests that are taken for the answer to
// the next request on a kept connection.
func TestFindOwner(t *testing.T) {
	for _, c := range []struct {
		request, answer string
		optional, kept  bool
		owner           Owner
	}{
		{"1", "1", false, false, Own},
		{"1", "1", true, true, Own},
		{"1", "2", false, false, Other},
		{"1", "2", true, true, Other},
		{"1", "", false, false, Other},
		{"1", "", true, false, Own},
		{"1", "", true, true, Unknown},
		{"", "", false, false, Other},
		{"", "", true, true, Unknown},
	} {
		assert.Equal(t, FindOwner(c.request, c.answer, c.optional, c.kept), c.owner, "%+v", c)
	}
}

// TestFramingOf checks what marks the end of each kind of response.
func TestFramingOf(t *testing.T) {
	for _, c := range []struct {
		method, text string
		framing      Framing
	}{
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", Length},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Chunks},
		{http.MethodGet, "HTTP/1.1 200 OK\r\n\r\na", Connection},
		{http.MethodGet, "HTTP/1.0 200 OK\r\n\r\na", Connection},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", Length},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", Length},
	} {
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.text)), &http.Request{Method: c.method})
		assert.NilError(t, err)
		assert.Equal(t, FramingOf(res), c.framing, c.text)
		assert.NilError(t, res.Body.Close())
	}
}

// TestCheckEnd checks by which framings the end of an answer counts while the server runs and
// once it has ended.
func TestCheckEnd(t *testing.T) {
	for framing := Message; framing <= Connection; framing++ {
		assert.NilError(t, CheckEnd(framing, func() bool { return true }))
		err := CheckEnd(framing, func() bool { return false })
		assert.Equal(t, err != nil, framing == Connection, "%v: %v", framing, err)
	}
}

// TestAssembly checks that events are passed on in their order, none twice and none left out.
func TestAssembly(t *testing.T) {
	a := New(3)
	assert.Assert(t, a.CheckEvent(2) != nil)
	assert.Assert(t, a.CheckEvent(4) != nil)
	assert.NilError(t, a.CheckEvent(3))
	a.Pass()
	assert.Assert(t, a.CheckEvent(3) != nil)
	assert.Equal(t, a.Next(), uint64(4))
	assert.Assert(t, !a.Begun())
}
