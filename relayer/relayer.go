package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/limiter"
	"oleanderstall/pacer"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Intervals of a relay's tasks.
const (
	// roundInterval is the shortest time between two rounds of batches; each link adds
	// roundIntervalPerLink.
	roundInterval        = 4 * time.Millisecond
	roundIntervalPerLink = 250 * time.Microsecond
	// tickInterval is the period of the rounds while nothing wakes Run. Each round also
	// checks for processes that no longer report.
	tickInterval = 40 * time.Millisecond
)

// Relayer is the relay in a process. Every process has one, which is in use while other
// processes link to it. It is safe for concurrent use.
type Relayer struct {
	self  *wire.Link
	clock timer.Clock
	log   *log.Logger
	wake  chan struct{}
	done  chan struct{}

	mu    sync.Mutex
	state *FleetState
	// outgoing holds the channel of each link for the next batch, by link ID.
	outgoing map[uint64]chan *wire.Batch
	// serving is set while processes other than relays are linked. servingChangedAt is the
	// instant of its latest change, 0 before the first.
	serving          bool
	servingChangedAt time.Duration
	// relayInUse is the name of the relay that this process itself uses, or empty.
	relayInUse string
}

// New returns the relay of a process without links. self describes the process as in its
// own links to other relays.
func New(self *wire.Link, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Relayer {
	return &Relayer{
		self:     self,
		clock:    clock,
		log:      l,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		state:    NewFleetState(self.GetName(), self.GetCentre(), c, l),
		outgoing: map[uint64]chan *wire.Batch{},
	}
}

// ScaleByLoad turns on load-based scaling for all pools. Otherwise it is turned on for each pool when
// one of its servers states how long work takes there.
func (r *Relayer) ScaleByLoad() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.allocator.ScaleByLoad("")
}

// Done returns a channel that is closed when Run has returned.
func (r *Relayer) Done() <-chan struct{} { return r.done }

// Handle serves the link of a process until it ends. It refuses a link while this process
// uses another relay, unless the caller found no preferred relay that answers.
func (r *Relayer) Handle(ctx context.Context, call *wire.Call, stream peer.Stream) {
	link := call.GetLink()
	if link == nil {
		_ = stream.Send(refuser.New(refuser.InvalidRequest, "a relay does not answer this call").Reply())
		return
	}
	if name := r.otherRelayInUse(); name != "" && !link.GetLast() {
		_ = stream.Send(refuser.New(refuser.Conflict, "the relay in use is "+name).Reply())
		return
	}
	id, batches := r.addLink(link)
	defer r.removeLink(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		r.readReports(id, stream)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case batch, ok := <-batches:
			if !ok || stream.Send(&wire.Reply{Body: &wire.Reply_Batch{Batch: batch}}) != nil {
				return
			}
		}
	}
}

// SetRelayInUse sets the name of the relay that this process itself uses, empty for none.
func (r *Relayer) SetRelayInUse(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayInUse = name
	r.state.SetRelayInUse(name)
}

// otherRelayInUse returns the name of the relay that this process uses, or an empty one if
// it uses none or its own.
func (r *Relayer) otherRelayInUse() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relayInUse == r.self.GetName() {
		return ""
	}
	return r.relayInUse
}

// addLink adds the link of a process and returns the link's ID and the channel of its
// batches.
func (r *Relayer) addLink(link *wire.Link) (uint64, <-chan *wire.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.state.Join(r.clock(), link)
	batches := make(chan *wire.Batch, 1)
	r.outgoing[id] = batches
	r.Wake()
	return id, batches
}

// removeLink removes a link that has ended.
func (r *Relayer) removeLink(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outgoing, id)
	r.state.Leave(r.clock(), id)
	r.Wake()
}

// readReports records the reports on a link until it ends.
func (r *Relayer) readReports(id uint64, stream peer.Stream) {
	for {
		call, err := stream.RecvCall()
		if err != nil || call.GetReport() == nil {
			return
		}
		r.mu.Lock()
		linked := r.state.Report(r.clock(), id, call.GetReport())
		r.mu.Unlock()
		if !linked {
			return
		}
		r.Wake()
	}
}

// Wake makes Run start the next round of batches soon.
func (r *Relayer) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends batches to the linked processes until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
		}
		r.sendBatches()
		time.Sleep(r.roundPause())
	}
}

