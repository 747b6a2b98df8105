package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Parameters of the case unframed.
const (
	// eventBytes is the size of the data of an event. The service writes events until queuedBytes lie in its
	// send queue, because the caller does not read; then it works for pauseTime on the next one, and
	// then it writes the lastEvents.
	eventBytes  = 4 << 10
	queuedBytes = 32 << 10
	sendBuffer  = 200 << 10
	maxEvents   = 16000
	pauseTime   = 5 * time.Second
	lastEvents  = 20
	// downTime is how long the service is down, and readPause how long the caller goes on to
	// read nothing after that.
	downTime  = time.Second
	readPause = 2 * time.Second
	// writeTime bounds the time from the request to the pause of the service.
	writeTime = 10 * time.Second
	// streamTimeout is the route's timeout and the caller's deadline.
	streamTimeout = 30 * time.Second
	// receiveBuffer is the size of the caller's buffer.
	receiveBuffer = 64 << 10
)

// streamServiceID is the ID that the service has at each start.
const streamServiceID = "i-journal"

// serveStreams serves a plain service at an address: one whose answers are streams that end with their
// connections.
func serveStreams(address string) error {
	server := &http.Server{Addr: address, ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		switch {
		case r.URL.Path == "/healthz":
			w.Header().Set("X-Instance-Id", streamServiceID)
		case r.URL.Path == writtenPath:
			_, _ = fmt.Fprint(w, written.Load())
		case id == "":
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
		default:
			streamUnframed(w, id)
		}
	})}
	return server.ListenAndServe()
}

// writtenPath is the path at which the service tells the case how many events it has written before its
// pause.
const writtenPath = "/written"

// written is the number of events before the pause, once it has begun.
var written atomic.Int64

// lastData is the data of the last event.
const lastData = "the end of the journal"

// streamUnframed answers a request with a stream that has neither a length nor chunks.
func streamUnframed(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The queue has room for more than queuedBytes, so that no event is written in part.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Response-Seal: seal-%s\r\n\r\n", id, id)
	data := strings.Repeat("x", eventBytes)
	next := 1
	for ; next <= maxEvents && !stalls(conn); next++ {
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", next, data)
	}
	written.Store(int64(next - 1))
	time.Sleep(pauseTime)
	for i := range lastEvents {
		if i == lastEvents-1 {
			data = lastData
		}
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", next+i, data)
	}
}

// stalls reports whether queuedBytes lie in the send queue of a connection and stay there.
func stalls(conn net.Conn) bool {
	for range 20 {
		if queued(conn) < queuedBytes {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

// queued returns the number of bytes in the send queue of a connection that were not sent yet, or 0 if that
// is not known.
func queued(conn net.Conn) int {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		if bytes, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err == nil {
			n = bytes
		}
	})
	return n
}

// streamService is the process of the service.
type streamService struct {
	f       *fleet
	address string
	command *exec.Cmd
	// born is the start of the process in Unix milliseconds, or 0 while it is down.
	born atomic.Int64
}

// start starts the process and waits until it listens.
func (s *streamService) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	s.command = exec.Command(program, "serve-streams", s.address)
	if err := s.command.Start(); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", s.address); err == nil {
			_ = c.Close()
			s.born.Store(time.Now().UnixMilli())
			s.f.log("the service %s runs, pid %d", streamServiceID, s.command.Process.Pid)
			return nil
		}
	}
	return errNotReady
}

// kill ends the process.
func (s *streamService) kill() {
	s.born.Store(0)
	_ = s.command.Process.Signal(syscall.SIGKILL)
	_ = s.command.Wait()
	s.f.log("the service %s has crashed", streamServiceID)
}

// row returns the row of the service, or nil while it is down.
func (s *streamService) row(writes int) map[string]any {
	born := s.born.Load()
	if born == 0 {
		return nil
	}
	return map[string]any{
		"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0, "sequence": writes, "born": born,
	}
}

