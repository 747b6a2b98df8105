// Package quarantiner decides which requests are no longer sent to backend servers because
// servers crash on them.
//
// A process that sends requests records each crash of a backend server with the requests
// there that had no answer yet: their fingerprints are the suspects of the crash. An answer
// to a request clears its fingerprints. Processes exchange the records, and each derives the
// quarantined fingerprints from them by the same rule. Records may therefore arrive late,
// more than once and in any order, and no process decides for others.
package quarantiner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits of the records and of the decision.
const (
	// minCrashes is the number of crashes, at separate moments, from which a fingerprint is
	// quarantined, and minCrashesAnswered that number for one which was answered before.
	minCrashes         = 3
	minCrashesAnswered = 6
	// minCrashesTogether is the number of crashes from which a whole request is quarantined if they
	// ended minCrashes of its repeats.
	minCrashesTogether = 2
	// momentGap is the shortest time between two separate moments. Servers that end within
	// it may have a common cause, such as a loss of power.
	momentGap = 100 * time.Millisecond
	// minScattered is the number of crashes from which a fingerprint that was never answered is
	// quarantined also without separate moments, if the crashes are spread over at least
	// minSpread: all servers that can run a model may crash one after the other before there
	// is a third moment. Servers that a common cause ends do so within less.
	minScattered = 5
	minSpread    = 30 * time.Millisecond
	// minAnsweredSpread is the time over which the crashes of a whole request that was answered
	// before are spread, so that other processes would have answered it meanwhile if it were sound.
	minAnsweredSpread = time.Second
	// lifetime is how long a crash is counted, and how long a fingerprint stays quarantined once a
	// trial is due.
	lifetime = time.Hour
	// minTrialWait and maxTrialWait bound the time without a crash after which a process lets
	// one request with a quarantined fingerprint through as a trial. In between it is trialBackoff
	// times the time over which the crashes are spread, so that few trials crash servers, however
	// long such requests come.
	minTrialWait = time.Minute
	maxTrialWait = 6 * time.Hour
	trialBackoff = 10
	// trialSpread bounds the time by which a process lets its trial through later than another
	// one. Each doubling of the number of processes makes the earliest of them earlier by a
	// trialDoublings-th of it, so that few are near the earliest, however many there are.
	trialSpread    = time.Minute
	trialDoublings = 12
	// sendSpread bounds the delay of a doubtful request. Such requests are spread over it as trials are
	// over trialSpread, so that a crash on the first ones is known before most are sent.
	sendSpread = 2 * time.Second
	// maxCrashes bounds the crashes that are kept, maxSuspects the suspects of one crash: the parts
	// of prompts, and the whole requests, each by themselves.
	maxCrashes  = 128
	maxSuspects = 128
	// maxAnswered bounds the fingerprints that are known to have been answered.
	maxAnswered = 4096
	// maxSkew bounds the difference of the instants that processes record for one crash.
	maxSkew = time.Minute
	// decisionInterval is the longest time between two decisions, so that crashes expire.
	decisionInterval = time.Second
)

// Fingerprint identifies content that several requests may hold.
type Fingerprint struct {
	// ID is the hash of the content.
	ID uint64
	// Depth is the position of the content in the request. Of the parts of a prompt, a
	// deeper one is shared by fewer requests.
	Depth int
	// Whole is set for the fingerprint of a whole request, and Request is then the hash of the ID of
	// the request that holds it, by which its repeats are told apart.
	Whole   bool
	Request uint32
}

// Process is a process of a backend server.
type Process struct {
	Server string
	// Started is the start of the process in Unix milliseconds.
	Started int64
}

// subject is a fingerprint of the requests to one pool. Whether servers crash on it depends
// on the software of the pool's servers.
type subject struct {
	pool string
	id   uint64
}

// suspect is a fingerprint of a request that had no answer when a server crashed.
type suspect struct {
	depth int
	whole bool
	// requests are those with the fingerprint of a whole request that the crash ended.
	requests requestSet
	// cleared is set once a request with the fingerprint was answered after the crash, and
	// answered if that happened before.
	cleared  bool
	answered bool
}

// requestSet holds the hashes of the IDs of at most minCrashes requests, the lowest ones, in ascending
// order. The rest is 0.
type requestSet [minCrashes]uint32

// union returns the lowest hashes of both sets.
func (s requestSet) union(other requestSet) requestSet {
	all := slices.DeleteFunc(append(s[:], other[:]...), func(hash uint32) bool { return hash == 0 })
	slices.Sort(all)
	all = slices.Compact(all)
	var merged requestSet
	for i, hash := range all[:min(len(all), len(merged))] {
		merged[i] = hash
	}
	return merged
}

// count returns the number of requests.
func (s requestSet) count() int {
	n := 0
	for _, hash := range s {
		if hash != 0 {
			n++
		}
	}
	return n
}

// crash is what is known of the crash of a server.
type crash struct {
	pool     string
	at       time.Duration
	suspects map[uint64]suspect
}

// Quarantine describes a quarantined fingerprint.
type Quarantine struct {
	subject subject
	crashes int
	since   time.Duration
	last    time.Duration
}

