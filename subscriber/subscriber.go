// Package subscriber keeps a process linked to the relay of a data centre. It finds the
// relay, switches to another one when the relay stops responding, and transfers the reports
// of the process and the batches of the relay.
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

// Times that apply to every link.
const (
	// openTimeout bounds the time to open a link, up to its first batch.
	openTimeout = 800 * time.Millisecond
	// openStagger is the time after which the next candidate is tried concurrently with
	// one that has not answered.
	openStagger = 150 * time.Millisecond
	// minReportInterval is the shortest time between two reports.
	minReportInterval = 10 * time.Millisecond
	// preferredInterval is the time between two attempts to link to a relay that is
	// preferred to the one in use.
	preferredInterval = time.Second
	// retryInterval is the time between two attempts to find a relay while none is in use.
	retryInterval = 100 * time.Millisecond
)

// Timing holds the times of a link that depend on the role of the linked process.
type Timing struct {
	// Heartbeat is the longest time between two reports.
	Heartbeat time.Duration
	// Timeout is how long the relay may send no batch, or not confirm a report, before the
	// link is closed.
	Timeout time.Duration
}

// Timings of the roles; a relay uses that of an entry.
var (
	EntryTiming   = Timing{Heartbeat: 100 * time.Millisecond, Timeout: 650 * time.Millisecond}
	SidecarTiming = Timing{Heartbeat: 300 * time.Millisecond, Timeout: 900 * time.Millisecond}
)

// Process is the linked process, which makes the reports and handles the batches.
type Process interface {
	// Report returns the next report to the relay. The first report of a link must be
	// complete; later ones hold what has changed.
	Report(now time.Duration, complete bool) *wire.Report
	// Receive handles a batch from the relay at an address; first is set for the first
	// batch of a link.
	Receive(now time.Duration, address string, batch *wire.Batch, first bool)
	// LinkLost handles the end of the link to the named relay. The reports are those that
	// the relay has not confirmed.
	LinkLost(now time.Duration, relay string, reports []*wire.Report)
	// Changed returns the channel that signals a change to report at once, or nil.
	Changed() <-chan struct{}
}

// Subscriber keeps a process linked to one relay at a time. It is safe for concurrent use.
type Subscriber struct {
	self   *wire.Link
	timing Timing
	clock  timer.Clock
	caller peer.DuplexCaller
	// hostName is the name of the process that the subscriber runs in, and local handles a
	// link of this process to itself.
	hostName   string
	local      peer.Handler
	membership *Membership
	excluded   func(name string) bool
	process    Process
	log        *log.Logger
	done       chan struct{}
	// startedAt is the instant at which the subscriber was made. A link reports the time
	// since then as the age of the process.
	startedAt time.Duration

	mu sync.Mutex
	// relay is the name of the relay in use, lastBatchAt the instant of its latest batch.
	relay       string
	lastBatchAt time.Duration
	// centre is the data centre whose relay is to be used. It does not change after New.
	centre string
}

// Host is the process that a subscriber runs in.
type Host struct {
	Name  string
	Clock timer.Clock
	// Caller opens links to other processes, and Local handles one to this process.
	Caller peer.DuplexCaller
	Local  peer.Handler
	// Membership holds the processes of the fleet. Excluded reports whether one of them is not
	// to be used as the relay, and is nil if all are.
	Membership *Membership
	Excluded   func(name string) bool
	Log        *log.Logger
}

// New returns a subscriber to the relay of a data centre, without a link. self describes the
// process that is to be linked.
func New(h Host, self *wire.Link, centre string, timing Timing, process Process) *Subscriber {
	return &Subscriber{
		self: self, centre: centre, timing: timing, clock: h.Clock, caller: h.Caller, hostName: h.Name, local: h.Local, membership: h.Membership, excluded: h.Excluded,
		process: process, log: h.Log, done: make(chan struct{}), startedAt: h.Clock(),
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// LastBatch returns the instant of the latest batch. It returns false if there is no link.
func (s *Subscriber) LastBatch() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastBatchAt, s.relay != ""
}

// Relay returns the name of the relay in use, or an empty one if there is no link.
func (s *Subscriber) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// Run keeps the process linked until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer close(s.done)
	var next *session
	for ctx.Err() == nil {
		if next == nil {
			next = s.open(ctx, "")
		}
		if next == nil {
			timer.Wait(ctx, retryInterval, nil)
			continue
		}
		next = s.serve(ctx, next)
	}
	if next != nil {
		next.close()
	}
}

