// Package holder runs the shards that this entry holds. The holder of a shard decides on
// the replicas of the shard's models and keeps the shard's token bucket shares of
// workspaces.
//
// Every entry may hold shards; there are no dedicated holders. The tenure is checked against
// the current time right before each action on behalf of a shard, since the process may have
// been paused after an earlier check.
package holder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/leaser"
	"oleanderstall/limiter"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Options are the settings of a holder. They are the same in the whole fleet.
type Options struct {
	// Shards is the number of shards, and Lease how long a holder may act after a renewal.
	Shards uint32
	Lease  time.Duration
}

// maxCandidates is the maximum number of candidates for the takeover of a shard.
const maxCandidates = 2

// Holder takes, renews and releases this entry's tenures of shards, and acts for the shards
// during the tenures. It is safe for concurrent use.
type Holder struct {
	options      Options
	leaseOptions leaser.Options
	selfName     string
	clock        timer.Clock
	caller       peer.Caller
	table        storer.Table
	member       *member.Member
	recorder     *recorder.Recorder
	meter        *meter.Meter
	log          *log.Logger
	done         chan struct{}
	tasks        sync.WaitGroup

	mu sync.Mutex
	// leaving is set once the shards are released; no shard or load is taken on
	// afterwards.
	leaving bool
	// listedAt is the time of the last read of all shard rows, or 0 if a read is due.
	listedAt time.Duration
	shards   []*shard
}

// shard is this entry's state for one shard.
type shard struct {
	index uint32
	// rowsListed is set once all rows were read, so that a missing row is known to be
	// missing.
	rowsListed bool
	row        leaser.Row
	watch      *leaser.Watch
	// tenure is nil if this entry does not hold the shard. tenureStart, buckets and
	// models belong to the tenure.
	tenure      *leaser.Tenure
	tenureStart time.Duration
	buckets     map[bucketShare]*limiter.Bucket
	models      map[string]*model
}

// bucketShare identifies one bucket share of a workspace.
type bucketShare struct {
	workspace string
	index     uint32
}

// New returns a holder that does not hold any shard yet.
func New(options Options, clock timer.Clock, caller peer.Caller, table storer.Table, m *member.Member, r *recorder.Recorder, mt *meter.Meter, l *log.Logger) *Holder {
	h := &Holder{
		options:      options,
		leaseOptions: leaser.Options{Lease: options.Lease, Margin: options.Lease / 10},
		selfName:     m.Self().Name,
		clock:        clock,
		caller:       caller,
		table:        table,
		member:       m,
		recorder:     r,
		meter:        mt,
		log:          l,
		done:         make(chan struct{}),
	}
	for i := range options.Shards {
		h.shards = append(h.shards, &shard{
			index:   i,
			watch:   leaser.NewWatch(h.leaseOptions),
			buckets: map[bucketShare]*limiter.Bucket{},
			models:  map[string]*model{},
		})
	}
	return h
}

// Done returns a channel that is closed when Run has returned.
func (h *Holder) Done() <-chan struct{} { return h.done }

// ModelShard returns the index of the shard that a model belongs to.
func ModelShard(model string, shards uint32) uint32 {
	return uint32(router.Hash("model/"+model) % uint64(shards))
}

// BucketShard returns the index of the shard that a bucket share of a workspace belongs
// to. Consecutive shares belong to consecutive shards.
func BucketShard(workspace string, index, shards uint32) uint32 {
	first := router.Hash("bucket/" + workspace)
	return uint32((first + uint64(index)) % uint64(shards))
}

// HolderAddress returns the address of a shard's holder according to the last row read,
// and whether that is this entry. It returns an empty address if the holder is not known
// or not listed.
func (h *Holder) HolderAddress(index uint32) (address string, self bool) {
	h.mu.Lock()
	name := h.shards[index].row.Holder
	h.mu.Unlock()
	if name == h.selfName {
		return h.member.Self().Address, true
	}
	in, ok := h.member.Find(name)
	if !ok {
		return "", false
	}
	return in.Address, false
}

// Run takes, renews and takes over shards until ctx ends, and then releases them.
func (h *Holder) Run(ctx context.Context) {
	defer close(h.done)
	tick := time.NewTicker(h.options.Lease / 6)
	defer tick.Stop()
	for {
		h.Tick(ctx)
		select {
		case <-ctx.Done():
			h.releaseShards()
			h.tasks.Wait()
			return
		case <-tick.C:
		}
	}
}

// listInterval is the time between two reads of all shard rows, from which an entry
// knows the holders. The rows of shards that the entry holds or may take are read at
// each tick.
const listInterval = 5 * time.Second

// Tick reads the shard rows that are due, then renews or takes each shard that this
// entry holds or may take.
func (h *Holder) Tick(ctx context.Context) {
	if h.listDue() {
		h.listRows(ctx)
	}
	var wg sync.WaitGroup
	for _, s := range h.shards {
		if h.participates(s) {
			wg.Go(func() { h.updateShard(ctx, s, h.readRow(ctx, s)) })
		}
	}
	wg.Wait()
	h.meter.RecordHeldShards(h.HeldShards())
}

// Refresh makes the next tick read all shard rows. It is called when a call to the holder
// of a shard has failed.
func (h *Holder) Refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listedAt = 0
}

