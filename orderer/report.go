package orderer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/wire"
)

// Changed implements subscriber.Process.
func (o *Orderer) Changed() <-chan struct{} { return o.change }

// statePeriod is the longest time between two reports of the whole state.
const statePeriod = 5 * time.Second

// Report implements subscriber.Process: it tells the state if that has changed or was not
// told for long, and else the load.
func (o *Orderer) Report(now time.Duration, whole bool) *wire.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &wire.Report{Config: o.copy.View().Version()}
	if whole || o.sent != o.state || now-o.told >= statePeriod {
		o.sent, o.told = o.state, now
		r.Condition = o.state
		return r
	}
	if o.state.GetServer() != "" && now-o.counted >= loadPeriod {
		o.counted = now
		r.Traffic = &wire.EngineLoad{
			Server:  o.state.GetServer(),
			Running: uint32(o.report.Running),
			Waiting: uint32(o.report.Waiting),
		}
	}
	return r
}

// Receive implements subscriber.Process.
func (o *Orderer) Receive(now time.Duration, _ string, t *wire.Batch, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, it := range t.GetItems() {
		if it.GetGone() || it.GetAddress() != o.terms.Address {
			delete(o.items, it.GetId())
		} else {
			o.items[it.GetId()] = it
		}
	}
	have, ok := o.tells[t.GetRelay()]
	if !ok {
		have.tell = &wire.Assignment{}
	}
	have.heard = now
	if t.GetTell() != nil {
		have.tell, have.at = t.GetTell(), now
	}
	o.tells[t.GetRelay()] = have
	if t.GetTell() != nil && len(t.GetTell().GetWants()) > 0 {
		o.Wake()
	}
}

// LinkLost implements subscriber.Process. What the relay told counts for a while.
func (o *Orderer) LinkLost(time.Duration, string, []*wire.Report) {}

// publish makes the engine's state the one to report, if it has changed.
func (o *Orderer) publish(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.describe(now)
	if !o.worthTelling(now, next) {
		return
	}
	next.Number = o.state.GetNumber() + 1
	o.state, o.stated = next, now
	select {
	case o.change <- struct{}{}:
	default:
	}
}

// worthTelling reports whether next differs from the state told last. A difference in
// the use of models waits, and one in load alone is told apart. The caller holds the
// lock.
func (o *Orderer) worthTelling(now time.Duration, next *wire.EngineStatus) bool {
	a, b := proto.Clone(o.state).(*wire.EngineStatus), proto.Clone(next).(*wire.EngineStatus)
	for _, s := range []*wire.EngineStatus{a, b} {
		s.Number, s.Running, s.Waiting, s.Used = 0, 0, 0, 0
		for _, t := range s.Tasks {
			t.Left = 0
		}
		for _, r := range s.Residents {
			if now-o.stated < usePeriod {
				r.Inflight = min(r.Inflight, 1)
				r.Keep, r.Rate = 0, 0
			}
		}
	}
	return !proto.Equal(a, b)
}
