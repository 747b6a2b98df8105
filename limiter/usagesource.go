package limiter

import "time"

// presumedAfter is how long a source may be silent before it counts as using what it
// used of late.
const presumedAfter = 250 * time.Millisecond

// rateTime is the time over which the use a second of a source is measured. That of one
// that is not known so long is measured over the time since then, or over rateLeast.
const (
	rateTime  = 2 * time.Second
	rateLeast = 200 * time.Millisecond
)

// UsageSource is a part of the fleet whose use of the workspaces' tokens is told from time
// to time. While nothing is told, what it may use meanwhile is set aside. It is not
// safe for concurrent use.
type UsageSource struct {
	// begun is the instant since which it is known, heard that of its last word, and rates
	// its use a second of late.
	begun time.Duration
	heard time.Duration
	rates map[string]float64
	// reserved are the tokens set aside since then, up to the instant until.
	reserved map[string]float64
	until    time.Duration
	// silent is set once its part of the limits is set aside.
	silent bool
}

// NewUsageSource returns a source that was heard just now and has used nothing.
func NewUsageSource(now time.Duration) *UsageSource {
	return &UsageSource{begun: now, heard: now, until: now, rates: map[string]float64{}, reserved: map[string]float64{}}
}

// RecordUsage takes the tokens used since its last word, and returns those that were not set
// aside. A negative number gives tokens back.
func (s *UsageSource) RecordUsage(now time.Duration, used map[string]float64) map[string]float64 {
	passed := max(0, now-s.heard)
	over := max(passed, min(rateTime, now-s.begun))
	weight := min(1, passed.Seconds()/max(over, time.Millisecond).Seconds())
	for name, rate := range s.rates {
		s.rates[name] = rate * (1 - weight)
	}
	news := map[string]float64{}
	for name, tokens := range used {
		s.rates[name] += tokens / max(over, rateLeast).Seconds()
		news[name] += tokens
	}
	for name, tokens := range s.reserved {
		news[name] -= tokens
	}
	clear(s.reserved)
	s.heard, s.until, s.silent = now, now, false
	return news
}

// Rate returns the use of a workspace a second of late.
func (s *UsageSource) Rate(workspace string) float64 { return max(0, s.rates[workspace]) }

// Age is the time since its last word.
func (s *UsageSource) Age(now time.Duration) time.Duration { return max(0, now-s.heard) }

// Unsettled is the time since its last word or the last round of presume or reserve.
func (s *UsageSource) Unsettled(now time.Duration) time.Duration { return max(0, now-s.until) }

// Forget makes what was set aside count as used.
func (s *UsageSource) Forget() {
	clear(s.reserved)
	s.silent = false
}

// Silent reports whether tokens are being set aside for it.
func (s *UsageSource) Silent() bool { return s.silent }

// presume sets aside what it is likely to have used of a workspace since its last word
// or the last call, and returns that. It is called for each workspace, and then settle.
func (s *UsageSource) presume(now time.Duration, workspace string) float64 {
	used := s.Rate(workspace) * (now - s.until).Seconds()
	s.reserved[workspace] += used
	return used
}

// reserve sets aside its part of what a workspace has, and from then on of what comes
// in. It returns what it took out of the bucket; the bucket is to be filled by as much
// less meanwhile. It is called for each workspace, and then settle.
func (s *UsageSource) reserve(now time.Duration, a *account, part float64) float64 {
	name := a.limit.Workspace
	if s.silent {
		s.reserved[name] += a.limit.Rate * part * (now - s.until).Seconds()
		return 0
	}
	taken := max(0, a.bucket.Level(now)) * part
	s.reserved[name] += taken
	return taken
}

// settle ends a round of presume or reserve.
func (s *UsageSource) settle(now time.Duration, silent bool) { s.silent, s.until = silent, now }
