package holder

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderstall/leaser"
	"oleanderstall/limiter"
	"oleanderstall/peer"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// leaseRow converts a shard row from its stored form.
func leaseRow(row *wire.ShardRow, version uint64) leaser.Row {
	return leaser.Row{
		Version:    version,
		Epoch:      row.GetEpoch(),
		Holder:     row.GetHolder(),
		Mark:       row.GetMark(),
		Candidates: row.GetCandidates(),
	}
}

// unreadableHolder stands for the holder of a shard whose row cannot be read. No instance has
// that name, so that the entries take the shard over as that of a holder which is gone.
const unreadableHolder = "?"

// decodeShard decodes the row of a shard. A value that cannot be read, or that describes
// another shard, counts as the row of unreadableHolder with the epoch that is known.
func decodeShard(index uint32, r storer.Row, knownEpoch uint64) leaser.Row {
	row := &wire.ShardRow{}
	if storer.Decode(r.Value, row) != nil || row.GetShard() != index || row.GetEpoch() > maxEpoch {
		return leaser.Row{Version: r.Version, Epoch: knownEpoch, Holder: unreadableHolder}
	}
	return leaseRow(row, r.Version)
}

// dropTenure discards the tenure and everything that belongs to it.
func (h *Holder) dropTenure(s *shard) {
	s.tenure, s.rowLost = nil, false
	s.buckets = map[bucketShare]*limiter.Bucket{}
	s.models = map[string]*model{}
}

// updateShard renews, takes or takes over one shard, as needed. reachable is set if the
// platform responded to the last read.
func (h *Holder) updateShard(ctx context.Context, s *shard, reachable bool) {
	h.mu.Lock()
	now := h.clock()
	holds := s.tenure != nil && s.tenure.Held(now)
	if s.tenure != nil && !holds {
		h.dropTenure(s)
		h.log.Warn().Uint32("shard", s.index).Msg("shard: tenure lapsed")
	}
	row, rowsListed, leaving := s.row, s.rowsListed, h.leaving
	h.mu.Unlock()
	switch {
	case holds:
		h.renewTenure(ctx, s, row, reachable)
	case !reachable || !rowsListed || leaving:
	case row.Holder == "":
		h.takeVacant(ctx, s, row)
	default:
		h.takeOver(ctx, s, row)
	}
}

// renewTenure extends the tenure once a third of the lease has passed: by writing the
// row or, if that fails, by the pledges of all candidates. It writes the row at once if
// it carries a mark or if its candidates differ from those chosen from the instance list.
func (h *Holder) renewTenure(ctx context.Context, s *shard, row leaser.Row, reachable bool) {
	sentAt := h.clock()
	candidates := h.chooseCandidates(s.index)
	unchanged := !h.lost(s) && row.Mark == "" && slices.Equal(row.Candidates, candidates)
	if unchanged && h.remainingTenure(s, sentAt) > h.options.Lease*2/3 {
		return
	}
	if reachable {
		next := row.WithRenewal(candidates)
		h.addCandidates(s, next.Candidates)
		if version, ok := h.writeRow(ctx, s.index, next, row.Version); ok {
			next.Version = version
			h.mu.Lock()
			if s.tenure != nil {
				s.row, s.rowLost = next, false
				s.tenure.Renew(sentAt, next)
			}
			h.mu.Unlock()
			return
		}
	}
	sentAt = h.clock()
	promise := &wire.Promise{Shard: s.index, Epoch: row.Epoch, Era: storer.Era(row.Version)}
	pledged := h.requestPledges(ctx, promise, h.tenureCandidates(s))
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure != nil {
		s.tenure.RenewByPledges(h.clock(), sentAt, pledged)
	}
}

// lost reports whether the store has lost this entry's row of a shard.
func (h *Holder) lost(s *shard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return s.rowLost
}

// remainingTenure returns the time until the tenure of the shard expires.
func (h *Holder) remainingTenure(s *shard, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure == nil {
		return 0
	}
	return s.tenure.ExpiresAt() - now
}

// addCandidates adds the candidates of a renewal that is about to be sent.
func (h *Holder) addCandidates(s *shard, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure != nil {
		s.tenure.AddCandidates(names)
	}
}

// tenureCandidates returns the candidates whose pledges are needed to extend the tenure.
func (h *Holder) tenureCandidates(s *shard) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure == nil {
		return nil
	}
	return s.tenure.Candidates()
}

// requestPledges asks the named candidates for a pledge not to take the shard over. The
// result has the names of those that gave it, and empty strings for the others.
func (h *Holder) requestPledges(ctx context.Context, promise *wire.Promise, names []string) []string {
	limited, cancel := context.WithTimeout(ctx, h.options.Lease/4)
	defer cancel()
	pledged := make([]string, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			if h.requestPledge(limited, promise, name) {
				pledged[i] = name
			}
		})
	}
	wg.Wait()
	return pledged
}

// requestPledge asks one candidate for a pledge and reports whether it gave it.
func (h *Holder) requestPledge(ctx context.Context, promise *wire.Promise, name string) bool {
	in, ok := h.member.Find(name)
	if !ok {
		return false
	}
	call := &wire.Call{Body: &wire.Call_Promise{Promise: promise}}
	reply, err := peer.Call(ctx, h.caller, in.Address, call)
	return err == nil && reply.GetPledge().GetGiven()
}

