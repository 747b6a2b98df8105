// Package caller faces the callers: OpenAI-style model calls and the configured
// routes to plain services, over HTTP.
//
// Every refusal has the OpenAI error shape with two more fields: run says
// whether the request ran ("never" or "unknown"), retry_after_ms when to try
// again. The header X-Deadline-Ms gives the time that a caller is ready to wait.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Dispatcher serves admitted requests.
type Dispatcher interface {
	Run(ctx context.Context, m *dispatcher.Model, token func(text string) error) (*wire.Finish, error)
	Invoke(ctx context.Context, v *dispatcher.Service) (*wire.Answer, error)
}

// Member knows the configuration and how fresh it is.
type Member interface {
	View() *configurer.View
	Fresh(now, bound time.Duration) bool
}

// Terms are the limits towards callers.
type Terms struct {
	// Body is the largest request body, in bytes.
	Body int64
	// Deadline is for requests that name none; Longest bounds it.
	Deadline time.Duration
	Longest  time.Duration
	// Output is the output limit for requests that name none, in tokens.
	Output uint32
	// Fresh is the longest time without proof of the newest configuration.
	Fresh time.Duration
}

// Handler answers callers. It is safe for concurrent use.
type Handler struct {
	terms      Terms
	clock      timer.Clock
	dispatcher Dispatcher
	member     Member
	fixed      *mux.Router
	routes     atomic.Pointer[routes]
}

// routes are the plain-service routes of one configuration version.
type routes struct {
	version uint64
	router  *mux.Router
}

// New returns the handler for callers.
func New(terms Terms, clock timer.Clock, d Dispatcher, m Member) *Handler {
	h := &Handler{terms: terms, clock: clock, dispatcher: d, member: m, fixed: mux.NewRouter()}
	h.fixed.HandleFunc("/v1/chat/completions", h.complete).Methods(http.MethodPost)
	h.fixed.HandleFunc("/v1/completions", h.complete).Methods(http.MethodPost)
	h.fixed.HandleFunc("/v1/models", h.models).Methods(http.MethodGet)
	h.fixed.HandleFunc("/v1/models/{model}", h.model).Methods(http.MethodGet)
	h.fixed.NotFoundHandler = http.HandlerFunc(h.invoke)
	h.fixed.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", "POST")
		refuse(w, refuser.New(refuser.NotFound, "this path does not take this method"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, h.terms.Body)
	h.fixed.ServeHTTP(w, r)
}

// authenticate returns the caller's key under a view that is known to be fresh.
func (h *Handler) authenticate(r *http.Request, view *configurer.View) (*wire.Key, error) {
	if !h.member.Fresh(h.clock(), h.terms.Fresh) {
		return nil, refuser.New(refuser.Stale, "this entry cannot tell whether keys were withdrawn").After(time.Second)
	}
	presented := strings.TrimSpace(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	return view.Authenticate(presented)
}

// deadline returns the instant by which the request has to be answered.
func (h *Handler) deadline(r *http.Request) (time.Duration, error) {
	left := h.terms.Deadline
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return 0, refuser.New(refuser.Invalid, "X-Deadline-Ms must be a whole number of milliseconds above 0")
		}
		left = min(h.terms.Longest, time.Duration(ms)*time.Millisecond)
	}
	return h.clock() + left, nil
}

func read(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuser.New(refuser.TooLarge, "the body is larger than "+strconv.FormatInt(large.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, refuser.New(refuser.Invalid, "the body could not be read")
	}
	return data, nil
}

// failure is the body of a refusal.
type failure struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Run     string  `json:"run"`
	Retry   int64   `json:"retry_after_ms,omitempty"`
}

func describe(r *refuser.Refusal) failure {
	run := "unknown"
	if r.Never() {
		run = "never"
	}
	kind := "api_error"
	switch r.Kind() {
	case refuser.Invalid, refuser.NotFound, refuser.TooLarge, refuser.Conflict:
		kind = "invalid_request_error"
	case refuser.Unauthorized:
		kind = "authentication_error"
	case refuser.Limited:
		kind = "rate_limit_error"
	}
	return failure{Error: detail{
		Message: r.Text(),
		Type:    kind,
		Code:    r.Kind().String(),
		Run:     run,
		Retry:   r.Retry().Milliseconds(),
	}}
}

// usualRetry is when to come back after a refusal that gives no time of its own
// and whose reason passes.
const usualRetry = time.Second

// timed returns err as a refusal that tells when to come back, if its reason
// passes.
func timed(err error) *refuser.Refusal {
	r := refuser.Of(err)
	if r.Retry() > 0 {
		return r
	}
	switch r.Kind() {
	case refuser.Limited, refuser.Busy, refuser.Late, refuser.Leaving, refuser.Absent, refuser.Stale,
		refuser.Outage, refuser.Lost:
		return r.After(usualRetry)
	}
	return r
}

// refuse answers with err. A client must not repeat by itself what may have run.
func refuse(w http.ResponseWriter, err error) {
	r := timed(err)
	if r.Retry() > 0 {
		seconds := (r.Retry() + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(max(1, r.Retry().Milliseconds()), 10))
	}
	if !r.Never() {
		w.Header().Set("X-Should-Retry", "false")
	}
	answer(w, r.Kind().Status(), describe(r))
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// newID returns a request id.
func newID() string { return "req-" + rand.Text()[:20] }
