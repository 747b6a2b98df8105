// Package reserver decides what callers' connections may hold of the memory and the descriptors of
// a process, and which of them end when it is too much. It does no I/O: whoever owns the
// connections reports what happens on them and ends those that it names.
package reserver

import (
	"container/list"
	"sync"
	"time"
)

//go:generate stringer -type=Cause,Phase -linecomment

// Cause is why a connection has to end, or why a request was refused.
type Cause int

// Causes.
const (
	None         Cause = iota // none
	Budget                    // budget
	Connections               // connections
	HeadTooLarge              // head_too_large
	HeadTimeout               // head_timeout
	IdleTimeout               // idle_timeout
	BodyTimeout               // body_timeout
	AnswerUnread              // answer_unread
)

// Phase is what a connection waits for.
type Phase int

// Phases of a connection.
const (
	// Idle is the phase before the first byte of a request.
	Idle Phase = iota // idle
	// Head is the phase until the head of a request is complete.
	Head // head
	// Body is the phase until the body of a request is complete.
	Body // body
	// Serving is the phase in which the process works on a request.
	Serving // serving
)

// Group is a set of connections with a limit of their number of its own.
type Group int

// Groups.
const (
	// Callers are the connections to the listeners for callers and for operators.
	Callers Group = iota
	// Control are those to the listeners of metrics, health and readiness.
	Control
	// Peers are the requests of other processes of the fleet.
	Peers
	groups
)

// Sizes that are reserved without being measured, in bytes.
const (
	// ConnectionBytes is reserved for a connection: its buffers and the stack of its goroutine.
	ConnectionBytes = 12 << 10
	// lineBytes is reserved for each line of a head. A header in a map takes 144 bytes at least,
	// and a request that is passed on has three of these maps.
	lineBytes = 512
	// headFactor multiplies the bytes of a head: they are in memory as read and as parsed.
	headFactor = 2
	// smallShare is the share of the budget that is kept for requests that hold at most
	// smallHolding. Ordinary requests do, so that large ones leave room for them.
	smallHolding = 64 << 10
	smallShare   = 0.125
)

// Times after which a connection may end in favour of others.
const (
	// stallTime is how long a request may have made no progress before it ends in favour of
	// others when the budget is exhausted.
	stallTime = time.Second
	// idleStallTime is the same for a connection without a request when there are too many.
	idleStallTime = 100 * time.Millisecond
	// searchInterval is the shortest time between two searches of all connections for one that
	// stalls, so that a crowd does not cost the process more than a few percent of a core.
	searchInterval = 5 * time.Millisecond
)

// Numbers of waiting connections from which a further request is refused at once instead of waiting
// for budget: maxLargeWaiting for a request that would hold more than smallHolding, and maxWaiting for
// any other.
const (
	maxLargeWaiting = 32
	maxWaiting      = 256
)

// Limits are the limits of what callers hold.
type Limits struct {
	// Bytes bounds the memory that connections and requests hold.
	Bytes int64
	// Connections bounds the number of connections of each group.
	Connections [groups]int
	// HeadBytes is the size of the largest head.
	HeadBytes int64
	// HeadTimeout bounds the time until a head is complete, and IdleTimeout the time without a
	// request.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// BodySilence bounds the time without a byte of a body. BodyTimeout bounds the time until a
	// body is complete; each BodyRate bytes that have arrived prolong it by one second.
	BodySilence time.Duration
	BodyTimeout time.Duration
	BodyRate    int64
	// AnswerSilence bounds the time in which a caller reads nothing of an answer.
	AnswerSilence time.Duration
}

// Holding is what one connection holds. It is guarded by its Reserver.
type Holding struct {
	owner any
	group Group
	phase Phase
	// bytes is all that is reserved.
	bytes int64
	// headBytes is the number of bytes of the current head, and bodyBytes that of its body.
	headBytes int64
	bodyBytes int64
	// since is the start of the phase, and progress the instant of the last byte.
	since    time.Duration
	progress time.Duration
	// writing is set while bytes of an answer wait to be taken, and waiting while the connection
	// waits for budget and cannot make progress.
	writing bool
	waiting bool
	// untimed is set for a connection whose heads and idle times are bounded elsewhere.
	untimed bool
	cause   Cause
	// idle is the place in the list of idle connections, or nil.
	idle *list.Element
}

// Owner returns the value that Admit was called with.
func (h *Holding) Owner() any { return h.owner }

// Reserver keeps the budget. It is safe for concurrent use.
type Reserver struct {
	mu     sync.Mutex
	limits Limits
	open   map[*Holding]struct{}
	counts [groups]int
	bytes  int64
	// idle holds the idle connections of each group, the one without a request for longest first.
	idle [groups]*list.List
	// waiting is the number of connections that wait for budget, and searchedAt the instant at which
	// all connections were last searched.
	waiting    int
	searchedAt time.Duration
}

