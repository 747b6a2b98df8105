// Package subscriber keeps a process linked to the relay of a data centre: it finds the
// relay, changes to another one when that falls silent, and carries reports there and
// batches back.
package subscriber

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Times of a link.
const (
	// openLimit bounds the opening of a link, its first batch included.
	openLimit = 800 * time.Millisecond
	// openStagger is the time after which the next relay is tried beside one that has
	// not answered.
	openStagger = 150 * time.Millisecond
	// spacing is the shortest time between two reports.
	spacing = 10 * time.Millisecond
	// betterPeriod is between two looks for a relay that goes before the one in use.
	betterPeriod = time.Second
	// idlePause is between two looks for a relay while none is known.
	idlePause = 100 * time.Millisecond
)

// Timing are the times that depend on the role of the process that is linked.
type Timing struct {
	// Heartbeat is the longest time between two reports.
	Heartbeat time.Duration
	// Timeout is how long the relay may be silent, or not confirm a report, before the
	// link ends.
	Timeout time.Duration
}

// Paces of the roles.
var (
	EntryTiming   = Timing{Heartbeat: 100 * time.Millisecond, Timeout: 650 * time.Millisecond}
	SidecarTiming = Timing{Heartbeat: 300 * time.Millisecond, Timeout: 900 * time.Millisecond}
)

// Process is the process that is linked.
type Process interface {
	// Report returns what is to be told to the relay; whole is set for the first report
	// of a link.
	Report(now time.Duration, whole bool) *wire.Report
	// Receive takes a batch of a relay at an address; first is set for the first one of a
	// link.
	Receive(now time.Duration, address string, t *wire.Batch, first bool)
	// LinkLost is told of the end of a link, with the reports that were not confirmed.
	LinkLost(now time.Duration, relay string, reports []*wire.Report)
	// Changed is signalled when there is something to report at once.
	Changed() <-chan struct{}
}

// Subscriber keeps one link. It is safe for concurrent use.
type Subscriber struct {
	self  *wire.Link
	pace  Timing
	clock timer.Clock
	dial  peer.Joiner
	// host is the name of this process, and local answers a link of it to itself.
	host  string
	local peer.Handler
	book  *Membership
	desk  Process
	log   *log.Logger
	done  chan struct{}
	// begun is the instant at which the process began to look for a relay.
	begun time.Duration

	mu sync.Mutex
	// relay is the one in use, heard the instant of its latest batch.
	relay string
	heard time.Duration
	// centre is the data centre whose relay is wanted.
	centre string
}

// Host is the process that a subscriber runs in.
type Host struct {
	Name  string
	Clock timer.Clock
	// Joiner opens links to other processes, and Local answers one to this process.
	Joiner peer.Joiner
	Local  peer.Handler
	// Book knows the processes of the fleet.
	Book *Membership
	Log  *log.Logger
}

// New returns a subscriber to the relay of a data centre, without a link.
func New(h Host, self *wire.Link, centre string, p Timing, d Process) *Subscriber {
	return &Subscriber{
		self: self, centre: centre, pace: p, clock: h.Clock, dial: h.Joiner, host: h.Name, local: h.Local, book: h.Book,
		desk: d, log: h.Log, done: make(chan struct{}), begun: h.Clock(),
	}
}

// Done is closed when Run has returned.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// LastBatch returns the instant of the latest batch, and false if there is no link.
func (s *Subscriber) LastBatch() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard, s.relay != ""
}

// Relay returns the name of the relay in use, or an empty one.
func (s *Subscriber) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// Run keeps the link until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer close(s.done)
	var next *session
	for ctx.Err() == nil {
		if next == nil {
			next = s.open(ctx, "")
		}
		if next == nil {
			timer.Wait(ctx, idlePause, nil)
			continue
		}
		next = s.serve(ctx, next)
	}
	if next != nil {
		next.end()
	}
}

// open opens a link to a relay of those that go before one, or returns nil. Relays are
// tried in their order. One that has not answered for a while has the next one tried
// beside it, which only takes the link if it uses no other relay itself.
func (s *Subscriber) open(ctx context.Context, before string) *session {
	ranked := s.book.RelayCandidates(s.clock(), s.centre, before)
	answers := make(chan answer)
	running := 0
	defer func() { go drain(answers, running) }()
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	for {
		select {
		case <-stagger.C:
			if len(ranked) > 0 {
				m, last := ranked[0], running == 0
				ranked, running = ranked[1:], running+1
				go func() { answers <- s.try(ctx, m, last) }()
				stagger.Reset(openStagger)
			}
		case a := <-answers:
			running--
			if a.session != nil {
				return a.session
			}
			if a.follows {
				ranked = slices.Insert(ranked, 0, a.member)
				stagger.Stop()
			}
			if !a.follows || running == 0 {
				stagger.Reset(0)
			}
		}
		if ctx.Err() != nil || running == 0 && len(ranked) == 0 {
			return nil
		}
	}
}

// answer is the outcome of a try.
type answer struct {
	member  *wire.Member
	session *session
	// follows is set if the process uses another relay.
	follows bool
}

// drain ends the links that opened too late.
func drain(answers <-chan answer, running int) {
	for range running {
		if a := <-answers; a.session != nil {
			a.session.end()
		}
	}
}

