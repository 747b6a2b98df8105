package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/storer"
)

// script answers the calls of a follower one after the other.
type script struct {
	mu      sync.Mutex
	answers []answer
	calls   []string
}

type answer struct {
	changes storer.Changes
	err     error
}

func (s *script) next(call string) (storer.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.changes, a.err
}

// count returns the number of calls so far.
func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *script) Snapshot(context.Context, string) (storer.Changes, error) { return s.next("snapshot") }

func (s *script) Follow(context.Context, string, uint64, time.Duration) (storer.Changes, error) {
	return s.next("follow")
}

func row(key string, version uint64) storer.Row {
	return storer.Row{Key: "t/" + key, Value: []byte(key), Version: version}
}

func gone(key string, version uint64) storer.Row {
	return storer.Row{Key: "t/" + key, Version: version, Deleted: true}
}

// play lets a follower make the calls of s and returns what it passed on.
func play(t *testing.T, s *script) (*Follower, []storer.Row) {
	t.Helper()
	clock := faker.NewClock()
	var got []storer.Row
	l := faker.Silent()
	f := New(Options{Table: "t"}, clock.Now, s, func(_ time.Duration, rows []storer.Row) { got = append(got, rows...) }, l)
	for len(s.answers) > 0 {
		clock.Advance(time.Second)
		if err := f.step(context.Background(), clock.Now()); err != nil {
			f.failed(context.Background(), err)
		}
	}
	return f, got
}

func changes(version uint64, rows ...storer.Row) answer {
	return answer{changes: storer.Changes{Version: version, Rows: rows}}
}

// TestFollow passes each change on once, whatever the store repeats, and never an
// older row after a newer one.
func TestFollow(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answer
		want    []storer.Row
	}{
		{
			"changes",
			[]answer{changes(3, row("a", 1), row("b", 3)), changes(5, row("a", 5)), changes(6, gone("b", 6))},
			[]storer.Row{row("a", 1), row("b", 3), row("a", 5), gone("b", 6)},
		},
		{
			"repeated",
			[]answer{changes(3, row("a", 1)), changes(5, row("a", 5)), changes(5, row("a", 5))},
			[]storer.Row{row("a", 1), row("a", 5)},
		},
		{
			"history gone",
			[]answer{changes(3, row("a", 1), row("b", 2)), {err: &storer.HistoryError{}}, changes(9, row("a", 8))},
			[]storer.Row{row("a", 1), row("b", 2), row("a", 8), gone("b", 9)},
		},
		{
			"stale snapshot",
			[]answer{changes(8, row("a", 8)), {err: &storer.HistoryError{}}, changes(5, row("a", 4), row("c", 3))},
			[]storer.Row{row("a", 8)},
		},
		{"stale snapshot brings nothing back", []answer{
			changes(3, row("a", 1)), changes(9, gone("a", 9)), {err: &storer.HistoryError{}}, changes(5, row("a", 1)),
		}, []storer.Row{row("a", 1), gone("a", 9)}},
		{"stale snapshot removes nothing newer", []answer{
			changes(3), changes(9, row("a", 9)), {err: &storer.HistoryError{}}, changes(5),
		}, []storer.Row{row("a", 9)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, got := play(t, &script{answers: c.answers})
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestProven counts the age of the copy from before the call that confirmed it,
// and knows when the store was lost and came back.
func TestProven(t *testing.T) {
	s := &script{answers: []answer{changes(3), {err: &storer.RefusedError{Status: 503}}}}
	f, _ := play(t, s)
	at, ok := f.Proven()
	assert.Assert(t, ok)
	assert.Equal(t, at, time.Hour+time.Second)
	_, answers := f.AnsweringSince()
	assert.Assert(t, !answers)
}

// TestHurry calls early if there is news elsewhere, and once for many such words.
func TestHurry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		clock := func() time.Duration { return time.Hour + time.Since(begun) }
		s := &script{answers: []answer{changes(1), changes(2), changes(3), changes(4)}}
		l := faker.Silent()
		f := New(Options{Table: "t", Period: time.Second}, clock, s, func(time.Duration, []storer.Row) {}, l)
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		synctest.Wait()
		assert.Equal(t, s.count(), 1)
		for range 5 {
			f.Wake()
		}
		time.Sleep(time.Second / hurryParts)
		synctest.Wait()
		assert.Equal(t, s.count(), 2)
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, s.count(), 2)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, s.count(), 3)
		cancel()
		<-f.Done()
	})
}