// Pool returns the pool whose servers crash on the fingerprint.
func (q *Quarantine) Pool() string { return q.subject.pool }

// ID returns the fingerprint's hash.
func (q *Quarantine) ID() uint64 { return q.subject.id }

// Crashes returns the number of crashes counted.
func (q *Quarantine) Crashes() int { return q.crashes }

// Since returns the instant of the first of the crashes.
func (q *Quarantine) Since() time.Duration { return q.since }

// Until returns the instant at which the quarantine ends if there is no other crash.
func (q *Quarantine) Until() time.Duration { return q.RetryAt() + lifetime }

// RetryAt returns the earliest instant at which a process lets a request through as a trial.
func (q *Quarantine) RetryAt() time.Duration {
	return q.last + min(max(trialBackoff*(q.last-q.since), minTrialWait), maxTrialWait)
}

// Quarantiner holds the records of crashes and the quarantines that follow from them. It is
// not safe for concurrent use.
type Quarantiner struct {
	// trialDelay is how much later than RetryAt this process lets a trial through.
	trialDelay time.Duration
	crashes    map[Process]*crash
	// suspected holds at least the subjects of which a crash has a suspect that is not
	// cleared.
	suspected map[subject]bool
	// unsent are the processes whose records have changed here since TakeUnsent, and revision counts
	// these changes.
	unsent   map[Process]bool
	revision uint64
	// stale is set if a record has changed since the decision at decidedAt. It has led to quarantines,
	// and to doubtful, the whole requests that are not quarantined though a crash ended many of their
	// repeats.
	stale       bool
	decidedAt   time.Duration
	quarantines map[subject]*Quarantine
	doubtful    map[subject]bool
	changes     []Change
	// answered holds the latest instants at which requests with a fingerprint were answered,
	// previouslyAnswered those of the time before answered was last emptied.
	answered, previouslyAnswered map[subject]time.Duration
	// trials holds the latest trials of this process.
	trials map[subject]trial
}

// trial is a request that was let through to find out whether servers still crash on it.
type trial struct {
	request string
	at      time.Duration
}

// New returns a quarantiner without records. Its place in the order in which processes let
// trials through is between 0, the first, and 1; it is drawn at random for each process.
func New(place float64) *Quarantiner {
	return &Quarantiner{
		trialDelay:  delayOf(place, trialSpread),
		crashes:     map[Process]*crash{},
		suspected:   map[subject]bool{},
		unsent:      map[Process]bool{},
		quarantines: map[subject]*Quarantine{},
		trials:      map[subject]trial{},
		answered:    map[subject]time.Duration{},
	}
}

// delayOf returns the delay, at most spread, of what has a place drawn at random between 0 and 1. Few
// delays are near the shortest of them, however many are drawn.
func delayOf(place float64, spread time.Duration) time.Duration {
	return time.Duration(max(0, 1+math.Log2(place)/trialDoublings) * float64(spread))
}

// Idle reports whether there is no record of a crash, so that nothing is quarantined and no
// answer matters.
func (q *Quarantiner) Idle() bool { return len(q.crashes) == 0 }

// Revision returns the number of changes of records that were made here. It does not count what was
// merged.
func (q *Quarantiner) Revision() uint64 { return q.revision }

// Has reports whether there is a record of the crash of a process.
func (q *Quarantiner) Has(p Process) bool { return q.crashes[p] != nil }

// RecordCrash records that the process of a server of a pool crashed at an instant while a
// request with the given fingerprints had no answer. It is called once for each such request.
func (q *Quarantiner) RecordCrash(at time.Duration, p Process, pool string, fingerprints []Fingerprint) {
	c := q.crashOf(p, pool, at)
	for _, f := range fingerprints {
		q.addSuspect(c, f.ID, q.withAnswer(c, f.ID, suspect{depth: f.Depth, whole: f.Whole, requests: requestSet{f.Request}}))
	}
	q.markChanged(p)
}

// withAnswer adds to a suspect of a crash what this process knows of answers: the latest one
// clears the suspect if it came after the crash, even if the record came after the answer.
func (q *Quarantiner) withAnswer(c *crash, id uint64, s suspect) suspect {
	key := subject{c.pool, id}
	answeredAt, ok := q.answered[key]
	if !ok {
		answeredAt, ok = q.previouslyAnswered[key]
	}
	s.cleared = s.cleared || ok && answeredAt > c.at
	s.answered = s.answered || ok && answeredAt <= c.at
	return s
}

// crashOf returns the record of the crash of a process, made if there is none yet. Its
// instant is the earliest one that is known, unless that is maxSkew before the others.
func (q *Quarantiner) crashOf(p Process, pool string, at time.Duration) *crash {
	c := q.crashes[p]
	if c == nil {
		c = &crash{pool: pool, at: at, suspects: map[uint64]suspect{}}
		q.crashes[p] = c
		q.limitCrashes()
	}
	if c.at-at <= maxSkew {
		c.at = min(c.at, at)
	}
	return c
}

