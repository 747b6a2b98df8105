package holder

import (
	"context"
	"fmt"
	"time"

	"oleanderstall/placer"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits for loading and checking replicas.
const (
	// maxBidders is the maximum number of sidecars that are asked for bids for one load.
	maxBidders = 16
	// bidTimeout is the timeout for the bids for a load, and for the check of a doubtful
	// slot.
	bidTimeout = 400 * time.Millisecond
	// loadTimeout is the timeout for a load.
	loadTimeout = 5 * time.Minute
	// writeTimeout is the timeout for writing a slot.
	writeTimeout = time.Second
	// doubtTimeout is the time after which callers no longer wait for a replica whose
	// state is unknown.
	doubtTimeout = 3 * time.Second
	// checkInterval is the minimum time between two checks of the doubtful slots of a
	// model.
	checkInterval = time.Second
)

// model is what the holder of a model's shard knows of the model.
type model struct {
	slotTable *placer.SlotTable
	// changed is closed and replaced each time a slot changes or a load ends.
	changed chan struct{}
	loading bool
	// checkedAt is the time of the last check of the doubtful slots, or 0 if a check is
	// due.
	checkedAt time.Duration
	// lastLoadTime is the duration of the last successful load, or 0.
	lastLoadTime time.Duration
	// failedAt is the time of the last load if it left the slot vacant, or 0. failure is
	// the refusal for the callers that wait for that load.
	failedAt time.Duration
	failure  *refuser.Refusal
	// era is the era of the store in which the rows of the slots are known.
	era uint64
}

// notifyChange wakes the callers that wait for a change. The caller holds the lock.
func (m *model) notifyChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// FindReplicas returns the replicas of a model. If there are none, or if the caller found
// them full, it starts a load unless one is in progress, so that any number of callers
// cause one load at a time. If there are no replicas, it waits for the load.
func (h *Holder) FindReplicas(ctx context.Context, q *wire.ReplicaQuery) (*wire.ReplicaList, error) {
	deadline := h.clock() + timer.FromMillis(q.GetLeft())
	if err := h.readSlots(ctx, q.GetModel()); err != nil {
		return nil, err
	}
	if q.GetMissing() != "" {
		h.markMissing(q.GetModel(), q.GetMissing())
	}
	for {
		replicas, changed, err := h.lookUpReplicas(q)
		if err != nil || replicas != nil {
			return replicas, err
		}
		if err := h.awaitChange(ctx, changed, deadline); err != nil {
			return nil, err
		}
	}
}

// readSlots reads the slots of a model from the table, once per tenure.
func (h *Holder) readSlots(ctx context.Context, name string) error {
	h.mu.Lock()
	s, err := h.heldShard(ModelShard(name, h.options.Shards))
	known := err == nil && s.models[name] != nil
	h.mu.Unlock()
	if err != nil || known {
		return err
	}
	rows, err := h.table.List(ctx, storer.SlotPrefix(name))
	if err != nil {
		return refuser.New(refuser.PlatformUnavailable, "the platform does not answer and the model's replicas are not known").
			WithRetryAfter(h.options.Lease / 2)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, err = h.heldShard(ModelShard(name, h.options.Shards)); err != nil || s.models[name] != nil {
		return err
	}
	h.updateEra()
	m := &model{slotTable: placer.NewSlotTable(name, 0), changed: make(chan struct{}), era: h.era}
	for _, r := range rows {
		slot, ok := decodeSlot(name, r)
		if !ok {
			continue
		}
		m.slotTable.Restore(h.clock(), slot, r.Version)
	}
	s.models[name] = m
	return nil
}

// heldModel returns the state of a model whose shard this entry holds, and a refusal
// otherwise. The caller holds the lock.
func (h *Holder) heldModel(name string) (*model, error) {
	s, err := h.heldShard(ModelShard(name, h.options.Shards))
	if err != nil {
		return nil, err
	}
	m := s.models[name]
	if m == nil {
		return nil, refuser.New(refuser.NotResident, "the tenure has changed").WithRetryAfter(h.options.Lease / 6)
	}
	return m, nil
}

// markMissing records that a caller found the replica on an instance missing.
func (h *Holder) markMissing(name, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, err := h.heldModel(name)
	if err != nil {
		return
	}
	h.markDoubtful(m, instance)
}

// markDoubtful makes the replica on an instance doubtful if it is resident. The caller
// holds the lock.
func (h *Holder) markDoubtful(m *model, instance string) {
	slot := m.slotTable.OnInstance(instance)
	if slot == nil || slot.Phase != placer.Resident {
		return
	}
	slot.Phase = placer.Doubtful
	slot.Since = h.clock()
	m.checkedAt = 0
}

// lookUpReplicas returns the replicas or, if there are none, a channel that is closed at
// the next change. It starts a load or a check where one is needed.
func (h *Holder) lookUpReplicas(q *wire.ReplicaQuery) (*wire.ReplicaList, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, err := h.heldModel(q.GetModel())
	if err != nil {
		return nil, nil, err
	}
	def := h.member.View().Model(q.GetModel())
	if def == nil {
		return nil, nil, refuser.New(refuser.NotFound, "the model is not in the configuration")
	}
	m.slotTable.Resize(h.slotLimit(m, def))
	h.checkDoubtful(q.GetModel(), m)
	if resident := h.withoutEvacuated(m.slotTable.InPhases(placer.Resident)); len(resident) > 0 {
		if q.GetFull() {
			h.startLoad(m, def)
		}
		return h.replicaList(resident), nil, nil
	}
	now := h.clock()
	if m.failedAt != 0 && now < m.failedAt+checkInterval {
		return nil, nil, m.failure.WithRetryAfter(m.failedAt + checkInterval - now)
	}
	if h.startLoad(m, def) {
		return nil, m.changed, h.checkDeadline(q, m, def)
	}
	for _, s := range m.slotTable.InPhases(placer.Doubtful) {
		if now > s.Since+doubtTimeout {
			return nil, nil, refuser.New(refuser.Busy, "instance "+s.Instance+", which holds the model, does not answer").
				WithRetryAfter(checkInterval)
		}
	}
	return nil, m.changed, nil
}

// checkDeadline returns a refusal if the load in progress would take longer, by the
// duration of the last one, than the caller can wait. The load continues for later
// callers.
func (h *Holder) checkDeadline(q *wire.ReplicaQuery, m *model, def *wire.Model) error {
	loadTime := m.lastLoadTime
	if loadTime == 0 {
		return nil
	}
	if timer.FromMillis(q.GetLeft()) >= loadTime {
		return nil
	}
	return refuser.New(refuser.DeadlineExceeded, fmt.Sprintf("model %s is being loaded", def.GetName())).WithRetryAfter(loadTime)
}

// replicaList returns the locations of the replicas on listed instances that accept work.
func (h *Holder) replicaList(slots []placer.Slot) *wire.ReplicaList {
	list := &wire.ReplicaList{}
	for _, s := range slots {
		if in, ok := h.member.Find(s.Instance); ok && h.member.AcceptsWork(in) {
			list.Spots = append(list.Spots, &wire.ReplicaLocation{Instance: s.Instance, Address: in.Address, Epoch: s.Epoch})
		}
	}
	return list
}

// awaitChange waits until changed is closed, but at most checkInterval, since the tenure
// may have changed by then. It returns a refusal if the caller's deadline has passed or
// the call was cancelled.
func (h *Holder) awaitChange(ctx context.Context, changed <-chan struct{}, deadline time.Duration) error {
	remaining := deadline - h.clock()
	if remaining <= 0 {
		return refuser.New(refuser.DeadlineExceeded, "the model is still being loaded").WithRetryAfter(checkInterval)
	}
	t := time.NewTimer(min(remaining, checkInterval))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return refuser.New(refuser.Canceled, "the asker has given up")
	}
	return nil
}

// startLoad starts a load into a vacant slot, unless one is in progress, and reports
// whether a load is in progress. The caller holds the lock.
func (h *Holder) startLoad(m *model, def *wire.Model) bool {
	if m.loading || h.leaving {
		return m.loading
	}
	slot := m.slotTable.FirstVacant(h.slotLimit(m, def))
	if slot == nil {
		return len(h.withoutEvacuated(m.slotTable.InPhases(placer.Ordered))) > 0
	}
	m.loading = true
	h.tasks.Go(func() { h.loadReplica(m, def, *slot) })
	return true
}

// MarkLeaving records that an instance accepts no new work: its replicas become doubtful.
func (h *Holder) MarkLeaving(notice *wire.LeaveNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		for _, m := range s.models {
			h.markDoubtful(m, notice.GetInstance())
		}
	}
}
