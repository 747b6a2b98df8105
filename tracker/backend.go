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

// Backend is a backend server as this process sees it. Requests of this process are
// those between StartRequest and EndRequest of its Fleet.
type Backend struct {
	fleet  *Fleet
	server Server
	// status is the sidecar's latest report, or nil, statusAt the instant at which it
	// arrived, and lostAt the instant at which the sidecar was marked lost, or 0.
	status   *wire.EngineStatus
	statusAt time.Duration
	lostAt   time.Duration
	// inflightByModel counts this process's requests at the server by model and by
	// adapter, and inflight counts all of them, including those without a model.
	inflightByModel map[string]int
	inflight        int
	// unreadPrompts counts the requests in flight whose prompts the server has not
	// read yet.
	unreadPrompts int
	// failureRate is the exponentially weighted share of recent attempts that failed,
	// as of failureRateAt.
	failureRate   float64
	failureRateAt time.Duration
	// otherRequests is the number of requests of other processes at the server, as of
	// otherRequestsAt.
	otherRequests   int
	otherRequestsAt time.Duration
	// saturation is the exponentially weighted average of how near recent answers came
	// to their latency limits, 1 being exactly at the limit, as of saturationAt.
	saturation   float64
	saturationAt time.Duration
	// activeAt is the instant of the latest event or answer from the server, in
	// nanoseconds, and busySince the instant since which it has continuously had
	// requests of this process for models.
	activeAt  atomic.Int64
	busySince time.Duration
	// stalledAt is the instant at which the server was last marked stalled, or 0.
	stalledAt time.Duration
	// probedAt is the instant at which the latest probe of the server's host ended.
	probedAt time.Duration
	// backOffUntil is the end of the back-off that the server has asked for.
	backOffUntil time.Duration
	// estimates is what the expected times at the server are based on.
	estimates estimates
	// coldUntil is the end of the cold phase, or 0.
	coldUntil time.Duration
	// crashed is set if the listed process is known to have crashed.
	crashed bool
	// serving is set if the server takes new work according to the list, and none that
	// started later is listed at its address, apart from mismatched ones.
	serving bool
	// mismatched is set if an answer from the server's address came from a server
	// other than the listed one.
	mismatched bool
}

// Server returns the server as the platform lists it.
func (b *Backend) Server() Server { return b.server }

// Inflight returns the number of this process's requests at the server.
func (b *Backend) Inflight() int { return b.inflight }

// InflightOf returns the number of this process's requests at the server for a model
// or an adapter.
func (b *Backend) InflightOf(name string) int { return b.inflightByModel[name] }

// ModelsInUse returns the models and adapters for which this process has requests at the
// server, sorted by name.
func (b *Backend) ModelsInUse() []string { return slices.Sorted(maps.Keys(b.inflightByModel)) }

// UnreadPrompts returns the number of this process's requests whose prompts the server
// has not read yet.
func (b *Backend) UnreadPrompts() int { return b.unreadPrompts }

// failureRateDecay is the time constant of the exponential decay of the failure rate,
// and failureRateWeight the weight of a new attempt in it.
const (
	failureRateDecay  = 3 * time.Second
	failureRateWeight = 0.3
)

// FailureRate returns the weighted share of recent attempts that failed, from 0 to 1. It
// decays while there are no attempts, so that the server is tried again.
func (b *Backend) FailureRate(now time.Duration) float64 {
	return b.failureRate * math.Exp(-float64(max(0, now-b.failureRateAt))/float64(failureRateDecay))
}

// RecordAttempt records the outcome of an attempt in the failure rate.
func (b *Backend) RecordAttempt(now time.Duration, failed bool) {
	updated := b.FailureRate(now) * (1 - failureRateWeight)
	if failed {
		updated += failureRateWeight
	}
	b.failureRate, b.failureRateAt = updated, now
}

// ReportedLoad returns the number of requests at the server: those of this process and,
// as of the latest report or answer, those of other processes.
func (b *Backend) ReportedLoad() int { return b.inflight + b.otherRequests }

