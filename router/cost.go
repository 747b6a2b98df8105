package router

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
}

// Value returns the weighted sum of the terms, in requests.
func (c Cost) Value() float64 {
	total := c.Load + unreadPromptWeight*float64(c.UnreadPrompts) + failureWeight*c.FailureRate + saturationWeight*c.Saturation
	if c.Remote {
		total += remoteWeight
	}
	return total
}
