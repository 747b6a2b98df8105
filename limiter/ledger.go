package limiter

import (
	"time"
)

// silentAfter is how long the rest of the fleet may be silent before its part of the
// limits is set aside. Until then it counts as using what it used of late, so that an
// entry may change to another relay meanwhile.
const silentAfter = 900 * time.Millisecond

// assumed is the least number of entries that an entry assumes until it is told.
const assumed = 16

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

// account is the bucket of one workspace.
type account struct {
	limit  Limit
	bucket *Bucket
	// promised are the tokens of refused requests that were told to come back, as of
	// the instant at.
	promised float64
	at       time.Duration
	// fresh is set until the level of a bucket that others have kept is known.
	fresh bool
}

// Ledger is one entry's account of the workspaces' tokens. Every entry keeps the
// whole bucket of each workspace and takes out what all entries have used, so that
// no request needs a call to another process. What others have used arrives late,
// as one sum; a bucket that turns out to be overdrawn stays empty until it is made
// good. An entry that hears nothing keeps to its own part. A Ledger is not safe for
// concurrent use.
type Ledger struct {
	// slack are the tokens that may be used beyond a bucket because they were not
	// told yet, over all entries.
	slack    float64
	accounts map[string]*account
	others   *UsageSource
	// crowd is all entries; told is set once a relay has told their number.
	crowd EntryCount
	told  bool
	// unsent are the tokens used through this entry that were not told yet.
	unsent map[string]float64
}

// NewLedger returns a ledger without workspaces, of an entry that has not heard of the
// others. The entries together may use that many tokens beyond a bucket because they
// have not told each other yet.
func NewLedger(now time.Duration, slack float64) *Ledger {
	others := NewUsageSource(now)
	others.heard = now - silentAfter
	others.settle(now, true)
	return &Ledger{
		slack:    slack,
		accounts: map[string]*account{},
		others:   others,
		crowd:    EntryCount{Entries: assumed},
		unsent:   map[string]float64{},
	}
}

// SetLimits brings the limits into force. A new workspace begins with an empty bucket,
// since other entries may have used it up. Set returns the limits that have changed.
func (l *Ledger) SetLimits(now time.Duration, limits []Limit) []Limit {
	accounts, changed := setAccounts(now, l.accounts, limits)
	l.accounts = accounts
	l.scale(now)
	return changed
}

// setAccounts brings limits into force and returns those that have changed.
func setAccounts(now time.Duration, have map[string]*account, limits []Limit) (map[string]*account, []Limit) {
	var changed []Limit
	kept := map[string]*account{}
	for _, limit := range limits {
		a := have[limit.Workspace]
		if a == nil {
			a = &account{bucket: New(now, limit.Rate, limit.Burst), fresh: true}
		}
		if a.limit != limit {
			a.limit = limit
			a.bucket.Resize(now, limit.Rate, limit.Burst)
			changed = append(changed, limit)
		}
		kept[limit.Workspace] = a
	}
	return kept, changed
}

// SetEntryCount sets the number of all entries, this one included. For those that are not heard
// as large a part of the limits is set aside.
func (l *Ledger) SetEntryCount(now time.Duration, c EntryCount) {
	l.crowd, l.told = c, true
	l.scale(now)
}

// AssumeEntries sets the number of all entries until it is told.
func (l *Ledger) AssumeEntries(now time.Duration, entries int) {
	if l.told {
		return
	}
	l.crowd = EntryCount{Entries: max(assumed, entries)}
	l.scale(now)
}

// Adopt takes the levels of the buckets that were kept before this entry started.
func (l *Ledger) Adopt(now time.Duration, levels map[string]float64) {
	for name, level := range levels {
		if a := l.accounts[name]; a != nil && a.fresh {
			a.fresh = false
			a.bucket.Spend(now, a.bucket.Level(now)-level)
		}
	}
}

// AddRemoteUsage takes the tokens that the other entries have used since their last word.
func (l *Ledger) AddRemoteUsage(now time.Duration, used map[string]float64) {
	back := l.others.Silent()
	l.take(now, l.others.RecordUsage(now, used))
	if back {
		l.scale(now)
	}
}

