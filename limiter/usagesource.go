package limiter

import (
	"math"
	"time"
)

// expectedAfter is how long a source may go without a report before it counts as using
// tokens at its recent rate.
const expectedAfter = 250 * time.Millisecond

// rateWindow is the time over which the rate of a source's usage is averaged. For a source
// known for less time, it is the time since it became known, but at least minRateWindow.
const (
	rateWindow    = 2 * time.Second
	minRateWindow = 200 * time.Millisecond
)

// maxReported is the highest number of tokens that is taken from a report.
const maxReported = 1e9

// plausible reports whether a number of tokens in a report can be right: it is a number, and
// not above maxReported or below its negative.
func plausible(tokens float64) bool { return math.Abs(tokens) <= maxReported }

// UsageSource is a part of the fleet that reports its usage of the workspaces' tokens from
// time to time. While a report is late, tokens are reserved for what it may use. It is not
// safe for concurrent use.
type UsageSource struct {
	// knownSince is the instant at which the source became known, reportedAt that of its
	// last report, and rates its recent usage in tokens a second, by workspace.
	knownSince time.Duration
	reportedAt time.Duration
	rates      map[string]float64
	// reserved are the tokens reserved since the last report, by workspace, up to the
	// instant settledAt.
	reserved  map[string]float64
	settledAt time.Duration
	// absent is set once the source's whole share of the limits is reserved.
	absent bool
}

// NewUsageSource returns a source that has just reported and has used nothing.
func NewUsageSource(now time.Duration) *UsageSource {
	return &UsageSource{knownSince: now, reportedAt: now, settledAt: now, rates: map[string]float64{}, reserved: map[string]float64{}}
}

// RecordUsage records the tokens used since the last report. It returns them less what was
// reserved; a negative number returns tokens to the bucket. It ignores a number that is not
// plausible.
func (s *UsageSource) RecordUsage(now time.Duration, used map[string]float64) map[string]float64 {
	elapsed := max(0, now-s.reportedAt)
	window := max(elapsed, min(rateWindow, now-s.knownSince))
	weight := min(1, elapsed.Seconds()/max(window, time.Millisecond).Seconds())
	for name, rate := range s.rates {
		s.rates[name] = rate * (1 - weight)
	}
	unreserved := map[string]float64{}
	for name, tokens := range used {
		if !plausible(tokens) {
			continue
		}
		s.rates[name] += tokens / max(window, minRateWindow).Seconds()
		unreserved[name] += tokens
	}
	for name, tokens := range s.reserved {
		unreserved[name] -= tokens
	}
	clear(s.reserved)
	s.reportedAt, s.settledAt, s.absent = now, now, false
	return unreserved
}

// Rate returns the recent usage of a workspace, in tokens a second.
func (s *UsageSource) Rate(workspace string) float64 { return max(0, s.rates[workspace]) }

// ReportAge returns the time since the source's last report.
func (s *UsageSource) ReportAge(now time.Duration) time.Duration { return max(0, now-s.reportedAt) }

// UnsettledTime returns the time since the source's last report or the last round of
// reservations, whichever is later.
func (s *UsageSource) UnsettledTime(now time.Duration) time.Duration { return max(0, now-s.settledAt) }

// CommitReserved makes the reserved tokens count as used.
func (s *UsageSource) CommitReserved() {
	clear(s.reserved)
	s.absent = false
}

// Absent reports whether the source's whole share of the limits is reserved.
func (s *UsageSource) Absent() bool { return s.absent }

// reserveExpected reserves the tokens of a workspace that the source is expected to have used
// since the last report or round, and returns their number. A round calls it for each
// workspace, then finishRound.
func (s *UsageSource) reserveExpected(now time.Duration, workspace string) float64 {
	used := s.Rate(workspace) * (now - s.settledAt).Seconds()
	s.reserved[workspace] += used
	return used
}

// reserveShare reserves the source's share of the tokens that a workspace has, and in later
// rounds of those that accrue. It returns what is to be taken out of the bucket; the caller
// lowers the bucket's rate by the same share meanwhile. A round calls it for each workspace,
// then finishRound.
func (s *UsageSource) reserveShare(now time.Duration, a *account, share float64) float64 {
	name := a.limit.Workspace
	if s.absent {
		s.reserved[name] += a.limit.Rate * share * (now - s.settledAt).Seconds()
		return 0
	}
	taken := max(0, a.bucket.Level(now)) * share
	s.reserved[name] += taken
	return taken
}

// finishRound ends a round of reserveExpected or reserveShare.
func (s *UsageSource) finishRound(now time.Duration, absent bool) {
	s.absent, s.settledAt = absent, now
}