// addSuspect adds a suspect to a crash, or merges it with the one of the same fingerprint. It
// reports whether the crash has changed.
func (q *Quarantiner) addSuspect(c *crash, id uint64, s suspect) bool {
	known, ok := c.suspects[id]
	merged := suspect{
		depth:    max(known.depth, s.depth),
		whole:    known.whole || s.whole,
		cleared:  known.cleared || s.cleared,
		answered: known.answered || s.answered,
		requests: known.requests.union(s.requests),
	}
	if ok && merged == known {
		return false
	}
	c.suspects[id] = merged
	if len(c.suspects) > maxSuspects && c.dropExcess(merged.whole) == id {
		return false
	}
	if !merged.cleared {
		q.suspected[subject{c.pool, id}] = true
	}
	return true
}

// dropExcess drops a suspect if there are too many whole requests, or too many parts, and returns its
// ID, or else 0. It is the one that the fewest requests hold and, of the deepest ones, that with the
// highest ID, so that processes which merge the same records keep the same suspects.
func (c *crash) dropExcess(whole bool) uint64 {
	var ids []uint64
	for id, s := range c.suspects {
		if s.whole == whole {
			ids = append(ids, id)
		}
	}
	if len(ids) <= maxSuspects {
		return 0
	}
	deepest := slices.MaxFunc(ids, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(c.suspects[a].depth, c.suspects[b].depth), cmp.Compare(a, b))
	})
	delete(c.suspects, deepest)
	return deepest
}

// RecordAnswer records that a request with the given fingerprints to a pool was answered, at
// least in part. It clears them of the crashes up to now.
func (q *Quarantiner) RecordAnswer(now time.Duration, pool string, fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		key := subject{pool, f.ID}
		q.answered[key] = now
		if q.suspected[key] {
			q.clear(key)
		}
	}
	if len(q.answered) >= maxAnswered/2 {
		q.previouslyAnswered, q.answered = q.answered, map[subject]time.Duration{}
	}
}

// clear clears a fingerprint of all crashes.
func (q *Quarantiner) clear(key subject) {
	delete(q.suspected, key)
	for p, c := range q.crashes {
		s, ok := c.suspects[key.id]
		if c.pool != key.pool || !ok || s.cleared {
			continue
		}
		s.cleared = true
		c.suspects[key.id] = s
		q.markChanged(p)
	}
}

// markChanged records that the record of a process is to be sent and decided on.
func (q *Quarantiner) markChanged(p Process) {
	q.revision++
	q.unsent[p] = true
	q.stale = true
}

// limitCrashes drops the oldest record while there are too many, first of those on which no
// quarantine rests.
func (q *Quarantiner) limitCrashes() {
	if len(q.crashes) <= maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(q.crashes)), func(a, b Process) int {
		ca, cb := q.crashes[a], q.crashes[b]
		return cmp.Or(compareBool(q.quarantineOf(ca) != nil, q.quarantineOf(cb) != nil), cmp.Compare(ca.at, cb.at))
	})
	q.drop(oldest)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// drop deletes the record of a process.
func (q *Quarantiner) drop(p Process) {
	delete(q.crashes, p)
	delete(q.unsent, p)
	q.stale = true
}

// quarantineOf returns the quarantine that rests on a crash, or nil if there is none.
func (q *Quarantiner) quarantineOf(c *crash) *Quarantine {
	for id, s := range c.suspects {
		if found := q.quarantines[subject{c.pool, id}]; found != nil && !s.cleared {
			return found
		}
	}
	return nil
}

// Check returns the quarantine of a request with the given ID and fingerprints to a pool, or nil
// if it may be sent.
func (q *Quarantiner) Check(now time.Duration, request, pool string, fingerprints []Fingerprint) *Quarantine {
	q.Update(now)
	for _, f := range fingerprints {
		found := q.quarantines[subject{pool, f.ID}]
		if found != nil && !q.isTrial(now, request, found) {
			return found
		}
	}
	return nil
}

// isTrial reports whether a request is let through as a trial. There is one for each wait
// without a crash.
func (q *Quarantiner) isTrial(now time.Duration, request string, found *Quarantine) bool {
	wait := found.RetryAt() - found.last
	last, ok := q.trials[found.subject]
	if ok && now-last.at < wait {
		return last.request == request && last.at > found.last
	}
	if now < found.RetryAt()+q.trialDelay {
		return false
	}
	q.trials[found.subject] = trial{request: request, at: now}
	return true
}

// SendDelay returns how long a request with the given fingerprints to a pool, which Check lets pass,
// waits before it is sent. It is 0 unless the request is doubtful, and depends then on the request's
// place, drawn at random between 0 and 1: many repeats may be ready to be sent at the same instant,
// when a server that can run them starts.
func (q *Quarantiner) SendDelay(now time.Duration, pool string, fingerprints []Fingerprint, place float64) time.Duration {
	q.Update(now)
	for _, f := range fingerprints {
		if q.doubtful[subject{pool, f.ID}] {
			return delayOf(place, sendSpread)
		}
	}
	return 0
}
