package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// Fingerprints in these tests: fatal is the one that crashes servers, shared is a part that
// sound requests hold as well, own ones are held by one request each.
const (
	shared = 1
	middle = 2
	fatal  = 3
	own    = 100
)

// prints returns fingerprints with the given IDs, the first one at depth 0.
func prints(ids ...uint64) []Fingerprint {
	var list []Fingerprint
	for depth, id := range ids {
		list = append(list, Fingerprint{ID: id, Depth: depth})
	}
	return list
}

// process returns the process with a number.
func process(i int) Process { return Process{Server: fmt.Sprintf("engine-%d", i), Started: int64(i)} }

// TestCheck checks, for sequences of crashes and answers, which requests are quarantined.
func TestCheck(t *testing.T) {
	const start = time.Hour
	crashEvery := func(gap time.Duration, n int, ids ...uint64) func(*Quarantiner) {
		return func(q *Quarantiner) {
			for i := range n {
				q.RecordCrash(start+time.Duration(i)*gap, process(i), "p", prints(ids...))
			}
		}
	}
	answerAt := func(at time.Duration) func(ids ...uint64) func(*Quarantiner) {
		return func(ids ...uint64) func(*Quarantiner) {
			return func(q *Quarantiner) { q.RecordAnswer(at, "p", prints(ids...)) }
		}
	}
	answer, answerBefore := answerAt(start+9*time.Second), answerAt(start-time.Second)
	for _, c := range []struct {
		name  string
		steps []func(*Quarantiner)
		want  []uint64
	}{
		{name: "two crashes", steps: []func(*Quarantiner){crashEvery(time.Second, 2, shared, fatal)}},
		{name: "three crashes", steps: []func(*Quarantiner){crashEvery(time.Second, 3, shared, fatal)}, want: []uint64{fatal}},
		{name: "all servers within 400 ms", steps: []func(*Quarantiner){crashEvery(36*time.Millisecond, 11, shared, fatal)}, want: []uint64{fatal}},
		{name: "five servers one after the other within 140 ms", steps: []func(*Quarantiner){crashEvery(34*time.Millisecond, 5, shared, fatal)}, want: []uint64{fatal}},
		{name: "five servers within 140 ms, an answer before", steps: []func(*Quarantiner){answerBefore(fatal), crashEvery(34*time.Millisecond, 5, shared, fatal)}, want: []uint64{shared}},
		{name: "four servers within 140 ms", steps: []func(*Quarantiner){crashEvery(34*time.Millisecond, 4, shared, fatal)}},
		{name: "five servers in a rush of other crashes", steps: []func(*Quarantiner){
			crashEvery(34*time.Millisecond, 5, shared, fatal),
			func(q *Quarantiner) {
				for i := range 12 {
					q.RecordCrash(start+time.Duration(i)*15*time.Millisecond, process(20+i), "p", prints(uint64(own+i)))
				}
			},
		}},
		{name: "twenty at one moment", steps: []func(*Quarantiner){crashEvery(time.Millisecond, 20, shared, fatal)}},
		{name: "among many others at the same moments", steps: []func(*Quarantiner){
			crashEvery(time.Second, 3, shared, fatal),
			func(q *Quarantiner) {
				for i := range 12 {
					q.RecordCrash(start+time.Duration(i%3)*time.Second, process(20+i), "p", prints(uint64(own+i)))
				}
			},
		}},
		{name: "an answer to the whole", steps: []func(*Quarantiner){crashEvery(time.Second, 3, shared, fatal), answer(shared, fatal)}},
		{name: "an answer to a part", steps: []func(*Quarantiner){crashEvery(time.Second, 3, shared, fatal), answer(shared)}, want: []uint64{fatal}},
		{name: "an answer before", steps: []func(*Quarantiner){answerBefore(fatal), crashEvery(time.Second, 5, fatal)}},
		{name: "an answer long before", steps: []func(*Quarantiner){answerBefore(fatal), crashEvery(time.Second, 6, fatal)}, want: []uint64{fatal}},
		{name: "an answer to the others before", steps: []func(*Quarantiner){answerBefore(shared, middle), crashEvery(time.Second, 3, shared, fatal, middle)}, want: []uint64{fatal}},
		{name: "the first part is the fatal one", steps: []func(*Quarantiner){
			crashEvery(time.Second, 3, fatal, middle),
			func(q *Quarantiner) { q.RecordCrash(start+9*time.Second, process(9), "p", prints(fatal, own)) },
		}, want: []uint64{fatal}},
		{name: "unrelated requests beside it", steps: []func(*Quarantiner){
			crashEvery(time.Second, 4, shared, fatal),
			crashEvery(time.Second, 3, middle, own),
		}, want: []uint64{fatal}},
		{name: "two fatal parts", steps: []func(*Quarantiner){
			crashEvery(time.Second, 4, shared, fatal),
			func(q *Quarantiner) {
				for i := range 3 {
					q.RecordCrash(start+time.Duration(i)*time.Second, process(20+i), "p", prints(shared, middle))
				}
			},
			answer(shared),
		}, want: []uint64{middle, fatal}},
	} {
		q := New(0)
		for _, step := range c.steps {
			step(q)
		}
		for _, id := range []uint64{shared, middle, fatal, own} {
			wanted := false
			for _, w := range c.want {
				wanted = wanted || w == id
			}
			assert.Equal(t, q.Check(start+10*time.Second, "r", "p", prints(id)) != nil, wanted, "%s: %d", c.name, id)
			assert.Assert(t, q.Check(start+10*time.Second, "r", "other", prints(id)) == nil, "%s: another pool", c.name)
		}
	}
}

