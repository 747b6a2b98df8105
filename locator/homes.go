package locator

import (
	"maps"
	"slices"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/tracker"
)

// SetRegions sets the regions of the data centres, by data centre.
func (l *Locator) SetRegions(regions map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regions = regions
}

// withinHomes returns the servers that are in the homes of a request and have a version of the
// software at which it may run. The caller holds the lock.
func (l *Locator) withinHomes(r *dispatcher.Request, servers []*tracker.Backend) []*tracker.Backend {
	if _, restricted := r.Software.Version(); !restricted && !r.Homes.Restricted() {
		return servers
	}
	outside := func(b *tracker.Backend) bool {
		return !r.Homes.Allow(l.regions[b.Server().Centre]) || !r.Software.Allow(b.Server().Software)
	}
	return slices.DeleteFunc(slices.Clone(servers), outside)
}

// checkHomes refuses r if no server in its homes takes new work. The caller holds the lock.
func (l *Locator) checkHomes(r *dispatcher.Request) error {
	if !r.Homes.Restricted() || len(l.withinHomes(r, l.fleet.Pool(r.Pool))) > 0 {
		return nil
	}
	return refuser.New(refuser.Busy, "no backend server in the regions where the request may run takes requests").WithRetryAfter(maxRetryAfter)
}

// updateCentres finds the data centres in which the waiting requests may run, given the regions of the
// data centres. Without a waiting request it keeps those known.
func (d *demand) updateCentres(regions map[string]string) {
	if len(d.waiting) == 0 {
		return
	}
	allowed := map[string]bool{}
	for r := range d.waiting {
		if !r.Homes.Restricted() {
			d.centres = nil
			return
		}
		for centre, region := range regions {
			if r.Homes.Allow(region) {
				allowed[centre] = true
			}
		}
	}
	d.centres = slices.Sorted(maps.Keys(allowed))
}
