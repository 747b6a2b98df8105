// Package receiver reads the bodies of callers' requests within what the process may hold for its
// callers.
package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"oleanderstall/refuser"
)

// Account is what a connection may hold of the budget of the process.
type Account interface {
	// Reserve reserves n bytes for the request, which are returned at its end at the latest. It
	// waits a bounded time for them. The error is a *refuser.Refusal.
	Reserve(ctx context.Context, n int64) error
	// Release returns n reserved bytes before the end of the request.
	Release(n int64)
}

// accountKey is the key of a request's account in its context.
type accountKey struct{}

// WithAccount returns a context with the account of a request.
func WithAccount(ctx context.Context, a Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// Reserve reserves n bytes in the account of a request. Without an account it does nothing. The
// error is a *refuser.Refusal.
func Reserve(ctx context.Context, n int64) error {
	if a, ok := ctx.Value(accountKey{}).(Account); ok && n > 0 {
		return a.Reserve(ctx, n)
	}
	return nil
}

// Release returns n bytes that were reserved in the account of a request.
func Release(ctx context.Context, n int64) {
	if a, ok := ctx.Value(accountKey{}).(Account); ok && n > 0 {
		a.Release(n)
	}
}

// retryAfter is the time after which callers may retry a request that was refused for lack of room.
const retryAfter = time.Second

// NoRoom returns the refusal of a request for which there is no room in memory. It has not run.
func NoRoom() *refuser.Refusal {
	return refuser.New(refuser.Busy, "the process holds too much for its callers").WithRetryAfter(retryAfter)
}

// Stopped returns the refusal of a request whose body stopped arriving. It has not run.
func Stopped() *refuser.Refusal {
	return refuser.New(refuser.BodyTimeout, "the body did not arrive in time")
}

// minBuffer is the initial size of the buffer for a body, in bytes.
const minBuffer = 4 << 10

// ReadBody reads the body of a request. The buffer grows with what has arrived, not with the
// length that the head states, and each growth is reserved before. copies is the number of copies
// of the body that will be in memory at a time. After an error, which is a *refuser.Refusal, the
// connection is closed behind the answer, since the rest of the body is not read.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64, copies int) ([]byte, error) {
	body, err := readBody(r, maxBytes, copies)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return body, err
}

func readBody(r *http.Request, maxBytes int64, copies int) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	largest := maxBytes + 1
	if r.ContentLength > 0 {
		// One more byte than announced lets the end be read without another growth.
		largest = r.ContentLength + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > maxBytes {
				return nil, tooLarge(maxBytes)
			}
			grown, err := grow(r.Context(), body, largest)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, tooLarge(maxBytes)
		case errors.Is(err, io.EOF):
			return body, Reserve(r.Context(), int64(copies-1)*int64(len(body)))
		case err != nil:
			return nil, readError(err)
		}
	}
}

// RoomError reports an answer for which there is no room in memory. It is no refusal, since the
// request has run.
type RoomError struct{}

// Error describes the fault.
func (*RoomError) Error() string { return "there is no room for the answer" }

// ReserveAnswer reserves n bytes for an answer in the account of a request. The error is a
// *RoomError.
func ReserveAnswer(ctx context.Context, n int64) error {
	if Reserve(ctx, n) != nil {
		return &RoomError{}
	}
	return nil
}

// ReadAnswer reads the answer of a backend server to its end, or until it is longer than maxBytes.
// Each growth of the buffer is reserved before, and one copy of the answer in the end. If there is
// no room, the error is a *RoomError.
func ReadAnswer(ctx context.Context, r io.Reader, maxBytes int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > maxBytes {
				return body, nil
			}
			grown, err := grow(ctx, body, maxBytes+1)
			if err != nil {
				return nil, &RoomError{}
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, ReserveAnswer(ctx, int64(len(body)))
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of body with twice its capacity. If that is close to largest, the capacity
// becomes largest, so that the last bytes do not need another copy.
func grow(ctx context.Context, body []byte, largest int64) ([]byte, error) {
	size := max(minBuffer, 2*int64(cap(body)))
	if largest-size < size/2 {
		size = largest
	}
	if err := Reserve(ctx, size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	Release(ctx, int64(cap(body)))
	return grown, nil
}

// readError returns the refusal for an error of reading a body.
func readError(err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(refuser.InvalidRequest, "the body could not be read")
}

func tooLarge(maxBytes int64) error {
	return refuser.New(refuser.TooLarge, "the body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
}
