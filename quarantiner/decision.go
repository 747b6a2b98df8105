package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

//go:generate stringer -type=EndCause -linecomment

// EndCause is why a quarantine has ended.
type EndCause int

// Causes. The comment behind a constant is its written name.
const (
	// NotEnded is the cause of a quarantine that has started.
	NotEnded EndCause = iota // none
	// Answered quarantines end because a request with the fingerprint was answered.
	Answered // answered
	// Expired ones end because the latest crash is long ago.
	Expired // expired
	// Explained ones end because another fingerprint explains their crashes.
	Explained // explained
)

// Change is the start or the end of a quarantine.
type Change struct {
	quarantine *Quarantine
	cause      EndCause
}

// Quarantine returns the quarantine that has started or ended.
func (c Change) Quarantine() *Quarantine { return c.quarantine }

// Ended reports whether the quarantine has ended.
func (c Change) Ended() bool { return c.cause != NotEnded }

// Cause returns why the quarantine has ended.
func (c Change) Cause() EndCause { return c.cause }

// TakeChanges returns the changes since the last call.
func (q *Quarantiner) TakeChanges() []Change {
	changes := q.changes
	q.changes = nil
	return changes
}

// Quarantines returns the quarantines as of the latest decision, by pool and ID.
func (q *Quarantiner) Quarantines() []*Quarantine {
	return slices.SortedFunc(maps.Values(q.quarantines), func(a, b *Quarantine) int {
		return cmp.Or(cmp.Compare(a.subject.pool, b.subject.pool), cmp.Compare(a.subject.id, b.subject.id))
	})
}

// Update renews the decision if a record has changed or decisionInterval has passed, and drops
// the records that have expired.
func (q *Quarantiner) Update(now time.Duration) {
	if !q.stale && (q.Idle() || now-q.decidedAt < decisionInterval) {
		return
	}
	previous := q.quarantines
	q.quarantines = q.decide()
	if q.expire(now) {
		q.quarantines = q.decide()
	}
	q.doubtful = q.findDoubtful()
	q.stale, q.decidedAt = false, now
	q.limitSuspected()
	q.recordChanges(previous)
}

// limitSuspected removes the subjects of dropped records from suspected once there are more than
// the records that are kept can have.
func (q *Quarantiner) limitSuspected() {
	if len(q.suspected) <= 2*maxCrashes*maxSuspects {
		return
	}
	clear(q.suspected)
	for _, c := range q.crashes {
		for id, s := range c.suspects {
			if !s.cleared {
				q.suspected[subject{c.pool, id}] = true
			}
		}
	}
}

// expire drops the crashes older than lifetime, unless a quarantine that goes on rests on
// them. It reports whether there were any.
func (q *Quarantiner) expire(now time.Duration) bool {
	var expired []Process
	for p, c := range q.crashes {
		if now-c.at <= lifetime {
			continue
		}
		if quarantine := q.quarantineOf(c); quarantine == nil || now > quarantine.Until() {
			expired = append(expired, p)
		}
	}
	for _, p := range expired {
		q.drop(p)
	}
	return len(expired) > 0
}

// decide returns the quarantines that follow from the records. The fingerprint that was in
// flight at the most crashes explains these; what the remaining crashes have in common is
// then looked for in the same way, so that a fingerprint that only accompanies the fatal one
// is not quarantined for it. A whole request is quarantined for all of its crashes, whatever else
// explains them: it can only be one of several causes, and none but its repeats are refused for it.
func (q *Quarantiner) decide() map[subject]*Quarantine {
	quarantines := map[subject]*Quarantine{}
	unexplained := slices.Collect(maps.Values(q.crashes))
	found := sufficientEvidence(unexplained)
	for _, e := range found {
		if e.whole {
			quarantines[e.subject] = e.quarantine()
		}
	}
	for len(found) > 0 {
		worst := slices.MaxFunc(found, compareEvidence)
		if !worst.whole {
			quarantines[worst.subject] = worst.quarantine()
		}
		unexplained = slices.DeleteFunc(unexplained, worst.explains)
		found = sufficientEvidence(unexplained)
	}
	return quarantines
}

// findDoubtful returns the whole requests that were never answered, of which a crash ended at least
// minCrashes repeats, and that are not quarantined: the crash may have had another cause.
func (q *Quarantiner) findDoubtful() map[subject]bool {
	doubtful := map[subject]bool{}
	for _, c := range q.crashes {
		for id, s := range c.suspects {
			if !s.whole || s.cleared || s.answered || s.requests.count() < minCrashes {
				continue
			}
			if key := (subject{c.pool, id}); q.quarantines[key] == nil {
				doubtful[key] = true
			}
		}
	}
	return doubtful
}

// evidence is what speaks against a fingerprint: the instants of the crashes at which it was
// in flight and of which it has not been cleared, sorted, and the number of separate moments
// among them.
type evidence struct {
	subject subject
	depth   int
	whole   bool
	// lost is the number of repeats of a whole request that the crashes ended, at most minCrashes of
	// each crash.
	lost    int
	crashes []time.Duration
	moments int
	// scattered is set if there are at least minScattered crashes, spread over minSpread.
	scattered bool
	// answered is set if a request with the fingerprint was answered before one of the crashes.
	answered bool
}

// sufficient reports whether the evidence suffices for a quarantine.
func (e *evidence) sufficient() bool {
	switch {
	case e.moments >= minCrashesAnswered:
		return true
	case e.whole && e.answered:
		return e.moments >= minCrashes && e.spread() >= minAnsweredSpread
	case e.whole:
		return max(len(e.crashes), e.lost) >= minCrashes && e.spread() >= minSpread
	}
	return !e.answered && (e.moments >= minCrashes || e.scattered)
}

