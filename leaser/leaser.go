// Package leaser decides who may act for a shard.
//
// A shard's row in the platform's table names its holder, its epoch and its
// candidates. A holder keeps its Tenure by writing the row or, when the platform
// does not answer, by a pledge from every candidate. A candidate keeps a Watch:
// it may mark the row, wait one lease time, and then take the shard with a write
// conditional on its own mark. Both timers hang on the same lease time, so the
// old holder has stopped before the new one starts.
//
// All instants are on the caller's own clock; none is sent to another process.
package leaser

import (
	"slices"
	"time"
)

// Row is a shard's row in the platform's table.
type Row struct {
	// Version is the platform's version of the row; 0 if there is no row.
	Version    uint64
	Epoch      uint64
	Holder     string
	Mark       string
	Candidates []string
}

// Options are the durations that all processes of a fleet share.
type Options struct {
	// Lease is how long a holder may act after a renewal.
	Lease time.Duration
	// Margin is added by a taker for the drift between two clocks.
	Margin time.Duration
}

// rest is how long a candidate waits for an old holder to stop.
func (t Options) rest() time.Duration { return t.Lease + t.Margin }

// Tenure is the holder's side of one shard.
type Tenure struct {
	terms      Options
	epoch      uint64
	version    uint64
	until      time.Duration
	candidates []string
}

// NewTenure returns the tenure that begins with a successful write of row, sent
// at the instant sent.
func NewTenure(sent time.Duration, terms Options, row Row) *Tenure {
	t := &Tenure{terms: terms}
	t.Renew(sent, row)
	return t
}

// Held reports whether the holder may act at now. It is to be asked at each
// effect, since the process may have been paused before it.
func (t *Tenure) Held(now time.Duration) bool { return now < t.until }

// Epoch returns the fencing number of the tenure.
func (t *Tenure) Epoch() uint64 { return t.epoch }

// Version returns the row version that the next write depends on.
func (t *Tenure) Version() uint64 { return t.version }

// Until returns the instant at which the tenure lapses.
func (t *Tenure) Until() time.Duration { return t.until }

// Candidates returns the instances whose pledges extend the tenure.
func (t *Tenure) Candidates() []string { return t.candidates }

// Renew extends the tenure after a successful write of row that was sent at the
// instant sent. The write is conditional on the row version, so no candidate had
// marked the row before it.
func (t *Tenure) Renew(sent time.Duration, row Row) {
	t.epoch = row.Epoch
	t.version = row.Version
	t.candidates = row.Candidates
	t.until = max(t.until, sent+t.terms.Lease)
}

// Offer adds the candidates of a write that is about to be sent. Until its
// outcome is known, a proof needs the pledges of the old and the new ones.
func (t *Tenure) Offer(candidates []string) {
	for _, c := range candidates {
		if !slices.Contains(t.candidates, c) {
			t.candidates = append(slices.Clip(t.candidates), c)
		}
	}
}

// Seen takes note of the row as read while the holder is still named in it. It
// does not extend the tenure. At the version last known, a write of the holder's
// own may still be under way, so the candidates it offered stay.
func (t *Tenure) Seen(row Row) {
	if row.Version == t.version {
		return
	}
	t.version = row.Version
	t.candidates = row.Candidates
}

// Prove extends the tenure after pledged candidates answered to requests that
// were sent at the instant sent or later. Every candidate has to be among them.
// It reports whether it extended: a tenure that has lapsed stays lapsed, and so
// does one without candidates.
func (t *Tenure) Prove(now, sent time.Duration, pledged []string) bool {
	if !t.Held(now) || len(t.candidates) == 0 {
		return false
	}
	for _, c := range t.candidates {
		if !slices.Contains(pledged, c) {
			return false
		}
	}
	t.until = max(t.until, sent+t.terms.Lease)
	return true
}

// Watch is a candidate's side of one shard.
type Watch struct {
	terms   Options
	version uint64
	since   time.Duration
	marked  bool
	mark    uint64
	marking time.Duration
}

// NewWatch returns the watch of a process that has seen nothing yet.
func NewWatch(terms Options) *Watch { return &Watch{terms: terms} }

// Observe takes note of row as read at now.
func (w *Watch) Observe(now time.Duration, self string, row Row) {
	if row.Version != w.version || w.since == 0 {
		w.version = row.Version
		w.since = now
		w.marked = false
	}
	if row.Mark == self && w.mark != row.Version {
		w.confirm(now, row.Version)
	}
}

// Pledge reports whether this candidate promises a holder not to take the shard
// within one lease time. A candidate that has marked, or may have, promises
// nothing. Any other keeps the promise without remembering it: it would have to
// mark first, and then wait a lease time.
func (w *Watch) Pledge() bool { return !w.marked }

// MayMark reports whether the candidate may write its mark over row at now: the
// row has stood unchanged for a lease time.
func (w *Watch) MayMark(now time.Duration, row Row) bool {
	if row.Version != w.version || row.Mark != "" {
		return false
	}
	return now >= w.since+w.terms.rest()
}

// Marking is to be called before the write of the mark is sent. From then on
// the candidate pledges nothing until it sees another version of the row.
func (w *Watch) Marking() { w.marked = true }

// Marked takes note at now that the write of the mark gave the row version.
func (w *Watch) Marked(now time.Duration, version uint64) {
	w.version = version
	w.since = now
	w.confirm(now, version)
}

func (w *Watch) confirm(now time.Duration, version uint64) {
	w.marked = true
	w.mark = version
	w.marking = now
}

// MayTake reports whether the candidate may write itself as the holder over row
// at now. The write has to be conditional on the row version.
func (w *Watch) MayTake(now time.Duration, self string, row Row) bool {
	if row.Mark != self || row.Version != w.mark || !w.marked {
		return false
	}
	return now >= w.marking+w.terms.rest()
}

// WithMark returns the row to write for a mark by self.
func (r Row) WithMark(self string) Row {
	r.Mark = self
	return r
}

// Taken returns the row to write for a takeover by self with its candidates.
func (r Row) Taken(self string, candidates []string) Row {
	return Row{
		Version:    r.Version,
		Epoch:      r.Epoch + 1,
		Holder:     self,
		Candidates: candidates,
	}
}

// Renewed returns the row to write for a renewal; it clears a mark.
func (r Row) Renewed(candidates []string) Row {
	r.Mark = ""
	r.Candidates = candidates
	return r
}