// open opens a link to a relay candidate, or returns nil if none accepts. If before names a
// process, only candidates preferred to it are tried. Candidates are tried in order of
// preference. If one has not answered after openStagger, the next one is tried concurrently,
// which accepts the link only if it uses no other relay itself. A candidate that refuses
// because of that is tried again.
func (s *Subscriber) open(ctx context.Context, before string) *session {
	candidates := s.candidates(before)
	attempts := make(chan attempt)
	pending := 0
	defer func() { go closeLate(attempts, pending) }()
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	for {
		select {
		case <-stagger.C:
			if len(candidates) > 0 {
				m, last := candidates[0], pending == 0
				candidates, pending = candidates[1:], pending+1
				go func() { attempts <- s.tryRelay(ctx, m, last) }()
				stagger.Reset(openStagger)
			}
		case a := <-attempts:
			pending--
			if a.session != nil {
				return a.session
			}
			if a.usesOther {
				candidates = slices.Insert(candidates, 0, a.member)
				stagger.Stop()
			}
			if !a.usesOther || pending == 0 {
				stagger.Reset(0)
			}
		}
		if ctx.Err() != nil || pending == 0 && len(candidates) == 0 {
			return nil
		}
	}
}

// candidates returns the processes that may be the relay, those preferred first. If before names
// a process, only those preferred to it are returned.
func (s *Subscriber) candidates(before string) []*wire.Member {
	candidates := s.membership.RelayCandidates(s.clock(), s.centre, before)
	if s.excluded == nil {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(m *wire.Member) bool { return s.excluded(m.GetName()) })
}

// attempt is the result of an attempt to link to a process.
type attempt struct {
	member  *wire.Member
	session *session
	// usesOther is set if the process refused because it uses another relay itself.
	usesOther bool
}

// closeLate closes the links of the attempts that were still pending when open returned.
func closeLate(attempts <-chan attempt, pending int) {
	for range pending {
		if a := <-attempts; a.session != nil {
			a.session.close()
		}
	}
}

// tryRelay opens a link to one process and starts the back-off from it if it does not
// answer. last is set if no other attempt is pending; the process then has to accept even
// if it uses another relay.
func (s *Subscriber) tryRelay(ctx context.Context, m *wire.Member, last bool) attempt {
	start := s.clock()
	sess, err := s.connect(ctx, m, last)
	switch {
	case err == nil:
		s.membership.MarkResponsive(m.GetName())
		return attempt{member: m, session: sess}
	case refuser.Is(err, refuser.Conflict):
		return attempt{member: m, usesOther: true}
	case ctx.Err() == nil:
		s.membership.MarkUnresponsive(s.clock(), m.GetName())
		s.log.Info().Str("relay", m.GetName()).Str("address", m.GetAddress()).Err(err).
			Int64("took", (s.clock() - start).Milliseconds()).Msg("relay: does not answer")
	}
	return attempt{member: m}
}

// connect opens a link to one process and waits for the first batch. It fails with a
// *WrongProcessError if another process answers.
func (s *Subscriber) connect(ctx context.Context, m *wire.Member, last bool) (*session, error) {
	ctx, cancel := context.WithCancel(ctx)
	openTimer := time.AfterFunc(openTimeout, cancel)
	link := proto.Clone(s.self).(*wire.Link)
	link.Last, link.Age = last, timer.ToMillis(s.clock()-s.startedAt)
	call := &wire.Call{Body: &wire.Call_Link{Link: link}}
	sess := &session{member: m, cancel: cancel, openedAt: s.clock(), batches: make(chan *wire.Batch, 1)}
	var err error
	if m.GetName() == s.hostName {
		sess.stream = peer.Pipe(ctx, s.local, call)
	} else if sess.stream, err = s.caller.OpenDuplex(ctx, m.GetAddress(), call); err != nil {
		cancel()
		return nil, err
	}
	if sess.first, err = sess.receive(); err != nil {
		sess.close()
		return nil, err
	}
	if !openTimer.Stop() {
		sess.close()
		return nil, context.DeadlineExceeded
	}
	if got := sess.first.GetRelay(); got != m.GetName() {
		sess.close()
		return nil, &WrongProcessError{Want: m.GetName(), Got: got}
	}
	return sess, nil
}

