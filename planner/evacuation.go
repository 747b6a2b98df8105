package planner

import (
	"cmp"
	"fmt"
	"slices"

	"oleanderstall/configurer"
	"oleanderstall/wire"
)

// Sidecar is a listed sidecar as the plan of an evacuation needs it.
type Sidecar struct {
	Name   string
	Centre string
	Pool   string
	// Models are the models that have a replica there, sorted.
	Models []string
	// Free is the memory of its engine that is free or may be freed, in bytes. It is not known, and
	// Unknown set, if the sidecar does not answer.
	Free    uint64
	Unknown bool
}

// EvacuationSteps describes to the operator what the evacuations of a change do, given the sidecars of
// the fleet: what stays where it is until its requests have ended, what moves, and what does not fit
// elsewhere.
func EvacuationSteps(view *configurer.View, change *wire.Change, sidecars []Sidecar) []*wire.Step {
	if len(change.GetEvacuate()) == 0 {
		return nil
	}
	next := view.With(change)
	var steps []*wire.Step
	addStep := func(kind, format string, args ...any) {
		steps = append(steps, &wire.Step{Kind: kind, Text: fmt.Sprintf(format, args...)})
	}
	var inside, outside []Sidecar
	for _, s := range sidecars {
		if next.Evacuated(s.Centre) {
			inside = append(inside, s)
		} else {
			outside = append(outside, s)
		}
	}
	for _, e := range change.GetEvacuate() {
		n := 0
		for _, s := range inside {
			if s.Centre == e.GetName() {
				n++
			}
		}
		addStep("evacuate", "data centre %s: %d sidecars get no new requests and no loads; what runs there ends normally", e.GetName(), n)
	}
	addPoolSteps(addStep, inside, outside)
	addMoveSteps(addStep, next, inside, outside)
	return steps
}

// addPoolSteps adds a step for each pool that has sidecars inside the evacuated data centres and none
// outside.
func addPoolSteps(addStep func(kind, format string, args ...any), inside, outside []Sidecar) {
	var pools []string
	for _, s := range inside {
		if !slices.ContainsFunc(outside, func(o Sidecar) bool { return o.Pool == s.Pool }) {
			pools = append(pools, s.Pool)
		}
	}
	slices.Sort(pools)
	for _, pool := range slices.Compact(pools) {
		addStep("unfit", "pool %s: no sidecar elsewhere, its requests are refused", pool)
	}
}

// addMoveSteps adds a step for each model that has replicas inside the evacuated data centres. Those
// without one outside are placed, the largest first, where most memory is free.
func addMoveSteps(addStep func(kind, format string, args ...any), next *configurer.View, inside, outside []Sidecar) {
	replicas := map[string]int{}
	for _, s := range inside {
		for _, name := range s.Models {
			replicas[name]++
		}
	}
	var moved []*wire.Model
	for _, m := range next.Models() {
		if replicas[m.GetName()] == 0 {
			continue
		}
		if slices.ContainsFunc(outside, func(s Sidecar) bool { return slices.Contains(s.Models, m.GetName()) }) {
			addStep("move", "model %s: %d replicas there, its replicas elsewhere take the requests", m.GetName(), replicas[m.GetName()])
			continue
		}
		moved = append(moved, m)
	}
	slices.SortStableFunc(moved, func(a, b *wire.Model) int { return cmp.Compare(b.GetBytes(), a.GetBytes()) })
	room := slices.DeleteFunc(slices.Clone(outside), func(s Sidecar) bool { return s.Unknown || s.Free == 0 })
	for _, m := range moved {
		slices.SortFunc(room, func(a, b Sidecar) int { return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Name, b.Name)) })
		if len(room) == 0 || room[0].Free < m.GetBytes() {
			addStep("unfit", "model %s: %d bytes fit into no engine elsewhere, its requests are refused or wait", m.GetName(), m.GetBytes())
			continue
		}
		addStep("move", "model %s: all %d replicas there, loaded elsewhere on the next request", m.GetName(), replicas[m.GetName()])
		room[0].Free -= m.GetBytes()
	}
}
