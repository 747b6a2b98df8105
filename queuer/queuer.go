// Package queuer orders the requests that wait at a back end.
//
// Workspaces share the back end by weight (start-time fair queueing); inside a
// workspace the earliest deadline goes first. A request that can no longer be
// served in time leaves the queue at once.
package queuer

import (
	"container/heap"
	"time"
)

// Item is one waiting request.
type Item[T any] struct {
	Workspace string
	// Weight of the workspace; a value below or equal to zero counts as 1.
	Weight float64
	// Cost in tokens.
	Cost     float64
	Deadline time.Duration
	Value    T
	// seq orders requests with the same deadline by their arrival.
	seq uint64
}

// Queue holds waiting requests of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	limit  int
	length int
	clock  float64
	seq    uint64
	lanes  map[string]*lane[T]
	// Finish tags of workspaces with past service and no waiting request.
	past map[string]float64
}

// lane holds the requests of one workspace.
type lane[T any] struct {
	finish float64
	items  items[T]
}

// New returns a queue of at most limit requests.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit: limit,
		lanes: map[string]*lane[T]{},
		past:  map[string]float64{},
	}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds it and reports whether it was accepted. A full queue accepts a
// request of a workspace that holds less than its even part of the queue, and
// hands back in evicted the request that had to make room for it.
func (q *Queue[T]) Push(it Item[T]) (evicted *Item[T], ok bool) {
	l := q.lane(it.Workspace)
	if q.length >= q.limit {
		evicted = q.displace(l)
		if evicted == nil {
			q.tidy(it.Workspace, l)
			return nil, false
		}
	}
	q.seq++
	it.seq = q.seq
	heap.Push(&l.items, it)
	q.length++
	return evicted, true
}

// Pop removes the request that is served next. It reports false if none waits.
func (q *Queue[T]) Pop() (Item[T], bool) {
	var next *lane[T]
	for _, l := range q.lanes {
		if next == nil || q.before(l, next) {
			next = l
		}
	}
	if next == nil {
		return Item[T]{}, false
	}
	start := max(next.finish, q.clock)
	it := heap.Pop(&next.items).(Item[T])
	q.length--
	q.clock = start
	next.finish = start + it.Cost/weight(it)
	q.tidy(it.Workspace, next)
	return it, true
}

// Expire removes the requests that cannot be finished before their deadline if
// they need at least need from now on.
func (q *Queue[T]) Expire(now, need time.Duration) []Item[T] {
	return q.Drop(func(it Item[T]) bool { return now+need >= it.Deadline })
}

// Drop removes the requests for which match is true.
func (q *Queue[T]) Drop(match func(Item[T]) bool) []Item[T] {
	var gone []Item[T]
	for name, l := range q.lanes {
		var kept items[T]
		for _, it := range l.items {
			if match(it) {
				gone = append(gone, it)
			} else {
				kept = append(kept, it)
			}
		}
		l.items = kept
		heap.Init(&l.items)
		q.tidy(name, l)
	}
	q.length -= len(gone)
	return gone
}

// before reports whether l is served before m: by virtual start, then by the
// earlier deadline.
func (q *Queue[T]) before(l, m *lane[T]) bool {
	a, b := max(l.finish, q.clock), max(m.finish, q.clock)
	if a != b {
		return a < b
	}
	if l.items[0].Deadline != m.items[0].Deadline {
		return l.items[0].Deadline < m.items[0].Deadline
	}
	return l.items[0].Workspace < m.items[0].Workspace
}

// displace removes the request with the latest deadline from the longest lane,
// if that lane is longer than l would become.
func (q *Queue[T]) displace(l *lane[T]) *Item[T] {
	var longest *lane[T]
	var owner string
	for name, m := range q.lanes {
		if longest == nil || len(m.items) > len(longest.items) ||
			len(m.items) == len(longest.items) && name < owner {
			longest, owner = m, name
		}
	}
	if longest == nil || len(longest.items) <= len(l.items)+1 {
		return nil
	}
	last := 0
	for i, it := range longest.items {
		if it.Deadline > longest.items[last].Deadline {
			last = i
		}
	}
	it := heap.Remove(&longest.items, last).(Item[T])
	q.length--
	return &it
}

func (q *Queue[T]) lane(name string) *lane[T] {
	l := q.lanes[name]
	if l == nil {
		l = &lane[T]{finish: max(q.clock, q.past[name])}
		delete(q.past, name)
		q.lanes[name] = l
	}
	return l
}

// tidy removes an empty lane and keeps its finish tag for as long as other
// requests wait. Once none waits, past service no longer counts.
func (q *Queue[T]) tidy(name string, l *lane[T]) {
	if len(l.items) > 0 {
		return
	}
	delete(q.lanes, name)
	if len(q.lanes) > 0 {
		q.past[name] = l.finish
		return
	}
	clear(q.past)
}

func weight[T any](it Item[T]) float64 {
	if it.Weight > 0 {
		return it.Weight
	}
	return 1
}

// items is a heap by deadline.
type items[T any] []Item[T]

func (h items[T]) Len() int      { return len(h) }
func (h items[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h items[T]) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].seq < h[j].seq
}

// Push appends x, an Item[T], for container/heap.
func (h *items[T]) Push(x any) { *h = append(*h, x.(Item[T])) }

// Pop removes the last element, for container/heap.
func (h *items[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
