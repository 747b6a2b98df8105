// Package refuser defines the typed errors that end a request.
//
// Every refusal states whether the request may have run at a back end and when the
// caller may retry. RAN_NEVER is only set if it is certain that the request did not run.
package refuser

import (
	"errors"
	"net/http"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

//go:generate stringer -type=Kind -linecomment

// Kind is the reason for a refusal.
type Kind int

// Kinds of refusals. The comment behind a constant is its name on the wire and in answers.
const (
	Internal            Kind = iota // internal
	InvalidRequest                  // invalid_request
	Unauthorized                    // unauthorized
	NotFound                        // not_found
	TooLarge                        // too_large
	RateLimited                     // rate_limited
	Busy                            // busy
	DeadlineExceeded                // deadline_exceeded
	Leaving                         // leaving
	NotResident                     // not_resident
	StaleConfiguration              // stale_configuration
	PlatformUnavailable             // platform_unavailable
	ConnectionLost                  // connection_lost
	Conflict                        // conflict
	Canceled                        // canceled
	BackendFailed                   // backend_failed
	// Quarantined is the kind for a request that holds what backend servers crash on.
	Quarantined // quarantined
	// BackendSilent is the kind for a backend server whose host does not answer or does not confirm
	// what is sent to it.
	BackendSilent // backend_silent
	// BackendLimited is the kind for a backend server that has named a limit and takes no request
	// now.
	BackendLimited // backend_limited
	// Undecided is the kind for a call that was not made, because it is not known whether an earlier
	// call with its idempotency key was.
	Undecided // undecided
	// BodyTimeout is the kind for a request whose body did not arrive in time.
	BodyTimeout // body_timeout
	// OtherSoftware is the kind for the rest of a stream that no backend server may write: none has
	// the version of the software that began the stream, or that is not known.
	OtherSoftware // other_software
)

var httpStatuses = map[Kind]int{
	Internal:            http.StatusInternalServerError,
	InvalidRequest:      http.StatusBadRequest,
	Unauthorized:        http.StatusUnauthorized,
	NotFound:            http.StatusNotFound,
	TooLarge:            http.StatusRequestEntityTooLarge,
	RateLimited:         http.StatusTooManyRequests,
	Busy:                http.StatusServiceUnavailable,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	Leaving:             http.StatusServiceUnavailable,
	NotResident:         http.StatusServiceUnavailable,
	StaleConfiguration:  http.StatusServiceUnavailable,
	PlatformUnavailable: http.StatusServiceUnavailable,
	ConnectionLost:      http.StatusBadGateway,
	Conflict:            http.StatusConflict,
	Canceled:            499,
	BackendFailed:       http.StatusBadGateway,
	Quarantined:         http.StatusServiceUnavailable,
	BackendSilent:       http.StatusGatewayTimeout,
	BackendLimited:      http.StatusServiceUnavailable,
	Undecided:           http.StatusGatewayTimeout,
	BodyTimeout:         http.StatusRequestTimeout,
	OtherSoftware:       http.StatusServiceUnavailable,
}

// HTTPStatus returns the HTTP status code of a refusal of kind k.
func (k Kind) HTTPStatus() int { return httpStatuses[k] }

// Refusal is the error of a request that was not served.
type Refusal struct {
	kind       Kind
	text       string
	neverRan   bool
	retryAfter time.Duration
	crashedAt  int64
}

// New returns a refusal of a request that certainly did not run.
func New(k Kind, text string) *Refusal {
	return &Refusal{kind: k, text: text, neverRan: true}
}

// MayHaveRun returns a refusal of a request that may have run.
func MayHaveRun(k Kind, text string) *Refusal {
	return &Refusal{kind: k, text: text}
}

// WithRetryAfter returns a copy of r that tells the caller to retry after d. A negative d counts as
// zero.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	changed := *r
	changed.retryAfter = max(d, 0)
	return &changed
}

// WithCrash returns a copy of r that states that the backend server crashed, as its sidecar
// noticed at a time in Unix milliseconds.
func (r *Refusal) WithCrash(at int64) *Refusal {
	changed := *r
	changed.crashedAt = at
	return &changed
}

// Error returns the kind and the text of the refusal.
func (r *Refusal) Error() string { return r.kind.String() + ": " + r.text }

// Kind returns the reason for the refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// Text returns the explanation for the caller.
func (r *Refusal) Text() string { return r.text }

// NeverRan reports whether it is certain that the request did not run.
func (r *Refusal) NeverRan() bool { return r.neverRan }

// RetryAfter returns the time after which the caller may retry, or zero if it is not stated.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// ToWire returns r as a message.
func (r *Refusal) ToWire() *wire.Refusal {
	ran := wire.Ran_RAN_UNKNOWN
	if r.neverRan {
		ran = wire.Ran_RAN_NEVER
	}
	return &wire.Refusal{
		Kind:  r.kind.String(),
		Text:  r.text,
		Ran:   ran,
		Retry: timer.ToMillis(r.retryAfter),
		Crash: r.crashedAt,
	}
}

// Reply returns r as a reply message.
func (r *Refusal) Reply() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: r.ToWire()}}
}

// FromWire returns the refusal of a message. A kind that this version does not know becomes
// Internal.
func FromWire(w *wire.Refusal) *Refusal {
	r := &Refusal{
		text:       w.GetText(),
		neverRan:   w.GetRan() == wire.Ran_RAN_NEVER,
		retryAfter: timer.FromMillis(w.GetRetry()),
		crashedAt:  w.GetCrash(),
	}
	for k := range httpStatuses {
		if k.String() == w.GetKind() {
			r.kind = k
		}
	}
	return r
}

// FromError returns the refusal that err is or wraps. Any other error becomes an Internal
// refusal of a request that may have run.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return MayHaveRun(Internal, err.Error())
}

// CrashTime returns the time at which the backend server crashed according to err, in Unix
// milliseconds, or 0 if err does not state that it has.
func CrashTime(err error) int64 {
	var r *Refusal
	if !errors.As(err, &r) {
		return 0
	}
	return r.crashedAt
}

// Is reports whether err is or wraps a refusal of kind k.
func Is(err error, k Kind) bool {
	var r *Refusal
	return errors.As(err, &r) && r.kind == k
}
