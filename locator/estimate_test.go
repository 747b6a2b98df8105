package locator

import (
	"bytes"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/router"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// estimateFixture is a locator that knows some engines with the models "m" and "n". The test sets
// the time.
type estimateFixture struct {
	locator     *Locator
	now         time.Duration
	lastRequest int
	lines       bytes.Buffer
}

// newEstimateFixture returns a locator that knows a number of engines.
func newEstimateFixture(engines int) *estimateFixture {
	fx := &estimateFixture{now: time.Hour}
	logger := &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &fx.lines}}
	config := configurer.New()
	config.Restore(&wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100}}}, Models: []*wire.Model{{Name: "m", Pool: "p"}, {Name: "n", Pool: "p"}}})
	fx.locator = New("z", func() time.Duration { return fx.now }, config, newQuarantine(), noPermits{}, logger)
	for i := range engines {
		fx.list(i, 1)
	}
	return fx
}

// list lists an engine whose process has a start.
func (fx *estimateFixture) list(i int, started int64) {
	s := tracker.Server{ID: engineName(i), Pool: "p", Address: engineName(i), Centre: "z", Slots: 32, Started: started, Inventory: tracker.Inventory{Models: []string{"m", "n"}}}
	fx.locator.UpdateServer(s.ListedServer(uint64(started)))
	fx.locator.Receive(fx.now, &wire.Batch{Conditions: []*wire.EngineStatus{{Server: engineName(i), Born: started, Models: []string{"m", "n"}}}}, false)
}

// request returns a request whose prompt has the given parts of 1,000 tokens and one of its own.
func (fx *estimateFixture) request(model string, parts ...uint64) *dispatcher.Request {
	fx.lastRequest++
	r := &dispatcher.Request{
		ID: fmt.Sprint(fx.lastRequest), Pool: "p", Model: model, Started: fx.now, TargetTime: fx.now + 400*time.Millisecond,
		FirstEventDeadline: fx.now + 2*time.Second, Deadline: fx.now + 10*time.Second, MaxOutputTokens: 100,
	}
	for _, part := range parts {
		r.Prompt = append(r.Prompt, dispatcher.PromptPart{ID: part, Tokens: 1000})
	}
	r.Prompt = append(r.Prompt, dispatcher.PromptPart{ID: 1<<32 + uint64(fx.lastRequest), Tokens: 100})
	r.InputTokens = 1000*len(parts) + 100
	return r
}

// search returns the search of a request.
func newSearch(r *dispatcher.Request) *search {
	return &search{request: r, history: &dispatcher.History{Tried: map[string]bool{}}}
}

// pick returns the ID of the server that a request goes to now.
func (fx *estimateFixture) pick(r *dispatcher.Request) string {
	return fx.locator.pick(fx.now, newSearch(r), 0).Server().ID
}

// send sends a request to the server that is picked.
func (fx *estimateFixture) send(r *dispatcher.Request) *dispatcher.Reservation {
	s := newSearch(r)
	return fx.locator.reserve(fx.now, fx.locator.pick(fx.now, s, 0), s)
}

// feed reports a load of an engine, as an answer of it does.
func (fx *estimateFixture) feed(i int, load dispatcher.Load) {
	fx.locator.receiveFeedback(fx.locator.fleet.Get(engineName(i)).Server(), 0, dispatcher.Feedback{Load: &load})
}

