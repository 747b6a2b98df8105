package runner

import (
	"slices"
	"sync"
	"time"

	"oleanderstall/evacuator"
	"oleanderstall/platform"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// evacuations are the evacuated data centres as a process knows them, from the store or its relay.
type evacuations struct {
	mu        sync.Mutex
	evacuator *evacuator.Evacuator
}

func newEvacuations() *evacuations { return &evacuations{evacuator: evacuator.New()} }

// count returns the number of evacuated data centres.
func (e *evacuations) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.evacuator.Centres())
}

// applyEvacuationRows applies the evacuations if one of the changed rows of the table of the
// configuration is one.
func (h *hostedProcess) applyEvacuationRows(changed []storer.Row) {
	isEvacuation := func(r storer.Row) bool {
		_, ok := platform.EvacuatedCentre(r)
		return ok
	}
	if !slices.ContainsFunc(changed, isEvacuation) {
		return
	}
	rows, version := h.configs.RowsWithPrefix(platform.EvacuationPrefix)
	var centres []string
	for _, r := range rows {
		centre, _ := platform.EvacuatedCentre(r)
		if !evacuator.ValidName(centre) {
			h.log.Warn().Str("key", r.Key).Uint64("row", r.Version).Msg("evacuation: row names no data centre, not used")
			continue
		}
		centres = append(centres, centre)
	}
	h.updateEvacuated(version, centres, "store")
}

// receiveEvacuations applies the evacuated data centres in a relay's batch, which may be nil.
func (h *hostedProcess) receiveEvacuations(message *wire.Evacuations) {
	if message.GetVersion() > 0 {
		h.updateEvacuated(message.GetVersion(), message.GetCentres(), "relay")
	}
}

// updateEvacuated applies a set of evacuated data centres that is complete as of a version, unless a
// newer one is known.
func (h *hostedProcess) updateEvacuated(version uint64, centres []string, source string) {
	h.relayer.UpdateEvacuated(version, centres)
	h.evacuations.mu.Lock()
	defer h.evacuations.mu.Unlock()
	if h.evacuations.evacuator.Update(h.clock(), version, centres) {
		h.evacuationsChanged(source)
	}
}

// tickEvacuations ends the evacuation of data centres whose rows the store has lost.
func (h *hostedProcess) tickEvacuations(now time.Duration) {
	h.evacuations.mu.Lock()
	defer h.evacuations.mu.Unlock()
	if h.evacuations.evacuator.Tick(now) {
		h.evacuationsChanged("row lost")
	}
}

// evacuationsChanged brings changed evacuations into force. The caller holds the lock of evacuations.
func (h *hostedProcess) evacuationsChanged(source string) {
	e := h.evacuations.evacuator
	h.log.Info().Strs("centres", e.Centres()).Uint64("row", e.Message().GetVersion()).Str("source", source).Msg("evacuation: in force")
	h.onEvacuationsChange(e.Centres())
}
