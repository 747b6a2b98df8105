package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

// Bounds that answers are checked against.
const (
	// requestTimeout is the deadline that callers send, answerSlack the time by which
	// an answer may exceed it.
	requestTimeout  = 4 * time.Second
	answerSlack     = time.Second
	eventsPerStream = 10
	// withdrawalDelay is how long an entry may accept a key after its withdrawal.
	withdrawalDelay = 5 * time.Second
)

// requestRecord is a request with the outcome that its caller observed. Times are
// since the start of the run.
type requestRecord struct {
	id       string
	kind     string
	entry    string
	sentAt   time.Duration
	duration time.Duration
	served   bool
	// notExecuted is set if the answer states that the request did not run.
	notExecuted bool
	// undisturbed is set if no fault of the entry began between request and answer.
	undisturbed bool
}

// results collects the finished requests and the violated guarantees of a run. It is
// safe for concurrent use.
type results struct {
	mu         sync.Mutex
	requests   []requestRecord
	outcomes   []outcome
	violations []string
}

func (r *results) addRequest(record requestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, record)
}

// addOutcome records the outcome of a request.
func (r *results) addOutcome(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, o.requestRecord)
	r.outcomes = append(r.outcomes, o)
}

// addViolation records a violated guarantee, which fails the test.
func (r *results) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// caller sends requests one at a time to random entries.
type caller struct {
	name         string
	client       *http.Client
	random       *rand.Rand
	soakRun      *soakRun
	requestCount int
	// fatalRandom draws the requests with fatalPart.
	fatalRandom *rand.Rand
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if m, address := c.chooseEntry(); m != nil {
			c.send(ctx, m, address)
		}
		time.Sleep(time.Duration(5+c.random.IntN(40)) * time.Millisecond)
	}
}

// chooseEntry draws an entry and returns it with its address, or nil if that entry
// takes no requests now.
func (c *caller) chooseEntry() (*member, string) {
	m := c.soakRun.entries[c.random.IntN(len(c.soakRun.entries))]
	address, _, _ := m.status()
	if address == "" {
		return nil, ""
	}
	return m, address
}

// Parts of prompts: sharedPart is in all of them, engines crash on fatalPart.
const (
	sharedPart = "a1"
	fatalPart  = "bad"
	// fatalTarget is the target of a request on which engines crash.
	fatalTarget = "/draft/fatal"
)

// promptHeader returns the header field for a prompt of sharedPart, the given parts and one
// of its own. It is empty if the run has no requests with fatalPart.
func (s *soakRun) promptHeader(id string, parts ...string) []string {
	if s.mode.fatalShare == 0 {
		return nil
	}
	prompt := ""
	for _, part := range append([]string{sharedPart}, parts...) {
		prompt += part + ":50,"
	}
	return []string{"X-Prefix-Hash", prompt + id + ":10"}
}

// newRequest returns a request of a random kind and its record.
func (c *caller) newRequest(ctx context.Context, address string) (*http.Request, requestRecord, error) {
	c.requestCount++
	r := requestRecord{id: fmt.Sprintf("%08x%08x", c.random.Uint32(), c.requestCount), sentAt: c.soakRun.clock()}
	model := imitator.SiteModel(c.random.IntN(c.soakRun.options.Models))
	kind := c.random.IntN(4)
	if c.fatalRandom.Float64() < c.soakRun.mode.fatalShare {
		r.kind = "fatal"
		if c.soakRun.mode.fatalRequest {
			req, err := imitator.NewModelRequest(ctx, address, r.id, fatalTarget, imitator.SiteModel(0), "X-Prefix-Hash", sharedPart+":50,f:10")
			return req, r, err
		}
		req, err := imitator.NewModelRequest(ctx, address, r.id, "/draft/x", model, c.soakRun.promptHeader(r.id, fatalPart)...)
		return req, r, err
	}
	var req *http.Request
	var err error
	switch kind {
	case 0:
		r.kind = "draft"
		req, err = imitator.NewModelRequest(ctx, address, r.id, "/draft/x", model, c.soakRun.promptHeader(r.id)...)
	case 1:
		r.kind = "brief"
		req, err = imitator.NewModelRequest(ctx, address, r.id, "/brief/x", model, c.soakRun.promptHeader(r.id)...)
	case 2:
		r.kind = "order"
		req, err = imitator.NewRequest(ctx, address, r.id, http.MethodPost, "/order/x")
	default:
		r.kind = "status"
		req, err = imitator.NewRequest(ctx, address, r.id, http.MethodGet, "/status/x")
	}
	return req, r, err
}