// New returns a Reserver without connections.
func New(limits Limits) *Reserver {
	r := &Reserver{limits: limits, open: map[*Holding]struct{}{}, searchedAt: -searchInterval}
	for i := range r.idle {
		r.idle[i] = list.New()
	}
	return r
}

// SetRequestLimits replaces the limits of heads and idle connections.
func (r *Reserver) SetRequestLimits(headBytes int64, headTimeout, idleTimeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.HeadBytes, r.limits.HeadTimeout, r.limits.IdleTimeout = headBytes, headTimeout, idleTimeout
}

// Limits returns the limits in force.
func (r *Reserver) Limits() Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits
}

// Held returns the number of connections and the bytes that they hold.
func (r *Reserver) Held() (connections int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open), r.bytes
}

// Admit adds a connection. h is nil if there is no room for it. victim, if not nil, is a connection
// that has to end in its favour. untimed is set if heads and idle times are bounded elsewhere.
func (r *Reserver) Admit(now time.Duration, owner any, group Group, untimed bool) (h, victim *Holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[group] >= r.limits.Connections[group] {
		if victim = r.connectionVictim(now, group); victim == nil {
			return nil, nil
		}
		r.end(victim, Connections)
		// Its descriptor is free once it is closed; until then there is one more.
		r.remove(victim)
	}
	if needed := r.bytes + ConnectionBytes - r.limits.Bytes; needed > 0 {
		if victim == nil && r.maySearch(now) {
			victim = r.budgetVictim(now, nil, ConnectionBytes, needed)
		}
		return nil, victim
	}
	h = &Holding{owner: owner, group: group, since: now, progress: now, bytes: ConnectionBytes, untimed: untimed}
	r.open[h] = struct{}{}
	r.setPhase(now, h, Idle)
	r.counts[group]++
	r.bytes += ConnectionBytes
	return h, victim
}

// connectionVictim returns the connection of a group that ends in favour of a new one, or nil. Of the
// connections without a request, or else of those whose requests stall, it is the one that has made no
// progress for longest.
func (r *Reserver) connectionVictim(now time.Duration, group Group) *Holding {
	for e := r.idle[group].Front(); e != nil; e = e.Next() {
		h := e.Value.(*Holding)
		if now-h.since < idleStallTime {
			break
		}
		if h.cause == None {
			return h
		}
	}
	if !r.maySearch(now) {
		return nil
	}
	var best *Holding
	for h := range r.open {
		if h.group == group && h.cause == None && h.stalls(now) && (best == nil || h.progress < best.progress) {
			best = h
		}
	}
	return best
}

// maySearch reports whether all connections may be searched now, and if so, records the search.
func (r *Reserver) maySearch(now time.Duration) bool {
	if now-r.searchedAt < searchInterval {
		return false
	}
	r.searchedAt = now
	return true
}

// setPhase begins a phase.
func (r *Reserver) setPhase(now time.Duration, h *Holding, phase Phase) {
	h.phase, h.since, h.progress = phase, now, now
	if h.idle != nil {
		r.idle[h.group].Remove(h.idle)
		h.idle = nil
	}
	if phase == Idle {
		h.idle = r.idle[h.group].PushBack(h)
	}
}

// setWaiting records whether a connection waits for budget.
func (r *Reserver) setWaiting(now time.Duration, h *Holding, waiting bool) {
	switch {
	case waiting && !h.waiting:
		r.waiting++
	case !waiting && h.waiting:
		r.waiting--
		// The process did not read from the connection meanwhile.
		h.progress = now
	}
	h.waiting = waiting
}

// stalls reports whether a request has made no progress for stallTime because of its caller.
func (h *Holding) stalls(now time.Duration) bool {
	callersTurn := h.phase == Head || h.phase == Body || h.writing
	return callersTurn && !h.waiting && now-h.progress >= stallTime
}

// end marks a connection as one that has to end.
func (r *Reserver) end(h *Holding, cause Cause) { h.cause = cause }

// Remove removes a connection that is closed, with all that it holds. It does nothing the second
// time.
func (r *Reserver) Remove(h *Holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(h)
}

func (r *Reserver) remove(h *Holding) {
	if _, ok := r.open[h]; !ok {
		return
	}
	delete(r.open, h)
	r.setWaiting(h.progress, h, false)
	if h.idle != nil {
		r.idle[h.group].Remove(h.idle)
		h.idle = nil
	}
	r.counts[h.group]--
	r.bytes -= h.bytes
	h.bytes = 0
}

// Outcome is the outcome of an attempt to reserve bytes.
type Outcome int

// Outcomes.
const (
	// Granted means that the bytes are reserved.
	Granted Outcome = iota
	// Wait means that nothing was reserved, and that a later attempt may succeed.
	Wait
	// Refused means that nothing was reserved and that the request is refused.
	Refused
)

