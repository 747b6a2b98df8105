package queuer

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/faker"
)

func TestMain(m *testing.M) {
	faker.FixRapidSeed()
	os.Exit(m.Run())
}

func push(q *Queue[int], workspace string, value int, deadline time.Duration) bool {
	_, ok := q.Push(Item[int]{Workspace: workspace, Weight: 1, Cost: 1, Deadline: deadline, Value: value})
	return ok
}

// TestBurstDoesNotStarve queues a burst of one workspace before the requests of another,
// which must not wait for the burst to end.
func TestBurstDoesNotStarve(t *testing.T) {
	q := New[int](1000)
	for i := range 500 {
		push(q, "large", i, time.Hour)
	}
	for i := range 10 {
		push(q, "small", i, time.Hour)
	}
	served := 0
	for range 20 {
		it, ok := q.Pop()
		assert.Assert(t, ok)
		if it.Workspace == "small" {
			served++
		}
	}
	assert.Assert(t, served >= 9, "%d of 20", served)
}

// TestWeights checks that two workspaces with a backlog are served in proportion to their
// weights.
func TestWeights(t *testing.T) {
	q := New[int](1000)
	for range 300 {
		q.Push(Item[int]{Workspace: "a", Weight: 3, Cost: 10})
		q.Push(Item[int]{Workspace: "b", Weight: 1, Cost: 10})
	}
	served := 0
	for range 200 {
		it, _ := q.Pop()
		if it.Workspace == "a" {
			served++
		}
	}
	assert.Assert(t, served >= 148 && served <= 152, "%d of 200", served)
}

// TestIdleWorkspaceKeepsFinishTag lets a workspace send one request at a time while another
// has a backlog. Its requests cost four times as much, so it must get fewer turns,
// although it has no request queued in between.
func TestIdleWorkspaceKeepsFinishTag(t *testing.T) {
	q := New[int](1000)
	for i := range 100 {
		push(q, "backlog", i, time.Hour)
	}
	served := 0
	for range 40 {
		q.Push(Item[int]{Workspace: "single", Weight: 1, Cost: 4, Deadline: time.Hour})
		it, _ := q.Pop()
		if it.Workspace == "single" {
			served++
		}
		q.Drop(func(it Item[int]) bool { return it.Workspace == "single" })
	}
	assert.Assert(t, served <= 12, "%d of 40 turns for four times the cost", served)
}

func TestEarliestDeadlineFirst(t *testing.T) {
	q := New[int](10)
	push(q, "w", 1, 3*time.Second)
	push(q, "w", 2, time.Second)
	push(q, "w", 3, 2*time.Second)
	var order []int
	for it, ok := q.Pop(); ok; it, ok = q.Pop() {
		order = append(order, it.Value)
	}
	assert.DeepEqual(t, order, []int{2, 3, 1})
}

func TestExpire(t *testing.T) {
	q := New[int](10)
	push(q, "w", 1, 3*time.Second)
	push(q, "w", 2, time.Second)
	expired := q.Expire(500*time.Millisecond, 600*time.Millisecond)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Value, 2)
	assert.Equal(t, q.Len(), 1)
}

// TestFullQueueEvicts fills the queue with requests of one workspace. A request of another
// one replaces the request with the latest deadline.
func TestFullQueueEvicts(t *testing.T) {
	q := New[int](4)
	for i := range 4 {
		assert.Assert(t, push(q, "large", i, time.Duration(i)))
	}
	assert.Assert(t, !push(q, "large", 5, 0))
	evicted, ok := q.Push(Item[int]{Workspace: "small", Cost: 1})
	assert.Assert(t, ok)
	assert.Equal(t, evicted.Value, 3)
	assert.Equal(t, q.Len(), 4)
}

// TestEveryRequestAccountedFor makes random sequences of calls. No request may be lost or
// counted twice: the queue must hold the accepted requests less the removed ones.
func TestEveryRequestAccountedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](rapid.IntRange(1, 8).Draw(t, "limit"))
		pushed, removed := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				deadline := time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))
				evicted, ok := q.Push(Item[int]{Workspace: workspace, Cost: 1, Deadline: deadline})
				if ok {
					pushed++
				}
				if evicted != nil {
					removed++
				}
			case 2:
				if _, ok := q.Pop(); ok {
					removed++
				}
			case 3:
				removed += len(q.Expire(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")), 0))
			}
			if q.Len() != pushed-removed {
				t.Fatalf("%d queued, but %d pushed and %d removed", q.Len(), pushed, removed)
			}
		}
	})
}
