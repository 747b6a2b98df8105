package limiter

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/faker"
)

func TestMain(m *testing.M) {
	faker.FixRapidSeed()
	os.Exit(m.Run())
}

// usage is the number of tokens of a request, at the instant of its charge.
type usage struct {
	at     time.Duration
	tokens float64
}

// checkWindows fails if the usage in any window exceeds its rate and burst.
func checkWindows(t rapid.TB, usages []usage, rate, burst float64) {
	const slack = 1e-6
	for i := range usages {
		sum := 0.0
		for _, u := range usages[i:] {
			sum += u.tokens
			limit := burst + rate*(u.at-usages[i].at).Seconds()
			if sum > limit+slack {
				t.Fatalf("%g tokens from %v to %v, at most %g", sum, usages[i].at, u.at, limit)
			}
		}
	}
}

// openCharge is a charge that is not settled yet; index is its position in the usages.
type openCharge struct {
	index   int
	share   int
	epoch   int
	receipt int64
	tokens  float64
}

// TestSharesStayWithinLimit draws schedules over several shares of one workspace: charges
// that take tokens from some of them, settlements that are late, lost or for a former
// holder, holders that fail and are replaced by new ones with an empty bucket, and clocks
// that stand still or jump forward or back. No window may exceed rate and burst.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100.0, 1000.0
		shares := rapid.IntRange(1, 4).Draw(t, "shares")
		now := time.Hour
		buckets := make([]*Bucket, shares)
		epochs := make([]int, shares)
		for i := range buckets {
			buckets[i] = NewBucket(now-time.Minute, rate/float64(shares), burst/float64(shares))
		}
		var usages []usage
		var pending []openCharge
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				i := rapid.IntRange(0, shares-1).Draw(t, "failed share")
				epochs[i]++
				buckets[i] = NewBucket(now, rate/float64(shares), burst/float64(shares))
			case 1, 2, 3:
				if len(pending) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "settled")
				settleCharge(now, buckets, epochs, usages, pending[i], rapid.Float64Range(0, 1).Draw(t, "unused"))
				pending = append(pending[:i], pending[i+1:]...)
			case 4:
				back := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "back"))*time.Millisecond
				buckets[rapid.IntRange(0, shares-1).Draw(t, "share")].Level(back)
			default:
				usages, pending = drawCharge(t, now, buckets, epochs, usages, pending)
			}
		}
		checkWindows(t, usages, rate, burst)
	})
}

// drawCharge takes a request's tokens from the shares in order.
func drawCharge(t *rapid.T, now time.Duration, buckets []*Bucket, epochs []int, usages []usage, pending []openCharge) ([]usage, []openCharge) {
	missing := rapid.Float64Range(0, 1200).Draw(t, "requested")
	for i, b := range buckets {
		tokens, receipt := b.Take(now, missing)
		if tokens == 0 {
			continue
		}
		missing -= tokens
		usages = append(usages, usage{at: now, tokens: tokens})
		pending = append(pending, openCharge{index: len(usages) - 1, share: i, epoch: epochs[i], receipt: receipt, tokens: tokens})
	}
	return usages, pending
}

// settleCharge refunds a part of a charge to the holder that granted it, if it still holds
// the share.
func settleCharge(now time.Duration, buckets []*Bucket, epochs []int, usages []usage, o openCharge, unused float64) {
	returned := o.tokens * unused
	usages[o.index].tokens -= returned
	if epochs[o.share] == o.epoch {
		buckets[o.share].Refund(now, o.receipt, returned)
	}
}

func TestBucket(t *testing.T) {
	b := NewBucket(0, 10, 100)
	granted, _ := b.Take(0, 50)
	assert.Equal(t, granted, 0.0)
	granted, _ = b.Take(5*time.Second, 80)
	assert.Equal(t, granted, 50.0)
	assert.Equal(t, b.Wait(5*time.Second, 30), 3*time.Second)
	assert.Equal(t, b.Wait(5*time.Second, 101), maxWait)
	granted, _ = b.Take(time.Hour, 1000)
	assert.Equal(t, granted, 100.0)
	granted, _ = b.Take(time.Minute, 5)
	assert.Equal(t, granted, 0.0)
	granted, _ = b.Take(time.Hour, -5)
	assert.Equal(t, granted, 0.0)
}

// TestRefund settles a charge at once, and another after the bucket has filled up again.
func TestRefund(t *testing.T) {
	b := NewBucket(0, 10, 100)
	now := time.Minute
	_, receipt := b.Take(now, 80)
	b.Refund(now, receipt, 60)
	assert.Equal(t, b.Level(now), 80.0)
	_, receipt = b.Take(now, 80)
	now += time.Minute
	granted, _ := b.Take(now, 100)
	assert.Equal(t, granted, 100.0)
	b.Refund(now, receipt, 80)
	assert.Equal(t, b.Level(now), 0.0)
}

// TestBucketNoAllocation checks that a charge and its refund do not allocate.
func TestBucketNoAllocation(t *testing.T) {
	b := NewBucket(0, 1000, 1000)
	now := time.Duration(0)
	n := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		_, receipt := b.Take(now, 10)
		b.Refund(now, receipt, 5)
	})
	assert.Equal(t, n, 0.0)
}

// TestRefundsTogether settles two charges after a third has emptied a bucket that had
// nearly filled up again. Without the first two it would have been full, so both
// together return only what was missing.
func TestRefundsTogether(t *testing.T) {
	b := NewBucket(0, 10, 1000)
	now := time.Hour
	_, first := b.Take(now, 500)
	_, second := b.Take(now, 500)
	now += 90 * time.Second
	granted, _ := b.Take(now, 900)
	assert.Equal(t, granted, 900.0)
	b.Refund(now, first, 500)
	b.Refund(now, second, 500)
	assert.Equal(t, b.Level(now), 100.0)
}

// TestRefundAfterManyCharges settles a charge after more operations than peaks are kept. The
// bucket was full in between, so nothing may be refunded.
func TestRefundAfterManyCharges(t *testing.T) {
	b := NewBucket(0, 10, 1000)
	now := time.Hour
	_, receipt := b.Take(now, 10)
	now += time.Second
	for range 2 * maxPeaks {
		b.Take(now, 1)
	}
	left := b.Level(now)
	b.Refund(now, receipt, 10)
	assert.Equal(t, b.Level(now), left)
}
