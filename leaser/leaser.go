// Package leaser implements the leases that decide which process may act for a shard.
//
// A shard's row in the platform's table names its holder, its epoch and its candidates.
// The holder extends its Tenure by writing the row or, if the platform does not respond,
// by obtaining a pledge from every candidate. A candidate follows the row with a Watch:
// if the row has not changed for a lease time, it may mark the row, must wait for
// another lease time, and may then take the shard over with a write that is conditional
// on its own mark. Both the tenure and the waiting time are based on the same lease
// time, so the old holder has stopped before the new one starts.
//
// All times are readings of the caller's own clock. None is sent to another process.
package leaser

import (
	"slices"
	"time"
)

// Row is a shard's row in the platform's table.
type Row struct {
	// Version is the platform's version of the row, or 0 if there is no row.
	Version uint64
	// Epoch is the fencing number of the tenure. It rises by one with each takeover,
	// also of a shard without a holder.
	Epoch  uint64
	Holder string
	// Mark names the candidate that has announced a takeover, or is empty.
	Mark       string
	Candidates []string
}

// Options are the durations that are the same in all processes of a fleet.
type Options struct {
	// Lease is how long a holder may act after it sent a successful renewal.
	Lease time.Duration
	// Margin is added to the waiting time of a candidate to allow for clock drift
	// between two processes.
	Margin time.Duration
}

// takeoverDelay returns how long a candidate waits before it may assume that the old
// holder has stopped.
func (o Options) takeoverDelay() time.Duration { return o.Lease + o.Margin }

// Tenure is the holder's state for one shard.
type Tenure struct {
	options    Options
	epoch      uint64
	version    uint64
	expiresAt  time.Duration
	candidates []string
}

// NewTenure returns the tenure that starts with a successful write of row, which was
// sent at sentAt.
func NewTenure(sentAt time.Duration, options Options, row Row) *Tenure {
	t := &Tenure{options: options}
	t.Renew(sentAt, row)
	return t
}

// Held reports whether the holder may act at now. It must be called immediately before
// each effect, since the process may have been paused after an earlier call.
func (t *Tenure) Held(now time.Duration) bool { return now < t.expiresAt }

// Epoch returns the fencing number of the tenure.
func (t *Tenure) Epoch() uint64 { return t.epoch }

// Version returns the row version on which the next write is conditional.
func (t *Tenure) Version() uint64 { return t.version }

// ExpiresAt returns the time at which the tenure expires.
func (t *Tenure) ExpiresAt() time.Duration { return t.expiresAt }

// Candidates returns the candidates that must all pledge for the tenure to be extended
// without the platform.
func (t *Tenure) Candidates() []string { return t.candidates }

// Renew extends the tenure after a successful write of row, which was sent at sentAt.
// The write was conditional on the row version, so no candidate had marked the row
// before it.
func (t *Tenure) Renew(sentAt time.Duration, row Row) {
	t.epoch = row.Epoch
	t.version = row.Version
	t.candidates = row.Candidates
	t.expiresAt = max(t.expiresAt, sentAt+t.options.Lease)
}

// AddCandidates adds the candidates of a write that is about to be sent. Until the outcome
// of the write is known, RenewByPledges requires the pledges of both the old and the new
// candidates.
func (t *Tenure) AddCandidates(candidates []string) {
	for _, c := range candidates {
		if !slices.Contains(t.candidates, c) {
			t.candidates = append(slices.Clip(t.candidates), c)
		}
	}
}

// Observe updates the tenure from a row that was read and that still names the holder. It
// does not extend the tenure. If the version is unchanged, a write by the holder may
// still be in progress, so the candidates of that write are kept.
func (t *Tenure) Observe(row Row) {
	if row.Version == t.version {
		return
	}
	t.version = row.Version
	t.candidates = row.Candidates
}

// RenewByPledges extends the tenure by the pledges of candidates, which were requested at
// sentAt or later, and reports whether it did. All candidates must have pledged. An
// expired tenure cannot be extended, nor can one without candidates.
func (t *Tenure) RenewByPledges(now, sentAt time.Duration, pledged []string) bool {
	if !t.Held(now) || len(t.candidates) == 0 {
		return false
	}
	for _, c := range t.candidates {
		if !slices.Contains(pledged, c) {
			return false
		}
	}
	t.expiresAt = max(t.expiresAt, sentAt+t.options.Lease)
	return true
}

// Watch is a candidate's state for one shard.
type Watch struct {
	options Options
	// version is the row version last read, and unchangedSince the time when it was
	// first read.
	version        uint64
	unchangedSince time.Duration
	// mayHaveMarked is set from before a mark is written until another version is read.
	mayHaveMarked bool
	// markVersion is the row version with this candidate's mark, known since markedAt.
	markVersion uint64
	markedAt    time.Duration
}

// NewWatch returns the watch of a process that has not read the row yet.
func NewWatch(options Options) *Watch { return &Watch{options: options} }

// Observe records that row was read at now. If a new row version carries the mark of
// self, the waiting time after the mark starts at now.
func (w *Watch) Observe(now time.Duration, self string, row Row) {
	if row.Version != w.version || w.unchangedSince == 0 {
		w.version = row.Version
		w.unchangedSince = now
		w.mayHaveMarked = false
	}
	if row.Mark == self && w.markVersion != row.Version {
		w.recordMark(now, row.Version)
	}
}

// Pledge reports whether this candidate pledges not to take the shard over within one
// lease time. A candidate that has marked the row, or may have, does not pledge. Any
// other candidate keeps its pledge without storing it, since it would have to mark the
// row and then wait for a lease time first.
func (w *Watch) Pledge() bool { return !w.mayHaveMarked }

// MayMark reports whether the candidate may write its mark to row at now. The row must
// be unmarked and must not have changed for a lease time plus the margin.
func (w *Watch) MayMark(now time.Duration, row Row) bool {
	if row.Version != w.version || row.Mark != "" {
		return false
	}
	return now >= w.unchangedSince+w.options.takeoverDelay()
}

// StartMark must be called before the write of a mark is sent. From then on the candidate
// does not pledge until it reads another version of the row.
func (w *Watch) StartMark() { w.mayHaveMarked = true }

// MarkWritten records that the write of the mark succeeded by now and created the given row
// version.
func (w *Watch) MarkWritten(now time.Duration, version uint64) {
	w.version = version
	w.unchangedSince = now
	w.recordMark(now, version)
}

func (w *Watch) recordMark(now time.Duration, version uint64) {
	w.mayHaveMarked = true
	w.markVersion = version
	w.markedAt = now
}

// MayTake reports whether the candidate may write itself as the holder to row at now.
// The row must carry its mark, written a lease time plus the margin ago, and the write
// must be conditional on the row version.
func (w *Watch) MayTake(now time.Duration, self string, row Row) bool {
	if row.Mark != self || row.Version != w.markVersion || !w.mayHaveMarked {
		return false
	}
	return now >= w.markedAt+w.options.takeoverDelay()
}

// WithMark returns the row to write in order to mark it for self.
func (r Row) WithMark(self string) Row {
	r.Mark = self
	return r
}

// WithTakeover returns the row to write for a takeover by self with the given candidates.
func (r Row) WithTakeover(self string, candidates []string) Row {
	return Row{
		Version:    r.Version,
		Epoch:      r.Epoch + 1,
		Holder:     self,
		Candidates: candidates,
	}
}

// WithRenewal returns the row to write for a renewal with the given candidates. It clears
// the mark.
func (r Row) WithRenewal(candidates []string) Row {
	r.Mark = ""
	r.Candidates = candidates
	return r
}
