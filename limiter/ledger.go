package limiter

import (
	"maps"
	"slices"
	"time"
)

// Limits of what an entry knows of the others.
const (
	// silentAfter is how long another entry may be silent before its part of the
	// rates is reserved for it, and silentShare what each other entry adds to that
	// beyond it, since entries tell each other less often the more they are.
	silentAfter = 700 * time.Millisecond
	silentShare = 48 * time.Millisecond
	// reservedFor is how long a part is reserved for an entry that stays silent.
	reservedFor = 20 * time.Second
	// rateWeight is the weight of the newest message in the use a second.
	rateWeight = 0.3
)

// Limit is the rate and burst of a workspace, in tokens and tokens a second. A
// rate of 0 means no limit.
type Limit struct {
	Workspace string
	Rate      float64
	Burst     float64
}

// Even returns the limit with half of its burst paid out as rate over windows of
// that length. In no such window it allows more than before, and a workspace that
// sends steadily above its rate is refused less.
func (l Limit) Even(window time.Duration) Limit {
	if window <= 0 || l.Rate <= 0 {
		return l
	}
	half := l.Burst / 2
	l.Rate += half / window.Seconds()
	l.Burst -= half
	return l
}

// Ledger is one entry's account of the workspaces' tokens. Every entry keeps the
// whole bucket of each workspace and takes out what all entries have used, so that
// no request needs a call to another process. What others have used arrives late;
// a bucket that turns out to be overdrawn stays empty until it is made good. For
// an entry that is silent its part of burst and rate is set aside. A Ledger is not
// safe for concurrent use.
type Ledger struct {
	// slack are the tokens that may be used beyond a bucket because they were not
	// told yet, over all entries.
	slack    float64
	accounts map[string]*account
	peers    map[string]*other
}

// account is the bucket of one workspace.
type account struct {
	limit  Limit
	bucket *Bucket
	// spent are the tokens used through this entry.
	spent float64
	// promised are the tokens of refused requests that were told to come back, as of
	// the instant at.
	promised float64
	at       time.Duration
}

// other is another entry.
type other struct {
	started int64
	// heard is the instant of its last word, and direct that of the last one that
	// came from itself.
	heard  time.Duration
	direct time.Duration
	// totals are the tokens that it has used, and rates its use a second of late.
	totals map[string]float64
	rates  map[string]float64
	// reserved are the tokens set aside while it is silent, up to the instant until.
	silent   bool
	last     bool
	reserved map[string]float64
	until    time.Duration
}

// NewLedger returns a ledger without workspaces. The entries together may use that
// many tokens beyond a bucket because they have not told each other yet.
func NewLedger(slack float64) *Ledger {
	return &Ledger{slack: slack, accounts: map[string]*account{}, peers: map[string]*other{}}
}

// Set brings the limits into force. A new workspace begins with an empty bucket,
// since other entries may have used it up. Set returns the limits that have changed.
func (l *Ledger) Set(now time.Duration, limits []Limit) []Limit {
	var changed []Limit
	kept := map[string]*account{}
	for _, limit := range limits {
		a := l.accounts[limit.Workspace]
		if a == nil {
			a = &account{bucket: New(now, limit.Rate, limit.Burst)}
		}
		if a.limit != limit {
			a.limit = limit
			changed = append(changed, limit)
		}
		kept[limit.Workspace] = a
	}
	l.accounts = kept
	l.scale(now)
	return changed
}

// Peers sets the other entries by name. A new one counts as silent.
func (l *Ledger) Peers(now time.Duration, names []string) {
	kept := map[string]*other{}
	silence := max(silentAfter, time.Duration(len(names))*silentShare)
	for _, name := range names {
		p := l.peers[name]
		if p == nil {
			p = &other{
				heard:    now - silence,
				direct:   now - silence,
				totals:   map[string]float64{},
				rates:    map[string]float64{},
				silent:   true,
				reserved: map[string]float64{},
				until:    now,
			}
		}
		kept[name] = p
	}
	l.peers = kept
	l.scale(now)
}

// silence is how long another entry may be silent.
func (l *Ledger) silence() time.Duration {
	return max(silentAfter, time.Duration(len(l.peers))*silentShare)
}

// Word is what an entry has used since its start, which tells it from an earlier
// process of the same name.
type Word struct {
	Entry   string
	Started int64
	Totals  map[string]float64
	// Last is set if the entry uses nothing more.
	Last bool
}

