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

// Times of the care for engines without a sidecar.
const (
	adoptPeriod = 500 * time.Millisecond
	// adoptAfter is how long no sidecar may speak for an engine beside which none was
	// ever started, and sidecarTime how long one that has a sidecar is not tried again.
	adoptAfter  = 3 * time.Second
	sidecarTime = 15 * time.Second
	// remoteBusy and remoteIdle are between two looks at an engine on another instance.
	remoteBusy = 60 * time.Millisecond
	remoteIdle = 400 * time.Millisecond
)

// proofParts is the part of a lease in which the rows of the holders are read again
// while this process orders engines in the place of sidecars.
const proofParts = 3

// adopter orders the engines that never had a sidecar, in a process that is a relay. One
// whose sidecar is lost waits for that to start again.
type adopter struct {
	*hosted
	// orphans holds the instants since which an engine is known to have no sidecar, by
	// address, and keepers the engines that this process orders.
	orphans map[string]time.Duration
	keepers map[string]*keeper
}

// keeper orders one engine in the place of a sidecar.
type keeper struct {
	*orderer.Orderer
	*tenure
	hosted *hosted
	cancel context.CancelFunc
	done   chan struct{}
	// sidecar is set once the engine is found to have one.
	sidecar atomic.Bool
}

// adopt looks after engines without a sidecar until ctx ends.
func (h *hosted) adopt(ctx context.Context) {
	a := &adopter{hosted: h, orphans: map[string]time.Duration{}, keepers: map[string]*keeper{}}
	tick := time.NewTicker(adoptPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for address := range a.keepers {
				a.leave(address, "the process stops")
			}
			return
		case <-tick.C:
			a.look(ctx, h.clock())
		}
	}
}

// look takes engines that nobody orders, and leaves those that have a sidecar again.
func (a *adopter) look(ctx context.Context, now time.Duration) {
	orphans := a.relayer.Orphans()
	for address := range a.orphans {
		if orphans[address] == nil || a.book.SidecarOf(address) != nil {
			delete(a.orphans, address)
		}
	}
	for address, it := range orphans {
		if a.keepers[address] != nil || a.book.SidecarOf(address) != nil {
			continue
		}
		since, ok := a.orphans[address]
		if !ok {
			since = now
			a.orphans[address] = now
		}
		if now-since >= adoptAfter {
			a.take(ctx, it)
		}
	}
	for address, k := range a.keepers {
		switch {
		case k.sidecar.Load():
			a.leave(address, "it has a sidecar")
			a.orphans[address] = now + sidecarTime
		case !k.holds():
			a.leave(address, "another process orders it")
		case !a.relayer.Active():
			a.leave(address, "this process is no relay any more")
		}
	}
	a.pace()
}

// pace sets how often the rows of the processes and the holders are read: the sooner, the
// more depends on them.
func (a *adopter) pace() {
	switch {
	case len(a.keepers) > 0:
		pace := time.Duration(a.settings.Load().Hosted.Lease) / proofParts
		a.fleet.SetIntervals(pace, pace)
	case a.relayer.Active():
		a.fleet.SetIntervals(relayWait, fleetPeriod)
	default:
		a.fleet.SetIntervals(fleetWait, fleetPeriod)
	}
}

// take begins to order an engine.
func (a *adopter) take(ctx context.Context, it *wire.ListedServer) {
	address, s := it.GetAddress(), a.settings.Load()
	a.log.Info().Str("server", it.GetId()).Str("address", address).Msg("engine: adopted")
	started := time.Now().UnixNano()
	k := &keeper{
		hosted: a.hosted,
		tenure: newTenure(a.clock, address, holderRow{Holder: s.Name, Started: started, Adopted: true}, time.Duration(s.Hosted.Lease)),
		done:   make(chan struct{}),
	}
	terms := orderer.Options{Holder: s.Name, Pool: it.GetPool(), Address: address, Started: started, Busy: remoteBusy, Idle: remoteIdle}
	k.Orderer = orderer.New(terms, a.clock, platform.NewEngine(address), k, a.copy, a.meter, a.log)
	ctx, k.cancel = context.WithCancel(ctx)
	a.keepers[address] = k
	a.tasks.run(func(context.Context) {
		defer close(k.done)
		k.run(ctx, it)
	})
}

// leave ends the orders to an engine.
func (a *adopter) leave(address, cause string) {
	k := a.keepers[address]
	delete(a.keepers, address)
	delete(a.orphans, address)
	k.cancel()
	a.log.Info().Str("address", address).Str("cause", cause).Msg("engine: left")
}

// run takes the engine and orders it until ctx ends.
func (k *keeper) run(ctx context.Context, it *wire.ListedServer) {
	err := insist(ctx, k.hosted.log, "taking an engine without a sidecar", func(ctx context.Context) error {
		err := k.again(ctx, k.hosted.store)
		var held *SidecarError
		if errors.As(err, &held) {
			k.sidecar.Store(true)
			return nil
		}
		return err
	})
	if err != nil || k.sidecar.Load() {
		return
	}
	self := &wire.Link{
		Name: k.self.Holder + "/" + it.GetAddress(), Role: relayer.Sidecar, Centre: it.GetCentre(), Started: k.self.Started,
		Backend: it.GetAddress(),
	}
	link := subscriber.New(k.hosted.host(), self, it.GetCentre(), subscriber.SidecarTiming, k.Orderer)
	go link.Run(ctx)
	k.Orderer.Run(ctx)
	<-link.Done()
}

// holds reports whether the engine's row may still name this process.
func (k *keeper) holds() bool {
	row, ok := k.hosted.fleet.Row(k.key)
	taken := k.tenure.fence.Load()
	return taken == 0 || !ok || row.Version <= taken
}

// provenPart is the part of a lease for which the proof that a row names this process
// counts; the rest is for orders on their way.
const provenPart = 0.8

// Fence implements orderer.Directory. The row has to have named this process less than a
// lease ago, since a sidecar may take it at any time and then waits for a lease.
func (k *keeper) Fence() uint64 {
	proven, _ := k.hosted.fleet.Proven()
	if !k.holds() || k.clock()-proven >= time.Duration(provenPart*float64(k.lease)) {
		return 0
	}
	return k.tenure.Fence()
}

// Server implements orderer.Directory. Only a relay tells of the engine.
func (k *keeper) Server(context.Context, string, int64) (string, error) { return "", nil }
