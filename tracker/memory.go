package tracker

import "time"

// Tokens is what a request needs of the memory of an engine for prompts and answers.
type Tokens struct {
	Prompt int
	Output int
}

// maxRequestTokens is the largest number of tokens of a prompt or an answer that is told apart from
// greater ones, so that sums stay in range.
const maxRequestTokens = 1 << 30

// plausible returns t with its numbers limited to what can be right.
func (t Tokens) plausible() Tokens {
	return Tokens{Prompt: max(0, min(t.Prompt, maxRequestTokens)), Output: max(0, min(t.Output, maxRequestTokens))}
}

// sum returns the number of tokens of the prompt and the answer.
func (t Tokens) sum() int { return t.Prompt + t.Output }

// memory is what is known of the memory of an engine for prompts and answers, in tokens: the figures
// of its sidecar, and the requests of this process in flight.
type memory struct {
	// used is what cannot be freed and total the size, or 0 if it is not known, both according to
	// the sidecar.
	used, total int
	// inFlight are the requests of this process in flight, and inFlightTokens the sum of their
	// tokens. includedTokens is the sum of the tokens of those prompts that used includes.
	inFlight       map[*SentWork]struct{}
	inFlightTokens int
	includedTokens int
}

// figureDelay is the longest usual time from the instant to which a figure of the memory applies
// until its arrival: the sidecar asks its engine, and reports and batches are sent in intervals.
const figureDelay = 500 * time.Millisecond

// start adds a request to those in flight.
func (m *memory) start(s *SentWork) {
	if m.inFlight == nil {
		m.inFlight = map[*SentWork]struct{}{}
	}
	m.inFlight[s] = struct{}{}
	m.inFlightTokens += s.tokens.sum()
}

// end removes a request from those in flight, if it is one of them. If used includes its prompt, that
// counts until the next figure.
func (m *memory) end(s *SentWork) {
	if s.ended {
		return
	}
	s.ended = true
	delete(m.inFlight, s)
	m.inFlightTokens -= s.tokens.sum()
	if s.included {
		m.includedTokens -= s.tokens.Prompt
	}
}

// record records figures of the sidecar. They include the prompts that were read before the instant to
// which they apply, at most figureDelay ago.
func (m *memory) record(now time.Duration, used, total int) {
	m.used, m.total, m.includedTokens = used, total, 0
	for s := range m.inFlight {
		s.included = s.read && s.readAt <= now-figureDelay
		if s.included {
			m.includedTokens += s.tokens.Prompt
		}
	}
}

// left returns the free memory by the figures, less what the requests in flight need that the figures
// do not include. It is negative if they need more than there is.
func (m *memory) left() int { return m.total - m.used - (m.inFlightTokens - m.includedTokens) }

// FullPercent returns the used part of a memory of size total in percent, rounded up, or 0 if the size
// is not known.
func FullPercent(used, total int) uint32 {
	if total <= 0 || used <= 0 {
		return 0
	}
	return uint32(min(100, (min(used, total)*100+total-1)/total))
}

// recordMemory records the memory in use and its size that a status names.
func (b *Backend) recordMemory(now time.Duration, used, total int) {
	b.estimates.memory.record(now, used, total)
}

// RecordFull records the used part of the memory, in percent.
func (b *Backend) RecordFull(now time.Duration, percent uint32) {
	m := &b.estimates.memory
	m.record(now, m.total/100*int(min(percent, 100))+m.total%100*int(min(percent, 100))/100, m.total)
}

// MemoryLeft returns how many tokens of prompts and answers fit into the memory of the engine
// beside the requests there. It is not known without a current status of the listed process.
func (b *Backend) MemoryLeft(now time.Duration) (tokens int, known bool) {
	m, status := &b.estimates.memory, b.Status(now)
	if m.total <= 0 || status == nil || status.GetBorn() != b.server.Started {
		return 0, false
	}
	return m.left(), true
}

// Fits reports whether a request fits into the memory, if that is known, or would not fit into an
// empty one either.
func (b *Backend) Fits(now time.Duration, t Tokens) bool {
	left, known := b.MemoryLeft(now)
	need := t.plausible().sum()
	return !known || need <= left || need > b.estimates.memory.total
}
