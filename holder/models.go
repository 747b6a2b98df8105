package holder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"oleanderstall/peer"
	"oleanderstall/placer"
	"oleanderstall/platform"
	"oleanderstall/refuser"
	"oleanderstall/router"
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
	book *placer.Book
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
func (h *Holder) Ask(ctx context.Context, a *wire.Ask) (*wire.Place, error) {
	deadline := h.clock() + timer.Span(a.GetLeft())
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
	rows, err := h.table.List(ctx, platform.SlotPrefix(name))
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
		if err := platform.Decode(r.Value, slot); err != nil {
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
func (h *Holder) look(a *wire.Ask) (*wire.Place, <-chan struct{}, error) {
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
func (h *Holder) hopeless(a *wire.Ask, m *model, def *wire.Model) error {
	need := m.last
	if need == 0 {
		return nil
	}
	if timer.Span(a.GetLeft()) >= need {
		return nil
	}
	return refuser.New(refuser.Late, fmt.Sprintf("model %s is being loaded", def.GetName())).After(need)
}

func (h *Holder) place(slots []placer.Slot) *wire.Place {
	place := &wire.Place{}
	for _, s := range slots {
		if in, ok := h.member.Find(s.Instance); ok && !in.Leaving {
			place.Spots = append(place.Spots, &wire.Spot{Instance: s.Instance, Address: in.Address, Epoch: s.Epoch})
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
	if m.loading {
		return true
	}
	slot := m.book.Vacancy(int(def.GetReplicas()))
	if slot == nil {
		return len(m.book.In(placer.Ordered)) > 0
	}
	m.loading = true
	h.tasks.Go(func() { h.load(m, def, *slot) })
	return true
}

// load finds a sidecar for a slot and orders the load there. It tries one bid
// after the other for as long as each refuses without having begun.
func (h *Holder) load(m *model, def *wire.Model, slot placer.Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	begun := h.clock()
	why := refuser.New(refuser.Busy, "no engine has room for the model")
	bids := h.elsewhere(m, h.bids(ctx, def))
	for _, bid := range placer.Rank(bids, def.GetBytes()) {
		next, ok := h.assign(ctx, m, def, slot, bid.Instance)
		if !ok {
			why = refuser.New(refuser.Outage, "the platform did not record the slot, so nothing was loaded")
			break
		}
		slot = next
		if h.order(ctx, m, def, slot, bid) {
			h.meter.Cold(h.clock() - begun)
			h.note(def, fmt.Sprintf("loaded on %s (slot %d, epoch %d, checkpoint %s) in %v",
				bid.Instance, slot.Index, slot.Epoch, bid.Tier, h.clock()-begun))
			break
		}
		if slot = h.slot(m, slot.Index); slot.Phase != placer.Vacant {
			break
		}
	}
	if len(bids) == 0 {
		h.note(def, "no engine answered with a bid")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.loading = false
	m.failed = 0
	switch h.slotOf(m, slot.Index).Phase {
	case placer.Resident:
		m.last = h.clock() - begun
	case placer.Vacant:
		m.failed = h.clock()
		m.why = why
	}
	m.notify()
}

// elsewhere drops the bids of instances that have a replica of the model.
func (h *Holder) elsewhere(m *model, bids []placer.Bid) []placer.Bid {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(bids, func(b placer.Bid) bool { return m.book.At(b.Instance) != nil })
}

func (h *Holder) note(def *wire.Model, text string) {
	h.recorder.Note(time.Now(), "model/"+def.GetName(), text)
	h.log.Info().Str("model", def.GetName()).Msg("load: " + text)
}

func (h *Holder) slot(m *model, index uint32) placer.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.slotOf(m, index)
}

func (h *Holder) slotOf(m *model, index uint32) placer.Slot {
	for _, s := range m.book.Slots() {
		if s.Index == index {
			return s
		}
	}
	return placer.Slot{}
}

// assign records in the table that a slot belongs to an instance, before any
// order is sent there.
func (h *Holder) assign(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, instance string) (placer.Slot, bool) {
	if !h.holds(def.GetName()) {
		return slot, false
	}
	slot.Instance = instance
	slot.Epoch = h.newest(m) + 1
	version, err := h.record(ctx, def.GetName(), slot)
	if err != nil {
		h.note(def, "slot not recorded: "+err.Error())
		h.reread(ctx, m, def.GetName())
		return slot, false
	}
	slot.Version = version
	slot.Phase = placer.Ordered
	h.store(m, slot)
	return slot, h.holds(def.GetName())
}

// newest returns the highest fencing number of a model. Engines compare numbers
// by model, so a new one has to be above those of all its slots.
func (h *Holder) newest(m *model) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var epoch uint64
	for _, s := range m.book.Slots() {
		epoch = max(epoch, s.Epoch)
	}
	return epoch
}

func (h *Holder) holds(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.find(name)
	return err == nil
}

func (h *Holder) store(m *model, slot placer.Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.book.Set(slot)
	m.notify()
}

// record writes a slot's row over the version it was read at.
func (h *Holder) record(ctx context.Context, name string, slot placer.Slot) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	value, err := platform.Encode(&wire.Slot{
		Model: name, Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch,
	})
	if err != nil {
		return 0, err
	}
	key := platform.SlotKey(name, slot.Index)
	versions, err := h.table.Commit(limited, platform.Transaction{
		Checks: []platform.Check{{Key: key, Version: slot.Version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// reread takes the slots from the table after a write whose outcome is open.
func (h *Holder) reread(ctx context.Context, m *model, name string) {
	rows, err := h.table.List(ctx, platform.SlotPrefix(name))
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range rows {
		row := &wire.Slot{}
		if platform.Decode(r.Value, row) != nil {
			continue
		}
		if h.slotOf(m, row.GetIndex()).Version != r.Version {
			m.book.Recall(h.clock(), row, r.Version)
		}
	}
}

// order sends the load and reports whether the replica is resident. A refusal
// that says that nothing was begun frees the slot; any other outcome leaves it
// doubtful.
func (h *Holder) order(ctx context.Context, m *model, def *wire.Model, slot placer.Slot, bid placer.Bid) bool {
	call := &wire.Call{Body: &wire.Call_Load{Load: &wire.Load{
		Slot:   &wire.Slot{Model: def.GetName(), Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch},
		Left:   timer.Millis(loadLimit),
		Config: h.member.View().Version(),
	}}}
	_, err := peer.One(ctx, h.caller, bid.Address, call)
	h.mu.Lock()
	defer h.mu.Unlock()
	phase := placer.Resident
	if err != nil {
		phase = placer.Doubtful
		if refuser.Of(err).Never() {
			phase = placer.Vacant
		}
		h.log.Warn().Str("model", def.GetName()).Str("instance", bid.Instance).Err(err).Msg("load: not done")
	}
	m.book.Settle(h.clock(), slot.Index, slot.Epoch, phase)
	return err == nil
}

// bids asks the engines that rank first for the model what a load would cost.
func (h *Holder) bids(ctx context.Context, def *wire.Model) []placer.Bid {
	limited, cancel := context.WithTimeout(ctx, bidLimit)
	defer cancel()
	list := h.engines(def.GetName())
	offers := make([]*wire.Offer, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() {
			offers[i], _ = h.bid(limited, in.Address, &wire.Bid{Model: def.GetName(), Bytes: def.GetBytes()})
		})
	}
	wg.Wait()
	var bids []placer.Bid
	for i, o := range offers {
		if o == nil {
			continue
		}
		bids = append(bids, placer.Bid{
			Instance: list[i].Name,
			Address:  list[i].Address,
			Free:     o.GetFree(),
			Idle:     o.GetIdle(),
			Tier:     o.GetTier(),
			Queue:    o.GetQueue(),
		})
	}
	return bids
}

func (h *Holder) bid(ctx context.Context, address string, b *wire.Bid) (*wire.Offer, error) {
	reply, err := peer.One(ctx, h.caller, address, &wire.Call{Body: &wire.Call_Bid{Bid: b}})
	if err != nil {
		return nil, err
	}
	if reply.GetOffer() == nil {
		return nil, peer.Unexpected(reply)
	}
	return reply.GetOffer(), nil
}

// engines returns the sidecars to ask, in the model's own order, so that its
// checkpoint is cached on few instances.
func (h *Holder) engines(name string) []platform.Instance {
	byName := map[string]platform.Instance{}
	var names []string
	for _, in := range h.member.Instances("sidecar") {
		if in.Pool == platform.EnginePool && !in.Leaving {
			byName[in.Name] = in
			names = append(names, in.Name)
		}
	}
	ranked := router.Rank(names, router.Hash(name))
	var list []platform.Instance
	for _, n := range ranked[:min(bidders, len(ranked))] {
		list = append(list, byName[n])
	}
	return list
}

// check looks after the doubtful slots of a model, at most once a second. The
// caller holds the lock.
func (h *Holder) check(name string, m *model) {
	now := h.clock()
	doubtful := m.book.In(placer.Doubtful)
	if len(doubtful) == 0 || m.checked != 0 && now < m.checked+checkEvery {
		return
	}
	m.checked = now
	for _, slot := range doubtful {
		h.tasks.Go(func() { h.examine(name, m, slot) })
	}
}

// examine asks the instance of a doubtful slot about the replica. The question
// raises the fence there, so that a late order for the slot is refused. A slot
// is freed if the replica is absent, or if the platform lists the instance no
// longer.
func (h *Holder) examine(name string, m *model, slot placer.Slot) {
	ctx, cancel := context.WithTimeout(context.Background(), bidLimit)
	defer cancel()
	in, listed := h.member.Find(slot.Instance)
	if !listed {
		if h.member.Gone(h.clock(), slot.Instance, h.terms.Lease) {
			h.vacate(ctx, name, m, slot)
		}
		return
	}
	fence := &wire.Slot{Model: name, Index: slot.Index, Instance: slot.Instance, Epoch: slot.Epoch}
	offer, err := h.bid(ctx, in.Address, &wire.Bid{Model: name, Fence: fence})
	if err != nil {
		return
	}
	switch {
	case offer.GetState() == wire.State_STATE_ABSENT:
		h.vacate(ctx, name, m, slot)
	case offer.GetState() == wire.State_STATE_RESIDENT && offer.GetEpoch() == slot.Epoch:
		slot.Phase = placer.Resident
		h.store(m, slot)
	}
}

// vacate records that a slot is free.
func (h *Holder) vacate(ctx context.Context, name string, m *model, slot placer.Slot) {
	if !h.holds(name) {
		return
	}
	slot.Instance = ""
	version, err := h.record(ctx, name, slot)
	if err != nil {
		h.reread(ctx, m, name)
		return
	}
	slot.Version = version
	slot.Phase = placer.Vacant
	h.store(m, slot)
}

// Free takes note that a sidecar has unloaded a replica.
func (h *Holder) Free(ctx context.Context, f *wire.Free) error {
	name := f.GetSlot().GetModel()
	if err := h.recall(ctx, name); err != nil {
		return err
	}
	h.mu.Lock()
	m, err := h.find(name)
	var slot placer.Slot
	if err == nil {
		slot = h.slotOf(m, f.GetSlot().GetIndex())
	}
	h.mu.Unlock()
	if err != nil || slot.Epoch != f.GetSlot().GetEpoch() || slot.Phase == placer.Vacant {
		return err
	}
	h.vacate(ctx, name, m, slot)
	if h.slot(m, slot.Index).Phase != placer.Vacant {
		return refuser.New(refuser.Outage, "the slot could not be recorded as free").After(checkEvery)
	}
	return nil
}

// Leave takes note that an instance takes no new work.
func (h *Holder) Leave(l *wire.Leave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		for _, m := range s.models {
			h.suspect(m, l.GetInstance())
		}
	}
}

// Replicas lists the slots that this entry knows, for a dump.
func (h *Holder) Replicas() map[string][]placer.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]placer.Slot{}
	for _, s := range h.shards {
		for name, m := range s.models {
			all[name] = slices.DeleteFunc(m.book.Slots(), func(s placer.Slot) bool { return s.Phase == placer.Vacant })
		}
	}
	return all
}

// Shard is a shard in a dump.
type Shard struct {
	Index  uint32        `json:"index"`
	Holder string        `json:"holder"`
	Epoch  uint64        `json:"epoch"`
	Held   bool          `json:"held"`
	Left   time.Duration `json:"left,omitempty"`
}

// Shards lists all shards as this entry sees them, for a dump.
func (h *Holder) Shards() []Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	list := make([]Shard, len(h.shards))
	for i, s := range h.shards {
		list[i] = Shard{Index: s.index, Holder: s.row.Holder, Epoch: s.row.Epoch}
		if s.tenure != nil && s.tenure.Held(now) {
			list[i].Held = true
			list[i].Left = s.tenure.Until() - now
		}
	}
	return list
}
