// Package orderer controls one model engine on behalf of its sidecar. It collects the
// assignments that relays send for the engine, decides which model or adapter to load or
// unload next, sends the order to the engine, and reports the engine's status and load
// to the relay.
//
// Each order carries the number of orders that the engine had accepted before it, and
// the engine refuses an order with another number. An order whose response was lost
// therefore has no effect once a later order has been accepted.
package orderer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/meter"
	"oleanderstall/placer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Intervals for polling the engine and for reporting its status, the lifetime of an
// assignment, and the notice time of an unload.
const (
	// BusyPollInterval and IdlePollInterval are the polling intervals for an engine on the
	// same instance: while a load or unload is pending, and otherwise.
	BusyPollInterval = 15 * time.Millisecond
	IdlePollInterval = 100 * time.Millisecond
	// assignmentLifetime is how long the last assignment of a relay stays in effect
	// after the relay's last batch.
	assignmentLifetime = 1500 * time.Millisecond
	// loadReportInterval is the minimum time between two reports of the engine's load
	// alone. usageReportInterval is the minimum time between two status reports that
	// differ only in the usage of models.
	loadReportInterval  = 150 * time.Millisecond
	usageReportInterval = 500 * time.Millisecond
	// unloadNoticeTime is the time between the status that announces an unload and the
	// order to unload, so that requests already on their way still find the model
	// loaded.
	unloadNoticeTime = 30 * time.Millisecond
)

// Options are the properties of one sidecar and its engine.
type Options struct {
	// Holder names this instance in its orders to the engine.
	Holder string
	// Pool is the engine's pool and Address its network address.
	Pool    string
	Address string
	// Started is the start of this process, in Unix nanoseconds.
	Started int64
	// BusyPollInterval is the polling interval while a load or unload is pending, and
	// IdlePollInterval the interval otherwise.
	BusyPollInterval time.Duration
	IdlePollInterval time.Duration
}

// Directory looks up the engine's ID and this process's fencing number.
type Directory interface {
	// ServerID returns the ID of the server that listens at address and was started at
	// started, in Unix milliseconds, or an empty string if the ID is not known.
	ServerID(ctx context.Context, address string, started int64) (string, error)
	// Fence returns the fencing number of this process, or 0 if it has none. No order is
	// sent without one.
	Fence() uint64
}

// Orderer controls one engine. It is safe for concurrent use.
type Orderer struct {
	options   Options
	clock     timer.Clock
	engine    Engine
	directory Directory
	config    *configurer.Configurer
	meter     *meter.Meter
	log       *log.Logger
	wake      chan struct{}
	done      chan struct{}

	mu sync.Mutex
	// assignments holds the last assignment of each relay by relay name, and
	// listedServers the listed servers at the engine's address by server ID.
	assignments   map[string]relayAssignment
	listedServers map[string]*wire.ListedServer
	report        Report
	serverID      string
	// serverStarted is the start of the engine with the ID serverID, in Unix
	// milliseconds.
	serverStarted int64
	// lastUsed and loadedAt are the times of the last use and of the load of models and
	// adapters.
	lastUsed map[string]time.Duration
	loadedAt map[string]time.Duration
	// ledger accounts for the engine's memory and adapter slots. It has to permit each load.
	ledger *placer.Ledger
	// current is the model order that the engine is executing, accepted at currentSince.
	current      placer.Step
	currentSince time.Duration
	// announcedUnload is the model whose unload the status has announced since
	// announcedAt, or empty.
	announcedUnload string
	announcedAt     time.Duration
	// waitingAdapter is the adapter last logged as waiting for room, at waitLoggedAt, or empty.
	waitingAdapter string
	waitLoggedAt   time.Duration
	status         *wire.EngineStatus
	statusAt       time.Duration
	// reportedStatus is the status last reported to the relay, at statusReportedAt.
	// loadReportedAt is the time of the last report of the load alone.
	reportedStatus   *wire.EngineStatus
	statusReportedAt time.Duration
	loadReportedAt   time.Duration
	changed          chan struct{}
}

// relayAssignment is the last assignment of a relay, received at receivedAt. lastBatchAt
// is the time of the relay's last batch, with or without an assignment.
type relayAssignment struct {
	assignment  *wire.Assignment
	receivedAt  time.Duration
	lastBatchAt time.Duration
}

