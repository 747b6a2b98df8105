package limiter

import "time"

// maxAbsence is the time without a report after which a source is removed, so that its share
// is no longer reserved.
const maxAbsence = 20 * time.Second

// RelayLedger is a relay's account of the workspaces' tokens. It adds up the reports of its
// sources and passes on what is reserved for absent ones as if they had used it. It is
// not safe for concurrent use.
type RelayLedger struct {
	accounts map[string]*account
	sources  map[string]*entrySource
}

// entrySource is a usage source with the number of entries that it represents.
type entrySource struct {
	*UsageSource
	entryCount EntryCount
}

// EntryCount is a number of entries, and how many of them are absent, that is, do not
// report.
type EntryCount struct {
	Entries int
	Absent  int
}

// maxEntries is the highest number of entries that is taken from a report.
const maxEntries = 1 << 16

// plausible reports whether a fleet can have that many entries.
func (c EntryCount) plausible() bool { return c.Entries >= 0 && c.Entries <= maxEntries }

// NewRelayLedger returns a ledger without workspaces and sources.
func NewRelayLedger() *RelayLedger {
	return &RelayLedger{accounts: map[string]*account{}, sources: map[string]*entrySource{}}
}

// SetLimits applies the limits.
func (l *RelayLedger) SetLimits(now time.Duration, limits []Limit) {
	l.accounts, _ = setAccounts(now, l.accounts, limits)
}

// SetSource adds a source that represents some entries, or changes their number. The source
// itself reports as used what is reserved for its absent entries. A number that is not plausible
// is ignored.
func (l *RelayLedger) SetSource(now time.Duration, name string, c EntryCount) {
	s := l.sources[name]
	if s == nil {
		s = &entrySource{UsageSource: NewUsageSource(now)}
		l.sources[name] = s
	}
	if c.plausible() {
		s.entryCount = c
	}
}

// RemoveSource removes a source that uses nothing more or whose usage another source reports.
func (l *RelayLedger) RemoveSource(name string) { delete(l.sources, name) }

// RecordUsage records the tokens that a source has used since its last report. It returns
// them less what was reserved, or nil for an unknown source.
func (l *RelayLedger) RecordUsage(now time.Duration, name string, used map[string]float64) map[string]float64 {
	s := l.sources[name]
	if s == nil {
		return nil
	}
	unreserved := s.UsageSource.RecordUsage(now, used)
	l.spend(now, unreserved)
	return unreserved
}

func (l *RelayLedger) spend(now time.Duration, used map[string]float64) {
	for name, tokens := range used {
		if a := l.accounts[name]; a != nil {
			a.bucket.Spend(now, tokens)
		}
	}
}

// Tick reserves tokens for sources that do not report and returns what it took out of the
// buckets, by source and workspace. It removes sources that have not reported for maxAbsence.
func (l *RelayLedger) Tick(now time.Duration) map[string]map[string]float64 {
	reserved := map[string]map[string]float64{}
	for name, s := range l.sources {
		switch age := s.ReportAge(now); {
		case age >= maxAbsence:
			delete(l.sources, name)
		case age >= expectedAfter:
			reserved[name] = l.reserve(now, s, age >= absentAfter)
		}
	}
	for _, taken := range reserved {
		l.spend(now, taken)
	}
	share := 1 - l.EntryCount().AbsentShare()
	for _, a := range l.accounts {
		a.resize(now, share)
	}
	return reserved
}

// reserve reserves the expected usage of a source, or its whole share if it is absent, and
// returns what is to be taken out of the buckets.
func (l *RelayLedger) reserve(now time.Duration, s *entrySource, absent bool) map[string]float64 {
	taken, entries := map[string]float64{}, max(1, l.EntryCount().Entries)
	for name, a := range l.accounts {
		tokens := 0.0
		if absent {
			tokens = s.reserveShare(now, a, float64(s.entryCount.Entries)/float64(entries))
		} else {
			tokens = s.reserveExpected(now, name)
		}
		if tokens > 0 {
			taken[name] = tokens
		}
	}
	s.finishRound(now, absent)
	return taken
}

// EntryCount returns the number of entries of all sources. All entries of an absent source
// count as absent.
func (l *RelayLedger) EntryCount() EntryCount {
	var sum EntryCount
	for _, s := range l.sources {
		sum.Entries += s.entryCount.Entries
		if s.Absent() {
			sum.Absent += s.entryCount.Entries
		} else {
			sum.Absent += s.entryCount.Absent
		}
	}
	return sum
}

// AbsentShare returns the share of the entries that are absent.
func (c EntryCount) AbsentShare() float64 { return float64(c.Absent) / float64(max(1, c.Entries)) }

// Levels returns the tokens in the buckets of the workspaces that have a limit.
func (l *RelayLedger) Levels(now time.Duration) map[string]float64 {
	levels := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if a.limit.Rate > 0 {
			levels[name] = a.bucket.Level(now)
		}
	}
	return levels
}