// TestThreeFiguresAsBefore guards against a pool without a fourth figure that is served otherwise
// than before: the number of requests decides there, and no time is estimated.
func TestThreeFiguresAsBefore(t *testing.T) {
	fx := newEstimateFixture(2)
	for range 50 {
		fx.now += 10 * time.Millisecond
		fx.feed(0, dispatcher.Load{Running: 3, Slots: 32})
		fx.feed(1, dispatcher.Load{Running: 2, Slots: 32})
		reservation := fx.send(fx.request("m", 7))
		assert.Equal(t, reservation.Name, engineName(1))
		fx.now += 30 * time.Millisecond
		reservation.OnPromptRead()
		reservation.OnActivity(fx.now)
		reservation.OnActivity(fx.now + 200*time.Millisecond)
		reservation.Release(dispatcher.AttemptResult{Answered: true, TimeToFirst: 30 * time.Millisecond})
	}
	b := fx.locator.fleet.Get(engineName(0))
	assert.Assert(t, !b.Estimated())
	assert.Equal(t, b.ExpectedSpeed(fx.now), 1.0)
	cost := fx.locator.costOf(fx.now, b, newSearch(fx.request("m")))
	assert.Assert(t, !cost.Estimated && cost.Expected == router.ExpectedTime{})
	assert.Assert(t, !strings.Contains(fx.lines.String(), "first_ms"))
}

// TestFourthFigureSwitchesOn guards against a slow server that gets requests because it has fewer
// of them, and against an absurd figure that switches anything.
func TestFourthFigureSwitchesOn(t *testing.T) {
	fx := newEstimateFixture(2)
	fx.feed(0, dispatcher.Load{Running: 3, Slots: 32})
	fx.feed(1, dispatcher.Load{Running: 6, Slots: 32})
	assert.Equal(t, fx.pick(fx.request("m")), engineName(0))
	fx.feed(0, dispatcher.Load{Running: 3, Slots: 32, Pace: -5})
	assert.Assert(t, !fx.locator.fleet.Get(engineName(0)).Estimated())
	fx.feed(0, dispatcher.Load{Running: 3, Slots: 32, Pace: 250})
	assert.Assert(t, fx.locator.fleet.Get(engineName(1)).Estimated())
	assert.Equal(t, fx.pick(fx.request("m")), engineName(1))
	// Without news of it, the slow server is tried again.
	fx.now += 3 * time.Second
	fx.feed(1, dispatcher.Load{Running: 12, Slots: 32, Pace: 100})
	assert.Equal(t, fx.pick(fx.request("m")), engineName(0))
	fx.send(fx.request("m"))
	assert.Assert(t, strings.Contains(fx.lines.String(), "first_ms"))
}

// TestCachedPrompt guards against a prompt that is read again although a server has it, and against
// one that counts as read where it isn't: by another model, after another beginning, after a
// restart of the server or after a long time.
func TestCachedPrompt(t *testing.T) {
	fx := newEstimateFixture(4)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	first := fx.send(fx.request("m", 1, 2, 3))
	fx.now += 100 * time.Millisecond
	first.OnPromptRead()
	unread := func(r *dispatcher.Request, server string) int {
		return newSearch(r).workAt(fx.now, fx.locator.fleet.Get(server)).PromptTokens
	}
	assert.Equal(t, fx.pick(fx.request("m", 1, 2, 3)), first.Name)
	for _, c := range []struct {
		name    string
		request *dispatcher.Request
		tokens  int
	}{
		{"same parts", fx.request("m", 1, 2, 3), 100},
		{"fewer parts", fx.request("m", 1, 2), 100},
		{"same first parts", fx.request("m", 1, 2, 9), 1100},
		{"another beginning", fx.request("m", 9, 2, 3), 3100},
		{"another model", fx.request("n", 1, 2, 3), 3100},
	} {
		assert.Check(t, unread(c.request, first.Name) == c.tokens, "%s: %d", c.name, unread(c.request, first.Name))
	}
	for i := range 4 {
		if engineName(i) != first.Name {
			assert.Equal(t, unread(fx.request("m", 1, 2, 3), engineName(i)), 3100)
		}
	}
	fx.now += time.Minute
	assert.Equal(t, unread(fx.request("m", 1, 2, 3), first.Name), 3100)
	again := fx.send(fx.request("m", 1, 2, 3))
	assert.Equal(t, unread(fx.request("m", 1, 2, 3), again.Name), 100)
	fx.list(int(again.Name[1]-'0'), 2)
	assert.Equal(t, unread(fx.request("m", 1, 2, 3), again.Name), 3100)
}

