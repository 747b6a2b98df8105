package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

// answerPlan draws the faults of the answers of one backend server, from a seed. It is safe for
// concurrent use.
type answerPlan struct {
	mu     sync.Mutex
	random *rand.Rand
	// share is the share of faulty answers, resumeShare that of those to requests that resume a
	// stream.
	share       float64
	resumeShare float64
	// crashesLeft is the number of answers that may still end the server's process.
	crashesLeft int
	// faulty counts the faulty answers. log logs those of server.
	faulty *atomic.Int64
	log    func(format string, args ...any)
	server string
}

// newAnswerPlan draws a plan for the answers of a server.
func (s *soakRun) newAnswerPlan(seed uint64, server string) *answerPlan {
	random := rand.New(rand.NewPCG(seed, 4))
	return &answerPlan{
		random: random, share: 0.2 + 0.4*random.Float64(), resumeShare: 0.6, crashesLeft: random.IntN(3),
		faulty: &s.faultyAnswers, log: s.logFault, server: server,
	}
}

// choose is an imitator.AnswerPlan.
func (p *answerPlan) choose(r *http.Request) imitator.AnswerFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	f := imitator.AnswerFault{Framing: imitator.Framing(p.random.IntN(3))}
	share := p.share
	if lastEvent > 0 {
		share = p.resumeShare
	}
	if p.random.Float64() < share {
		p.faulty.Add(1)
		p.addFault(&f, r.Header.Get("X-Model") != "", lastEvent)
		p.log("%s: answer to %s after %d: %+v", p.server, r.Header.Get("X-Request-Id"), lastEvent, f)
	}
	if f.Ending == imitator.EndCrashed {
		p.crashesLeft--
	}
	return f
}

// addFault draws a fault of the answer to a request that may be one for a stream after lastEvent.
func (p *answerPlan) addFault(f *imitator.AnswerFault, streams bool, lastEvent int) {
	switch p.random.IntN(9) {
	case 0, 1:
		f.Status = []int{500, 504, 400, 503, 429}[p.random.IntN(5)]
	case 2, 3:
		p.addBreak(f, streams)
	case 4:
		f.Refuse, f.Anonymous = true, p.random.IntN(2) == 0
		p.addRepeat(f)
	case 5:
		p.addRepeat(f)
	case 6:
		f.Early = true
	case 7:
		p.addWrongStream(f, streams, lastEvent)
	case 8:
		f.Plain = streams
	}
}

// addBreak draws where and how an answer breaks off. An answer without framing that a running
// server ends is complete for everyone, unless it ends inside an event.
func (p *answerPlan) addBreak(f *imitator.AnswerFault, streams bool) {
	f.Break = imitator.BreakInside + imitator.Break(p.random.IntN(3))
	f.BreakAfter = p.random.IntN(eventsPerStream + 1)
	f.Ending = imitator.Ending(p.random.IntN(3))
	if f.Ending == imitator.EndCrashed && p.crashesLeft == 0 || f.Ending == imitator.EndClosed && !streams && f.Framing == imitator.Unframed {
		f.Ending = imitator.EndReset
	}
}

// addRepeat draws when an answer is written once more. It keeps its connection.
func (p *answerPlan) addRepeat(f *imitator.AnswerFault) {
	f.Framing = imitator.Framing(p.random.IntN(2))
	f.Repeat = imitator.RepeatAtOnce + imitator.Repeat(p.random.IntN(2))
}

// addWrongStream draws foreign bytes in a stream, or a resumed stream that begins at another
// event. It does not begin behind the last one, which is the end of a whole stream.
func (p *answerPlan) addWrongStream(f *imitator.AnswerFault, streams bool, lastEvent int) {
	if !streams || lastEvent >= eventsPerStream {
		return
	}
	if lastEvent == 0 || p.random.IntN(2) == 0 {
		f.InsertAfter, f.Anonymous = 1+p.random.IntN(eventsPerStream-lastEvent), p.random.IntN(2) == 0
		return
	}
	f.WithoutIDs = p.random.IntN(2) == 0
	f.Shift = -1 - p.random.IntN(lastEvent)
	if lastEvent+2 <= eventsPerStream && p.random.IntN(2) == 0 {
		f.Shift = 1
	}
}

// oddValues are the values of rows that another writer leaves. Those in oddRawValues are written
// in place of base64.
var (
	oddValues = []string{
		strings.Repeat(`{"service":`, 50000),
		strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		`{"service":"orders","address":"127.0.0.1:9","zone":"centre-1","state":"ready","slots":1e999,"born":123456789012345678901234567890}`,
		`{"service":"orders","address":"127.0.0.1:99999","zone":"centre-1","state":"ready","slots":6,"born":1}`,
		`{"service":"orders","address":"127.0.0.1:-1","zone":"centre-1","state":"ready","slots":-6,"born":-1}`,
		`{}`,
		`{"service":["orders"],"address":7,"zone":{},"state":null}`,
		"\x00\xff\xfe",
	}
	oddRawValues = []string{
		`"%%%"`, `{"service":"orders"}`, `1e999`, `true`,
		strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	}
)

// oddRow is a row of another writer. Its value is JSON in place of base64 if raw is set.
type oddRow struct {
	table, key string
	value      string
	raw        bool
}

