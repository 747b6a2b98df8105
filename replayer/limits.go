package replayer

import (
	"slices"
	"time"

	"oleanderstall/limiter"
)

// Parameters of the limit replay.
const (
	bucketShares = 2
	// takeoverTime is the time from the failure of an entry until another entry holds
	// its bucket shares, while the platform is up.
	takeoverTime = 14 * time.Second
	// The charge of a request, an upper bound, is bytesPerToken times its prompt
	// tokens plus outputSlack times its output tokens.
	bytesPerToken = 4
	outputSlack   = 1.5
)

// LimitResult counts the outcomes of one rate limit policy over a trace.
type LimitResult struct {
	Policy  string `json:"policy"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	// RefusedWithinLimit counts the refused requests that the reference, a single bucket
	// without failures and with the same upper bounds and settlements, granted.
	RefusedWithinLimit int `json:"refused_inside"`
	// ExcessTokens is the largest number of tokens by which the usage of a workspace over
	// any window of time exceeded the limit of that window, its length times the rate plus
	// the burst.
	ExcessTokens float64 `json:"over_tokens"`
}

// bucketShare is one token bucket and the entry that holds it. It grants no tokens
// before availableAt.
type bucketShare struct {
	bucket      *limiter.Bucket
	holder      int
	availableAt time.Duration
}

// settlement is the refund of a charge's unused tokens at the end of a request.
type settlement struct {
	at      time.Duration
	bucket  *limiter.Bucket
	receipt int64
	tokens  float64
}

// limitReplay is the state of one rate limit policy during a replay.
type limitReplay struct {
	fleet Fleet
	// failedUntil holds the time at which a failed entry is back, by entry.
	failedUntil map[int]time.Duration
	outageUntil time.Duration
	shares      map[string][]*bucketShare
	unsettled   []settlement
	usage       map[string][]usageSample
	// perEntry is set if each entry charges its own share only, faultFree if entries
	// don't fail.
	perEntry  bool
	faultFree bool
}

// usageSample is the number of tokens that a granted request used.
type usageSample struct {
	at     time.Duration
	tokens float64
}

// newLimitReplay returns the replay of a policy that splits the bucket of each workspace into
// shareCount shares, held by the entries of the same index.
func newLimitReplay(f Fleet, shareCount int, perEntry, faultFree bool) *limitReplay {
	l := &limitReplay{
		fleet: f, failedUntil: map[int]time.Duration{}, shares: map[string][]*bucketShare{}, usage: map[string][]usageSample{},
		perEntry: perEntry, faultFree: faultFree,
	}
	for _, w := range f.Workspaces {
		for i := range shareCount {
			n := float64(shareCount)
			// A new bucket is empty. An hour before the trace leaves it time to refill.
			bucket := limiter.NewBucket(-time.Hour, w.Rate/n, w.Burst/n)
			l.shares[w.Name] = append(l.shares[w.Name], &bucketShare{bucket: bucket, holder: i})
		}
	}
	return l
}

// ReplayLimits compares the rate limit policies on a trace. Failures of entries and
// outages of the platform apply to every policy, but not to the reference. Tests rely
// on the order of the results.
func ReplayLimits(f Fleet, events []Event) []LimitResult {
	reference := newLimitReplay(f, 1, false, true)
	policies := []struct {
		name   string
		replay *limitReplay
	}{
		{"escrow, 2 shares, gathered", newLimitReplay(f, bucketShares, false, false)},
		{"one owner", newLimitReplay(f, 1, false, false)},
		{"static split by entry", newLimitReplay(f, f.Entries, true, false)},
	}
	results := make([]LimitResult, len(policies))
	for _, e := range events {
		withinLimit := reference.apply(e)
		for i, p := range policies {
			granted := p.replay.apply(e)
			switch {
			case e.Kind != "":
			case granted:
				results[i].Served++
			default:
				results[i].Refused++
				if withinLimit {
					results[i].RefusedWithinLimit++
				}
			}
		}
	}
	for i, p := range policies {
		results[i].Policy = p.name
		results[i].ExcessTokens = p.replay.maxExcess()
	}
	return results
}

// apply applies an event. It reports whether the event is a request and was granted.
func (l *limitReplay) apply(e Event) bool {
	now := e.At()
	l.settle(now)
	switch e.Kind {
	case "out":
		l.outageUntil = now + time.Duration(e.Duration)*time.Second
	case "die":
		l.failEntry(now, e)
	case "":
		return l.charge(now, e)
	}
	return false
}

// failEntry makes an entry fail. Its shares are unavailable until another entry has
// taken them over, which needs the platform, or with perEntry until the entry is
// back. The buckets are empty when they become available.
func (l *limitReplay) failEntry(now time.Duration, e Event) {
	if l.faultFree {
		return
	}
	l.failedUntil[e.Index] = now + time.Duration(e.Duration)*time.Second
	for _, w := range l.fleet.Workspaces {
		for _, share := range l.shares[w.Name] {
			if share.holder != e.Index {
				continue
			}
			n := float64(len(l.shares[w.Name]))
			share.availableAt = max(now, l.outageUntil) + takeoverTime
			if l.perEntry {
				share.availableAt = l.failedUntil[e.Index]
			}
			share.bucket = limiter.NewBucket(share.availableAt, w.Rate/n, w.Burst/n)
		}
	}
}

// settle refunds the unused tokens of the requests that have finished by now.
func (l *limitReplay) settle(now time.Duration) {
	l.unsettled = slices.DeleteFunc(l.unsettled, func(s settlement) bool {
		if s.at > now {
			return false
		}
		s.bucket.Refund(s.at, s.receipt, s.tokens)
		return true
	})
}

// charge takes the upper bound of a request from the shares, beginning with the one
// at the index of its entry, and reports whether that much was available. If not, it
// returns what it took. A request to a failed entry goes to the next live one.
func (l *limitReplay) charge(now time.Duration, e Event) bool {
	entry := e.Index
	for l.failedUntil[entry] > now {
		entry = (entry + 1) % l.fleet.Entries
	}
	bound := float64(bytesPerToken*e.PromptTokens) + outputSlack*float64(e.OutputTokens)
	shares := l.shares[e.Workspace]
	if l.perEntry {
		shares = shares[entry : entry+1]
	}
	type grant struct {
		share   *bucketShare
		receipt int64
		tokens  float64
	}
	var grants []grant
	missing := bound
	for i := range shares {
		share := shares[(entry+i)%len(shares)]
		if now < share.availableAt || missing <= 0 {
			continue
		}
		granted, receipt := share.bucket.Take(now, missing)
		missing -= granted
		grants = append(grants, grant{share, receipt, granted})
	}
	if missing > 0 {
		for _, g := range grants {
			g.share.bucket.Refund(now, g.receipt, g.tokens)
		}
		return false
	}
	spent := float64(e.PromptTokens + e.OutputTokens)
	l.usage[e.Workspace] = append(l.usage[e.Workspace], usageSample{at: now, tokens: spent})
	// A request takes 40 ms for each output token.
	doneAt := now + time.Duration(e.OutputTokens)*40*time.Millisecond
	uncharged := spent
	for _, g := range grants {
		charged := min(uncharged, g.tokens)
		uncharged -= charged
		l.unsettled = append(l.unsettled, settlement{doneAt, g.share.bucket, g.receipt, g.tokens - charged})
	}
	return true
}

// maxExcess returns the largest number of tokens by which the usage of a workspace over any
// window of time exceeds the workspace's burst plus its rate times the window's length. It
// returns 0 if no usage does.
func (l *limitReplay) maxExcess() float64 {
	excess := 0.0
	for _, w := range l.fleet.Workspaces {
		samples := l.usage[w.Name]
		for i := range samples {
			tokens := 0.0
			for _, u := range samples[i:] {
				tokens += u.tokens
				excess = max(excess, tokens-w.Burst-w.Rate*(u.at-samples[i].at).Seconds())
			}
		}
	}
	return excess
}
