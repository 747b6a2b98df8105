// Package assembler decides how the answers to the attempts at a request become the one answer
// that the caller receives: what may follow the events that the caller already has, what ends
// an answer, and to which request an answer on a kept connection belongs.
package assembler

import "strconv"

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
