package queuer_test

import (
	"fmt"
	"time"

	"oleanderstall/queuer"
)

// A burst of one workspace does not starve another.
func ExampleQueue() {
	q := queuer.New[string](10)
	for _, name := range []string{"a1", "a2", "a3"} {
		q.Push(queuer.Item[string]{Workspace: "a", Cost: 1, Deadline: time.Second, Value: name})
	}
	q.Push(queuer.Item[string]{Workspace: "b", Cost: 1, Deadline: 2 * time.Second, Value: "b1"})
	for it, ok := q.Pop(); ok; it, ok = q.Pop() {
		fmt.Print(it.Value, " ")
	}
	// Output: a1 b1 a2 a3
}
