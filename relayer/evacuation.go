package relayer

import (
	"time"

	"oleanderstall/wire"
)

// UpdateEvacuated replaces the evacuated data centres by a set that is complete as of a version of the
// store's table, unless a newer one is known, and sends a change to every process.
func (fs *FleetState) UpdateEvacuated(now time.Duration, version uint64, centres []string) {
	if fs.evacuator.Update(now, version, centres) {
		fs.applyEvacuated("read")
	}
}

// applyEvacuated passes changed evacuated data centres on to the allocator and to every process.
func (fs *FleetState) applyEvacuated(cause string) {
	centres := fs.evacuator.Centres()
	fs.allocator.SetEvacuated(centres)
	fs.evacuationsRevision++
	fs.decisionStale = true
	fs.markUrgent(Entry, Sidecar, Relay)
	fs.log.Info().Strs("centres", centres).Uint64("row", fs.evacuator.Message().GetVersion()).Str("cause", cause).Msg("evacuation: data centres, as the relay knows")
}

// tickEvacuated ends the evacuation of data centres whose rows the store has lost.
func (fs *FleetState) tickEvacuated(now time.Duration) {
	if fs.evacuator.Tick(now) {
		fs.applyEvacuated("row lost")
	}
}

// addEvacuated adds the evacuated data centres to a batch if they have changed since the latest that
// the process got.
func (fs *FleetState) addEvacuated(lp *linkedProcess, batch *wire.Batch) {
	if lp.sentVersions.evacuations != fs.evacuationsRevision {
		batch.Evacuations, lp.sentVersions.evacuations = fs.evacuator.Message(), fs.evacuationsRevision
	}
}

// evacuatedServer reports whether a server is in an evacuated data centre.
func (fs *FleetState) evacuatedServer(id string) bool {
	server, ok := fs.servers.get(id)
	return ok && fs.evacuator.Evacuated(server.GetCentre())
}