// New returns an orderer that has not polled its engine yet.
func New(options Options, clock timer.Clock, e Engine, d Directory, c *configurer.Configurer, m *meter.Meter, l *log.Logger) *Orderer {
	return &Orderer{
		options:       options,
		clock:         clock,
		engine:        e,
		directory:     d,
		config:        c,
		meter:         m,
		log:           l,
		wake:          make(chan struct{}, 1),
		done:          make(chan struct{}),
		assignments:   map[string]relayAssignment{},
		listedServers: map[string]*wire.ListedServer{},
		lastUsed:      map[string]time.Duration{},
		loadedAt:      map[string]time.Duration{},
		ledger:        placer.NewLedger(),
		status:        &wire.EngineStatus{Address: options.Address, Started: options.Started},
		changed:       make(chan struct{}, 1),
	}
}

// Done returns a channel that is closed when Run has returned.
func (o *Orderer) Done() <-chan struct{} { return o.done }

// Run polls the engine, sends orders to it and updates the status for the relay until ctx
// ends.
func (o *Orderer) Run(ctx context.Context) {
	defer close(o.done)
	for ctx.Err() == nil {
		t := time.NewTimer(o.poll(ctx))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-o.wake:
		}
		t.Stop()
	}
}

// Wake makes Run poll the engine immediately.
func (o *Orderer) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// poll polls the engine once, sends the orders that are due, updates the status, and
// returns the delay until the next poll.
func (o *Orderer) poll(ctx context.Context) time.Duration {
	r, err := o.engine.Report(ctx)
	if err != nil {
		o.markLost(ctx, err)
		return o.options.IdlePollInterval
	}
	if err := o.ensureIdentified(ctx, r); err != nil {
		o.log.Warn().Err(err).Int64("born", r.Started).Msg("engine: id not known")
	}
	now := o.clock()
	o.observe(now, r)
	pending, step := o.orderAdapters(ctx, now)
	pending = o.orderModels(ctx, now, step) || pending
	now = o.clock()
	o.updateStatus(now)
	return o.pollDelay(now, pending)
}

// pollDelay returns the delay until the next poll: the idle interval if nothing is
// pending, and the busy interval while something is. During a load of a model it is the
// expected remaining time of the load, or a part of the time by which the load is
// overdue, within the bounds of the two intervals.
func (o *Orderer) pollDelay(now time.Duration, pending bool) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !pending {
		return o.options.IdlePollInterval
	}
	if o.current.Op != placer.Load || len(o.report.Loading) > 0 {
		return o.options.BusyPollInterval
	}
	remaining := o.currentSince + o.loadTime(o.config.View().Model(o.current.Model)) - now
	if remaining < 0 {
		remaining = -remaining / overdueDivisor
	}
	return min(o.options.IdlePollInterval, max(o.options.BusyPollInterval, remaining))
}

// overdueDivisor sets how often an overdue load is polled: the delay is the time by
// which the load is overdue, divided by this number.
const overdueDivisor = 8

// markLost records that the engine did not respond.
func (o *Orderer) markLost(ctx context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() == nil && o.report.Started != 0 {
		o.log.Warn().Err(err).Str("server", o.serverID).Msg("engine: lost")
	}
	o.report = Report{}
}

