package dispatcher

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
)

//go:generate stringer -type=Kind -linecomment

// Kind says what of a request may be repeated.
type Kind int

// Kinds of requests.
const (
	// Single requests run at most once.
	Single Kind = iota // single
	// Idempotent requests may run again from their beginning.
	Idempotent // idempotent
	// Resumable requests are answered by events and may go on at another backend
	// server after the last event passed on.
	Resumable // resumable
)

// Part is one part of a prompt, which other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is an admitted request. The dispatcher does not read its content.
type Request struct {
	ID        string
	Workspace string
	// Key is the id of the caller's key, or empty on an open route.
	Key   string
	Route string
	Kind  Kind
	// Pool is the pool of backend servers that serve the request.
	Pool string
	// Model is the base model and Adapter the whole name of an adapter of it; both
	// are empty for a plain service.
	Model   string
	Adapter string
	// Prompt lists the parts of the prompt in their order.
	Prompt []Part
	// Cost is the number of tokens charged.
	Cost float64
	// Input and Output are the tokens of the prompt and the most of the answer.
	Input  int
	Output int
	// Priority is the rank, 0 first.
	Priority int
	// Attempts is the most backend servers that may run the request, or 0 for any
	// number.
	Attempts int
	// Config is the configuration version under which the request was admitted.
	Config uint64
	// Started, Goal and Deadline are the instants of the arrival, of the end of the
	// time in which the answer is worth most, and of the last use of an answer.
	Started  time.Duration
	Goal     time.Duration
	Deadline time.Duration
	// First is the instant by which the caller has given up if no event has come.
	First time.Duration
	// Gap is the longest pause between two events on time, or 0 for any.
	Gap time.Duration
	// From is the index of the first event that the caller wants.
	From uint64
	// Content is what the sender passes on.
	Content any
}

// Compare orders requests by who is served first: by rank, then by goal.
func Compare(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Goal, b.Goal), cmp.Compare(a.ID, b.ID))
}

// Reservation is a place for one request at a backend server.
type Reservation struct {
	// Name is the backend server, or the instance beside it.
	Name    string
	Address string
	// Expect is the name that the backend server has to have, or empty if the
	// address is enough.
	Expect string
	// Urgency is the rank at the backend server, 0 first.
	Urgency int
	// Unsure is set if the backend server may stand still: the request is to be handed
	// over only once its host has confirmed that it receives.
	Unsure bool
	// Held ends when the attempt is abandoned, since the host of the backend server does
	// not answer; it may be nil.
	Held context.Context
	// OnFeedback takes what the backend server says of itself with an answer, unless it is
	// nil.
	OnFeedback func(Feedback)
	// OnPromptRead is called at the first event, and Slow at a pause between two that is
	// longer than any before it; both may be nil.
	OnPromptRead func()
	OnSlow       func(gap time.Duration)
	// OnActivity is called at each event with its instant, unless it is nil.
	OnActivity func(now time.Duration)
	// Release gives the place back, with how the attempt ended.
	Release func(AttemptResult)
}

// Load is the load of a backend server.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Feedback is what a backend server says of itself with an answer.
type Feedback struct {
	// Load is nil if it does not tell.
	Load *Load
	// Leaving is set if it takes no new work.
	Leaving bool
	// BackOff is how long it wants no request from this process.
	BackOff time.Duration
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	// Err is nil after a whole answer.
	Err error
	// First is the time to the first event or the answer, if there was one.
	First time.Duration
	// Gap is the longest pause between two events.
	Gap time.Duration
	// End is what came after the last event.
	End any
}

// History is what was tried for a request.
type History struct {
	// Tried holds the names of the places tried.
	Tried map[string]bool
	// Last is how the last attempt failed.
	Last error
	// Memo is what the finder remembers of the request.
	Memo any
}

// Finder knows the backend servers that a request may go to.
type Finder interface {
	// Find returns a place for r that was not tried. It may wait for one until it
	// can no longer serve r. An error is a *refuser.Refusal.
	Find(ctx context.Context, r *Request, h *History) (*Reservation, error)
}