// Reserve reserves n bytes for the request on a connection. victim, if not nil, is a connection
// that has to end in its favour. After Wait, StopWaiting must be called unless Reserve is called again.
func (r *Reserver) Reserve(now time.Duration, h *Holding, n int64) (outcome Outcome, victim *Holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[h]; !ok || h.cause != None {
		return Refused, nil
	}
	available, waitLimit := r.limits.Bytes, maxWaiting
	if h.bytes+n > smallHolding {
		available -= int64(smallShare * float64(r.limits.Bytes))
		waitLimit = maxLargeWaiting
	}
	if r.bytes+n <= available {
		h.bytes += n
		r.bytes += n
		r.setWaiting(now, h, false)
		return Granted, nil
	}
	if r.maySearch(now) {
		victim = r.budgetVictim(now, h, h.bytes+n, r.bytes+n-available)
	}
	if !h.waiting && r.waiting >= waitLimit {
		return Refused, victim
	}
	r.setWaiting(now, h, true)
	return Wait, victim
}

// budgetVictim marks and returns the connection that ends in favour of the asking one, which would
// then hold total bytes and for which needed bytes have to be returned. Connections that stall may
// end. In favour of a small request, so may one whose body is in arrival and that holds more than
// twice as much. The one with the greatest product of bytes and time without progress is chosen. It
// returns nil if there is none, or if those that are ending already hold enough.
func (r *Reserver) budgetVictim(now time.Duration, asking *Holding, total, needed int64) *Holding {
	var best *Holding
	var bestRank float64
	for h := range r.open {
		if h.cause != None {
			needed -= h.bytes
			continue
		}
		yields := total <= smallHolding && h.phase == Body && h.bytes > 2*total
		if h == asking || !yields && !h.stalls(now) {
			continue
		}
		// The added millisecond lets the size decide among connections that are equally active.
		if rank := float64(h.bytes) * (now - h.progress + time.Millisecond).Seconds(); rank > bestRank {
			best, bestRank = h, rank
		}
	}
	if needed <= 0 || best == nil {
		return nil
	}
	r.end(best, Budget)
	return best
}

// StopWaiting records that a connection does not wait for budget any more.
func (r *Reserver) StopWaiting(now time.Duration, h *Holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setWaiting(now, h, false)
}

// Release returns n bytes of a connection.
func (r *Reserver) Release(h *Holding, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	r.bytes -= n
}

// HeadRead records n bytes with some line ends of a head. It returns how much to reserve for them,
// and the number of bytes of the head so far.
func (r *Reserver) HeadRead(now time.Duration, h *Holding, n, lines int64) (reserve, headBytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.phase == Idle {
		r.setPhase(now, h, Head)
	}
	h.progress = now
	h.headBytes += n
	return headFactor*n + lineBytes*lines, h.headBytes
}

// BodyRead records n bytes that arrived after the head.
func (r *Reserver) BodyRead(now time.Duration, h *Holding, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.progress = now
	h.bodyBytes += n
}

// Writing records that an answer begins to be written, or that a part of it was taken, and
// whether more is to be written.
func (r *Reserver) Writing(now time.Duration, h *Holding, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.writing, h.progress = more, now
}

// IsWriting reports whether bytes of an answer wait to be taken by the caller.
func (r *Reserver) IsWriting(h *Holding) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.writing
}

// Enter begins a phase. It returns false if the connection has to end, so that a request whose
// body has just become complete is not run after it was refused. Idle returns all that the last
// request held.
func (r *Reserver) Enter(now time.Duration, h *Holding, phase Phase) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.cause != None {
		return false
	}
	if _, ok := r.open[h]; !ok {
		return false
	}
	r.setPhase(now, h, phase)
	switch phase {
	case Idle:
		r.bytes -= h.bytes - ConnectionBytes
		h.bytes = ConnectionBytes
		h.headBytes, h.bodyBytes, h.writing = 0, 0, false
	case Body:
		h.bodyBytes = 0
	}
	return true
}

// Cause returns why a connection has to end, or None.
func (r *Reserver) Cause(h *Holding) Cause {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.cause
}

// Expired marks and returns the connections that have exceeded one of the time limits.
func (r *Reserver) Expired(now time.Duration) []*Holding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []*Holding
	for h := range r.open {
		if h.cause != None {
			continue
		}
		if cause := r.limits.exceeded(now, h); cause != None {
			r.end(h, cause)
			expired = append(expired, h)
		}
	}
	return expired
}

// exceeded returns the time limit that a connection has exceeded, or None.
func (l *Limits) exceeded(now time.Duration, h *Holding) Cause {
	silent := now - h.progress
	switch {
	case h.waiting:
	case h.writing:
		if silent >= l.AnswerSilence {
			return AnswerUnread
		}
	case h.phase == Body:
		// A request on a connection that carries several at a time has no phase of its own.
		if silent >= l.BodySilence || now-h.since >= l.BodyTimeout+time.Duration(h.bodyBytes/max(1, l.BodyRate))*time.Second {
			return BodyTimeout
		}
	case h.untimed:
	case h.phase == Head && now-h.since >= l.HeadTimeout:
		return HeadTimeout
	case h.phase == Idle && silent >= l.IdleTimeout:
		return IdleTimeout
	}
	return None
}
