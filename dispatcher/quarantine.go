package dispatcher

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/quarantiner"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Fingerprints returns the fingerprints of what r has in common with other requests: the parts
// of its prompt except the last one, which is its own, and its whole content.
func (r *Request) Fingerprints() []quarantiner.Fingerprint {
	var prints []quarantiner.Fingerprint
	for i := range len(r.Prompt) - 1 {
		prints = append(prints, quarantiner.Fingerprint{ID: r.Prompt[i].ID, Depth: i})
	}
	if r.Digest != 0 {
		prints = append(prints, quarantiner.Fingerprint{ID: r.Digest, Depth: len(r.Prompt), Whole: true, Request: uint32(router.Hash(r.ID))})
	}
	return prints
}

// NewDigest returns the digest of a request of a workspace, whose name the backend server receives,
// given the hash of the request's content. It is 0 if that is not known.
func NewDigest(workspace string, content uint64) uint64 {
	if content == 0 {
		return 0
	}
	return router.HashParts([]byte(workspace), binary.LittleEndian.AppendUint64(nil, content))
}

// FormatDigest returns the digest of r in hexadecimal, as quarantines name it.
func (r *Request) FormatDigest() string { return strconv.FormatUint(r.Digest, 16) }

// MayBeCrash reports whether an attempt ended as it does when its backend server crashes
// before it answers: the connection was lost after the request may have arrived.
func (result AttemptResult) MayBeCrash() bool {
	if result.Err == nil || result.Answered {
		return false
	}
	refusal := refuser.FromError(result.Err)
	return refusal.Kind() == refuser.ConnectionLost && !refusal.NeverRan()
}

// Quarantine refuses the requests that hold what backend servers crash on. It logs and
// records each start and end of a quarantine. It is safe for concurrent use.
type Quarantine struct {
	clock    timer.Clock
	recorder *recorder.Recorder
	log      *log.Logger

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// started is set if a quarantine has started since TakeStarted.
	started bool
}

// NewQuarantine returns a quarantine that refuses nothing.
func NewQuarantine(clock timer.Clock, rec *recorder.Recorder, l *log.Logger) *Quarantine {
	return &Quarantine{clock: clock, recorder: rec, log: l, quarantiner: quarantiner.New(rand.Float64())}
}

// trialTime is the time after which a caller may retry while a trial is under way.
const trialTime = 5 * time.Second

// Check returns the refusal of a request that holds what backend servers crash on, or nil. The
// caller may retry when the next trial is due.
func (q *Quarantine) Check(r *Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.quarantiner.Idle() {
		return nil
	}
	now := q.clock()
	q.update(now)
	found := q.quarantiner.Check(now, r.ID, r.Pool, r.Fingerprints())
	if found == nil {
		return nil
	}
	text := fmt.Sprintf("backend servers crash on part %x of the request: %d times, first %v ago",
		found.ID(), found.Crashes(), (now - found.Since()).Round(time.Second/10))
	return refuser.New(refuser.Quarantined, text).WithRetryAfter(max(found.RetryAt()-now, trialTime))
}

// SendDelay returns how long r, which Check lets pass, waits before it is sent since servers may crash
// on it. It is drawn anew by each call, and 0 for nearly all requests.
func (q *Quarantine) SendDelay(r *Request) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.quarantiner.Idle() {
		return 0
	}
	now := q.clock()
	q.update(now)
	delay := q.quarantiner.SendDelay(now, r.Pool, r.Fingerprints(), rand.Float64())
	if delay > 0 {
		q.log.Info().Str("request", r.ID).Str("pool", r.Pool).Str("whole", r.FormatDigest()).Int64("delay", delay.Milliseconds()).Msg("request: delayed")
	}
	return delay
}

// RecordAnswer records that r was answered, at least in part.
func (q *Quarantine) RecordAnswer(r *Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantiner.RecordAnswer(q.clock(), r.Pool, r.Fingerprints())
}

// RecordCrash records that a process of a backend server crashed at an instant while some
// requests had no answer.
func (q *Quarantine) RecordCrash(at time.Duration, p quarantiner.Process, requests ...*Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range requests {
		if !q.quarantiner.Has(p) {
			q.log.Info().Str("server", p.Server).Int64("born", p.Started).Str("pool", r.Pool).Str("request", r.ID).Msg("server: crashed")
		}
		q.quarantiner.RecordCrash(at, p, r.Pool, r.Fingerprints())
	}
	q.update(q.clock())
}

// Merge adds records of other processes and returns those that were not known here.
func (q *Quarantine) Merge(crashes []*wire.Crash) []*wire.Crash {
	return q.mergeBy(q.quarantiner.Merge, crashes)
}

// MergeSaved is Merge for records that were read from the store.
func (q *Quarantine) MergeSaved(crashes []*wire.Crash) []*wire.Crash {
	return q.mergeBy(q.quarantiner.MergeSaved, crashes)
}

// mergeBy adds records by a method of the quarantiner and returns those that were not known here.
func (q *Quarantine) mergeBy(merge func(time.Duration, *wire.Crash) (quarantiner.Process, bool), crashes []*wire.Crash) []*wire.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	var changed []*wire.Crash
	for _, message := range quarantiner.Limit(crashes) {
		if _, ok := merge(now, message); ok {
			changed = append(changed, message)
		}
	}
	q.update(now)
	return changed
}

// Revision returns the number of changes of records that were made in this process.
func (q *Quarantine) Revision() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantiner.Revision()
}

// All returns all records.
func (q *Quarantine) All() []*wire.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantiner.All(q.clock())
}

// TakeUnsent returns the records that have changed here since the last call, or all of them.
func (q *Quarantine) TakeUnsent(all bool) []*wire.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantiner.TakeUnsent(q.clock(), all)
}

// MarkUnsent makes the next TakeUnsent return the records of these messages again.
func (q *Quarantine) MarkUnsent(crashes []*wire.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantiner.MarkUnsent(crashes)
}

// TakeStarted reports whether a quarantine has started since the last call.
func (q *Quarantine) TakeStarted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(q.clock())
	started := q.started
	q.started = false
	return started
}

// List returns the quarantines in force and the present instant.
func (q *Quarantine) List() (quarantines []*quarantiner.Quarantine, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now = q.clock()
	q.update(now)
	return q.quarantiner.Quarantines(), now
}

// update renews the decision and logs and records its changes. The caller holds the lock.
func (q *Quarantine) update(now time.Duration) {
	q.quarantiner.Update(now)
	for _, change := range q.quarantiner.TakeChanges() {
		found := change.Quarantine()
		part, message := strconv.FormatUint(found.ID(), 16), "part: quarantined"
		if change.Ended() {
			message = "part: released"
		}
		q.started = q.started || !change.Ended()
		q.log.Info().Str("pool", found.Pool()).Str("part", part).Int("crashes", found.Crashes()).Str("cause", change.Cause().String()).
			Int64("since", (now-found.Since()).Milliseconds()).Int64("left", (found.Until() - now).Milliseconds()).Msg(message)
		q.recorder.Add(time.Now(), "part/"+part, fmt.Sprintf("%s after %d crashes of backend servers, the first %v ago",
			message, found.Crashes(), (now-found.Since()).Round(time.Second/10)))
	}
}