// TestLifetime checks that a quarantine ends lifetime after a trial is due, and that its
// records are dropped then and not before.
func TestLifetime(t *testing.T) {
	q := New(0)
	gap := lifetime * 2 / 5
	last := time.Duration(0)
	for i := range 4 {
		last = time.Hour + time.Duration(i)*gap
		q.RecordCrash(last, process(i), "p", prints(fatal))
		q.Update(last)
	}
	assert.Equal(t, len(q.crashes), 4)
	until := last + maxTrialWait + lifetime
	q.Update(until)
	assert.Equal(t, len(q.Quarantines()), 1)
	found := q.Quarantines()[0]
	assert.Equal(t, found.Since(), time.Hour)
	assert.Equal(t, found.Until(), until)
	assert.Equal(t, found.Crashes(), 4)
	assert.Assert(t, q.Check(until+2*decisionInterval, "r", "p", prints(fatal)) == nil)
	assert.Assert(t, q.Idle())
	changes := q.TakeChanges()
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, !changes[0].Ended() && changes[1].Ended())
}

// TestTrials checks when a request is let through while its fingerprint is quarantined: one for
// each wait without a crash, the same one again, and longer waits after trials that crash.
func TestTrials(t *testing.T) {
	q := New(0)
	crash := func(i int, at time.Duration) { q.RecordCrash(at, process(i), "p", prints(fatal)) }
	for i := range 3 {
		crash(i, time.Hour+time.Duration(i)*time.Second)
	}
	passes := func(at time.Duration, request string) bool { return q.Check(at, request, "p", prints(fatal)) == nil }
	first := time.Hour + 2*time.Second + minTrialWait
	assert.Assert(t, !passes(first-1, "a"))
	assert.Assert(t, passes(first, "b"))
	assert.Assert(t, passes(first+time.Second, "b"))
	assert.Assert(t, !passes(first+time.Second, "c"))
	crash(3, first+2*time.Second)
	assert.Assert(t, !passes(first+3*time.Second, "b"))
	assert.Assert(t, !passes(first+2*time.Second+minTrialWait, "d"))
	second := first + 2*time.Second + trialBackoff*(first+2*time.Second-time.Hour)
	assert.Assert(t, !passes(second-time.Second, "d"))
	assert.Assert(t, passes(second, "e"))
	q.RecordAnswer(second, "p", prints(fatal))
	assert.Assert(t, passes(second+time.Second, "f"))
}