// ensureIdentified looks up the engine's ID if the engine is new or has restarted, and
// resets what was recorded for the one before.
func (o *Orderer) ensureIdentified(ctx context.Context, r Report) error {
	o.mu.Lock()
	known := o.serverID != "" && o.serverStarted == r.Started
	o.mu.Unlock()
	if known {
		return nil
	}
	id, err := o.lookUpServerID(ctx, r.Started)
	if err != nil || id == "" {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serverID, o.serverStarted = id, r.Started
	clear(o.lastUsed)
	clear(o.loadedAt)
	o.current, o.announcedUnload = placer.Step{}, ""
	o.log.Info().Str("server", id).Int64("born", r.Started).Strs("models", r.Models).Uint64("sequence", r.Sequence).
		Msg("engine: identified")
	return nil
}

// lookUpServerID returns the ID of the engine that was started at started, in Unix
// milliseconds, or an empty string if it is not known. It uses the listed servers that
// relays have sent and asks the directory only if there is no relay.
func (o *Orderer) lookUpServerID(ctx context.Context, started int64) (string, error) {
	o.mu.Lock()
	linked := len(o.assignments) > 0
	for id, listed := range o.listedServers {
		if listed.GetBorn() == started {
			o.mu.Unlock()
			return id, nil
		}
	}
	o.mu.Unlock()
	if linked {
		return "", nil
	}
	return o.directory.ServerID(ctx, o.options.Address, started)
}

// observe records the engine's report, completes the current order if the engine is no
// longer busy, and drops the assignments of relays that have sent no batch for longer than
// assignmentLifetime.
func (o *Orderer) observe(now time.Duration, r Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r = r.normalized()
	if o.report.Started == 0 {
		o.log.Info().Int64("born", r.Started).Msg("engine: responding")
	}
	if o.report.Limit != r.Limit {
		o.log.Info().Str("server", o.serverID).Float64("limit", r.Limit).Float64("before", o.report.Limit).Msg("engine: limit in its report")
	}
	for _, name := range r.Models {
		if _, ok := o.loadedAt[name]; !ok {
			o.loadedAt[name] = now
		}
	}
	for name := range o.loadedAt {
		if !r.Has(name) {
			delete(o.loadedAt, name)
		}
	}
	if o.current.Op != placer.None && !r.Busy {
		o.log.Info().Str("server", o.serverID).Str("op", o.current.Op.String()).Str("model", o.current.Model).
			Bool("there", r.Has(o.current.Model)).Int64("took", (now - o.currentSince).Milliseconds()).Msg("order: complete")
		if o.current.Op == placer.Load {
			o.meter.RecordColdStart(now - o.currentSince)
		}
		o.current = placer.Step{}
	}
	o.report = r
	o.updateLedger(now)
	for name, a := range o.assignments {
		if now-a.lastBatchAt > assignmentLifetime {
			delete(o.assignments, name)
		}
	}
}

// canOrder reports whether orders may be sent to the engine. The caller holds the lock.
func (o *Orderer) canOrder() bool {
	return o.serverID != "" && o.serverStarted == o.report.Started && o.directory.Fence() != 0 && !o.report.Leaving &&
		o.config.View().Version() > 0
}

// updateLedger passes the latest report to the ledger. The caller holds the lock.
func (o *Orderer) updateLedger(now time.Duration) {
	engines := o.config.View().Pool(o.options.Pool).GetEngines()
	contents := placer.Contents{Server: o.serverID, Sequence: o.report.Sequence}
	for _, name := range o.report.Models {
		contents.Loaded = append(contents.Loaded, o.item(name))
	}
	for _, name := range o.report.Loading {
		contents.Loading = append(contents.Loading, o.item(name))
	}
	if o.current.Op == placer.Load && !slices.Contains(o.report.Loading, o.current.Model) {
		contents.Loading = append(contents.Loading, o.item(o.current.Model))
	}
	o.ledger.Update(now, placer.Capacity{Bytes: engines.GetBytes(), Slots: int(engines.GetAdapters())}, contents)
}

// item returns a model or an adapter with its size, which is 0 if the configuration does not have it.
func (o *Orderer) item(name string) placer.Item {
	m := o.config.View().Model(name)
	return placer.Item{Name: name, Base: m.GetBase(), Bytes: m.GetBytes()}
}

// orderModels orders the next load or unload of a model. If models need neither, it orders
// forAdapter, the unload of a model that makes room for an adapter, if any. It reports whether a load or
// unload is pending, so that the engine must be polled again soon. A load request that
// has to wait until other requests end is reconsidered when a relay sends a new
// assignment.
func (o *Orderer) orderModels(ctx context.Context, now time.Duration, forAdapter placer.Step) bool {
	o.mu.Lock()
	requests := o.loadRequests()
	if !o.canOrder() || o.report.Busy {
		busy := o.report.Busy
		o.mu.Unlock()
		return busy
	}
	step := placer.NextStep(now, o.ledger.Free(), o.loadedModels(now), requests)
	if step.Op != placer.Load {
		if adapters := o.adaptersInTheWay(now, requests); len(adapters) > 0 {
			o.mu.Unlock()
			o.unloadAdapters(ctx, adapters)
			return true
		}
	}
	if step.Op == placer.Drain {
		o.drain(now, step)
		o.mu.Unlock()
		o.updateStatus(now)
		return true
	}
	if step.Op == placer.None {
		step = forAdapter
	}
	if step.Op == placer.Unload && !o.unloadAnnounced(now, step.Model) {
		o.mu.Unlock()
		o.updateStatus(now)
		return true
	}
	if step.Op != placer.Unload {
		o.announcedUnload = ""
	}
	order, err := o.newOrder(now, step.Op, step.Model, "")
	o.mu.Unlock()
	if step.Op == placer.None {
		return false
	}
	if err != nil {
		// The model is needed until the load of an adapter has ended.
		return true
	}
	outcome := o.sendOrder(ctx, order, step.Requested)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle(order, outcome)
	if outcome == Accepted {
		o.current, o.currentSince = step, now
		o.report.Busy = true
	}
	return true
}

// adaptersInTheWay returns idle adapters whose unloads make room for a model that does not fit now.
// The caller holds the lock.
func (o *Orderer) adaptersInTheWay(now time.Duration, requests []placer.LoadRequest) []string {
	free, freed := o.ledger.Free(), uint64(0)
	idle := o.idleAdapters(now)
	for _, name := range idle {
		freed += o.item(name).Bytes
	}
	if freed == 0 {
		return nil
	}
	step := placer.NextStep(now, free+freed, o.loadedModels(now), requests)
	if step.Op != placer.Load {
		return nil
	}
	need := o.item(step.Model).Bytes
	var victims []string
	for _, name := range idle {
		if free >= need {
			break
		}
		free += o.item(name).Bytes
		victims = append(victims, name)
	}
	return victims
}

// unloadAnnounced reports whether the unload of model was announced at least
// unloadNoticeTime ago. It starts the announcement if there is none. The caller holds
// the lock.
func (o *Orderer) unloadAnnounced(now time.Duration, model string) bool {
	if o.announcedUnload != model {
		o.announcedUnload, o.announcedAt = model, now
	}
	return now-o.announcedAt >= unloadNoticeTime
}

// drain announces the unload of a model in use, so that no further requests are sent for it. It does
// nothing while another model in use is being drained, so that drains do not alternate. A drained model
// that is idle, but not unloaded, is served again. The caller holds the lock.
func (o *Orderer) drain(now time.Duration, step placer.Step) {
	if o.announcedUnload == step.Model || o.inUse(now, o.announcedUnload) {
		return
	}
	o.announcedUnload, o.announcedAt = step.Model, now
	o.meter.RecordOrder(step.Op.String(), Done.String())
	o.log.Info().Str("server", o.serverID).Str("model", step.Model).Str("for", step.Requested).Msg("drain: no further requests for the model")
}

// inUse reports whether the engine has a model and requests for it are in flight. The caller holds the
// lock.
func (o *Orderer) inUse(now time.Duration, model string) bool {
	return slices.ContainsFunc(o.loadedModels(now), func(m placer.LoadedModel) bool { return m.Model == model && m.Inflight > 0 })
}

// newOrder returns an order based on the engine's last report and the orders since, and records it in
// the ledger. It returns the error of the ledger if the order must not be sent. The caller holds the
// lock.
func (o *Orderer) newOrder(now time.Duration, op placer.Op, model, adapter string) (Order, error) {
	order := Order{
		Op:       op,
		Model:    model,
		Adapter:  adapter,
		Server:   o.serverID,
		Sequence: o.ledger.Sequence(),
		Holder:   o.options.Holder,
		Fence:    o.directory.Fence(),
	}
	switch op {
	case placer.Load:
		return order, o.ledger.ReserveLoad(now, o.item(order.item()))
	case placer.Unload:
		return order, o.ledger.CheckUnload(order.item())
	}
	return order, nil
}

// settle records the outcome of an order in the ledger. A load without an answer stays there. The
// caller holds the lock.
func (o *Orderer) settle(order Order, outcome Outcome) {
	switch {
	case order.Op == placer.Load && outcome == Accepted:
		o.ledger.Accepted()
	case order.Op == placer.Load && outcome == Done:
		o.ledger.Present()
	case order.Op == placer.Load && outcome != Unknown:
		o.ledger.Refused()
	case order.Op == placer.Unload && outcome == Accepted:
		o.ledger.Unloaded(order.item(), false)
	case order.Op == placer.Unload && outcome == Done && order.Adapter != "":
		// An engine completes the unload of an unused adapter at once: it responds with Done
		// but counts the order.
		o.ledger.Unloaded(order.item(), true)
	}
}

// sendOrder sends an order to the engine, counts it and logs it. cause is the model or
// adapter that the order makes room for or loads.
func (o *Orderer) sendOrder(ctx context.Context, order Order, cause string) Outcome {
	outcome, err := o.engine.Order(ctx, order)
	o.meter.RecordOrder(order.Op.String(), outcome.String())
	e := o.log.Info().Str("server", order.Server).Str("op", order.Op.String()).Str("model", order.Model).
		Str("adapter", order.Adapter).Str("for", cause).Uint64("sequence", order.Sequence).
		Uint64("fence", order.Fence).Str("outcome", outcome.String())
	if err != nil {
		e = e.Err(err)
	}
	e.Msg("order: sent")
	return outcome
}

// loadRequests merges the load requests of all relays by base model, oldest first and then by
// name. It includes models that the engine already holds, and leaves out requests that are not
// plausible. The caller holds the lock.
func (o *Orderer) loadRequests() []placer.LoadRequest {
	view := o.config.View()
	merged := map[string]*placer.LoadRequest{}
	for _, a := range o.assignments {
		for _, r := range a.assignment.GetWants() {
			m := view.Model(r.GetModel())
			if m != nil && m.GetBase() != "" {
				m = view.Model(m.GetBase())
			}
			if m == nil || m.GetPool() != o.options.Pool || !placer.Plausible(r) {
				continue
			}
			request := merged[m.GetName()]
			if request == nil {
				request = &placer.LoadRequest{Model: m.GetName(), Bytes: m.GetBytes(), FirstArrival: a.receivedAt, TargetTime: 1<<62 - 1, LoadTime: o.loadTime(m), Relief: r.GetRate()}
				merged[m.GetName()] = request
			}
			request.Count += int(r.GetCount())
			request.Value += r.GetWorth()
			request.TargetTime = min(request.TargetTime, a.receivedAt+time.Duration(r.GetGoal())*time.Millisecond)
			request.FirstArrival = min(request.FirstArrival, a.receivedAt-min(timer.FromMillis(r.GetAge()), placer.MaxWait))
			request.Relief = min(request.Relief, r.GetRate())
			request.Drain = request.Drain || r.GetDrain()
		}
	}
	list := make([]placer.LoadRequest, 0, len(merged))
	for _, r := range merged {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b placer.LoadRequest) int {
		return cmp.Or(cmp.Compare(a.FirstArrival, b.FirstArrival), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// loadTime returns the duration of a load of m, which depends on where the checkpoint is
// cached. The caller holds the lock.
func (o *Orderer) loadTime(m *wire.Model) time.Duration {
	duration, _ := o.report.LoadTime(m)
	return duration
}

// loadedModels returns the base models in the engine's memory with their usage. The
// caller holds the lock.
func (o *Orderer) loadedModels(now time.Duration) []placer.LoadedModel {
	view := o.config.View()
	var list []placer.LoadedModel
	for _, name := range o.report.Models {
		m := view.Model(name)
		if m == nil || m.GetBase() != "" {
			continue
		}
		loaded := placer.LoadedModel{Model: name, Bytes: m.GetBytes() + o.adapterBytes(name), ReloadTime: o.loadTime(m), LoadedAt: o.loadedAt[name], LastUsed: o.lastUsed[name]}
		for _, a := range o.assignments {
			for _, u := range a.assignment.GetDemands() {
				if u.GetModel() == name {
					loaded.Inflight = max(loaded.Inflight, int(u.GetInflight()))
					if placer.PlausibleRate(u.GetRate()) {
						loaded.Rate = max(loaded.Rate, u.GetRate())
					}
					loaded.Copies = max(loaded.Copies, int(u.GetCopies()))
				}
			}
		}
		if loaded.Inflight > 0 {
			o.lastUsed[name] = now
			loaded.LastUsed = now
		}
		list = append(list, loaded)
	}
	return list
}

// adapterBytes returns the memory that the adapters of a model take. It is freed with the model. The
// caller holds the lock.
func (o *Orderer) adapterBytes(model string) uint64 {
	sum := uint64(0)
	for _, name := range o.report.Models {
		if i := o.item(name); i.Base == model {
			sum += i.Bytes
		}
	}
	return sum
}

// freeMemory returns the free memory for weights in bytes that the status states, as of the engine's
// last report. Orders go by the ledger. The caller holds the lock.
func (o *Orderer) freeMemory() uint64 {
	view := o.config.View()
	capacity := view.Pool(o.options.Pool).GetEngines().GetBytes()
	used := uint64(0)
	for _, name := range o.report.Models {
		used += view.Model(name).GetBytes()
	}
	for _, name := range o.report.Loading {
		used += view.Model(name).GetBytes()
	}
	return capacity - min(used, capacity)
}
