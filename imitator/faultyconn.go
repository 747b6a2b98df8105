package imitator

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// earlyReadDelay is the time from an early answer until the server reads the body.
const earlyReadDelay = 20 * time.Millisecond

// EarlyBody is what an early answer of a plain service has in place of the request's body.
const EarlyBody = "early"

// HashBody returns the hash by which a backend server records a body.
func HashBody(body []byte) uint64 {
	h := fnv.New64a()
	// A hash takes all bytes.
	_, _ = h.Write(body)
	return h.Sum64()
}

// faultyConn serves the requests on one connection to a backend server, with the faults of its
// plan.
type faultyConn struct {
	backend *Backend
	conn    net.Conn
	stream  *bufio.ReadWriter
	// late is the answer that is written once more when the next request has arrived.
	late []byte
	// closed is set once no further request can be served.
	closed bool
}

// serveFaulty takes the connection of a request over and serves it and all that follow.
func (b *Backend) serveFaulty(w http.ResponseWriter, r *http.Request) {
	conn, stream, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c := &faultyConn{backend: b, conn: conn, stream: stream}
	r.Body = io.NopCloser(io.LimitReader(stream, max(0, r.ContentLength)))
	for !c.closed {
		c.serve(r)
		if c.stream.Flush() != nil || c.closed {
			return
		}
		if r, err = http.ReadRequest(c.stream.Reader); err != nil {
			return
		}
	}
}

// serve answers one request.
func (c *faultyConn) serve(r *http.Request) {
	c.backend.recordArrival(r)
	fault := c.backend.planFault(r)
	id := r.Header.Get("X-Request-Id")
	body := []byte(EarlyBody)
	if !fault.Early && !c.readBody(r, id, &body) {
		return
	}
	c.writeLate()
	status := http.StatusServiceUnavailable
	if !fault.Refuse {
		status = c.backend.startRun(r, id)
	}
	if status == 0 {
		c.answerRun(r, fault, string(body))
		c.backend.endRun()
	} else {
		c.refuse(id, status, fault)
	}
	if fault.Early && !c.closed {
		_ = c.stream.Flush()
		time.Sleep(earlyReadDelay)
		c.readBody(r, id, &body)
	}
}

// readBody reads the body of a request and records it. It returns false after an error, and
// the connection then serves no further request.
func (c *faultyConn) readBody(r *http.Request, id string, body *[]byte) bool {
	var err error
	if *body, err = io.ReadAll(r.Body); err != nil || int64(len(*body)) < r.ContentLength {
		c.closed = true
		return false
	}
	c.backend.recordAnswer(id, func(a *AnswerRecord) { a.Bodies = append(a.Bodies, HashBody(*body)) })
	return true
}

// writeLate writes the answer that was kept for this request.
func (c *faultyConn) writeLate() {
	// A failed write shows in a later flush.
	_, _ = c.stream.Write(c.late)
	c.late = nil
}

// refuse answers that the request is not run.
func (c *faultyConn) refuse(id string, status int, fault AnswerFault) {
	text := refusalText(id, status, fault.Anonymous, c.backend.limitLine())
	_, _ = c.stream.WriteString(text)
	c.repeat(fault, []byte(text))
}

