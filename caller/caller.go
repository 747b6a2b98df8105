// Package caller implements the HTTP API for callers: OpenAI-compatible model
// calls and the configured routes to plain services.
//
// Every refusal has the shape of an OpenAI error with two more fields: run says
// whether the request ran ("never" or "unknown"), and retry_after_ms says after
// how many milliseconds to try again. The header X-Deadline-Ms gives the time in
// milliseconds that the caller is ready to wait.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/json"
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

// Dispatcher serves admitted requests. Run serves a model call and passes the text
// of each token to token; Invoke serves a call of a plain service.
type Dispatcher interface {
	Run(ctx context.Context, completion *dispatcher.Completion, token func(text string) error) (*wire.Finish, error)
	Invoke(ctx context.Context, call *dispatcher.ServiceCall) (*wire.Answer, error)
}

// Member provides the configuration in force. Fresh reports whether at now it is
// known to have been the newest within the time bound.
type Member interface {
	View() *configurer.View
	Fresh(now, bound time.Duration) bool
}

// Options are the limits on callers' requests.
type Options struct {
	// MaxBodyBytes is the size of the largest request body, in bytes.
	MaxBodyBytes int64
	// DefaultTimeout is the time to answer a request without X-Deadline-Ms.
	DefaultTimeout time.Duration
	// MaxTimeout is the upper bound of X-Deadline-Ms.
	MaxTimeout time.Duration
	// DefaultOutputTokens is the output limit of requests that set none, in tokens.
	DefaultOutputTokens uint32
	// MaxConfigurationAge is the longest time since the configuration was last
	// proven to be the newest. Beyond it, requests with a key are refused.
	MaxConfigurationAge time.Duration
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	options       Options
	clock         timer.Clock
	dispatcher    Dispatcher
	member        Member
	api           *mux.Router
	serviceRoutes atomic.Pointer[routeTable]
}

// routeTable holds the plain-service routes of one configuration version.
type routeTable struct {
	version uint64
	router  *mux.Router
}

// New returns the handler of the API for callers.
func New(options Options, clock timer.Clock, d Dispatcher, m Member) *Handler {
	h := &Handler{options: options, clock: clock, dispatcher: d, member: m, api: mux.NewRouter()}
	h.api.HandleFunc("/v1/chat/completions", h.serveCompletion).Methods(http.MethodPost)
	h.api.HandleFunc("/v1/completions", h.serveCompletion).Methods(http.MethodPost)
	h.api.HandleFunc("/v1/models", h.serveModels).Methods(http.MethodGet)
	h.api.HandleFunc("/v1/models/{model}", h.serveModel).Methods(http.MethodGet)
	h.api.NotFoundHandler = http.HandlerFunc(h.serveRoute)
	h.api.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", "POST")
		writeRefusal(w, refuser.New(refuser.NotFound, "this path does not take this method"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.api.ServeHTTP(w, r)
}

// authenticate returns the key that the request presents. It refuses all keys if the
// configuration may be out of date, since a key may have been withdrawn meanwhile.
func (h *Handler) authenticate(r *http.Request, view *configurer.View) (*wire.Key, error) {
	if !h.member.Fresh(h.clock(), h.options.MaxConfigurationAge) {
		return nil, refuser.New(refuser.StaleConfiguration, "this entry cannot tell whether keys were withdrawn").WithRetryAfter(time.Second)
	}
	apiKey := strings.TrimSpace(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	return view.Authenticate(apiKey)
}

// deadline returns the time on h.clock by which the request has to be answered.
func (h *Handler) deadline(r *http.Request) (time.Duration, error) {
	timeout := h.options.DefaultTimeout
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return 0, refuser.New(refuser.InvalidRequest, "X-Deadline-Ms must be a whole number of milliseconds above 0")
		}
		timeout = min(h.options.MaxTimeout, time.Duration(ms)*time.Millisecond)
	}
	return h.clock() + timeout, nil
}

// Numbers of copies of a body that are in memory at a time: as received, parsed, encoded for
// the engine and as a message to the sidecar; calls of plain services are not parsed.
const (
	completionCopies = 4
	serviceCopies    = 2
)

// errorResponse is the response body of a refusal, in the shape of an OpenAI error.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes a refusal. Run and RetryAfterMs are not part of OpenAI's API.
type errorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Param        *string `json:"param"`
	Code         string  `json:"code"`
	Run          string  `json:"run"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
}

// newErrorResponse converts a refusal to its response body.
func newErrorResponse(r *refuser.Refusal) errorResponse {
	run := "unknown"
	if r.NeverRan() {
		run = "never"
	}
	errorType := "api_error"
	switch r.Kind() {
	case refuser.InvalidRequest, refuser.NotFound, refuser.TooLarge, refuser.Conflict:
		errorType = "invalid_request_error"
	case refuser.Unauthorized:
		errorType = "authentication_error"
	case refuser.RateLimited:
		errorType = "rate_limit_error"
	}
	return errorResponse{Error: errorDetail{
		Message:      r.Text(),
		Type:         errorType,
		Code:         r.Kind().String(),
		Run:          run,
		RetryAfterMs: r.RetryAfter().Milliseconds(),
	}}
}

// defaultRetryAfter is the retry time of a refusal for a temporary reason that sets none.
const defaultRetryAfter = time.Second

// withRetryAfter converts err to a refusal. One for a temporary reason gets a retry time
// if it has none.
func withRetryAfter(err error) *refuser.Refusal {
	r := refuser.FromError(err)
	if r.RetryAfter() > 0 {
		return r
	}
	switch r.Kind() {
	case refuser.RateLimited, refuser.Busy, refuser.DeadlineExceeded, refuser.Leaving, refuser.NotResident, refuser.StaleConfiguration,
		refuser.PlatformUnavailable, refuser.ConnectionLost:
		return r.WithRetryAfter(defaultRetryAfter)
	}
	return r
}

// writeRefusal writes err as an error response. If the request may have run,
// X-Should-Retry tells OpenAI clients not to repeat it automatically.
func writeRefusal(w http.ResponseWriter, err error) {
	r := withRetryAfter(err)
	if r.RetryAfter() > 0 {
		seconds := (r.RetryAfter() + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(max(1, r.RetryAfter().Milliseconds()), 10))
	}
	if !r.NeverRan() {
		w.Header().Set("X-Should-Retry", "false")
	}
	writeJSON(w, r.Kind().HTTPStatus(), newErrorResponse(r))
}

// writeJSON writes v as a JSON response with the status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "the answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, append(data, '\n'))
}

// newRequestID returns a random request ID.
func newRequestID() string { return "req-" + rand.Text()[:20] }
