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
	state *wire.EngineStatus
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

// ModelsInUse returns the models and adapters for which this entry has requests there, by
// name.
func (b *Backend) ModelsInUse() []string { return slices.Sorted(maps.Keys(b.inflight)) }

// UnreadPrompts returns the number of this entry's requests whose prompts the server has
// not read yet.
func (b *Backend) UnreadPrompts() int { return b.pending }

// troubleTime is the time in which past failures come to count for a third, and
// troubleWeight the weight of a new attempt.
const (
	troubleTime   = 3 * time.Second
	troubleWeight = 0.3
)

// FailureRate is the part of the attempts of late that failed. It fades while there are
// none, so that the server is tried again.
func (b *Backend) FailureRate(now time.Duration) float64 {
	return b.trouble * math.Exp(-float64(max(0, now-b.failed))/float64(troubleTime))
}

// RecordAttempt takes note of the end of an attempt.
func (b *Backend) RecordAttempt(now time.Duration, failed bool) {
	next := b.FailureRate(now) * (1 - troubleWeight)
	if failed {
		next += troubleWeight
	}
	b.trouble, b.failed = next, now
}

// ReportedLoad estimates the requests at the server.
func (b *Backend) ReportedLoad() int { return b.sum + b.others }

// heardTime is the time in which the load that an answer told comes to count for a third,
// unless a sidecar tells each change of it.
const heardTime = 150 * time.Millisecond

// EstimatedLoad estimates the requests at the server by what is known of it and how old that
// is.
func (b *Backend) EstimatedLoad(now time.Duration) float64 {
	others := float64(b.others)
	if b.Status(now) == nil {
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

// Saturation is how near the answers of late came to being late, 1 being just so. It
// fades while there are none.
func (b *Backend) Saturation(now time.Duration) float64 {
	return b.strain * math.Exp(-float64(max(0, now-b.felt))/float64(strainTime))
}

// RecordSaturation takes note of how near an answer came to being late.
func (b *Backend) RecordSaturation(now time.Duration, strain float64) {
	b.strain = b.Saturation(now)*(1-strainWeight) + min(strain, 2)*strainWeight
	b.felt = now
}

// Status returns what the sidecar told, or nil if it has been silent for long.
func (b *Backend) Status(now time.Duration) *wire.EngineStatus {
	heard := b.lost
	if heard == 0 {
		heard = max(b.told, b.fleet.heard)
	}
	if b.state == nil || now-heard > stateLife {
		return nil
	}
	return b.state
}

// SidecarLost reports whether the sidecar has fallen silent.
func (b *Backend) SidecarLost() bool { return b.lost > 0 }

// TimeToReady is the time until a load ends that the sidecar told.
func (b *Backend) TimeToReady(now time.Duration, t *wire.PendingLoad) time.Duration {
	return max(0, timer.FromMillis(t.GetLeft())-(now-b.told))
}

// Inventory returns what the engine holds, by the sidecar's word or, if it is
// silent, by the list.
func (b *Backend) Inventory(now time.Duration) Inventory {
	s := b.Status(now)
	if s == nil || s.GetBorn() != b.server.Started {
		return b.server.Inventory
	}
	return Inventory{Models: s.GetModels(), Loading: s.GetComing(), Memory: s.GetMemory(), Disk: s.GetDisk()}
}

// RequestRate returns the requests a second for a model of late, through all entries.
func (b *Backend) RequestRate(now time.Duration, model string) float64 {
	for _, r := range b.Status(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetRate()
		}
	}
	return 0
}

// Unloading reports whether a model is about to be unloaded.
func (b *Backend) Unloading(now time.Duration, model string) bool {
	for _, r := range b.Status(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetClosing()
		}
	}
	return false
}

// MarkMismatched takes note that what answered at the server's address does not serve as
// listed. The server gets no work until it is listed anew or its sidecar speaks. The
// word of a sidecar that is heard goes before such an answer.
func (b *Backend) MarkMismatched(now time.Duration) {
	if b.Status(now) == nil {
		b.disowned = true
	}
}