// TestPromptsSpread guards against long prompts that go to one server after the other although it
// has to read those before, and a request that waits although the prompts before it are short.
func TestPromptsSpread(t *testing.T) {
	fx := newEstimateFixture(3)
	fx.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	servers := map[string]int{}
	for i := range 6 {
		servers[fx.send(fx.request("m", 100+uint64(3*i), 101+uint64(3*i), 102+uint64(3*i))).Name]++
	}
	assert.DeepEqual(t, servers, map[string]int{engineName(0): 2, engineName(1): 2, engineName(2): 2})
	for i := range 3 {
		b := fx.locator.fleet.Get(engineName(i))
		assert.Assert(t, fx.locator.promptsPending(fx.now, b))
		assert.Assert(t, !fx.locator.promptsPending(fx.now+200*time.Millisecond, b))
	}
	short := newEstimateFixture(1)
	short.feed(0, dispatcher.Load{Slots: 32, Pace: 100})
	short.send(short.request("m"))
	assert.Assert(t, !short.locator.promptsPending(short.now, short.locator.fleet.Get(engineName(0))))
}

// TestAbsurdRequest guards against token counts of a caller that make a cost infinite or not a
// number, so that no server is chosen.
func TestAbsurdRequest(t *testing.T) {
	fx := newEstimateFixture(2)
	fx.feed(0, dispatcher.Load{Running: 1 << 30, Waiting: 1 << 30, Slots: 1 << 30, Pace: 10000})
	for _, n := range []int{math.MaxInt, math.MinInt, 1 << 30, 0} {
		r := fx.request("m", 1)
		r.InputTokens, r.MaxOutputTokens, r.OutputHint = n, n, n
		s := newSearch(r)
		for i := range 2 {
			value := fx.locator.costOf(fx.now, fx.locator.fleet.Get(engineName(i)), s).Value()
			assert.Assert(t, value >= 0 && !math.IsInf(value, 0), "%v", value)
		}
		reservation := fx.send(r)
		reservation.OnPromptRead()
		reservation.Release(dispatcher.AttemptResult{})
		fx.now += time.Second
	}
}

// engineLoad is a simulated load of engines of different speeds that some entries share.
type engineLoad struct {
	entries int
	speeds  []float64
	rate    float64
	// states is set if the engines state their own figures.
	states bool
}

// simulatedEngine is an engine that reads prompts one after the other.
type simulatedEngine struct {
	speed     float64
	readUntil time.Duration
	running   int
	// slowUntil is the instant until which a neighbour slows the engine.
	slowUntil time.Duration
}

// factor returns how long work takes at an instant as a factor.
func (e *simulatedEngine) factor(now time.Duration) float64 {
	if now < e.slowUntil {
		return 2.5 * e.speed
	}
	return e.speed
}

// engineEvent is something that happens at an instant of the simulation.
type engineEvent struct {
	at     time.Duration
	number int
	do     func()
}

type engineEvents []engineEvent

