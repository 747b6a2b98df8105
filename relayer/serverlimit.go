package relayer

import (
	"time"

	"oleanderstall/pacer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// maxLimits is the number of known limits at which those of servers that are not listed are
// dropped.
const maxLimits = 4096

// pacedLimit is the limit that a server has named, and the name of the process that gives out the
// permits for it, empty while there is none.
type pacedLimit struct {
	pacer.Limit
	pacer string
}

// mergeLimits adds limits that an entry or another relay has sent. A change is sent on at once.
func (fs *FleetState) mergeLimits(limits []*wire.ServerLimit) {
	for _, message := range limits {
		if l, ok := pacer.FromMessage(message); ok {
			fs.mergeLimit(l)
		}
	}
	if fs.limits.count() > maxLimits {
		fs.dropLimits()
	}
}

// mergeLimit adds a limit, unless more recent things are known of it.
func (fs *FleetState) mergeLimit(l pacer.Limit) {
	known, found := fs.limits.get(l.Server)
	if found && !l.Supersedes(known.Limit) {
		return
	}
	if known.Rate == 0 && fs.coldRate(l.Server) == 0 {
		delete(fs.pacing.schedules, l.Server)
	}
	fs.limits.set(l.Server, pacedLimit{Limit: l, pacer: fs.pacerOf(l.Server)})
	fs.markUrgent(Entry, Relay)
	if known.Rate != l.Rate {
		fs.log.Info().Str("server", l.Server).Int64("born", l.Started).Float64("limit", l.Rate).Float64("before", known.Rate).
			Uint64("number", l.Number).Msg("server: limit, as reported")
	}
}

// dropLimits drops the limits of servers that are not listed.
func (fs *FleetState) dropLimits() {
	for id := range fs.limits.all() {
		if server, ok := fs.servers.get(id); !ok || server.GetGone() {
			fs.limits.remove(id)
			delete(fs.pacing.schedules, id)
		}
	}
}

// addLimits adds the changed limits to a batch, for an entry with the pacers.
func (fs *FleetState) addLimits(lp *linkedProcess, batch *wire.Batch) {
	for c := range fs.limits.since(lp.sentVersions.limits) {
		if c.removed {
			continue
		}
		message := c.value.Message()
		if lp.link.GetRole() == Entry {
			message.Pacer = c.value.pacer
		}
		batch.Limits = append(batch.Limits, message)
	}
	lp.sentVersions.limits = fs.limits.version
}

// Permit answers a request for a permit. An error is a *refuser.Refusal: this process does not pace
// the server.
func (fs *FleetState) Permit(now time.Duration, request *wire.PermitRequest) (*wire.Permit, error) {
	fs.latest = max(fs.latest, now)
	id := request.GetLimit().GetServer()
	if isLimit(request.GetLimit()) {
		fs.mergeLimits([]*wire.ServerLimit{request.GetLimit()})
	}
	fs.receiveCold(now, request)
	known, ok := fs.limits.get(id)
	limit, cold := fs.limitOf(id)
	if !ok && !cold || fs.pacingCentre(id) != fs.centre {
		return nil, refuser.New(refuser.Conflict, "this process does not pace the server")
	}
	if !ok {
		known.Limit = pacer.Limit{Server: id, Started: limit.Started}
	}
	if limit.Rate == 0 {
		return &wire.Permit{Limit: known.Message()}, nil
	}
	share := fs.pacingShare(now)
	if share == 0 {
		return &wire.Permit{Wait: timer.ToMillis(votingDelay), Limit: known.Message()}, nil
	}
	permit, given := fs.reserve(now, limit, share, cold, timer.FromMillis(request.GetWait()))
	return &wire.Permit{Given: given, Number: permit.Number, Wait: timer.ToMillis(permit.Wait), Limit: known.Message()}, nil
}
