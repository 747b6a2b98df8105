// Package assembler decides how the answers to the attempts at a request become the one answer
// that the caller receives: what may follow the events that the caller already has, what ends
// an answer, and to which request an answer on a kept connection belongs.
package assembler

import (
	"net/http"
	"strconv"

	"oleanderstall/refuser"
)

//go:generate stringer -type=Framing -linecomment

// Framing is what marks the end of an answer's body.
type Framing int

// Framings. The comment behind a constant is its written name.
const (
	// Message is an end message of the own protocol.
	Message Framing = iota // message
	// Length is a length in the head.
	Length // length
	// Chunks is the last of the chunks of the body.
	Chunks // chunks
	// Connection is the end of the connection, which also ends with the process of the
	// backend server.
	Connection // connection
)

// FramingOf returns what marks the end of the body of an HTTP response to a request. An answer
// without a body counts as one with a length.
func FramingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return Chunks
	case res.ContentLength >= 0 || res.Request.Method == http.MethodHead:
		return Length
	}
	return Connection
}

// Bounds of the statuses of HTTP.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// IsInterim reports whether a status is that of a response before the final one.
func IsInterim(status int) bool { return status >= minStatus && status < minFinalStatus }

// IsFinal reports whether a status is that of an answer. One that is neither this nor interim is no
// answer in HTTP, whatever stands behind it.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// Head is what the head of an attempt's answer says about the answer.
type Head struct {
	// Status is the HTTP status, or 0 if the answer has none.
	Status int
	// Stream is set if the body is a stream of events.
	Stream bool
	// Failed is set if the backend server answered that it failed.
	Failed  bool
	Framing Framing
}

// String returns the status, the kind of the body and the framing, or "none" for the zero value.
func (h Head) String() string {
	if h == (Head{}) {
		return "none"
	}
	body := "whole"
	if h.Stream {
		body = "stream"
	}
	return strconv.Itoa(h.Status) + " " + body + " " + h.Framing.String()
}

// Assembly is what the caller has of the answer to one request.
type Assembly struct {
	begun bool
	head  Head
	next  uint64
}

// New returns an assembly of which the caller has nothing. The first event that the caller
// wants has the index first.
func New(first uint64) Assembly { return Assembly{next: first} }

// Begun reports whether the caller has the head of an answer.
func (a *Assembly) Begun() bool { return a.begun }

// Next returns the index of the next event that the caller needs.
func (a *Assembly) Next() uint64 { return a.next }

// Begin records that the head of an answer was passed on.
func (a *Assembly) Begin(h Head) { a.begun, a.head = true, h }

// CheckHead returns a *refuser.Refusal if an answer with the head h cannot be passed on: the
// caller has the beginning of a stream, which only the rest of a stream with the same status
// may follow.
func (a *Assembly) CheckHead(h Head) error {
	switch {
	case !a.begun:
		return nil
	case h.Failed:
		return refuser.MayHaveRun(refuser.BackendFailed, "the answer to the rest of a stream is "+h.String())
	case !h.Stream || h.Status != a.head.Status:
		return refuser.MayHaveRun(refuser.ConnectionLost, "the answer to the rest of a stream is "+h.String())
	}
	return nil
}

// CheckEvent returns a *refuser.Refusal if the event with an index is not the next one.
func (a *Assembly) CheckEvent(index uint64) error {
	if index == a.next {
		return nil
	}
	text := "event " + strconv.FormatUint(index, 10) + " arrived in place of " + strconv.FormatUint(a.next, 10)
	return refuser.MayHaveRun(refuser.ConnectionLost, text)
}

// Pass records that the next event was passed on.
func (a *Assembly) Pass() { a.next++ }

// CheckEnd returns a *refuser.Refusal if the end of an answer with a framing does not show
// that the answer is complete. The end of a connection shows that only if the process that
// began the answer still ran after the end was read. That some process listens at the address
// does not show it: the server may have restarted while this process did not run.
func CheckEnd(f Framing, serverRuns func() bool) error {
	if f == Connection && !serverRuns() {
		return refuser.MayHaveRun(refuser.ConnectionLost, "the answer ended with its backend server")
	}
	return nil
}
