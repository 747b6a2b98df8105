package dispatcher

import "slices"

// Homes are the regions in which a request may run. The zero value allows all.
type Homes struct {
	restricted bool
	regions    []string
}

// NewHomes returns the regions that all lists allow. An empty list allows all regions.
func NewHomes(lists ...[]string) Homes {
	var h Homes
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !h.restricted:
			h = Homes{restricted: true, regions: list}
		default:
			h.regions = slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	return h
}

// Restricted reports whether the request may not run in all regions.
func (h Homes) Restricted() bool { return h.restricted }

// Allow reports whether the request may run in a region. An unknown region, which is empty, is allowed
// only if all are.
func (h Homes) Allow(region string) bool {
	return !h.restricted || region != "" && slices.Contains(h.regions, region)
}
