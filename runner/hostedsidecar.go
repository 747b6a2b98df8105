package runner

import (
	"context"
	"net/url"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/checker"
	"oleanderstall/orderer"
	"oleanderstall/platform"
	"oleanderstall/relayer"
	"oleanderstall/storer"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// adminStopTimeout bounds the shutdown of the admin listener.
const adminStopTimeout = 200 * time.Millisecond

// HostedSidecar is a running sidecar on a hosting platform. It orders the engine on its
// instance; requests do not pass through it.
type HostedSidecar struct {
	*hostedProcess
	ownership     *ownership
	engineAddress string
	// put is the write of this process's row.
	put     storer.Put
	orderer *orderer.Orderer
}

// StartHostedSidecar starts a sidecar, which joins the fleet in the background. It returns
// an error if the engine's address cannot be parsed.
func StartHostedSidecar(s *checker.Settings, l *log.Logger) (*HostedSidecar, error) {
	u, err := url.Parse(s.Sidecar.BackendURL)
	if err != nil {
		return nil, storer.NewFormatError("the backend's address cannot be read", err)
	}
	c := &HostedSidecar{hostedProcess: newHostedProcess(s, l), engineAddress: u.Host}
	c.ownership = newOwnership(c.clock, c.engineAddress, holderRow{Holder: s.Name, Started: c.started}, time.Duration(s.Hosted.EngineLease), c)
	c.onConfigChange = func() {}
	c.onServersChange = func(time.Duration, []*wire.ListedServer) {}
	options := orderer.Options{
		Holder: s.Name, Pool: s.Sidecar.Pool, Address: c.engineAddress, Started: c.started,
		BusyPollInterval: orderer.BusyPollInterval, IdlePollInterval: orderer.IdlePollInterval,
	}
	c.orderer = orderer.New(options, c.clock, platform.NewEngine(c.engineAddress), c, c.config, c.meter, l)
	c.startAdmin(c.isReady)
	c.tasks.run(c.configs.Run)
	c.tasks.run(c.fleet.Run)
	c.tasks.run(c.lister.Run)
	c.tasks.run(c.joinFleet)
	c.tasks.run(c.orderer.Run)
	return c, nil
}

// joinFleet joins the fleet, starts the link to the relay and acquires the engine.
func (c *HostedSidecar) joinFleet(ctx context.Context) {
	instance, err := c.join(ctx)
	if err != nil {
		c.log.Error().Err(err).Msg("start: joining the fleet failed")
		return
	}
	s := c.settings.Load()
	instance.Pool, instance.Backend = s.Sidecar.Pool, c.engineAddress
	c.addSelf(instance)
	self := &wire.Link{Name: s.Name, Role: relayer.Sidecar, Centre: s.Centre, Started: c.started, Backend: c.engineAddress}
	c.startLink(self, nil, subscriber.SidecarTiming, c, func() time.Duration { return 0 })
	if c.put, err = memberPut(instance); err != nil {
		c.log.Error().Err(err).Msg("start: listing this sidecar failed")
		return
	}
	row, _ := c.fleet.Row(c.ownership.key)
	c.acquireEngine(ctx, func(ctx context.Context) error { return c.ownership.acquire(ctx, c.store, row, c.put) })
	c.followEras(ctx, c.reacquireEngine)
}

// reacquireEngine acquires the engine again if the store has come back from an earlier copy of
// itself since.
func (c *HostedSidecar) reacquireEngine(ctx context.Context) {
	if c.ownership.outdated() {
		c.ownership.renew()
		c.acquireEngine(ctx, func(ctx context.Context) error { return c.ownership.reacquire(ctx, c.store, c.put) })
	}
}

// acquireEngine acquires the engine by acquire and, if that fails, with the holder row read from
// the store, until it succeeds or ctx ends. The row of this process is written in the same
// transaction.
func (c *HostedSidecar) acquireEngine(ctx context.Context, acquire func(context.Context) error) {
	err := retryUntilSuccess(ctx, c.log, "acquiring the engine", func(ctx context.Context) error {
		err := acquire(ctx)
		acquire = func(ctx context.Context) error { return c.ownership.reacquire(ctx, c.store, c.put) }
		return err
	})
	if err == nil {
		c.log.Info().Str("address", c.engineAddress).Uint64("fence", c.ownership.fence.Load()).
			Int64("wait", c.ownership.takeoverWait.Milliseconds()).Msg("engine: acquired")
		if c.ownership.takeoverWait > 0 {
			c.tasks.run(func(ctx context.Context) { c.ownership.confirm(ctx, c.store, c.log) })
		}
	}
}

// Report implements subscriber.Process.
func (c *HostedSidecar) Report(now time.Duration, full bool) *wire.Report {
	return c.orderer.Report(now, full)
}

// Receive implements subscriber.Process.
func (c *HostedSidecar) Receive(now time.Duration, address string, batch *wire.Batch, first bool) {
	c.applyBatch(address, batch)
	c.orderer.Receive(now, address, batch, first)
}

// LinkLost implements subscriber.Process.
func (c *HostedSidecar) LinkLost(now time.Duration, relay string, reports []*wire.Report) {
	c.orderer.LinkLost(now, relay, reports)
}

// Changed implements subscriber.Process.
func (c *HostedSidecar) Changed() <-chan struct{} { return c.orderer.Changed() }

// Fence implements orderer.Directory.
func (c *HostedSidecar) Fence() uint64 { return c.ownership.Fence() }

// ServerID implements orderer.Directory. It reads the list of backend servers from the
// store and skips rows that cannot be decoded.
func (c *HostedSidecar) ServerID(ctx context.Context, address string, started int64) (string, error) {
	servers, err := c.store.Snapshot(ctx, platform.ServerTable)
	if err != nil {
		return "", err
	}
	for _, r := range servers.Rows {
		s, err := platform.DecodeServer(r)
		if err == nil && s.Address == address && s.Started == started {
			return s.ID, nil
		}
	}
	return "", nil
}

// Addresses returns the address of the admin listener.
func (c *HostedSidecar) Addresses() Addresses { return Addresses{Admin: c.admin.address()} }

// isReady reports whether the sidecar may order its engine.
func (c *HostedSidecar) isReady() bool { return c.Fence() != 0 }

// Run runs the sidecar until ctx ends, and then stops it.
func (c *HostedSidecar) Run(ctx context.Context) {
	<-ctx.Done()
	c.Stop()
}

// Stop cancels the sidecar's tasks and closes its peer listener. It returns when the tasks
// have returned and the admin listener has shut down.
func (c *HostedSidecar) Stop() {
	c.tasks.cancel()
	if c.node != nil {
		c.node.Close()
	}
	c.tasks.stop()
	ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
	defer cancel()
	c.admin.stop(ctx)
	c.log.Info().Msg("stop: complete")
}