// spread returns the time from the first crash to the last.
func (e *evidence) spread() time.Duration { return e.crashes[len(e.crashes)-1] - e.crashes[0] }

// weigh counts the crashes, given the instants of all crashes of the pool, sorted. Those of a whole
// request all count: that servers end around it for other causes does not make it sound.
func (e *evidence) weigh(all []time.Duration) {
	slices.Sort(e.crashes)
	counted := e.crashes
	if !e.whole {
		counted = countedCrashes(e.crashes, all)
	}
	e.moments, e.scattered = countMoments(counted), scattered(counted)
}

// sufficientEvidence returns the evidence in some crashes that suffices for a quarantine.
func sufficientEvidence(crashes []*crash) []*evidence {
	counts, instants := countSuspects(crashes)
	found := map[subject]*evidence{}
	for _, c := range crashes {
		for id, s := range c.suspects {
			key := subject{c.pool, id}
			if s.cleared || counts[key] < minCrashes && (counts[key] < minCrashesTogether || !s.whole) {
				continue
			}
			if found[key] == nil {
				found[key] = &evidence{subject: key}
			}
			found[key].crashes = append(found[key].crashes, c.at)
			found[key].lost += s.requests.count()
			found[key].depth = max(found[key].depth, s.depth)
			found[key].whole = found[key].whole || s.whole
			found[key].answered = found[key].answered || s.answered
		}
	}
	var sufficient []*evidence
	for _, e := range found {
		if e.weigh(instants[e.subject.pool]); e.sufficient() {
			sufficient = append(sufficient, e)
		}
	}
	return sufficient
}

// countSuspects returns the number of crashes by suspect, and the instants of all crashes by
// pool, sorted.
func countSuspects(crashes []*crash) (counts map[subject]int, instants map[string][]time.Duration) {
	counts, instants = map[subject]int{}, map[string][]time.Duration{}
	for _, c := range crashes {
		instants[c.pool] = append(instants[c.pool], c.at)
		for id, s := range c.suspects {
			if !s.cleared {
				counts[subject{c.pool, id}]++
			}
		}
	}
	for _, list := range instants {
		slices.Sort(list)
	}
	return counts, instants
}

// compareEvidence orders evidence by how much it weighs: what was never answered first, then by
// the number of crashes. Of several fingerprints that were always in flight together, the deepest
// one weighs most, since the fewest requests hold it.
func compareEvidence(a, b *evidence) int {
	return cmp.Or(
		compareBool(b.answered, a.answered),
		cmp.Compare(a.moments, b.moments),
		cmp.Compare(len(a.crashes), len(b.crashes)),
		cmp.Compare(a.depth, b.depth),
		cmp.Compare(a.subject.pool, b.subject.pool),
		cmp.Compare(a.subject.id, b.subject.id),
	)
}

// countedCrashes returns the crashes of a fingerprint that count. A crash does not count if
// most crashes of the pool around it lack the fingerprint: servers that end together do so
// for a common cause. Both lists are sorted.
func countedCrashes(crashes, all []time.Duration) []time.Duration {
	var counted []time.Duration
	for _, at := range crashes {
		if 2*countAround(crashes, at) >= countAround(all, at) {
			counted = append(counted, at)
		}
	}
	return counted
}

// countMoments returns the number of crashes that are at least momentGap apart. The list is
// sorted.
func countMoments(crashes []time.Duration) int {
	moments := 0
	var last time.Duration
	for _, at := range crashes {
		if moments == 0 || at-last >= momentGap {
			moments, last = moments+1, at
		}
	}
	return moments
}

// scattered reports whether there are at least minScattered crashes, spread over at least
// minSpread. The list is sorted.
func scattered(crashes []time.Duration) bool {
	n := len(crashes)
	return n >= minScattered && crashes[n-1]-crashes[0] >= minSpread
}

// countAround returns the number of instants of a sorted list that are less than momentGap
// from an instant.
func countAround(list []time.Duration, at time.Duration) int {
	first, _ := slices.BinarySearch(list, at-momentGap+1)
	end, _ := slices.BinarySearch(list, at+momentGap)
	return end - first
}

// explains reports whether a crash counts among the evidence.
func (e *evidence) explains(c *crash) bool {
	s, ok := c.suspects[e.subject.id]
	return ok && !s.cleared && c.pool == e.subject.pool
}

// quarantine returns the quarantine that follows from the evidence.
func (e *evidence) quarantine() *Quarantine {
	return &Quarantine{
		subject: e.subject,
		crashes: len(e.crashes),
		since:   e.crashes[0],
		last:    e.crashes[len(e.crashes)-1],
	}
}

// recordChanges records the differences between the previous and the current quarantines.
func (q *Quarantiner) recordChanges(previous map[subject]*Quarantine) {
	for key, quarantine := range q.quarantines {
		if previous[key] == nil {
			q.changes = append(q.changes, Change{quarantine: quarantine})
		}
	}
	for key, quarantine := range previous {
		if q.quarantines[key] == nil {
			delete(q.trials, key)
			q.changes = append(q.changes, Change{quarantine: quarantine, cause: q.endCause(key)})
		}
	}
}

// endCause returns why the quarantine of a fingerprint has ended.
func (q *Quarantiner) endCause(key subject) EndCause {
	cause := Expired
	for _, c := range q.crashes {
		s, ok := c.suspects[key.id]
		switch {
		case c.pool != key.pool || !ok:
		case s.cleared:
			return Answered
		default:
			cause = Explained
		}
	}
	return cause
}
