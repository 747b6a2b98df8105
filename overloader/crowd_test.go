package overloader

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowds and of what their members send. They and the limits of the processes were
// fixed before the product bounded what callers hold.
const (
	// maxBody is the size of the largest legal body of the processes under test.
	maxBody = 4 << 20
	// bodyMembers is the number of members that send bodies, headMembers of those that send
	// heads, and silentMembers of those that only connect.
	bodyMembers   = 64
	headMembers   = 300
	silentMembers = 900
	// pipelineMembers is the number of members that send pipelined requests, and pipelineLength
	// the number of requests of each.
	pipelineMembers = 32
	pipelineLength  = 2000
	// headBytes is the size of a head that never ends, and legalHeadBytes that of a complete one.
	headBytes      = 30_000
	legalHeadBytes = 15_800
	// sendTime bounds the time that a member has to send its bytes.
	sendTime = 10 * time.Second
)

// target is a listener that a crowd connects to.
type target struct {
	address string
	// bodyHead is the head of a request with a body, without the headers of its length and the
	// empty line, and plainHead that of a request without one.
	bodyHead  string
	plainHead string
}

// load is what the members of a crowd do.
type load struct {
	name    string
	members int
	// send writes what a member sends. Errors are ignored, since a member may be refused.
	send func(to target, conn net.Conn)
	// limits replace those of the process unless they are zero.
	limits limits
}

// smallest are the limits of the smallest instance.
var smallest = limits{memory: 144e6, descriptors: 3075}

// reserved is the number of descriptors that a process leaves to its instance.
const reserved = 200

// body is the content of the largest legal body.
var body = bytes.Repeat([]byte("b"), maxBody)

// inChunks returns data in the chunked coding, without the last chunk.
func inChunks(data []byte, size int) []byte {
	var out bytes.Buffer
	out.Grow(len(data) + len(data)/size*8)
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return out.Bytes()
}

// smallChunks is the largest legal body in chunks of 16 bytes.
var smallChunks = sync.OnceValue(func() []byte { return inChunks(body, 16) })

// manyHeaders returns header lines of the given size in all, as many as possible.
func manyHeaders(size int) string {
	var out strings.Builder
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, "%x:\r\n", 0xa0000+i)
	}
	return out.String()[:size/9*9]
}

// write writes all parts.
func write(conn net.Conn, parts ...[]byte) {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}

// bodyLoads are crowds that send bodies.
var bodyLoads = []load{
	{name: "bodies that stop short", members: bodyMembers, send: func(to target, conn net.Conn) {
		write(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", to.bodyHead, maxBody), body[1:])
	}},
	{name: "whole bodies whose answers are not read", members: bodyMembers, send: func(to target, conn net.Conn) {
		write(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", to.bodyHead, maxBody), body)
	}},
	{name: "bodies announced beyond the limit", members: bodyMembers, send: func(to target, conn net.Conn) {
		write(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", to.bodyHead, 16*maxBody), body, body)
	}},
	{name: "bodies sent beyond the limit", members: bodyMembers, send: func(to target, conn net.Conn) {
		chunk := inChunks(body, maxBody)
		write(conn, []byte(to.bodyHead+"Transfer-Encoding: chunked\r\n\r\n"), chunk, chunk, chunk)
	}},
	{name: "large chunks that stop short", members: bodyMembers, send: func(to target, conn net.Conn) {
		chunk := inChunks(body, maxBody)
		write(conn, []byte(to.bodyHead+"Transfer-Encoding: chunked\r\n\r\n"), chunk[:len(chunk)-3])
	}},
	{name: "small chunks that stop short", members: bodyMembers, send: func(to target, conn net.Conn) {
		write(conn, []byte(to.bodyHead+"Transfer-Encoding: chunked\r\n\r\n"), smallChunks())
	}},
}

// connectionLoads are crowds that hold connections and heads.
var connectionLoads = []load{
	{name: "heads that never end", members: headMembers, send: func(to target, conn net.Conn) {
		write(conn, []byte(to.plainHead+manyHeaders(headBytes)))
	}},
	{name: "many headers", members: headMembers, send: func(to target, conn net.Conn) {
		write(conn, []byte(to.bodyHead+manyHeaders(legalHeadBytes)+"Content-Length: 10\r\n\r\nbody"))
	}},
	{name: "connections that send nothing", members: silentMembers, send: func(target, net.Conn) {}, limits: limits{memory: 144e6, descriptors: 700}},
	{name: "pipelined requests", members: pipelineMembers, send: func(to target, conn net.Conn) {
		write(conn, bytes.Repeat([]byte(to.plainHead+"\r\n"), pipelineLength))
	}},
}

// openCrowd opens the connections of a crowd, sends what its members send, and leaves them open
// until the end of the test.
func openCrowd(t testing.TB, to target, l load) {
	t.Helper()
	var sending sync.WaitGroup
	for range l.members {
		conn, err := net.DialTimeout("tcp", to.address, time.Second)
		if err != nil {
			// A refused connection holds nothing.
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
		sending.Go(func() { l.send(to, conn) })
	}
	sending.Wait()
}

// settleTime is the time for which the crowd stays open before the process is checked.
const settleTime = time.Second

// checkLoad opens a crowd and checks the process: it must live, stay inside its limits and answer
// an ordinary request while the crowd is open.
func checkLoad(t testing.TB, p *instance, within limits, to target, l load, ordinary func() error) {
	t.Helper()
	openCrowd(t, to, l)
	time.Sleep(settleTime)
	if !p.lives() {
		t.Fatal("the process has ended")
	}
	descriptors := p.descriptors()
	eventually(t, "an ordinary request is answered", ordinary)
	descriptors = max(descriptors, p.descriptors())
	memory := p.memory()
	t.Logf("peak memory %d MB of %d MB, %d descriptors of %d", memory/1e6, within.memory/1e6, descriptors, within.descriptors-reserved)
	if memory > within.memory {
		t.Errorf("the peak memory is %d MB, the process has %d MB", memory/1e6, within.memory/1e6)
	}
	if descriptors > within.descriptors-reserved {
		t.Errorf("the process has %d open descriptors, its share is %d", descriptors, within.descriptors-reserved)
	}
}

// within returns the limits of a process under a load.
func (l load) within() limits {
	if l.limits != (limits{}) {
		return l.limits
	}
	return smallest
}
