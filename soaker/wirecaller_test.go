package soaker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"oleanderstall/imitator"
)

// Shares of the requests of a wireCaller, in percent, and the size of a long body.
const (
	oldVersionPercent = 8
	closePercent      = 8
	giveUpPercent     = 4
	longBodyPercent   = 5
	longBodyBytes     = 300 << 10
	// maxResumes is the number of times that a caller resumes a stream.
	maxResumes = 3
)

// wireRequest is a request as a wireCaller sends it.
type wireRequest struct {
	kind string
	// id is new for each attempt.
	id    string
	model string
	body  []byte
	// lastEvent is the index of the last event that the caller has, or 0.
	lastEvent int
	// old is set for a request of HTTP/1.0, closing for one with Connection: close.
	old     bool
	closing bool
	// giveUpAfter is the number of events after which the caller gives up, or 0.
	giveUpAfter int
}

// streams reports whether the answer is a stream.
func (r *wireRequest) streams() bool { return r.kind == "draft" || r.kind == "brief" }

// method returns the HTTP method.
func (r *wireRequest) method() string {
	if r.kind == "status" {
		return http.MethodGet
	}
	return http.MethodPost
}

// encode returns the bytes of the request.
func (r *wireRequest) encode() []byte {
	var out bytes.Buffer
	version := "1.1"
	if r.old {
		version = "1.0"
	}
	fmt.Fprintf(&out, "%s /%s/x HTTP/%s\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n",
		r.method(), r.kind, version, imitator.SiteHost, r.id, imitator.SiteKey, requestTimeout.Milliseconds())
	if r.model != "" {
		fmt.Fprintf(&out, "X-Model: %s\r\nX-Token-Count: 100,50\r\n", r.model)
	}
	if r.lastEvent > 0 {
		fmt.Fprintf(&out, "Last-Event-Id: %d\r\n", r.lastEvent)
	}
	if r.closing {
		out.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(r.body))
	out.Write(r.body)
	return out.Bytes()
}

// outcome is what a wireCaller observed of one request.
type outcome struct {
	requestRecord
	request wireRequest
	// status is the status of the answer, or 0 if there was none.
	status int
	// sealed is set if the answer bears a seal, stream if it is a stream of events.
	sealed bool
	stream bool
	// events is the index of the last event received.
	events int
	// complete is set if the answer looked complete, unframed if it ended with its connection.
	complete bool
	unframed bool
	gaveUp   bool
}

// wireCaller sends requests one at a time, on connections that it keeps until they end.
type wireCaller struct {
	name         string
	random       *rand.Rand
	soakRun      *soakRun
	requestCount int
	connections  map[*member]*wireConn
}

// run sends requests until ctx ends.
func (c *wireCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendAndResume(ctx, c.drawRequest())
		time.Sleep(time.Duration(5+c.random.IntN(40)) * time.Millisecond)
	}
	for m, w := range c.connections {
		c.checkIdle(m, w)
		w.close()
	}
}

// percent draws whether an event with a probability in percent happens.
func (c *wireCaller) percent(share int) bool { return c.random.IntN(100) < share }

// nextID returns the ID of a new attempt.
func (c *wireCaller) nextID() string {
	c.requestCount++
	return fmt.Sprintf("%08x%08x", c.random.Uint32(), c.requestCount)
}

// drawRequest draws a request.
func (c *wireCaller) drawRequest() wireRequest {
	r := wireRequest{
		kind: []string{"draft", "brief", "brief", "order", "status"}[c.random.IntN(5)], id: c.nextID(),
		old: c.percent(oldVersionPercent), closing: c.percent(closePercent),
	}
	if r.streams() {
		r.model = imitator.SiteModel(c.random.IntN(c.soakRun.options.Models))
	}
	if r.streams() && c.percent(giveUpPercent) {
		r.giveUpAfter = 1 + c.random.IntN(eventsPerStream-1)
	}
	if r.kind == "order" {
		r.body = c.drawBody(r.id)
	}
	return r
}

// drawBody returns a body that no other request has.
func (c *wireCaller) drawBody(id string) []byte {
	if c.percent(longBodyPercent) {
		return []byte(strings.Repeat(id, longBodyBytes/len(id)))
	}
	return []byte(id)
}

// sendAndResume sends a request. A stream that breaks off and may be resumed is resumed, by a
// request with an ID of its own.
func (c *wireCaller) sendAndResume(ctx context.Context, r wireRequest) {
	for range 1 + maxResumes {
		o := c.send(ctx, r)
		if o == nil || o.request.kind != "brief" || o.complete || o.gaveUp || o.events == 0 {
			return
		}
		r.lastEvent, r.id = o.events, c.nextID()
	}
}

// chooseEntry draws an entry and returns it with a connection to it, which may be an older one
// while the entry takes no new ones. It returns nil if there is none.
func (c *wireCaller) chooseEntry() (*member, *wireConn) {
	m := c.soakRun.entries[c.random.IntN(len(c.soakRun.entries))]
	if w := c.connections[m]; w != nil {
		if c.checkIdle(m, w) {
			return m, w
		}
		c.forget(m)
	}
	address, _, _ := m.status()
	if address == "" {
		return nil, nil
	}
	w, err := dialWire(address)
	if err != nil {
		return nil, nil
	}
	c.connections[m] = w
	return m, w
}

// checkIdle reports whether the connection to an entry is open. Bytes with no request waiting
// violate a guarantee.
func (c *wireCaller) checkIdle(m *member, w *wireConn) bool {
	open, err := w.isOpen()
	if err != nil {
		c.soakRun.results.addViolation("%s at %s: %v", c.name, m.name, err)
	}
	return open
}