// TestTrialsOfManyProcesses guards against trials at all processes at once: each of hundreds
// would crash a server before it knows of the first crash. The requests with the fatal
// fingerprint come at all of them without a pause, and a crash is known after half a second.
func TestTrialsOfManyProcesses(t *testing.T) {
	const delay, step = 500 * time.Millisecond, 100 * time.Millisecond
	for _, count := range []int{1, 4, 40, 400} {
		random := rand.New(rand.NewPCG(uint64(count), 1))
		var processes []*Quarantiner
		for range count {
			q := New(random.Float64())
			for i := range 3 {
				q.RecordCrash(time.Hour+time.Duration(i)*time.Second, process(i), "p", prints(fatal))
			}
			processes = append(processes, q)
		}
		first, trials := time.Duration(0), 0
		for at := time.Hour; at < time.Hour+maxTrialWait && (first == 0 || at < first+delay); at += step {
			for _, q := range processes {
				if q.Check(at, fmt.Sprint(at), "p", prints(fatal)) != nil {
					continue
				}
				if first == 0 {
					first = at
				}
				trials++
			}
		}
		assert.Assert(t, first > 0, "%d processes: no trial", count)
		assert.Assert(t, trials <= 3, "%d processes: %d trials before the first crash is known", count, trials)
	}
}

// TestBounds checks that crashes without number and with suspects without number leave a
// bounded state, in which the quarantine is kept.
func TestBounds(t *testing.T) {
	q := New(0)
	for i := range 3 {
		q.RecordCrash(time.Hour+time.Duration(i)*time.Second, process(i), "p", prints(fatal))
	}
	q.Update(time.Hour)
	for i := range 3 * maxCrashes {
		at := time.Hour + time.Duration(10+i)*time.Millisecond
		for j := range 2 * maxSuspects {
			q.RecordCrash(at, process(10+i), "p", prints(uint64(own+i*1000+j)))
		}
	}
	for i := range 3 * maxAnswered {
		q.RecordAnswer(time.Hour, "p", prints(uint64(i)<<32))
	}
	assert.Assert(t, len(q.answered)+len(q.previouslyAnswered) <= maxAnswered)
	assert.Equal(t, len(q.crashes), maxCrashes)
	q.Update(time.Hour + time.Minute)
	assert.Assert(t, len(q.suspected) <= maxCrashes*maxSuspects, "%d", len(q.suspected))
	for _, c := range q.crashes {
		assert.Assert(t, len(c.suspects) <= maxSuspects)
	}
	assert.Assert(t, q.Check(time.Hour+time.Minute, "r", "p", prints(fatal)) != nil)
}

// TestMergeInAnyOrder checks that processes which receive the same records in other orders,
// some of them twice, decide the same. The crashes and their suspects are drawn by seed.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		sources := []*Quarantiner{New(0), New(0), New(0)}
		for range 30 {
			source, at := sources[r.IntN(3)], time.Hour+time.Duration(r.IntN(5000))*time.Millisecond
			if r.IntN(4) == 0 {
				source.RecordAnswer(at, "p", prints(uint64(r.IntN(6))))
				continue
			}
			source.RecordCrash(at, process(r.IntN(12)), "p", prints(uint64(r.IntN(6)), uint64(r.IntN(6))))
		}
		now := time.Hour + 10*time.Second
		var records []*wire.Crash
		for _, source := range sources {
			records = append(records, source.TakeUnsent(now, true)...)
		}
		var first []uint64
		for i := range 3 {
			r.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
			q := New(0)
			for _, record := range append(records, records[:len(records)/2]...) {
				q.Merge(now, record)
			}
			q.Update(now)
			var ids []uint64
			for _, found := range q.Quarantines() {
				ids = append(ids, found.ID())
			}
			if i == 0 {
				first = ids
			}
			assert.DeepEqual(t, ids, first)
		}
	}
}

// TestMergeOfManySuspects checks that processes which merge records with more suspects than are
// kept, in other orders, keep the same ones, and those that many requests hold before others.
func TestMergeOfManySuspects(t *testing.T) {
	var records []*wire.Crash
	for i := range 3 {
		source := New(0)
		for j := range maxSuspects {
			source.RecordCrash(time.Hour, process(1), "p", prints(shared, fatal, uint64(own+i*1000+j)))
		}
		records = append(records, source.All(time.Hour)...)
	}
	merge := func(order ...int) []*wire.Suspect {
		q := New(0)
		for _, i := range order {
			q.Merge(time.Hour, records[i])
		}
		return q.All(time.Hour)[0].GetSuspects()
	}
	want := merge(0, 1, 2)
	assert.Equal(t, len(want), maxSuspects)
	assert.Equal(t, want[0].GetPrint(), uint64(shared))
	assert.Equal(t, want[1].GetPrint(), uint64(fatal))
	for _, order := range [][]int{{2, 1, 0}, {1, 0, 2, 1}} {
		got := merge(order...)
		for i := range want {
			assert.Equal(t, got[i].GetPrint(), want[i].GetPrint())
		}
	}
}

