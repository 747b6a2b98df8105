package dispatcher

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/assembler"
	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
)

//go:generate stringer -type=Kind -linecomment

// Kind states whether a request may be sent to another backend server once it may have run.
type Kind int

// Kinds of requests. The comment behind a constant is its written name.
const (
	// AtMostOnce requests run at most once: they are not repeated once they may have run.
	AtMostOnce Kind = iota // single
	// Idempotent requests may run again from the beginning.
	Idempotent // idempotent
	// Resumable requests are answered by a stream of events, which another backend
	// server may continue after the last event passed on.
	Resumable // resumable
)

// PromptPart is a section of a prompt that other requests may share, with its length in tokens.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// FormatParts returns the IDs of the parts of a prompt in hexadecimal, separated by commas.
func FormatParts(parts []PromptPart) string {
	var text []byte
	for i, part := range parts {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, part.ID, 16)
	}
	return string(text)
}

// Request is an admitted request. Core does not read its content.
type Request struct {
	ID        string
	Workspace string
	// KeyID is the ID of the caller's key, or empty on an open route.
	KeyID string
	Route string
	Kind  Kind
	// Pool is the pool of backend servers that serve the request.
	Pool string
	// Model is the base model, and Adapter the full name of one of its adapters or
	// empty. Both are empty for a plain service.
	Model   string
	Adapter string
	// Prompt lists the sections of the prompt in order.
	Prompt []PromptPart
	// Cost is the number of tokens charged in advance.
	Cost float64
	// InputTokens is the length of the prompt, MaxOutputTokens the limit of the answer,
	// both in tokens.
	InputTokens     int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the length of the answer in tokens, or 0 if there
	// is none. It is right at the median and often far off.
	OutputHint int
	// Priority is the scheduling priority; 0 is served first.
	Priority int
	// Homes are the regions in which the request may run and to which its content may be sent.
	Homes Homes
	// MaxAttempts is the number of backend servers that may run the request, or 0 for no
	// limit.
	MaxAttempts int
	// ConfigVersion is the configuration version under which the request was admitted.
	ConfigVersion uint64
	// Started is the instant of the arrival. TargetTime is the instant by which the
	// answer, or a stream's first event, has its full value. After Deadline an answer
	// is of no use.
	Started    time.Duration
	TargetTime time.Duration
	Deadline   time.Duration
	// FirstEventDeadline is the instant at which the caller times out if no event has arrived.
	FirstEventDeadline time.Duration
	// MaxGap is the longest pause between two events that counts as on time, or 0 for no limit.
	MaxGap time.Duration
	// FirstIndex is the index of the first event that the caller wants.
	FirstIndex uint64
	// Resumes is the ID of the request whose answer began the stream that the caller takes up, or
	// empty.
	Resumes string
	// Software are the versions of backend servers at which the request may run. A stream goes on
	// at the version that began it.
	Software Software
	// Digest is the hash of what the backend server receives, or 0 if it is not known.
	Digest uint64
	// Content is the payload, known to the Sender only.
	Content any
}

// Compare orders requests by which is served first: by priority, then by target time,
// then by ID.
func Compare(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.TargetTime, b.TargetTime), cmp.Compare(a.ID, b.ID))
}

// Reservation is a slot for one request at a backend server.
type Reservation struct {
	// Name is the name of the backend server, or of the instance of its sidecar.
	Name    string
	Address string
	// ExpectedName is the name that the backend server must have, or empty if the
	// address identifies it.
	ExpectedName string
	// Started is the start of the process that the request is meant for, in Unix milliseconds as
	// the process states it, or 0 if it is not known.
	Started int64
	// Software is the version of the backend server's software, or empty if it is not known.
	Software string
	// HealthPath is the path of the backend server's health check, or empty for the usual one.
	HealthPath string
	// Priority is the priority of the request at the backend server; 0 is served first.
	Priority int
	// ConfirmReceipt is set if the backend server may be stalled: the whole request is
	// sent only once the host has confirmed that it receives.
	ConfirmReceipt bool
	// AbandonContext ends when the attempt is to be abandoned because the host of the
	// backend server does not answer. It may be nil.
	AbandonContext context.Context
	// OnFeedback is called with the feedback that the backend server sends along with an
	// answer. It may be nil.
	OnFeedback func(Feedback)
	// OnPromptRead is called once the first read of the answer has returned. OnSlow is
	// called at a gap between two events that is the longest of the attempt so far. Both
	// may be nil.
	OnPromptRead func()
	OnSlow       func(gap time.Duration)
	// OnActivity is called for each event with its instant. It may be nil.
	OnActivity func(now time.Duration)
	// Release ends the reservation. It is called with the result of the attempt.
	Release func(AttemptResult)
}

