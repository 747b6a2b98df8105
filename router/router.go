// Package router picks the replica that a request is sent to.
//
// The sidecar's own admission decides in the end; the router only chooses where
// to ask first. It compares two random replicas by the requests that this
// process has in flight there and by the last queue length reported, and prefers
// the replica that has seen the same prefix while that one is not overloaded.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportLife is the age at which a reported queue length counts for nothing.
const reportLife = 5 * time.Second

// affinityBound is the load, as a multiple of the mean, up to which a request
// follows its prefix.
const affinityBound = 1.25

// Target is one replica as this process sees it.
type Target struct {
	Name string
	// Inflight counts the requests of this process at the replica.
	Inflight int
	// Queue is the last reported queue length, as of the instant At.
	Queue int
	At    time.Duration
	// Tried is set for a replica that has refused this request already.
	Tried bool
}

// load estimates the requests at t; a report counts less the older it is.
func (t *Target) load(now time.Duration) float64 {
	age := max(now-t.At, 0)
	trust := max(0, 1-float64(age)/float64(reportLife))
	return float64(t.Inflight) + float64(t.Queue)*trust
}

// Router holds the source of randomness. It is not safe for concurrent use.
type Router struct {
	random *rand.Rand
}

// New returns a router that draws from a generator with that seed.
func New(seed uint64) *Router {
	return &Router{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Pick returns the index of the replica to try, or -1 if all have been tried.
// A prefix of 0 means that the request has none.
func (r *Router) Pick(now time.Duration, targets []Target, prefix uint64) int {
	if i := r.affine(now, targets, prefix); i >= 0 {
		return i
	}
	a := r.draw(targets, -1)
	if a < 0 {
		return -1
	}
	b := r.draw(targets, a)
	if b >= 0 && targets[b].load(now) < targets[a].load(now) {
		return b
	}
	return a
}

// draw picks an untried target other than skip with equal chances.
func (r *Router) draw(targets []Target, skip int) int {
	chosen, seen := -1, 0
	for i := range targets {
		if targets[i].Tried || i == skip {
			continue
		}
		seen++
		if r.random.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// affine returns the replica that prefix belongs to, or -1 if that replica has
// been tried or carries more than its bounded part of the load.
func (r *Router) affine(now time.Duration, targets []Target, prefix uint64) int {
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
	if targets[best].Tried || targets[best].load(now) > affinityBound*mean {
		return -1
	}
	return best
}

// Score returns the rendezvous weight of name for a hashed key; the name with
// the highest weight owns the key.
func Score(name string, key uint64) uint64 {
	h := xxhash.Sum64String(name) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Rank returns names by falling rendezvous weight for a hashed key.
func Rank(names []string, key uint64) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(b, key), Score(a, key)), cmp.Compare(a, b))
	})
	return ranked
}

// Subset returns the n names that the caller with that index among all callers
// sends to. With fewer names each caller hears of each more often, so that its
// reports are fresher. Callers with successive indices divide the names between
// them, so that every name has the same number of callers.
func Subset(names []string, index, n int) []string {
	parts := len(names) / n
	if parts < 2 {
		return names
	}
	shuffled := slices.Sorted(slices.Values(names))
	random := rand.New(rand.NewPCG(uint64(index/parts), 0))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	begin := index % parts * n
	end := begin + n
	if index%parts == parts-1 {
		end = len(shuffled)
	}
	return shuffled[begin:end]
}

// Hash returns the key of a text for Score.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }
