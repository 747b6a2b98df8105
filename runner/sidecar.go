package runner

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/checker"
	"oleanderstall/engine"
	"oleanderstall/executor"
	"oleanderstall/service"
)

// drainLimit bounds the drain of a sidecar; it is above the longest deadline.
const drainLimit = 11 * time.Minute

// Sidecar is a running sidecar process.
type Sidecar struct {
	*process
	executor *executor.Executor
	tasks    *group
}

// StartSidecar starts a sidecar. It returns once all listeners are open.
func StartSidecar(s *checker.Settings, l *log.Logger) (*Sidecar, error) {
	p, err := newProcess(s, l, s.Sidecar.Pool)
	if err != nil {
		return nil, err
	}
	c := &Sidecar{process: p, tasks: newGroup()}
	c.executor = c.build()
	if err := p.startAdmin(); err != nil {
		p.node.Close()
		return nil, err
	}
	c.tasks.run(func(ctx context.Context) { p.node.Serve(ctx, c.executor.Handle) })
	c.tasks.run(p.register)
	c.tasks.run(p.member.Run)
	c.tasks.run(c.executor.Run)
	c.tasks.run(p.watchConfig)
	p.ready.Store(true)
	return c, nil
}

func (c *Sidecar) build() *executor.Executor {
	s := c.settings.Sidecar
	terms := executor.Options{
		Concurrency: s.Concurrency,
		Queue:       s.Queue,
		Shards:      c.settings.Shards,
		Flight:      time.Duration(s.Flight),
		Fresh:       keyWait,
	}
	var e executor.Engine
	var v executor.Service
	if s.Kind == "engine" {
		e = engine.New(s.Backend)
	} else {
		v = service.New(s.Backend)
	}
	return executor.New(terms, c.clock, c.node, c.platform, c.member, e, v, c.recorder, c.meter, c.log)
}

// keyWait is the longest wait after which a key is checked against a fresh
// configuration before its request is sent.
const keyWait = 3 * time.Second

// Addresses returns where the sidecar listens.
func (c *Sidecar) Addresses() Addresses { return c.addresses() }

// Run serves until ctx ends or the platform lists the instance as leaving, and
// then drains.
func (c *Sidecar) Run(ctx context.Context) {
	<-c.notice(ctx)
	c.Stop()
}

// Stop drains the sidecar and ends it.
func (c *Sidecar) Stop() {
	c.ready.Store(false)
	c.leave(false)
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	c.executor.Drain(ctx)
	c.tasks.cancel()
	c.node.Close()
	c.tasks.stop()
	c.leave(true)
	c.admin.stop(ctx)
	c.log.Info().Msg("stop: complete")
}