// Load is the load that a backend server reports, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the server's machine now, in percent of the usual time, or 0
	// if the server does not state it.
	Pace int
}

// Feedback is the status that a backend server sends along with an answer.
type Feedback struct {
	// Load is nil if the backend server does not report it.
	Load *Load
	// Leaving is set if the backend server takes no new requests.
	Leaving bool
	// BackOff is how long the backend server asks this process to send no requests, or 0.
	BackOff time.Duration
	// Limit is the number of requests a second that the backend server takes from all
	// processes together, or 0 if it names no limit.
	Limit float64
	// Refused is set if the host has refused the connection, so that no process listens at the
	// address of the backend server.
	Refused bool
	// Unlimited is set if the answer certainly comes from the backend server, which names no
	// limit in it.
	Unlimited bool
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	// Err is nil after a complete answer.
	Err error
	// Answered is set if an event, or a complete answer, arrived.
	Answered bool
	// TimeToFirst is the time from the start of the attempt until the first read of the
	// answer returned, or 0 if there was none.
	TimeToFirst time.Duration
	// MaxGap is the longest pause before an event.
	MaxGap time.Duration
	// End is what followed the last event, or nil if the answer did not reach its end.
	End any
}

// History records the attempts made for a request.
type History struct {
	// Tried holds the names of the backend servers tried.
	Tried map[string]bool
	// LastError is the error of the last attempt, or nil before the first has failed.
	LastError error
	// FinderState is the Finder's own state for the request.
	FinderState any
}

// Finder selects the backend server for each attempt.
type Finder interface {
	// Find returns a reservation for r at a backend server that was not tried. It may
	// wait for one for as long as r can still be served in time. An error is a
	// *refuser.Refusal.
	Find(ctx context.Context, r *Request, h *History) (*Reservation, error)
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends r and returns its answer, beginning with the event with index from.
	// An error is a *refuser.Refusal.
	Send(ctx context.Context, reservation *Reservation, r *Request, from uint64) (Answer, error)
}

// Answer is an answer that is being received.
type Answer interface {
	// Head returns what precedes the first event.
	Head() any
	// Info returns what the head says about the answer.
	Info() assembler.Head
	// Next returns the next complete event, or io.EOF after a complete answer. Any
	// other error is a *refuser.Refusal.
	Next() (Event, error)
	// End returns what followed the last event.
	End() any
	// ServerRuns reports whether the process that the request was sent to is known to have run
	// after the end of the answer was read. It is asked if the answer ended with its connection.
	ServerRuns(ctx context.Context) bool
	// Close releases the answer, also before it is complete.
	Close()
}

// Event is one piece of an answer.
type Event struct {
	Index uint64
	Data  []byte
}

// Output passes an answer to the caller. An error means that the caller no longer
// waits for it.
type Output interface {
	// Begin passes the head of the answer on. It is called at most once, before Pass.
	Begin(head any) error
	// Pass passes the next event on.
	Pass(e Event) error
}

// Charger charges workspaces for their requests.
type Charger interface {
	// Charge takes the cost of r from its workspace. An error is a *refuser.Refusal.
	Charge(ctx context.Context, r *Request) (Bill, error)
}

// Bill is the charge for one request.
type Bill interface {
	// Settle refunds the tokens charged beyond used.
	Settle(used float64)
}

// Checker checks during an answer that the caller's key is still valid.
type Checker interface {
	// Granted reports whether the answer to a request with that key may go on.
	Granted(key string) bool
}

// Core serves requests: it charges the workspace, sends the request to a backend
// server, passes the answer back, retries where that is allowed, and resumes a stream
// that was cut. It is safe for concurrent use.
type Core struct {
	clock    timer.Clock
	charger  Charger
	finder   Finder
	sender   Sender
	checker  Checker
	recorder *recorder.Recorder
	meter    *meter.Meter
	log      *log.Logger

	mu     sync.Mutex
	budget *router.RetryBudget
}

// NewCore returns a core that takes its retries from budget.
func NewCore(clock timer.Clock, charger Charger, finder Finder, sender Sender, checker Checker, budget *router.RetryBudget, rec *recorder.Recorder, metrics *meter.Meter, logger *log.Logger) *Core {
	return &Core{clock: clock, charger: charger, finder: finder, sender: sender, checker: checker, budget: budget, recorder: rec, meter: metrics, log: logger}
}