// HandlePromise responds to a holder that cannot reach the platform and asks for a pledge. One whose row
// is of an earlier era of the store gets none: the candidates in the row that others read may differ.
func (h *Holder) HandlePromise(p *wire.Promise) *wire.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	given := false
	if p.GetShard() < uint32(len(h.shards)) {
		s := h.shards[p.GetShard()]
		h.updateEra()
		given = s.tenure == nil && p.GetEra() >= h.era && s.row.Epoch <= p.GetEpoch() && s.watch.Pledge()
	}
	return &wire.Reply{Body: &wire.Reply_Pledge{Pledge: &wire.Pledge{Given: given}}}
}

// takeVacant takes a shard without a holder if this entry ranks first for it.
func (h *Holder) takeVacant(ctx context.Context, s *shard, row leaser.Row) {
	ranked := h.rankEntries(s.index)
	if len(ranked) == 0 || ranked[0] != h.selfName || h.clock() < h.vacantTakenFrom() {
		return
	}
	h.takeShard(ctx, s, row)
}

// takeOver marks the row of a holder that has stopped renewing it, and takes the shard
// over once the lease time after the mark has passed.
func (h *Holder) takeOver(ctx context.Context, s *shard, row leaser.Row) {
	if !h.eligible(row) {
		return
	}
	now := h.clock()
	h.mu.Lock()
	canTake := s.watch.MayTake(now, h.selfName, row)
	canMark := !canTake && s.watch.MayMark(now, row)
	if canMark {
		s.watch.StartMark()
	}
	h.mu.Unlock()
	if canTake {
		h.takeShard(ctx, s, row)
	}
	if !canMark {
		return
	}
	next := row.WithMark(h.selfName)
	if version, ok := h.writeRow(ctx, s.index, next, row.Version); ok {
		h.mu.Lock()
		next.Version = version
		s.row = next
		s.watch.MarkWritten(h.clock(), version)
		h.mu.Unlock()
		h.log.Info().Uint32("shard", s.index).Str("holder", row.Holder).Msg("shard: takeover announced")
	}
}

// eligible reports whether this entry may take over a shard with this row. It may if it
// is a candidate, if the row names it as the holder, or if the platform lists neither
// the holder nor any of the candidates any more.
func (h *Holder) eligible(row leaser.Row) bool {
	unlisted := h.unlisted(row.Holder)
	for _, name := range row.Candidates {
		if name == h.selfName {
			return true
		}
		unlisted = unlisted && h.unlisted(name)
	}
	return unlisted || row.Holder == h.selfName
}

// unlisted reports whether the platform has not listed name for at least a lease time.
func (h *Holder) unlisted(name string) bool {
	return h.member.Unlisted(h.clock(), name, h.options.Lease)
}

// takeShard writes this entry into the row as the holder and starts a tenure.
func (h *Holder) takeShard(ctx context.Context, s *shard, row leaser.Row) {
	sentAt := h.clock()
	next := row.WithTakeover(h.selfName, h.chooseCandidates(s.index))
	next.Epoch = storer.NextNumber(row.Epoch, h.table.Era())
	version, ok := h.writeRow(ctx, s.index, next, row.Version)
	if !ok {
		return
	}
	next.Version = version
	h.mu.Lock()
	h.dropTenure(s)
	s.row = next
	s.tenure = leaser.NewTenure(sentAt, h.leaseOptions, next)
	s.tenureStart = sentAt
	h.mu.Unlock()
	h.log.Info().Uint32("shard", s.index).Uint64("epoch", next.Epoch).Msg("shard: taken")
}

// writeRow writes a shard row if its version is still the given one, and returns the new
// version. If the response to a write is lost, the next read shows whether the write
// succeeded.
func (h *Holder) writeRow(ctx context.Context, index uint32, next leaser.Row, version uint64) (uint64, bool) {
	limited, cancel := context.WithTimeout(ctx, h.options.Lease/4)
	defer cancel()
	value, err := storer.Encode(&wire.ShardRow{
		Shard:      index,
		Holder:     next.Holder,
		Epoch:      next.Epoch,
		Candidates: next.Candidates,
		Mark:       next.Mark,
	})
	if err != nil {
		return 0, false
	}
	key := storer.ShardKey(index)
	versions, err := h.table.Commit(limited, storer.Transaction{
		Checks: []storer.Check{{Key: key, Version: version}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	})
	if err != nil || len(versions) != 1 {
		return 0, false
	}
	return versions[0], true
}

// rankEntries returns the listed entries that are not leaving, in the order of
// rendezvous hashing for the shard.
func (h *Holder) rankEntries(index uint32) []string {
	var names []string
	for _, in := range h.member.Instances("entry") {
		if !in.Leaving {
			names = append(names, in.Name)
		}
	}
	return router.Rank(names, router.Hash(storer.ShardKey(index)))
}

// chooseCandidates returns the candidates for a shard that this entry holds.
func (h *Holder) chooseCandidates(index uint32) []string {
	var chosen []string
	for _, name := range h.rankEntries(index) {
		if name != h.selfName && len(chosen) < maxCandidates {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// releaseShards releases all shards by writing their rows without a holder. If a write
// fails, another entry takes the shard over once it has not been renewed for long enough.
// This entry takes no shard afterwards.
func (h *Holder) releaseShards() {
	ctx, cancel := context.WithTimeout(context.Background(), h.options.Lease/4)
	defer cancel()
	h.mu.Lock()
	h.leaving = true
	var held []*shard
	for _, s := range h.shards {
		if s.tenure != nil {
			held = append(held, s)
			h.dropTenure(s)
		}
	}
	h.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range held {
		wg.Go(func() {
			next := s.row.WithRenewal(s.row.Candidates)
			next.Holder = ""
			h.writeRow(ctx, s.index, next, s.row.Version)
		})
	}
	wg.Wait()
}
