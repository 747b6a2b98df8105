package relayer

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// loadRequest asks an engine to load a model for the requests that wait for it.
type loadRequest struct {
	// count is the number of these requests, and value their total value.
	count uint32
	value float64
	// targetTime is the earliest instant at which one of them is late, and firstArrival
	// the instant at which the first of them arrived.
	targetTime   time.Duration
	firstArrival time.Duration
	// relief is the rate of requests that another copy would take over, in requests a second,
	// or 0 if requests wait.
	relief float64
	// drain is set if a model in use may be drained for another copy.
	drain bool
}

// decodeLoadRequest decodes a load request received at now. It returns false if its count
// and value are 0, which withdraws an earlier load request.
func decodeLoadRequest(now time.Duration, message *wire.LoadRequest) (loadRequest, bool) {
	request := loadRequest{
		count:        message.GetCount(),
		value:        message.GetWorth(),
		targetTime:   now + time.Duration(message.GetGoal())*time.Millisecond,
		firstArrival: now - min(timer.FromMillis(message.GetAge()), placer.MaxWait),
		relief:       message.GetRate(),
		drain:        message.GetDrain(),
	}
	return request, request.count > 0 || request.value > 0
}

// message returns the message for a load request with the server and the model of key. Its
// times are relative to now.
func (r loadRequest) message(now time.Duration, key serverModel) *wire.LoadRequest {
	return &wire.LoadRequest{
		Server: key.server,
		Model:  key.model,
		Count:  r.count,
		Worth:  r.value,
		Goal:   timer.ToSignedMillis(r.targetTime - now),
		Age:    timer.ToMillis(now - r.firstArrival),
		Rate:   r.relief,
		Drain:  r.drain,
	}
}

// merge combines the load requests of two relays for the same model at the same engine.
func (r loadRequest) merge(other loadRequest) loadRequest {
	return loadRequest{
		count:        r.count + other.count,
		value:        r.value + other.value,
		targetTime:   min(r.targetTime, other.targetTime),
		firstArrival: min(r.firstArrival, other.firstArrival),
		relief:       min(r.relief, other.relief),
		drain:        r.drain || other.drain,
	}
}

// same reports whether two load requests are the same apart from times.
func (r loadRequest) same(other loadRequest) bool {
	return r.count == other.count && r.value == other.value && r.relief == other.relief && r.drain == other.drain
}

// modelUsage is the usage of a model or an adapter at an engine.
type modelUsage struct {
	// inflight is the number of requests at the engine.
	inflight uint32
	// rate is the recent rate of requests for the model at all engines, in requests a
	// second.
	rate float64
	// copies is the number of engines that serve the model.
	copies uint32
}

// assignment holds the load requests for an engine and the usage of its models, by model.
type assignment struct {
	loadRequests map[string]loadRequest
	usage        map[string]modelUsage
}

// equal reports whether two assignments are the same apart from times. It is false if one
// of them is nil.
func (a *assignment) equal(other *assignment) bool {
	if a == nil || other == nil {
		return false
	}
	return maps.EqualFunc(a.loadRequests, other.loadRequests, loadRequest.same) && maps.Equal(a.usage, other.usage)
}

// fillForSidecar adds to a sidecar's batch the rows of its engine in the server list and, if
// it has changed, the engine's assignment.
func (fs *FleetState) fillForSidecar(now time.Duration, lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.servers.since(lp.sentVersions.servers) {
		if c.value.GetAddress() == lp.link.GetBackend() {
			batch.Items = append(batch.Items, c.value)
		}
	}
	lp.sentVersions.servers = fs.servers.version
	if lp.server == "" {
		return
	}
	next := &assignment{loadRequests: fs.loadRequestsFor(lp.server), usage: fs.modelUsageAt(now, lp.server)}
	if next.equal(lp.assignment) {
		return
	}
	lp.assignment = next
	batch.Tell = next.message(now, lp.server)
}

// message returns the message for an assignment of a server's engine.
func (a *assignment) message(now time.Duration, server string) *wire.Assignment {
	message := &wire.Assignment{}
	for _, model := range slices.Sorted(maps.Keys(a.loadRequests)) {
		message.Wants = append(message.Wants, a.loadRequests[model].message(now, serverModel{server, model}))
	}
	for _, model := range slices.Sorted(maps.Keys(a.usage)) {
		usage := a.usage[model]
		message.Demands = append(message.Demands, &wire.ModelUsage{Model: model, Inflight: usage.inflight, Rate: usage.rate, Copies: usage.copies})
	}
	return message
}

// loadRequestsFor returns the load requests of this and the other relays for an engine, by
// model. An engine in an evacuated data centre gets none.
func (fs *FleetState) loadRequestsFor(server string) map[string]loadRequest {
	out := map[string]loadRequest{}
	if fs.evacuatedServer(server) {
		return out
	}
	add := func(key serverModel, r loadRequest) {
		if key.server != server {
			return
		}
		if known, ok := out[key.model]; ok {
			r = known.merge(r)
		}
		out[key.model] = r
	}
	for key, r := range fs.loadRequests.all() {
		add(key, r)
	}
	for _, rf := range fs.remoteFeeds {
		for key, r := range rf.loadRequests {
			add(key, r)
		}
	}
	return out
}

// modelUsageAt returns the usage of the models and adapters that an engine serves.
func (fs *FleetState) modelUsageAt(now time.Duration, server string) map[string]modelUsage {
	out := map[string]modelUsage{}
	known, _ := fs.statuses.get(server)
	for _, name := range known.status.GetModels() {
		usage := modelUsage{rate: roundRate(fs.allocator.RequestRate(now, name)), copies: uint32(fs.allocator.Copies(now, name))}
		usage.inflight, _ = fs.usage.get(serverModel{server, name})
		for _, rf := range fs.remoteFeeds {
			usage.inflight += rf.usage[serverModel{server, name}]
		}
		out[name] = usage
	}
	return out
}

// Rates are rounded to logarithmic steps, so that small changes cause no message.
const (
	// rateStep is the ratio of two neighbouring steps.
	rateStep = 1.25
	// minRate is the lowest rate sent, in requests a second; lower ones are sent as 0.
	minRate = 0.01
)

// roundRate rounds a rate, in requests a second, to the nearest step.
func roundRate(rate float64) float64 {
	if rate < minRate {
		return 0
	}
	step := math.Log(rateStep)
	return math.Exp(math.Round(math.Log(rate)/step) * step)
}
