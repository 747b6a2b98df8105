// Package claimer remembers the claims of calls with an idempotency key that a process made, so
// that it can write them again after the store has lost their rows, and decides when all
// processes have done so. A sidecar remembers the claims that it wrote. An entry remembers the
// calls that it sent, in case their sidecar has ended by then; a claim of an entry has no token.
//
// A store that comes back from an earlier copy of itself begins a new era and has lost the rows
// written since the copy. That a key has no row then does not show that its call has not run.
package claimer

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Limits of what a process remembers.
const (
	// memoryTime is how long a claim is remembered. A copy of the store is some seconds old.
	memoryTime = 10 * time.Minute
	// maxClaims bounds the claims, of which each takes some 300 bytes.
	maxClaims = 50_000
	// maxAnswerBytes bounds the stored answers. Beyond it, the earliest answers are dropped, and of
	// their calls only that they ran is remembered.
	maxAnswerBytes = 8 << 20
	// MaxAnswer is the largest body of an answer that is stored with a claim, in bytes.
	MaxAnswer = 64 << 10
	// pruneInterval is the shortest time between two searches for claims to forget.
	pruneInterval = time.Second
)

// Claim is a claim as its process knows it. Record is replaced, never modified.
type Claim struct {
	Key    string
	Record *wire.Claim
	// Version is the version of its row when this process wrote or read it last.
	Version uint64
	// Released is set if its call never ran, so that the row was deleted.
	Released bool
	// Uncertain is set if a write of the row since Version may have taken effect.
	Uncertain bool
	// At is the instant at which it was remembered.
	At time.Duration
}

// Digest returns a hash of the path, query and body of a call. It shows whether an idempotency
// key is used again for a different request.
func Digest(path, query string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write([]byte(query))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// storedClaim is a claim in the memory.
type storedClaim struct {
	Claim
	// running is set until the call has ended.
	running bool
}

// Memory holds the claims of a process. Its user guards it against concurrent use.
type Memory struct {
	// claims are in the order in which they were added. latest has the latest one of each key.
	claims      []*storedClaim
	latest      map[string]*storedClaim
	answerBytes int
	prunedAt    time.Duration
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{latest: map[string]*storedClaim{}} }

// Add remembers a claim, whose call runs from now on, with the version of its row.
func (m *Memory) Add(now time.Duration, key string, record *wire.Claim, version uint64) {
	m.prune(now)
	e := &storedClaim{Claim: Claim{Key: key, Record: record, Version: version, At: now}, running: true}
	m.claims = append(m.claims, e)
	m.latest[key] = e
}

// Find returns the claim of a key whose call has run, or may have.
func (m *Memory) Find(key string) (Claim, bool) {
	e := m.latest[key]
	if e == nil || e.Released {
		return Claim{}, false
	}
	return e.Claim, true
}

// Lookup returns the claim of a key with a token.
func (m *Memory) Lookup(key, token string) (Claim, bool) {
	if e := m.find(key, token); e != nil {
		return e.Claim, true
	}
	return Claim{}, false
}

// Finish records the end of the call of a claim: with an answer, or with nil if its outcome is
// not known or is not stored.
func (m *Memory) Finish(key, token string, answer *wire.Answer) {
	e := m.find(key, token)
	if e == nil {
		return
	}
	e.running = false
	if answer == nil {
		return
	}
	e.Record = proto.CloneOf(e.Record)
	e.Record.Done, e.Record.Answer = true, answer
	m.answerBytes += len(answer.GetBody())
	for i := 0; m.answerBytes > maxAnswerBytes && i < len(m.claims); i++ {
		m.dropAnswer(m.claims[i])
	}
}

// Release records that the call of a claim never ran, so that its key can be used again.
func (m *Memory) Release(key, token string) {
	if e := m.find(key, token); e != nil {
		e.running, e.Released = false, true
	}
}

// Forget forgets a claim, as if there had been none.
func (m *Memory) Forget(key, token string) {
	e := m.find(key, token)
	if e == nil {
		return
	}
	m.dropAnswer(e)
	m.claims = slices.DeleteFunc(m.claims, func(other *storedClaim) bool { return other == e })
	if m.latest[key] == e {
		delete(m.latest, key)
	}
}

// SetVersion records the version of the row of a claim.
func (m *Memory) SetVersion(key, token string, version uint64) {
	if e := m.find(key, token); e != nil {
		e.Version, e.Uncertain = version, false
	}
}

// MarkUncertain records that a write of the row of a claim may have taken effect.
func (m *Memory) MarkUncertain(key, token string) {
	if e := m.find(key, token); e != nil {
		e.Uncertain = true
	}
}

// Lost returns the claims whose rows are of an era before the given one, so that the store may
// have lost what was written last. The latest rows come first, and of those with the same version
// the latest claims.
func (m *Memory) Lost(era uint64) []Claim {
	var lost []Claim
	for _, e := range slices.Backward(m.claims) {
		if storer.Era(e.Version) < era {
			lost = append(lost, e.Claim)
		}
	}
	slices.SortStableFunc(lost, func(a, b Claim) int { return cmp.Compare(b.Version, a.Version) })
	return lost
}

// Len returns the number of claims that are remembered.
func (m *Memory) Len() int { return len(m.claims) }

// find returns the claim of a key with a token, or nil.
func (m *Memory) find(key, token string) *storedClaim {
	if e := m.latest[key]; e != nil && e.Record.GetToken() == token {
		return e
	}
	for _, e := range m.claims {
		if e.Key == key && e.Record.GetToken() == token {
			return e
		}
	}
	return nil
}

// prune forgets the claims that are too old, and the oldest ones beyond maxClaims. Those whose
// calls run are kept.
func (m *Memory) prune(now time.Duration) {
	if now-m.prunedAt < pruneInterval && len(m.claims) < maxClaims+maxClaims/8 {
		return
	}
	m.prunedAt = now
	excess := len(m.claims) - maxClaims
	m.claims = slices.DeleteFunc(m.claims, func(e *storedClaim) bool {
		excess--
		if e.running || excess < 0 && now-e.At <= memoryTime {
			return false
		}
		m.dropAnswer(e)
		if m.latest[e.Key] == e {
			delete(m.latest, e.Key)
		}
		return true
	})
}

// dropAnswer forgets the answer of a claim, but not that it is done.
func (m *Memory) dropAnswer(e *storedClaim) {
	if e.Record.GetAnswer() == nil {
		return
	}
	m.answerBytes -= len(e.Record.GetAnswer().GetBody())
	e.Record = &wire.Claim{Token: e.Record.GetToken(), Digest: e.Record.GetDigest(), Done: true}
}
