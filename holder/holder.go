// Package holder runs the shards that this entry holds: it decides on the
// replicas of a shard's models and keeps the bucket shares of its workspaces.
//
// Any entry may hold shards; none is set aside for it. Every effect checks the
// tenure with the present time, since the process may have been paused since it
// was last checked.
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

// Options are the settings of a holder, the same in the whole fleet.
type Options struct {
	Shards uint32
	Lease  time.Duration
}

// candidates is the number of instances that may take a shard over.
const candidates = 2

// Holder holds shards. It is safe for concurrent use.
type Holder struct {
	terms    Options
	lease    leaser.Options
	self     string
	clock    timer.Clock
	caller   peer.Caller
	table    storer.Table
	member   *member.Member
	recorder *recorder.Recorder
	meter    *meter.Meter
	log      *log.Logger
	done     chan struct{}
	tasks    sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	listed  time.Duration
	shards  []*shard
}

// shard is this process's view of one shard.
type shard struct {
	index   uint32
	known   bool
	row     leaser.Row
	watch   *leaser.Watch
	tenure  *leaser.Tenure
	began   time.Duration
	buckets map[share]*limiter.Bucket
	models  map[string]*model
}

// share names one bucket share of a workspace.
type share struct {
	workspace string
	index     uint32
}

// New returns a holder that holds nothing yet.
func New(terms Options, clock timer.Clock, caller peer.Caller, table storer.Table, m *member.Member, r *recorder.Recorder, mt *meter.Meter, l *log.Logger) *Holder {
	h := &Holder{
		terms:    terms,
		lease:    leaser.Options{Lease: terms.Lease, Margin: terms.Lease / 10},
		self:     m.Self().Name,
		clock:    clock,
		caller:   caller,
		table:    table,
		member:   m,
		recorder: r,
		meter:    mt,
		log:      l,
		done:     make(chan struct{}),
	}
	for i := range terms.Shards {
		h.shards = append(h.shards, &shard{
			index:   i,
			watch:   leaser.NewWatch(h.lease),
			buckets: map[share]*limiter.Bucket{},
			models:  map[string]*model{},
		})
	}
	return h
}

// Done is closed when Run has returned.
func (h *Holder) Done() <-chan struct{} { return h.done }

// ModelShard returns the shard of a model.
func ModelShard(model string, shards uint32) uint32 {
	return uint32(router.Hash("model/"+model) % uint64(shards))
}

// BucketShard returns the shard of one bucket share of a workspace. Consecutive
// shares lie in different shards.
func BucketShard(workspace string, index, shards uint32) uint32 {
	first := router.Hash("bucket/" + workspace)
	return uint32((first + uint64(index)) % uint64(shards))
}

// Address returns the address of the holder of a shard as last seen, and whether
// that is this process.
func (h *Holder) Address(index uint32) (address string, self bool) {
	h.mu.Lock()
	name := h.shards[index].row.Holder
	h.mu.Unlock()
	if name == h.self {
		return h.member.Self().Address, true
	}
	in, ok := h.member.Find(name)
	if !ok {
		return "", false
	}
	return in.Address, false
}

// Run keeps, takes and releases shards until ctx ends, then gives them up.
func (h *Holder) Run(ctx context.Context) {
	defer close(h.done)
	tick := time.NewTicker(h.terms.Lease / 6)
	defer tick.Stop()
	for {
		h.Tick(ctx)
		select {
		case <-ctx.Done():
			h.release()
			h.tasks.Wait()
			return
		case <-tick.C:
		}
	}
}

// listEvery is the time between two reads of all shard rows, by which an entry
// knows the holders. Rows that the entry holds or may take over are read at each
// tick.
const listEvery = 5 * time.Second

// Tick reads the shard rows and acts on each shard once.
func (h *Holder) Tick(ctx context.Context) {
	if h.listDue() {
		h.listRows(ctx)
	}
	var wg sync.WaitGroup
	for _, s := range h.shards {
		if h.concerns(s) {
			wg.Go(func() { h.tend(ctx, s, h.readRow(ctx, s)) })
		}
	}
	wg.Wait()
	h.meter.Shards(h.Held())
}

// Refresh makes the next tick read all shard rows, after a holder was not found.
func (h *Holder) Refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = 0
}

// listDue reports whether to read all rows now: when they are old, or when the
// holder of a shard is not known.
func (h *Holder) listDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed == 0 || h.clock()-h.listed >= listEvery {
		return true
	}
	for _, s := range h.shards {
		if s.row.Holder == "" {
			return true
		}
	}
	return false
}

func (h *Holder) listRows(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, h.terms.Lease/4)
	defer cancel()
	rows, err := h.table.List(limited, storer.ShardPrefix)
	if err != nil {
		return
	}
	h.mu.Lock()
	h.listed = h.clock()
	for _, s := range h.shards {
		s.known = true
	}
	h.mu.Unlock()
	for _, r := range rows {
		h.observe(r)
	}
}

