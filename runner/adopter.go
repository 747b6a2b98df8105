package runner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"oleanderstall/orderer"
	"oleanderstall/platform"
	"oleanderstall/relayer"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// Times of the adoption of engines without a sidecar.
const (
	// adoptionInterval is the time between two checks for such engines.
	adoptionInterval = 500 * time.Millisecond
	// adoptionDelay is how long an engine must have neither a reporting nor a listed
	// sidecar before it is adopted.
	adoptionDelay = 3 * time.Second
	// sidecarRetryDelay is added to adoptionDelay after an attempt that found that the
	// engine has a sidecar.
	sidecarRetryDelay = 15 * time.Second
	// remoteBusyPollInterval is the polling interval of an engine on another instance
	// while requests wait for a model, and remoteIdlePollInterval otherwise.
	remoteBusyPollInterval = 60 * time.Millisecond
	remoteIdlePollInterval = 400 * time.Millisecond
)

// holderReadsPerLease is the number of times per lease that the holder rows are read
// while this process orders adopted engines.
const holderReadsPerLease = 3

// adopter orders the engines that have never had a sidecar, while this process is an active
// relay. An engine whose sidecar is lost is not adopted: it waits until the sidecar
// runs again.
type adopter struct {
	*hostedProcess
	// orphanedSince holds the time since which an engine is known to have no sidecar,
	// by address. It is in the future during sidecarRetryDelay.
	orphanedSince map[string]time.Duration
	// adopted holds the engines that this process orders, by address.
	adopted map[string]*adoptedEngine
	// era is the era of the store in which they were adopted.
	era uint64
}

// adoptedEngine orders one engine in place of a sidecar.
type adoptedEngine struct {
	*orderer.Orderer
	*ownership
	process *hostedProcess
	cancel  context.CancelFunc
	// done is closed when run has returned.
	done chan struct{}
	// hasSidecar is set once the engine's holder row turns out to name a sidecar.
	hasSidecar atomic.Bool
}

// runAdopter adopts and releases engines until ctx ends.
func (h *hostedProcess) runAdopter(ctx context.Context) {
	a := &adopter{hostedProcess: h, orphanedSince: map[string]time.Duration{}, adopted: map[string]*adoptedEngine{}}
	tick := time.NewTicker(adoptionInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for address := range a.adopted {
				a.release(address, "the process stops")
			}
			return
		case <-tick.C:
			a.reconcile(ctx, h.clock())
		}
	}
}

// reconcile adopts the engines that have been without a sidecar for adoptionDelay. It
// releases those that have a sidecar or another holder, and all of them once this
// process is not an active relay any more.
func (a *adopter) reconcile(ctx context.Context, now time.Duration) {
	a.releaseEarlier()
	orphans := a.relayer.Orphans()
	for address := range a.orphanedSince {
		if orphans[address] == nil || a.membership.SidecarOf(address) != nil {
			delete(a.orphanedSince, address)
		}
	}
	for address, server := range orphans {
		if a.adopted[address] != nil || a.membership.SidecarOf(address) != nil {
			continue
		}
		since, ok := a.orphanedSince[address]
		if !ok {
			since = now
			a.orphanedSince[address] = now
		}
		if now-since >= adoptionDelay {
			a.adopt(ctx, server)
		}
	}
	for address, e := range a.adopted {
		switch {
		case e.hasSidecar.Load():
			a.release(address, "the engine has a sidecar")
			a.orphanedSince[address] = now + sidecarRetryDelay
		case !e.mayBeHolder():
			a.release(address, "another process orders it")
		case !a.relayer.Active():
			a.release(address, "this process is no longer a relay")
		}
	}
	a.setStoreIntervals()
}

// releaseEarlier releases all engines once the store has come back from an earlier copy of itself:
// it may have lost the rows of this process, and those of sidecars, which get adoptionDelay anew to
// write theirs again.
func (a *adopter) releaseEarlier() {
	era := a.store.Era()
	if era == a.era {
		return
	}
	a.era = era
	for address := range a.adopted {
		a.release(address, "the store came back from a copy")
	}
	clear(a.orphanedSince)
}

