package router

// Weights of what makes a backend server a worse choice, in requests.
const (
	// pendingWeight is that of a prompt of this process which the engine has not
	// read yet: it delays every answer there.
	pendingWeight = 4.0
	// farWeight is that of a server in another data centre.
	farWeight = 1.0
	// troubleWeight is that of a server at which every attempt of late has failed.
	troubleWeight = 60.0
	// strainWeight is that of a server whose answers are just about late.
	strainWeight = 2.0
)

// Cost is what speaks against sending a request to a backend server.
type Cost struct {
	// Load is the number of requests there, of all processes.
	Load float64
	// Pending is the number of prompts of this process that it has not read yet.
	Pending int
	// Remote is set for a server in another data centre.
	Remote bool
	// FailureRate is the part of the attempts of late that failed, from 0 to 1.
	FailureRate float64
	// Saturation is how near its answers came to being late, 1 being just so.
	Saturation float64
}

// Value adds the parts up, in requests.
func (c Cost) Value() float64 {
	v := c.Load + pendingWeight*float64(c.Pending) + troubleWeight*c.FailureRate + strainWeight*c.Saturation
	if c.Remote {
		v += farWeight
	}
	return v
}
