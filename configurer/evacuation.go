package configurer

import (
	"maps"
	"slices"
)

// Evacuated reports whether a data centre is evacuated.
func (v *View) Evacuated(centre string) bool { return v.evacuated[centre] != nil }

// EvacuatedCentres returns the names of the evacuated data centres, sorted.
func (v *View) EvacuatedCentres() []string { return slices.Sorted(maps.Keys(v.evacuated)) }
