package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// fleetSlots bounds the number of fleets of parallel tests that run at a time.
var fleetSlots = make(chan struct{}, 3)

// runParallel lets a test run in parallel with others, once a slot for its fleet is free.
func runParallel(t *testing.T) {
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// planAnswers makes all backend servers choose the faults of their answers by plan.
func (f *hostedFleet) planAnswers(plan imitator.AnswerPlan) {
	for _, h := range append(f.site.Engines, f.site.Services...) {
		h.PlanAnswers(plan)
	}
}

// resumption makes the first attempt of each stream have the fault first, and all further ones
// the fault next.
type resumption struct {
	first, next imitator.AnswerFault
	// mu guards attempts, the number of attempts by request ID.
	mu       sync.Mutex
	attempts map[string]int
}

// plan is an imitator.AnswerPlan.
func (p *resumption) plan(r *http.Request) imitator.AnswerFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[r.Header.Get("X-Request-Id")]++
	if p.attempts[r.Header.Get("X-Request-Id")] == 1 {
		return p.first
	}
	return p.next
}

// checkStream sends a request for a stream to a new fleet, in which both engines have the model
// and the attempts have the given faults, and checks how the stream ends. One that breaks off
// before its last event has to be resumed where it may be.
func checkStream(t *testing.T, path string, first, next imitator.AnswerFault) {
	t.Helper()
	runParallel(t)
	options := smallSite()
	options.RestartTime = time.Second
	f := newHostedFleet(t, options)
	f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
	p := &resumption{first: first, next: next, attempts: map[string]int{}}
	f.planAnswers(p.plan)
	r := f.sendStream(0, path, "model0")
	f.assertNoFalseEnd(r)
	if path == "/brief/x" && first.Break != imitator.NoBreak && first.BreakAfter < 10 {
		assert.Assert(t, p.attempts[r.id] > 1, "the stream was not resumed")
	}
}

// assertNoFalseEnd checks that a response has only events in order, and that it ends as complete
// only after the last event.
func (f *hostedFleet) assertNoFalseEnd(r response) {
	f.t.Helper()
	if r.status != http.StatusOK {
		return
	}
	text, next := r.body, 1
	for event := ""; next <= 10; next++ {
		event = fmt.Sprintf("id: %d\ndata: %s.%d\n\n", next, r.id, next)
		if !strings.HasPrefix(text, event) {
			break
		}
		text = strings.TrimPrefix(text, event)
	}
	assert.Assert(f.t, text == "", "%q follows event %d of 10", text, next-1)
	assert.Assert(f.t, r.err != nil || next == 11, "the stream ends as complete after event %d of 10", next-1)
}

// framings are all framings with their names.
var framings = []struct {
	name    string
	framing imitator.Framing
}{{"chunked", imitator.Chunked}, {"sized", imitator.Sized}, {"unframed", imitator.Unframed}}

// resetAfterThree is a stream that is reset between two events.
var resetAfterThree = imitator.AnswerFault{Break: imitator.BreakBetween, BreakAfter: 3, Ending: imitator.EndReset}

// TestResumeAnsweredWithError guards against a stream that ends as complete, or holds the text
// of an error, because the engine that is to resume it answers with an error of its own.
func TestResumeAnsweredWithError(t *testing.T) {
	for _, c := range framings {
		for _, status := range []int{http.StatusInternalServerError, http.StatusBadRequest, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(c.name, " ", status), func(t *testing.T) {
				checkStream(t, "/brief/x", resetAfterThree, imitator.AnswerFault{Status: status, Framing: c.framing})
			})
		}
	}
}

// TestResumeAnsweredWithoutStream guards against a stream that ends as complete because the
// engine that is to resume it answers with status 200 and a body that is no stream.
func TestResumeAnsweredWithoutStream(t *testing.T) {
	for _, c := range framings {
		t.Run(c.name, func(t *testing.T) {
			checkStream(t, "/brief/x", resetAfterThree, imitator.AnswerFault{Plain: true, Framing: c.framing})
		})
	}
}