// Silent returns the entries that are silent, by name.
func (l *Ledger) Silent() []string {
	var names []string
	for name, p := range l.peers {
		if p.silent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Relay returns the last words of those entries that were heard directly of late.
func (l *Ledger) Relay(now time.Duration, names []string) []Word {
	var words []Word
	for _, name := range names {
		if p := l.peers[name]; p != nil && now-p.direct < l.silence() {
			words = append(words, Word{Entry: name, Started: p.started, Totals: p.totals})
		}
	}
	return words
}

// Hear takes another entry's word from itself.
func (l *Ledger) Hear(now time.Duration, w Word) {
	if p := l.peers[w.Entry]; p != nil && w.Started >= p.started {
		p.direct = now
	}
	l.Learn(now, w)
}

// Learn takes another entry's word, from whomever.
func (l *Ledger) Learn(now time.Duration, w Word) {
	p := l.peers[w.Entry]
	if p == nil || w.Started < p.started {
		return
	}
	if w.Started > p.started {
		p.started = w.Started
		clear(p.totals)
	}
	p.last = w.Last
	back := p.silent
	p.silent = false
	if back {
		l.scale(now)
	}
	passed := max(now-p.heard, time.Millisecond).Seconds()
	for workspace, total := range w.Totals {
		used := total - p.totals[workspace]
		p.rates[workspace] += rateWeight * (used/passed - p.rates[workspace])
		if a := l.accounts[workspace]; a != nil {
			a.bucket.Spend(now, used-p.reserved[workspace])
		}
	}
	clear(p.reserved)
	p.totals = maps.Clone(w.Totals)
	p.heard = now
}

// Tick sets the part of each entry that is silent aside.
func (l *Ledger) Tick(now time.Duration) {
	part := 1 / float64(len(l.peers)+1)
	changed := false
	for _, p := range l.peers {
		silent := now-p.heard >= l.silence() && now-p.heard < reservedFor && !p.last
		if silent && !p.silent {
			p.until = now
			for name, a := range l.accounts {
				p.reserved[name] = max(0, a.bucket.Level(now)) * part
				a.bucket.Spend(now, p.reserved[name])
			}
		}
		if silent {
			for name, a := range l.accounts {
				p.reserved[name] += a.limit.Rate * part * (now - p.until).Seconds()
			}
			p.until = now
		}
		changed = changed || silent != p.silent
		p.silent = silent
	}
	if changed {
		l.scale(now)
	}
}

// scale leaves the buckets the parts of the entries that are not silent.
func (l *Ledger) scale(now time.Duration) {
	silent := 0
	for _, p := range l.peers {
		if p.silent {
			silent++
		}
	}
	part := 1 - float64(silent)/float64(len(l.peers)+1)
	for _, a := range l.accounts {
		a.bucket.Resize(now, a.limit.Rate*part, a.limit.Burst*part)
	}
}

// unheard is what the other entries are likely to have used since they were last
// heard.
func (l *Ledger) unheard(now time.Duration, workspace string) float64 {
	sum := 0.0
	for _, p := range l.peers {
		if !p.silent {
			sum += p.rates[workspace] * min(now-p.heard, l.silence()).Seconds()
		}
	}
	return sum
}

// Missing returns the time until a workspace has that many tokens, or 0 if they are
// there. More than a full bucket holds is there with a full bucket.
func (l *Ledger) Missing(now time.Duration, workspace string, tokens float64) time.Duration {
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	level := a.bucket.Level(now)
	need := tokens + l.margin(now, workspace)
	if level >= min(need, a.bucket.Burst()) {
		return 0
	}
	return time.Duration((need - level) / a.limit.Rate * float64(time.Second))
}

// margin is what is kept back for the use of other entries that they have not told
// yet.
func (l *Ledger) margin(now time.Duration, workspace string) float64 {
	return max(0, l.unheard(now, workspace)-l.slack)
}

// Take charges a workspace and reports whether the tokens were there.
func (l *Ledger) Take(now time.Duration, workspace string, tokens float64) bool {
	if l.Missing(now, workspace, tokens) > 0 {
		return false
	}
	if a := l.accounts[workspace]; a != nil {
		a.bucket.Spend(now, tokens)
		a.spent += tokens
	}
	return true
}

// Later returns the time after which a request for tokens that are not there is to
// come back: when those that were refused before it have had theirs.
func (l *Ledger) Later(now time.Duration, workspace string, tokens float64) time.Duration {
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	a.promised = max(0, a.promised-a.limit.Rate*(now-a.at).Seconds())
	a.at = now
	a.promised += max(0, tokens-a.bucket.Level(now))
	return time.Duration(a.promised / a.limit.Rate * float64(time.Second))
}

// Give returns tokens of a request that has not run.
func (l *Ledger) Give(now time.Duration, workspace string, tokens float64) {
	if a := l.accounts[workspace]; a != nil {
		a.bucket.Spend(now, -tokens)
		a.spent -= tokens
	}
}

// Totals returns the tokens used through this entry since its start.
func (l *Ledger) Totals() map[string]float64 {
	totals := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		totals[name] = a.spent
	}
	return totals
}