// try opens a link to one process. One that does not answer is passed over for a while;
// last is set if all that go before it have not answered.
func (s *Subscriber) try(ctx context.Context, m *wire.Member, last bool) answer {
	begun := s.clock()
	x, err := s.attempt(ctx, m, last)
	switch {
	case err == nil:
		s.book.MarkResponsive(m.GetName())
		return answer{member: m, session: x}
	case refuser.Is(err, refuser.Conflict):
		return answer{member: m, follows: true}
	case ctx.Err() == nil:
		s.book.MarkUnresponsive(s.clock(), m.GetName())
		s.log.Info().Str("relay", m.GetName()).Str("address", m.GetAddress()).Err(err).
			Int64("took", (s.clock() - begun).Milliseconds()).Msg("relay: does not answer")
	}
	return answer{member: m}
}

// attempt opens a link to one process and waits for its first batch.
func (s *Subscriber) attempt(ctx context.Context, m *wire.Member, last bool) (*session, error) {
	ctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(openLimit, cancel)
	link := proto.Clone(s.self).(*wire.Link)
	link.Last, link.Age = last, timer.ToMillis(s.clock()-s.begun)
	call := &wire.Call{Body: &wire.Call_Link{Link: link}}
	x := &session{member: m, cancel: cancel, begun: s.clock(), batches: make(chan *wire.Batch, 1)}
	var err error
	if m.GetName() == s.host {
		x.stream = peer.Pipe(ctx, s.local, call)
	} else if x.stream, err = s.dial.Join(ctx, m.GetAddress(), call); err != nil {
		cancel()
		return nil, err
	}
	if x.first, err = x.receive(); err != nil {
		x.end()
		return nil, err
	}
	if !late.Stop() {
		x.end()
		return nil, context.DeadlineExceeded
	}
	if got := x.first.GetRelay(); got != m.GetName() {
		x.end()
		return nil, &NameError{Want: m.GetName(), Got: got}
	}
	return x, nil
}

// serve uses a link until it is lost or one to a better relay is open, which it returns.
func (s *Subscriber) serve(ctx context.Context, x *session) *session {
	s.begin(x)
	go x.read()
	better := s.improve(ctx, x)
	watch := time.NewTicker(s.pace.Timeout / 4)
	defer watch.Stop()
	report := time.NewTimer(s.pace.Heartbeat)
	defer report.Stop()
	changed := s.desk.Changed()
	for {
		select {
		case <-ctx.Done():
			s.finish(x, "the process stops")
			return nil
		case next := <-better:
			s.finish(x, "another relay goes before it")
			return next
		case t, ok := <-x.batches:
			if !ok {
				s.book.MarkUnresponsive(s.clock(), x.member.GetName())
				s.finish(x, "the link broke")
				return nil
			}
			s.take(x, t, false)
		case <-watch.C:
			if x.silent(s.clock(), s.pace.Timeout) {
				s.book.MarkUnresponsive(s.clock(), x.member.GetName())
				s.finish(x, "the relay is silent")
				return nil
			}
		case <-changed:
			changed = nil
			report.Reset(max(0, x.reported+spacing-s.clock()))
		case <-report.C:
			changed = s.desk.Changed()
			report.Reset(s.pace.Heartbeat)
			s.report(x, false)
		}
	}
}

// begin begins the use of a link.
func (s *Subscriber) begin(x *session) {
	s.log.Info().Str("relay", x.member.GetName()).Str("address", x.member.GetAddress()).Str("centre", s.centre).
		Uint32("links", x.first.GetLinks()).Msg("relay: linked")
	s.take(x, x.first, true)
	s.report(x, true)
}

// take takes a batch.
func (s *Subscriber) take(x *session, t *wire.Batch, first bool) {
	now := s.clock()
	x.hear(now, t)
	s.mu.Lock()
	s.relay, s.heard = x.member.GetName(), now
	s.mu.Unlock()
	s.desk.Receive(now, x.member.GetAddress(), t, first)
}

// report sends a report.
func (s *Subscriber) report(x *session, whole bool) {
	now := s.clock()
	x.report(now, s.desk.Report(now, whole))
}

// finish ends the use of a link.
func (s *Subscriber) finish(x *session, cause string) {
	x.end()
	s.mu.Lock()
	s.relay = ""
	s.mu.Unlock()
	s.log.Info().Str("relay", x.member.GetName()).Str("cause", cause).
		Int64("heard", (s.clock()-x.heard).Milliseconds()).Int("unconfirmed", len(x.unconfirmed)).Msg("relay: link ended")
	s.desk.LinkLost(s.clock(), x.member.GetName(), x.unconfirmed)
}

// improve looks for relays that go before the one in use until one answers, which it
// sends.
func (s *Subscriber) improve(ctx context.Context, x *session) <-chan *session {
	found := make(chan *session)
	go func() {
		for timer.Wait(ctx, betterPeriod, nil) && x.open() {
			next := s.open(ctx, x.member.GetName())
			if next == nil {
				continue
			}
			select {
			case found <- next:
			case <-x.stream.Context().Done():
				next.end()
			case <-ctx.Done():
				next.end()
			}
			return
		}
	}()
	return found
}