// TestUnframedStreamOfCrashedEngine guards against a stream without framing that ends as
// complete because its engine's process ended between two events.
func TestUnframedStreamOfCrashedEngine(t *testing.T) {
	for _, path := range []string{"/brief/x", "/draft/x"} {
		t.Run(path, func(t *testing.T) {
			crash := imitator.AnswerFault{Framing: imitator.Unframed, Break: imitator.BreakBetween, BreakAfter: 3, Ending: imitator.EndCrashed}
			checkStream(t, path, crash, imitator.AnswerFault{})
		})
	}
}

// TestRefusalInsideStream guards against a stream that holds the bytes of a refusal that a
// faulty engine wrote into it or behind its last event.
func TestRefusalInsideStream(t *testing.T) {
	for _, c := range framings {
		for _, after := range []int{3, 10} {
			for _, anonymous := range []bool{false, true} {
				t.Run(fmt.Sprint(c.name, " after ", after, " anonymous ", anonymous), func(t *testing.T) {
					foreign := imitator.AnswerFault{Framing: c.framing, InsertAfter: after, Anonymous: anonymous}
					checkStream(t, "/brief/x", foreign, imitator.AnswerFault{})
				})
			}
		}
	}
}

// TestResumeFromWrongEvent guards against a stream in which an event is missing or comes twice
// because the engine that is to resume it begins at another event.
func TestResumeFromWrongEvent(t *testing.T) {
	for _, shift := range []int{-3, -1, 1} {
		t.Run(fmt.Sprint(shift), func(t *testing.T) {
			checkStream(t, "/brief/x", resetAfterThree, imitator.AnswerFault{Shift: shift})
		})
	}
}

// TestResumeWithoutIDs guards against a stream in which an event is missing or comes twice
// because the engine that is to resume it begins at another event and sends no IDs.
func TestResumeWithoutIDs(t *testing.T) {
	for _, shift := range []int{-3, -1, 1} {
		t.Run(fmt.Sprint(shift), func(t *testing.T) {
			checkStream(t, "/brief/x", resetAfterThree, imitator.AnswerFault{Shift: shift, WithoutIDs: true})
		})
	}
}

// TestHeadCutShort guards against an answer that its caller takes for whole although the backend server
// stopped in the middle of its head.
func TestHeadCutShort(t *testing.T) {
	for name, ending := range map[string]imitator.Ending{"closed": imitator.EndClosed, "reset": imitator.EndReset, "kill": imitator.EndCrashed} {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			options := smallSite()
			options.RestartTime = 200 * time.Millisecond
			f := newHostedFleet(t, options)
			f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
			for after := range 11 {
				framing := imitator.Framing(after % 3)
				f.planAnswers(func(*http.Request) imitator.AnswerFault {
					return imitator.AnswerFault{Framing: framing, Break: imitator.BreakInHead, BreakAfter: after, Ending: ending}
				})
				for _, r := range []response{
					f.send(0, http.MethodPost, "/order/x"), f.send(0, http.MethodGet, "/status/x"),
					f.sendStream(0, "/draft/x", "model0"), f.sendStream(0, "/brief/x", "model0"),
				} {
					assert.Check(t, r.status >= http.StatusInternalServerError, "after %d tenths: %d %q", after, r.status, r.body)
				}
			}
		})
	}
}

// TestStreamBrokenOff guards against a stream that ends as complete because it broke off, at any
// place and in any way.
func TestStreamBrokenOff(t *testing.T) {
	for _, c := range framings {
		for place, fault := range map[string]imitator.AnswerFault{
			"before the first":     {Break: imitator.BreakBetween, Ending: imitator.EndReset},
			"inside":               {Break: imitator.BreakInside, BreakAfter: 4},
			"inside, kill":         {Break: imitator.BreakInside, BreakAfter: 4, Ending: imitator.EndCrashed},
			"between":              {Break: imitator.BreakBetween, BreakAfter: 4, Ending: imitator.EndReset},
			"inside the last":      {Break: imitator.BreakInside, BreakAfter: 9, Ending: imitator.EndReset},
			"after the last, kill": {Break: imitator.BreakBetween, BreakAfter: 10, Ending: imitator.EndCrashed},
		} {
			t.Run(c.name+", "+place, func(t *testing.T) {
				fault.Framing = c.framing
				checkStream(t, "/brief/x", fault, imitator.AnswerFault{})
			})
		}
		t.Run(c.name+", between, not resumable", func(t *testing.T) {
			fault := resetAfterThree
			fault.Framing = c.framing
			checkStream(t, "/draft/x", fault, imitator.AnswerFault{})
		})
	}
}

