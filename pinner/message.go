package pinner

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// TakeUnsent returns the streams that were recorded here since the last call, or all that are
// remembered.
func (p *Pinner) TakeUnsent(now time.Duration, all bool) []*wire.Origin {
	ids := p.unsent
	if all {
		ids = p.order
	}
	p.unsent = nil
	var origins []*wire.Origin
	for _, id := range ids {
		if s, ok := p.streams[id]; ok && now-s.recordedAt <= Lifetime {
			origins = append(origins, &wire.Origin{Stream: id, Software: s.software, Age: timer.ToMillis(now - s.recordedAt)})
		}
	}
	return origins
}

// DropUnsent makes the next TakeUnsent leave out the streams that were recorded up to now.
func (p *Pinner) DropUnsent() { p.unsent = nil }

// Revision returns how often a version was listed first or its last server has left.
func (p *Pinner) Revision() uint64 { return p.revision }

// Encode returns the value of the row that keeps which versions servers have had, so that a process
// that starts knows of those whose servers have just left.
func (p *Pinner) Encode(now time.Duration, at time.Time) ([]byte, error) {
	row := &wire.SoftwareHistory{Saved: at.UnixMilli()}
	for s, seen := range p.lastSeen {
		if p.listed(s) {
			seen = now
		}
		row.Versions = append(row.Versions, &wire.PoolSoftware{Pool: s.pool, Software: s.software, Listed: p.listed(s), Age: timer.ToMillis(now - seen)})
	}
	slices.SortFunc(row.Versions, func(a, b *wire.PoolSoftware) int {
		return cmp.Or(cmp.Compare(a.GetPool(), b.GetPool()), cmp.Compare(a.GetSoftware(), b.GetSoftware()))
	})
	value, err := proto.Marshal(row)
	if err != nil {
		return nil, storer.NewFormatError("the versions of servers cannot be encoded", err)
	}
	return value, nil
}

// Restore adds the versions in a row that is read at a time of day. A version that was listed when the
// row was written counts as seen now, since its servers may have left since. An error is a
// *storer.FormatError.
func (p *Pinner) Restore(now time.Duration, value []byte, at time.Time) error {
	row := &wire.SoftwareHistory{}
	if err := proto.Unmarshal(value, row); err != nil {
		return storer.NewFormatError("the row of the versions of servers cannot be read", err)
	}
	elapsed := min(max(0, at.Sub(time.UnixMilli(row.GetSaved()))), 2*Lifetime)
	for _, v := range row.GetVersions() {
		seen := now - timer.FromMillis(v.GetAge()) - elapsed
		if v.GetListed() {
			seen = now
		}
		s := server{pool: v.GetPool(), software: v.GetSoftware()}
		if known, ok := p.lastSeen[s]; (!ok || known < seen) && now-seen <= Lifetime {
			p.lastSeen[s] = seen
		}
	}
	return nil
}
