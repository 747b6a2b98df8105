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
	faker.FixSeed()
	os.Exit(m.Run())
}

func push(q *Queue[int], workspace string, value int, deadline time.Duration) bool {
	_, ok := q.Push(Item[int]{Workspace: workspace, Weight: 1, Cost: 1, Deadline: deadline, Value: value})
	return ok
}

// TestBurstDoesNotStarve lets one workspace fill the queue before another sends.
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

// TestWeights serves two backlogged workspaces by their weights.
func TestWeights(t *testing.T) {
	q := New[int](1000)
	for range 300 {
		q.Push(Item[int]{Workspace: "a", Weight: 3, Cost: 10})
		q.Push(Item[int]{Workspace: "b", Weight: 1, Cost: 10})
	}
	n := 0
	for range 200 {
		it, _ := q.Pop()
		if it.Workspace == "a" {
			n++
		}
	}
	assert.Assert(t, n >= 148 && n <= 152, "%d of 200", n)
}

// TestPastServiceCounts lets a workspace send one request at a time while another
// has a backlog.
func TestPastServiceCounts(t *testing.T) {
	q := New[int](1000)
	for i := range 100 {
		push(q, "backlog", i, time.Hour)
	}
	mine := 0
	for range 40 {
		q.Push(Item[int]{Workspace: "single", Weight: 1, Cost: 4, Deadline: time.Hour})
		it, _ := q.Pop()
		if it.Workspace == "single" {
			mine++
		}
		q.Drop(func(it Item[int]) bool { return it.Workspace == "single" })
	}
	assert.Assert(t, mine <= 12, "%d of 40 turns for four times the cost", mine)
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
	gone := q.Expire(500*time.Millisecond, 600*time.Millisecond)
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, gone[0].Value, 2)
	assert.Equal(t, q.Len(), 1)
}

// TestFullQueueMakesRoom fills the queue with one workspace and lets another in.
func TestFullQueueMakesRoom(t *testing.T) {
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

// TestNothingIsLost draws sequences of calls and accounts for every request.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](rapid.IntRange(1, 8).Draw(t, "limit"))
		in, out := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				deadline := time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))
				evicted, ok := q.Push(Item[int]{Workspace: workspace, Cost: 1, Deadline: deadline})
				if ok {
					in++
				}
				if evicted != nil {
					out++
				}
			case 2:
				if _, ok := q.Pop(); ok {
					out++
				}
			case 3:
				out += len(q.Expire(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")), 0))
			}
			if q.Len() != in-out {
				t.Fatalf("%d waiting, %d came and %d went", q.Len(), in, out)
			}
		}
	})
}
