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

// adminStop bounds the end of the listener for metrics.
const adminStop = 200 * time.Millisecond

// HostedSidecar is a running sidecar on a platform that hosts it. It orders the
// engine on its instance; requests do not pass through it.
type HostedSidecar struct {
	*hosted
	tenure  *tenure
	address string
	orderer *orderer.Orderer
}

// StartHostedSidecar starts a sidecar.
func StartHostedSidecar(s *checker.Settings, l *log.Logger) (*HostedSidecar, error) {
	u, err := url.Parse(s.Sidecar.Backend)
	if err != nil {
		return nil, storer.NewFormatError("the backend's address cannot be read", err)
	}
	c := &HostedSidecar{hosted: newHosted(s, l), address: u.Host}
	c.tenure = newTenure(c.clock, c.address, holderRow{Holder: s.Name, Started: c.started}, time.Duration(s.Hosted.Lease))
	c.changed = func() {}
	c.listed = func(time.Duration, []*wire.ListedServer) {}
	terms := orderer.Options{
		Holder: s.Name, Pool: s.Sidecar.Pool, Address: c.address, Started: c.started,
		Busy: orderer.BusyPeriod, Idle: orderer.IdlePeriod,
	}
	c.orderer = orderer.New(terms, c.clock, platform.NewEngine(c.address), c, c.copy, c.meter, l)
	c.startAdmin(c.isReady)
	c.tasks.run(c.configs.Run)
	c.tasks.run(c.fleet.Run)
	c.tasks.run(c.lister.Run)
	c.tasks.run(c.meet)
	c.tasks.run(c.orderer.Run)
	return c, nil
}

// meet joins the fleet and takes the engine.
func (c *HostedSidecar) meet(ctx context.Context) {
	in, err := c.join(ctx)
	if err != nil {
		c.log.Error().Err(err).Msg("start: not joined")
		return
	}
	s := c.settings.Load()
	in.Pool, in.Backend = s.Sidecar.Pool, c.address
	c.know(in)
	self := &wire.Link{Name: s.Name, Role: relayer.Sidecar, Centre: s.Centre, Started: c.started, Backend: c.address}
	c.link(self, subscriber.SidecarTiming, c, func() time.Duration { return 0 })
	put, err := memberPut(in)
	if err != nil {
		c.log.Error().Err(err).Msg("start: not joined")
		return
	}
	known, _ := c.fleet.Row(c.tenure.key)
	c.take(ctx, known, put)
}

// take takes the engine with the row known and, if that fails, with the one that the
// store holds then. It writes the process's own row with it.
func (c *HostedSidecar) take(ctx context.Context, known storer.Row, put storer.Put) {
	take := func(ctx context.Context) error { return c.tenure.take(ctx, c.store, known, put) }
	err := insist(ctx, c.log, "taking the engine", func(ctx context.Context) error {
		err := take(ctx)
		take = func(ctx context.Context) error { return c.tenure.again(ctx, c.store, put) }
		return err
	})
	if err == nil {
		c.log.Info().Str("address", c.address).Uint64("fence", c.tenure.fence.Load()).
			Int64("wait", c.tenure.wait.Milliseconds()).Msg("engine: taken")
	}
}

// Report implements subscriber.Process.
func (c *HostedSidecar) Report(now time.Duration, whole bool) *wire.Report {
	return c.orderer.Report(now, whole)
}

// Receive implements subscriber.Process.
func (c *HostedSidecar) Receive(now time.Duration, address string, t *wire.Batch, first bool) {
	c.hear(address, t)
	c.orderer.Receive(now, address, t, first)
}

// LinkLost implements subscriber.Process.
func (c *HostedSidecar) LinkLost(now time.Duration, relay string, reports []*wire.Report) {
	c.orderer.LinkLost(now, relay, reports)
}

// Changed implements subscriber.Process.
func (c *HostedSidecar) Changed() <-chan struct{} { return c.orderer.Changed() }

// Fence implements orderer.Directory.
func (c *HostedSidecar) Fence() uint64 { return c.tenure.Fence() }

// Server implements orderer.Directory.
func (c *HostedSidecar) Server(ctx context.Context, address string, born int64) (string, error) {
	all, err := c.store.Snapshot(ctx, platform.ServerTable)
	if err != nil {
		return "", err
	}
	for _, r := range all.Rows {
		s, err := platform.Server(r)
		if err == nil && s.Address == address && s.Started == born {
			return s.ID, nil
		}
	}
	return "", nil
}

// Addresses returns where the sidecar listens.
func (c *HostedSidecar) Addresses() Addresses { return Addresses{Admin: c.admin.address()} }

// isReady reports whether the sidecar may order its engine.
func (c *HostedSidecar) isReady() bool { return c.Fence() != 0 }

// Run serves until ctx ends.
func (c *HostedSidecar) Run(ctx context.Context) {
	<-ctx.Done()
	c.Stop()
}

// Stop ends the sidecar.
func (c *HostedSidecar) Stop() {
	c.tasks.cancel()
	if c.node != nil {
		c.node.Close()
	}
	c.tasks.stop()
	ctx, cancel := context.WithTimeout(context.Background(), adminStop)
	defer cancel()
	c.admin.stop(ctx)
	c.log.Info().Msg("stop: complete")
}
