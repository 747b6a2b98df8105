package imitator

import "net/http"

// Framing is how the end of an answer's body is marked.
type Framing int

// Framings of a body.
const (
	// Chunked bodies are sent in chunks.
	Chunked Framing = iota
	// Sized bodies have a length in the head.
	Sized
	// Unframed bodies end with their connection.
	Unframed
)

// Break is the place at which an answer breaks off.
type Break int

// Places at which an answer breaks off.
const (
	// NoBreak answers are complete.
	NoBreak Break = iota
	// BreakInside breaks a stream off inside an event.
	BreakInside
	// BreakBetween breaks a stream off between two events, or after the last event and before
	// the end of the body.
	BreakBetween
	// BreakInHead breaks an answer off in its head, after BreakAfter tenths of its bytes.
	BreakInHead
)

// Ending is how a connection ends whose answer breaks off.
type Ending int

// Endings of a connection.
const (
	// EndClosed connections are closed by the server, which goes on running.
	EndClosed Ending = iota
	// EndReset connections are reset.
	EndReset
	// EndCrashed connections are closed because the process of the server ends.
	EndCrashed
)

// Repeat is when an answer is written once more on a connection that is kept.
type Repeat int

// Times at which an answer is written once more.
const (
	// NoRepeat answers are written once.
	NoRepeat Repeat = iota
	// RepeatAtOnce writes the answer again right behind itself.
	RepeatAtOnce
	// RepeatLate writes the answer again once the next request has arrived, before the answer
	// to that one.
	RepeatLate
)

// AnswerFault selects the faults of one answer of a backend server. The zero value is none.
type AnswerFault struct {
	// Refuse makes the server refuse the request with status 503 and X-Not-Executed.
	Refuse bool
	// Status is the status of an error by which the server answers a request that it has run,
	// or 0. The answer has a seal and no X-Not-Executed.
	Status int
	// Plain makes the server answer a request for a stream with a body that is no stream.
	Plain bool
	// Early makes the server answer before it reads the body of the request.
	Early bool
	// Framing is how the body is framed.
	Framing Framing
	// Break and Ending are how the answer breaks off, after BreakAfter events of a stream.
	Break      Break
	BreakAfter int
	Ending     Ending
	// Repeat is when the answer is written once more.
	Repeat Repeat
	// Anonymous leaves X-Request-Id out of a refusal.
	Anonymous bool
	// InsertAfter is the number of events after which the bytes of a refusal are written into
	// a stream, or 0. They bear the ID of another request unless Anonymous is set.
	InsertAfter int
	// Shift is the number of events by which a resumed stream begins late, or early if it is
	// negative.
	Shift int
	// WithoutIDs leaves the IDs of the events out.
	WithoutIDs bool
}

// AnswerPlan chooses the faults of the answer to a request. It must be safe for concurrent use.
type AnswerPlan func(r *http.Request) AnswerFault

// AnswerRecord is what a backend server has answered to the requests with one ID.
type AnswerRecord struct {
	// Statuses are the statuses of the answers with a seal.
	Statuses []int
	// ShortEnds are the indexes of the last events of streams whose framing made them look
	// complete before the last event. They count from 1.
	ShortEnds []int
	// Bodies are the hashes of the bodies received, as HashBody returns them.
	Bodies []uint64
}
