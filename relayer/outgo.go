package relayer

import (
	"maps"
	"time"
)

// outgoAge is how far back a data centre that was not told before is told what the
// entries here have used.
const outgoAge = 2 * time.Second

// outgo is what the entries linked to a relay have used, as the other data centres are
// told of it. What a relay there has not confirmed is told to its successor.
type outgo struct {
	total map[string]float64
	// newer and older are totals of up to outgoAge ago and of before that.
	newer   map[string]float64
	older   map[string]float64
	rotated time.Duration
	// confirmed are the totals that each data centre has confirmed.
	confirmed map[string]map[string]float64
}

func newOutgo() *outgo {
	return &outgo{
		total:     map[string]float64{},
		newer:     map[string]float64{},
		older:     map[string]float64{},
		confirmed: map[string]map[string]float64{},
	}
}

// add counts what was used.
func (o *outgo) add(used map[string]float64) { sum(o.total, used) }

// rotate ages the totals kept.
func (o *outgo) rotate(now time.Duration) {
	if now-o.rotated < outgoAge {
		return
	}
	o.older, o.newer, o.rotated = o.newer, maps.Clone(o.total), now
}

// begin returns the totals from which a data centre is told.
func (o *outgo) begin(centre string) map[string]float64 {
	if told, ok := o.confirmed[centre]; ok {
		return told
	}
	return maps.Clone(o.older)
}

// since returns what was used since some totals, and the totals of now.
func (o *outgo) since(told map[string]float64) (used, total map[string]float64) {
	used = map[string]float64{}
	for name, tokens := range o.total {
		if more := tokens - told[name]; more != 0 {
			used[name] = more
		}
	}
	if len(used) == 0 {
		return used, told
	}
	return used, maps.Clone(o.total)
}

// statement is a batch that told totals.
type statement struct {
	number uint64
	total  map[string]float64
}

// state tells a reader what was used since it was told last.
func (m *member) state(o *outgo, number uint64) map[string]float64 {
	used, total := o.since(m.stated)
	if len(used) > 0 {
		m.stated = total
		m.statements = append(m.statements, statement{number: number, total: total})
	}
	return used
}

// confirm takes note of the batches that a reader has confirmed. They count for its data
// centre if it serves entries there.
func (m *member) confirm(o *outgo, heard uint64, serves bool) {
	for len(m.statements) > 0 && m.statements[0].number <= heard {
		if serves {
			o.confirmed[m.link.GetCentre()] = m.statements[0].total
		}
		m.statements = m.statements[1:]
	}
}
