// Package queuer orders the requests that wait at a back end.
//
// Workspaces share the back end by weight (start-time fair queueing). Within a
// workspace, the request with the earliest deadline is served first. Requests that can
// no longer be served in time are removed by Queue.Expire.
package queuer

import (
	"container/heap"
	"time"
)

// Item is one queued request.
type Item[T any] struct {
	Workspace string
	// Weight is the weight of the workspace. Zero and negative values count as 1.
	Weight float64
	// Cost is the cost of the request, in tokens.
	Cost     float64
	Deadline time.Duration
	Value    T
	// seq orders requests with the same deadline by arrival.
	seq uint64
}

// Queue holds queued requests with values of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	limit       int
	length      int
	virtualTime float64
	seq         uint64
	flows       map[string]*flow[T]
	// idleFinishTags holds the finish tags of workspaces that were served and have no queued
	// request.
	idleFinishTags map[string]float64
}

// flow holds the queued requests of one workspace and the virtual finish time of the last
// one served.
type flow[T any] struct {
	finishTag float64
	requests  deadlineHeap[T]
}

// New returns an empty queue that holds at most limit requests.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:          limit,
		flows:          map[string]*flow[T]{},
		idleFinishTags: map[string]float64{},
	}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds item and reports whether it was accepted. A full queue accepts it only if
// its workspace would still have fewer requests than the workspace with the most. It then
// evicts a request of that workspace and returns it.
func (q *Queue[T]) Push(item Item[T]) (evicted *Item[T], ok bool) {
	f := q.flowOf(item.Workspace)
	if q.length >= q.limit {
		evicted = q.evictFor(f)
		if evicted == nil {
			q.removeIfEmpty(item.Workspace, f)
			return nil, false
		}
	}
	q.seq++
	item.seq = q.seq
	heap.Push(&f.requests, item)
	q.length++
	return evicted, true
}

// Pop removes and returns the request to serve next. It reports false if the queue is
// empty.
func (q *Queue[T]) Pop() (Item[T], bool) {
	var next *flow[T]
	for _, f := range q.flows {
		if next == nil || q.servedBefore(f, next) {
			next = f
		}
	}
	if next == nil {
		return Item[T]{}, false
	}
	start := max(next.finishTag, q.virtualTime)
	item := heap.Pop(&next.requests).(Item[T])
	q.length--
	q.virtualTime = start
	next.finishTag = start + item.Cost/weightOf(item)
	q.removeIfEmpty(item.Workspace, next)
	return item, true
}

// Expire removes and returns the requests that cannot be finished before their deadline,
// given that serving one takes at least minService from now.
func (q *Queue[T]) Expire(now, minService time.Duration) []Item[T] {
	return q.Drop(func(it Item[T]) bool { return now+minService >= it.Deadline })
}

// Drop removes and returns the requests for which match returns true.
func (q *Queue[T]) Drop(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for name, f := range q.flows {
		var kept deadlineHeap[T]
		for _, item := range f.requests {
			if match(item) {
				removed = append(removed, item)
			} else {
				kept = append(kept, item)
			}
		}
		f.requests = kept
		heap.Init(&f.requests)
		q.removeIfEmpty(name, f)
	}
	q.length -= len(removed)
	return removed
}

// servedBefore reports whether f is served before g: by virtual start time, then by
// earliest deadline, then by the name of the workspace.
func (q *Queue[T]) servedBefore(f, g *flow[T]) bool {
	fStart, gStart := max(f.finishTag, q.virtualTime), max(g.finishTag, q.virtualTime)
	if fStart != gStart {
		return fStart < gStart
	}
	if f.requests[0].Deadline != g.requests[0].Deadline {
		return f.requests[0].Deadline < g.requests[0].Deadline
	}
	return f.requests[0].Workspace < g.requests[0].Workspace
}

// evictFor makes room for a request of f: it removes and returns the request with the
// latest deadline of the longest flow. It returns nil if that flow is not longer than f
// would become.
func (q *Queue[T]) evictFor(f *flow[T]) *Item[T] {
	var longest *flow[T]
	var workspace string
	for name, g := range q.flows {
		if longest == nil || len(g.requests) > len(longest.requests) ||
			len(g.requests) == len(longest.requests) && name < workspace {
			longest, workspace = g, name
		}
	}
	if longest == nil || len(longest.requests) <= len(f.requests)+1 {
		return nil
	}
	latest := 0
	for i, item := range longest.requests {
		if item.Deadline > longest.requests[latest].Deadline {
			latest = i
		}
	}
	item := heap.Remove(&longest.requests, latest).(Item[T])
	q.length--
	return &item
}

// flowOf returns the flow of a workspace, creating it with the finish tag of its past
// service if needed.
func (q *Queue[T]) flowOf(name string) *flow[T] {
	f := q.flows[name]
	if f == nil {
		f = &flow[T]{finishTag: max(q.virtualTime, q.idleFinishTags[name])}
		delete(q.idleFinishTags, name)
		q.flows[name] = f
	}
	return f
}

// removeIfEmpty removes a flow without requests. Its finish tag is kept while other
// requests are queued; once none is, past service no longer counts.
func (q *Queue[T]) removeIfEmpty(name string, f *flow[T]) {
	if len(f.requests) > 0 {
		return
	}
	delete(q.flows, name)
	if len(q.flows) > 0 {
		q.idleFinishTags[name] = f.finishTag
		return
	}
	clear(q.idleFinishTags)
}

// weightOf returns the weight of the item's workspace, or 1 if it has none.
func weightOf[T any](item Item[T]) float64 {
	if item.Weight > 0 {
		return item.Weight
	}
	return 1
}

// deadlineHeap is a heap of requests, the earliest deadline first.
type deadlineHeap[T any] []Item[T]

func (h deadlineHeap[T]) Len() int      { return len(h) }
func (h deadlineHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h deadlineHeap[T]) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].seq < h[j].seq
}

// Push appends x, an Item[T], for container/heap.
func (h *deadlineHeap[T]) Push(x any) { *h = append(*h, x.(Item[T])) }

// Pop removes the last element, for container/heap.
func (h *deadlineHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	return item
}
