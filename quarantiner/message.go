package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// TakeUnsent returns the records that have changed here since the last call, or all of them.
func (q *Quarantiner) TakeUnsent(now time.Duration, all bool) []*wire.Crash {
	defer clear(q.unsent)
	if all {
		return q.All(now)
	}
	var messages []*wire.Crash
	for p := range q.unsent {
		if q.Has(p) {
			messages = append(messages, q.Message(now, p))
		}
	}
	return messages
}

// All returns all records.
func (q *Quarantiner) All(now time.Duration) []*wire.Crash {
	var messages []*wire.Crash
	for p := range q.crashes {
		messages = append(messages, q.Message(now, p))
	}
	return messages
}

// MarkUnsent makes the next TakeUnsent return the records of the given messages again.
func (q *Quarantiner) MarkUnsent(messages []*wire.Crash) {
	for _, message := range messages {
		if p := processOf(message); q.Has(p) {
			q.unsent[p] = true
		}
	}
}

// processOf returns the process of a message.
func processOf(message *wire.Crash) Process {
	return Process{Server: message.GetServer(), Started: message.GetBorn()}
}

// Message returns the record of a process as a message, or nil if there is none.
func (q *Quarantiner) Message(now time.Duration, p Process) *wire.Crash {
	c := q.crashes[p]
	if c == nil {
		return nil
	}
	message := &wire.Crash{Server: p.Server, Born: p.Started, Pool: c.pool, Age: timer.ToMillis(now - c.at)}
	for id, s := range c.suspects {
		message.Suspects = append(message.Suspects, &wire.Suspect{
			Print: id, Depth: uint32(s.depth), Whole: s.whole, Requests: s.requests[:s.requests.count()], Cleared: s.cleared, Seen: s.answered,
		})
	}
	slices.SortFunc(message.Suspects, func(a, b *wire.Suspect) int { return cmp.Compare(a.GetPrint(), b.GetPrint()) })
	return message
}

// Limit returns the records of a message that are merged: no more than a process keeps.
func Limit(messages []*wire.Crash) []*wire.Crash { return messages[:min(len(messages), maxCrashes)] }

// tooManySuspects reports whether a message has more suspects than a record keeps.
func tooManySuspects(message *wire.Crash) bool {
	wholes := 0
	for _, s := range message.GetSuspects() {
		if s.GetWhole() {
			wholes++
		}
	}
	return max(wholes, len(message.GetSuspects())-wholes) > maxSuspects
}

// newRequestSet returns the first hashes of a message.
func newRequestSet(hashes []uint32) requestSet {
	var s requestSet
	copy(s[:], hashes)
	return s
}

// Merge adds the record of another process to the one known here. It returns the process of
// the server, and whether the record has changed. A message without a server, or with more
// suspects than a record has, is ignored.
func (q *Quarantiner) Merge(now time.Duration, message *wire.Crash) (p Process, changed bool) {
	p = processOf(message)
	if p.Server == "" || tooManySuspects(message) {
		return p, false
	}
	changed = q.crashes[p] == nil
	c := q.crashOf(p, message.GetPool(), now-timer.FromMillis(message.GetAge()))
	for _, s := range message.GetSuspects() {
		sent := suspect{depth: int(s.GetDepth()), whole: s.GetWhole(), requests: requestSet{}.union(newRequestSet(s.GetRequests())), cleared: s.GetCleared(), answered: s.GetSeen()}
		known := q.withAnswer(c, s.GetPrint(), sent)
		if !q.addSuspect(c, s.GetPrint(), known) {
			continue
		}
		changed = true
		if known != sent {
			q.unsent[p] = true
		}
	}
	q.stale = q.stale || changed
	return p, changed
}

// MergeSaved is Merge for a record that was read from the store, whose age is less exact: the
// instant of a crash that is known here stays.
func (q *Quarantiner) MergeSaved(now time.Duration, message *wire.Crash) (p Process, changed bool) {
	if c := q.crashes[processOf(message)]; c != nil {
		message.Age = timer.ToMillis(now - c.at)
	}
	return q.Merge(now, message)
}
