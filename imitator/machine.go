package imitator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MachineOptions configure how fast a stand-in backend server works and what its memory for prompts
// and answers holds. The zero value states no load, works as the times in the BackendOptions say
// and never runs out of memory.
type MachineOptions struct {
	// Speed is how long work takes as a factor of what is usual, or 0 if the server states no load
	// in its answers and prompts take no time.
	Speed float64
	// ReadPerToken is the time that the reading of a token of a prompt takes at speed 1.
	ReadPerToken time.Duration
	// MemoryTokens is the number of tokens of prompts and answers that fit into the memory, or 0 for
	// no limit, and EventTokens the number of tokens in an event.
	MemoryTokens int
	EventTokens  int
}

// machine is the state of the machine of a backend server. It is safe for concurrent use.
type machine struct {
	options MachineOptions
	// reading is held while a prompt is read, since an engine reads one after the other.
	reading sync.Mutex

	mu sync.Mutex
	// slowdown is the factor by which a neighbour or a fault slows the machine until slowUntil.
	slowdown  float64
	slowUntil time.Time
	// runs are the requests that run, the earliest first, and preempted the number of those that
	// were ended since they did not fit into the memory.
	runs      []*machineRun
	preempted int
}

// machineRun is a request that runs on a machine.
type machineRun struct {
	priority, tokens int
	// ended is set once the request was preempted.
	ended bool
}

// Slow makes work take longer by a factor from now on for a while, as a neighbour on the machine
// does.
func (m *machine) Slow(factor float64, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowdown, m.slowUntil = factor, time.Now().Add(d)
}

// Preempted returns the number of requests that were ended since they did not fit into the memory.
func (m *machine) Preempted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.preempted
}

// momentary returns how long work takes now as a factor of what is usual on the machine.
func (m *machine) momentary() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.slowUntil) {
		return m.slowdown
	}
	return 1
}

// stretch returns how long work takes that takes a duration at speed 1.
func (m *machine) stretch(d time.Duration) time.Duration {
	if m.options.Speed == 0 {
		return d
	}
	return time.Duration(float64(d) * m.options.Speed * m.momentary())
}

// setLoad sets the load in the head of an answer, if the server does so.
func (m *machine) setLoad(header http.Header, active, slots int) {
	if m.options.Speed > 0 {
		header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,%d", active, slots, int(100*m.momentary())))
	}
}

// start begins a request with the prompt and the priority that its headers state, after those
// before it were read.
func (m *machine) start(r *http.Request) *machineRun {
	promptText, _, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	// A header that is missing or odd counts as 0.
	prompt, _ := strconv.Atoi(promptText)
	priority, _ := strconv.Atoi(r.Header.Get("X-Request-Priority"))
	if m.options.Speed > 0 {
		m.reading.Lock()
		time.Sleep(m.stretch(time.Duration(prompt) * m.options.ReadPerToken))
		m.reading.Unlock()
	}
	run := &machineRun{priority: priority}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs = append(m.runs, run)
	m.grow(run, prompt)
	return run
}

// advance adds the tokens of an event to a request and reports false if it was preempted.
func (m *machine) advance(run *machineRun) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !run.ended {
		m.grow(run, m.options.EventTokens)
	}
	return !run.ended
}

// grow adds tokens to a request. While the requests don't fit into the memory, the newest of the
// least urgent is preempted. The caller holds the lock.
func (m *machine) grow(run *machineRun, tokens int) {
	run.tokens += tokens
	for m.options.MemoryTokens > 0 && m.usedTokens() > m.options.MemoryTokens {
		last := 0
		for i, other := range m.runs {
			if other.priority >= m.runs[last].priority {
				last = i
			}
		}
		m.runs[last].ended = true
		m.preempted++
		m.runs = append(m.runs[:last], m.runs[last+1:]...)
	}
}

// usedTokens returns the number of tokens that cannot be freed. The caller holds the lock.
func (m *machine) usedTokens() int {
	used := 0
	for _, run := range m.runs {
		used += run.tokens
	}
	return used
}

// memory returns the used tokens and all that fit.
func (m *machine) memory() (used, total int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.options.MemoryTokens == 0 {
		return 0, 100000
	}
	return m.usedTokens(), m.options.MemoryTokens
}

// end ends a request.
func (m *machine) end(run *machineRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.runs {
		if other == run {
			m.runs = append(m.runs[:i], m.runs[i+1:]...)
			return
		}
	}
}
