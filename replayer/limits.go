package replayer

import (
	"slices"
	"time"

	"oleanderstall/limiter"
)

// Terms of the limits' replay.
const (
	limitShares = 2
	// takeover is the time until a dead holder's share is held again.
	takeover = 14 * time.Second
	// bytesPerToken and outputSlack make a request's upper bound.
	bytesPerToken = 4
	outputSlack   = 1.5
)

// Limits is what one limit policy gives over a trace.
type Limits struct {
	Policy  string `json:"policy"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	// Inside counts refusals of requests that one bucket without failures, with
	// the same upper bounds and settlements, would have granted.
	Inside int `json:"refused_inside"`
	// Over is the most by which the use over any window exceeded the limit.
	Over float64 `json:"over_tokens"`
}

// holding is one bucket and the entry that holds it.
type holding struct {
	bucket *limiter.Bucket
	holder int
	back   time.Duration
}

// settlement is a charge that will be settled.
type settlement struct {
	at     time.Duration
	bucket *limiter.Bucket
	seq    int64
	tokens float64
}

// limits replays one policy.
type limits struct {
	fleet    Fleet
	dead     map[int]time.Duration
	outage   time.Duration
	shares   map[string][]*holding
	pending  []settlement
	used     map[string][]use
	perEntry bool
	immortal bool
}

type use struct {
	at     time.Duration
	tokens float64
}

func newLimits(f Fleet, parts int, perEntry, immortal bool) *limits {
	l := &limits{
		fleet: f, dead: map[int]time.Duration{}, shares: map[string][]*holding{}, used: map[string][]use{},
		perEntry: perEntry, immortal: immortal,
	}
	for _, w := range f.Workspaces {
		for i := range parts {
			n := float64(parts)
			b := limiter.New(-time.Hour, w.Rate/n, w.Burst/n)
			l.shares[w.Name] = append(l.shares[w.Name], &holding{bucket: b, holder: i})
		}
	}
	return l
}

// ReplayLimits compares the limit policies on a trace. Events of entries that die
// and of outages of the platform apply to all but the reference.
func ReplayLimits(f Fleet, events []Event) []Limits {
	reference := newLimits(f, 1, false, true)
	policies := []struct {
		name string
		l    *limits
	}{
		{"escrow, 2 shares, gathered", newLimits(f, limitShares, false, false)},
		{"one owner", newLimits(f, 1, false, false)},
		{"static split by entry", newLimits(f, f.Entries, true, false)},
	}
	results := make([]Limits, len(policies))
	for _, e := range events {
		inside := reference.event(e)
		for i, p := range policies {
			granted := p.l.event(e)
			switch {
			case e.K != "":
			case granted:
				results[i].Served++
			default:
				results[i].Refused++
				if inside {
					results[i].Inside++
				}
			}
		}
	}
	for i, p := range policies {
		results[i].Policy = p.name
		results[i].Over = p.l.over()
	}
	return results
}

// event applies an event and reports whether a request was granted.
func (l *limits) event(e Event) bool {
	now := e.At()
	l.settle(now)
	switch e.K {
	case "out":
		l.outage = now + time.Duration(e.D)*time.Second
	case "die":
		l.die(now, e)
	case "":
		return l.charge(now, e)
	}
	return false
}

// die takes an entry's shares away until another entry may take them, which needs
// the platform.
func (l *limits) die(now time.Duration, e Event) {
	if l.immortal {
		return
	}
	l.dead[e.E] = now + time.Duration(e.D)*time.Second
	for _, w := range l.fleet.Workspaces {
		for _, h := range l.shares[w.Name] {
			if h.holder != e.E {
				continue
			}
			n := float64(len(l.shares[w.Name]))
			h.back = max(now, l.outage) + takeover
			if l.perEntry {
				h.back = l.dead[e.E]
			}
			h.bucket = limiter.New(h.back, w.Rate/n, w.Burst/n)
		}
	}
}

func (l *limits) settle(now time.Duration) {
	l.pending = slices.DeleteFunc(l.pending, func(s settlement) bool {
		if s.at > now {
			return false
		}
		s.bucket.Refund(s.at, s.seq, s.tokens)
		return true
	})
}

// charge asks the shares in the order of the entry that the request came to.
func (l *limits) charge(now time.Duration, e Event) bool {
	entry := e.E
	for l.dead[entry] > now {
		entry = (entry + 1) % l.fleet.Entries
	}
	bound := float64(bytesPerToken*e.P) + outputSlack*float64(e.O)
	list := l.shares[e.W]
	if l.perEntry {
		list = list[entry : entry+1]
	}
	type taken struct {
		h      *holding
		seq    int64
		tokens float64
	}
	var parts []taken
	missing := bound
	for i := range list {
		h := list[(entry+i)%len(list)]
		if now < h.back || missing <= 0 {
			continue
		}
		got, seq := h.bucket.Take(now, missing)
		missing -= got
		parts = append(parts, taken{h, seq, got})
	}
	if missing > 0 {
		for _, p := range parts {
			p.h.bucket.Refund(now, p.seq, p.tokens)
		}
		return false
	}
	spent := float64(e.P + e.O)
	l.used[e.W] = append(l.used[e.W], use{at: now, tokens: spent})
	done := now + time.Duration(e.O)*40*time.Millisecond
	left := spent
	for _, p := range parts {
		keep := min(left, p.tokens)
		left -= keep
		l.pending = append(l.pending, settlement{done, p.h.bucket, p.seq, p.tokens - keep})
	}
	return true
}

// over returns the most by which any window of use exceeds the limit.
func (l *limits) over() float64 {
	most := 0.0
	for _, w := range l.fleet.Workspaces {
		uses := l.used[w.Name]
		for i := range uses {
			sum := 0.0
			for _, u := range uses[i:] {
				sum += u.tokens
				most = max(most, sum-w.Burst-w.Rate*(u.at-uses[i].at).Seconds())
			}
		}
	}
	return most
}
