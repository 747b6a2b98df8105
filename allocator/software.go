package allocator

import (
	"slices"

	"oleanderstall/placer"
)

// hasSoftware reports whether an engine has a version of the software at which all requests of a demand
// may run, or all but those that may run at another version only.
func (a *Allocator) hasSoftware(d Demand, id string) bool {
	b := a.fleet.Get(id)
	return len(d.Software) == 0 || b != nil && slices.Contains(d.Software, b.Server().Software)
}

// withSoftware returns the candidates that have a version at which requests may run that may not run at
// all, or all candidates if none has one, for the other requests.
func (a *Allocator) withSoftware(d Demand, candidates []placer.Candidate) []placer.Candidate {
	fitting := slices.DeleteFunc(slices.Clone(candidates), func(c placer.Candidate) bool { return !a.hasSoftware(d, c.ID) })
	if len(fitting) == 0 {
		return candidates
	}
	return fitting
}