// serve exchanges reports and batches over a link until the link is lost, ctx ends, or a link
// to a preferred relay is open. It returns that new link, or nil if there is none.
func (s *Subscriber) serve(ctx context.Context, sess *session) *session {
	s.startSession(sess)
	go sess.forwardBatches()
	preferred := s.findPreferred(ctx, sess)
	timeoutCheck := time.NewTicker(s.timing.Timeout / 4)
	defer timeoutCheck.Stop()
	reportTimer := time.NewTimer(s.timing.Heartbeat)
	defer reportTimer.Stop()
	changed := s.process.Changed()
	for {
		select {
		case <-ctx.Done():
			s.endSession(sess, "the process is stopping")
			return nil
		case next := <-preferred:
			s.endSession(sess, "a preferred relay answers")
			return next
		case batch, ok := <-sess.batches:
			if !ok {
				s.membership.MarkUnresponsive(s.clock(), sess.member.GetName())
				s.endSession(sess, "the stream ended")
				return nil
			}
			s.receive(sess, batch, false)
		case <-timeoutCheck.C:
			if sess.timedOut(s.clock(), s.timing.Timeout) {
				s.membership.MarkUnresponsive(s.clock(), sess.member.GetName())
				s.endSession(sess, "the relay timed out")
				return nil
			}
		case <-changed:
			changed = nil
			reportTimer.Reset(max(0, sess.lastReportAt+minReportInterval-s.clock()))
		case <-reportTimer.C:
			changed = s.process.Changed()
			reportTimer.Reset(s.timing.Heartbeat)
			s.report(sess, false)
		}
	}
}

// startSession handles the first batch of a link and sends a complete report.
func (s *Subscriber) startSession(sess *session) {
	s.log.Info().Str("relay", sess.member.GetName()).Str("address", sess.member.GetAddress()).Str("centre", s.centre).
		Uint32("links", sess.first.GetLinks()).Msg("relay: linked")
	s.receive(sess, sess.first, true)
	s.report(sess, true)
}

// receive passes a batch on to the process.
func (s *Subscriber) receive(sess *session, batch *wire.Batch, first bool) {
	now := s.clock()
	sess.recordBatch(now, batch)
	s.mu.Lock()
	s.relay, s.lastBatchAt = sess.member.GetName(), now
	s.mu.Unlock()
	s.process.Receive(now, sess.member.GetAddress(), batch, first)
}

// report sends a report of the process, a complete one as the first of a link.
func (s *Subscriber) report(sess *session, complete bool) {
	now := s.clock()
	sess.send(now, s.process.Report(now, complete))
}

// endSession closes a link and passes the reports that were not confirmed back to the
// process.
func (s *Subscriber) endSession(sess *session, cause string) {
	sess.close()
	s.mu.Lock()
	s.relay = ""
	s.mu.Unlock()
	s.log.Info().Str("relay", sess.member.GetName()).Str("cause", cause).
		Int64("heard", (s.clock()-sess.lastBatchAt).Milliseconds()).Int("unconfirmed", len(sess.unconfirmed)).Msg("relay: link ended")
	s.process.LinkLost(s.clock(), sess.member.GetName(), sess.unconfirmed)
}

// findPreferred tries every preferredInterval to link to a relay that is preferred to the
// one in use, and sends the first link that opens.
func (s *Subscriber) findPreferred(ctx context.Context, sess *session) <-chan *session {
	found := make(chan *session)
	go func() {
		for timer.Wait(ctx, preferredInterval, nil) && sess.isOpen() {
			next := s.open(ctx, sess.member.GetName())
			if next == nil {
				continue
			}
			select {
			case found <- next:
			case <-sess.stream.Context().Done():
				next.close()
			case <-ctx.Done():
				next.close()
			}
			return
		}
	}()
	return found
}
