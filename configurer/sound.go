package configurer

import (
	"slices"

	"oleanderstall/wire"
)

const (
	// maxNumber is the highest number that a rate, a burst, a weight or a cost may have.
	maxNumber = 1e15
	// maxOmitted bounds the names of odd objects that a view keeps.
	maxOmitted = 64
)

// withSound returns the view with the objects of a change applied that are sound. The odd ones
// have no name, a number that is negative, above maxNumber or not a number, or are their own
// base; what was in force under their names stays.
func (v *View) withSound(change *wire.Change) *View {
	var omitted []string
	sound := &wire.Change{
		Version:    change.GetVersion(),
		Models:     selectSound(change.GetModels(), "model/", (*wire.Model).GetName, soundModel, &omitted),
		Workspaces: selectSound(change.GetWorkspaces(), "workspace/", (*wire.Workspace).GetName, soundWorkspace, &omitted),
		Keys:       selectSound(change.GetKeys(), "key/", (*wire.Key).GetId, always[*wire.Key], &omitted),
		Routes:     selectSound(change.GetRoutes(), "route/", (*wire.Route).GetName, always[*wire.Route], &omitted),
		Pools:      selectSound(change.GetPools(), "pool/", (*wire.Pool).GetName, soundPool, &omitted),
		Drops:      change.GetDrops(),
		Limits:     change.GetLimits(),
		Evacuate:   selectSound(change.GetEvacuate(), "evacuate/", (*wire.EvacuatedCentre).GetName, always[*wire.EvacuatedCentre], &omitted),
	}
	next := v.With(sound)
	next.omitted = slices.Concat(v.omitted, omitted)
	next.omitted = next.omitted[max(0, len(next.omitted)-maxOmitted):]
	return next
}

// selectSound returns the objects of a kind that have a name and are sound, and adds the names of
// the others to omitted.
func selectSound[T any](objects []T, kind string, name func(T) string, sound func(T) bool, omitted *[]string) []T {
	selected := make([]T, 0, len(objects))
	for _, o := range objects {
		if name(o) == "" || !sound(o) {
			*omitted = append(*omitted, kind+name(o))
			continue
		}
		selected = append(selected, o)
	}
	return selected
}

func always[T any](T) bool { return true }

func soundModel(m *wire.Model) bool {
	return m.GetBase() != m.GetName() && soundNumber(m.GetIdle())
}

func soundWorkspace(w *wire.Workspace) bool {
	return soundNumber(w.GetRate()) && soundNumber(w.GetBurst()) && soundNumber(w.GetWeight())
}

func soundPool(p *wire.Pool) bool { return soundNumber(p.GetEngines().GetLoads()) }

// soundNumber reports whether a number is between 0 and maxNumber. It is false for a value that
// is not a number.
func soundNumber(n float64) bool { return n >= 0 && n <= maxNumber }