// forget closes the connection to an entry.
func (c *wireCaller) forget(m *member) {
	c.connections[m].close()
	delete(c.connections, m)
}

// send sends one request to a random entry, checks its answer and records it. It returns nil if
// there was no entry to send it to, or ctx has ended.
func (c *wireCaller) send(ctx context.Context, r wireRequest) *outcome {
	m, w := c.chooseEntry()
	if m == nil {
		return nil
	}
	_, faultsBefore, drainingBefore := m.status()
	o := &outcome{request: r, events: r.lastEvent, requestRecord: requestRecord{id: r.id, kind: r.kind, entry: m.name, sentAt: c.soakRun.clock()}}
	err := c.exchange(w, o)
	_, faultsAfter, draining := m.status()
	o.duration = c.soakRun.clock() - o.sentAt
	o.undisturbed = faultsBefore == faultsAfter && !drainingBefore && !draining
	if err != nil || r.old || r.closing || o.unframed || o.gaveUp {
		c.forget(m)
	}
	if ctx.Err() != nil {
		return nil
	}
	var foreign *wireError
	if errors.As(err, &foreign) {
		o.violate(&c.soakRun.results, foreign.text)
	}
	if o.undisturbed && errors.Is(err, os.ErrDeadlineExceeded) {
		o.violate(&c.soakRun.results, fmt.Sprintf("no final answer within %v", o.duration))
	}
	c.soakRun.results.addOutcome(*o)
	return o
}

// exchange sends a request and reads its answer. An error means that the answer is not complete.
func (c *wireCaller) exchange(w *wireConn, o *outcome) error {
	if err := w.send(o.request.encode(), requestTimeout+answerSlack); err != nil {
		return err
	}
	a, err := w.readAnswer()
	if err != nil {
		return err
	}
	o.status, o.unframed = a.status, a.unframed
	o.sealed = a.header.Get("X-Response-Seal") != ""
	o.notExecuted = a.header.Get("X-Not-Executed") != ""
	if err := checkHead(a, o); err != nil {
		return err
	}
	o.stream = a.status == http.StatusOK && strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream")
	if o.stream {
		err = readStream(a, o)
	} else {
		err = readWhole(a, o)
	}
	o.complete = err == nil && !o.gaveUp
	o.served = o.complete && o.status == http.StatusOK
	return err
}

// checkHead returns a *wireError if the head of an answer does not belong to the request, or if
// a success has no seal.
func checkHead(a *wireAnswer, o *outcome) error {
	if id := a.header.Get("X-Request-Id"); id != "" && id != o.id {
		return &wireError{"the answer to request " + id + " arrived"}
	}
	if a.status/100 == 2 && !o.sealed {
		return &wireError{fmt.Sprintf("an answer with status %d bears no seal", a.status)}
	}
	if seal := a.header.Get("X-Response-Seal"); o.sealed && seal != "seal-"+o.id {
		return &wireError{"the answer bears the seal " + seal}
	}
	return nil
}

// readStream reads a stream of events, which must be the ones that the caller lacks, in order. A
// part of an event at the end must begin the next one, and must not look complete.
func readStream(a *wireAnswer, o *outcome) error {
	var data []byte
	for {
		b, err := a.readByte()
		if errors.Is(err, io.EOF) && len(data) == 0 {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return &wireError{fmt.Sprintf("the stream ends as complete with the part %q of an event", data)}
		}
		if err != nil {
			return err
		}
		data = append(data, b)
		event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", o.events+1, o.id, o.events+1)
		if o.events == eventsPerStream || !strings.HasPrefix(event, string(data)) {
			return foreignBytes(a, o, data)
		}
		if len(data) == len(event) {
			data = nil
			o.events++
		}
		if o.request.giveUpAfter > 0 && o.events >= o.request.giveUpAfter {
			o.gaveUp = true
			return nil
		}
	}
}

// foreignBytes returns the error for bytes that do not belong to the next event, with more of
// what follows them.
func foreignBytes(a *wireAnswer, o *outcome, data []byte) error {
	for range 200 {
		b, err := a.readByte()
		if err != nil {
			break
		}
		data = append(data, b)
	}
	return &wireError{fmt.Sprintf("%q follows event %d", data, o.events)}
}

// readWhole reads an answer that is no stream. With a seal it must be what a backend server
// answers to this request.
func readWhole(a *wireAnswer, o *outcome) error {
	body, err := a.readBody()
	if err != nil {
		return err
	}
	r := &o.request
	expected := []string{imitator.ErrorBody(r.id, a.status)}
	switch {
	case !o.sealed:
		return nil
	case a.status == http.StatusOK && r.streams():
		expected = []string{imitator.PlainBody(r.id)}
	case a.status == http.StatusOK:
		start := r.method() + " /" + r.kind + "/x "
		expected = []string{start + string(r.body), start + imitator.EarlyBody}
	}
	for _, text := range expected {
		if string(body) == text {
			return nil
		}
	}
	return &wireError{fmt.Sprintf("status %d with the body %.200q", a.status, body)}
}

// violate records a violated guarantee that the outcome shows.
func (o *outcome) violate(r *results, text string) {
	r.addViolation("%s %s at %s, sent at %v, events %d to %d, status %d: %s",
		o.kind, o.id, o.entry, o.sentAt.Round(time.Millisecond), o.request.lastEvent, o.events, o.status, text)
}
