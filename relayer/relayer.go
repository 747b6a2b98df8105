package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/limiter"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Times of the tasks of a relay.
const (
	// spacing is the shortest time between two rounds of batches, and linkSpacing what
	// each link adds to it.
	spacing     = 4 * time.Millisecond
	linkSpacing = 250 * time.Microsecond
	// lookPeriod is between two looks for processes that are silent.
	lookPeriod = 40 * time.Millisecond
)

// Relayer is the relay in a process. It is safe for concurrent use.
type Relayer struct {
	self  *wire.Link
	clock timer.Clock
	log   *log.Logger
	kick  chan struct{}
	done  chan struct{}

	mu    sync.Mutex
	board *FleetState
	outs  map[uint64]chan *wire.Batch
	// busy is set while processes other than relays are linked, since the instant
	// since.
	busy  bool
	since time.Duration
	// follows is the relay that this process itself uses, or empty.
	follows string
}

// New returns the relay of a process, named as it links to others, to which nobody is
// linked.
func New(self *wire.Link, clock timer.Clock, c *configurer.Configurer, l *log.Logger) *Relayer {
	return &Relayer{
		self:  self,
		clock: clock,
		log:   l,
		kick:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		board: NewFleetState(self.GetName(), self.GetCentre(), c, l),
		outs:  map[uint64]chan *wire.Batch{},
	}
}

// Done is closed when Run has returned.
func (r *Relayer) Done() <-chan struct{} { return r.done }

// Handle answers the link of a process until it ends.
func (r *Relayer) Handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	l := call.GetLink()
	if l == nil {
		_ = s.Send(refuser.New(refuser.Invalid, "a relay does not answer this call").Reply())
		return
	}
	if name := r.other(); name != "" && !l.GetLast() {
		_ = s.Send(refuser.New(refuser.Conflict, "the relay in use is "+name).Reply())
		return
	}
	id, out := r.join(l)
	defer r.leave(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		r.hear(id, s)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Context().Done():
			return
		case t, ok := <-out:
			if !ok || s.Send(&wire.Reply{Body: &wire.Reply_Batch{Batch: t}}) != nil {
				return
			}
		}
	}
}

// Follow takes note of the relay that this process itself uses, or of none.
func (r *Relayer) Follow(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follows = name
}

// other returns the relay that this process uses, if that is another process.
func (r *Relayer) other() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.follows == r.self.GetName() {
		return ""
	}
	return r.follows
}

// join links a process and returns what is for it.
func (r *Relayer) join(l *wire.Link) (uint64, <-chan *wire.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.board.Join(r.clock(), l)
	out := make(chan *wire.Batch, 1)
	r.outs[id] = out
	r.Wake()
	return id, out
}

// leave ends a link.
func (r *Relayer) leave(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outs, id)
	r.board.Leave(r.clock(), id)
	r.Wake()
}

// hear takes the reports on a link until it ends.
func (r *Relayer) hear(id uint64, s peer.Stream) {
	for {
		call, err := s.Next()
		if err != nil || call.GetReport() == nil {
			return
		}
		r.mu.Lock()
		linked := r.board.Report(r.clock(), id, call.GetReport())
		r.mu.Unlock()
		if !linked {
			return
		}
		r.Wake()
	}
}

// Wake makes Run tell what is new soon.
func (r *Relayer) Wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Run tells the processes that are linked what is new, until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	defer close(r.done)
	look := time.NewTicker(lookPeriod)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		case <-look.C:
		}
		r.round()
		time.Sleep(r.pause())
	}
}

// pause is the time between two rounds of batches.
func (r *Relayer) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return spacing + time.Duration(r.board.Links())*linkSpacing
}

// round hands out the batches that are due. A process that has not taken its last one
// gets the next one later.
func (r *Relayer) round() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.board.Tick(now)
	r.use(now)
	if len(r.outs) == 0 {
		return
	}
	for _, id := range r.board.Due(now) {
		out := r.outs[id]
		if out == nil || len(out) > 0 {
			continue
		}
		out <- r.board.Batch(now, id)
	}
}

// use takes note of whether the relay is in use.
func (r *Relayer) use(now time.Duration) {
	busy := r.board.Serving()
	if busy == r.busy {
		return
	}
	r.busy, r.since = busy, now
	r.log.Info().Bool("busy", busy).Msg("relay: in use or not")
}

// restTime is how long a relay without processes goes on as one.
const restTime = 2 * time.Second

// Active reports whether processes are linked to this relay, or were just now.
func (r *Relayer) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy || r.since > 0 && r.clock()-r.since < restTime
}

// ReadsServerList reports whether this relay is to read the list of backend servers for all, and
// the age of the list that it knows.
func (r *Relayer) ReadsServerList() (lists bool, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.ReadsServerList(r.clock())
}

// SetLimits brings limits into force.
func (r *Relayer) SetLimits(limits []limiter.Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.SetLimits(r.clock(), limits)
}

// UpdateServers takes changes of the list of backend servers, which was complete as of an
// instant.
func (r *Relayer) UpdateServers(proven time.Duration, items []*wire.ListedServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.UpdateServers(proven, items)
	r.Wake()
}

// Orphans returns the engines for which no sidecar speaks, by address, while this relay
// is in use.
func (r *Relayer) Orphans() map[string]*wire.ListedServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.busy {
		return nil
	}
	return r.board.Orphans()
}

// UpdateMembers takes changes of the list of processes.
func (r *Relayer) UpdateMembers(members []*wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.UpdateMembers(members)
}

// ReportingSidecars returns the number of engines whose sidecars are heard, and that of the
// processes linked.
func (r *Relayer) ReportingSidecars() (engines, links int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.ReportingSidecars(r.clock()), r.board.Links()
}
