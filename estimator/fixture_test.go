package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// start is the instant at which the tests begin.
const start = time.Hour

// server is a simulated server. Its rates differ from the shape that the estimator assumes.
type server struct {
	estimator *Estimator
	// speed is how long work takes there as a factor, and slow that at an instant.
	speed float64
	slow  func(now time.Duration) float64
	// states is set if the server states its own figure.
	states bool
}

// paces are the paces of the models of the simulated servers.
var paces = map[string]float64{"large": 1, "small": 0.31}

// factorAt returns how long work takes at an instant as a factor.
func (s *server) factorAt(now time.Duration) float64 {
	if s.slow == nil {
		return s.speed
	}
	return s.speed * s.slow(now)
}

// first returns how long the server takes to the first event, without noise.
func (s *server) first(now time.Duration, w Work, q Queue) time.Duration {
	read := float64(w.PromptTokens+q.PromptTokens) / 32
	step := 8 * (5.5 + 0.12*float64(q.Running))
	return time.Duration((read + step) * paces[w.Model] * s.factorAt(now) * float64(time.Millisecond))
}

// fixture simulates the servers of a pool.
type fixture struct {
	random  *rand.Rand
	now     time.Duration
	servers []*server
}

// newFixture returns a pool of servers with the given speeds that state their own figures.
func newFixture(seed uint64, speeds ...float64) *fixture {
	fx := &fixture{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	pool := NewPool()
	for _, speed := range speeds {
		e := New()
		e.SetPool(pool)
		fx.servers = append(fx.servers, &server{estimator: e, speed: speed, states: true})
	}
	return fx
}

// noise returns a random factor around 1.
func (fx *fixture) noise(spread float64) float64 { return math.Exp(spread * fx.random.NormFloat64()) }

// work returns random work and what the server has to do already.
func (fx *fixture) work() (Work, Queue) {
	model := "large"
	if fx.random.IntN(2) == 0 {
		model = "small"
	}
	tokens := int(100 * math.Pow(70, fx.random.Float64()))
	return Work{Model: model, PromptTokens: tokens, OutputTokens: 100}, Queue{Running: fx.random.IntN(16), Slots: 32}
}

// run simulates requests, events and figures for a while: of each server 20 requests, 50 gaps and
// 30 figures in a second. It calls check after each step of 10 ms.
func (fx *fixture) run(d time.Duration, check func(now time.Duration)) {
	const step = 10 * time.Millisecond
	for end := fx.now + d; fx.now < end; fx.now += step {
		for _, s := range fx.servers {
			fx.observe(s)
		}
		if check != nil {
			check(fx.now)
		}
	}
}

// observe simulates one step of a server.
func (fx *fixture) observe(s *server) {
	e, now := s.estimator, fx.now
	if fx.random.Float64() < 0.2 {
		w, q := fx.work()
		e.RecordFirst(now, w, q, time.Duration(float64(s.first(now, w, q))*fx.noise(0.15)))
	}
	if fx.random.Float64() < 0.5 {
		running := fx.random.IntN(16)
		gap := 7.5 * (5.5 + 0.12*float64(running)) * s.factorAt(now) * fx.noise(0.2)
		e.RecordGap(now, time.Duration(gap*float64(time.Millisecond)), running)
	}
	if s.states && fx.random.Float64() < 0.3 {
		e.RecordPace(now, int(100*s.factorAt(now)/s.speed*fx.noise(0.05)))
	}
}

// checkEstimate fails the test unless the estimate is near the true time for prompts of 100 to
// 7,000 tokens and both models.
func (fx *fixture) checkEstimate(t *testing.T, s *server, tolerance float64) {
	t.Helper()
	for model := range paces {
		for _, tokens := range []int{100, 500, 2000, 7000} {
			for _, running := range []int{0, 12} {
				w, q := Work{Model: model, PromptTokens: tokens}, Queue{Running: running, Slots: 32}
				got, want := s.estimator.First(fx.now, w, q), s.first(fx.now, w, q)
				ratio := float64(got) / float64(want)
				assert.Check(t, ratio > 1/(1+tolerance) && ratio < 1+tolerance, "at %v: %s, %d tokens, %d running: %v instead of %v", fx.now-start, model, tokens, running, got, want)
			}
		}
	}
}

// ratio returns the estimate for a usual request as a factor of the true time.
func (fx *fixture) ratio(s *server) float64 {
	w, q := Work{Model: "large", PromptTokens: 800}, Queue{Running: 8, Slots: 32}
	return float64(s.estimator.First(fx.now, w, q)) / float64(s.first(fx.now, w, q))
}