// concerns reports whether this entry holds the shard or may take it.
func (h *Holder) concerns(s *shard) bool {
	h.mu.Lock()
	row, holds := s.row, s.tenure != nil
	h.mu.Unlock()
	return holds || row.Holder == "" || h.eligible(row)
}

// readRow reads one shard's row and reports whether the platform answered.
func (h *Holder) readRow(ctx context.Context, s *shard) bool {
	limited, cancel := context.WithTimeout(ctx, h.terms.Lease/4)
	defer cancel()
	r, err := h.table.Get(limited, storer.ShardKey(s.index))
	if err != nil {
		return false
	}
	if r.Version != 0 {
		h.observe(r)
	}
	return true
}

// Held returns the number of shards held.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, n := h.clock(), 0
	for _, s := range h.shards {
		if s.tenure != nil && s.tenure.Held(now) {
			n++
		}
	}
	return n
}

// observe takes note of a row as read.
func (h *Holder) observe(r storer.Row) {
	t := &wire.ShardRow{}
	if storer.Decode(r.Value, t) != nil || t.GetShard() >= uint32(len(h.shards)) {
		return
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.shards[t.GetShard()]
	if r.Version < s.row.Version {
		return
	}
	s.row = rowOf(t, r.Version)
	s.watch.Observe(now, h.self, s.row)
	switch {
	case s.tenure == nil:
	case s.row.Holder != h.self || s.row.Epoch != s.tenure.Epoch():
		h.lose(s)
	default:
		s.tenure.Seen(s.row)
	}
}

func rowOf(t *wire.ShardRow, version uint64) leaser.Row {
	return leaser.Row{
		Version:    version,
		Epoch:      t.GetEpoch(),
		Holder:     t.GetHolder(),
		Mark:       t.GetMark(),
		Candidates: t.GetCandidates(),
	}
}

// lose forgets all that a lapsed tenure knew.
func (h *Holder) lose(s *shard) {
	s.tenure = nil
	s.buckets = map[share]*limiter.Bucket{}
	s.models = map[string]*model{}
}

// tend does what one shard needs now. Reachable tells whether the platform
// answered the last read.
func (h *Holder) tend(ctx context.Context, s *shard, reachable bool) {
	h.mu.Lock()
	now := h.clock()
	holds := s.tenure != nil && s.tenure.Held(now)
	if s.tenure != nil && !holds {
		h.lose(s)
		h.log.Warn().Uint32("shard", s.index).Msg("shard: tenure lapsed")
	}
	row, known, leaving := s.row, s.known, h.leaving
	h.mu.Unlock()
	switch {
	case holds:
		h.keep(ctx, s, row, reachable)
	case !reachable || !known || leaving:
	case row.Holder == "":
		h.claim(ctx, s, row)
	default:
		h.takeOver(ctx, s, row)
	}
}

// keep renews a tenure by the table, or by the pledges of all candidates, once a
// third of it has passed. A mark in the row is cleared at once, and so are other
// candidates named than the list gives.
func (h *Holder) keep(ctx context.Context, s *shard, row leaser.Row, reachable bool) {
	sent := h.clock()
	wanted := h.pick(s.index)
	named := row.Mark == "" && slices.Equal(row.Candidates, wanted)
	if named && h.left(s, sent) > h.terms.Lease*2/3 {
		return
	}
	if reachable {
		next := row.Renewed(wanted)
		h.offer(s, next.Candidates)
		if version, ok := h.write(ctx, s.index, next, row.Version); ok {
			next.Version = version
			h.mu.Lock()
			if s.tenure != nil {
				s.row = next
				s.tenure.Renew(sent, next)
			}
			h.mu.Unlock()
			return
		}
	}
	sent = h.clock()
	pledged := h.pledges(ctx, s.index, row.Epoch, h.witnesses(s))
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure != nil {
		s.tenure.Prove(h.clock(), sent, pledged)
	}
}

// left returns how long the tenure of a shard still lasts.
func (h *Holder) left(s *shard, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure == nil {
		return 0
	}
	return s.tenure.Until() - now
}

// offer notes the candidates of a renewal that is about to be sent.
func (h *Holder) offer(s *shard, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure != nil {
		s.tenure.Offer(names)
	}
}

// witnesses returns the candidates whose pledges would extend the tenure.
func (h *Holder) witnesses(s *shard) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.tenure == nil {
		return nil
	}
	return s.tenure.Candidates()
}

// pledges asks the named candidates not to take the shard over.
func (h *Holder) pledges(ctx context.Context, index uint32, epoch uint64, names []string) []string {
	limited, cancel := context.WithTimeout(ctx, h.terms.Lease/4)
	defer cancel()
	given := make([]string, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			if h.pledge(limited, index, epoch, name) {
				given[i] = name
			}
		})
	}
	wg.Wait()
	return given
}

