package runner

import (
	"cmp"
	"context"
	"net"
	"net/url"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/checker"
	"oleanderstall/dialer"
	"oleanderstall/engine"
	"oleanderstall/executor"
	"oleanderstall/service"
)

// drainTimeout bounds the drain of a sidecar. It is longer than the longest deadline of a
// request.
const drainTimeout = 11 * time.Minute

// Sidecar is a running sidecar that is not on a hosting platform. Requests to its backend
// server pass through it.
type Sidecar struct {
	*process
	executor *executor.Executor
	tasks    *taskGroup
}

// StartSidecar starts a sidecar. It returns once all listeners are open.
func StartSidecar(s *checker.Settings, l *log.Logger) (*Sidecar, error) {
	p, err := newProcess(s, l, s.Sidecar.Pool)
	if err != nil {
		return nil, err
	}
	c := &Sidecar{process: p, tasks: newTaskGroup()}
	c.executor = c.newExecutor()
	if err := p.startAdmin(); err != nil {
		p.node.Close()
		return nil, err
	}
	c.tasks.run(func(ctx context.Context) { p.node.Serve(ctx, p.guard.wrapPeer(c.executor.Handle)) })
	c.tasks.run(p.guard.run)
	c.tasks.run(p.register)
	c.tasks.run(p.member.Run)
	c.tasks.run(c.executor.Run)
	c.tasks.run(p.reportConfigVersion)
	p.ready.Store(true)
	return c, nil
}

// newExecutor builds the executor for an engine or a plain service.
func (c *Sidecar) newExecutor() *executor.Executor {
	s := c.settings.Sidecar
	options := executor.Options{
		Concurrency:     s.Concurrency,
		QueueLimit:      s.QueueLimit,
		Shards:          c.settings.ShardCount,
		MaxOrderTransit: time.Duration(s.MaxOrderTransit),
		MaxKeyCheckAge:  keyRecheckAfter,
	}
	if address := backendAddress(s.BackendURL); address != "" {
		options.Refuses = func(ctx context.Context) bool { return dialer.Refuses(ctx, address) }
	}
	var backendEngine executor.Engine
	var backendService executor.Service
	if s.Kind == "engine" {
		backendEngine = engine.New(s.BackendURL)
	} else {
		backendService = service.New(s.BackendURL)
	}
	return executor.New(options, c.clock, c.node, c.platform, c.member, backendEngine, backendService, c.recorder, c.meter, c.log)
}

// backendAddress returns the address, host:port, of a URL, or "" if it has none. Without a port
// the name of the scheme stands for it.
func backendAddress(backendURL string) string {
	parsed, err := url.Parse(backendURL)
	if err != nil || parsed.Host == "" {
		return ""
	}
	return net.JoinHostPort(parsed.Hostname(), cmp.Or(parsed.Port(), parsed.Scheme))
}

// keyRecheckAfter is the wait of a request above which its key is checked against a
// configuration that is proven to be recent before the request is sent.
const keyRecheckAfter = 3 * time.Second

// Addresses returns the addresses on which the sidecar listens.
func (c *Sidecar) Addresses() Addresses { return c.addresses() }

// Run serves until ctx ends or the platform lists the sidecar as leaving, and then
// drains it.
func (c *Sidecar) Run(ctx context.Context) {
	<-c.stopRequested(ctx)
	c.Stop()
}

// Stop drains the sidecar and returns when it has stopped. The sidecar is marked as
// leaving before the drain and deregistered after it.
func (c *Sidecar) Stop() {
	c.ready.Store(false)
	c.reportLeaving(false)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	c.executor.Drain(ctx)
	c.tasks.cancel()
	c.node.Close()
	c.tasks.stop()
	c.reportLeaving(true)
	c.admin.stop(ctx)
	c.log.Info().Msg("stop: complete")
}