// refusalText returns the bytes of a refusal with further lines in its head.
func refusalText(id string, status int, anonymous bool, lines string) string {
	idLine := "X-Request-Id: " + id + "\r\n"
	if anonymous {
		idLine = ""
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfull\n", status, http.StatusText(status), idLine, lines)
}

// repeat writes an answer once more or keeps it for that.
func (c *faultyConn) repeat(fault AnswerFault, text []byte) {
	switch fault.Repeat {
	case NoRepeat:
	case RepeatAtOnce:
		_, _ = c.stream.Write(text)
	case RepeatLate:
		c.late = text
	}
}

// answerRun answers a request that is run.
func (c *faultyConn) answerRun(r *http.Request, fault AnswerFault, body string) {
	id := r.Header.Get("X-Request-Id")
	streams := r.Header.Get("X-Model") != "" && fault.Status == 0 && !fault.Plain
	a := &faultyAnswer{conn: c, id: id, fault: fault, contentType: "text/plain", status: http.StatusOK}
	switch {
	case streams:
		a.contentType = "text/event-stream"
		a.pieces = c.backend.events(r, fault)
		a.interval = c.backend.options.EventInterval
	case fault.Status != 0:
		a.status = fault.Status
		a.pieces = []string{ErrorBody(id, fault.Status)}
	case fault.Plain:
		a.pieces = []string{PlainBody(id)}
	default:
		time.Sleep(c.backend.options.ServiceTime)
		a.pieces = []string{r.Method + " " + r.RequestURI + " " + body}
	}
	c.backend.recordAnswer(id, func(record *AnswerRecord) { record.Statuses = append(record.Statuses, a.status) })
	a.write()
}

// ErrorBody returns the body of a planned error.
func ErrorBody(id string, status int) string { return fmt.Sprintf("error %d of %s\n", status, id) }

// PlainBody returns the body of an answer that is no stream though one was asked for.
func PlainBody(id string) string { return "no stream for " + id + "\n" }

// events returns the events of the answer to a request for a stream.
func (b *Backend) events(r *http.Request, fault AnswerFault) []string {
	id := r.Header.Get("X-Request-Id")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil && last > 0 {
		first = max(1, last+1+fault.Shift)
	}
	var events []string
	for i := first; i <= b.options.EventsPerStream; i++ {
		events = append(events, eventText(id, i, fault.WithoutIDs))
	}
	return events
}

// eventText returns the bytes of one event.
func eventText(id string, index int, withoutID bool) string {
	text := fmt.Sprintf("data: %s.%d\n\n", id, index)
	if withoutID {
		return text
	}
	return fmt.Sprintf("id: %d\n", index) + text
}

// faultyAnswer is an answer to a request that is run, in pieces.
type faultyAnswer struct {
	conn        *faultyConn
	id          string
	status      int
	contentType string
	pieces      []string
	// interval is the time before each piece.
	interval time.Duration
	fault    AnswerFault
	// written is a copy of the bytes written.
	written bytes.Buffer
}

// write writes the answer up to its end or the place at which it breaks off.
func (a *faultyAnswer) write() {
	a.writeHead()
	if a.fault.Break == BreakInHead {
		a.breakOff(0)
		return
	}
	for i, piece := range a.pieces {
		time.Sleep(a.interval)
		if a.breaksAt(i) {
			a.breakOff(i)
			return
		}
		a.writePiece(piece)
		if i+1 == a.fault.InsertAfter {
			a.writeForeign()
		}
		if a.conn.stream.Flush() != nil {
			a.conn.closed = true
			return
		}
	}
	if a.fault.Break == BreakBetween {
		a.breakOff(len(a.pieces))
		return
	}
	a.writeEnd()
}

// foreignID is the ID of the request to which the bytes belong that are written into a stream.
const foreignID = "0000000000000000"

// writeForeign writes the bytes of a refusal of another request, without regard to the framing.
func (a *faultyAnswer) writeForeign() {
	_, _ = a.conn.stream.WriteString(refusalText(foreignID, http.StatusServiceUnavailable, a.fault.Anonymous, ""))
}

// breaksAt reports whether the answer breaks off at a piece.
func (a *faultyAnswer) breaksAt(i int) bool {
	switch a.fault.Break {
	case BreakInside:
		return i == min(a.fault.BreakAfter, len(a.pieces)-1)
	case BreakBetween:
		return i == a.fault.BreakAfter
	}
	return false
}

// writeHead writes the status and the headers.
func (a *faultyAnswer) writeHead() {
	fmt.Fprintf(&a.written, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: %s\r\n",
		a.status, http.StatusText(a.status), a.id, a.id, a.contentType)
	a.written.WriteString(a.conn.backend.limitLine())
	switch a.fault.Framing {
	case Chunked:
		a.written.WriteString("Transfer-Encoding: chunked\r\n")
	case Sized:
		fmt.Fprintf(&a.written, "Content-Length: %d\r\n", len(strings.Join(a.pieces, "")))
	case Unframed:
		a.conn.closed = true
	}
	a.written.WriteString("\r\n")
	head := a.written.Bytes()
	if a.fault.Break == BreakInHead {
		head = head[:(len(head)-1)*a.fault.BreakAfter/10]
	}
	_, _ = a.conn.stream.Write(head)
}

// writePiece writes a part of the body.
func (a *faultyAnswer) writePiece(text string) {
	if a.fault.Framing == Chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	a.written.WriteString(text)
	_, _ = a.conn.stream.WriteString(text)
}

// writeEnd writes the end of the body, and the whole answer once more if that is planned.
func (a *faultyAnswer) writeEnd() {
	if a.fault.Framing == Chunked {
		a.written.WriteString("0\r\n\r\n")
		_, _ = a.conn.stream.WriteString("0\r\n\r\n")
	}
	a.conn.repeat(a.fault, a.written.Bytes())
}

// breakOff ends the connection after a number of pieces. The bytes before arrive.
func (a *faultyAnswer) breakOff(pieces int) {
	if a.fault.Break == BreakInside {
		a.writePiece(a.pieces[pieces][:len(a.pieces[pieces])/2])
	}
	_ = a.conn.stream.Flush()
	a.conn.closed = true
	switch a.fault.Ending {
	case EndClosed:
		a.recordShortEnd(pieces)
		_ = a.conn.conn.Close()
	case EndReset:
		reset(a.conn.conn)
	case EndCrashed:
		a.conn.backend.Crash()
	}
}

// recordShortEnd records an answer without framing that ends between two events and so looks
// complete.
func (a *faultyAnswer) recordShortEnd(pieces int) {
	if a.fault.Framing != Unframed || a.fault.Break != BreakBetween || a.interval == 0 {
		return
	}
	first := a.conn.backend.options.EventsPerStream - len(a.pieces) + 1
	a.conn.backend.recordAnswer(a.id, func(record *AnswerRecord) { record.ShortEnds = append(record.ShortEnds, first+pieces-1) })
}

// reset closes a TCP connection by a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
