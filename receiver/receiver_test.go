package receiver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/refuser"
)

// fakeAccount is an account with a limit.
type fakeAccount struct {
	held, peak, limit int64
}

func (a *fakeAccount) Reserve(_ context.Context, n int64) error {
	if a.held+n > a.limit {
		return NoRoom()
	}
	a.held += n
	a.peak = max(a.peak, a.held)
	return nil
}

func (a *fakeAccount) Release(n int64) { a.held -= n }

// newRequest returns a request with the account whose head states the length, or chunks if it is
// negative.
func newRequest(a Account, length int64, body io.Reader) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Body, r.ContentLength = io.NopCloser(body), length
	return r.WithContext(WithAccount(r.Context(), a))
}

// kindOf returns the kind of a refusal of a request that has not run.
func kindOf(t testing.TB, err error) refuser.Kind {
	t.Helper()
	var refusal *refuser.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Assert(t, refusal.NeverRan())
	return refusal.Kind()
}

// TestReadBody guards against a body that is cut, a limit that is off by one, and a refusal after
// which the connection would be used again.
func TestReadBody(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		stated int64
		sent   int
		kind   refuser.Kind
		ok     bool
	}{
		{stated: 0, sent: 0, ok: true},
		{stated: 1, sent: 1, ok: true},
		{stated: limit, sent: limit, ok: true},
		{stated: -1, sent: limit, ok: true},
		{stated: -1, sent: 0, ok: true},
		{stated: -1, sent: limit + 1, kind: refuser.TooLarge},
		{stated: limit + 1, sent: 0, kind: refuser.TooLarge},
	} {
		w := httptest.NewRecorder()
		content := bytes.Repeat([]byte("b"), c.sent)
		a := &fakeAccount{limit: 1 << 30}
		body, err := ReadBody(w, newRequest(a, c.stated, bytes.NewReader(content)), limit, 1)
		assert.Equal(t, err == nil, c.ok, "%+v", c)
		if c.ok {
			assert.Equal(t, len(body), c.sent)
			assert.Equal(t, a.held, int64(cap(body)), "%+v", c)
			continue
		}
		assert.Equal(t, kindOf(t, err), c.kind)
		assert.Equal(t, w.Header().Get("Connection"), "close")
	}
}

// TestNothingIsReservedForWhatDoesNotCome guards against buffers of the size that a head states.
func TestNothingIsReservedForWhatDoesNotCome(t *testing.T) {
	a := &fakeAccount{limit: 1 << 30}
	broken := io.MultiReader(strings.NewReader("few"), &failingReader{})
	_, err := ReadBody(httptest.NewRecorder(), newRequest(a, 4<<20, broken), 4<<20, 1)
	assert.Equal(t, kindOf(t, err), refuser.InvalidRequest)
	assert.Equal(t, a.peak, int64(minBuffer))
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestBudgetIsReservedBefore guards against memory that is used before it is reserved, and against
// copies that are not counted.
func TestBudgetIsReservedBefore(t *testing.T) {
	content := bytes.Repeat([]byte("b"), 64<<10)
	for _, limit := range []int64{0, 20 << 10, 100 << 10} {
		a := &fakeAccount{limit: limit}
		_, err := ReadBody(httptest.NewRecorder(), newRequest(a, int64(len(content)), bytes.NewReader(content)), 1<<20, 3)
		assert.Equal(t, kindOf(t, err), refuser.Busy)
		assert.Assert(t, refuser.FromError(err).RetryAfter() > 0)
	}
	a := &fakeAccount{limit: 1 << 20}
	_, err := ReadBody(httptest.NewRecorder(), newRequest(a, int64(len(content)), bytes.NewReader(content)), 1<<20, 3)
	assert.NilError(t, err)
	assert.Assert(t, a.held >= 3*int64(len(content)))
}

// FuzzReadBody looks for requests whose body is read beyond the limit, that reserve much more than
// arrives, or that are refused with a kind that states that they may have run.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\nffffffffffffffff\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 3000)))
	f.Add([]byte("POST / HTTP/1.0\r\nContent-Length: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		const limit = 2000
		a := &fakeAccount{limit: 1 << 20}
		body, err := ReadBody(httptest.NewRecorder(), r.WithContext(WithAccount(r.Context(), a)), limit, 1)
		if err != nil {
			kindOf(t, err)
			return
		}
		if len(body) > limit || a.peak > int64(3*len(body)+2*minBuffer) {
			t.Fatal(fmt.Sprintf("%d bytes were read, %d reserved", len(body), a.peak))
		}
	})
}
