package main

import "sort"

// pairing maps each object of the old tree to one of the new tree.
type pairing struct {
	newOf map[string]string
	oldOf map[string]string
	// unpaired is the number of declarations of both trees without a counterpart.
	unpaired int
}

// newPairing returns a pairing without objects.
func newPairing() *pairing {
	return &pairing{newOf: map[string]string{}, oldOf: map[string]string{}}
}

// group holds the declarations of one shape that are not paired yet.
type group struct {
	before []*declaration
	after  []*declaration
}

// pair pairs the declarations and returns those without a counterpart. It begins with
// the shapes that stand once in each tree. If several counterparts are left for all of
// the others, it takes the first one, which differs from the rest in nothing but names.
func (p *pairing) pair(before, after []*declaration) []*declaration {
	groups := groupByShape(before, after)
	var missing []*declaration
	for open := true; open; {
		missing = append(missing, p.pairUnambiguous(groups)...)
		open = p.pairFirst(groups)
	}
	for _, g := range groups {
		missing = append(missing, g.after...)
	}
	p.unpaired = len(missing)
	return missing
}

// groupByShape returns the groups, the smallest ones first.
func groupByShape(before, after []*declaration) []*group {
	byShape := map[string]*group{}
	var groups []*group
	at := func(shape string) *group {
		if byShape[shape] == nil {
			byShape[shape] = &group{}
			groups = append(groups, byShape[shape])
		}
		return byShape[shape]
	}
	for _, d := range before {
		g := at(d.shape)
		g.before = append(g.before, d)
	}
	for _, d := range after {
		g := at(d.shape)
		g.after = append(g.after, d)
	}
	sort.SliceStable(groups, func(i, j int) bool { return len(groups[i].before) < len(groups[j].before) })
	return groups
}

// pairUnambiguous pairs the declarations that have one counterpart left, until none has,
// and returns those that have none.
func (p *pairing) pairUnambiguous(groups []*group) []*declaration {
	var missing []*declaration
	for progress := true; progress; {
		progress = false
		for _, g := range groups {
			var open []*declaration
			for _, d := range g.before {
				switch fitting := p.counterparts(d, g.after); len(fitting) {
				case 0:
					missing = append(missing, d)
				case 1:
					p.take(g, d, fitting[0])
					progress = true
				default:
					open = append(open, d)
				}
			}
			g.before = open
		}
	}
	return missing
}

// pairFirst pairs one of the declarations that have several counterparts. It reports
// false if there is none.
func (p *pairing) pairFirst(groups []*group) bool {
	for _, g := range groups {
		if len(g.before) == 0 {
			continue
		}
		d := g.before[0]
		g.before = g.before[1:]
		p.take(g, d, p.counterparts(d, g.after)[0])
		return true
	}
	return false
}

// counterparts returns the indexes of the declarations that mention the objects which
// those of d stand for.
func (p *pairing) counterparts(d *declaration, after []*declaration) []int {
	var fitting []int
	for i, candidate := range after {
		if p.fits(d, candidate) {
			fitting = append(fitting, i)
		}
	}
	return fitting
}

// fits reports whether no object of one declaration is paired with another object than
// that of the other one at the same place.
func (p *pairing) fits(before, after *declaration) bool {
	for i, o := range before.objects {
		n := after.objects[i]
		if paired, ok := p.newOf[o]; ok && paired != n {
			return false
		}
		if paired, ok := p.oldOf[n]; ok && paired != o {
			return false
		}
	}
	return true
}

// take pairs d with the declaration of that index, and their objects.
func (p *pairing) take(g *group, d *declaration, index int) {
	n := g.after[index]
	g.after = append(g.after[:index:index], g.after[index+1:]...)
	for i, o := range d.objects {
		p.newOf[o] = n.objects[i]
		p.oldOf[n.objects[i]] = o
	}
}