// Sender passes a request on to a backend server.
type Sender interface {
	// Send returns the answer to r from the event with index from. An error is a
	// *refuser.Refusal.
	Send(ctx context.Context, p *Reservation, r *Request, from uint64) (Answer, error)
}

// Answer is an answer that arrives.
type Answer interface {
	// Head is what comes before the first event.
	Head() any
	// Failed reports whether the backend server answered that it failed.
	Failed() bool
	// Next returns the next whole event, or io.EOF after a complete answer. Any
	// other error is a *refuser.Refusal.
	Next() (Event, error)
	// End is what comes after the last event.
	End() any
	// Close gives up the answer.
	Close()
}

// Event is one piece of an answer.
type Event struct {
	Index uint64
	Data  []byte
}

// Output takes the answer to the caller. An error means that the caller has
// given up.
type Output interface {
	Begin(head any) error
	Pass(e Event) error
}

// Charger charges a workspace for its requests.
type Charger interface {
	// Charge takes the cost of r. An error is a *refuser.Refusal.
	Charge(ctx context.Context, r *Request) (Bill, error)
}

// Bill is what a request was charged.
type Bill interface {
	// Settle gives back what was charged beyond used tokens.
	Settle(used float64)
}

// Checker tells whether a stream of a key may go on.
type Checker interface {
	Granted(key string) bool
}

// Core takes a request to a backend server and its answer back: it charges the
// workspace, retries where that is allowed, and resumes a stream that was cut.
// It is safe for concurrent use.
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
	budget *router.Budget
}

// NewCore returns a core with a full retry budget.
func NewCore(clock timer.Clock, c Charger, f Finder, s Sender, k Checker, b *router.Budget, rec *recorder.Recorder, m *meter.Meter, l *log.Logger) *Core {
	return &Core{clock: clock, charger: c, finder: f, sender: s, checker: k, budget: b, recorder: rec, meter: m, log: l}
}

// progress is what a caller has received so far.
type progress struct {
	request *Request
	out     Output
	history History
	// next is the index of the next event that the caller needs.
	next uint64
	// begun is set once the head was passed on.
	begun bool
	// open is set once an attempt has ended that may have run; runs counts them.
	open bool
	runs int
	// first is the time to the first event, last the instant of the latest one, and
	// gap the longest pause between two.
	first time.Duration
	last  time.Duration
	gap   time.Duration
	// server is the backend server of the last attempt.
	server string
}

// Serve takes r to a backend server and passes the answer to out. It returns what
// came after the last event. An error is a *refuser.Refusal.
func (c *Core) Serve(ctx context.Context, r *Request, out Output) (any, error) {
	p := &progress{request: r, out: out, next: r.From, history: History{Tried: map[string]bool{}}}
	bill, err := c.charger.Charge(ctx, r)
	if err != nil {
		return nil, c.refused(p, err)
	}
	c.earn(r.Pool)
	end, err := c.attempts(ctx, p)
	bill.Settle(c.used(p, end, err))
	if err != nil {
		return nil, c.refused(p, err)
	}
	c.served(p)
	return end, nil
}

// Usage is an end of an answer that tells the tokens used.
type Usage interface {
	Used() float64
}

// used is the upper bound of the tokens that a request used.
func (c *Core) used(p *progress, end any, err error) float64 {
	r := p.request
	if err == nil {
		if u, ok := end.(Usage); ok {
			return u.Used()
		}
		return r.Cost
	}
	if p.next == r.From && refuser.Of(err).Never() {
		return 0
	}
	return r.Cost - float64(r.Output) + float64(p.next-r.From)
}

// attempts tries backend servers until one has finished the answer.
func (c *Core) attempts(ctx context.Context, p *progress) (any, error) {
	for {
		asked := c.clock()
		place, err := c.finder.Find(ctx, p.request, &p.history)
		c.meter.Waited(c.clock() - asked)
		if err != nil {
			return nil, outcome(err, p.open)
		}
		p.history.Tried[place.Name] = true
		p.server = place.Name
		end, err := c.attempt(ctx, p, place)
		if err == nil {
			return end, nil
		}
		p.note(err)
		if !c.again(p, err) {
			return nil, outcome(err, p.open)
		}
	}
}

