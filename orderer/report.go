package orderer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Changed implements subscriber.Process.
func (o *Orderer) Changed() <-chan struct{} { return o.changed }

// statusReportInterval is the maximum time between two reports of the full status.
const statusReportInterval = 5 * time.Second

// Report implements subscriber.Process. It returns the full status if complete is set, if
// the status has changed, or if it was last reported statusReportInterval ago; otherwise
// it returns the load, at most once per loadReportInterval.
func (o *Orderer) Report(now time.Duration, complete bool) *wire.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &wire.Report{Config: o.config.View().Version()}
	if complete || o.reportedStatus != o.status || now-o.statusReportedAt >= statusReportInterval {
		o.reportedStatus, o.statusReportedAt = o.status, now
		r.Condition = o.status
		return r
	}
	if o.status.GetServer() != "" && now-o.loadReportedAt >= loadReportInterval {
		o.loadReportedAt = now
		r.Traffic = &wire.EngineLoad{
			Server:  o.status.GetServer(),
			Running: uint32(o.report.Running),
			Waiting: uint32(o.report.Waiting),
			Full:    tracker.FullPercent(o.report.UsedTokens, o.report.CacheTokens),
		}
	}
	return r
}

// Receive implements subscriber.Process. It updates the listed servers and the relay's
// assignment, and polls the engine at once if the assignment has load requests.
func (o *Orderer) Receive(now time.Duration, _ string, b *wire.Batch, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, listed := range b.GetItems() {
		if listed.GetGone() || listed.GetAddress() != o.options.Address {
			delete(o.listedServers, listed.GetId())
		} else {
			o.listedServers[listed.GetId()] = listed
		}
	}
	known, ok := o.assignments[b.GetRelay()]
	if !ok {
		known.assignment = &wire.Assignment{}
	}
	known.lastBatchAt = now
	if b.GetTell() != nil {
		known.assignment, known.receivedAt = b.GetTell(), now
	}
	o.assignments[b.GetRelay()] = known
	if b.GetTell() != nil && len(b.GetTell().GetWants()) > 0 {
		o.Wake()
	}
}

// LinkLost implements subscriber.Process. The relay's assignment stays in effect until
// assignmentLifetime has passed.
func (o *Orderer) LinkLost(time.Duration, string, []*wire.Report) {}

// updateStatus builds the current status and, if it differs from the last one, signals
// that there is a status to report.
func (o *Orderer) updateStatus(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.buildStatus(now)
	if !o.statusChanged(now, next) {
		return
	}
	next.Number = o.status.GetNumber() + 1
	o.status, o.statusAt = next, now
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// statusChanged reports whether next differs from the current status. Differences in
// load alone are ignored, since Report sends the load separately. Differences in the
// usage of models count only usageReportInterval after the last change of the status.
// The caller holds the lock.
func (o *Orderer) statusChanged(now time.Duration, next *wire.EngineStatus) bool {
	a, b := proto.Clone(o.status).(*wire.EngineStatus), proto.Clone(next).(*wire.EngineStatus)
	for _, s := range []*wire.EngineStatus{a, b} {
		s.Number, s.Running, s.Waiting, s.Used = 0, 0, 0, 0
		for _, p := range s.Tasks {
			p.Left = 0
		}
		for _, r := range s.Residents {
			if now-o.statusAt < usageReportInterval {
				r.Inflight = min(r.Inflight, 1)
				r.Keep, r.Rate = 0, 0
			}
		}
	}
	return !proto.Equal(a, b)
}