// Relink takes note that the next word comes from another relay, which does not know
// what the other entries have used since the last one. What they were presumed to have
// used counts.
func (l *Ledger) Relink(now time.Duration) {
	l.presume(now)
	l.others.Forget()
}

// take takes tokens that others have used out of the buckets.
func (l *Ledger) take(now time.Duration, used map[string]float64) {
	for name, tokens := range used {
		if a := l.accounts[name]; a != nil {
			a.bucket.Spend(now, tokens)
		}
	}
}

// presume takes out of the buckets what the other entries are likely to have used since
// their last word.
func (l *Ledger) presume(now time.Duration) {
	if l.others.Silent() {
		return
	}
	used := map[string]float64{}
	for name := range l.accounts {
		used[name] = l.others.presume(now, name)
	}
	l.others.settle(now, false)
	l.take(now, used)
}

// Tick sets the part of the other entries aside while they are not heard.
func (l *Ledger) Tick(now time.Duration) {
	age := l.others.Age(now)
	if l.crowd.Entries <= 1 || age < presumedAfter {
		return
	}
	if age < silentAfter {
		l.presume(now)
		return
	}
	for _, a := range l.accounts {
		a.bucket.Spend(now, l.others.reserve(now, a, 1-l.part()))
	}
	l.others.settle(now, true)
	l.scale(now)
}

// part is this entry's part of the limits while it is alone.
func (l *Ledger) part() float64 { return 1 / float64(max(1, l.crowd.Entries)) }

// scale leaves the buckets what is not set aside for others.
func (l *Ledger) scale(now time.Duration) {
	left := 1 - l.crowd.AbsentShare()
	if l.others.Silent() {
		left = l.part()
	}
	for _, a := range l.accounts {
		a.scale(now, left)
	}
}

// scale makes the bucket a part of the limit.
func (a *account) scale(now time.Duration, part float64) {
	part = min(1, max(0, part))
	a.bucket.Resize(now, a.limit.Rate*part, a.limit.Burst*part)
}

// margin is what is kept back for the use of other entries that they have not told
// yet.
func (l *Ledger) margin(now time.Duration, workspace string) float64 {
	if l.others.Silent() {
		return 0
	}
	unheard := l.others.Rate(workspace) * min(l.others.Unsettled(now), presumedAfter).Seconds()
	return max(0, unheard-l.slack)
}

// TimeUntil returns the time until a workspace has that many tokens, or 0 if they are
// there. More than a full bucket holds is there with a full bucket.
func (l *Ledger) TimeUntil(now time.Duration, workspace string, tokens float64) time.Duration {
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

// Charge charges a workspace and reports whether the tokens were there.
func (l *Ledger) Charge(now time.Duration, workspace string, tokens float64) bool {
	if l.TimeUntil(now, workspace, tokens) > 0 {
		return false
	}
	l.spend(now, workspace, tokens)
	return true
}

// Refund returns tokens of a request that has not run.
func (l *Ledger) Refund(now time.Duration, workspace string, tokens float64) {
	l.spend(now, workspace, -tokens)
}

// spend takes tokens that are used through this entry.
func (l *Ledger) spend(now time.Duration, workspace string, tokens float64) {
	a := l.accounts[workspace]
	if a == nil {
		return
	}
	a.bucket.Spend(now, tokens)
	l.unsent[workspace] += tokens
}

// Unsent returns the tokens used through this entry that were not told yet, and counts
// them as told.
func (l *Ledger) Unsent() map[string]float64 {
	out := l.unsent
	l.unsent = map[string]float64{}
	return out
}

// MarkUnsent counts tokens as not told.
func (l *Ledger) MarkUnsent(used map[string]float64) {
	for name, tokens := range used {
		l.unsent[name] += tokens
	}
}

// RetryAfter returns the time after which a request for tokens that are not there is to
// come back: when those that were refused before it have had theirs.
func (l *Ledger) RetryAfter(now time.Duration, workspace string, tokens float64) time.Duration {
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	a.promised = max(0, a.promised-a.limit.Rate*(now-a.at).Seconds())
	a.at = now
	a.promised += max(0, tokens-a.bucket.Level(now))
	return time.Duration(a.promised / a.limit.Rate * float64(time.Second))
}