// unframedCase crashes a service in the middle of a stream that its caller reads slowly, and starts it
// again under its ID.
func unframedCase(f *fleet, trouble bool) ([]string, error) {
	s := &streamService{f: f}
	var err error
	if s.address, err = freeAddress(); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	defer s.kill()
	writes := 0
	f.stops = append(f.stops, f.beat(streamServiceID, func() map[string]any { writes++; return s.row(writes) }))
	routes := []map[string]any{route("journal", "streaming", service, streamTimeout)}
	if err := f.configure(routes, []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 100}}); err != nil {
		return nil, err
	}
	entry, err := f.startEntry("entry-1")
	if err != nil {
		return nil, err
	}
	caller := newSlowCaller(f)
	if err := caller.send(entry); err != nil {
		return nil, err
	}
	first := s.awaitWritten()
	if first == 0 || first >= maxEvents {
		return nil, errNotWritten
	}
	if trouble {
		s.kill()
		time.Sleep(downTime)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(readPause)
	last, whole, complete := caller.readAll()
	f.log("the caller has read events up to %d of %d, with the last one: %t, the answer looks complete: %t", last, first+lastEvents, whole, complete)
	switch {
	case complete && !whole:
		return []string{fmt.Sprintf("ORDER: the stream ended as complete after event %d of %d", last, first+lastEvents)}, nil
	case !trouble && !complete:
		return nil, errCutInCalm
	}
	return nil, nil
}

// errNotWritten reports that the service was not at work on a later event in time.
var errNotWritten = errors.New("the service has not begun its pause")

// awaitWritten waits until the service has begun its pause, and returns the number of events that it has
// written before, or 0 if that takes longer than writeTime.
func (s *streamService) awaitWritten() int {
	for deadline := time.Now().Add(writeTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n := s.askWritten(); n > 0 {
			s.f.log("the service %s has written %d events and works on the next one", streamServiceID, n)
			return n
		}
	}
	return 0
}

func (s *streamService) askWritten() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+writtenPath, nil)
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	n := 0
	if _, err := fmt.Fscan(res.Body, &n); err != nil {
		return 0
	}
	return n
}

// errCutInCalm reports that the stream was cut without a disruption.
var errCutInCalm = errors.New("the stream was cut without a disruption")

// slowCaller is a caller that pauses before it reads its answer.
type slowCaller struct {
	f      *fleet
	conn   net.Conn
	reader *bufio.Reader
}

func newSlowCaller(f *fleet) *slowCaller { return &slowCaller{f: f} }

// send sends the request and reads the first byte of the answer.
func (c *slowCaller) send(entry *process) error {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failure)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", entry.callers)
	if err != nil {
		return err
	}
	c.f.stops = append(c.f.stops, func() { _ = conn.Close() })
	c.conn, c.reader = conn, bufio.NewReader(conn)
	_, err = fmt.Fprintf(conn, "POST /journal/all HTTP/1.1\r\nHost: %s\r\nX-Request-Id: journal-1\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", host, apiKey, streamTimeout.Milliseconds())
	if err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * streamTimeout)); err != nil {
		return err
	}
	_, err = c.reader.Peek(1)
	c.f.log("the caller has the beginning of its answer, and reads no more for now")
	return err
}

// readAll reads the answer. It returns the number of the last whole event, whether that is the last one of
// the stream, and whether the answer looks complete.
func (c *slowCaller) readAll() (last int, whole, complete bool) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.f.log("the head of the answer: %v", err)
		return 0, false, false
	}
	c.f.log("status %d, %v", res.StatusCode, res.TransferEncoding)
	body, err := io.ReadAll(res.Body)
	for _, event := range strings.SplitAfter(string(body), "\n\n") {
		if id := 0; strings.HasSuffix(event, "\n\n") {
			if _, scanErr := fmt.Sscanf(event, "id: %d\n", &id); scanErr == nil {
				last = id
			}
		}
	}
	c.f.log("read %d bytes, %v", len(body), err)
	return last, strings.Contains(string(body), lastData), err == nil && res.StatusCode == http.StatusOK
}
