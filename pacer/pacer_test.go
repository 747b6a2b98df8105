package pacer

import (
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/faker"
	"oleanderstall/wire"
)

func TestMain(m *testing.M) {
	faker.FixRapidSeed()
	os.Exit(m.Run())
}

// TestSupersedes checks which of two answers says the more recent thing about a limit.
func TestSupersedes(t *testing.T) {
	for _, c := range []struct {
		name       string
		newer, old Limit
	}{
		{"a later process", Limit{Started: 2}, Limit{Started: 1, Number: 9, Rate: 1}},
		{"an answer to a later permit", Limit{Number: 3}, Limit{Number: 2, Rate: 1}},
		{"another limit with a later permit", Limit{Number: 3, Rate: 5}, Limit{Number: 2, Rate: 1}},
		{"a limit named after one has ended", Limit{Number: 3, Rate: 1}, Limit{Number: 3}},
		{"the lower of two at once", Limit{Number: 3, Rate: 1}, Limit{Number: 3, Rate: 2}},
	} {
		assert.Check(t, c.newer.Supersedes(c.old), c.name)
		assert.Check(t, !c.old.Supersedes(c.newer), c.name)
		assert.Check(t, !c.old.Supersedes(c.old), c.name)
	}
}

// drawLimit draws what an answer says about the limit of a server.
func drawLimit(t *rapid.T) Limit {
	return Limit{
		Server:  "s",
		Started: rapid.Int64Range(1, 2).Draw(t, "started"),
		Number:  rapid.Uint64Range(0, 4).Draw(t, "number"),
		Rate:    rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "rate"),
	}
}

// TestLimitsAgree guards against processes that know different limits for good because they have
// learned of the same answers in different orders, or more than once.
func TestLimitsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var answers []Limit
		for range rapid.IntRange(1, 6).Draw(t, "answers") {
			answers = append(answers, drawLimit(t))
		}
		one, other := NewLimits(), NewLimits()
		for _, l := range answers {
			one.Record(l)
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(answers)-1), 0, 8).Draw(t, "repeated") {
			other.Merge(answers[i])
		}
		for _, l := range rapid.Permutation(answers).Draw(t, "order") {
			other.Merge(l)
		}
		assert.Equal(t, one.Get("s", 1).Rate, other.Get("s", 1).Rate)
	})
}

// TestLimitsConverge guards against a process that goes on with an older limit: whoever knows more
// says so when it hears of less.
func TestLimitsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := []*Limits{NewLimits(), NewLimits(), NewLimits()}
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			processes[rapid.IntRange(0, 2).Draw(t, "process")].Record(drawLimit(t))
		}
		for range 4 {
			for _, from := range processes {
				for _, l := range from.TakeUnsent(false) {
					for _, to := range processes {
						if to != from {
							to.Merge(l)
						}
					}
				}
			}
		}
		for _, p := range processes {
			assert.Equal(t, p.Get("s", 1).Rate, processes[0].Get("s", 1).Rate)
		}
	})
}

// TestScheduleKeepsLimit guards against more requests than a server with a limit takes, whenever
// permits are asked for, with whatever patience, and whenever in their lifetime they are used.
func TestScheduleKeepsLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.1, 0.7, 1, 3, 20, 200}).Draw(t, "rate")
		now := time.Hour
		s := NewSchedule(now, Limit{Server: "s", Rate: rate})
		var used []time.Duration
		lastNumber := uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "asked") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second/time.Duration(1+rate))).Draw(t, "pause"))
			patience := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "patience"))
			p, given := s.Reserve(now, patience)
			if !given {
				assert.Assert(t, p.Wait > patience)
				continue
			}
			assert.Assert(t, p.Wait <= patience && p.Number > lastNumber)
			lastNumber = p.Number
			used = append(used, now+p.Wait+time.Duration(rapid.Int64Range(0, int64(PermitLifetime)-1).Draw(t, "used after")))
		}
		slices.Sort(used)
		for i, at := range used {
			n, _ := slices.BinarySearch(used[i:], at+window)
			assert.Assert(t, float64(n) <= 1.5*rate*window.Seconds()+5, "%d in %v at %v a second", n, window, rate)
		}
	})
}

// TestScheduleIsUsed checks that a server with a limit gets as many requests as it takes.
func TestScheduleIsUsed(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 20} {
		s := NewSchedule(0, Limit{Rate: rate})
		given := 0
		for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
			if _, ok := s.Reserve(now, 0); ok {
				given++
			}
		}
		assert.Check(t, math.Abs(float64(given)-100*rate) <= 0.05*100*rate+1, "%d at %v a second", given, rate)
	}
}

// TestRateChanges checks that a higher limit counts from the next permit on, and that numbers go
// on rising.
func TestRateChanges(t *testing.T) {
	s := NewSchedule(0, Limit{Number: 7, Rate: 0.1})
	p, given := s.Reserve(0, time.Second)
	assert.Assert(t, !given && p.Wait == 10*time.Second)
	s.SetLimit(0, Limit{Number: 1 << 40, Rate: 10})
	p, given = s.Reserve(0, time.Second)
	assert.Assert(t, given && p.Wait == 100*time.Millisecond && p.Number > 1<<40)
}

// TestOddLimits guards against limits in messages that no server can have named.
func TestOddLimits(t *testing.T) {
	for _, c := range []struct {
		message *wire.ServerLimit
		ok      bool
	}{
		{&wire.ServerLimit{Server: "s", Rate: 1.5, Number: 3, Born: 1}, true},
		{&wire.ServerLimit{Server: "s"}, true},
		{&wire.ServerLimit{Rate: 1}, false},
		{&wire.ServerLimit{Server: "s", Rate: math.NaN()}, false},
		{&wire.ServerLimit{Server: "s", Rate: math.Inf(1)}, false},
		{&wire.ServerLimit{Server: "s", Rate: -1}, false},
		{&wire.ServerLimit{Server: "s", Rate: 1e-300}, false},
		{&wire.ServerLimit{Server: "s", Rate: 1, Number: math.MaxUint64}, false},
		{nil, false},
	} {
		l, ok := FromMessage(c.message)
		assert.Check(t, ok == c.ok, "%v", c.message)
		if ok {
			assert.Check(t, l.Message().GetRate() == c.message.GetRate())
		}
	}
}

// TestForget checks that the limits of servers that are gone are dropped.
func TestForget(t *testing.T) {
	ls := NewLimits()
	ls.Record(Limit{Server: "a", Started: 1, Rate: 1})
	ls.Record(Limit{Server: "b", Started: 1, Rate: 1})
	ls.Forget(func(server string) bool { return server == "b" })
	assert.Equal(t, ls.Len(), 1)
	assert.Equal(t, len(ls.TakeUnsent(false)), 1)
	assert.Equal(t, len(ls.TakeUnsent(false)), 0)
	assert.Equal(t, len(ls.TakeUnsent(true)), 1)
	assert.Equal(t, ls.Get("b", 2).Rate, 0.0)
}