// otherRequestsDecay is the time constant with which a load that came with an answer
// decays. It does not decay while a sidecar reports each change of the load.
const otherRequestsDecay = 150 * time.Millisecond

// EstimatedLoad estimates the number of requests at the server. Without a current status,
// the requests of other processes count less with the age of the figure.
func (b *Backend) EstimatedLoad(now time.Duration) float64 {
	others := float64(b.otherRequests)
	if b.Status(now) == nil {
		others *= math.Exp(-float64(max(0, now-b.otherRequestsAt)) / float64(otherRequestsDecay))
	}
	return float64(b.inflight) + others
}

// saturationDecay is the time constant of the exponential decay of the saturation,
// saturationWeight the weight of a new answer in it, and maxSaturation the most that an answer
// counts as.
const (
	saturationDecay  = 3 * time.Second
	saturationWeight = 0.25
	maxSaturation    = 2
)

// Saturation returns how near recent answers came to their latency limits, 1 being
// exactly at the limit. It decays while there are no answers.
func (b *Backend) Saturation(now time.Duration) float64 {
	return b.saturation * math.Exp(-float64(max(0, now-b.saturationAt))/float64(saturationDecay))
}

// RecordSaturation records how near an answer came to its latency limit, 1 being exactly
// at it. Values above maxSaturation count as that; a negative one, or one that is not a number,
// is ignored.
func (b *Backend) RecordSaturation(now time.Duration, saturation float64) {
	if !(saturation >= 0) {
		return
	}
	b.saturation = b.Saturation(now)*(1-saturationWeight) + min(saturation, maxSaturation)*saturationWeight
	b.saturationAt = now
}

// Status returns the latest status of the engine that its sidecar reported, or nil if
// there is none or the sidecar has not been reporting for longer than statusTTL.
func (b *Backend) Status(now time.Duration) *wire.EngineStatus {
	reportedAt := b.lostAt
	if reportedAt == 0 {
		reportedAt = max(b.statusAt, b.fleet.sidecarsReportedAt)
	}
	if b.status == nil || now-reportedAt > statusTTL {
		return nil
	}
	return b.status
}

// SidecarLost reports whether the sidecar is marked lost.
func (b *Backend) SidecarLost() bool { return b.lostAt > 0 }

// TimeToReady returns the remaining time of a load from the latest status, less the time
// since that status arrived.
func (b *Backend) TimeToReady(now time.Duration, load *wire.PendingLoad) time.Duration {
	return max(0, timer.FromMillis(load.GetLeft())-(now-b.statusAt))
}

// Inventory returns what the engine holds according to its sidecar or, without a current
// status of the listed process of the server, according to the list.
func (b *Backend) Inventory(now time.Duration) Inventory {
	s := b.Status(now)
	if s == nil || s.GetBorn() != b.server.Started {
		return b.server.Inventory
	}
	return Inventory{Models: s.GetModels(), Loading: s.GetComing(), Memory: s.GetMemory(), Disk: s.GetDisk()}
}

// RequestRate returns the recent requests per second for a model through all entries, as
// the sidecar reports them, or 0 if it does not.
func (b *Backend) RequestRate(now time.Duration, model string) float64 {
	for _, r := range b.Status(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetRate()
		}
	}
	return 0
}

// Unloading reports whether, according to the sidecar, a model is about to be unloaded.
func (b *Backend) Unloading(now time.Duration, model string) bool {
	for _, r := range b.Status(now).GetResidents() {
		if r.GetModel() == model {
			return r.GetClosing()
		}
	}
	return false
}

// MarkMismatched records that the process that answered at the server's address is not
// the listed server or does not serve what is listed. The server gets no work until it
// is listed again or its sidecar reports. A current status from the sidecar takes
// precedence: the answer is then ignored.
func (b *Backend) MarkMismatched(now time.Duration) {
	if b.Status(now) == nil && !b.mismatched {
		b.mismatched = true
		b.fleet.pools = nil
	}
}
