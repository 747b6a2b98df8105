// Package limiter decides how many tokens a workspace may use.
//
// A workspace's token bucket is cut into a few shares. Each share is one Bucket
// held by one instance, with its own part of the rate and the burst, so the sum
// over all shares never exceeds what the workspace may use. An entry charges the
// upper bound of a request and settles the difference after it.
package limiter

import (
	"math"
	"time"
)

// maxPeaks is the number of level peaks kept for settlements.
const maxPeaks = 64

// longestWait is the wait reported when a bucket can never hold the tokens.
const longestWait = time.Hour

// peak is the level of the bucket at one operation.
type peak struct {
	seq   int64
	level float64
}

// Bucket is one share of a token bucket. Levels, rate and burst are in tokens
// and tokens a second. It is not safe for concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	level  float64
	at     time.Duration
	seq    int64
	peaks  [maxPeaks]peak
	length int
}

// New returns an empty bucket. A new holder starts empty because it cannot know
// what the holder before it granted.
func New(now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, at: now}
}

// Level returns the tokens present at now.
func (b *Bucket) Level(now time.Duration) float64 {
	b.refill(now)
	return b.level
}

// Burst returns the most tokens that the bucket holds.
func (b *Bucket) Burst() float64 { return b.burst }

// Resize changes the rate and the burst.
func (b *Bucket) Resize(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Take removes up to want tokens and returns how many it removed, and a receipt
// for Refund.
func (b *Bucket) Take(now time.Duration, want float64) (tokens float64, receipt int64) {
	b.refill(now)
	b.note()
	if !(want > 0) {
		return 0, b.seq
	}
	tokens = min(want, b.level)
	b.level -= tokens
	return tokens, b.seq
}

// Refund returns tokens of the charge with that receipt. Tokens that the bucket
// would have lost to its burst, had they never been taken, are not returned: the
// use over any window stays within rate times its length plus the burst.
func (b *Bucket) Refund(now time.Duration, receipt int64, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) || receipt > b.seq {
		return
	}
	b.refill(now)
	b.note()
	highest := b.highest(receipt)
	back := max(0, min(tokens, b.burst-highest))
	b.raise(receipt, tokens)
	b.level = min(b.burst, b.level+back)
	b.note()
}

// Spend removes tokens that were used elsewhere, also more than are present: the
// level is below zero until they have come in. A negative number gives tokens
// back.
func (b *Bucket) Spend(now time.Duration, tokens float64) {
	b.refill(now)
	b.level = min(b.burst, b.level-tokens)
	b.note()
}

// Wait returns the time until want tokens are present.
func (b *Bucket) Wait(now time.Duration, want float64) time.Duration {
	b.refill(now)
	missing := want - b.level
	if missing <= 0 {
		return 0
	}
	if want > b.burst || b.rate <= 0 {
		return longestWait
	}
	wait := missing / b.rate * float64(time.Second)
	return min(longestWait, time.Duration(math.Ceil(wait)))
}

// refill adds the tokens that came in since the last operation. A clock that
// went back adds none.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// note records the present level as an operation of its own.
func (b *Bucket) note() {
	b.seq++
	b.append(peak{seq: b.seq, level: b.level})
}

// append keeps the peaks in falling order of level. When full, it drops the
// oldest and gives its level to the next, which only overstates a maximum.
func (b *Bucket) append(p peak) {
	for b.length > 0 && b.peaks[b.length-1].level <= p.level {
		b.length--
	}
	if b.length == maxPeaks {
		oldest := b.peaks[0].level
		copy(b.peaks[:], b.peaks[1:])
		b.peaks[0].level = oldest
		b.length--
	}
	b.peaks[b.length] = p
	b.length++
}

// highest returns the highest level after the operation with that receipt.
func (b *Bucket) highest(receipt int64) float64 {
	for _, p := range b.peaks[:b.length] {
		if p.seq > receipt {
			return max(p.level, b.level)
		}
	}
	return b.level
}

// raise adds tokens to the peaks after the operation with that receipt.
func (b *Bucket) raise(receipt int64, tokens float64) {
	old := b.peaks
	length := b.length
	b.length = 0
	for _, p := range old[:length] {
		if p.seq > receipt {
			p.level = min(b.burst, p.level+tokens)
		}
		b.append(p)
	}
}