func (h engineEvents) Len() int { return len(h) }
func (h engineEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h engineEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *engineEvents) Push(x any)   { *h = append(*h, x.(engineEvent)) }
func (h *engineEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate returns the mean time to the first event and the share of requests that were later than
// their targets.
func (el engineLoad) simulate(seed uint64) (mean time.Duration, late float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Hour
	var entries []*Locator
	for range el.entries {
		l := New("z", func() time.Duration { return now }, configurer.New(), newQuarantine(), noPermits{}, faker.DiscardLogger())
		for i := range el.speeds {
			s := tracker.Server{ID: engineName(i), Pool: "p", Address: engineName(i), Centre: "z", Slots: 64, Started: 1, Inventory: tracker.Inventory{Models: []string{"m"}}}
			l.UpdateServer(s.ListedServer(1))
		}
		l.firstListedAt = now - time.Minute
		entries = append(entries, l)
	}
	engines := make([]*simulatedEngine, len(el.speeds))
	for i, speed := range el.speeds {
		engines[i] = &simulatedEngine{speed: speed}
	}
	events, number := &engineEvents{}, 0
	schedule := func(at time.Duration, do func()) {
		number++
		heap.Push(events, engineEvent{at, number, do})
	}
	total, requests, lateOnes := time.Duration(0), 0, 0
	serve := func() {
		l := entries[random.IntN(len(entries))]
		number++
		tokens := int(100 * math.Pow(70, random.Float64()*random.Float64()))
		r := &dispatcher.Request{
			ID: fmt.Sprint(number), Pool: "p", Model: "m", Started: now, TargetTime: now + 400*time.Millisecond, FirstEventDeadline: now + time.Minute, Deadline: now + time.Minute,
			MaxGap: 250 * time.Millisecond, InputTokens: tokens, MaxOutputTokens: 150,
		}
		s := newSearch(r)
		b := l.pick(now, s, 0)
		reservation := l.reserve(now, b, s)
		e := engines[b.Server().ID[1]-'0']
		e.running++
		e.readUntil = max(now, e.readUntil) + time.Duration(float64(tokens)/32*e.factor(now)*float64(time.Millisecond))
		step := time.Duration((5.5 + 0.12*float64(e.running)) * e.factor(e.readUntil) * float64(time.Millisecond))
		first, sentAt := e.readUntil+8*step, now
		schedule(first, func() {
			load := dispatcher.Load{Running: e.running, Slots: 64}
			if el.states {
				load.Pace = int(100 * e.factor(now) / e.speed)
			}
			reservation.OnFeedback(dispatcher.Feedback{Load: &load})
			reservation.OnPromptRead()
			reservation.OnActivity(now)
			total += now - sentAt
			requests++
			if now > r.TargetTime {
				lateOnes++
			}
		})
		end := first + time.Duration(random.IntN(200))*step
		schedule(end, func() {
			e.running--
			reservation.Release(dispatcher.AttemptResult{Answered: true, TimeToFirst: first - sentAt, MaxGap: 8 * step})
		})
	}
	end := now + 30*time.Second
	var arrive, neighbour func()
	arrive = func() {
		serve()
		if now < end {
			schedule(now+time.Duration(random.ExpFloat64()/el.rate*float64(time.Second)), arrive)
		}
	}
	neighbour = func() {
		engines[random.IntN(len(engines))].slowUntil = now + 600*time.Millisecond
		if now < end {
			schedule(now+time.Duration(random.ExpFloat64()*float64(400*time.Millisecond)), neighbour)
		}
	}
	schedule(now, arrive)
	schedule(now, neighbour)
	for events.Len() > 0 {
		next := heap.Pop(events).(engineEvent)
		now = next.at
		next.do()
	}
	return total / time.Duration(requests), float64(lateOnes) / float64(requests)
}

// TestExpectedTimesBeatCounts guards against a choice by expected times that serves a pool of fast
// and slow engines no better than one by the number of requests.
func TestExpectedTimesBeatCounts(t *testing.T) {
	load := engineLoad{entries: 4, speeds: []float64{0.7, 0.8, 1, 1, 1.3, 1.7}, rate: 90}
	for seed := range uint64(3) {
		load.states = false
		meanByCount, lateByCount := load.simulate(seed)
		load.states = true
		mean, late := load.simulate(seed)
		t.Logf("seed %d: by count %v, %.3f late; by time %v, %.3f late", seed, meanByCount, lateByCount, mean, late)
		assert.Check(t, float64(mean) < 0.9*float64(meanByCount) && late <= lateByCount)
	}
}

// BenchmarkExpectedChoice measures the choice of an engine by expected times, among engines that all
// hold the model.
func BenchmarkExpectedChoice(b *testing.B) {
	for _, engines := range []int{20, 100, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fx := newEstimateFixture(engines)
			for i := range engines {
				fx.feed(i, dispatcher.Load{Running: i % 10, Slots: 32, Pace: 90 + i%30})
			}
			r := fx.request("m", 1, 2)
			for b.Loop() {
				fx.pick(r)
			}
		})
	}
}
