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
	// era is the latest era of the store that is known. Shards without a holder are not taken before
	// takeVacantFrom.
	era            uint64
	takeVacantFrom time.Duration
}

// shard is this entry's state for one shard.
type shard struct {
	index uint32
	// rowsListed is set once all rows were read, so that a missing row is known to be
	// missing.
	rowsListed bool
	row        leaser.Row
	// rowLost is set while the store has lost this entry's row, or has an older one.
	rowLost bool
	watch   *leaser.Watch
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
	h.restoreSlots(ctx)
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
	listed := map[uint32]bool{}
	for _, r := range rows {
		h.observeRow(r)
		if index, ok := storer.ShardIndex(r.Key); ok {
			listed[index] = true
		}
	}
	for _, s := range h.shards {
		if !listed[s.index] {
			h.observeMissing(s)
		}
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
	} else {
		h.observeMissing(s)
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
	index, ok := storer.ShardIndex(r.Key)
	if !ok || index >= uint32(len(h.shards)) {
		return
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateEra()
	s := h.shards[index]
	if r.Version < s.row.Version || storer.Era(r.Version) < h.era {
		return
	}
	row := decodeShard(index, r, s.row.Epoch)
	if h.outlives(s, row) {
		s.row = h.lostRow(s, row.Version)
		return
	}
	s.row, s.rowLost = row, false
	s.watch.Observe(now, h.selfName, s.row)
	switch {
	case s.tenure == nil:
	case s.row.Holder != h.selfName || s.row.Epoch != s.tenure.Epoch():
		h.dropTenure(s)
	default:
		s.tenure.Observe(s.row)
	}
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