// listDue reports whether all rows must be read now, because the last read is too old or
// a shard has no known holder.
func (h *Holder) listDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listedAt == 0 || h.clock()-h.listedAt >= listInterval {
		return true
	}
	for _, s := range h.shards {
		if s.row.Holder == "" {
			return true
		}
	}
	return false
}

// listRows reads all shard rows.
func (h *Holder) listRows(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, h.options.Lease/4)
	defer cancel()
	rows, err := h.table.List(limited, storer.ShardPrefix)
	if err != nil {
		return
	}
	h.mu.Lock()
	h.listedAt = h.clock()
	for _, s := range h.shards {
		s.rowsListed = true
	}
	h.mu.Unlock()
	for _, r := range rows {
		h.observeRow(r)
	}
}

// participates reports whether this entry holds the shard or may take it.
func (h *Holder) participates(s *shard) bool {
	h.mu.Lock()
	row, holds := s.row, s.tenure != nil
	h.mu.Unlock()
	return holds || row.Holder == "" || h.eligible(row)
}

// readRow reads the shard's row and reports whether the platform responded.
func (h *Holder) readRow(ctx context.Context, s *shard) bool {
	limited, cancel := context.WithTimeout(ctx, h.options.Lease/4)
	defer cancel()
	r, err := h.table.Get(limited, storer.ShardKey(s.index))
	if err != nil {
		return false
	}
	if r.Version != 0 {
		h.observeRow(r)
	}
	return true
}

// HeldShards returns the number of shards that this entry holds, without those whose tenure
// has expired.
func (h *Holder) HeldShards() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, count := h.clock(), 0
	for _, s := range h.shards {
		if s.tenure != nil && s.tenure.Held(now) {
			count++
		}
	}
	return count
}

// observeRow records a row that was read, and drops the tenure if the row shows another
// one.
func (h *Holder) observeRow(r storer.Row) {
	row := &wire.ShardRow{}
	if storer.Decode(r.Value, row) != nil || row.GetShard() >= uint32(len(h.shards)) {
		return
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.shards[row.GetShard()]
	if r.Version < s.row.Version {
		return
	}
	s.row = leaseRow(row, r.Version)
	s.watch.Observe(now, h.selfName, s.row)
	switch {
	case s.tenure == nil:
	case s.row.Holder != h.selfName || s.row.Epoch != s.tenure.Epoch():
		h.dropTenure(s)
	default:
		s.tenure.Observe(s.row)
	}
}

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

// dropTenure discards the tenure and everything that belongs to it.
func (h *Holder) dropTenure(s *shard) {
	s.tenure = nil
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
	unchanged := row.Mark == "" && slices.Equal(row.Candidates, candidates)
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
				s.row = next
				s.tenure.Renew(sentAt, next)
			}
			h.mu.Unlock()
			return
		}
	}
	sentAt = h.clock()
	pledged := h.requestPledges(ctx, s.index, row.Epoch, h.tenureCandidates(s))
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure != nil {
		s.tenure.RenewByPledges(h.clock(), sentAt, pledged)
	}
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
func (h *Holder) requestPledges(ctx context.Context, index uint32, epoch uint64, names []string) []string {
	limited, cancel := context.WithTimeout(ctx, h.options.Lease/4)
	defer cancel()
	pledged := make([]string, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			if h.requestPledge(limited, index, epoch, name) {
				pledged[i] = name
			}
		})
	}
	wg.Wait()
	return pledged
}

// requestPledge asks one candidate for a pledge and reports whether it gave it.
func (h *Holder) requestPledge(ctx context.Context, index uint32, epoch uint64, name string) bool {
	in, ok := h.member.Find(name)
	if !ok {
		return false
	}
	call := &wire.Call{Body: &wire.Call_Promise{Promise: &wire.Promise{Shard: index, Epoch: epoch}}}
	reply, err := peer.Call(ctx, h.caller, in.Address, call)
	return err == nil && reply.GetPledge().GetGiven()
}

// HandlePromise responds to a holder that cannot reach the platform and asks for a pledge.
func (h *Holder) HandlePromise(p *wire.Promise) *wire.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	given := false
	if p.GetShard() < uint32(len(h.shards)) {
		s := h.shards[p.GetShard()]
		given = s.tenure == nil && s.row.Epoch <= p.GetEpoch() && s.watch.Pledge()
	}
	return &wire.Reply{Body: &wire.Reply_Pledge{Pledge: &wire.Pledge{Given: given}}}
}

// takeVacant takes a shard without a holder if this entry ranks first for it.
func (h *Holder) takeVacant(ctx context.Context, s *shard, row leaser.Row) {
	ranked := h.rankEntries(s.index)
	if len(ranked) == 0 || ranked[0] != h.selfName {
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

// heldShard returns the shard if this entry may act for it now, and a refusal otherwise.
// The caller holds the lock.
func (h *Holder) heldShard(index uint32) (*shard, error) {
	s := h.shards[index]
	if s.tenure == nil || !s.tenure.Held(h.clock()) {
		return nil, refuser.New(refuser.NotResident, "this entry does not hold the shard").WithRetryAfter(h.options.Lease / 6)
	}
	return s, nil
}