func (h *Holder) pledge(ctx context.Context, index uint32, epoch uint64, name string) bool {
	in, ok := h.member.Find(name)
	if !ok {
		return false
	}
	call := &wire.Call{Body: &wire.Call_Promise{Promise: &wire.Promise{Shard: index, Epoch: epoch}}}
	reply, err := peer.One(ctx, h.caller, in.Address, call)
	return err == nil && reply.GetPledge().GetGiven()
}

// Promise answers a holder that cannot reach the platform.
func (h *Holder) Promise(p *wire.Promise) *wire.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	given := false
	if p.GetShard() < uint32(len(h.shards)) {
		s := h.shards[p.GetShard()]
		given = s.tenure == nil && s.row.Epoch <= p.GetEpoch() && s.watch.Pledge()
	}
	return &wire.Reply{Body: &wire.Reply_Pledge{Pledge: &wire.Pledge{Given: given}}}
}

// claim takes a shard that nobody holds, if this entry is preferred for it.
func (h *Holder) claim(ctx context.Context, s *shard, row leaser.Row) {
	order := h.ranking(s.index)
	if len(order) == 0 || order[0] != h.self {
		return
	}
	h.take(ctx, s, row)
}

// takeOver marks the row of a silent holder, and takes the shard one lease time
// after its mark.
func (h *Holder) takeOver(ctx context.Context, s *shard, row leaser.Row) {
	if !h.eligible(row) {
		return
	}
	now := h.clock()
	h.mu.Lock()
	may := s.watch.MayTake(now, h.self, row)
	mark := !may && s.watch.MayMark(now, row)
	if mark {
		s.watch.Marking()
	}
	h.mu.Unlock()
	if may {
		h.take(ctx, s, row)
	}
	if !mark {
		return
	}
	next := row.WithMark(h.self)
	if version, ok := h.write(ctx, s.index, next, row.Version); ok {
		h.mu.Lock()
		next.Version = version
		s.row = next
		s.watch.Marked(h.clock(), version)
		h.mu.Unlock()
		h.log.Info().Uint32("shard", s.index).Str("holder", row.Holder).Msg("shard: takeover announced")
	}
}

// eligible reports whether this entry may take over a row: it is a candidate, or
// the platform no longer lists the holder nor any candidate.
func (h *Holder) eligible(row leaser.Row) bool {
	gone := h.gone(row.Holder)
	for _, name := range row.Candidates {
		if name == h.self {
			return true
		}
		gone = gone && h.gone(name)
	}
	return gone || row.Holder == h.self
}

// gone reports whether the platform has stopped listing name for a lease time.
func (h *Holder) gone(name string) bool {
	return h.member.Gone(h.clock(), name, h.terms.Lease)
}

func (h *Holder) take(ctx context.Context, s *shard, row leaser.Row) {
	sent := h.clock()
	next := row.Taken(h.self, h.pick(s.index))
	version, ok := h.write(ctx, s.index, next, row.Version)
	if !ok {
		return
	}
	next.Version = version
	h.mu.Lock()
	h.lose(s)
	s.row = next
	s.tenure = leaser.NewTenure(sent, h.lease, next)
	s.began = sent
	h.mu.Unlock()
	h.log.Info().Uint32("shard", s.index).Uint64("epoch", next.Epoch).Msg("shard: taken")
}

// write writes a shard row over the version it was read at. A write whose answer
// was lost is found again at the next read.
func (h *Holder) write(ctx context.Context, index uint32, next leaser.Row, version uint64) (uint64, bool) {
	limited, cancel := context.WithTimeout(ctx, h.terms.Lease/4)
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

// ranking returns the listed entries by their preference for a shard.
func (h *Holder) ranking(index uint32) []string {
	var names []string
	for _, in := range h.member.Instances("entry") {
		if !in.Leaving {
			names = append(names, in.Name)
		}
	}
	return router.Rank(names, router.Hash(storer.ShardKey(index)))
}

// pick returns the candidates of a shard that this entry holds.
func (h *Holder) pick(index uint32) []string {
	var chosen []string
	for _, name := range h.ranking(index) {
		if name != h.self && len(chosen) < candidates {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// release gives up all shards and takes no new ones.
func (h *Holder) release() {
	ctx, cancel := context.WithTimeout(context.Background(), h.terms.Lease/4)
	defer cancel()
	h.mu.Lock()
	h.leaving = true
	var held []*shard
	for _, s := range h.shards {
		if s.tenure != nil {
			held = append(held, s)
			h.lose(s)
		}
	}
	h.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range held {
		wg.Go(func() {
			next := s.row.Renewed(s.row.Candidates)
			next.Holder = ""
			h.write(ctx, s.index, next, s.row.Version)
		})
	}
	wg.Wait()
}

// held returns the shard if this entry may act for it now. The caller holds the
// lock.
func (h *Holder) held(index uint32) (*shard, error) {
	s := h.shards[index]
	if s.tenure == nil || !s.tenure.Held(h.clock()) {
		return nil, refuser.New(refuser.Absent, "this entry does not hold the shard").After(h.terms.Lease / 6)
	}
	return s, nil
}
