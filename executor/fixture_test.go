package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/engine"
	"oleanderstall/faker"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/restorer"
	"oleanderstall/service"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// orderService is a plain service that counts the calls with each body. It runs
// before ahead of counting a call and after once the call is counted; an error of
// after is returned in place of an answer.
type orderService struct {
	mu     sync.Mutex
	runs   map[string]int
	before func()
	after  func() error
	// limit is the limit that the answers name, or 0.
	limit float64
}

func (o *orderService) Call(ctx context.Context, r service.Request) (*service.Answer, error) {
	if o.before != nil {
		o.before()
	}
	o.mu.Lock()
	o.runs[string(r.Body)]++
	o.mu.Unlock()
	if r.OnLimit != nil {
		r.OnLimit(o.limit)
	}
	if o.after != nil {
		if err := o.after(); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return &service.Answer{Status: 201, Body: r.Body}, nil
}

func (o *orderService) count(body string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[body]
}

// memoryEngine is a model engine in memory. It accepts every load, also beyond its
// capacity, and records the peak of the memory in use.
type memoryEngine struct {
	mu        sync.Mutex
	capacity  uint64
	loaded    map[string]engine.Loaded
	peakBytes uint64
	loads     int
	loadErr   error
	loadGate  chan struct{}
	// beforeStatusReturn is called after a status was taken and before it is returned.
	beforeStatusReturn func()
	// limit is the limit that the answers name, or 0.
	limit float64
	// software is the version that the status names.
	software string
	generate func(ctx context.Context, r engine.Request, onToken func(string) error) (engine.Result, error)
}

func (e *memoryEngine) Status(context.Context) (engine.Status, error) {
	status := e.status()
	if e.beforeStatusReturn != nil {
		e.beforeStatusReturn()
	}
	return status, nil
}

func (e *memoryEngine) status() engine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := engine.Status{Capacity: e.capacity, Software: e.software, Limit: e.limit}
	for _, l := range e.loaded {
		status.Loaded = append(status.Loaded, l)
	}
	return status
}

func (e *memoryEngine) Load(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	e.loads++
	e.loaded[o.Model] = engine.Loaded{Model: o.Model, Base: o.Base, Bytes: o.Bytes, Slot: o.Slot, Fence: o.Fence}
	var used uint64
	for _, l := range e.loaded {
		used += l.Bytes
	}
	e.peakBytes = max(e.peakBytes, used)
	err, gate := e.loadErr, e.loadGate
	e.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return err
}

func (e *memoryEngine) Unload(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loaded, o.Model)
	return nil
}

func (e *memoryEngine) Generate(ctx context.Context, r engine.Request, onToken func(string) error) (engine.Result, error) {
	if r.OnLimit != nil {
		r.OnLimit(e.limit)
	}
	if e.generate != nil {
		return e.generate(ctx, r, onToken)
	}
	if err := onToken("w "); err != nil {
		return engine.Result{}, err
	}
	return engine.Result{FinishReason: "stop", Usage: engine.Usage{PromptTokens: 1, OutputTokens: 1}}, nil
}

// fixture creates sidecars that run on a manual clock and use a fake platform and
// network. The field member belongs to the sidecar created last.
type fixture struct {
	t          testing.TB
	clock      *faker.Clock
	platform   *faker.Platform
	network    *faker.Network
	syncer     *syncer.Syncer
	configurer *configurer.Configurer
	member     *member.Member
	options    Options
}

// maxOrderTransit is the setting for the longest transit time of an order.
const maxOrderTransit = 2 * time.Second

func newFixture(t testing.TB) *fixture {
	f := &fixture{
		t:          t,
		clock:      faker.NewClock(),
		platform:   faker.NewPlatform(),
		network:    faker.NewNetwork(),
		configurer: configurer.New(),
		options:    Options{Concurrency: 2, QueueLimit: 4, Shards: 4, MaxOrderTransit: maxOrderTransit, MaxKeyCheckAge: 3 * time.Second},
	}
	f.syncer = syncer.New(f.platform, f.platform, f.configurer)
	f.publish(&wire.Change{
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 1e6, Burst: 1e6, Weight: 1, Shares: 1}},
		Models: []*wire.Model{
			{Name: "m1", Bytes: 60, Replicas: 1, Workspaces: []string{"w"}, Context: 100, Kv: 1, Keep: 60, Idle: 0.02},
			{Name: "m2", Bytes: 60, Replicas: 1, Workspaces: []string{"w"}, Context: 100, Kv: 1, Keep: 60, Idle: 0.02},
			{Name: "a1", Base: "m1", Bytes: 10, Workspaces: []string{"w"}, Context: 100, Kv: 1, Keep: 60, Idle: 0.02},
		},
		Keys: []*wire.Key{{Id: "k", Workspace: "w"}},
		Routes: []*wire.Route{
			{Name: "reserve", Method: "POST", Path: "/orders", Pool: "orders", Workspaces: []string{"w"}},
			{Name: "look", Method: "GET", Path: "/look", Pool: "orders", Idempotent: true, Workspaces: []string{"w"}},
		},
	})
	return f
}

func (f *fixture) publish(c *wire.Change) {
	f.t.Helper()
	base := f.configurer.View().Version()
	assert.NilError(f.t, f.syncer.Publish(context.Background(), f.clock.Now(), base, c, storer.Transaction{}))
}

// sidecar returns a sidecar that has the configuration and has not polled its
// engine yet.
func (f *fixture) sidecar(name string, e Engine, s Service) *Executor {
	logger := faker.DiscardLogger()
	self := storer.Instance{Name: name, Role: "sidecar", Centre: "x", Address: name}
	c := configurer.New()
	sy := syncer.New(f.platform, f.platform, c)
	f.member = member.New(self, f.clock.Now, f.network, f.platform, sy, c, logger)
	f.member.Poll(context.Background())
	x := New(f.options, f.clock.Now, f.network, f.platform, f.member, e, s, recorder.New(name, 64), meter.New(), logger)
	f.network.Attach(name, x.Handle)
	return x
}

// makeReady polls the engine's status and advances the clock until the sidecar
// accepts orders.
func (f *fixture) makeReady(x *Executor) {
	x.Sweep(context.Background())
	f.clock.Advance(maxOrderTransit)
}

func invocation(body, once string) *wire.Invoke {
	return &wire.Invoke{
		Id: "i", Workspace: "w", Key: "k", Config: 1, Route: "reserve", Path: "/orders",
		Body: []byte(body), Left: 5000, Once: once,
	}
}

func loadOrder(instance, model string, epoch uint64) *wire.Load {
	return &wire.Load{Slot: &wire.Slot{Model: model, Instance: instance, Epoch: epoch}, Left: 60000, Config: 1}
}

// hookedTable is a table that calls afterCommit after the first commit.
type hookedTable struct {
	*faker.Platform
	afterCommit func()
}

func (h *hookedTable) Commit(ctx context.Context, tx storer.Transaction) ([]uint64, error) {
	versions, err := h.Platform.Commit(ctx, tx)
	if h.afterCommit != nil {
		hook := h.afterCommit
		h.afterCommit = nil
		hook()
	}
	return versions, err
}

// useTable makes a sidecar use another table. It is called before the first request.
func (x *Executor) useTable(table storer.Table) {
	x.table = table
	x.claims = restorer.New(x.member.Self().Name, table, x.clock, x.log)
}
