package limiter

import (
	"time"

	"oleanderstall/timer"
)

// absentAfter is how long the rest of the fleet may go without a report before its share of
// the limits is reserved. Until then it counts as using tokens at its recent rate, so that
// an entry can switch to another relay meanwhile.
const absentAfter = 900 * time.Millisecond

// minAssumedEntries is the least number of entries that an entry assumes until a relay has
// reported the number.
const minAssumedEntries = 16

// Limit is the rate and burst of a workspace, in tokens a second and tokens. A
// rate of 0 means no limit.
type Limit struct {
	Workspace string
	Rate      float64
	Burst     float64
}

// SpreadBurst returns the limit with half of its burst converted to rate, spread over windows
// of that length. No such window allows more than before, and a workspace that steadily sends
// above its rate is refused less.
func (l Limit) SpreadBurst(window time.Duration) Limit {
	if window <= 0 || l.Rate <= 0 {
		return l
	}
	half := l.Burst / 2
	l.Rate += half / window.Seconds()
	l.Burst -= half
	return l
}

// account is the bucket of one workspace with its limit.
type account struct {
	limit  Limit
	bucket *Bucket
	// deferred is the number of tokens of refused requests that were given a time to
	// retry, as of deferredAt.
	deferred   float64
	deferredAt time.Duration
	// levelUnknown is set until the level that other processes have kept is known.
	levelUnknown bool
}

// Ledger is one entry's account of the workspaces' tokens. Every entry keeps the whole
// bucket of each workspace and subtracts what all entries have used, so that no request
// needs a call to another process. Usage by the other entries arrives late, as one sum; a
// bucket that turns out to be overdrawn stays empty until it is refilled. An entry that
// receives no reports keeps to its own share. A Ledger is not safe for concurrent use.
type Ledger struct {
	// slack is the number of tokens that all entries together may use beyond a bucket
	// because they have not reported them yet.
	slack    float64
	accounts map[string]*account
	// remote is the usage of all other entries.
	remote *UsageSource
	// entryCount counts all entries; countReported is set once a relay has reported the
	// number.
	entryCount    EntryCount
	countReported bool
	// unsent are the tokens used through this entry that have not been sent yet, by
	// workspace.
	unsent map[string]float64
}

// NewLedger returns a ledger without workspaces, for an entry that has not received a
// report about the others. The entries together may use slack tokens beyond a bucket
// because they have not reported them to each other yet.
func NewLedger(now time.Duration, slack float64) *Ledger {
	remote := NewUsageSource(now)
	remote.reportedAt = now - absentAfter
	remote.finishRound(now, true)
	return &Ledger{
		slack:      slack,
		accounts:   map[string]*account{},
		remote:     remote,
		entryCount: EntryCount{Entries: minAssumedEntries},
		unsent:     map[string]float64{},
	}
}

// SetLimits applies the limits and returns those that have changed. A new workspace starts
// with an empty bucket, since other entries may have used it up.
func (l *Ledger) SetLimits(now time.Duration, limits []Limit) []Limit {
	accounts, changed := setAccounts(now, l.accounts, limits)
	l.accounts = accounts
	l.resizeBuckets(now)
	return changed
}

// setAccounts applies limits to the accounts. It returns the new accounts and the limits
// that have changed.
func setAccounts(now time.Duration, existing map[string]*account, limits []Limit) (map[string]*account, []Limit) {
	var changed []Limit
	updated := map[string]*account{}
	for _, limit := range limits {
		a := existing[limit.Workspace]
		if a == nil {
			a = &account{bucket: NewBucket(now, limit.Rate, limit.Burst), levelUnknown: true}
		}
		if a.limit != limit {
			a.limit = limit
			a.bucket.Resize(now, limit.Rate, limit.Burst)
			changed = append(changed, limit)
		}
		updated[limit.Workspace] = a
	}
	return updated, changed
}

// SetEntryCount sets the number of all entries, including this one. The share of the limits
// of the absent ones is reserved. A number that is not plausible is ignored.
func (l *Ledger) SetEntryCount(now time.Duration, c EntryCount) {
	if !c.plausible() {
		return
	}
	l.entryCount, l.countReported = c, true
	l.resizeBuckets(now)
}

// AssumeEntries sets the assumed number of all entries until SetEntryCount is called.
func (l *Ledger) AssumeEntries(now time.Duration, entries int) {
	if l.countReported {
		return
	}
	l.entryCount = EntryCount{Entries: max(minAssumedEntries, entries)}
	l.resizeBuckets(now)
}

// AdoptLevels sets the levels of buckets that were kept before this entry started. It changes
// each bucket once at most, and none to a level that is not plausible.
func (l *Ledger) AdoptLevels(now time.Duration, levels map[string]float64) {
	for name, level := range levels {
		if a := l.accounts[name]; a != nil && a.levelUnknown && plausible(level) {
			a.levelUnknown = false
			a.bucket.Spend(now, a.bucket.Level(now)-level)
		}
	}
}

// AddRemoteUsage subtracts the tokens that the other entries have used since their last
// report.
func (l *Ledger) AddRemoteUsage(now time.Duration, used map[string]float64) {
	wasAbsent := l.remote.Absent()
	l.spendRemote(now, l.remote.RecordUsage(now, used))
	if wasAbsent {
		l.resizeBuckets(now)
	}
}

