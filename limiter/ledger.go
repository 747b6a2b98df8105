package limiter

import (
	"maps"
	"time"
)

// Limits of what an entry knows of the others.
const (
	// silentAfter is how long another entry may be silent before its part of the
	// rates is reserved for it.
	silentAfter = 700 * time.Millisecond
	// reservedFor is how long a part is reserved for an entry that stays silent.
	reservedFor = 20 * time.Second
)

// Limit is the rate and burst of a workspace, in tokens and tokens a second. A
// rate of 0 means no limit.
type Limit struct {
	Workspace string
	Rate      float64
	Burst     float64
}

// Ledger is one entry's account of the workspaces' tokens. Every entry keeps the
// whole bucket of each workspace and takes out what all entries have used, so that
// no request needs a call to another process. What others have used arrives late;
// a bucket that turns out to be overdrawn stays empty until it is made good. For
// an entry that is silent its part of burst and rate is set aside. A Ledger is not
// safe for concurrent use.
type Ledger struct {
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
	// heard is the instant of its last word, or of its listing.
	heard  time.Duration
	totals map[string]float64
	// reserved are the tokens set aside for it since then, up to the instant until.
	silent   bool
	reserved map[string]float64
	until    time.Duration
}

// NewLedger returns a ledger without workspaces.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}, peers: map[string]*other{}}
}

// Set brings the limits into force. A new workspace begins with an empty bucket,
// since other entries may have used it up.
func (l *Ledger) Set(now time.Duration, limits []Limit) {
	kept := map[string]*account{}
	for _, limit := range limits {
		a := l.accounts[limit.Workspace]
		if a == nil {
			a = &account{bucket: New(now, limit.Rate, limit.Burst)}
		}
		if a.limit != limit {
			a.bucket.Resize(now, limit.Rate, limit.Burst)
			a.limit = limit
		}
		kept[limit.Workspace] = a
	}
	l.accounts = kept
}

// Peers sets the other entries by name.
func (l *Ledger) Peers(now time.Duration, names []string) {
	kept := map[string]*other{}
	for _, name := range names {
		p := l.peers[name]
		if p == nil {
			p = &other{heard: now, totals: map[string]float64{}, reserved: map[string]float64{}}
		}
		kept[name] = p
	}
	for name, p := range l.peers {
		if kept[name] == nil {
			l.release(now, p)
		}
	}
	l.peers = kept
}

// Hear takes the totals that another entry has used since its start.
func (l *Ledger) Hear(now time.Duration, name string, started int64, totals map[string]float64) {
	p := l.peers[name]
	if p == nil || started < p.started {
		return
	}
	if started > p.started {
		p.started = started
		clear(p.totals)
	}
	for workspace, total := range totals {
		if a := l.accounts[workspace]; a != nil {
			a.bucket.Spend(now, total-p.totals[workspace])
		}
	}
	l.release(now, p)
	p.totals = maps.Clone(totals)
	p.heard, p.silent = now, false
}

// release gives back what was set aside for p.
func (l *Ledger) release(now time.Duration, p *other) {
	for workspace, tokens := range p.reserved {
		if a := l.accounts[workspace]; a != nil {
			a.bucket.Spend(now, -tokens)
		}
	}
	clear(p.reserved)
}

// Tick sets tokens aside for the entries that are silent.
func (l *Ledger) Tick(now time.Duration) {
	part := 1 / float64(len(l.peers)+1)
	for _, p := range l.peers {
		quiet := now - p.heard
		switch {
		case quiet < silentAfter:
		case quiet > reservedFor:
			l.release(now, p)
		case !p.silent:
			p.silent, p.until = true, now
			for name, a := range l.accounts {
				p.reserve(now, name, a, max(0, a.bucket.Level(now))*part)
			}
		default:
			for name, a := range l.accounts {
				p.reserve(now, name, a, a.limit.Rate*part*(now-p.until).Seconds())
			}
			p.until = now
		}
	}
}

// reserve sets tokens of an account aside for p, at most its part of a bucket.
func (p *other) reserve(now time.Duration, name string, a *account, tokens float64) {
	a.bucket.Spend(now, tokens)
	p.reserved[name] += tokens
}

// Take charges a workspace. It reports false and the time after which to come
// back if the tokens are not there. A request for more than the burst is served
// from a full bucket.
func (l *Ledger) Take(now time.Duration, workspace string, tokens float64) (time.Duration, bool) {
	a := l.accounts[workspace]
	if a == nil {
		return 0, true
	}
	if a.limit.Rate <= 0 {
		a.spent += tokens
		return 0, true
	}
	need := min(tokens, a.limit.Burst)
	if a.bucket.Level(now) < need {
		return a.refuse(now, need), false
	}
	a.bucket.Spend(now, tokens)
	a.spent += tokens
	return 0, true
}

// refuse returns when a request for that many tokens is to come back: after those
// that were refused before it.
func (a *account) refuse(now time.Duration, tokens float64) time.Duration {
	a.promised = max(0, a.promised-a.limit.Rate*(now-a.at).Seconds())
	a.at = now
	missing := tokens - a.bucket.Level(now) + a.promised
	a.promised += tokens
	return time.Duration(missing / a.limit.Rate * float64(time.Second))
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
