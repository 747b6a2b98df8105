package limiter

import "time"

// reservedFor is how long the part of a source that stays silent is set aside.
const reservedFor = 20 * time.Second

// RelayLedger is a relay's account of the workspaces' tokens: it adds up what the sources
// tell, and tells what silent ones may use meanwhile as if they had used it. It is
// not safe for concurrent use.
type RelayLedger struct {
	accounts map[string]*account
	sources  map[string]*counted
}

// counted is a source with the entries that it stands for.
type counted struct {
	*UsageSource
	crowd EntryCount
}

// EntryCount is a number of entries, and how many of them are not heard.
type EntryCount struct {
	Entries int
	Absent  int
}

// NewRelayLedger returns a tally without workspaces and sources.
func NewRelayLedger() *RelayLedger {
	return &RelayLedger{accounts: map[string]*account{}, sources: map[string]*counted{}}
}

// SetLimits brings the limits into force.
func (t *RelayLedger) SetLimits(now time.Duration, limits []Limit) {
	t.accounts, _ = setAccounts(now, t.accounts, limits)
}

// Join adds a source that stands for some entries, or changes their number. What is set
// aside for those of them that are not heard the source tells as used.
func (t *RelayLedger) Join(now time.Duration, name string, c EntryCount) {
	s := t.sources[name]
	if s == nil {
		s = &counted{UsageSource: NewUsageSource(now)}
		t.sources[name] = s
	}
	s.crowd = c
}

// Leave removes a source that uses nothing more, or is told of by another.
func (t *RelayLedger) Leave(name string) { delete(t.sources, name) }

// RecordUsage takes the tokens that a source has used since its last word, and returns those
// that count.
func (t *RelayLedger) RecordUsage(now time.Duration, name string, used map[string]float64) map[string]float64 {
	s := t.sources[name]
	if s == nil {
		return nil
	}
	news := s.UsageSource.RecordUsage(now, used)
	t.spend(now, news)
	return news
}

func (t *RelayLedger) spend(now time.Duration, used map[string]float64) {
	for name, tokens := range used {
		if a := t.accounts[name]; a != nil {
			a.bucket.Spend(now, tokens)
		}
	}
}

// Tick returns what was taken out of the buckets for sources that are silent, by
// source, and forgets those that have been silent for long.
func (t *RelayLedger) Tick(now time.Duration) map[string]map[string]float64 {
	aside := map[string]map[string]float64{}
	for name, s := range t.sources {
		switch age := s.Age(now); {
		case age >= reservedFor:
			delete(t.sources, name)
		case age >= presumedAfter:
			aside[name] = t.setAside(now, s, age >= silentAfter)
		}
	}
	for _, taken := range aside {
		t.spend(now, taken)
	}
	left := 1 - t.EntryCount().AbsentShare()
	for _, a := range t.accounts {
		a.scale(now, left)
	}
	return aside
}

// setAside sets aside what a source is likely to use, or its whole part once it counts
// as silent, and returns what it took.
func (t *RelayLedger) setAside(now time.Duration, s *counted, silent bool) map[string]float64 {
	taken, all := map[string]float64{}, t.EntryCount().Entries
	for name, a := range t.accounts {
		tokens := 0.0
		if silent {
			tokens = s.reserve(now, a, float64(s.crowd.Entries)/float64(all))
		} else {
			tokens = s.presume(now, name)
		}
		if tokens > 0 {
			taken[name] = tokens
		}
	}
	s.settle(now, silent)
	return taken
}

// EntryCount is all entries of the sources, those of silent ones as absent.
func (t *RelayLedger) EntryCount() EntryCount {
	var sum EntryCount
	for _, s := range t.sources {
		sum.Entries += s.crowd.Entries
		if s.Silent() {
			sum.Absent += s.crowd.Entries
		} else {
			sum.Absent += s.crowd.Absent
		}
	}
	return sum
}

// AbsentShare is the part of the entries that are not heard.
func (c EntryCount) AbsentShare() float64 { return float64(c.Absent) / float64(max(1, c.Entries)) }

// Levels returns the tokens in the buckets.
func (t *RelayLedger) Levels(now time.Duration) map[string]float64 {
	levels := make(map[string]float64, len(t.accounts))
	for name, a := range t.accounts {
		if a.limit.Rate > 0 {
			levels[name] = a.bucket.Level(now)
		}
	}
	return levels
}
