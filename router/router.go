// Package router picks the replica that a request is sent to.
//
// The choice is only where to try first: the sidecar decides whether it admits the
// request. The router compares two random replicas by the requests that this process
// has in flight there and by the queue length last reported. It prefers the replica
// that serves requests with the same prefix, unless that one is overloaded.
package router

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportLifetime is the age from which a reported queue length no longer counts.
const reportLifetime = 5 * time.Second

// affinityLoadFactor is the load of a replica, as a multiple of the mean load including the
// request to be sent, up to which requests are sent there for their prefix.
const affinityLoadFactor = 1.25

// Target is one replica, with its load as this process knows it.
type Target struct {
	Name string
	// Inflight is the number of requests of this process in flight at the replica.
	Inflight int
	// QueueLength is the last reported queue length, as of the instant ReportedAt.
	QueueLength int
	ReportedAt  time.Duration
	// Excluded is set for a replica that must not be picked, such as one that was tried
	// for this request.
	Excluded bool
}

// load estimates the number of requests at the replica. The reported queue length counts less
// the older it is.
func (t *Target) load(now time.Duration) float64 {
	age := max(now-t.ReportedAt, 0)
	freshness := max(0, 1-float64(age)/float64(reportLifetime))
	return float64(t.Inflight) + float64(t.QueueLength)*freshness
}

// Router picks replicas with its own source of randomness. It is not safe for concurrent
// use.
type Router struct {
	random *rand.Rand
}

// New returns a router whose random choices depend on seed only.
func New(seed uint64) *Router {
	return &Router{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Pick returns the index of the replica to send a request to, or -1 if all are excluded.
// prefix is the hash of the request's prefix, or 0 if it has none.
func (r *Router) Pick(now time.Duration, targets []Target, prefix uint64) int {
	if i := r.affinityTarget(now, targets, prefix); i >= 0 {
		return i
	}
	first := r.randomTarget(targets, -1)
	if first < 0 {
		return -1
	}
	second := r.randomTarget(targets, first)
	if second >= 0 && targets[second].load(now) < targets[first].load(now) {
		return second
	}
	return first
}

// randomTarget returns the index of a random target that is neither excluded nor at index
// skip, each with the same probability, or -1 if there is none.
func (r *Router) randomTarget(targets []Target, skip int) int {
	chosen, eligible := -1, 0
	for i := range targets {
		if targets[i].Excluded || i == skip {
			continue
		}
		eligible++
		if r.random.IntN(eligible) == 0 {
			chosen = i
		}
	}
	return chosen
}

// affinityTarget returns the index of the replica that prefix is assigned to by rendezvous
// hashing, or -1 if there is no prefix or that replica is excluded or overloaded.
func (r *Router) affinityTarget(now time.Duration, targets []Target, prefix uint64) int {
	if prefix == 0 || len(targets) == 0 {
		return -1
	}
	best, sum := 0, 0.0
	var score uint64
	for i := range targets {
		sum += targets[i].load(now)
		if s := Score(targets[i].Name, prefix); i == 0 || s > score {
			best, score = i, s
		}
	}
	mean := (sum + 1) / float64(len(targets))
	if targets[best].Excluded || targets[best].load(now) > affinityLoadFactor*mean {
		return -1
	}
	return best
}

// Score returns the score of name for a hashed key in rendezvous hashing: the name with
// the highest score owns the key. The combined hashes are mixed by the finalizer of
// MurmurHash3.
func Score(name string, key uint64) uint64 {
	h := xxhash.Sum64String(name) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Rank returns names in descending order of their scores for a hashed key.
func Rank(names []string, key uint64) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(b, key), Score(a, key)), cmp.Compare(a, b))
	})
	return ranked
}

// Subset returns the names that the caller with that index among all callers sends to: at
// least n, or all if there are fewer than 2n. With fewer names, a caller sends to each of
// them more often, so that the reports it receives are more recent. Callers with
// successive indices divide the names among them, so that every name has about the same
// number of callers.
func Subset(names []string, index, n int) []string {
	groups := len(names) / n
	if groups < 2 {
		return names
	}
	shuffled := slices.Sorted(slices.Values(names))
	random := rand.New(rand.NewPCG(uint64(index/groups), 0))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	start := index % groups * n
	end := start + n
	if index%groups == groups-1 {
		end = len(shuffled)
	}
	return shuffled[start:end]
}

// Hash returns the hashed key of a text, as Score takes it.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// HashParts returns the 64-bit xxHash of a list of parts. The limits of the parts count.
func HashParts(parts ...[]byte) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		// A digest's writes do not fail.
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}