// TestRepeatedAnswer guards against an answer that a faulty backend server writes once more on a
// kept connection and that is taken for the answer to the next request: the caller is told that
// a request was not run that ran, or gets the answer to another one, or the request runs twice.
func TestRepeatedAnswer(t *testing.T) {
	for name, fault := range map[string]imitator.AnswerFault{
		"refusal":               {Refuse: true},
		"refusal without ID":    {Refuse: true, Anonymous: true},
		"success":               {},
		"success with a length": {Framing: imitator.Sized},
		"error":                 {Status: http.StatusInternalServerError, Framing: imitator.Sized},
		"error with status 503": {Status: http.StatusServiceUnavailable},
	} {
		for when, repeat := range map[string]imitator.Repeat{"at once": imitator.RepeatAtOnce, "late": imitator.RepeatLate} {
			t.Run(name+", "+when, func(t *testing.T) {
				repeated := fault
				repeated.Repeat = repeat
				runParallel(t)
				f := newHostedFleet(t, smallSite())
				f.planAnswers(everySecond(repeated))
				for range 8 {
					f.assertOwnAnswer(f.send(0, http.MethodPost, "/order/x"))
				}
			})
		}
	}
}

// everySecond returns a plan that gives every second answer the fault.
func everySecond(fault imitator.AnswerFault) imitator.AnswerPlan {
	var requests atomic.Int64
	return func(*http.Request) imitator.AnswerFault {
		if requests.Add(1)%2 == 1 {
			return fault
		}
		return imitator.AnswerFault{Framing: imitator.Sized}
	}
}

// assertOwnAnswer checks that a response belongs to its request, which ran once at most, and not
// at all if the response says so.
func (f *hostedFleet) assertOwnAnswer(r response) {
	f.t.Helper()
	assert.NilError(f.t, r.err)
	assert.Assert(f.t, f.runCount(r.id) <= 1, "request %s ran twice", r.id)
	assert.Assert(f.t, r.status != http.StatusServiceUnavailable || f.runCount(r.id) == 0, "request %s ran and was answered %d %q", r.id, r.status, r.body)
	assert.Assert(f.t, r.status != http.StatusOK || r.body == "POST /order/x ", "request %s was answered %q", r.id, r.body)
	assert.Assert(f.t, r.status != http.StatusOK || r.header.Get("X-Response-Seal") == "seal-"+r.id, "request %s got another one's answer", r.id)
}