// send sends one request, checks its answer and records it. A request during which
// the run ends is not recorded. Requests to plain services must not break off while
// their entry drains.
func (c *caller) send(ctx context.Context, m *member, address string) {
	_, faultsBefore, _ := m.status()
	limitedCtx, cancel := context.WithTimeout(ctx, requestTimeout+answerSlack)
	defer cancel()
	req, record, err := c.newRequest(limitedCtx, address)
	if err != nil {
		c.soakRun.results.addViolation("%s: %v", c.name, err)
		return
	}
	record.entry = m.name
	res, err := c.client.Do(req)
	if err == nil {
		err = c.checkAnswer(res, &record)
		_ = res.Body.Close()
	}
	_, faultsAfter, draining := m.status()
	if err != nil && draining && faultsAfter == faultsBefore+1 && (record.kind == "order" || record.kind == "status") && connectionBroke(err) {
		c.soakRun.results.addViolation("%s %s: %s broke the connection while draining: %v", record.kind, record.id, record.entry, err)
	}
	record.duration = c.soakRun.clock() - record.sentAt
	record.undisturbed = faultsBefore == faultsAfter
	if ctx.Err() != nil {
		return
	}
	if record.undisturbed && !draining && errors.Is(err, context.DeadlineExceeded) {
		c.soakRun.results.addViolation("%s %s at %s: no final answer within %v", record.kind, record.id, record.entry, record.duration)
	}
	c.soakRun.results.addRequest(record)
}

// connectionBroke reports whether err means that an established connection broke
// before the answer was complete.
func connectionBroke(err error) bool {
	return !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) && !errors.Is(err, syscall.ECONNREFUSED)
}

// checkAnswer reads an answer and records in r what it says. It returns an error if
// the answer could not be read to its end.
func (c *caller) checkAnswer(res *http.Response, r *requestRecord) error {
	r.notExecuted = res.Header.Get("X-Not-Executed") != ""
	if res.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, res.Body)
		return err
	}
	if r.notExecuted {
		c.soakRun.results.addViolation("%s %s: answered with status 200 and X-Not-Executed", r.kind, r.id)
	}
	if r.kind == "order" || r.kind == "status" {
		return c.checkPlain(res, r)
	}
	return c.checkStream(res, r)
}

// checkPlain checks that the answer of a plain service belongs to the request.
func (c *caller) checkPlain(res *http.Response, r *requestRecord) error {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.Header.Get("X-Response-Seal") != "seal-"+r.id || !strings.Contains(string(body), r.kind) {
		c.soakRun.results.addViolation("%s %s: received the answer to another request: %q", r.kind, r.id, body)
	}
	r.served = true
	return nil
}

// checkStream checks that the events of a stream arrive in order and without
// duplicates, and that the stream does not end without an error before its last event.
func (c *caller) checkStream(res *http.Response, r *requestRecord) error {
	lines := bufio.NewScanner(res.Body)
	nextEvent := 1
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event != fmt.Sprintf("%s.%d", r.id, nextEvent) {
			c.soakRun.results.addViolation("%s %s: received event %q instead of event %d", r.kind, r.id, event, nextEvent)
			return nil
		}
		nextEvent++
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if nextEvent != eventsPerStream+1 {
		c.soakRun.results.addViolation("%s %s: stream ended without an error after %d of %d events", r.kind, r.id, nextEvent-1, eventsPerStream)
	}
	r.served = true
	return nil
}

// withdrawnKey is a key of the workspace that is withdrawn at the start of the faults.
const withdrawnKey = "key-2-of-tourism"

// withdrawKey withdraws withdrawnKey and then sends requests with it until ctx ends. An
// entry that accepts it later than withdrawalDelay violates a guarantee, unless the
// entry has had a fault since the withdrawal.
func (s *soakRun) withdrawKey(ctx context.Context) {
	if _, err := s.site.Configure(imitator.SiteKey); err != nil {
		s.results.addViolation("configure: %v", err)
		return
	}
	var faultsBefore []int
	for _, m := range s.entries {
		_, faultCount, _ := m.status()
		faultsBefore = append(faultsBefore, faultCount)
	}
	servedUntil := s.clock() + withdrawalDelay
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(100 * time.Millisecond)
		m := s.entries[i%len(s.entries)]
		address, faultCount, _ := m.status()
		if address == "" || faultCount != faultsBefore[i%len(faultsBefore)] {
			continue
		}
		id := fmt.Sprintf("%016x", 1<<40+i)
		req, err := imitator.NewRequest(ctx, address, id, http.MethodGet, "/status/x", "X-Api-Key", withdrawnKey)
		if err != nil {
			continue
		}
		sentAt := s.clock()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && sentAt > servedUntil {
			s.results.addViolation("%s served a key %v after it was withdrawn", m.name, sentAt-servedUntil+withdrawalDelay)
		}
	}
}