// progress is the state of one request: its attempts and what the caller has received.
type progress struct {
	request *Request
	output  Output
	history History
	// assembly is what the caller has of the answer.
	assembly assembler.Assembly
	// mayHaveRun is set once an attempt has failed at which the request may have run;
	// possibleRuns counts these attempts.
	mayHaveRun   bool
	possibleRuns int
	// lostUnanswered counts the attempts that ended as in a crash of the backend server.
	lostUnanswered int
	// timeToFirst is the time from the arrival to the first event, lastEvent the instant of
	// the latest one, and maxGap the longest pause before an event of the current attempt.
	timeToFirst time.Duration
	lastEvent   time.Duration
	maxGap      time.Duration
	// server is the name of the backend server of the last attempt, answer the head of its
	// answer, and passed the number of its events that were passed on.
	server string
	answer assembler.Head
	passed int
}

// Serve charges for r, sends it to a backend server and passes the answer to out. It
// returns what followed the last event. An error is a *refuser.Refusal.
func (c *Core) Serve(ctx context.Context, r *Request, out Output) (any, error) {
	p := &progress{request: r, output: out, assembly: assembler.New(r.FirstIndex), history: History{Tried: map[string]bool{}}}
	bill, err := c.charger.Charge(ctx, r)
	if err != nil {
		return nil, c.recordRefused(p, err)
	}
	c.creditRetryBudget(r.Pool)
	end, err := c.runAttempts(ctx, p)
	bill.Settle(c.tokensUsed(p, end, err))
	if err != nil {
		return nil, c.recordRefused(p, err)
	}
	c.recordServed(p)
	return end, nil
}

// Usage is implemented by the end of an answer that reports the tokens used.
type Usage interface {
	// Used returns the number of tokens of prompt and output.
	Used() float64
}

// tokensUsed returns an upper bound of the tokens that a request used. A refused request
// that may have run, or of which events were passed on, used its prompt and the events
// passed on.
func (c *Core) tokensUsed(p *progress, end any, err error) float64 {
	r := p.request
	if err == nil {
		if u, ok := end.(Usage); ok {
			return u.Used()
		}
		return r.Cost
	}
	if p.assembly.Next() == r.FirstIndex && refuser.FromError(err).NeverRan() {
		return 0
	}
	return r.Cost - float64(r.MaxOutputTokens) + float64(p.assembly.Next()-r.FirstIndex)
}

// runAttempts makes attempts until one has completed the answer or no other is allowed.
// It returns what followed the last event.
func (c *Core) runAttempts(ctx context.Context, p *progress) (any, error) {
	for {
		waitStart := c.clock()
		reservation, err := c.finder.Find(ctx, p.request, &p.history)
		c.meter.RecordReservationWait(c.clock() - waitStart)
		if err != nil {
			return nil, callerError(err, p.mayHaveRun)
		}
		p.history.Tried[reservation.Name] = true
		p.server = reservation.Name
		end, err := c.attempt(ctx, p, reservation)
		if err == nil {
			return end, nil
		}
		p.recordFailure(err)
		if !c.shouldRetry(p, err) {
			return nil, callerError(err, p.mayHaveRun)
		}
	}
}

// recordFailure records the error of an attempt that failed.
func (p *progress) recordFailure(err error) {
	p.history.LastError = err
	if !refuser.FromError(err).NeverRan() {
		p.mayHaveRun = true
		p.possibleRuns++
	}
}

// callerError returns the refusal that the caller receives. If an earlier attempt may have
// run, the refusal does not claim that nothing ran, even if the last attempt did not.
func callerError(err error, mayHaveRun bool) error {
	refusal := refuser.FromError(err)
	if mayHaveRun && refusal.NeverRan() {
		return refuser.MayHaveRun(refusal.Kind(), refusal.Text()).WithRetryAfter(refusal.RetryAfter())
	}
	return refusal
}

// maxLostUnanswered is the number of attempts, each of them ended as in a crash of the backend
// server before it answered, after which a request is not sent again: the request may be the
// cause.
const maxLostUnanswered = 3

