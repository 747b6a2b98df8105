// Package admitter decides whether a caller's request is served, and turns it into
// a request of the dispatcher under the configuration in force.
package admitter

import (
	"strings"
	"time"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// longestWait is the deadline of a request that names none, on a route without a
// timeout.
const longestWait = time.Minute

// unreadyRetry is when to come back to a process that has no configuration yet.
const unreadyRetry = 500 * time.Millisecond

// Inquiry is a caller's request before its admission.
type Inquiry struct {
	ID   string
	Host string
	// Path is without the query.
	Path string
	// Key is what the caller presented, or empty.
	Key string
	// Left is how long the caller waits, or 0 if it does not say.
	Left time.Duration
	// Model is a model or an adapter, or empty.
	Model string
	// Input and Output are the tokens of the prompt and the most of the answer;
	// Counted is false if the caller does not tell them.
	Input   int
	Output  int
	Counted bool
	Prompt  []dispatcher.Part
	// From is the index of the first event that the caller wants.
	From    uint64
	Content any
}

// Admit returns the request to be served, or a *refuser.Refusal.
func Admit(now time.Duration, view *configurer.View, q *Inquiry) (*dispatcher.Request, error) {
	if view.Version() == 0 {
		return nil, refuser.New(refuser.Stale, "no configuration is known yet").After(unreadyRetry)
	}
	route := view.Match(q.Host, q.Path)
	if route == nil {
		return nil, refuser.New(refuser.NotFound, "no such route")
	}
	key, err := authenticate(view, route, q)
	if err != nil {
		return nil, err
	}
	r := &dispatcher.Request{
		ID:        q.ID,
		Workspace: key.GetWorkspace(),
		Key:       key.GetId(),
		Route:     route.GetName(),
		Kind:      kind(route),
		Pool:      choosePool(route, q.ID),
		Prompt:    q.Prompt,
		Input:     q.Input,
		Output:    q.Output,
		Priority:  int(route.GetPriority()),
		Attempts:  int(route.GetAttempts()),
		Config:    view.Version(),
		Started:   now,
		Gap:       time.Duration(route.GetGap()) * time.Millisecond,
		From:      q.From,
		Content:   q.Content,
	}
	r.Model, r.Adapter = models(q.Model)
	if w := view.Workspace(r.Workspace); w != nil {
		r.Cost = cost(w, q)
		if w.Priority != nil {
			r.Priority = int(w.GetPriority())
		}
	}
	r.Goal, r.Deadline = bounds(now, route, q.Left)
	r.First = r.Deadline
	if route.GetStream() {
		r.First = min(r.Deadline, now+patience(route))
	}
	return r, nil
}

// Callers give a stream up after a pause of patienceLeast, or of so many times the
// route's goal or longest pause, whichever is longest.
const (
	patienceLeast = 2 * time.Second
	patienceGoals = 4
	patienceGaps  = 8
)

// patience is how long a caller waits for the first event of a stream.
func patience(r *wire.Route) time.Duration {
	goal, gap := time.Duration(r.GetGoal())*time.Millisecond, time.Duration(r.GetGap())*time.Millisecond
	return max(patienceLeast, patienceGoals*goal, patienceGaps*gap)
}

func authenticate(view *configurer.View, route *wire.Route, q *Inquiry) (*wire.Key, error) {
	if route.GetOpen() || len(view.Workspaces()) == 0 {
		return nil, nil
	}
	return view.Identify(q.Key)
}

// kind returns what of a request on the route may be repeated.
func kind(r *wire.Route) dispatcher.Kind {
	switch {
	case r.GetStream() && r.GetResumable():
		return dispatcher.Resumable
	case r.GetIdempotent():
		return dispatcher.Idempotent
	}
	return dispatcher.Single
}

// choosePool returns the pool of a request. On a route with several pools, the
// request's id decides, in proportion to their weights.
func choosePool(route *wire.Route, id string) string {
	sum := uint64(0)
	for _, s := range route.GetSplits() {
		sum += uint64(s.GetWeight())
	}
	if sum == 0 {
		return route.GetPool()
	}
	point := router.Hash(id) % sum
	for _, s := range route.GetSplits() {
		if point < uint64(s.GetWeight()) {
			return s.GetPool()
		}
		point -= uint64(s.GetWeight())
	}
	return route.GetPool()
}

// models cuts a name into the base model and the whole name of the adapter.
func models(name string) (model, adapter string) {
	base, _, found := strings.Cut(name, "/")
	if found {
		return base, name
	}
	return name, ""
}

// cost is the number of tokens that the workspace is charged.
func cost(w *wire.Workspace, q *Inquiry) float64 {
	if q.Counted {
		return float64(q.Input + q.Output)
	}
	return float64(w.GetPlain())
}

// bounds returns the instants of the goal and of the deadline, the earlier of the
// caller's and the route's.
func bounds(now time.Duration, route *wire.Route, left time.Duration) (goal, deadline time.Duration) {
	longest := left
	timeout := time.Duration(route.GetTimeout()) * time.Millisecond
	if longest == 0 || timeout > 0 && timeout < longest {
		longest = timeout
	}
	if longest == 0 {
		longest = longestWait
	}
	return now + time.Duration(route.GetGoal())*time.Millisecond, now + longest
}
