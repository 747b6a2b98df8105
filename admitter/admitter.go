// Package admitter checks callers' requests against the configuration in force and turns
// those that are admitted into requests of the dispatcher.
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

// defaultTimeout is the time allowed for a request without a deadline of its own, on a
// route without a timeout.
const defaultTimeout = time.Minute

// unconfiguredRetryAfter is the delay after which a caller may retry at a process that has
// no configuration yet, or none that says where the request goes.
const unconfiguredRetryAfter = 500 * time.Millisecond

// CallerRequest is a caller's request before admission.
type CallerRequest struct {
	ID   string
	Host string
	// Path is the path of the URL, without the query.
	Path string
	// Key is the key that the caller presented, or empty.
	Key string
	// Timeout is how long the caller waits, or 0 if it does not say.
	Timeout time.Duration
	// Model is the name of a model or an adapter, or empty.
	Model string
	// InputTokens is the length of the prompt and MaxOutputTokens the limit of the answer.
	// TokensKnown is set if the caller states both.
	InputTokens     int
	MaxOutputTokens int
	TokensKnown     bool
	// OutputHint is the caller's estimate of the length of the answer, or 0 if there is none.
	OutputHint int
	Prompt     []dispatcher.PromptPart
	// FirstIndex is the index of the first event that the caller wants.
	FirstIndex uint64
	// Resumes is the ID of the request whose answer began the stream that the caller takes up, or
	// empty.
	Resumes string
	// Digest is the hash of what makes the backend server's work on the request, but for its
	// workspace.
	Digest  uint64
	Content any
}

// streamID returns the ID of the request that began the stream that the caller asks for: its own,
// unless it takes a stream up.
func (r *CallerRequest) streamID() string {
	if r.FirstIndex > 0 && r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// Admit returns the request to be served. An error is a *refuser.Refusal.
func Admit(now time.Duration, view *configurer.View, req *CallerRequest) (*dispatcher.Request, error) {
	if view.Version() == 0 {
		return nil, refuser.New(refuser.StaleConfiguration, "no configuration is known yet").WithRetryAfter(unconfiguredRetryAfter)
	}
	route := view.MatchRoute(req.Host, req.Path)
	if route == nil {
		return nil, refuser.New(refuser.NotFound, "no such route")
	}
	pool := choosePool(route, req.streamID())
	if pool == "" {
		return nil, refuser.New(refuser.StaleConfiguration, "the route cannot be used").WithRetryAfter(unconfiguredRetryAfter)
	}
	key, err := authenticate(view, route, req)
	if err != nil {
		return nil, err
	}
	admitted := &dispatcher.Request{
		ID:              req.ID,
		Workspace:       key.GetWorkspace(),
		KeyID:           key.GetId(),
		Route:           route.GetName(),
		Kind:            requestKind(route),
		Pool:            pool,
		Prompt:          req.Prompt,
		InputTokens:     req.InputTokens,
		MaxOutputTokens: req.MaxOutputTokens,
		OutputHint:      req.OutputHint,
		Priority:        int(route.GetPriority()),
		MaxAttempts:     int(route.GetAttempts()),
		ConfigVersion:   view.Version(),
		Started:         now,
		MaxGap:          time.Duration(route.GetGap()) * time.Millisecond,
		FirstIndex:      req.FirstIndex,
		Resumes:         req.Resumes,
		Digest:          dispatcher.NewDigest(key.GetWorkspace(), req.Digest),
		Content:         req.Content,
	}
	admitted.Model, admitted.Adapter = splitModel(req.Model)
	admitted.Homes = dispatcher.NewHomes(route.GetRegions(), view.Workspace(admitted.Workspace).GetRegions())
	if workspace := view.Workspace(admitted.Workspace); workspace != nil {
		admitted.Cost = tokenCost(workspace, req)
		if workspace.Priority != nil {
			admitted.Priority = int(workspace.GetPriority())
		}
	}
	admitted.TargetTime, admitted.Deadline = targetAndDeadline(now, route, req.Timeout)
	admitted.FirstEventDeadline = admitted.Deadline
	if route.GetStream() {
		admitted.FirstEventDeadline = min(admitted.Deadline, now+firstEventTimeout(route))
	}
	return admitted, nil
}

// A caller of a stream is assumed to time out if no event arrives for minFirstEventTimeout,
// targetFactor times the route's target time or gapFactor times its longest gap, whichever
// is longest.
const (
	minFirstEventTimeout = 2 * time.Second
	targetFactor         = 4
	gapFactor            = 8
)

// firstEventTimeout returns how long a caller waits for the first event of a stream.
func firstEventTimeout(r *wire.Route) time.Duration {
	target, gap := time.Duration(r.GetGoal())*time.Millisecond, time.Duration(r.GetGap())*time.Millisecond
	return max(minFirstEventTimeout, targetFactor*target, gapFactor*gap)
}

// authenticate returns the caller's key, or nil on an open route and in a configuration
// without workspaces.
func authenticate(view *configurer.View, route *wire.Route, req *CallerRequest) (*wire.Key, error) {
	if route.GetOpen() || len(view.Workspaces()) == 0 {
		return nil, nil
	}
	return view.AuthenticateOpaque(req.Key)
}

// requestKind returns the kind of the requests on a route.
func requestKind(r *wire.Route) dispatcher.Kind {
	switch {
	case r.GetStream() && r.GetResumable():
		return dispatcher.Resumable
	case r.GetIdempotent():
		return dispatcher.Idempotent
	}
	return dispatcher.AtMostOnce
}

// choosePool returns the pool of a request. On a route with several pools, a hash of the
// ID of the request that began the stream decides, in proportion to their weights.
func choosePool(route *wire.Route, id string) string {
	totalWeight := uint64(0)
	for _, s := range route.GetSplits() {
		totalWeight += uint64(s.GetWeight())
	}
	if totalWeight == 0 {
		return route.GetPool()
	}
	point := router.Hash(id) % totalWeight
	for _, s := range route.GetSplits() {
		if point < uint64(s.GetWeight()) {
			return s.GetPool()
		}
		point -= uint64(s.GetWeight())
	}
	return route.GetPool()
}

// splitModel returns the base model of a name and, if the name is that of an adapter, the
// full name as the adapter.
func splitModel(name string) (model, adapter string) {
	base, _, found := strings.Cut(name, "/")
	if found {
		return base, name
	}
	return name, ""
}

// tokenCost returns the number of tokens that the workspace is charged: those that the
// caller stated, or the workspace's fixed charge.
func tokenCost(workspace *wire.Workspace, req *CallerRequest) float64 {
	if req.TokensKnown {
		return float64(req.InputTokens + req.MaxOutputTokens)
	}
	return float64(workspace.GetPlain())
}

// targetAndDeadline returns the instants of the route's target time and of the deadline,
// which is the earlier of the caller's and the route's.
func targetAndDeadline(now time.Duration, route *wire.Route, callerTimeout time.Duration) (target, deadline time.Duration) {
	timeout := callerTimeout
	routeTimeout := time.Duration(route.GetTimeout()) * time.Millisecond
	if timeout == 0 || routeTimeout > 0 && routeTimeout < timeout {
		timeout = routeTimeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return now + time.Duration(route.GetGoal())*time.Millisecond, now + timeout
}
