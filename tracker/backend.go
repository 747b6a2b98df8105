package tracker

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Backend is a backend server with this entry's view of it.
type Backend struct {
	fleet  *Fleet
	server Server
	// state is what the sidecar told last, at the instant told, and lost the instant
	// at which it fell silent, or 0.
	state *wire.Condition
	told  time.Duration
	lost  time.Duration
	// inflight counts this entry's requests there, by model.
	inflight map[string]int
	sum      int
	// pending counts those whose prompts were not read yet.
	pending int
	// trouble is the part of the attempts of late that failed, as of the instant
	// failed.
	trouble float64
	failed  time.Duration
	// others is the number of other entries' requests, as of the instant heard.
	others int
	heard  time.Duration
	// strain is how near the answers of late came to being late, 1 being just so.
	strain float64
	felt   time.Duration
	// alive is the instant of the latest event from the server, in nanoseconds, and
	// busy that since which it has had a request of this entry.
	alive atomic.Int64
	busy  time.Duration
	// stood is the instant at which the server was found to stand still, or 0.
	stood time.Duration
	// checked is the instant at which its host was last asked for a sign of life.
	checked time.Duration
	// rest is the instant until which the server wants nothing from this entry.
	rest time.Duration
	// serving is set if the server is listed as taking new work.
	serving bool
	// disowned is set once an answer from the server's address was not its own.
	disowned bool
}

// Server returns what is listed.
func (b *Backend) Server() Server { return b.server }

// Inflight returns the number of this entry's requests there.
func (b *Backend) Inflight() int { return b.sum }

// InflightOf returns the number of this entry's requests there for a model or
// adapter.
func (b *Backend) InflightOf(name string) int { return b.inflight[name] }

// Uses returns the models and adapters for which this entry has requests there, by
// name.
func (b *Backend) Uses() []string { return slices.Sorted(maps.Keys(b.inflight)) }

// Pending returns the number of this entry's requests whose prompts the server has
// not read yet.
func (b *Backend) Pending() int { return b.pending }

// troubleTime is the time in which past failures come to count for a third, and
// troubleWeight the weight of a new attempt.
const (
	troubleTime   = 3 * time.Second
	troubleWeight = 0.3
)

// Trouble is the part of the attempts of late that failed. It fades while there are
// none, so that the server is tried again.
func (b *Backend) Trouble(now time.Duration) float64 {
	return b.trouble * math.Exp(-float64(max(0, now-b.failed))/float64(troubleTime))
}

// Try takes note of the end of an attempt.
func (b *Backend) Try(now time.Duration, failed bool) {
	next := b.Trouble(now) * (1 - troubleWeight)
	if failed {
		next += troubleWeight
	}
	b.trouble, b.failed = next, now
}

// Load estimates the requests at the server.
func (b *Backend) Load() int { return b.sum + b.others }

// heardTime is the time in which the load that an answer told comes to count for a third,
// unless a sidecar tells each change of it.
const heardTime = 150 * time.Millisecond

// Expected estimates the requests at the server by what is known of it and how old that
// is.
func (b *Backend) Expected(now time.Duration) float64 {
	others := float64(b.others)
	if b.State(now) == nil {
		others *= math.Exp(-float64(max(0, now-b.heard)) / float64(heardTime))
	}
	return float64(b.sum) + others
}

// strainTime is the time in which a past strain comes to count for a third, and
// strainWeight the weight of a new answer.
const (
	strainTime   = 3 * time.Second
	strainWeight = 0.25
)

// Strain is how near the answers of late came to being late, 1 being just so. It
// fades while there are none.
func (b *Backend) Strain(now time.Duration) float64 {
	return b.strain * math.Exp(-float64(max(0, now-b.felt))/float64(strainTime))
}

// Feel takes note of how near an answer came to being late.
func (b *Backend) Feel(now time.Duration, strain float64) {
	b.strain = b.Strain(now)*(1-strainWeight) + min(strain, 2)*strainWeight
	b.felt = now
}

// State returns what the sidecar told, or nil if it has been silent for long.
func (b *Backend) State(now time.Duration) *wire.Condition {
	heard := b.lost
	if heard == 0 {
		heard = max(b.told, b.fleet.heard)
	}
	if b.state == nil || now-heard > stateLife {
		return nil
	}
	return b.state
}

// Lost reports whether the sidecar has fallen silent.
func (b *Backend) Lost() bool { return b.lost > 0 }

// Left is the time until a load ends that the sidecar told.
func (b *Backend) Left(now time.Duration, t *wire.Task) time.Duration {
	return max(0, timer.Span(t.GetLeft())-(now-b.told))
}

// Holding returns what the engine holds, by the sidecar's word or, if it is
// silent, by the list.
func (b *Backend) Holding(now time.Duration) Holding {
	s := b.State(now)
	if s == nil || s.GetBorn() != b.server.Born {
		return b.server.Holding
	}
	return Holding{Models: s.GetModels(), Coming: s.GetComing(), Memory: s.GetMemory(), Disk: s.GetDisk()}
}

// Rate returns the requests a second for a model of late, through all entries.
func (b *Backend) Rate(now time.Duration, model string) float64 {
	for _, r := range b.State(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetRate()
		}
	}
	return 0
}

// Closing reports whether a model is about to be unloaded.
func (b *Backend) Closing(now time.Duration, model string) bool {
	for _, r := range b.State(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetClosing()
		}
	}
	return false
}

// Disown takes note that what answered at the server's address does not serve as
// listed. The server gets no work until it is listed anew or its sidecar speaks. The
// word of a sidecar that is heard goes before such an answer.
func (b *Backend) Disown(now time.Duration) {
	if b.State(now) == nil {
		b.disowned = true
	}
}
