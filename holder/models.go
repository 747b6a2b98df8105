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

// Limits of placement.
const (
	// bidders is the most sidecars asked for one load.
	bidders = 16
	// bidLimit bounds the wait for one bid.
	bidLimit = 400 * time.Millisecond
	// loadLimit bounds one order to load.
	loadLimit = 5 * time.Minute
	// writeLimit bounds one write of a slot.
	writeLimit = time.Second
	// doubtLimit is the time after which callers no longer wait for a replica
	// whose state is not known.
	doubtLimit = 3 * time.Second
	// checkEvery is the time between two checks of a doubtful slot.
	checkEvery = time.Second
)

// model is what the holder of a model's shard knows of it.
type model struct {
	book *placer.SlotTable
	// changed is closed and replaced at each change of the book.
	changed chan struct{}
	loading bool
	checked time.Duration
	// last is the duration of the last load, or 0.
	last time.Duration
	// failed is the instant of the last load that found no place, or 0, and why
	// the reason.
	failed time.Duration
	why    *refuser.Refusal
}

func (m *model) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Ask returns the replicas of a model. If there are none, or the asker found
// them full, it starts one load, however many ask, and waits for it.
func (h *Holder) Ask(ctx context.Context, a *wire.ReplicaQuery) (*wire.ReplicaList, error) {
	deadline := h.clock() + timer.FromMillis(a.GetLeft())
	if err := h.recall(ctx, a.GetModel()); err != nil {
		return nil, err
	}
	if a.GetMissing() != "" {
		h.doubt(a.GetModel(), a.GetMissing())
	}
	for {
		place, wait, err := h.look(a)
		if err != nil || place != nil {
			return place, err
		}
		if err := h.await(ctx, wait, deadline); err != nil {
			return nil, err
		}
	}
}

// recall reads the slots of a model once in a tenure.
func (h *Holder) recall(ctx context.Context, name string) error {
	h.mu.Lock()
	s, err := h.held(ModelShard(name, h.terms.Shards))
	known := err == nil && s.models[name] != nil
	h.mu.Unlock()
	if err != nil || known {
		return err
	}
	rows, err := h.table.List(ctx, storer.SlotPrefix(name))
	if err != nil {
		return refuser.New(refuser.Outage, "the platform does not answer and the model's replicas are not known").
			After(h.terms.Lease / 2)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, err = h.held(ModelShard(name, h.terms.Shards)); err != nil || s.models[name] != nil {
		return err
	}
	m := &model{book: placer.New(name, 0), changed: make(chan struct{})}
	for _, r := range rows {
		slot := &wire.Slot{}
		if err := storer.Decode(r.Value, slot); err != nil {
			return err
		}
		m.book.Recall(h.clock(), slot, r.Version)
	}
	s.models[name] = m
	return nil
}

// find returns the state of a model that this entry holds. The caller holds the
// lock.
func (h *Holder) find(name string) (*model, error) {
	s, err := h.held(ModelShard(name, h.terms.Shards))
	if err != nil {
		return nil, err
	}
	m := s.models[name]
	if m == nil {
		return nil, refuser.New(refuser.Absent, "the tenure has changed").After(h.terms.Lease / 6)
	}
	return m, nil
}

// doubt takes note that a replica was found missing.
func (h *Holder) doubt(name, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, err := h.find(name)
	if err != nil {
		return
	}
	h.suspect(m, instance)
}

// suspect makes a resident replica doubtful. The caller holds the lock.
func (h *Holder) suspect(m *model, instance string) {
	slot := m.book.At(instance)
	if slot == nil || slot.Phase != placer.Resident {
		return
	}
	slot.Phase = placer.Doubtful
	slot.Since = h.clock()
	m.checked = 0
}

// look returns the replicas if they serve the asker, or what to wait for. It
// starts a load or a check where one is needed.
func (h *Holder) look(a *wire.ReplicaQuery) (*wire.ReplicaList, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, err := h.find(a.GetModel())
	if err != nil {
		return nil, nil, err
	}
	def := h.member.View().Model(a.GetModel())
	if def == nil {
		return nil, nil, refuser.New(refuser.NotFound, "the model is not in the configuration")
	}
	m.book.Resize(int(def.GetReplicas()))
	h.check(a.GetModel(), m)
	if resident := m.book.In(placer.Resident); len(resident) > 0 {
		if a.GetFull() {
			h.start(m, def)
		}
		return h.place(resident), nil, nil
	}
	now := h.clock()
	if m.failed != 0 && now < m.failed+checkEvery {
		return nil, nil, m.why.After(m.failed + checkEvery - now)
	}
	if h.start(m, def) {
		return nil, m.changed, h.hopeless(a, m, def)
	}
	for _, s := range m.book.In(placer.Doubtful) {
		if now > s.Since+doubtLimit {
			return nil, nil, refuser.New(refuser.Busy, "instance "+s.Instance+", which holds the model, does not answer").
				After(checkEvery)
		}
	}
	return nil, m.changed, nil
}

// hopeless returns a refusal if the load that was just started cannot be done
// before the asker's deadline. The load goes on for those who come back.
func (h *Holder) hopeless(a *wire.ReplicaQuery, m *model, def *wire.Model) error {
	need := m.last
	if need == 0 {
		return nil
	}
	if timer.FromMillis(a.GetLeft()) >= need {
		return nil
	}
	return refuser.New(refuser.Late, fmt.Sprintf("model %s is being loaded", def.GetName())).After(need)
}

func (h *Holder) place(slots []placer.Slot) *wire.ReplicaList {
	place := &wire.ReplicaList{}
	for _, s := range slots {
		if in, ok := h.member.Find(s.Instance); ok && !in.Leaving {
			place.Spots = append(place.Spots, &wire.ReplicaLocation{Instance: s.Instance, Address: in.Address, Epoch: s.Epoch})
		}
	}
	return place
}

// await waits until wait is closed, the tenure may have changed, or the asker's
// deadline.
func (h *Holder) await(ctx context.Context, wait <-chan struct{}, deadline time.Duration) error {
	left := deadline - h.clock()
	if left <= 0 {
		return refuser.New(refuser.Late, "the model is still being loaded").After(checkEvery)
	}
	t := time.NewTimer(min(left, checkEvery))
	defer t.Stop()
	select {
	case <-wait:
	case <-t.C:
	case <-ctx.Done():
		return refuser.New(refuser.Canceled, "the asker has given up")
	}
	return nil
}

// start begins one load into a vacant slot and reports whether a load is under
// way. The caller holds the lock.
func (h *Holder) start(m *model, def *wire.Model) bool {
	if m.loading || h.leaving {
		return m.loading
	}
	slot := m.book.Vacancy(int(def.GetReplicas()))
	if slot == nil {
		return len(m.book.In(placer.Ordered)) > 0
	}
	m.loading = true
	h.tasks.Go(func() { h.load(m, def, *slot) })
	return true
}

// Leave takes note that an instance takes no new work.
func (h *Holder) Leave(l *wire.LeaveNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		for _, m := range s.models {
			h.suspect(m, l.GetInstance())
		}
	}
}