// SwitchRelay records that the next report comes from another relay, which does not know what
// the other entries have used since the last report. Their expected usage since then
// counts as used.
func (l *Ledger) SwitchRelay(now time.Duration) {
	l.reserveExpected(now)
	l.remote.CommitReserved()
}

// spendRemote subtracts tokens that other entries have used from the buckets.
func (l *Ledger) spendRemote(now time.Duration, used map[string]float64) {
	for name, tokens := range used {
		if a := l.accounts[name]; a != nil {
			a.bucket.Spend(now, tokens)
		}
	}
}

// reserveExpected subtracts from the buckets what the other entries are expected to have
// used since their last report.
func (l *Ledger) reserveExpected(now time.Duration) {
	if l.remote.Absent() {
		return
	}
	used := map[string]float64{}
	for name := range l.accounts {
		used[name] = l.remote.reserveExpected(now, name)
	}
	l.remote.finishRound(now, false)
	l.spendRemote(now, used)
}

// Tick reserves tokens for the other entries while they do not report: their expected usage
// at first, and their share of the limits after absentAfter.
func (l *Ledger) Tick(now time.Duration) {
	age := l.remote.ReportAge(now)
	if l.entryCount.Entries <= 1 || age < expectedAfter {
		return
	}
	if age < absentAfter {
		l.reserveExpected(now)
		return
	}
	for _, a := range l.accounts {
		a.bucket.Spend(now, l.remote.reserveShare(now, a, 1-l.ownShare()))
	}
	l.remote.finishRound(now, true)
	l.resizeBuckets(now)
}

// ownShare returns this entry's share of the limits while the others are absent.
func (l *Ledger) ownShare() float64 { return 1 / float64(max(1, l.entryCount.Entries)) }

// resizeBuckets reduces the buckets by the share that is reserved for other entries.
func (l *Ledger) resizeBuckets(now time.Duration) {
	share := 1 - l.entryCount.AbsentShare()
	if l.remote.Absent() {
		share = l.ownShare()
	}
	for _, a := range l.accounts {
		a.resize(now, share)
	}
}

// resize sets the bucket to a share of the limit, from 0 to 1.
func (a *account) resize(now time.Duration, share float64) {
	share = min(1, max(0, share))
	a.bucket.Resize(now, a.limit.Rate*share, a.limit.Burst*share)
}

// unreportedMargin returns the tokens kept back for usage that other entries have not
// reported yet, beyond the slack.
func (l *Ledger) unreportedMargin(now time.Duration, workspace string) float64 {
	if l.remote.Absent() {
		return 0
	}
	unreported := l.remote.Rate(workspace) * min(l.remote.UnsettledTime(now), expectedAfter).Seconds()
	return max(0, unreported-l.slack)
}

// TimeUntil returns the time until a workspace has that many tokens, or 0 if it has them or
// has no limit. A full bucket suffices for more tokens than it can hold.
func (l *Ledger) TimeUntil(now time.Duration, workspace string, tokens float64) time.Duration {
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	level := a.bucket.Level(now)
	need := tokens + l.unreportedMargin(now, workspace)
	if level >= min(need, a.bucket.Burst()) {
		return 0
	}
	return timer.FromSeconds((need - level) / a.limit.Rate)
}

// Charge charges a workspace for tokens. It reports false and charges nothing if they are
// not available.
func (l *Ledger) Charge(now time.Duration, workspace string, tokens float64) bool {
	if l.TimeUntil(now, workspace, tokens) > 0 {
		return false
	}
	l.spend(now, workspace, tokens)
	return true
}

// Refund returns the tokens of a request that has not run.
func (l *Ledger) Refund(now time.Duration, workspace string, tokens float64) {
	l.spend(now, workspace, -tokens)
}

// spend charges tokens that are used through this entry.
func (l *Ledger) spend(now time.Duration, workspace string, tokens float64) {
	a := l.accounts[workspace]
	if a == nil {
		return
	}
	a.bucket.Spend(now, tokens)
	l.unsent[workspace] += tokens
}

// TakeUnsent returns the tokens used through this entry that have not been sent yet, by
// workspace, and marks them as sent.
func (l *Ledger) TakeUnsent() map[string]float64 {
	unsent := l.unsent
	l.unsent = map[string]float64{}
	return unsent
}

// MarkUnsent adds tokens to those that have not been sent yet.
func (l *Ledger) MarkUnsent(used map[string]float64) {
	for name, tokens := range used {
		l.unsent[name] += tokens
	}
}

// RetryAfter returns the time after which a request for unavailable tokens should be
// retried: once the requests refused before it can have had their tokens.
func (l *Ledger) RetryAfter(now time.Duration, workspace string, tokens float64) time.Duration {
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	a.deferred = max(0, a.deferred-a.limit.Rate*(now-a.deferredAt).Seconds())
	a.deferredAt = now
	a.deferred += max(0, tokens-a.bucket.Level(now))
	return timer.FromSeconds(a.deferred / a.limit.Rate)
}
