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
	"oleanderstall/service"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// orders is a plain service that counts how often each body ran.
type orders struct {
	mu     sync.Mutex
	runs   map[string]int
	before func()
	after  func() error
}

func (o *orders) Call(ctx context.Context, r service.Request) (*service.Answer, error) {
	if o.before != nil {
		o.before()
	}
	o.mu.Lock()
	o.runs[string(r.Body)]++
	o.mu.Unlock()
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

func (o *orders) count(body string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[body]
}

// model engine in memory. It refuses nothing, and notes an overcommitment.
type memoryEngine struct {
	mu       sync.Mutex
	capacity uint64
	loaded   map[string]engine.Loaded
	most     uint64
	loads    int
	loadErr  error
	hang     chan struct{}
	// slow is called between the taking of a state and its arrival.
	slow     func()
	generate func(ctx context.Context, r engine.Request, token func(string) error) (engine.Result, error)
}

func (e *memoryEngine) Status(context.Context) (engine.Status, error) {
	st := e.state()
	if e.slow != nil {
		e.slow()
	}
	return st, nil
}

func (e *memoryEngine) state() engine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := engine.Status{Capacity: e.capacity}
	for _, l := range e.loaded {
		st.Loaded = append(st.Loaded, l)
	}
	return st
}

func (e *memoryEngine) Load(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	e.loads++
	e.loaded[o.Model] = engine.Loaded{Model: o.Model, Base: o.Base, Bytes: o.Bytes, Slot: o.Slot, Fence: o.Fence}
	var used uint64
	for _, l := range e.loaded {
		used += l.Bytes
	}
	e.most = max(e.most, used)
	err, hang := e.loadErr, e.hang
	e.mu.Unlock()
	if hang != nil {
		<-hang
	}
	return err
}

func (e *memoryEngine) Unload(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loaded, o.Model)
	return nil
}

func (e *memoryEngine) Generate(ctx context.Context, r engine.Request, token func(string) error) (engine.Result, error) {
	if e.generate != nil {
		return e.generate(ctx, r, token)
	}
	if err := token("w "); err != nil {
		return engine.Result{}, err
	}
	return engine.Result{Reason: "stop", Usage: engine.Usage{Prompt: 1, Output: 1}}, nil
}

// rig is one sidecar on a clock set by hand, with fakes around it.
type rig struct {
	t        testing.TB
	clock    *faker.Clock
	platform *faker.Platform
	network  *faker.Network
	syncer   *syncer.Syncer
	copy     *configurer.Configurer
	member   *member.Member
	terms    Options
}

const flight = 2 * time.Second

func newRig(t testing.TB) *rig {
	r := &rig{
		t:        t,
		clock:    faker.NewClock(),
		platform: faker.NewPlatform(),
		network:  faker.NewNetwork(),
		copy:     configurer.New(),
		terms:    Options{Concurrency: 2, Queue: 4, Shards: 4, Flight: flight, Fresh: 3 * time.Second},
	}
	r.syncer = syncer.New(r.platform, r.platform, r.copy)
	r.publish(&wire.Change{
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
	return r
}

func (r *rig) publish(c *wire.Change) {
	r.t.Helper()
	base := r.copy.View().Version()
	assert.NilError(r.t, r.syncer.Publish(context.Background(), r.clock.Now(), base, c, storer.Transaction{}))
}

// sidecar returns a sidecar that has just started.
func (r *rig) sidecar(name string, e Engine, s Service) *Executor {
	l := faker.Silent()
	self := storer.Instance{Name: name, Role: "sidecar", Address: name}
	c := configurer.New()
	sy := syncer.New(r.platform, r.platform, c)
	r.member = member.New(self, r.clock.Now, r.network, r.platform, sy, c, l)
	r.member.Poll(context.Background())
	x := New(r.terms, r.clock.Now, r.network, r.platform, r.member, e, s, recorder.New(name, 64), meter.New(), l)
	r.network.Attach(name, x.Handle)
	return x
}

// ready lets the sidecar learn its engine's state and wait out old orders.
func (r *rig) ready(x *Executor) {
	x.Sweep(context.Background())
	r.clock.Advance(flight)
}

func invocation(body, once string) *wire.Invoke {
	return &wire.Invoke{
		Id: "i", Workspace: "w", Key: "k", Config: 1, Route: "reserve", Path: "/orders",
		Body: []byte(body), Left: 5000, Once: once,
	}
}

func order1(instance, model string, epoch uint64) *wire.Load {
	return &wire.Load{Slot: &wire.Slot{Model: model, Instance: instance, Epoch: epoch}, Left: 60000, Config: 1}
}

// pausing is a table that does something after the first commit.
type pausing struct {
	*faker.Platform
	pause func()
}

func (p *pausing) Commit(ctx context.Context, tx storer.Transaction) ([]uint64, error) {
	versions, err := p.Platform.Commit(ctx, tx)
	if p.pause != nil {
		pause := p.pause
		p.pause = nil
		pause()
	}
	return versions, err
}
