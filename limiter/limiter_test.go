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
	faker.FixSeed()
	os.Exit(m.Run())
}

// use is what a request used, at the instant at which it was charged.
type use struct {
	at     time.Duration
	tokens float64
}

// check fails if the use over any window exceeds its rate and burst.
func check(t rapid.TB, uses []use, rate, burst float64) {
	const slack = 1e-6
	for i := range uses {
		sum := 0.0
		for _, u := range uses[i:] {
			sum += u.tokens
			most := burst + rate*(u.at-uses[i].at).Seconds()
			if sum > most+slack {
				t.Fatalf("%g tokens from %v to %v, at most %g", sum, uses[i].at, u.at, most)
			}
		}
	}
}

// open is a charge that is not settled yet.
type open struct {
	use     int
	share   int
	epoch   int
	receipt int64
	tokens  float64
}

// TestFleetStaysInside draws schedules over several shares of one workspace:
// charges that gather from some of them, settlements that come late, lost or
// for a holder that is gone, holders that die and are followed by new ones with
// an empty bucket, clocks that stand or jump forward or back.
func TestFleetStaysInside(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100.0, 1000.0
		shares := rapid.IntRange(1, 4).Draw(t, "shares")
		now := time.Hour
		buckets := make([]*Bucket, shares)
		epochs := make([]int, shares)
		for i := range buckets {
			buckets[i] = New(now-time.Minute, rate/float64(shares), burst/float64(shares))
		}
		var uses []use
		var pending []open
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				i := rapid.IntRange(0, shares-1).Draw(t, "dies")
				epochs[i]++
				buckets[i] = New(now, rate/float64(shares), burst/float64(shares))
			case 1, 2, 3:
				if len(pending) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "settled")
				settle(now, buckets, epochs, uses, pending[i], rapid.Float64Range(0, 1).Draw(t, "unused"))
				pending = append(pending[:i], pending[i+1:]...)
			case 4:
				back := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "back"))*time.Millisecond
				buckets[rapid.IntRange(0, shares-1).Draw(t, "share")].Level(back)
			default:
				uses, pending = charge(t, now, buckets, epochs, uses, pending)
			}
		}
		check(t, uses, rate, burst)
	})
}

// charge gathers a request's tokens from the shares in order.
func charge(t *rapid.T, now time.Duration, buckets []*Bucket, epochs []int, uses []use, pending []open) ([]use, []open) {
	want := rapid.Float64Range(0, 1200).Draw(t, "want")
	for i, b := range buckets {
		tokens, receipt := b.Take(now, want)
		if tokens == 0 {
			continue
		}
		want -= tokens
		uses = append(uses, use{at: now, tokens: tokens})
		pending = append(pending, open{use: len(uses) - 1, share: i, epoch: epochs[i], receipt: receipt, tokens: tokens})
	}
	return uses, pending
}

// settle gives back a part of a charge to the holder that granted it, if that
// still holds the share.
func settle(now time.Duration, buckets []*Bucket, epochs []int, uses []use, o open, unused float64) {
	back := o.tokens * unused
	uses[o.use].tokens -= back
	if epochs[o.share] == o.epoch {
		buckets[o.share].Refund(now, o.receipt, back)
	}
}

func TestBucket(t *testing.T) {
	b := New(0, 10, 100)
	got, _ := b.Take(0, 50)
	assert.Equal(t, got, 0.0)
	got, _ = b.Take(5*time.Second, 80)
	assert.Equal(t, got, 50.0)
	assert.Equal(t, b.Wait(5*time.Second, 30), 3*time.Second)
	assert.Equal(t, b.Wait(5*time.Second, 101), longestWait)
	got, _ = b.Take(time.Hour, 1000)
	assert.Equal(t, got, 100.0)
	got, _ = b.Take(time.Minute, 5)
	assert.Equal(t, got, 0.0)
	got, _ = b.Take(time.Hour, -5)
	assert.Equal(t, got, 0.0)
}

// TestRefund settles a charge at once, and one after the bucket has filled up.
func TestRefund(t *testing.T) {
	b := New(0, 10, 100)
	now := time.Minute
	_, receipt := b.Take(now, 80)
	b.Refund(now, receipt, 60)
	assert.Equal(t, b.Level(now), 80.0)
	_, receipt = b.Take(now, 80)
	now += time.Minute
	got, _ := b.Take(now, 100)
	assert.Equal(t, got, 100.0)
	b.Refund(now, receipt, 80)
	assert.Equal(t, b.Level(now), 0.0)
}

// TestNoAllocation holds the decision to zero allocations.
func TestNoAllocation(t *testing.T) {
	b := New(0, 1000, 1000)
	now := time.Duration(0)
	n := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		_, receipt := b.Take(now, 10)
		b.Refund(now, receipt, 5)
	})
	assert.Equal(t, n, 0.0)
}

// TestRefundsTogether settles two charges after a third emptied a bucket that had
// nearly filled up again. Without the first two it would have been full, so both
// together return only what was missing.
func TestRefundsTogether(t *testing.T) {
	b := New(0, 10, 1000)
	now := time.Hour
	_, first := b.Take(now, 500)
	_, second := b.Take(now, 500)
	now += 90 * time.Second
	got, _ := b.Take(now, 900)
	assert.Equal(t, got, 900.0)
	b.Refund(now, first, 500)
	b.Refund(now, second, 500)
	assert.Equal(t, b.Level(now), 100.0)
}

// TestRefundAfterManyCharges settles a charge after more operations than peaks
// are kept. The bucket was full in between.
func TestRefundAfterManyCharges(t *testing.T) {
	b := New(0, 10, 1000)
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