// note takes note of an attempt that failed.
func (p *progress) note(err error) {
	p.history.Last = err
	if !refuser.Of(err).Never() {
		p.open = true
		p.runs++
	}
}

// outcome is what the caller is told. If an earlier attempt may have run, that
// the last one has not does not mean that nothing ran.
func outcome(err error, open bool) error {
	r := refuser.Of(err)
	if open && r.Never() {
		return refuser.Unknown(r.Kind(), r.Text()).After(r.Retry())
	}
	return r
}

// again reports whether to try another backend server after err.
func (c *Core) again(p *progress, err error) bool {
	f, r := refuser.Of(err), p.request
	if !f.Never() && r.Kind == Single {
		return false
	}
	if r.Attempts > 0 && p.runs >= r.Attempts {
		return false
	}
	switch f.Kind() {
	case refuser.Absent, refuser.Leaving, refuser.Busy, refuser.Stale, refuser.Lost, refuser.Failed, refuser.Silent:
	default:
		return false
	}
	if c.clock() >= r.Deadline || arrived(f) && !c.spend(p.request.Pool) {
		return false
	}
	c.meter.Retry(f.Kind().String())
	c.recorder.Note(time.Now(), "request/"+r.ID, "attempt at "+p.server+" ended: "+f.Error())
	c.log.Info().Str("request", r.ID).Str("server", p.server).Str("kind", f.Kind().String()).
		Bool("never", f.Never()).Uint64("next", p.next).Str("cause", f.Text()).Msg("retry")
	return true
}

// arrived reports whether the request may have reached the backend server of an attempt
// that failed. An attempt that has not adds nothing to the server's load.
func arrived(f *refuser.Refusal) bool {
	return !f.Never() || f.Kind() != refuser.Lost && f.Kind() != refuser.Silent
}

// Share makes the part of the retry budget that of one entry among several.
func (c *Core) Share(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Share(entries)
}

// earn adds one request to the retry budget.
func (c *Core) earn(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Request(pool)
}

// spend takes one retry out of the budget.
func (c *Core) spend(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Retry(pool)
}

// served counts and records a whole answer.
func (c *Core) served(p *progress) {
	r := p.request
	c.meter.Request(r.Workspace, "served")
	c.meter.RequestEnded("served", c.clock()-r.Started)
	c.log.Info().Str("request", r.ID).Str("workspace", r.Workspace).Str("route", r.Route).Str("model", r.Model).
		Str("adapter", r.Adapter).Str("server", p.server).Uint64("events", p.next-r.From).
		Int64("first", p.first.Milliseconds()).Int64("gap", p.gap.Milliseconds()).Int64("took", (c.clock()-r.Started).Milliseconds()).
		Float64("tokens", r.Cost).Int("tried", len(p.history.Tried)).Msg("served")
}

// refused counts and records a refusal and hands it back.
func (c *Core) refused(p *progress, err error) error {
	f, r := refuser.Of(err), p.request
	c.meter.Request(r.Workspace, f.Kind().String())
	c.meter.RequestEnded(f.Kind().String(), c.clock()-r.Started)
	switch f.Kind() {
	case refuser.Limited, refuser.TooLarge, refuser.Canceled:
	default:
		c.meter.Wrongful(r.Workspace, f.Kind().String())
	}
	c.recorder.Note(time.Now(), "request/"+r.ID, "workspace "+r.Workspace+", route "+r.Route+", model "+r.Model+": "+f.Error())
	c.log.Info().Str("request", r.ID).Str("workspace", r.Workspace).Str("model", r.Model).
		Str("adapter", r.Adapter).Str("server", p.server).Str("kind", f.Kind().String()).Bool("never", f.Never()).
		Uint64("events", p.next-r.From).Uint64("config", r.Config).Float64("tokens", r.Cost).
		Int64("took", (c.clock()-r.Started).Milliseconds()).Int64("retry", f.Retry().Milliseconds()).
		Str("cause", f.Text()).Msg("refused")
	return f
}
