package follower

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/faker"
	"oleanderstall/storer"
)

// script is a storer.ChangeFeed that returns prepared answers one after the other and
// records the calls.
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

func liveRow(key string, version uint64) storer.Row {
	return storer.Row{Key: "t/" + key, Value: []byte(key), Version: version}
}

func deletedRow(key string, version uint64) storer.Row {
	return storer.Row{Key: "t/" + key, Version: version, Deleted: true}
}

// runScript has a follower make a call for each answer of s, and returns the follower and the
// rows that it passed on.
func runScript(t *testing.T, s *script) (*Follower, []storer.Row) {
	t.Helper()
	clock := faker.NewClock()
	var got []storer.Row
	l := faker.DiscardLogger()
	f := New(Options{Table: "t"}, clock.Now, s, func(_ time.Duration, rows []storer.Row) { got = append(got, rows...) }, l)
	for len(s.answers) > 0 {
		clock.Advance(time.Second)
		if err := f.poll(context.Background(), clock.Now(), 0); err != nil {
			f.recordFailure(context.Background(), err)
		}
	}
	return f, got
}

func changes(version uint64, rows ...storer.Row) answer {
	return answer{changes: storer.Changes{Version: version, Rows: rows}}
}

// TestFollow checks that each change is passed on once, even if the store repeats it, and
// that no older row follows a newer one.
func TestFollow(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answer
		want    []storer.Row
	}{
		{
			"changes",
			[]answer{changes(3, liveRow("a", 1), liveRow("b", 3)), changes(5, liveRow("a", 5)), changes(6, deletedRow("b", 6))},
			[]storer.Row{liveRow("a", 1), liveRow("b", 3), liveRow("a", 5), deletedRow("b", 6)},
		},
		{
			"repeated",
			[]answer{changes(3, liveRow("a", 1)), changes(5, liveRow("a", 5)), changes(5, liveRow("a", 5))},
			[]storer.Row{liveRow("a", 1), liveRow("a", 5)},
		},
		{
			"changes no longer available",
			[]answer{changes(3, liveRow("a", 1), liveRow("b", 2)), {err: &storer.CompactedError{}}, changes(9, liveRow("a", 8))},
			[]storer.Row{liveRow("a", 1), liveRow("b", 2), liveRow("a", 8), deletedRow("b", 9)},
		},
		{
			"stale snapshot",
			[]answer{changes(8, liveRow("a", 8)), {err: &storer.CompactedError{}}, changes(5, liveRow("a", 4), liveRow("c", 3))},
			[]storer.Row{liveRow("a", 8)},
		},
		{"stale snapshot restores nothing", []answer{
			changes(3, liveRow("a", 1)), changes(9, deletedRow("a", 9)), {err: &storer.CompactedError{}}, changes(5, liveRow("a", 1)),
		}, []storer.Row{liveRow("a", 1), deletedRow("a", 9)}},
		{"stale snapshot removes nothing newer", []answer{
			changes(3), changes(9, liveRow("a", 9)), {err: &storer.CompactedError{}}, changes(5),
		}, []storer.Row{liveRow("a", 9)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, got := runScript(t, &script{answers: c.answers})
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestCompleteAsOf checks that the copy counts as complete as of the start of the call that
// confirmed it, and that the store does not count as answering after a failed call.
func TestCompleteAsOf(t *testing.T) {
	s := &script{answers: []answer{changes(3), {err: &storer.RefusedError{Status: 503}}}}
	f, _ := runScript(t, s)
	completeAsOf, ok := f.CompleteAsOf()
	assert.Assert(t, ok)
	assert.Equal(t, completeAsOf, time.Hour+time.Second)
	_, answering := f.AnsweringSince()
	assert.Assert(t, !answering)
}

// TestWake checks that Wake makes the next call early, and that several Wakes make only one
// call.
func TestWake(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() time.Duration { return time.Hour + time.Since(start) }
		s := &script{answers: []answer{changes(1), changes(2), changes(3), changes(4)}}
		l := faker.DiscardLogger()
		f := New(Options{Table: "t", MinInterval: time.Second}, clock, s, func(time.Duration, []storer.Row) {}, l)
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		synctest.Wait()
		assert.Equal(t, s.count(), 1)
		for range 5 {
			f.Wake()
		}
		time.Sleep(time.Second / wakeDivisor)
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

// ofEra returns an answer with the versions of an era.
func ofEra(era uint64, a answer) answer {
	out := answer{changes: storer.Changes{Version: storer.NewVersion(era, a.changes.Version)}, err: a.err}
	for _, r := range a.changes.Rows {
		r.Version = storer.NewVersion(era, r.Version)
		out.changes.Rows = append(out.changes.Rows, r)
	}
	return out
}

// TestCopyAfterRestore guards against rows that count as old, or that are missed, because the store
// has come back from an earlier copy of itself and gives versions out again.
func TestCopyAfterRestore(t *testing.T) {
	before := []answer{ofEra(1, changes(8, liveRow("a", 3), liveRow("b", 8))), {err: &storer.CompactedError{}}}
	restored := ofEra(2, changes(4, liveRow("a", 3), liveRow("c", 4)))
	for _, c := range []struct {
		name     string
		keepLost bool
		later    answer
		want     []string
	}{
		{"rows written anew", false, ofEra(2, changes(5, liveRow("b", 5))), []string{"a", "b", "a", "c", "-b", "b"}},
		{"lost rows kept", true, ofEra(2, changes(5, liveRow("a", 5))), []string{"a", "b", "a", "c", "a"}},
		{"answer of the era before", false, ofEra(1, changes(9, liveRow("a", 9), deletedRow("c", 9))), []string{"a", "b", "a", "c", "-b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := faker.NewClock()
			feed := &script{answers: append(slices.Clone(before), restored, c.later)}
			var got []string
			f := New(Options{Table: "t", KeepLost: c.keepLost}, clock.Now, feed, func(_ time.Duration, rows []storer.Row) {
				for _, r := range rows {
					name := strings.TrimPrefix(r.Key, "t/")
					if r.Deleted {
						name = "-" + name
					}
					got = append(got, name)
				}
			}, faker.DiscardLogger())
			for len(feed.answers) > 0 {
				clock.Advance(time.Second)
				assert.NilError(t, f.poll(context.Background(), clock.Now(), 0))
			}
			assert.DeepEqual(t, got, c.want)
			since, _ := f.AnsweringSince()
			assert.Equal(t, since, time.Hour+2*time.Second)
		})
	}
}

// swallower is a storer.ChangeFeed that answers each call unless it is swallowed, in which case
// the call ends with its context. It records how long it may hold the calls.
type swallower struct {
	mu       sync.Mutex
	swallows bool
	timeouts []time.Duration
}

func (s *swallower) set(swallows bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swallows = swallows
}

// takeTimeouts returns how long the store might hold the calls since the last time.
func (s *swallower) takeTimeouts() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeouts := s.timeouts
	s.timeouts = nil
	return timeouts
}

func (s *swallower) Snapshot(ctx context.Context, table string) (storer.Changes, error) {
	return s.Follow(ctx, table, 0, 0)
}

func (s *swallower) Follow(ctx context.Context, _ string, _ uint64, wait time.Duration) (storer.Changes, error) {
	s.mu.Lock()
	swallowed := s.swallows
	s.timeouts = append(s.timeouts, wait)
	s.mu.Unlock()
	if swallowed {
		wait += time.Second
	}
	select {
	case <-ctx.Done():
		return storer.Changes{}, ctx.Err()
	case <-time.After(wait):
	}
	if swallowed {
		return storer.Changes{}, &faker.OutageError{}
	}
	return storer.Changes{Version: 1}, nil
}

// TestSwallowedCall guards against a reader that waits for a call that the store will never answer:
// once it is given up, or has failed, a quick call follows, and long ones only after that was
// answered.
func TestSwallowedCall(t *testing.T) {
	const long = 25 * time.Second
	for _, c := range []struct {
		name   string
		giveUp func(f *Follower)
	}{
		{"made anew", (*Follower).Restart},
		{"no longer to be held so long", func(f *Follower) { f.SetIntervals(time.Second, time.Millisecond) }},
		{"failed", func(*Follower) { time.Sleep(long + time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				start := time.Now()
				feed := &swallower{}
				f := New(Options{Table: "t", LongPollTimeout: long, MinInterval: time.Millisecond}, func() time.Duration { return time.Hour + time.Since(start) },
					feed, func(time.Duration, []storer.Row) {}, faker.DiscardLogger())
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				// The second call after the snapshot is swallowed.
				time.Sleep(long)
				feed.set(true)
				time.Sleep(long)
				feed.takeTimeouts()
				c.giveUp(f)
				synctest.Wait()
				feed.set(false)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				timeouts := feed.takeTimeouts()
				assert.Assert(t, len(timeouts) >= 2, "%v", timeouts)
				assert.Equal(t, timeouts[0], quickPollTimeout)
				assert.Assert(t, timeouts[len(timeouts)-1] >= time.Second, "%v", timeouts)
				_, answering := f.AnsweringSince()
				assert.Assert(t, answering)
				cancel()
				<-f.Done()
			})
		})
	}
}

// TestRowsWithPrefix checks that the rows under a prefix are returned with the version as of which they
// are complete, without those that were removed.
func TestRowsWithPrefix(t *testing.T) {
	f := New(Options{Table: "t"}, func() time.Duration { return time.Hour }, nil, func(time.Duration, []storer.Row) {}, faker.DiscardLogger())
	row := func(key string, version uint64, deleted bool) storer.Row {
		return storer.Row{Key: key, Version: version, Deleted: deleted}
	}
	f.applyChanges(0, storer.Changes{Version: 3, Rows: []storer.Row{row("t/a", 1, false), row("t/p/x", 2, false), row("t/p/y", 3, false)}}, true)
	rows, version := f.RowsWithPrefix("t/p/")
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, version, uint64(3))
	f.applyChanges(0, storer.Changes{Version: 9, Rows: []storer.Row{row("t/p/x", 9, true)}}, false)
	rows, version = f.RowsWithPrefix("t/p/")
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "t/p/y")
	assert.Equal(t, version, uint64(9))
}
