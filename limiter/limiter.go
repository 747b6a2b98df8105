// Package limiter decides how many tokens a workspace may use.
//
// There are two schemes. Either a workspace's token bucket is split into a few shares:
// each share is one Bucket held by one instance, with its own part of the rate and the
// burst, so the sum over all shares never exceeds what the workspace may use. An entry
// charges the upper bound of a request and settles the difference after it. Or every entry
// keeps the whole bucket in a Ledger, and relays exchange the usage; an entry then refunds
// only requests that have not run.
package limiter

import (
	"math"
	"time"
)

// maxPeaks is the number of level peaks kept to bound refunds.
const maxPeaks = 64

// maxWait is the longest wait reported, also when a bucket can never hold the tokens.
const maxWait = time.Hour

// peak is the level of the bucket at one operation. Operations are numbered by seq.
type peak struct {
	seq   int64
	level float64
}

// Bucket is one share of a token bucket. Level and burst are in tokens, the rate in tokens
// a second. It is not safe for concurrent use.
type Bucket struct {
	rate      float64
	burst     float64
	level     float64
	updatedAt time.Duration
	// seq is the number of the latest operation.
	seq int64
	// The first peakCount peaks are those that no later operation has reached, the oldest and
	// highest first.
	peaks     [maxPeaks]peak
	peakCount int
}

// NewBucket returns an empty bucket. A new holder starts empty because it cannot know what
// the previous holder granted.
func NewBucket(now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, updatedAt: now}
}

// Level returns the tokens available at now. It is below zero while the bucket is
// overdrawn.
func (b *Bucket) Level(now time.Duration) float64 {
	b.refill(now)
	return b.level
}

// Burst returns the maximum number of tokens in the bucket.
func (b *Bucket) Burst() float64 { return b.burst }

// Resize changes the rate and the burst. Tokens above the new burst are lost.
func (b *Bucket) Resize(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Take removes up to the requested tokens. It returns how many it removed and a receipt
// for Refund.
func (b *Bucket) Take(now time.Duration, requested float64) (tokens float64, receipt int64) {
	b.refill(now)
	b.recordLevel()
	if !(requested > 0) {
		return 0, b.seq
	}
	tokens = min(requested, b.level)
	b.level -= tokens
	return tokens, b.seq
}

// Refund puts back tokens that Take removed under the given receipt, but none that would have
// exceeded the burst, and been lost, if they had never been taken. The usage over any window
// therefore stays within the rate times the window's length plus the burst.
func (b *Bucket) Refund(now time.Duration, receipt int64, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) || receipt > b.seq {
		return
	}
	b.refill(now)
	b.recordLevel()
	highest := b.highestSince(receipt)
	returned := max(0, min(tokens, b.burst-highest))
	b.raiseSince(receipt, tokens)
	b.level = min(b.burst, b.level+returned)
	b.recordLevel()
}

// Spend removes tokens that were used elsewhere, even if that overdraws the bucket: the
// level is then negative until enough tokens are refilled. A negative number returns
// tokens.
func (b *Bucket) Spend(now time.Duration, tokens float64) {
	b.refill(now)
	b.level = min(b.burst, b.level-tokens)
	b.recordLevel()
}

// Wait returns the time until that many tokens are available, at most maxWait.
func (b *Bucket) Wait(now time.Duration, tokens float64) time.Duration {
	b.refill(now)
	missing := tokens - b.level
	if missing <= 0 {
		return 0
	}
	if tokens > b.burst || b.rate <= 0 {
		return maxWait
	}
	wait := math.Ceil(missing / b.rate * float64(time.Second))
	if !(wait < float64(maxWait)) {
		return maxWait
	}
	return time.Duration(wait)
}

// refill adds the tokens that have accrued since the last operation. If the clock went
// back, it adds none.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// recordLevel records the current level as a separate operation.
func (b *Bucket) recordLevel() {
	b.seq++
	b.appendPeak(peak{seq: b.seq, level: b.level})
}

// appendPeak adds the latest peak and drops the earlier ones that are not higher, so that the
// levels descend. If there are already maxPeaks, it drops the oldest and gives its level to
// the next one. The level found by highestSince may then be too high, but never too low, so
// that no refund is too large.
func (b *Bucket) appendPeak(p peak) {
	for b.peakCount > 0 && b.peaks[b.peakCount-1].level <= p.level {
		b.peakCount--
	}
	if b.peakCount == maxPeaks {
		oldest := b.peaks[0].level
		copy(b.peaks[:], b.peaks[1:])
		b.peaks[0].level = oldest
		b.peakCount--
	}
	b.peaks[b.peakCount] = p
	b.peakCount++
}

// highestSince returns the highest level since the operation with that receipt.
func (b *Bucket) highestSince(receipt int64) float64 {
	for _, p := range b.peaks[:b.peakCount] {
		if p.seq > receipt {
			return max(p.level, b.level)
		}
	}
	return b.level
}

// raiseSince adds tokens to the peaks since the operation with that receipt, up to the burst.
func (b *Bucket) raiseSince(receipt int64, tokens float64) {
	old := b.peaks
	length := b.peakCount
	b.peakCount = 0
	for _, p := range old[:length] {
		if p.seq > receipt {
			p.level = min(b.burst, p.level+tokens)
		}
		b.appendPeak(p)
	}
}