// drawOddRow draws an odd row.
func (s *soakRun) drawOddRow() oddRow {
	r := oddRow{table: "servers", key: fmt.Sprint("odd-", s.random.IntN(4))}
	switch s.random.IntN(3) {
	case 1:
		r.table, r.key = "fleet", "process:"+r.key
	case 2:
		r.table, r.key = "fleet", "engine:127.0.0.1:"+fmt.Sprint(s.random.IntN(9))
	}
	i := s.random.IntN(len(oddValues) + len(oddRawValues))
	if r.raw = i >= len(oddValues); r.raw {
		r.value = oddRawValues[i-len(oddValues)]
	} else {
		r.value = oddValues[i]
	}
	return r
}

// putOddRow writes an odd row, unless the run is to have none of its kind.
func (s *soakRun) putOddRow(r oddRow) {
	if r.raw && !*withRawRows {
		return
	}
	s.logFault("odd row %s/%s, raw %t: %.40q", r.table, r.key, r.raw, r.value)
	if r.raw {
		s.site.Rows.PutOdd(r.table, r.key, r.value)
		return
	}
	s.site.Rows.PutRaw(r.table, r.key, []byte(r.value))
}

// oddRowFunc draws an odd row and returns a function that writes it and removes it again.
func (s *soakRun) oddRowFunc(duration time.Duration) func() {
	r := s.drawOddRow()
	return func() {
		s.putOddRow(r)
		time.Sleep(duration)
		s.site.Rows.Remove(r.table, r.key)
	}
}

// Times of a crash beside an entry that stands still.
const (
	// maxAnswersBefore bounds the time between the first answer that ends with its connection and
	// the moment at which the entry stops.
	maxAnswersBefore = 300 * time.Millisecond
	// crashDelay is the time from there to the crash, some events of a stream.
	crashDelay = 30 * time.Millisecond
)

// drawAnswerFault draws a fault of the backend servers' answers, a crash of one of them, or an
// odd row, and returns a function that injects it and ends it again. It returns nil if the drawn
// server already has a fault.
func (s *soakRun) drawAnswerFault() func() {
	duration := 500*time.Millisecond + time.Duration(s.random.Int64N(int64(maxFaultDuration)))
	switch s.random.IntN(16) {
	case 0, 1:
		return s.oddRowFunc(duration)
	case 2:
		return s.crashFunc(s.drawBackend())
	}
	b := s.drawBackend()
	plan := s.newAnswerPlan(s.random.Uint64(), b.ID())
	if !s.setPlanned(b, true) {
		return nil
	}
	return func() {
		s.logFault("%s: faulty answers for %v", b.ID(), duration)
		b.PlanAnswers(plan.choose)
		time.Sleep(duration)
		b.PlanAnswers(nil)
		s.setPlanned(b, false)
	}
}

// crashFunc returns a function that ends the process of a backend server.
func (s *soakRun) crashFunc(b *imitator.Backend) func() {
	return func() {
		s.logFault("%s: crash", b.ID())
		b.Crash()
	}
}

// slackAfterRestart bounds the time from the start of a server after its crash until an entry that
// stood still goes on.
const slackAfterRestart = time.Second

// unframedCrashFunc returns a function that crashes an engine whose answers end with their connection
// while an entry stands still, and lets the entry go on once the engine listens again. It returns nil
// if the drawn entry, or all engines, have a fault already.
func (s *soakRun) unframedCrashFunc() func() {
	m := s.entries[s.random.IntN(len(s.entries))]
	before, slack := s.drawTime(maxAnswersBefore), s.drawTime(slackAfterRestart)
	b := s.drawUnplanned()
	if b == nil {
		return nil
	}
	pause := s.processFaultFunc(m, crashDelay+s.options.RestartTime+slack, syscall.SIGSTOP)
	if pause == nil {
		s.setPlanned(b, false)
		return nil
	}
	return func() {
		s.logFault("%s: answers that end with their connection, crash while %s stands still", b.ID(), m.name)
		b.PlanAnswers(func(*http.Request) imitator.AnswerFault { return imitator.AnswerFault{Framing: imitator.Unframed} })
		time.Sleep(before)
		time.AfterFunc(crashDelay, b.Crash)
		pause()
		b.PlanAnswers(nil)
		s.setPlanned(b, false)
	}
}

// drawUnplanned draws an engine whose answers have no faults and marks it as one whose answers have.
// It returns nil if there is none.
func (s *soakRun) drawUnplanned() *imitator.Backend {
	for _, i := range s.random.Perm(len(s.site.Engines)) {
		if b := s.site.Engines[i]; s.setPlanned(b, true) {
			return b
		}
	}
	return nil
}

// setPlanned records whether the answers of a server have faults, and reports whether that is a
// change.
func (s *soakRun) setPlanned(b *imitator.Backend, planned bool) bool {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	changed := s.planned[b] != planned
	s.planned[b] = planned
	return changed
}

// backends returns the engines and plain services.
func (s *soakRun) backends() []*imitator.Backend {
	return append(append([]*imitator.Backend{}, s.site.Engines...), s.site.Services...)
}

// drawBackend draws an engine or a plain service.
func (s *soakRun) drawBackend() *imitator.Backend {
	list := s.backends()
	return list[s.random.IntN(len(list))]
}
