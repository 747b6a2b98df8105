// Package refuser defines the typed failures that end a request.
//
// Every refusal says whether the request ran at a back end and when the caller
// may try again. RAN_NEVER is only set where it is provable.
package refuser

import (
	"errors"
	"net/http"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

//go:generate stringer -type=Kind -linecomment

// Kind is the reason of a refusal.
type Kind int

// Kinds of refusal; the comment is the name on the wire and in answers.
const (
	Internal     Kind = iota // internal
	Invalid                  // invalid_request
	Unauthorized             // unauthorized
	NotFound                 // not_found
	TooLarge                 // too_large
	Limited                  // rate_limited
	Busy                     // busy
	Late                     // deadline_exceeded
	Leaving                  // leaving
	Absent                   // not_resident
	Stale                    // stale_configuration
	Outage                   // platform_unavailable
	Lost                     // connection_lost
	Conflict                 // conflict
	Canceled                 // canceled
	Failed                   // backend_failed
	// Silent backend servers do not confirm what is sent to them.
	Silent // backend_silent
)

var statuses = map[Kind]int{
	Internal:     http.StatusInternalServerError,
	Invalid:      http.StatusBadRequest,
	Unauthorized: http.StatusUnauthorized,
	NotFound:     http.StatusNotFound,
	TooLarge:     http.StatusRequestEntityTooLarge,
	Limited:      http.StatusTooManyRequests,
	Busy:         http.StatusServiceUnavailable,
	Late:         http.StatusGatewayTimeout,
	Leaving:      http.StatusServiceUnavailable,
	Absent:       http.StatusServiceUnavailable,
	Stale:        http.StatusServiceUnavailable,
	Outage:       http.StatusServiceUnavailable,
	Lost:         http.StatusBadGateway,
	Conflict:     http.StatusConflict,
	Canceled:     499,
	Failed:       http.StatusBadGateway,
	Silent:       http.StatusGatewayTimeout,
}

// Status returns the HTTP status of k.
func (k Kind) Status() int { return statuses[k] }

// Refusal is a request that was not served.
type Refusal struct {
	kind  Kind
	text  string
	never bool
	retry time.Duration
}

// New returns a refusal of a request that never ran.
func New(k Kind, text string) *Refusal {
	return &Refusal{kind: k, text: text, never: true}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(k Kind, text string) *Refusal {
	return &Refusal{kind: k, text: text}
}

// After returns a copy of r that tells the caller when to try again.
func (r *Refusal) After(d time.Duration) *Refusal {
	c := *r
	c.retry = max(d, 0)
	return &c
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string { return r.kind.String() + ": " + r.text }

// Kind returns the reason.
func (r *Refusal) Kind() Kind { return r.kind }

// Text returns the explanation.
func (r *Refusal) Text() string { return r.text }

// Never reports whether it is certain that the request did not run.
func (r *Refusal) Never() bool { return r.never }

// Retry returns the time after which to try again, or zero.
func (r *Refusal) Retry() time.Duration { return r.retry }

// Wire converts r to its message.
func (r *Refusal) Wire() *wire.Refusal {
	ran := wire.Ran_RAN_UNKNOWN
	if r.never {
		ran = wire.Ran_RAN_NEVER
	}
	return &wire.Refusal{
		Kind:  r.kind.String(),
		Text:  r.text,
		Ran:   ran,
		Retry: timer.ToMillis(r.retry),
	}
}

// Reply wraps r in a reply message.
func (r *Refusal) Reply() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: r.Wire()}}
}

// Parse converts a message to a refusal. A kind that this version does not know
// becomes Internal.
func Parse(w *wire.Refusal) *Refusal {
	r := &Refusal{
		text:  w.GetText(),
		never: w.GetRan() == wire.Ran_RAN_NEVER,
		retry: timer.FromMillis(w.GetRetry()),
	}
	for k := range statuses {
		if k.String() == w.GetKind() {
			r.kind = k
		}
	}
	return r
}

// Of returns the refusal inside err. Any other error becomes an Internal
// refusal whose run is unknown.
func Of(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Unknown(Internal, err.Error())
}

// Is reports whether err is a refusal of kind k.
func Is(err error, k Kind) bool {
	var r *Refusal
	return errors.As(err, &r) && r.kind == k
}