// setStoreIntervals sets how often the rows of the processes and the holders are read:
// most often while this process orders adopted engines, since its proof of holding them
// comes from these reads, less often in a relay, and least in other processes.
func (a *adopter) setStoreIntervals() {
	switch {
	case len(a.adopted) > 0:
		interval := time.Duration(a.settings.Load().Hosted.EngineLease) / holderReadsPerLease
		a.fleet.SetIntervals(interval, interval)
	case a.relayer.Active():
		a.fleet.SetIntervals(relayFleetLongPollTimeout, fleetMinInterval)
	default:
		a.fleet.SetIntervals(fleetLongPollTimeout, fleetMinInterval)
	}
}

// adopt starts to order an engine in place of a sidecar.
func (a *adopter) adopt(ctx context.Context, server *wire.ListedServer) {
	address, s := server.GetAddress(), a.settings.Load()
	a.log.Info().Str("server", server.GetId()).Str("address", address).Msg("engine: adopted")
	started := time.Now().UnixNano()
	e := &adoptedEngine{
		process:   a.hostedProcess,
		ownership: newOwnership(a.clock, address, holderRow{Holder: s.Name, Started: started, Adopted: true}, time.Duration(s.Hosted.EngineLease), a),
		done:      make(chan struct{}),
	}
	options := orderer.Options{Holder: s.Name, Pool: server.GetPool(), Address: address, Started: started, BusyPollInterval: remoteBusyPollInterval, IdlePollInterval: remoteIdlePollInterval}
	e.Orderer = orderer.New(options, a.clock, platform.NewEngine(address), e, a.config, a.meter, a.log)
	ctx, e.cancel = context.WithCancel(ctx)
	a.adopted[address] = e
	a.tasks.run(func(context.Context) {
		defer close(e.done)
		e.run(ctx, server)
	})
}

// release stops the orders to an adopted engine.
func (a *adopter) release(address, cause string) {
	e := a.adopted[address]
	delete(a.adopted, address)
	delete(a.orphanedSince, address)
	e.cancel()
	a.log.Info().Str("address", address).Str("cause", cause).Msg("engine: left")
}

// run acquires the engine and orders it until ctx ends. It returns early if the
// engine has a sidecar.
func (e *adoptedEngine) run(ctx context.Context, server *wire.ListedServer) {
	err := retryUntilSuccess(ctx, e.process.log, "acquiring an engine without a sidecar", func(ctx context.Context) error {
		err := e.reacquire(ctx, e.process.store)
		var sidecarErr *HasSidecarError
		if errors.As(err, &sidecarErr) {
			e.hasSidecar.Store(true)
			return nil
		}
		return err
	})
	if err != nil || e.hasSidecar.Load() {
		return
	}
	self := &wire.Link{
		Name: e.self.Holder + "/" + server.GetAddress(), Role: relayer.Sidecar, Centre: server.GetCentre(), Started: e.self.Started,
		Backend: server.GetAddress(),
	}
	link := subscriber.New(e.process.subscriberHost(), self, server.GetCentre(), subscriber.SidecarTiming, e.Orderer)
	go link.Run(ctx)
	if e.takeoverWait > 0 {
		go e.confirm(ctx, e.process.store, e.process.log)
	}
	e.Orderer.Run(ctx)
	<-link.Done()
}

// mayBeHolder reports whether the engine's holder row may still name this process, that
// is, whether no version of it is known that is newer than the one acquired and names another.
func (e *adoptedEngine) mayBeHolder() bool {
	row, ok := e.process.fleet.Row(e.key)
	fence := e.ownership.fence.Load()
	return fence == 0 || !ok || row.Version <= fence || decodeHolder(row).sameProcess(e.self)
}

// proofFraction is the fraction of a lease for which a read of the holder row proves
// that it names this process. The rest of the lease is for orders in flight.
const proofFraction = 0.8

// Fence implements orderer.Directory. It returns 0 unless the holder row is known to
// have named this process within proofFraction of a lease: a sidecar may acquire the
// engine at any time, and then waits for a lease before its first order.
func (e *adoptedEngine) Fence() uint64 {
	completeAsOf, _ := e.process.fleet.CompleteAsOf()
	if !e.mayBeHolder() || e.clock()-completeAsOf >= time.Duration(proofFraction*float64(e.lease)) {
		return 0
	}
	return e.ownership.Fence()
}

// ServerID implements orderer.Directory. It knows no IDs: the relay's assignments name
// the engine.
func (e *adoptedEngine) ServerID(context.Context, string, int64) (string, error) { return "", nil }