// TestBrokenStreamOfOldCaller guards against a stream that ends as complete for a caller of
// HTTP/1.0, to whom it has neither length nor chunks, although its engine broke it off.
func TestBrokenStreamOfOldCaller(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
	f.planAnswers(func(*http.Request) imitator.AnswerFault {
		return imitator.AnswerFault{Break: imitator.BreakInside, BreakAfter: 3}
	})
	conn, err := net.Dial("tcp", f.entries[0].Addresses().Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const id = "00000000000000fe"
	_, err = fmt.Fprintf(conn, "POST /draft/x HTTP/1.0\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 4000\r\nX-Model: model0\r\nX-Token-Count: 100,50\r\n\r\n",
		imitator.SiteHost, id, imitator.SiteKey)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	f.assertNoFalseEnd(response{id: id, status: res.StatusCode, body: string(body), err: err})
}

// TestEarlyAnswer guards against a connection whose server answered before it read a long body
// and then gets other bytes than the rest of that body.
func TestEarlyAnswer(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.planAnswers(func(*http.Request) imitator.AnswerFault {
		return imitator.AnswerFault{Early: true, Framing: imitator.Sized}
	})
	body := strings.Repeat("0123456789abcdef", 1<<16)
	for i := range 4 {
		id := fmt.Sprintf("%016x", 1<<32+i)
		req, err := imitator.NewRequest(t.Context(), f.entries[0].Addresses().Callers, id, http.MethodPost, "/order/x")
		assert.NilError(t, err)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		_ = res.Body.Close()
		assert.Equal(t, string(text), "POST /order/x "+imitator.EarlyBody)
	}
	f.waitFor("the bodies", func() bool {
		read := 0
		for _, h := range f.site.Services {
			for id, answer := range h.Answers() {
				read += len(answer.Bodies)
				for _, hash := range answer.Bodies {
					assert.Equal(t, hash, imitator.HashBody([]byte(body)), id)
				}
			}
		}
		return read == 4
	})
}

// oddRow is a row that another writer may leave in a table. Its value is base64 unless raw is
// set.
type oddRow struct {
	name  string
	value string
	raw   bool
}

// maxRowBytes is the size of the largest value of a row that the platform accepts.
const maxRowBytes = 64 << 10

// oddRows name nothing that can be used.
var oddRows = []oddRow{
	{name: "nested", value: strings.Repeat("[", maxRowBytes)},
	{name: "nested fields", value: strings.Repeat(`{"service":`, maxRowBytes/len(`{"service":`))},
	{name: "nested and closed", value: strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
	{name: "large number", value: `{"service":"orders","address":"127.0.0.1:9","zone":"centre-1","state":"ready","slots":1e999,"born":123456789012345678901234567890}`},
	{name: "large port", value: `{"service":"orders","address":"127.0.0.1:99999","zone":"centre-1","state":"ready","slots":6,"born":1}`},
	{name: "no fields", value: `{}`},
	{name: "another type", value: `{"service":["orders"],"address":7,"zone":{},"state":null}`},
	{name: "no base64", value: `"%%%"`, raw: true},
	{name: "no text", value: `{"service":"orders"}`, raw: true},
	{name: "large number, no base64", value: `1e999`, raw: true},
	{name: "nested, no base64", value: strings.Repeat("[", 9000) + strings.Repeat("]", 9000), raw: true},
	{name: "nested too deeply, no base64", value: strings.Repeat("[", 20000) + strings.Repeat("]", 20000), raw: true},
}

// put writes the row.
func (o oddRow) put(rows *imitator.RowStore, table, key string) {
	if o.raw {
		rows.PutOdd(table, key, o.value)
		return
	}
	rows.PutRaw(table, key, []byte(o.value))
}

// TestOddServerRow guards against processes that stop following the list of backend servers
// because another writer left an odd entry in it: a server that is added later has to be found.
func TestOddServerRow(t *testing.T) {
	for _, o := range oddRows {
		t.Run(o.name, func(t *testing.T) {
			runParallel(t)
			f := newHostedFleet(t, smallSite())
			o.put(f.site.Rows, "servers", "odd")
			assert.NilError(t, f.site.AddService())
			f.waitFor("the added service", func() bool {
				f.send(0, http.MethodGet, "/status/x")
				return len(f.site.Services[2].Runs()) > 0
			})
		})
	}
}

// TestOddFleetRow guards against processes that do not find each other because another writer
// left an odd row among theirs: an entry that is added later has to get the engines' status.
func TestOddFleetRow(t *testing.T) {
	for _, o := range oddRows {
		t.Run(o.name, func(t *testing.T) {
			runParallel(t)
			f := newHostedFleet(t, smallSite())
			o.put(f.site.Rows, "fleet", "process:odd")
			o.put(f.site.Rows, "fleet", "engine:127.0.0.1:9")
			f.startEntry(2)
			f.waitFor("sidecars", func() bool { return f.entries[2].locator.ReportingSidecars() == 2 })
		})
	}
}