// roundPause returns the pause before the next round of batches.
func (r *Relayer) roundPause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return roundInterval + time.Duration(r.state.Links())*roundIntervalPerLink
}

// sendBatches queues the batches that are due. It skips a process that has not yet taken
// its last one.
func (r *Relayer) sendBatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.state.Tick(now)
	r.updateServing(now)
	if len(r.outgoing) == 0 {
		return
	}
	for _, id := range r.state.Due(now) {
		batches := r.outgoing[id]
		if batches == nil || len(batches) > 0 {
			continue
		}
		batches <- r.state.Batch(now, id)
	}
}

// updateServing records and logs whether the relay is in use.
func (r *Relayer) updateServing(now time.Duration) {
	serving := r.state.Serving()
	if serving == r.serving {
		return
	}
	r.serving, r.servingChangedAt = serving, now
	r.log.Info().Bool("busy", serving).Msg("relay: in use or not")
}

// activeGrace is how long a relay stays active after its last process has left.
const activeGrace = 2 * time.Second

// Active reports whether processes other than relays are linked to this relay, or the last
// of them left less than activeGrace ago.
func (r *Relayer) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving || r.servingChangedAt > 0 && r.clock()-r.servingChangedAt < activeGrace
}

// ReadsServerList reports whether this relay is the one that reads the list of backend
// servers for the fleet, and the time since the list known here was complete.
func (r *Relayer) ReadsServerList() (reads bool, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ReadsServerList(r.clock())
}

// SetLimits replaces the limits of the workspaces.
func (r *Relayer) SetLimits(limits []limiter.Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetLimits(r.clock(), limits)
}

// UpdateServers applies changes to the list of backend servers, which was complete as of
// the instant completeAsOf.
func (r *Relayer) UpdateServers(completeAsOf time.Duration, servers []*wire.ListedServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.latest = max(r.state.latest, r.clock())
	r.state.UpdateServers(completeAsOf, servers)
	r.Wake()
}

// SetEra records the latest era of the platform's store that this process has heard of. It returns
// the latest one that any relay has.
func (r *Relayer) SetEra(era uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetEra(era)
	return r.state.era
}

// SetConfigFresh records that the configuration here was the newest as of an instant. It returns
// the time since the latest such instant that any relay knows.
func (r *Relayer) SetConfigFresh(asOf time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.SetConfigFresh(r.clock(), asOf)
}

// NewerConfig returns the version of the newest configuration that another relay has, and the
// relay's address. The version is 0 if none is newer than the one here.
func (r *Relayer) NewerConfig() (version uint64, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.NewerConfig()
}

// Permit answers a request for a permit to send a request to a backend server. An error is a
// *refuser.Refusal.
func (r *Relayer) Permit(request *wire.PermitRequest) (*wire.Permit, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Permit(r.clock(), request)
}

// SetColdTiming sets how permits for cold servers may be used.
func (r *Relayer) SetColdTiming(t pacer.ColdTiming) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.coldTiming = t
}

// ColdPermits returns the number of permits that this relay has given out for cold servers.
func (r *Relayer) ColdPermits() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.coldPermits
}

// UpdateEvacuated replaces the evacuated data centres by a set that is complete as of a version of the
// store's table, unless a newer one is known.
func (r *Relayer) UpdateEvacuated(version uint64, centres []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.UpdateEvacuated(r.clock(), version, centres)
	r.Wake()
}

// MergeSavedCrashes adds the records of crashes that were read from the store.
func (r *Relayer) MergeSavedCrashes(crashes []*wire.Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.MergeSavedCrashes(r.clock(), crashes)
	r.Wake()
}

// Crashes returns all records of crashes.
func (r *Relayer) Crashes() []*wire.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Crashes(r.clock())
}

// CrashRevision returns how often records of crashes have changed that processes linked to this
// relay reported.
func (r *Relayer) CrashRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.CrashRevision()
}

// Orphans returns the engines without a reporting sidecar in the data centres that this
// relay serves, by address, or nil if this relay is not in use.
func (r *Relayer) Orphans() map[string]*wire.ListedServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.serving {
		return nil
	}
	return r.state.Orphans()
}

// UpdateMembers applies changes to the list of processes.
func (r *Relayer) UpdateMembers(members []*wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.UpdateMembers(members)
}

// ReportingSidecars returns the number of engines whose sidecars report, and the number of
// links.
func (r *Relayer) ReportingSidecars() (engines, links int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ReportingSidecars(r.clock()), r.state.Links()
}