// TestMergeReportsChanges checks that a record is passed on only if it tells something new,
// and that a message without a server is ignored.
func TestMergeReportsChanges(t *testing.T) {
	source, q := New(0), New(0)
	source.RecordCrash(time.Hour, process(1), "p", prints(shared, fatal))
	message := source.TakeUnsent(time.Hour, false)[0]
	assert.Equal(t, len(source.TakeUnsent(time.Hour, false)), 0)
	_, changed := q.Merge(time.Hour, message)
	assert.Assert(t, changed)
	_, changed = q.Merge(time.Hour, message)
	assert.Assert(t, !changed)
	source.RecordAnswer(time.Hour+time.Second, "p", prints(shared))
	_, changed = q.Merge(time.Hour, source.TakeUnsent(time.Hour, false)[0])
	assert.Assert(t, changed)
	_, changed = q.Merge(time.Hour, &wire.Crash{})
	assert.Assert(t, !changed)
}

// TestAnswerBeforeRecord guards against sound parts that are quarantined although another
// process has answered them since: it had started, or the relay was lost, and the records of
// the crashes came after its answers.
func TestAnswerBeforeRecord(t *testing.T) {
	source, q := New(0), New(0)
	for i := range 3 {
		source.RecordCrash(time.Hour+time.Duration(i)*time.Second, process(i), "p", prints(fatal, shared))
	}
	now := time.Hour + 10*time.Second
	assert.Assert(t, source.Check(now, "r", "p", prints(shared)) != nil)
	q.RecordAnswer(now-time.Second, "p", prints(shared))
	for _, message := range source.TakeUnsent(now, true) {
		q.Merge(now, message)
	}
	assert.Assert(t, q.Check(now, "r", "p", prints(shared)) == nil)
	assert.Assert(t, q.Check(now, "r", "p", prints(fatal)) != nil)
	for _, message := range q.TakeUnsent(now, false) {
		source.Merge(now, message)
	}
	assert.Assert(t, source.Check(now, "r", "p", prints(shared)) == nil)
	assert.Assert(t, source.Check(now, "r", "p", prints(fatal)) != nil)
}

// TestSoundPartsInOtherCrashes plays fleets in which servers end for reasons of their own, at
// single moments and many at once, under a load of sound requests of which some wait long. No
// fingerprint of theirs may be quarantined. The pattern is drawn by seed.
func TestSoundPartsInOtherCrashes(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		q, next := New(0), 0
		for tick := range 600 {
			now := time.Hour + time.Duration(tick)*50*time.Millisecond
			switch {
			case r.IntN(60) == 0:
				crashAll(r, q, now, &next, 1+r.IntN(20))
			default:
				for range 3 {
					q.RecordAnswer(now, "p", soundPrints(r))
				}
			}
			q.Update(now)
			assert.Equal(t, len(q.Quarantines()), 0, "seed %d at %v", seed, now-time.Hour)
		}
	}
}

// crashAll records the crash of n servers at nearly the same moment, each with some requests
// that had no answer.
func crashAll(r *rand.Rand, q *Quarantiner, now time.Duration, next *int, n int) {
	for range n {
		*next++
		for range r.IntN(8) {
			q.RecordCrash(now+time.Duration(r.IntN(20))*time.Millisecond, process(*next), "p", soundPrints(r))
		}
	}
}

// soundPrints returns the fingerprints of a request whose first part is one of 3 and whose
// second part one of 40, with one of its own.
func soundPrints(r *rand.Rand) []Fingerprint {
	return prints(uint64(10+r.IntN(3)), uint64(20+r.IntN(40)), r.Uint64()|1<<63)
}
