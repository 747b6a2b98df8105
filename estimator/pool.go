package estimator

import (
	"math"
	"time"
)

// Times assumed before anything was observed; observations scale them. An engine reads 30 to 40
// prompt tokens in a millisecond, takes 5 ms and more for a step, and sends 7 or 8 tokens in an
// event.
const (
	readPerToken   = time.Millisecond / 35
	stepTime       = 5 * time.Millisecond
	stepPerRunning = 100 * time.Microsecond
	tokensPerEvent = 7.5
)

const (
	// poolTimeConstant is the time constant of a pool's mean. It is much longer than a fault of a
	// server, so that the mean stays what is usual.
	poolTimeConstant = 30 * time.Second
	// maxPoolWeight bounds the weight of an observation in a pool's mean.
	maxPoolWeight = 0.1
	// maxPoolDeviation bounds how far, in logarithms, one observation is from the mean, after the
	// first trustedCount.
	maxPoolDeviation = 1.4
	trustedCount     = 5
	// contrastFactor is how fast the two parts of a scale move against each other, relative to how
	// fast both move with the mean.
	contrastFactor = 2
	// maxScale bounds a scale of the pool, in logarithms, at a factor of about 1000.
	maxScale = 7
	// maxModels is the number of models of a pool that are told apart.
	maxModels = 128
)

// Pool is what the servers of a pool have in common: how long the reading of a prompt and a step
// take there for each model, as a mean of all servers. It is not safe for concurrent use.
type Pool struct {
	models map[string]*scale
	// all is the mean of all models, which counts for those without observations.
	all scale
	// prompt is the mean number of prompt tokens of a request.
	prompt average
}

// scale holds the factors, as logarithms, by which the two parts of the time to the first event
// differ from the constants above: the reading of prompts and the steps.
type scale struct {
	read, step float64
	seen       average
}

// NewPool returns a pool without observations.
func NewPool() *Pool { return &Pool{models: map[string]*scale{}} }

// scaleOf returns the scale of a model, or that of all models if it has no observations.
func (p *Pool) scaleOf(model string) *scale {
	if s := p.models[model]; s != nil {
		return s
	}
	return &p.all
}

// observe moves the means of a model and of all models towards an observation: the time to the
// first event without what is known to have been unusual at that moment, at a server of a known speed.
func (p *Pool) observe(now time.Duration, w Work, q Queue, usual, speed float64) {
	s := p.models[w.Model]
	if s == nil {
		if len(p.models) >= maxModels {
			p.dropOldest()
		}
		s = &scale{read: p.all.read, step: p.all.step}
		p.models[w.Model] = s
	}
	s.observe(now, w, q, usual, speed)
	p.all.observe(now, w, q, usual, speed)
	p.prompt.add(now, float64(w.PromptTokens), p.prompt.weight(now, poolTimeConstant, 0, maxPoolWeight))
}

// dropOldest drops the model whose latest observation is the oldest, the first by name of several.
func (p *Pool) dropOldest() {
	oldest := ""
	for name, s := range p.models {
		o := p.models[oldest]
		if o == nil || s.seen.updatedAt < o.seen.updatedAt || s.seen.updatedAt == o.seen.updatedAt && name < oldest {
			oldest = name
		}
	}
	delete(p.models, oldest)
}

// observe moves the scale towards an observation at a server of a known speed, in logarithms. Both
// parts move alike by its distance from the mean. What remains without the speed of the server
// comes from the shares of the parts, and moves one of them against the other.
func (s *scale) observe(now time.Duration, w Work, q Queue, usual, speed float64) {
	read, step := s.parts(w, q)
	deviation := math.Log(usual) - math.Log(read+step)
	if s.seen.count >= trustedCount {
		deviation = clamp(deviation, maxPoolDeviation)
	}
	weight := s.seen.weight(now, poolTimeConstant, 0, maxPoolWeight)
	s.seen.add(now, 0, 0)
	contrast := (read - step) / (read + step)
	shift := contrastFactor * min(weight, maxPoolWeight) * contrast * clamp(deviation-speed, maxPoolDeviation)
	s.read = clamp(s.read+weight*deviation+shift, maxScale)
	s.step = clamp(s.step+weight*deviation-shift, maxScale)
}

// parts returns how long the reading of the prompts and the steps to the first event take, in
// nanoseconds.
func (s *scale) parts(w Work, q Queue) (read, step float64) {
	read = math.Exp(s.read) * float64(w.PromptTokens+q.PromptTokens) * float64(readPerToken)
	return read, tokensPerEvent * s.stepTime(q.Running)
}

// stepTime returns how long a step takes with a number of running requests, in nanoseconds.
func (s *scale) stepTime(running int) float64 {
	return math.Exp(s.step) * (float64(stepTime) + float64(stepPerRunning)*float64(running))
}