// shouldRetry reports whether to make another attempt after err. A request of whose answer the
// caller has a part goes on only if it may be resumed. The retry budget is charged unless the
// request certainly did not reach the backend server.
func (c *Core) shouldRetry(p *progress, err error) bool {
	refusal, request := refuser.FromError(err), p.request
	if !refusal.NeverRan() && request.Kind == AtMostOnce || p.assembly.Begun() && request.Kind != Resumable {
		return false
	}
	if p.lostUnanswered >= maxLostUnanswered || request.MaxAttempts > 0 && p.possibleRuns >= request.MaxAttempts {
		return false
	}
	switch refusal.Kind() {
	case refuser.NotResident, refuser.Leaving, refuser.Busy, refuser.StaleConfiguration, refuser.ConnectionLost, refuser.BackendFailed, refuser.BackendSilent, refuser.BackendLimited, refuser.OtherSoftware:
	default:
		return false
	}
	if c.clock() >= request.Deadline || mayHaveArrived(refusal) && !c.takeRetry(p.request.Pool) {
		return false
	}
	c.meter.RecordRetry(refusal.Kind().String())
	c.recorder.Add(time.Now(), "request/"+request.ID, "attempt at "+p.server+" ended: "+refusal.Error())
	c.log.Info().Str("request", request.ID).Str("server", p.server).Str("kind", refusal.Kind().String()).
		Bool("never", refusal.NeverRan()).Uint64("next", p.assembly.Next()).
		Str("answer", p.answer.String()).Int("passed", p.passed).Bool("begun", p.assembly.Begun()).Str("cause", refusal.Text()).Msg("retry")
	return true
}

// mayHaveArrived reports whether the request may have reached the backend server of an
// attempt that failed. Only then does a retry add to the load of the back end.
func mayHaveArrived(refusal *refuser.Refusal) bool {
	switch refusal.Kind() {
	case refuser.ConnectionLost, refuser.BackendSilent, refuser.BackendLimited, refuser.OtherSoftware:
		return !refusal.NeverRan()
	}
	return true
}

// SetEntryCount sets the number of entries that the fleet's retry budget is split among.
func (c *Core) SetEntryCount(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.SetEntryCount(entries)
}

// creditRetryBudget credits the retry budget of a pool for one request.
func (c *Core) creditRetryBudget(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.CreditRequest(pool)
}

// takeRetry takes one retry out of the pool's budget and reports whether there was one.
func (c *Core) takeRetry(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.TakeRetry(pool)
}

// recordServed counts and logs a complete answer.
func (c *Core) recordServed(p *progress) {
	request := p.request
	c.meter.RecordRequest(request.Workspace, "served")
	c.meter.RecordRequestDuration("served", c.clock()-request.Started)
	c.log.Info().Str("request", request.ID).Str("workspace", request.Workspace).Str("route", request.Route).Str("model", request.Model).
		Str("adapter", request.Adapter).Str("server", p.server).Uint64("events", p.assembly.Next()-request.FirstIndex).
		Int64("first", p.timeToFirst.Milliseconds()).Int64("gap", p.maxGap.Milliseconds()).Int64("took", (c.clock()-request.Started).Milliseconds()).
		Float64("tokens", request.Cost).Int("tried", len(p.history.Tried)).
		Str("answer", p.answer.String()).Int("passed", p.passed).Msg("served")
}

// recordRefused counts and logs a refusal and returns it. Refusals that are not due to
// the caller, the request or the workspace's limit also count as refused inside the rate.
func (c *Core) recordRefused(p *progress, err error) error {
	refusal, request := refuser.FromError(err), p.request
	c.meter.RecordRequest(request.Workspace, refusal.Kind().String())
	c.meter.RecordRequestDuration(refusal.Kind().String(), c.clock()-request.Started)
	switch refusal.Kind() {
	case refuser.RateLimited, refuser.TooLarge, refuser.Canceled, refuser.Quarantined:
	default:
		c.meter.RecordRefusedInsideRate(request.Workspace, refusal.Kind().String())
	}
	c.recorder.Add(time.Now(), "request/"+request.ID, "workspace "+request.Workspace+", route "+request.Route+", model "+request.Model+": "+refusal.Error())
	c.log.Info().Str("request", request.ID).Str("workspace", request.Workspace).Str("model", request.Model).
		Str("adapter", request.Adapter).Str("server", p.server).Str("kind", refusal.Kind().String()).Bool("never", refusal.NeverRan()).
		Str("parts", FormatParts(request.Prompt)).Str("whole", request.FormatDigest()).Uint64("events", p.assembly.Next()-request.FirstIndex).Uint64("config", request.ConfigVersion).Float64("tokens", request.Cost).
		Int64("took", (c.clock()-request.Started).Milliseconds()).Int64("retry", refusal.RetryAfter().Milliseconds()).
		Str("answer", p.answer.String()).Int("passed", p.passed).Bool("begun", p.assembly.Begun()).Str("cause", refusal.Text()).Msg("refused")
	return refusal
}
