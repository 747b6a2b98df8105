package router

import "time"

// Weights of the terms of a cost, in requests.
const (
	// unreadPromptWeight is the weight of a prompt from this process that the engine has
	// not read yet. Such a prompt delays every answer of the engine.
	unreadPromptWeight = 4.0
	// remoteWeight is the weight of a server being in another data centre.
	remoteWeight = 1.0
	// failureWeight is the weight of a failure rate of 1.
	failureWeight = 60.0
	// saturationWeight is the weight of a saturation of 1, at which answers just reach their
	// latency limit.
	saturationWeight = 2.0
)

// Cost holds the terms of the cost of sending a request to a backend server. The server
// with the lowest Value is the best choice.
type Cost struct {
	// Load is the number of requests at the server, from all processes.
	Load float64
	// UnreadPrompts is the number of prompts from this process that the server has not read
	// yet.
	UnreadPrompts int
	// Remote is set if the server is in another data centre.
	Remote bool
	// FailureRate is the fraction of recent attempts that failed, from 0 to 1.
	FailureRate float64
	// Saturation is how near the server's answers came to their latency limit; 1 is exactly
	// at it.
	Saturation float64
	// Estimated is set if the times at the server are estimated. Expected then counts instead of
	// Load, UnreadPrompts, Remote and Saturation.
	Estimated bool
	Expected  ExpectedTime
}

// ExpectedTime is the time that sending a request to a backend server is expected to cost.
type ExpectedTime struct {
	// First is the time to the first event.
	First time.Duration
	// Slowed is the time by which the request delays the answers that run there.
	Slowed time.Duration
	// Link is what another data centre counts as.
	Link time.Duration
	// Late is what the time beyond the request's target counts as, in addition.
	Late time.Duration
}

// requestTime is the time that counts as much as a request.
const requestTime = 10 * time.Millisecond

// value returns the sum of the times, in requests.
func (e ExpectedTime) value() float64 {
	return (e.First.Seconds() + e.Slowed.Seconds() + e.Link.Seconds() + e.Late.Seconds()) / requestTime.Seconds()
}

// Value returns the weighted sum of the terms, in requests.
func (c Cost) Value() float64 {
	if c.Estimated {
		return c.Expected.value() + failureWeight*c.FailureRate
	}
	total := c.Load + unreadPromptWeight*float64(c.UnreadPrompts) + failureWeight*c.FailureRate + saturationWeight*c.Saturation
	if c.Remote {
		total += remoteWeight
	}
	return total
}
